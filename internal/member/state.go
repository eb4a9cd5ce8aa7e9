package member

import (
	"time"

	"arbutuswing.example/internal/model"
	"arbutuswing.example/internal/stream"
)

// State is how this instance is connected to the log.
type State string

// Connectivity states.
const (
	// Connected reads the log itself.
	Connected State = "connected"
	// Relayed reads the log through a peer.
	Relayed State = "relayed"
	// Outage has heard from every other data centre that nobody reads the log, so the last state is still in force.
	Outage State = "outage"
	// CutOff cannot tell whether its state is still in force.
	CutOff State = "cut-off"
)

// Connectivity is the connectivity state and the time at which it began.
type Connectivity struct {
	State State     `json:"state"`
	Since time.Time `json:"since"`
}

// observe evaluates the connectivity state; the caller holds the lock.
//
// The state is cut-off from the moment at which it was last known to be the newest, plus FreshBound, whenever that is
// noticed. A short outage state in between therefore does not start the grace period again unless it proved the state
// to be the newest.
func (t *Table) observe(status stream.Status) Connectivity {
	now := t.cfg.Clock.Now()
	t.ready = readyStatus(status)
	t.applied = max(t.applied, status.Applied)
	t.current = later(t.current, status.LastRead())
	t.learnCurrent()
	next := CutOff
	switch {
	case status.HaltReason != "":
	case now.Sub(status.LastDirectRead) < t.cfg.FreshBound:
		next = Connected
	case now.Sub(status.LastRelayedRead) < t.cfg.FreshBound:
		next = Relayed
	default:
		if proof, ok := t.outageProof(status, now); ok {
			t.current = later(t.current, proof)
			next = Outage
		}
	}
	t.enter(next, now)
	if t.view.hasLog() {
		// A break that ended before anybody looked, as in a pause of the process, still ends the period.
		t.view.Since = later(t.view.Since, status.FreshSince)
	}
	return t.view
}

func (t *Table) enter(next State, now time.Time) {
	since := t.view.Since
	if next != t.view.State {
		since = now
	}
	if next == CutOff && !t.current.IsZero() {
		since = t.current.Add(t.cfg.FreshBound)
	}
	t.view = Connectivity{State: next, Since: since}
}

// learnCurrent takes over from peers when a state that this instance has folded was known to be the newest. An
// instance that started during a partition learns in this way how long its data centre has been cut off.
func (t *Table) learnCurrent() {
	for _, known := range t.peers {
		if known.status.CurrentAge >= 0 && known.status.Applied <= t.applied {
			t.current = later(t.current, known.told.Add(-known.status.CurrentAge))
		}
	}
}

// outageProof reports whether the log is out for everybody, and since when that is proved at the latest. Every other
// data centre that may hold an instance with access to the log must have answered; none of the peers may read the log;
// and none may ever have reported a higher offset, because then the last state is not the one seen here. The members and
// data centres must have been taken from the fold, else none would seem to be missing.
func (t *Table) outageProof(status stream.Status, now time.Time) (time.Time, bool) {
	if !status.Ready || !t.informed || t.taken < status.Restored || t.seen > t.applied {
		return time.Time{}, false
	}
	answered := make(map[model.DataCentreID]time.Time)
	for _, known := range t.peers {
		if known.status.LogAnswers && now.Sub(known.told) < t.cfg.DeadAfter {
			return time.Time{}, false
		}
		answered[known.dataCentre] = later(answered[known.dataCentre], known.answered)
	}
	proof := now
	for _, dc := range t.required() {
		if now.Sub(answered[dc]) >= t.cfg.DeadAfter {
			return time.Time{}, false
		}
		if answered[dc].Before(proof) {
			proof = answered[dc]
		}
	}
	return proof, true
}

// required returns the data centres whose answers prove an outage: all others that are in service, that the log
// records members of or in which the platform's list shows instances, unless they are declared lost. One that is out of
// service counts while it has members, since operators can make changes through them. A listed instance counts without a
// record, because a partition makes others record the end of one that lives and joins again. Where there is no other
// data centre, the own one must answer if it has other members.
func (t *Table) required() []model.DataCentreID {
	own := t.cfg.Self.DataCentre
	wanted := make(map[model.DataCentreID]bool)
	for dc, declared := range t.services {
		wanted[dc] = declared.in
	}
	neighbours := false
	for id, found := range t.recorded {
		wanted[found.DataCentre] = !t.services[found.DataCentre].lost
		neighbours = neighbours || (found.DataCentre == own && id != t.cfg.Self.Instance)
	}
	for _, known := range t.peers {
		if known.listed && known.dataCentre != "" {
			wanted[known.dataCentre] = !t.services[known.dataCentre].lost
		}
	}
	var out []model.DataCentreID
	for dc, needed := range wanted {
		if needed && dc != own {
			out = append(out, dc)
		}
	}
	if len(out) == 0 && neighbours {
		out = append(out, own)
	}
	return out
}

// alone reports whether the log records other members of the own data centre but none of them answers.
func (t *Table) alone(now time.Time) bool {
	recorded := false
	for id, found := range t.recorded {
		if id == t.cfg.Self.Instance || found.DataCentre != t.cfg.Self.DataCentre {
			continue
		}
		recorded = true
		if known := t.peers[id]; known != nil && t.answers(known, now) {
			return false
		}
	}
	return recorded
}
