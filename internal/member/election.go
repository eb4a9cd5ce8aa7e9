package member

import (
	"arbutuswing.example/internal/model"
	"arbutuswing.example/internal/state"
	"arbutuswing.example/internal/stream"
)

// placerDuty names the duty of placing for rendezvous hashing; the data centre follows it.
const placerDuty = "placer/"

// Placer returns the instance that places work in a data centre: the first live recorded member there in rendezvous
// order. It returns false if no such member is known.
func (t *Table) Placer(dc model.DataCentreID) (model.InstanceID, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return Owner(placerDuty+string(dc), names(t.live(dc)))
}

// First reports whether this instance is the first live recorded member of all in rendezvous order for a duty.
func (t *Table) First(duty string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	first, ok := Owner(duty, names(t.live("")))
	return ok && first == t.cfg.Self.Instance
}

// firstFor reports whether this instance has a duty that concerns a data centre: the first live member there has it,
// because it sees the data centre's instances best, or the first of all if none there is alive.
func (t *Table) firstFor(duty string, dc model.DataCentreID) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	candidates := t.live(dc)
	if len(candidates) == 0 {
		candidates = t.live("")
	}
	first, ok := Owner(duty+string(dc), names(candidates))
	return ok && first == t.cfg.Self.Instance
}

// Count returns the number of members that may append, at least 1: recorded ones, dead or alive, because those behind a
// partition append too, and live peers that are not recorded yet.
func (t *Table) Count() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	count, now := len(t.recorded), t.cfg.Clock.Now()
	if _, ok := t.recorded[t.cfg.Self.Instance]; !ok {
		count++
	}
	for id, known := range t.peers {
		if _, ok := t.recorded[id]; !ok && t.alive(known, now) {
			count++
		}
	}
	return count
}

// Sources returns the live peers that may relay the log or serve a snapshot, recorded or not.
func (t *Table) Sources() []stream.Source {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.cfg.Clock.Now()
	var out []stream.Source
	for _, known := range t.peers {
		if known.address == "" || now.Sub(known.told) >= t.cfg.DeadAfter {
			continue
		}
		out = append(out, stream.Source{
			Address: known.address, Local: known.dataCentre == t.cfg.Self.DataCentre,
			Applied: known.status.Applied, LogAnswers: known.status.LogAnswers, Ready: known.status.Ready,
		})
	}
	return out
}

func names(members []state.Member) []model.InstanceID {
	out := make([]model.InstanceID, 0, len(members))
	for _, found := range members {
		out = append(out, found.Instance)
	}
	return out
}
