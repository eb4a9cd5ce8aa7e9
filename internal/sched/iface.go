package sched

import (
	"context"
	"time"

	"arbutuswing.example/internal/decl"
	"arbutuswing.example/internal/model"
	"arbutuswing.example/internal/record"
	"arbutuswing.example/internal/state"
	"arbutuswing.example/internal/stream"
)

// Links reports how the instance is connected to the log and to other instances.
type Links interface {
	// IsPlacer reports whether the instance is the placer of its data centre.
	IsPlacer() bool
	// MayStart reports whether the instance may start bound tasks.
	MayStart() bool
	// ConnectedSince returns the time since which the instance has been connected to the log, directly or through a
	// relay, without interruption; ok is false while it is not connected.
	ConnectedSince() (since time.Time, ok bool)
	// FreshAsOf returns a time such that the local state machine has applied every record that was in the log then.
	FreshAsOf() time.Time
	// OutageConfirmedAt returns the latest time at which the log was proved to be unavailable and no reachable instance
	// had applied more records than this one; it is zero outside a log outage.
	OutageConfirmedAt() time.Time
	// AppliedByPeers reports whether every other registered instance of the data centre has applied the log up to
	// offset.
	AppliedByPeers(offset model.Offset) bool
}

// Submitter appends operations to the log.
type Submitter interface {
	// Submit returns one result per operation: nil, or the reason for which the state machine rejected it. An error
	// means that it is unknown whether the operations were recorded.
	Submit(ctx context.Context, ops ...record.Op) ([]error, error)
}

// View reads the local state machine.
type View interface {
	// Task returns a task and the specification of its job.
	Task(id model.TaskID) (state.Task, model.JobSpec, bool)
	// Estimate returns what succeeded attempts of similar jobs used, if there were any.
	Estimate(spec model.JobSpec) (state.Estimate, bool)
	// Offset returns the log position up to which records were applied.
	Offset() model.Offset
}

// Feed delivers the events of each applied log record in order; the first update describes the whole state.
type Feed interface {
	// Next waits for the next update.
	Next(ctx context.Context) (stream.Update, error)
}

// Leases manages the worker leases.
type Leases interface {
	// ServeSoon requests that the worker's commands be sent soon.
	ServeSoon(id model.WorkerID)
	// WorkerChanged passes on the state machine's entry of a worker.
	WorkerChanged(w state.Worker)
	// SetDeclarations passes on the declarations in force.
	SetDeclarations(set decl.Set)
}

// Fullness shares with the placers of other data centres which data centres are full.
type Fullness interface {
	// Full reports whether the data centre last reported itself full.
	Full(dc model.DataCentreID) bool
	// ReportFull reports to the other placers whether this data centre is full.
	ReportFull(full bool)
}
