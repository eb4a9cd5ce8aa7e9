package decl

import "arbutuswing.example/internal/model"

// Organisation is a customer; its word is needed for changes that touch the terms of its teams.
type Organisation struct {
	// Name is kebab case, as all names are.
	Name model.OrganisationID `json:"name" jsonschema:"required"`
	// ApprovalKey is the hash of the key with which the organisation approves or vetoes changes.
	ApprovalKey model.KeyHash `json:"approval-key" jsonschema:"required"`
}

// Team owns work; Share and Limit are its terms.
type Team struct {
	Name model.TeamID `json:"name" jsonschema:"required"`
	// Organisation decides on changes to the team's terms.
	Organisation model.OrganisationID `json:"organisation" jsonschema:"required"`
	// Share is the team's part of the fleet relative to the other teams' shares when all is full.
	Share float64 `json:"share" jsonschema:"required,exclusiveMinimum=0"`
	// Limit is the most that the team may have running across the fleet.
	Limit Limit `json:"limit,omitzero"`
	// Keys are the hashes of the keys that the team may use; a team put without keys keeps the ones it has.
	Keys []model.KeyHash `json:"keys,omitempty"`
}

// Limit bounds what a team has running across the fleet; a zero dimension is unbounded.
type Limit struct {
	// Resources bounds the sum of the reservations.
	Resources model.Resources `json:"resources,omitzero"`
	// Tasks bounds the number of tasks that run at once.
	Tasks int `json:"tasks,omitempty" jsonschema:"minimum=0"`
}

// Class is a class of work with its target.
type Class struct {
	Name   model.ClassID `json:"name" jsonschema:"required"`
	Target Target        `json:"target,omitzero"`
	// Open makes the class's queue open to all: every call needs a team key.
	Open bool `json:"open,omitempty"`
}

// Target states what operators promise for a class; at most one field is set, and none means patient work.
type Target struct {
	// AnsweredWithin applies to requests.
	AnsweredWithin model.Duration `json:"answered-within,omitempty"`
	// StartedWithin applies to jobs.
	StartedWithin model.Duration `json:"started-within,omitempty"`
	// DoneBy applies to jobs: those queued before that time of day must be done by then.
	DoneBy *DoneBy `json:"done-by,omitempty"`
}

// DoneBy is a time of day until which work queued before it must be done, once.
type DoneBy struct {
	// Time has the form HH:MM, from 00:00 to 23:59.
	Time string `json:"time" jsonschema:"required,pattern=^([01][0-9]|2[0-3]):[0-5][0-9]$"`
	// Zone is a time zone such as "UTC" or "Asia/Kolkata".
	Zone string `json:"zone" jsonschema:"required"`
}

// ServiceState tells whether a data centre takes part.
type ServiceState string

// States of data centres.
const (
	// InService lets tasks start.
	InService ServiceState = "in"
	// OutOfService lets no task start; running tasks end or are moved.
	OutOfService ServiceState = "out"
	// Lost declares that the data centre's instances are switched off, so that its work may run elsewhere.
	Lost ServiceState = "lost"
)

// DataCentre is a data centre that operators put in or out of service.
type DataCentre struct {
	Name   model.DataCentreID `json:"name" jsonschema:"required"`
	Region string             `json:"region" jsonschema:"required"`
	// Service is "in", "out" or "lost"; without it, the data centre keeps its state or starts in service.
	Service ServiceState `json:"service,omitempty" jsonschema:"enum=in,enum=out,enum=lost"`
}

// Set is a whole set of declarations; it is never modified once built.
type Set struct {
	Organisations []Organisation `json:"organisations,omitempty"`
	Teams         []Team         `json:"teams,omitempty"`
	Classes       []Class        `json:"classes,omitempty"`
	DataCentres   []DataCentre   `json:"data-centres,omitempty"`

	index *index
}

// Patch is a change to a set: objects to add or replace by name, and names to remove.
type Patch struct {
	// Put adds objects, or replaces those of the same name.
	Put Set `json:"put,omitzero"`
	// Remove lists objects to remove.
	Remove Names `json:"remove,omitzero"`
	// GrantKeys adds single keys without restating their teams; a key that is granted already stays.
	GrantKeys []KeyChange `json:"grant-keys,omitempty"`
	// WithdrawKeys removes single keys; each must be granted.
	WithdrawKeys []KeyChange `json:"withdraw-keys,omitempty"`
}

// Names lists objects by name.
type Names struct {
	Organisations []model.OrganisationID `json:"organisations,omitempty"`
	Teams         []model.TeamID         `json:"teams,omitempty"`
	Classes       []model.ClassID        `json:"classes,omitempty"`
	DataCentres   []model.DataCentreID   `json:"data-centres,omitempty"`
}

// KeyChange names one key of a team.
type KeyChange struct {
	Team model.TeamID  `json:"team" jsonschema:"required"`
	Key  model.KeyHash `json:"key" jsonschema:"required"`
}
