package lease

import (
	"time"

	"arbutuswing.example/internal/model"
	"arbutuswing.example/internal/record"
	"arbutuswing.example/internal/state"
)

// recordRetry is how long an operation about a worker waits before it is submitted again.
const recordRetry = 2 * time.Second

// watch records what the calls showed about the worker: a new boot, an end of its silence, a suspicion or its loss.
func (s *shard) watch(h *holder) {
	now := s.m.deps.Clock.Now()
	since, connected := s.m.deps.Links.ConnectedSince()
	if !connected {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if h.recording || now.Before(h.retry) {
		return
	}
	op := s.verdict(h, now, since)
	if op == nil {
		return
	}
	h.recording, h.retry = true, now.Add(recordRetry)
	if _, ok := op.(record.WorkerSuspected); ok {
		h.suspect.before, h.suspect.accepted = h.known.Suspicion, false
	}
	s.m.out.put(entry{op: op, done: s.recorded, id: h.id})
}

// verdict returns the operation that is due, or nil; the lock is held.
func (s *shard) verdict(h *holder, now, connected time.Time) record.Op {
	if now.Sub(h.contact) < s.m.cfg.SuspectAfter {
		return h.alive(now)
	}
	if h.known.ID == "" || h.known.Lost || !s.m.hasList() {
		return nil
	}
	return s.m.cfg.silent(h.known, h.suspect, now, connected)
}

// alive returns the operation for a worker that answers; the lock is held.
func (h *holder) alive(now time.Time) record.Op {
	if !h.held(now) || h.boot == "" {
		return nil
	}
	switch {
	case h.known.ID == "" || h.rebooted():
		return h.seen
	case h.known.Lost || h.known.Suspicion != model.NoOffset:
		return record.WorkerCleared{Worker: h.id, Boot: h.boot}
	}
	return nil
}

// silent returns the operation for a worker that doesn't answer. The wait before its loss starts when this instance
// read its own suspicion, and again whenever the connection to the log was broken since: the fold might hold a
// clearance that the instance hasn't read.
func (c Config) silent(known state.Worker, s suspicion, now, connected time.Time) record.Op {
	suspect := record.WorkerSuspected{Worker: known.ID, Boot: known.Boot}
	if known.Suspicion == model.NoOffset || s.own == model.NoOffset {
		return suspect
	}
	if s.own != known.Suspicion {
		// Another instance replaced the suspicion; it gets the time to finish.
		if now.Sub(s.seen) > 2*c.lossWait() {
			return suspect
		}
		return nil
	}
	from := s.seen
	if connected.After(from) {
		from = connected
	}
	if now.Sub(from) <= c.lossWait() {
		return nil
	}
	return record.WorkerLost{Worker: known.ID, Boot: known.Boot, Suspicion: s.own}
}

// recorded notes the result of an operation about a worker.
func (s *shard) recorded(e entry, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	h := s.holders[e.id]
	h.recording = false
	if _, ok := e.op.(record.WorkerSuspected); ok && err == nil {
		h.suspect.accepted = true
		h.suspect.settle(h.known)
	}
}
