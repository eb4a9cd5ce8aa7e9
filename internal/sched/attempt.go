package sched

import (
	"time"

	"arbutuswing.example/internal/model"
	"arbutuswing.example/internal/ports"
	"arbutuswing.example/internal/state"
)

// evictionReason says why an attempt is evicted: ended and queued again.
type evictionReason string

// Reasons for evictions, as labelled in metrics.
const (
	evictNone          evictionReason = ""
	evictPreempt       evictionReason = "preempt"
	evictDataCentreOut evictionReason = "data-centre-out"
	evictLimit         evictionReason = "upper-limit"
	evictUsage         evictionReason = "usage"
	evictBacklog       evictionReason = "backlog"
)

// attempt is an attempt that the state machine has bound to a worker of any data centre, or that a team's runner
// pulled.
type attempt struct {
	id          model.AttemptID
	spec        model.JobSpec
	worker      model.WorkerID
	boot        model.BootID
	reservation model.Resources
	// resume is the progress of the checkpoint from which the attempt starts.
	resume model.Duration
	// seq numbers attempts in the order in which this instance learned of their binding, at the time since.
	seq   int64
	since time.Time
	// queuedAt and boundAt are in nanoseconds since 1970 by the clocks of the instances that wrote the records.
	queuedAt, boundAt int64

	// inBacklog is set while the attempt is bound without a reservation, behind the worker's running attempts.
	inBacklog bool
	// backlogTime is the attempt's part of its worker's backlog while inBacklog is set.
	backlogTime time.Duration
	// stopping is set once the job was cancelled.
	stopping bool
	// pulled is set for attempts that run on a team's own runner instead of a worker.
	pulled bool

	evictReason evictionReason
	// checkpointed is set once the attempt was asked for a checkpoint before its eviction.
	checkpointed bool
	// startSent is set once a start was sent; startUnconfirmed is set until a later report shows whether it took
	// effect.
	startSent        bool
	startUnconfirmed bool
	// endPending is set while the attempt's end is queued for the log or submitted.
	endPending bool
}

// preemptible reports whether the attempt may be preempted for other work. Only tasks of batch jobs may: stopping a
// service or one member of a gang costs more than the progress of one attempt.
func (a *attempt) preemptible() bool {
	return a.spec.Kind == model.KindBatch && !a.inBacklog && !a.stopping && a.evictReason == evictNone
}

// failureHistory holds the workers on which a task failed, so that its next attempt runs elsewhere if possible: a
// worker is quarantined only after failures of several jobs, and a task has few attempts.
type failureHistory struct{ workers []model.WorkerID }

// workerState is what the placer knows of a worker: its bound attempts and, while this instance holds its lease, its
// last report.
type workerState struct {
	id     model.WorkerID
	worker state.Worker
	// bound holds the attempts bound to the worker, including those in its backlog.
	bound map[model.AttemptID]*attempt

	// leaseHeld is set from the first report under a lease until the lease is dropped.
	leaseHeld bool
	// acquiredAt is when the lease was requested, reportedAt when the last report arrived.
	acquiredAt time.Time
	reportedAt time.Time
	boot       model.BootID
	capacity   model.Resources
	leaving    bool
	// excess is the memory that running attempts use above their reservations; it must not be reserved for others.
	excess model.Mebibytes
	tasks  map[model.AttemptID]ports.TaskReport
	// stopSentAt is when a stop of the attempt was last sent.
	stopSentAt map[model.AttemptID]time.Time
	// seenEnds holds the reported attempts whose end is in the local state machine, until they are acknowledged.
	seenEnds map[model.AttemptID]endReplication
}

// endReplication tracks an end until the other instances of the data centre have applied it.
type endReplication struct {
	seenAt time.Time
	// offset is a log position at or after the end's record, or model.NoOffset while it is unknown.
	offset model.Offset
}

func newWorkerState(id model.WorkerID) *workerState {
	return &workerState{
		id: id, bound: make(map[model.AttemptID]*attempt),
		tasks: make(map[model.AttemptID]ports.TaskReport), stopSentAt: make(map[model.AttemptID]time.Time),
		seenEnds: make(map[model.AttemptID]endReplication),
	}
}

// runningReport returns the last report of the attempt if it is running.
func (s *workerState) runningReport(id model.AttemptID) (ports.TaskReport, bool) {
	r, ok := s.tasks[id]
	return r, ok && r.Phase == ports.PhaseRunning
}

// lostProgress returns the run time of a running attempt that no checkpoint covers.
func (a *attempt) lostProgress(r ports.TaskReport) time.Duration {
	return max(0, a.resume.Std()+r.Usage.RunTime.Std()-r.Checkpoint.Std())
}
