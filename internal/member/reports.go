package member

import (
	"time"

	"arbutuswing.example/internal/model"
	"arbutuswing.example/internal/peer"
)

// recordAnswer records the answer to a heartbeat that began at the given time. The answer is dated by the start of the
// call, so that an old answer does not seem new after a pause of this process.
func (t *Table) recordAnswer(id model.InstanceID, began time.Time, answer peer.HeartbeatAnswer) {
	t.mu.Lock()
	defer t.mu.Unlock()
	entry := t.peers[id]
	if entry == nil {
		return
	}
	if answer.Status.Instance != id {
		entry.countMiss(began) // another instance has taken over the address
		return
	}
	entry.answeredAt = later(entry.answeredAt, began)
	entry.heardAt = later(entry.heardAt, began)
	entry.misses = 0
	t.updateStatus(entry, answer.Status, began)
	for _, neighbour := range answer.Neighbours {
		t.recordNeighbour(neighbour, began)
	}
}

// recordNeighbour records what a peer reported about another instance in the peer's data centre; the caller holds the
// lock.
func (t *Table) recordNeighbour(status peer.Status, began time.Time) {
	if status.Instance == t.cfg.Self.Instance || status.Instance == "" {
		return
	}
	entry := t.ensurePeer(status.Instance)
	if entry == nil {
		return
	}
	if entry.address == "" {
		entry.dataCentre, entry.address = status.DataCentre, status.PeerAddress
	}
	t.updateStatus(entry, status, began.Add(-status.Age))
}

// recordMiss records a heartbeat that was not answered.
func (t *Table) recordMiss(id model.InstanceID, began time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if entry := t.peers[id]; entry != nil {
		entry.countMiss(began)
	}
}

func (e *peerEntry) countMiss(began time.Time) {
	if e.misses == 0 {
		e.firstMissAt = began
	}
	e.misses++
}

// recordHeartbeat records a heartbeat from a peer. It proves that the peer is alive and that the offset it reports
// exists. The rest of its status is not used, because the request may have waited in this process's socket during a
// pause, so that its age is unknown.
func (t *Table) recordHeartbeat(status peer.Status) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if status.Instance == t.cfg.Self.Instance || status.Instance == "" {
		return
	}
	t.highestOffset = max(t.highestOffset, status.Applied)
	entry := t.ensurePeer(status.Instance)
	if entry == nil || status.Incarnation < entry.status.Incarnation {
		return
	}
	if entry.address == "" {
		entry.dataCentre, entry.address = status.DataCentre, status.PeerAddress
	}
	entry.heardAt = t.cfg.Clock.Now()
	entry.misses = 0
	t.recordContact(entry, entry.heardAt)
}

// recordContact records when an instance of the peer's data centre was heard from; the caller holds the lock.
func (t *Table) recordContact(entry *peerEntry, at time.Time) {
	t.lastContacts[entry.dataCentre] = later(t.lastContacts[entry.dataCentre], at)
}

// LastContact returns the last time at which this instance heard from any instance of a data centre, directly or
// through others. If it never did, it returns the time at which the table was created.
func (t *Table) LastContact(dc model.DataCentreID) time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	return later(t.createdAt, t.lastContacts[dc])
}

// updateStatus keeps a status if it is the newest of the peer. It ignores a status of an older incarnation, which comes
// from a process that has been replaced. The caller holds the lock.
func (t *Table) updateStatus(entry *peerEntry, status peer.Status, at time.Time) {
	t.highestOffset = max(t.highestOffset, status.Applied)
	if status.Incarnation < entry.status.Incarnation || at.Before(entry.statusAt) {
		return
	}
	entry.status, entry.statusAt = status, at
	t.recordContact(entry, at)
}
