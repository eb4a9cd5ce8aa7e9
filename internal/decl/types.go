package decl

import "arbutuswing.example/internal/model"

// Organisation is a customer. Changes to the terms of its teams need its approval.
type Organisation struct {
	// Name is the organisation's name; all names are in kebab case.
	Name model.OrganisationID `json:"name" jsonschema:"required"`
	// ApprovalKey is the hash of the key with which the organisation approves or vetoes proposals.
	ApprovalKey model.KeyHash `json:"approval-key" jsonschema:"required"`
}

// Team is a part of an organisation that submits work. Its organisation, share and limit are among its terms.
type Team struct {
	Name model.TeamID `json:"name" jsonschema:"required"`
	// Organisation is the organisation that approves or vetoes changes to the team's terms.
	Organisation model.OrganisationID `json:"organisation" jsonschema:"required"`
	// Share is the team's weight: when the fleet is full, capacity is divided in proportion to the teams' shares.
	Share float64 `json:"share" jsonschema:"required,exclusiveMinimum=0"`
	// Limit is the upper limit on what the team may have running at once across the fleet.
	Limit Limit `json:"limit,omitzero"`
	// Keys are the hashes of the keys granted to the team; a change that puts the team without keys leaves them as they are.
	Keys []model.KeyHash `json:"keys,omitempty"`
}

// Limit is an upper limit on what a team has running at once across the fleet; zero values set no limit.
type Limit struct {
	// Resources limits the sum of the resources that the running tasks reserve.
	Resources model.Resources `json:"resources,omitzero"`
	// Tasks limits the number of tasks that run at once.
	Tasks int `json:"tasks,omitempty" jsonschema:"minimum=0"`
}

// Class is a class of work with its SLO.
type Class struct {
	Name   model.ClassID `json:"name" jsonschema:"required"`
	Target Target        `json:"target,omitzero"`
	// Open lets clients take queued tasks of the class from its queue; every call for the class then needs a team key.
	Open bool `json:"open,omitempty"`
}

// Target is the SLO of a class. At most one field may be set. Work of a class without any is best-effort:
// it has no deadline and may be preempted.
type Target struct {
	// AnsweredWithin is the time within which a request is to be answered; it applies to requests.
	AnsweredWithin model.Duration `json:"answered-within,omitempty"`
	// StartedWithin is the time within which a queued job is to start; it applies to jobs.
	StartedWithin model.Duration `json:"started-within,omitempty"`
	// DoneBy is the time of day by which jobs queued before it are to be done; it applies to jobs.
	DoneBy *DoneBy `json:"done-by,omitempty"`
}

// DoneBy is a time of day by which work is to be done: for each job, the first such time after the job was queued.
type DoneBy struct {
	// Time has the form HH:MM, from 00:00 to 23:59.
	Time string `json:"time" jsonschema:"required,pattern=^([01][0-9]|2[0-3]):[0-5][0-9]$"`
	// Zone is the IANA name of a time zone, such as "UTC" or "Asia/Kolkata".
	Zone string `json:"zone" jsonschema:"required"`
}

// ServiceState states whether tasks may start in a data centre.
type ServiceState string

// States of service of a data centre.
const (
	// InService allows tasks to start.
	InService ServiceState = "in"
	// OutOfService allows no task to start; running tasks end or are moved.
	OutOfService ServiceState = "out"
	// Lost declares that all instances in the data centre are switched off, so that its work may run elsewhere.
	Lost ServiceState = "lost"
)

// DataCentre is a data centre, which operators put in or out of service.
type DataCentre struct {
	Name   model.DataCentreID `json:"name" jsonschema:"required"`
	Region string             `json:"region" jsonschema:"required"`
	// Service is "in", "out" or "lost". If it is missing, the data centre keeps its state; a new one is in service.
	Service ServiceState `json:"service,omitempty" jsonschema:"enum=in,enum=out,enum=lost"`
}

// Set is a complete set of declarations. A set that has been built is never modified.
type Set struct {
	Organisations []Organisation `json:"organisations,omitempty"`
	Teams         []Team         `json:"teams,omitempty"`
	Classes       []Class        `json:"classes,omitempty"`
	DataCentres   []DataCentre   `json:"data-centres,omitempty"`

	index *index
}

// Patch is a change to a set of declarations: objects to add, replace or remove, and team keys to grant or withdraw.
type Patch struct {
	// Put adds objects, or replaces those of the same name.
	Put Set `json:"put,omitzero"`
	// Remove lists objects to remove.
	Remove Names `json:"remove,omitzero"`
	// GrantKeys lists keys to grant without stating their teams again; a key that the team has already is left as it is.
	GrantKeys []KeyChange `json:"grant-keys,omitempty"`
	// WithdrawKeys lists keys to withdraw; each must be granted to its team.
	WithdrawKeys []KeyChange `json:"withdraw-keys,omitempty"`
}

// Names lists objects by name.
type Names struct {
	Organisations []model.OrganisationID `json:"organisations,omitempty"`
	Teams         []model.TeamID         `json:"teams,omitempty"`
	Classes       []model.ClassID        `json:"classes,omitempty"`
	DataCentres   []model.DataCentreID   `json:"data-centres,omitempty"`
}

// KeyChange identifies a key that is granted to a team or withdrawn from it.
type KeyChange struct {
	Team model.TeamID  `json:"team" jsonschema:"required"`
	Key  model.KeyHash `json:"key" jsonschema:"required"`
}
