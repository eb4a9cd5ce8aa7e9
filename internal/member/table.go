package member

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"arbutuswing.example/internal/model"
	"arbutuswing.example/internal/peer"
	"arbutuswing.example/internal/ports"
	"arbutuswing.example/internal/state"
)

// Table holds what this instance knows about the other entry instances. It has no goroutines of its own: Service
// updates it, and the stream and the elections read it. All methods are safe for concurrent use.
type Table struct {
	cfg TableConfig

	mu    sync.Mutex
	peers map[model.InstanceID]*peerEntry
	// recorded holds the members in the state machine, including this instance once it has joined.
	recorded map[model.InstanceID]state.Member
	// membership is the offset of the last membership change.
	membership model.Offset
	// services holds the declared service status of each data centre.
	services map[model.DataCentreID]dataCentreService
	// initialised is set after the first update from the state machine, which has the members and data centres.
	// updateOffset is the offset of the last update.
	initialised  bool
	updateOffset model.Offset
	leaving      bool
	// ready is set while this instance has a state and can apply records.
	ready bool
	// createdAt is when the table was created, and lastContacts has the time of the last sign of life of each data
	// centre.
	createdAt    time.Time
	lastContacts map[model.DataCentreID]time.Time
	// applied is the offset of the last record that this instance applied, and highestOffset the highest offset that
	// any instance ever reported.
	applied       model.Offset
	highestOffset model.Offset
	// currentAt is the latest time at which the state at applied is known to have been up to date, which means that it
	// contained every record in the log.
	currentAt    time.Time
	connectivity Connectivity
}

// dataCentreService is the service status that operators declare for a data centre.
type dataCentreService struct{ inService, lost bool }

// peerEntry is what is known about one peer.
type peerEntry struct {
	instance   model.InstanceID
	dataCentre model.DataCentreID
	address    string
	// listed is set while the platform's instance list shows the peer as live.
	listed bool
	// status is the newest status, from the peer itself or from a neighbour of it, and statusAt is the time that it
	// describes.
	status   peer.Status
	statusAt time.Time
	// answeredAt is the start of the last heartbeat that the peer answered; heardAt also counts heartbeats that it
	// sent.
	answeredAt time.Time
	heardAt    time.Time
	// firstMissAt is the start of the first unanswered heartbeat since the peer was last heard, and misses is the
	// number of such heartbeats.
	firstMissAt time.Time
	misses      int
	// joinedOffset and incarnation are from the last join record of the peer; rejoins is how often that incarnation
	// joined again after it was removed.
	joinedOffset model.Offset
	incarnation  model.Incarnation
	rejoins      int
}

// NewTable returns a table that knows only this instance; it returns ErrConfig for invalid settings.
func NewTable(cfg TableConfig) (*Table, error) {
	cfg = cfg.WithDefaults()
	if err := cfg.Check(); err != nil {
		return nil, err
	}
	return &Table{
		cfg: cfg, peers: make(map[model.InstanceID]*peerEntry), recorded: make(map[model.InstanceID]state.Member),
		membership: model.NoOffset, services: make(map[model.DataCentreID]dataCentreService),
		createdAt: cfg.Clock.Now(), lastContacts: make(map[model.DataCentreID]time.Time),
		updateOffset: model.NoOffset, applied: model.NoOffset, highestOffset: model.NoOffset,
		connectivity: Connectivity{State: CutOff, Since: cfg.Clock.Now()},
	}, nil
}

// setMembers replaces the recorded members by those in the state machine.
func (t *Table) setMembers(members []state.Member, offset model.Offset) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.membership = offset
	clear(t.recorded)
	for _, member := range members {
		t.recorded[member.Instance] = member
		if member.Instance == t.cfg.Self.Instance {
			continue
		}
		entry := t.ensurePeer(member.Instance)
		if entry == nil {
			continue
		}
		entry.dataCentre, entry.address = member.DataCentre, member.PeerAddress
		entry.countRejoins(member)
	}
	t.prune()
}

// countRejoins counts how often a member joined again after a removal. Such a member is alive, but this instance and
// others cannot reach it. Each rejoin lengthens the time to the next removal, so that a partition does not change the
// members every few seconds.
func (e *peerEntry) countRejoins(member state.Member) {
	if member.Incarnation != e.incarnation {
		e.rejoins = 0
	} else if member.Joined != e.joinedOffset {
		e.rejoins++
		e.misses = 0
	}
	e.joinedOffset, e.incarnation = member.Joined, member.Incarnation
}

