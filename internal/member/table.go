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

// Table is what this instance knows of the other entry instances. It holds no goroutines: Service feeds it, and the
// stream and the duties read it. All methods are safe for concurrent use.
type Table struct {
	cfg TableConfig

	mu    sync.Mutex
	peers map[model.InstanceID]*row
	// recorded holds the members in the fold, this instance included once it has joined.
	recorded map[model.InstanceID]state.Member
	// membership is the offset of the last membership change.
	membership model.Offset
	// services holds what operators declare about data centres.
	services map[model.DataCentreID]service
	// informed is set once the members and data centres were taken from the fold, and taken is the offset of the last
	// update.
	informed bool
	taken    model.Offset
	leaving  bool
	// ready is set while this instance has a state and is able to fold.
	ready bool
	// began is when the table was made, and contacts holds the last sign of life of each data centre.
	began    time.Time
	contacts map[model.DataCentreID]time.Time
	// applied is the last offset that this instance folded, and seen the highest one that any instance ever reported.
	applied model.Offset
	seen    model.Offset
	// current is the time up to which the state at applied is known to contain everything recorded.
	current time.Time
	view    Connectivity
}

// service is what operators declare about a data centre.
type service struct{ in, lost bool }

// row is what is known of one peer.
type row struct {
	instance   model.InstanceID
	dataCentre model.DataCentreID
	address    string
	// listed is set while the platform's list shows the peer as live.
	listed bool
	// status is the newest status, told by the peer or by a neighbour of it, and told is when it held true.
	status peer.Status
	told   time.Time
	// answered is the start of the last heartbeat that the peer answered; heard also counts heartbeats from the peer.
	answered time.Time
	heard    time.Time
	// missed is the start of the first unanswered heartbeat since then, and misses counts them.
	missed time.Time
	misses int
	// joined and incarnation are those of the last record of the peer, and rejoins counts how often that incarnation
	// came back after a removal.
	joined      model.Offset
	incarnation model.Incarnation
	rejoins     int
}

// NewTable returns a table that knows only this instance.
func NewTable(cfg TableConfig) (*Table, error) {
	cfg = cfg.WithDefaults()
	if err := cfg.Check(); err != nil {
		return nil, err
	}
	return &Table{
		cfg: cfg, peers: make(map[model.InstanceID]*row), recorded: make(map[model.InstanceID]state.Member),
		membership: model.NoOffset, services: make(map[model.DataCentreID]service),
		began: cfg.Clock.Now(), contacts: make(map[model.DataCentreID]time.Time),
		taken: model.NoOffset, applied: model.NoOffset, seen: model.NoOffset,
		view: Connectivity{State: CutOff, Since: cfg.Clock.Now()},
	}, nil
}

// setMembers takes the members in the fold.
func (t *Table) setMembers(members []state.Member, offset model.Offset) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.membership = offset
	clear(t.recorded)
	for _, found := range members {
		t.recorded[found.Instance] = found
		if found.Instance == t.cfg.Self.Instance {
			continue
		}
		known := t.row(found.Instance)
		if known == nil {
			continue
		}
		known.dataCentre, known.address = found.DataCentre, found.PeerAddress
		known.noteJoin(found)
	}
	t.prune()
}

// noteJoin counts the returns of a member that was removed. It lives, but this instance and others cannot reach it;
// each time it is given longer, so that a partition does not change the members every few seconds.
func (r *row) noteJoin(found state.Member) {
	if found.Incarnation != r.incarnation {
		r.rejoins = 0
	} else if found.Joined != r.joined {
		r.rejoins++
		r.misses = 0
	}
	r.joined, r.incarnation = found.Joined, found.Incarnation
}

// setListed takes the platform's list of instances.
func (t *Table) setListed(instances []ports.Instance) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, known := range t.peers {
		known.listed = false
	}
	for _, found := range instances {
		id := model.InstanceID(found.ID)
		if found.Role != ports.RoleEntry || found.Presence != ports.PresenceLive || id == t.cfg.Self.Instance {
			continue
		}
		known := t.row(id)
		if known == nil {
			continue
		}
		known.listed = true
		if _, ok := t.recorded[id]; !ok {
			known.dataCentre, known.address = found.DataCentre, found.Address
		}
	}
	t.prune()
}

// row returns the peer's row, made if there is room; the caller holds the lock.
func (t *Table) row(id model.InstanceID) *row {
	if known, ok := t.peers[id]; ok {
		return known
	}
	if len(t.peers) >= t.cfg.PeerLimit {
		return nil
	}
	made := &row{instance: id}
	made.status.Applied, made.status.CurrentAge = model.NoOffset, peer.NeverCurrent
	t.peers[id] = made
	return made
}

// prune drops peers that neither the fold nor the list shows and that are silent; the caller holds the lock.
func (t *Table) prune() {
	now := t.cfg.Clock.Now()
	for id, known := range t.peers {
		if _, ok := t.recorded[id]; !ok && !known.listed && !t.alive(known, now) {
			delete(t.peers, id)
		}
	}
}

// alive reports whether anything proved the peer alive within DeadAfter; the caller holds the lock.
func (t *Table) alive(known *row, now time.Time) bool {
	return now.Sub(known.heard) < t.cfg.DeadAfter || now.Sub(known.told) < t.cfg.DeadAfter
}

// answers reports whether the peer itself answered within DeadAfter.
func (t *Table) answers(known *row, now time.Time) bool {
	return now.Sub(known.answered) < t.cfg.DeadAfter
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

// Members returns the recorded members in order of their names, and the offset of the last change to them.
func (t *Table) Members() ([]state.Member, model.Offset) {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := make([]state.Member, 0, len(t.recorded))
	for _, found := range t.recorded {
		out = append(out, found)
	}
	sortMembers(out)
	return out, t.membership
}

// Live returns the recorded members that are alive, ready and not leaving, this instance included, in order of their
// names.
func (t *Table) Live() []state.Member {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.live("")
}

// live returns the live members of one data centre, or of all; the caller holds the lock.
func (t *Table) live(dc model.DataCentreID) []state.Member {
	now := t.cfg.Clock.Now()
	var out []state.Member
	for id, found := range t.recorded {
		if (dc == "" || found.DataCentre == dc) && t.eligible(id, found, now) {
			out = append(out, found)
		}
	}
	sortMembers(out)
	return out
}

// Spread reports whether every other recorded member of the own data centre, any of which may hold the worker leases next,
// has told that it folded the log up to offset.
func (t *Table) Spread(offset model.Offset) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	for id, found := range t.recorded {
		if id == t.cfg.Self.Instance || found.DataCentre != t.cfg.Self.DataCentre {
			continue
		}
		known := t.peers[id]
		if known == nil || known.status.Incarnation != found.Incarnation || known.status.Applied < offset {
			return false
		}
	}
	return true
}

// eligible reports whether a recorded member may hold duties: it is alive, not leaving and able to fold, and no newer
// process has taken its place. The caller holds the lock.
func (t *Table) eligible(id model.InstanceID, found state.Member, now time.Time) bool {
	if id == t.cfg.Self.Instance {
		return !t.leaving && t.ready && found.Incarnation == t.cfg.Self.Incarnation
	}
	known := t.peers[id]
	return known != nil && t.alive(known, now) && !known.status.Leaving && known.status.Ready &&
		known.status.Incarnation == found.Incarnation
}

func sortMembers(members []state.Member) {
	slices.SortFunc(members, func(a, b state.Member) int { return cmp.Compare(a.Instance, b.Instance) })
}
