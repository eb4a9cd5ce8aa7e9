package route

import "arbutuswing.example/internal/model"

// Dump is the router's part of the state dump.
type Dump struct {
	Draining bool        `json:"draining"`
	Open     int64       `json:"open-requests"`
	Classes  []DumpClass `json:"classes"`
}

// DumpClass describes the endpoints of one class.
type DumpClass struct {
	Class          model.ClassID  `json:"class"`
	Waiting        int            `json:"waiting"`
	MeanAnswerTime model.Duration `json:"typical-answer-time"`
	Endpoints      []DumpEndpoint `json:"endpoints"`
}

// DumpEndpoint describes one endpoint.
type DumpEndpoint struct {
	ID       model.EndpointID `json:"id"`
	Inflight int              `json:"in-flight"`
	Load     float64          `json:"estimated-load"`
	Leaving  bool             `json:"leaving"`
	Ejected  bool             `json:"ejected"`
	Listed   bool             `json:"listed"`
}

// Dump returns the router's state.
func (r *Router) Dump() any {
	r.mu.RLock()
	defer r.mu.RUnlock()
	out := Dump{Draining: r.draining, Open: r.inflight.Load()}
	for _, g := range r.groups {
		out.Classes = append(out.Classes, r.dumpGroup(g))
	}
	return out
}

func (r *Router) dumpGroup(g *group) DumpClass {
	now := r.cfg.Clock.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	out := DumpClass{Class: g.class, Waiting: g.queue.size, MeanAnswerTime: model.Duration(g.latency.meanLatency())}
	for _, b := range g.backends {
		out.Endpoints = append(out.Endpoints, DumpEndpoint{
			ID: b.id, Inflight: b.inflight, Load: b.load(now), Leaving: !b.leavingSince.IsZero(),
			Ejected: now.Before(b.ejectedUntil), Listed: b.listed,
		})
	}
	return out
}
