package route

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"arbutuswing.example/internal/model"
	"arbutuswing.example/internal/ports"
)

// shareFunc returns a team's share of the slots.
type shareFunc func(model.TeamID) float64

// group holds the endpoints of one class and the requests that wait for them. Each group has its own lock.
type group struct {
	class   model.ClassID
	local   model.DataCentreID
	limit   int
	latency *latencyStats

	mu       sync.Mutex
	backends map[model.EndpointID]*backend
	queue    *fairQueue
	// localOnly is set while this data centre is cut off from the others.
	localOnly bool
}

func newGroup(class model.ClassID, local model.DataCentreID, limit int) *group {
	return &group{
		class: class, local: local, limit: limit, latency: newLatencyStats(),
		backends: make(map[model.EndpointID]*backend), queue: newFairQueue(),
	}
}

// update applies the rows of the instance list that serve the class.
func (g *group) update(rows []ports.Instance, localOnly bool, now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.localOnly = localOnly
	for _, b := range g.backends {
		b.listed = false
	}
	for _, row := range rows {
		id := model.EndpointID(row.ID)
		b, ok := g.backends[id]
		if !ok || b.address != row.Address {
			b = &backend{id: id}
			g.backends[id] = b
		}
		b.update(row, now)
	}
	for id, b := range g.backends {
		if !b.listed && b.inflight == 0 {
			delete(g.backends, id)
		}
	}
}

// acquire returns an endpoint with a free slot, and waits for one until ctx ends if necessary. It returns ErrOverloaded
// at once if the queue is full or the expected wait exceeds the deadline.
func (g *group) acquire(ctx context.Context, w *waiter, now time.Time) (*backend, error) {
	g.mu.Lock()
	if g.hasNoEndpoint() {
		g.mu.Unlock()
		return nil, ErrNoEndpoint
	}
	if g.queue.size == 0 {
		if b := g.choose(w.exclude, now); b != nil {
			b.beginAttempt()
			g.mu.Unlock()
			return b, nil
		}
	}
	if g.queue.size >= g.limit || g.expectedWait() > w.deadline.Sub(now) {
		g.mu.Unlock()
		return nil, ErrOverloaded
	}
	w.granted = make(chan *backend, 1)
	g.queue.push(w)
	g.mu.Unlock()
	return g.await(ctx, w)
}

func (g *group) await(ctx context.Context, w *waiter) (*backend, error) {
	select {
	case b := <-w.granted:
		return b, nil
	case <-ctx.Done():
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.queue.remove(w)
	select {
	case b := <-w.granted:
		// A slot was granted just as the deadline passed; return it unused.
		b.inflight--
	default:
	}
	return nil, ErrSlotTimeout
}

// hasNoEndpoint reports whether no endpoint of the class may be used.
func (g *group) hasNoEndpoint() bool {
	for _, b := range g.backends {
		if b.listed && b.leavingSince.IsZero() && g.allowed(b) {
			return false
		}
	}
	return true
}

func (g *group) allowed(b *backend) bool { return !g.localOnly || b.dataCentre == g.local }

// expectedWait estimates how long a request at the end of the queue would wait.
func (g *group) expectedWait() time.Duration {
	inflight := 0
	for _, b := range g.backends {
		inflight += b.inflight
	}
	return g.latency.meanLatency() * time.Duration(g.queue.size) / time.Duration(max(inflight, 1))
}

// choose returns the less loaded of two random endpoints with a free slot, or nil. It prefers endpoints in this data
// centre; the excluded one is used only if no other is left.
func (g *group) choose(exclude model.EndpointID, now time.Time) *backend {
	var inDataCentre, elsewhere, fallback endpointSample
	for _, b := range g.backends {
		switch {
		case !b.eligible(now) || !g.allowed(b):
		case b.id == exclude:
			fallback.add(b)
		case b.dataCentre == g.local:
			inDataCentre.add(b)
		default:
			elsewhere.add(b)
		}
	}
	for _, candidates := range []endpointSample{inDataCentre, elsewhere, fallback} {
		if candidates.seen > 0 {
			return candidates.lessLoaded(now)
		}
	}
	return nil
}

// endpointSample holds up to two endpoints drawn at random from those added.
type endpointSample struct {
	first, second *backend
	seen          int
}

func (s *endpointSample) add(b *backend) {
	s.seen++
	switch s.seen {
	case 1:
		s.first = b
	case 2:
		s.second = b
	default:
		// Reservoir sampling: each endpoint is kept with equal probability.
		if i := rand.IntN(s.seen); i == 0 {
			s.first = b
		} else if i == 1 {
			s.second = b
		}
	}
}

func (s *endpointSample) lessLoaded(now time.Time) *backend {
	if s.second == nil || s.first.load(now) <= s.second.load(now) {
		return s.first
	}
	return s.second
}

// release ends an attempt and grants free slots to waiting requests; it reports whether the endpoint's idle connections
// should be closed.
func (g *group) release(b *backend, result attemptResult, share shareFunc, now time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	closeIdle := b.endAttempt(result, now)
	g.dispatch(share, now)
	return closeIdle
}

// dispatchFreed grants slots that became free in the load estimate without an answer to this instance.
func (g *group) dispatchFreed(share shareFunc, now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.dispatch(share, now)
}

func (g *group) dispatch(share shareFunc, now time.Time) {
	for g.queue.size > 0 {
		w := g.queue.peek(now)
		if w == nil {
			return
		}
		b := g.choose(w.exclude, now)
		if b == nil {
			return
		}
		g.queue.charge(w, share(w.team))
		b.beginAttempt()
		w.granted <- b
	}
}

// leavingFor returns how long the endpoint has been known to be leaving.
func (g *group) leavingFor(b *backend, now time.Time) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	if b.leavingSince.IsZero() {
		return 0
	}
	return now.Sub(b.leavingSince)
}
