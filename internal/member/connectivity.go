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
	// Connected means that this instance reads the log directly.
	Connected State = "connected"
	// Relayed means that this instance reads the log through a peer.
	Relayed State = "relayed"
	// Outage means that all other data centres have confirmed that no instance can read the log, so the last state is
	// still in force.
	Outage State = "outage"
	// CutOff means that this instance cannot tell whether its state is still in force.
	CutOff State = "cut-off"
)

// Connectivity is a connectivity state and the time since which it has held.
type Connectivity struct {
	State State     `json:"state"`
	Since time.Time `json:"since"`
}

// evaluateConnectivity determines the connectivity state; the caller holds the lock.
//
// The cut-off state begins FreshBound after the state was last known to be up to date, no matter when this is noticed.
// A short outage state in between therefore starts a new grace period only if it proved the state to be up to date.
func (t *Table) evaluateConnectivity(status stream.Status) Connectivity {
	now := t.cfg.Clock.Now()
	t.ready = readyStatus(status)
	t.applied = max(t.applied, status.Applied)
	t.currentAt = later(t.currentAt, status.LastRead())
	t.adoptPeerFreshness()
	next := CutOff
	switch {
	case status.HaltReason != "":
	case now.Sub(status.LastDirectRead) < t.cfg.FreshBound:
		next = Connected
	case now.Sub(status.LastRelayedRead) < t.cfg.FreshBound:
		next = Relayed
	default:
		if proof, ok := t.confirmOutage(status, now); ok {
			t.currentAt = later(t.currentAt, proof)
			next = Outage
		}
	}
	t.setConnectivity(next, now)
	if t.connectivity.hasLog() {
		// An interruption of the reads that ended before this evaluation, for example by a pause of the process, also
		// ends the period.
		t.connectivity.Since = later(t.connectivity.Since, status.FreshSince)
	}
	return t.connectivity
}

// setConnectivity sets the state and the time since which it has held.
func (t *Table) setConnectivity(next State, now time.Time) {
	since := t.connectivity.Since
	if next != t.connectivity.State {
		since = now
	}
	if next == CutOff && !t.currentAt.IsZero() {
		since = t.currentAt.Add(t.cfg.FreshBound)
	}
	t.connectivity = Connectivity{State: next, Since: since}
}

// adoptPeerFreshness moves currentAt forward if a peer knew at a later time that a state was up to date which this
// instance has applied. An instance that started during a partition learns in this way how long its data centre has
// been cut off.
func (t *Table) adoptPeerFreshness() {
	for _, entry := range t.peers {
		if entry.status.CurrentAge >= 0 && entry.status.Applied <= t.applied {
			t.currentAt = later(t.currentAt, entry.statusAt.Add(-entry.status.CurrentAge))
		}
	}
}

// confirmOutage reports whether it is proved that no instance can read the log, and the latest time at which this is
// proved. The proof has three conditions. Every other data centre that may have an instance with access to the log has
// answered. No peer reads the log. No peer ever reported a higher offset than this instance has applied; otherwise this
// instance would lack the last state. In addition, the members and data centres must be known from the state machine;
// without them, no data centre would seem to be missing.
func (t *Table) confirmOutage(status stream.Status, now time.Time) (time.Time, bool) {
	if !status.Ready || !t.initialised || t.updateOffset < status.Restored || t.highestOffset > t.applied {
		return time.Time{}, false
	}
	lastAnswers := make(map[model.DataCentreID]time.Time)
	for _, entry := range t.peers {
		if entry.status.LogAnswers && now.Sub(entry.statusAt) < t.cfg.DeadAfter {
			return time.Time{}, false
		}
		lastAnswers[entry.dataCentre] = later(lastAnswers[entry.dataCentre], entry.answeredAt)
	}
	proof := now
	for _, dc := range t.confirmingDataCentres() {
		if now.Sub(lastAnswers[dc]) >= t.cfg.DeadAfter {
			return time.Time{}, false
		}
		if lastAnswers[dc].Before(proof) {
			proof = lastAnswers[dc]
		}
	}
	return proof, true
}

// confirmingDataCentres returns the data centres that must answer to prove an outage. These are all others that are in
// service, that have recorded members or that have instances on the platform's instance list, unless they are declared
// lost. One that is out of service counts while it has members, because operators can make changes through them. A
// listed instance counts even if it is not recorded: during a partition, other instances may remove a member that is
// alive and joins again. If there is no other data centre, this one must answer if it has other members.
func (t *Table) confirmingDataCentres() []model.DataCentreID {
	own := t.cfg.Self.DataCentre
	wanted := make(map[model.DataCentreID]bool)
	for dc, declared := range t.services {
		wanted[dc] = declared.inService
	}
	neighbours := false
	for id, member := range t.recorded {
		wanted[member.DataCentre] = !t.services[member.DataCentre].lost
		neighbours = neighbours || (member.DataCentre == own && id != t.cfg.Self.Instance)
	}
	for _, entry := range t.peers {
		if entry.listed && entry.dataCentre != "" {
			wanted[entry.dataCentre] = !t.services[entry.dataCentre].lost
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

// neighboursSilent reports whether the log records other members of this data centre, but none of them responds; the
// caller holds the lock.
func (t *Table) neighboursSilent(now time.Time) bool {
	recorded := false
	for id, member := range t.recorded {
		if id == t.cfg.Self.Instance || member.DataCentre != t.cfg.Self.DataCentre {
			continue
		}
		recorded = true
		if entry := t.peers[id]; entry != nil && t.responding(entry, now) {
			return false
		}
	}
	return recorded
}
