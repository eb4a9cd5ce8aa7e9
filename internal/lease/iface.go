package lease

import (
	"context"
	"time"

	"arbutuswing.example/internal/model"
	"arbutuswing.example/internal/ports"
	"arbutuswing.example/internal/record"
)

// Links reports how the instance is connected to the log and to other instances.
type Links interface {
	// IsPlacer reports whether the instance is the placer of its data centre.
	IsPlacer() bool
	// MayRenew reports whether the instance may extend leases.
	MayRenew() bool
	// ConnectedSince returns the time since which the instance has been connected to the log, directly or through a
	// relay, without interruption; ok is false while it is not connected.
	ConnectedSince() (since time.Time, ok bool)
	// Isolated reports whether no instance of the data centre has been heard from for longer than the isolation limit.
	Isolated(dc model.DataCentreID) bool
}

// Submitter records operations in the log.
type Submitter interface {
	// Submit returns one result per operation: nil, or the reason for which it was rejected. An error means that it is
	// unknown whether the operations were recorded.
	Submit(ctx context.Context, ops ...record.Op) ([]error, error)
}

// Handler processes workers' reports and decides on commands. Calls for the same worker never overlap.
type Handler interface {
	// ReportReceived delivers a worker's report.
	ReportReceived(report Report)
	// Commands returns the commands to send to the worker now, in order.
	Commands(worker model.WorkerID) []Command
	// CommandSent reports the result of a command. The commands after a failed one are not sent.
	CommandSent(worker model.WorkerID, command Command, err error)
	// LeaseDropped reports that the worker's lease is no longer held.
	LeaseDropped(worker model.WorkerID)
}

// Report is a worker's report under a lease.
type Report struct {
	ports.WorkerReport
	// Acquired is the time at which the request that acquired the lease was sent.
	Acquired time.Time
	// Leaving is set if the instance list shows the worker as leaving.
	Leaving bool
}

// Command is a command for a worker. Only this package implements it.
type Command interface{ command() }

// Start starts attempts.
type Start struct{ Requests []ports.StartRequest }

// Stop stops attempts; they end with the outcome.
type Stop struct {
	Outcome  model.Outcome
	Attempts []model.AttemptID
}

// Checkpoint saves the progress of an attempt.
type Checkpoint struct{ Attempt model.AttemptID }

// Throttle limits an attempt to a fraction of its reserved processors.
type Throttle struct {
	Attempt  model.AttemptID
	Fraction float64
}

// Acknowledge allows the worker to forget ended attempts.
type Acknowledge struct{ Attempts []model.AttemptID }

func (Start) command()       {}
func (Stop) command()        {}
func (Checkpoint) command()  {}
func (Throttle) command()    {}
func (Acknowledge) command() {}
