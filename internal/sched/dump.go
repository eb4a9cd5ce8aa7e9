package sched

import (
	"time"

	"arbutuswing.example/internal/model"
)

// Summary is the placer's state in the state dump.
type Summary struct {
	DataCentre   model.DataCentreID `json:"data-centre"`
	InService    bool               `json:"in-service"`
	Full         bool               `json:"full"`
	Queued       int                `json:"queued"`
	Offered      int                `json:"offered-elsewhere"`
	Bound        int                `json:"bound"`
	Submitted    int                `json:"submitted"`
	EndsToRecord int                `json:"ends-to-record"`
	LastRound    roundStats         `json:"last-round"`

	Quarantine map[model.WorkerID]time.Time    `json:"quarantine,omitempty"`
	Claims     map[model.TaskID]model.WorkerID `json:"claims,omitempty"`
	Evictions  map[model.AttemptID]string      `json:"evictions,omitempty"`
	Shares     map[model.TeamID]float64        `json:"weighted-shares,omitempty"`
	Workers    any                             `json:"workers"`
}

// Dump returns a Summary.
func (p *Placer) Dump() any {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := Summary{
		DataCentre: p.cfg.DataCentre, InService: p.isInService(), Full: p.full, Queued: p.queue.Len(),
		Offered: p.offers.Len(), Bound: len(p.attempts), Submitted: len(p.pendingBindings), EndsToRecord: len(p.pendingEnds),
		LastRound: p.lastRound, Quarantine: p.quarantine.Blocked(p.deps.Clock.Now()),
		Claims: make(map[model.TaskID]model.WorkerID), Evictions: make(map[model.AttemptID]string),
		Shares: p.queue.Shares(), Workers: p.inventory.Dump(),
	}
	for id, c := range p.claims {
		out.Claims[id] = c.worker
	}
	for id, a := range p.attempts {
		if a.evictReason != evictNone {
			out.Evictions[id] = string(a.evictReason)
		}
	}
	return out
}
