package member

import (
	"time"

	"arbutuswing.example/internal/model"
	"arbutuswing.example/internal/peer"
)

// noteAnswer takes the answer to a heartbeat that began at the given time. The start counts, so that a pause of this
// process cannot make an old answer look new.
func (t *Table) noteAnswer(id model.InstanceID, began time.Time, answer peer.HeartbeatAnswer) {
	t.mu.Lock()
	defer t.mu.Unlock()
	known := t.peers[id]
	if known == nil {
		return
	}
	if answer.Status.Instance != id {
		known.miss(began) // another instance has taken over the address
		return
	}
	known.answered = later(known.answered, began)
	known.heard = later(known.heard, began)
	known.misses = 0
	t.tell(known, answer.Status, began)
	for _, neighbour := range answer.Neighbours {
		t.noteNeighbour(neighbour, began)
	}
}

// noteNeighbour takes what a peer told of an instance in its data centre; the caller holds the lock.
func (t *Table) noteNeighbour(status peer.Status, began time.Time) {
	if status.Instance == t.cfg.Self.Instance || status.Instance == "" {
		return
	}
	known := t.row(status.Instance)
	if known == nil {
		return
	}
	if known.address == "" {
		known.dataCentre, known.address = status.DataCentre, status.PeerAddress
	}
	t.tell(known, status, began.Add(-status.Age))
}

// noteMiss records a heartbeat that was not answered.
func (t *Table) noteMiss(id model.InstanceID, began time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if known := t.peers[id]; known != nil {
		known.miss(began)
	}
}

func (r *row) miss(began time.Time) {
	if r.misses == 0 {
		r.missed = began
	}
	r.misses++
}

// noteBeat takes a heartbeat from a peer. It proves the peer alive, but the rest of its status is not used, except that
// a higher offset exists: the request may have waited in this process's socket during a pause, so its age is unknown.
func (t *Table) noteBeat(status peer.Status) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if status.Instance == t.cfg.Self.Instance || status.Instance == "" {
		return
	}
	t.seen = max(t.seen, status.Applied)
	known := t.row(status.Instance)
	if known == nil || status.Incarnation < known.status.Incarnation {
		return
	}
	if known.address == "" {
		known.dataCentre, known.address = status.DataCentre, status.PeerAddress
	}
	known.heard = t.cfg.Clock.Now()
	known.misses = 0
	t.contact(known, known.heard)
}

// contact records that an instance of the peer's data centre was heard from; the caller holds the lock.
func (t *Table) contact(known *row, at time.Time) {
	t.contacts[known.dataCentre] = later(t.contacts[known.dataCentre], at)
}

// LastContact returns the last time at which this instance heard from any instance of a data centre, directly or through
// others; for one that it never heard from, the time at which it began to listen.
func (t *Table) LastContact(dc model.DataCentreID) time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	return later(t.began, t.contacts[dc])
}

// tell keeps the newest status of a peer; one of an older incarnation comes from a process that was replaced.
func (t *Table) tell(known *row, status peer.Status, at time.Time) {
	t.seen = max(t.seen, status.Applied)
	if status.Incarnation < known.status.Incarnation || at.Before(known.told) {
		return
	}
	known.status, known.told = status, at
	t.contact(known, at)
}
