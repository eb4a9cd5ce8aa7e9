package opapi

import (
	"encoding/json"

	"arbutuswing.example/internal/decl"
	"arbutuswing.example/internal/model"
	"arbutuswing.example/internal/record"
	"arbutuswing.example/internal/state"
	"arbutuswing.example/internal/strict"
)

// Headers that carry keys; only their hashes are compared and recorded.
const (
	// OperatorKeyHeader carries the operators' key.
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

// VerdictPath returns the path for the verdict on a proposal.
func VerdictPath(proposal string) string { return ProposalsPath + "/" + proposal + "/verdict" }

// Declarations answers with the declarations in force and the offset of the change that made them so.
type Declarations struct {
	Offset       model.Offset `json:"offset"`
	Declarations decl.Set     `json:"declarations"`
}

// ChangeRequest asks for a change to the declarations that were in force at offset Base.
type ChangeRequest struct {
	// ID is kebab case and names the change, and the proposal that it may become.
	ID     string       `json:"id"`
	Base   model.Offset `json:"base"`
	Author string       `json:"author"`
	Reason string       `json:"reason,omitempty"`
	Patch  decl.Patch   `json:"patch"`
}

// Outcome tells what became of a change or verdict.
type Outcome string

// Outcomes of changes and verdicts.
const (
	// InForce means that the change applies.
	InForce Outcome = "in-force"
	// Unchanged means that the declarations already are as asked for; nothing was recorded.
	Unchanged Outcome = "unchanged"
	// Waiting means that the change is recorded as a proposal and waits for organisations.
	Waiting Outcome = "waiting-for-approval"
	// Vetoed means that the proposal is closed without effect.
	Vetoed Outcome = "vetoed"
	// NotRun means that nothing was recorded.
	NotRun Outcome = "not-run"
	// Unknown means that the change or verdict may still be recorded.
	Unknown Outcome = "unknown"
)

// ChangeAnswer tells what became of a change.
type ChangeAnswer struct {
	ID      string  `json:"id"`
	Outcome Outcome `json:"outcome"`
	// Offset is the offset of the declarations in force when the answer was given.
	Offset model.Offset `json:"offset"`
	// Waiting lists the organisations whose approval the proposal needs.
	Waiting []model.OrganisationID `json:"waiting,omitempty"`
	// PartInForce is set when keys or data centres of the change are in force while the rest waits.
	PartInForce bool `json:"part-in-force,omitempty"`
}

// Proposal is a recorded change that waits for organisations.
type Proposal struct {
	Change record.Change `json:"change"`
	// Recorded is the offset of the proposal's record.
	Recorded model.Offset           `json:"recorded"`
	Waiting  []model.OrganisationID `json:"waiting"`
	Approved []model.OrganisationID `json:"approved,omitempty"`
	// Effect describes for people what the proposal would alter now.
	Effect string `json:"effect,omitempty"`
}

// Proposals lists the open proposals.
type Proposals struct {
	Proposals []Proposal `json:"proposals"`
}

// VerdictRequest is an organisation's word on a proposal.
type VerdictRequest struct {
	Organisation model.OrganisationID `json:"organisation"`
	Approve      bool                 `json:"approve"`
}

// VerdictAnswer tells what became of the proposal.
type VerdictAnswer struct {
	Proposal string                 `json:"proposal"`
	Outcome  Outcome                `json:"outcome"`
	Waiting  []model.OrganisationID `json:"waiting,omitempty"`
}

// ErrorKind names the kind of an error.
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

// Error answers a refused call.
type Error struct {
	Error   ErrorKind `json:"error"`
	Detail  string    `json:"detail"`
	Outcome Outcome   `json:"outcome"`
	// OffsetInForce is set for conflicts.
	OffsetInForce *model.Offset `json:"offset-in-force,omitempty"`
	// Problems are the faults of the message or of the declarations that it would put in force.
	Problems []strict.Problem `json:"problems,omitempty"`
}

// Status tells how the system is seen by one entry instance.
type Status struct {
	Instance     model.InstanceID   `json:"instance"`
	DataCentre   model.DataCentreID `json:"data-centre"`
	Version      string             `json:"version"`
	Connectivity string             `json:"connectivity"`
	// Applied is the offset of the last record folded, Declarations that of the declarations in force.
	Applied      model.Offset   `json:"applied"`
	Declarations model.Offset   `json:"declarations"`
	Proposals    int            `json:"proposals"`
	Members      []state.Member `json:"members"`
	DataCentres  []CentreStatus `json:"data-centres"`
	Teams        []TeamStatus   `json:"teams"`
	// Violations counts violated invariants by name.
	Violations map[string]int `json:"violations,omitempty"`
}

// CentreStatus sums up the workers of a data centre.
type CentreStatus struct {
	Name      model.DataCentreID `json:"name"`
	Service   decl.ServiceState  `json:"service,omitempty"`
	Workers   int                `json:"workers"`
	Suspected int                `json:"suspected"`
	Lost      int                `json:"lost"`
	// Capacity and Committed leave out lost workers.
	Capacity  model.Resources `json:"capacity"`
	Committed model.Resources `json:"committed"`
}

// TeamStatus compares a team's usage with its terms.
type TeamStatus struct {
	Name  model.TeamID `json:"name"`
	Usage state.Usage  `json:"usage"`
	Limit decl.Limit   `json:"limit"`
	// DueShare is the team's share divided by the sum of all shares.
	DueShare float64 `json:"due-share"`
	// UsedShare is the largest fraction that the team has bound of any resource of the fleet.
	UsedShare float64 `json:"used-share"`
}

// Health tells whether the instance can serve.
type Health struct {
	Ready  bool   `json:"ready"`
	Reason string `json:"reason,omitempty"`
}

// Section is one aggregate's part of a dump.
type Section struct {
	Name     string          `json:"name"`
	Contents json.RawMessage `json:"contents"`
}

// Dump holds the state of an instance in sections.
type Dump struct {
	Instance model.InstanceID `json:"instance"`
	Sections []Section        `json:"sections"`
}