// setListed updates the peers from the platform's instance list.
func (t *Table) setListed(instances []ports.Instance) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, entry := range t.peers {
		entry.listed = false
	}
	for _, instance := range instances {
		id := model.InstanceID(instance.ID)
		if instance.Role != ports.RoleEntry || instance.Presence != ports.PresenceLive || id == t.cfg.Self.Instance {
			continue
		}
		entry := t.ensurePeer(id)
		if entry == nil {
			continue
		}
		entry.listed = true
		if _, ok := t.recorded[id]; !ok {
			entry.dataCentre, entry.address = instance.DataCentre, instance.Address
		}
	}
	t.prune()
}

// ensurePeer returns the entry of a peer and creates it if needed; it returns nil if PeerLimit is reached. The caller
// holds the lock.
func (t *Table) ensurePeer(id model.InstanceID) *peerEntry {
	if entry, ok := t.peers[id]; ok {
		return entry
	}
	if len(t.peers) >= t.cfg.PeerLimit {
		return nil
	}
	created := &peerEntry{instance: id}
	created.status.Applied, created.status.CurrentAge = model.NoOffset, peer.NeverCurrent
	t.peers[id] = created
	return created
}

// prune removes silent peers that are neither recorded nor on the platform's instance list; the caller holds the lock.
func (t *Table) prune() {
	now := t.cfg.Clock.Now()
	for id, entry := range t.peers {
		if _, ok := t.recorded[id]; !ok && !entry.listed && !t.alive(entry, now) {
			delete(t.peers, id)
		}
	}
}

// alive reports whether the peer was heard within DeadAfter, directly or through another instance; the caller holds the
// lock.
func (t *Table) alive(entry *peerEntry, now time.Time) bool {
	return now.Sub(entry.heardAt) < t.cfg.DeadAfter || now.Sub(entry.statusAt) < t.cfg.DeadAfter
}

// responding reports whether the peer answered a heartbeat of this instance within DeadAfter.
func (t *Table) responding(entry *peerEntry, now time.Time) bool {
	return now.Sub(entry.answeredAt) < t.cfg.DeadAfter
}

// later returns the later of two times.
func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

// Members returns the recorded members ordered by instance ID, and the offset of the last membership change.
func (t *Table) Members() ([]state.Member, model.Offset) {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := make([]state.Member, 0, len(t.recorded))
	for _, member := range t.recorded {
		out = append(out, member)
	}
	sortMembers(out)
	return out, t.membership
}

// Live returns the recorded members that are alive, ready and not leaving, including this instance, ordered by instance
// ID.
func (t *Table) Live() []state.Member {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.live("")
}

// live returns the live members of one data centre, or of all if dc is empty; the caller holds the lock.
func (t *Table) live(dc model.DataCentreID) []state.Member {
	now := t.cfg.Clock.Now()
	var out []state.Member
	for id, member := range t.recorded {
		if (dc == "" || member.DataCentre == dc) && t.eligible(id, member, now) {
			out = append(out, member)
		}
	}
	sortMembers(out)
	return out
}

// AppliedByPeers reports whether every other recorded member of this data centre has reported that it applied the log
// up to offset. Any of these members may hold the worker leases next.
func (t *Table) AppliedByPeers(offset model.Offset) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	for id, member := range t.recorded {
		if id == t.cfg.Self.Instance || member.DataCentre != t.cfg.Self.DataCentre {
			continue
		}
		entry := t.peers[id]
		if entry == nil || entry.status.Incarnation != member.Incarnation || entry.status.Applied < offset {
			return false
		}
	}
	return true
}

// eligible reports whether a recorded member can be elected: it is alive, ready and not leaving, and its process is of
// the recorded incarnation. The caller holds the lock.
func (t *Table) eligible(id model.InstanceID, member state.Member, now time.Time) bool {
	if id == t.cfg.Self.Instance {
		return !t.leaving && t.ready && member.Incarnation == t.cfg.Self.Incarnation
	}
	entry := t.peers[id]
	return entry != nil && t.alive(entry, now) && !entry.status.Leaving && entry.status.Ready &&
		entry.status.Incarnation == member.Incarnation
}

func sortMembers(members []state.Member) {
	slices.SortFunc(members, func(a, b state.Member) int { return cmp.Compare(a.Instance, b.Instance) })
}
