package shard

import (
	"time"

	"arbutuswing.example/internal/agent"
	"arbutuswing.example/internal/model"
)

// worker is one life of a worker.
type worker struct {
	id          model.WorkerID
	entry       agent.Entry
	listed      bool
	incarnation int64
	// visited tells that this life has seen the owner's fencing token.
	tokenSeen bool
	attempts  map[runKey]*attempt
	used      model.Resources
	// strangers are runs that the worker reports and nobody accounts for; it gets no task until they are stopped.
	unknownRuns map[runKey]*unknownRun
	// clock was read by the worker at clockAt or before.
	clock        time.Duration
	clockReadAt  time.Duration
	lastReportAt time.Duration
	// leaseEnd is the moment by which every lease sent so far has lapsed.
	leaseEnd time.Duration
	// seen is the highest end processed; acks pairs ends with the commits that record them.
	lastEndSeen int64
	ackedEnd    int64
	pendingAcks []pendingAck

	// assumed tells that runs were taken as gone whose outcome the worker has not reported.
	hasUnconfirmed bool

	consecutiveFailures int
	lastFailedJob       model.JobID
	quarantinedUntil    time.Duration
	reservations        map[*stage]model.Resources
}

type pendingAck struct {
	number       int64
	commitNumber uint64
}

type unknownRun struct {
	stopPending bool
	notBefore   time.Duration
}

func newWorker(id model.WorkerID) *worker {
	return &worker{
		id: id, attempts: make(map[runKey]*attempt), unknownRuns: make(map[runKey]*unknownRun),
		reservations: make(map[*stage]model.Resources),
	}
}

// usable reports whether new tasks may be sent to the worker.
func (w *worker) usable(now time.Duration) bool {
	return w.listed && w.tokenSeen && !w.entry.Draining && len(w.unknownRuns) == 0 && now-w.lastReportAt < suspectAfter
}

// free returns the room for a stage: what neither runs nor reservations of other stages of the same or a more urgent
// queue take.
func (w *worker) freeFor(st *stage) model.Resources {
	free := w.entry.Capacity.Minus(w.used)
	for other, reserved := range w.reservations {
		if other != st && other.job.queue.Priority <= st.job.queue.Priority {
			free = free.Minus(reserved)
		}
	}
	return free
}

// unsettledAttempts returns the runs that are to be started or stopped; most runs are simply at work.
func (w *worker) attemptsToCommand() []*attempt {
	for _, a := range w.attempts {
		if a.phase != phaseStarted {
			return sortedAttempts(w)
		}
	}
	return nil
}

// claimed reports whether room on the worker is kept for another stage.
func (w *worker) reservedForOther(st *stage) bool {
	_, own := w.reservations[st]
	return len(w.reservations) > 1 || (len(w.reservations) == 1 && !own)
}

// claimable returns the capacity that the stage may keep for itself: all that isn't kept for others already.
func (w *worker) reservableCapacity(st *stage) model.Resources {
	capacity := w.entry.Capacity
	for other, reserved := range w.reservations {
		if other != st {
			capacity = capacity.Minus(reserved)
		}
	}
	return capacity
}

// lease returns the end of a new lease on the worker's clock and notes when it has lapsed for certain. It returns zero
// while the worker's clock is unknown.
func (w *worker) newLeaseEnd(now, duration time.Duration) time.Duration {
	if !w.tokenSeen {
		return 0
	}
	end := w.clock + (now - w.clockReadAt) + duration
	longest := time.Duration(float64(end-w.clock) / (1 - clockDrift))
	w.leaseEnd = max(w.leaseEnd, w.clockReadAt+longest+lapseMargin)
	return end
}

// ackable returns the highest end that may be forgotten: it and all before it are recorded.
func (w *worker) ackableEnd(committed uint64) int64 {
	for len(w.pendingAcks) > 0 && w.pendingAcks[0].commitNumber <= committed {
		w.ackedEnd = w.pendingAcks[0].number
		w.pendingAcks = w.pendingAcks[1:]
	}
	return w.ackedEnd
}

// reserve keeps room for n more tasks of the stage on a worker.
func (st *stage) reserve(w *worker, n int) {
	if st.reserved == nil {
		st.reserved = make(map[*worker]model.Resources)
	}
	st.reserved[w] = st.reserved[w].Plus(st.spec.Size.Times(n))
	w.reservations[st] = st.reserved[w]
}

func (w *worker) unreserve(st *stage) { delete(w.reservations, st) }
