package ports

import (
	"context"

	"arbutuswing.example/internal/model"
)

// Role is the role of an instance in the platform's instance list.
type Role string

// Roles of instances.
const (
	RoleEntry    Role = "entry"
	RoleWorker   Role = "worker"
	RoleEndpoint Role = "endpoint"
)

// Presence says whether an instance is in service or shutting down.
type Presence string

// Presences of instances.
const (
	PresenceLive    Presence = "live"
	PresenceLeaving Presence = "leaving"
)

// Instance is an entry of the platform's instance list.
type Instance struct {
	ID         string             `json:"id"`
	Role       Role               `json:"role"`
	DataCentre model.DataCentreID `json:"data-centre"`
	Rack       model.RackID       `json:"rack,omitempty"`
	// Address is the host:port of a worker or endpoint, or the peer address of an entry instance.
	Address  string   `json:"address"`
	Presence Presence `json:"presence"`
	// Capacity is set for workers.
	Capacity model.Resources `json:"capacity,omitzero"`
	// Class, Slots and Connections are set for endpoints.
	Class       model.ClassID `json:"class,omitempty"`
	Slots       int           `json:"slots,omitempty"`
	Connections int           `json:"connections,omitempty"`
}

// Lister reads the platform's instance list, which may be out of date.
type Lister interface {
	List(ctx context.Context) ([]Instance, error)
}
