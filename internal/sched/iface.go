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

// Links tells how the instance is connected to the log and to other instances.
type Links interface {
	// IsPlacer reports whether the instance is the placer of its data centre.
	IsPlacer() bool
	// MayStart reports whether bound tasks may be started.
	MayStart() bool
	// ConnectedSince returns since when the instance has been connected or relayed without a break; ok is false while
	// it is neither.
	ConnectedSince() (since time.Time, ok bool)
	// FreshAt returns a time for which the fold surely holds every record that was in the log then.
	FreshAt() time.Time
	// OutageProof returns the latest time for which it is proved that the log is out and that no peer that answers had
	// folded more than this instance; zero outside an outage.
	OutageProof() time.Time
	// Spread reports whether every other recorded instance of the data centre has folded the log up to offset.
	Spread(offset model.Offset) bool
}

// Submitter records operations in the log.
type Submitter interface {
	// Submit returns one result per operation: nil, or the reason for which it is void. An error means that it is
	// unknown whether the operations were recorded.
	Submit(ctx context.Context, ops ...record.Op) ([]error, error)
}

// View reads the fold.
type View interface {
	Task(id model.TaskID) (state.Task, model.JobSpec, bool)
	Estimate(spec model.JobSpec) (state.Estimate, bool)
	Offset() model.Offset
}

// Feed delivers what envelopes changed, in order; the first update describes the whole state.
type Feed interface {
	Next(ctx context.Context) (stream.Update, error)
}

// Leases holds the worker leases.
type Leases interface {
	Kick(id model.WorkerID)
	WorkerChanged(w state.Worker)
	Declared(set decl.Set)
}

// Fullness exchanges with other placers whether their data centres are full.
type Fullness interface {
	Full(dc model.DataCentreID) bool
	ReportFull(full bool)
}
