package lease

import (
	"context"
	"slices"
	"strings"
	"sync"

	"arbutuswing.example/internal/model"
	"arbutuswing.example/internal/ports"
	"arbutuswing.example/internal/state"
)

// shard is a group of workers with its own lock and a bounded number of calls in flight.
type shard struct {
	m    *Manager
	wake chan struct{}
	// slots bounds the calls in flight.
	slots chan struct{}

	mu      sync.Mutex
	holders map[model.WorkerID]*holder
}

func newShard(m *Manager) *shard {
	return &shard{
		m: m, wake: make(chan struct{}, 1), slots: make(chan struct{}, m.cfg.CallsPerShard),
		holders: make(map[model.WorkerID]*holder),
	}
}

// runShard serves the shard's workers until ctx ends and all calls have returned.
func (s *shard) runShard(ctx context.Context, done *sync.WaitGroup) {
	defer done.Done()
	ticker := s.m.deps.Clock.NewTicker(s.m.cfg.PollInterval)
	defer ticker.Stop()
	var calls sync.WaitGroup
	defer calls.Wait()
	for {
		for _, h := range s.takeDue() {
			select {
			case s.slots <- struct{}{}:
			case <-ctx.Done():
				s.giveBack(h)
				continue
			}
			calls.Add(1)
			go s.runServe(ctx, h, &calls)
		}
		select {
		case <-ctx.Done():
			return
		case <-s.wake:
		case <-ticker.Chan():
		}
	}
}

func (s *shard) runServe(ctx context.Context, h *holder, calls *sync.WaitGroup) {
	defer calls.Done()
	defer func() { <-s.slots }()
	s.serve(ctx, h)
}

// runRelease gives the leases of the shard back, one after another.
func (s *shard) runRelease(ctx context.Context, done *sync.WaitGroup) {
	defer done.Done()
	s.mu.Lock()
	holders := make([]*holder, 0, len(s.holders))
	for _, h := range s.holders {
		holders = append(holders, h)
	}
	s.mu.Unlock()
	for _, h := range holders {
		s.release(ctx, h)
	}
}

// takeDue marks the workers whose time has come as busy and returns them, in the order of their names.
func (s *shard) takeDue() []*holder {
	now := s.m.deps.Clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []*holder
	for _, h := range s.holders {
		if h.busy || (!h.kicked && now.Before(h.due)) {
			continue
		}
		h.busy, h.kicked = true, false
		out = append(out, h)
	}
	slices.SortFunc(out, func(a, b *holder) int { return strings.Compare(string(a.id), string(b.id)) })
	return out
}

func (s *shard) giveBack(h *holder) {
	s.mu.Lock()
	defer s.mu.Unlock()
	h.busy = false
}

func (s *shard) kick(id model.WorkerID) {
	s.mu.Lock()
	if h := s.holders[id]; h != nil {
		h.kicked = true
	}
	s.mu.Unlock()
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

func (s *shard) listed(id model.WorkerID, address string, leaving bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	h := s.holder(id)
	h.address, h.leaving = address, leaving
}

func (s *shard) learn(w state.Worker) {
	now := s.m.deps.Clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.holder(w.ID).learn(w, now)
}

// holder returns the worker's holder, new if needed; the lock is held.
func (s *shard) holder(id model.WorkerID) *holder {
	h := s.holders[id]
	if h == nil {
		h = newHolder(id, s.m.deps.Clock.Now())
		s.holders[id] = h
	}
	return h
}

// release gives one lease back.
func (s *shard) release(ctx context.Context, h *holder) {
	s.mu.Lock()
	token, address := h.token, h.address
	h.drop()
	s.mu.Unlock()
	if token == 0 {
		return
	}
	s.m.deps.Handler.Dropped(h.id)
	ctx, cancel := context.WithTimeout(ctx, ports.CommandTimeout)
	defer cancel()
	// A lease that can't be given back lapses by itself.
	_ = s.m.deps.Workers.Release(ctx, address, token)
}
