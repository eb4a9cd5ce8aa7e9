package shard

import (
	"time"

	"arbutuswing.example/internal/agent"
	"arbutuswing.example/internal/model"
)

// worker is one life of a worker.
type worker struct {
	id     model.WorkerID
	entry  agent.Entry
	listed bool
	born   int64
	// visited tells that this life has seen the owner's fencing token.
	visited  bool
	attempts map[runKey]*attempt
	used     model.Resources
	// strangers are runs that the worker reports and nobody accounts for; it gets no task until they are stopped.
	strangers map[runKey]*stranger
	// clock was read by the worker at clockAt or before.
	clock    time.Duration
	clockAt  time.Duration
	answered time.Duration
	// leaseEnd is the moment by which every lease sent so far has lapsed.
	leaseEnd time.Duration
	// seen is the highest end processed; acks pairs ends with the commits that record them.
	seen  int64
	acked int64
	acks  []pendingAck

	// assumed tells that runs were taken as gone whose outcome the worker has not reported.
	assumed bool

	failures         int
	lastFailure      model.JobID
	quarantinedUntil time.Duration
	reservations     map[*stage]model.Resources
}

type pendingAck struct {
	number int64
	batch  uint64
}

type stranger struct {
	calling   bool
	notBefore time.Duration
}

func newWorker(id model.WorkerID) *worker {
	return &worker{
		id: id, attempts: make(map[runKey]*attempt), strangers: make(map[runKey]*stranger),
		reservations: make(map[*stage]model.Resources),
	}
}

// usable reports whether new tasks may be sent to the worker.
func (w *worker) usable(now time.Duration) bool {
	return w.listed && w.visited && !w.entry.Draining && len(w.strangers) == 0 && now-w.answered < suspectAfter
}

// free returns the room for a stage: what neither runs nor reservations of other stages of the same or a more urgent
// queue take.
func (w *worker) free(st *stage) model.Resources {
	free := w.entry.Capacity.Minus(w.used)
	for other, room := range w.reservations {
		if other != st && other.job.queue.Priority <= st.job.queue.Priority {
			free = free.Minus(room)
		}
	}
	return free
}

// unsettledAttempts returns the runs that are to be started or stopped; most runs are simply at work.
func (w *worker) unsettledAttempts() []*attempt {
	for _, a := range w.attempts {
		if a.phase != phaseStarted {
			return sortedAttempts(w)
		}
	}
	return nil
}

// claimed reports whether room on the worker is kept for another stage.
func (w *worker) claimed(st *stage) bool {
	_, own := w.reservations[st]
	return len(w.reservations) > 1 || (len(w.reservations) == 1 && !own)
}

// claimable returns the capacity that the stage may keep for itself: all that isn't kept for others already.
func (w *worker) claimable(st *stage) model.Resources {
	room := w.entry.Capacity
	for other, kept := range w.reservations {
		if other != st {
			room = room.Minus(kept)
		}
	}
	return room
}

// lease returns the end of a new lease on the worker's clock and notes when it has lapsed for certain. It returns zero
// while the worker's clock is unknown.
func (w *worker) lease(now, length time.Duration) time.Duration {
	if !w.visited {
		return 0
	}
	end := w.clock + (now - w.clockAt) + length
	slowest := time.Duration(float64(end-w.clock) / (1 - clockDrift))
	w.leaseEnd = max(w.leaseEnd, w.clockAt+slowest+lapseMargin)
	return end
}

// ackable returns the highest end that may be forgotten: it and all before it are recorded.
func (w *worker) ackable(committed uint64) int64 {
	for len(w.acks) > 0 && w.acks[0].batch <= committed {
		w.acked = w.acks[0].number
		w.acks = w.acks[1:]
	}
	return w.acked
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
