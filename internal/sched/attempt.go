package sched

import (
	"time"

	"arbutuswing.example/internal/model"
	"arbutuswing.example/internal/ports"
	"arbutuswing.example/internal/state"
)

// eviction tells why an attempt has to end.
type evictionReason string

// Reasons for evictions, as they appear in metrics.
const (
	evictNone          evictionReason = ""
	evictPreempt       evictionReason = "preempt"
	evictDataCentreOut evictionReason = "data-centre-out"
	evictLimit         evictionReason = "upper-limit"
	evictUsage         evictionReason = "usage"
	evictBacklog       evictionReason = "backlog"
)

// attempt is a bound attempt in the fold, on any worker.
type attempt struct {
	id          model.AttemptID
	spec        model.JobSpec
	worker      model.WorkerID
	boot        model.BootID
	reservation model.Resources
	resume      model.Duration
	// seq orders attempts by when they were bound; since is when this instance learned of it.
	seq   int64
	since time.Time
	// queued and at are when the task was queued and bound, in nanoseconds since 1970 by the writers' clocks.
	queuedAt, boundAt int64

	inBacklog bool
	// work is what the attempt adds to the backlog of its worker while it is behind others.
	backlogTime time.Duration
	stopping    bool
	// pulled is set for attempts with a team's own runner; they are on no worker.
	pulled bool

	evictReason evictionReason
	// saved is set once the attempt was checkpointed for its eviction.
	checkpointed bool
	// tried is set once a start was sent; unknown while a start may or may not have taken effect.
	startSent        bool
	startUnconfirmed bool
	// ending is set while the attempt's end is on its way to the log.
	endPending bool
}

// movable reports whether the attempt may be preempted for other work. Stopping a service or one member of a gang costs
// more than the progress of one attempt, so only single batch tasks are.
func (a *attempt) preemptible() bool {
	return a.spec.Kind == model.KindBatch && !a.inBacklog && !a.stopping && a.evictReason == evictNone
}

// failure remembers where a task failed, so that its next attempt goes elsewhere if it can: a worker is put into
// quarantine only after failures of several jobs, and a task has few attempts.
type failureHistory struct{ workers []model.WorkerID }

// session is a worker as the holder of its lease sees it.
type workerState struct {
	id     model.WorkerID
	worker state.Worker
	// bound lists the attempts that the fold has bound to the worker, behind ones included.
	bound map[model.AttemptID]*attempt

	// held is set from the first report under a lease until the lease is dropped.
	leaseHeld  bool
	acquiredAt time.Time
	reportedAt time.Time
	boot       model.BootID
	capacity   model.Resources
	leaving    bool
	// excess is the memory that running attempts use above their reservations; the book must not give it away again.
	excess model.Mebibytes
	tasks  map[model.AttemptID]ports.TaskReport
	// stopped holds when a stop was last sent.
	stopSentAt map[model.AttemptID]time.Time
	// closed holds the ended attempts whose end the fold holds, until they are acknowledged.
	seenEnds map[model.AttemptID]endReplication
}

// closing is an end that other instances of the data centre may not have folded yet.
type endReplication struct {
	seenAt time.Time
	// offset is a position of the log at or after the end's record, or model.NoOffset while it is not known.
	offset model.Offset
}

func newWorkerState(id model.WorkerID) *workerState {
	return &workerState{
		id: id, bound: make(map[model.AttemptID]*attempt),
		tasks: make(map[model.AttemptID]ports.TaskReport), stopSentAt: make(map[model.AttemptID]time.Time),
		seenEnds: make(map[model.AttemptID]endReplication),
	}
}

// running returns the report of an attempt that runs.
func (s *workerState) runningReport(id model.AttemptID) (ports.TaskReport, bool) {
	r, ok := s.tasks[id]
	return r, ok && r.Phase == ports.PhaseRunning
}

// loss returns the run time of a running attempt that no checkpoint covers.
func (a *attempt) lostProgress(r ports.TaskReport) time.Duration {
	return max(0, a.resume.Std()+r.Usage.RunTime.Std()-r.Checkpoint.Std())
}
