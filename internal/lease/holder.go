package lease

import (
	"time"

	"arbutuswing.example/internal/model"
	"arbutuswing.example/internal/record"
	"arbutuswing.example/internal/state"
)

// holder is one worker as the holder of its lease sees it. Its shard's lock guards all fields; busy keeps calls to the
// worker in sequence.
type holder struct {
	id      model.WorkerID
	address string
	leaving bool
	busy    bool
	// kicked asks for the worker to be served before its renewal is due.
	kicked bool

	// token is zero while the lease is not held; the lease lapses at expires by the local clock.
	token    model.Token
	acquired time.Time
	expires  time.Time
	// boot and basis are the worker's boot and clock reading in the last report.
	boot  model.BootID
	basis model.Duration
	// seen is the operation that records the boot of the last report.
	seen record.WorkerSeen
	// due is when the lease is to be renewed or acquired next.
	due time.Time
	// contact is when the worker last answered, whatever it answered.
	contact time.Time

	// known is the worker in the fold; known.ID is empty until the fold knows it.
	known   state.Worker
	suspect suspicion
	// recording is set while an operation about the worker is on its way to the log.
	recording bool
	// retry is when an operation about the worker may be submitted again.
	retry time.Time
}

// suspicion follows one worker from its suspicion to its loss.
type suspicion struct {
	// seen is when the fold's latest suspicion was read.
	seen time.Time
	// before is the fold's suspicion when this instance submitted its own, and accepted that the fold took it.
	before   model.Offset
	accepted bool
	// own is the offset of this instance's suspicion.
	own model.Offset
}

func newHolder(id model.WorkerID, now time.Time) *holder {
	return &holder{
		id: id, contact: now, due: now,
		known:   state.Worker{Suspicion: model.NoOffset},
		suspect: suspicion{own: model.NoOffset, before: model.NoOffset},
	}
}

// held reports whether the lease is held at now by the local clock.
func (h *holder) held(now time.Time) bool { return h.token != 0 && now.Before(h.expires) }

// suspected reports whether the fold forbids to extend the worker's task leases.
func (h *holder) suspected() bool {
	return h.known.ID != "" && (h.known.Suspicion != model.NoOffset || h.known.Lost) && !h.rebooted()
}

// rebooted reports whether the worker runs a boot that the fold doesn't know yet.
func (h *holder) rebooted() bool { return h.boot != "" && h.boot != h.known.Boot }

// drop forgets the lease.
func (h *holder) drop() {
	h.token, h.basis = 0, 0
	h.expires = time.Time{}
}

// learn takes over the worker's state in the fold.
func (h *holder) learn(w state.Worker, now time.Time) {
	h.suspect.learn(h.known, w, now)
	h.known = w
}

// learn follows a change of the worker in the fold.
func (s *suspicion) learn(old, w state.Worker, now time.Time) {
	if w.Suspicion != old.Suspicion || w.Boot != old.Boot {
		s.seen = now
	}
	if w.Suspicion == model.NoOffset {
		s.own = model.NoOffset
	}
	s.settle(w)
}

// settle finds the offset of the instance's own suspicion, once it is both accepted and folded; if another one came in
// between, the fold finds the loss void.
func (s *suspicion) settle(w state.Worker) {
	if s.accepted && w.Suspicion != s.before && w.Suspicion != model.NoOffset {
		s.own, s.accepted = w.Suspicion, false
	}
}
