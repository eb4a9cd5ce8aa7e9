package member

import (
	"arbutuswing.example/internal/model"
	"arbutuswing.example/internal/state"
	"arbutuswing.example/internal/stream"
)

// placerDuty is the prefix of the rendezvous hashing key for electing a placer; the data centre follows it.
const placerDuty = "placer/"

// Placer returns the instance elected to place work in a data centre: the first of the live members there in rendezvous
// order. It returns false if there is no such member.
func (t *Table) Placer(dc model.DataCentreID) (model.InstanceID, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return Owner(placerDuty+string(dc), instanceIDs(t.live(dc)))
}

// IsElected reports whether this instance is elected for a duty: whether it is the first of all live members in
// rendezvous order.
func (t *Table) IsElected(duty string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	first, ok := Owner(duty, instanceIDs(t.live("")))
	return ok && first == t.cfg.Self.Instance
}

// electedIn reports whether this instance is elected for a duty that concerns a data centre. The election is among the
// live members there, which can observe the data centre's instances best, or among all live members if there are none.
func (t *Table) electedIn(duty string, dc model.DataCentreID) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	candidates := t.live(dc)
	if len(candidates) == 0 {
		candidates = t.live("")
	}
	first, ok := Owner(duty+string(dc), instanceIDs(candidates))
	return ok && first == t.cfg.Self.Instance
}

// Count returns the number of instances that may append to the log, at least 1. These are the recorded members, dead or
// alive, because members on the other side of a partition append too, and live peers that are not recorded yet.
func (t *Table) Count() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	count, now := len(t.recorded), t.cfg.Clock.Now()
	if _, ok := t.recorded[t.cfg.Self.Instance]; !ok {
		count++
	}
	for id, entry := range t.peers {
		if _, ok := t.recorded[id]; !ok && t.alive(entry, now) {
			count++
		}
	}
	return count
}

// Sources returns the live peers, recorded or not, as possible relays for the log and sources of a snapshot.
func (t *Table) Sources() []stream.Source {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.cfg.Clock.Now()
	var out []stream.Source
	for _, entry := range t.peers {
		if entry.address == "" || now.Sub(entry.statusAt) >= t.cfg.DeadAfter {
			continue
		}
		out = append(out, stream.Source{
			Address: entry.address, Local: entry.dataCentre == t.cfg.Self.DataCentre,
			Applied: entry.status.Applied, LogAnswers: entry.status.LogAnswers, Ready: entry.status.Ready,
		})
	}
	return out
}

func instanceIDs(members []state.Member) []model.InstanceID {
	out := make([]model.InstanceID, 0, len(members))
	for _, member := range members {
		out = append(out, member.Instance)
	}
	return out
}
