package opapi

import (
	"encoding/json"

	"arbutuswing.example/internal/decl"
	"arbutuswing.example/internal/model"
	"arbutuswing.example/internal/record"
	"arbutuswing.example/internal/state"
	"arbutuswing.example/internal/strict"
)

// Headers that carry keys. The server compares and records only hashes of keys.
const (
	// OperatorKeyHeader carries the operator key.
	OperatorKeyHeader = "Operator-Key"
	// OrganisationKeyHeader carries an organisation's approval key.
	OrganisationKeyHeader = "Organisation-Key"
)

// Paths of the operator API.
const (
	DeclarationsPath = "/v1/declarations"
	ChangesPath      = "/v1/changes"
	ProposalsPath    = "/v1/proposals"
	StatusPath       = "/v1/status"
	DumpPath         = "/dump"
	MetricsPath      = "/metrics"
	HealthPath       = "/health"
)

// VerdictPath returns the path for a verdict (approval or veto) on a proposal.
func VerdictPath(proposal string) string { return ProposalsPath + "/" + proposal + "/verdict" }

// Declarations holds the declarations in force and the offset of the change that put them in force.
type Declarations struct {
	Offset       model.Offset `json:"offset"`
	Declarations decl.Set     `json:"declarations"`
}

// ChangeRequest asks for a change of the declarations. It is refused unless Base is the offset of those in force.
type ChangeRequest struct {
	// ID names the change, in kebab case, and the proposal that is made of it if it needs approval.
	ID     string       `json:"id"`
	Base   model.Offset `json:"base"`
	Author string       `json:"author"`
	Reason string       `json:"reason,omitempty"`
	Patch  decl.Patch   `json:"patch"`
}

// Outcome is the outcome of a change or verdict.
type Outcome string

// Outcomes of changes and verdicts.
const (
	// InForce means that the change is in force.
	InForce Outcome = "in-force"
	// Unchanged means that the declarations already are as requested; nothing was recorded.
	Unchanged Outcome = "unchanged"
	// Waiting means that the change is recorded as a proposal and waits for approval by organisations.
	Waiting Outcome = "waiting-for-approval"
	// Vetoed means that an organisation has vetoed the proposal, which is closed without effect.
	Vetoed Outcome = "vetoed"
	// NotRun means that nothing was recorded.
	NotRun Outcome = "not-run"
	// Unknown means that the change or verdict may still be recorded.
	Unknown Outcome = "unknown"
)

// ChangeAnswer is the answer to a ChangeRequest.
type ChangeAnswer struct {
	ID      string  `json:"id"`
	Outcome Outcome `json:"outcome"`
	// Offset is the offset of the declarations in force when the answer was given.
	Offset model.Offset `json:"offset"`
	// Waiting lists the organisations whose approval the proposal still needs.
	Waiting []model.OrganisationID `json:"waiting,omitempty"`
	// PartInForce reports that the changes of keys or data centres are in force while the rest waits for approval.
	PartInForce bool `json:"part-in-force,omitempty"`
}

// Proposal is a recorded change that waits for approval by organisations.
type Proposal struct {
	Change record.Change `json:"change"`
	// Recorded is the offset of the proposal's record.
	Recorded model.Offset           `json:"recorded"`
	Waiting  []model.OrganisationID `json:"waiting"`
	Approved []model.OrganisationID `json:"approved,omitempty"`
	// Effect describes, as text for people, how the proposal would change the present declarations.
	Effect string `json:"effect,omitempty"`
}

// Proposals lists the open proposals.
type Proposals struct {
	Proposals []Proposal `json:"proposals"`
}

// VerdictRequest is an organisation's approval or veto of a proposal.
type VerdictRequest struct {
	Organisation model.OrganisationID `json:"organisation"`
	Approve      bool                 `json:"approve"`
}

// VerdictAnswer is the answer to a VerdictRequest: the state of the proposal after the verdict.
type VerdictAnswer struct {
	Proposal string                 `json:"proposal"`
	Outcome  Outcome                `json:"outcome"`
	Waiting  []model.OrganisationID `json:"waiting,omitempty"`
}

// ErrorKind is the machine-readable kind of an error.
type ErrorKind string

// Kinds of errors.
const (
	KindBadRequest  ErrorKind = "bad-request"
	KindWrongKey    ErrorKind = "wrong-key"
	KindNotFound    ErrorKind = "not-found"
	KindConflict    ErrorKind = "conflict"
	KindInvalid     ErrorKind = "invalid-declarations"
	KindUnavailable ErrorKind = "unavailable"
	KindUnknown     ErrorKind = "unknown-outcome"
	KindInternal    ErrorKind = "internal"
)

// Error is the answer to a call that failed.
type Error struct {
	Error   ErrorKind `json:"error"`
	Detail  string    `json:"detail"`
	Outcome Outcome   `json:"outcome"`
	// OffsetInForce is the offset of the declarations in force; it is set only for conflicts.
	OffsetInForce *model.Offset `json:"offset-in-force,omitempty"`
	// Problems lists what is wrong with the message, or with the declarations that would result from it.
	Problems []strict.Problem `json:"problems,omitempty"`
}

// Status is the status of the system as one entry instance sees it.
type Status struct {
	Instance     model.InstanceID   `json:"instance"`
	DataCentre   model.DataCentreID `json:"data-centre"`
	Version      string             `json:"version"`
	Connectivity string             `json:"connectivity"`
	// Applied is the offset of the last record that the state machine has applied. Declarations is the offset of the
	// declarations in force.
	Applied      model.Offset       `json:"applied"`
	Declarations model.Offset       `json:"declarations"`
	Proposals    int                `json:"proposals"`
	Members      []state.Member     `json:"members"`
	DataCentres  []DataCentreStatus `json:"data-centres"`
	Teams        []TeamStatus       `json:"teams"`
	// Violations holds the number of violations by invariant.
	Violations map[string]int `json:"violations,omitempty"`
}

// DataCentreStatus counts the workers of a data centre and sums their resources.
type DataCentreStatus struct {
	Name      model.DataCentreID `json:"name"`
	Service   decl.ServiceState  `json:"service,omitempty"`
	Workers   int                `json:"workers"`
	Suspected int                `json:"suspected"`
	Lost      int                `json:"lost"`
	// Capacity and Committed don't include lost workers.
	Capacity  model.Resources `json:"capacity"`
	Committed model.Resources `json:"committed"`
}

// TeamStatus compares a team's usage with its limit and share.
type TeamStatus struct {
	Name  model.TeamID `json:"name"`
	Usage state.Usage  `json:"usage"`
	Limit decl.Limit   `json:"limit"`
	// DueShare is the team's share divided by the sum of all shares.
	DueShare float64 `json:"due-share"`
	// UsedShare is the team's dominant share: the largest fraction that it uses of any resource of the fleet.
	UsedShare float64 `json:"used-share"`
}

// Health reports whether the instance can serve and, if not, the reason.
type Health struct {
	Ready  bool   `json:"ready"`
	Reason string `json:"reason,omitempty"`
}

// Section is a component's part of a state dump.
type Section struct {
	Name     string          `json:"name"`
	Contents json.RawMessage `json:"contents"`
}

// Dump is the state dump of an instance.
type Dump struct {
	Instance model.InstanceID `json:"instance"`
	Sections []Section        `json:"sections"`
}
