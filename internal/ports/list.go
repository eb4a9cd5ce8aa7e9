package ports

import (
	"context"

	"arbutuswing.example/internal/model"
)

// Role tells what an instance on the list does.
type Role string

// Roles of instances.
const (
	RoleEntry    Role = "entry"
	RoleWorker   Role = "worker"
	RoleEndpoint Role = "endpoint"
)

// Presence tells whether an instance is in use.
type Presence string

// Presences of instances.
const (
	PresenceLive    Presence = "live"
	PresenceLeaving Presence = "leaving"
)

// Instance is one row of the platform's list.
type Instance struct {
	ID         string             `json:"id"`
	Role       Role               `json:"role"`
	DataCentre model.DataCentreID `json:"data-centre"`
	Rack       model.RackID       `json:"rack,omitempty"`
	// Address is host:port for workers and endpoints, and the peer address for entry instances.
	Address  string   `json:"address"`
	Presence Presence `json:"presence"`
	// Capacity is set for workers.
	Capacity model.Resources `json:"capacity,omitzero"`
	// Class, Slots and Connections are set for endpoints.
	Class       model.ClassID `json:"class,omitempty"`
	Slots       int           `json:"slots,omitempty"`
	Connections int           `json:"connections,omitempty"`
}

// Lister is the platform's list of instances, which lags behind.
type Lister interface {
	List(ctx context.Context) ([]Instance, error)
}
