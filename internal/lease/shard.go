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

// shard manages a group of workers under one lock and with a bounded number of calls in flight.
type shard struct {
	m    *Manager
	wake chan struct{}
	// slots is a semaphore that bounds the calls in flight.
	slots chan struct{}

	mu     sync.Mutex
	leases map[model.WorkerID]*workerLease
}

func newShard(m *Manager) *shard {
	return &shard{
		m: m, wake: make(chan struct{}, 1), slots: make(chan struct{}, m.cfg.CallsPerShard),
		leases: make(map[model.WorkerID]*workerLease),
	}
}

// runShard serves the shard's workers until ctx has ended and all calls have returned.
func (s *shard) runShard(ctx context.Context, done *sync.WaitGroup) {
	defer done.Done()
	ticker := s.m.deps.Clock.NewTicker(s.m.cfg.PollInterval)
	defer ticker.Stop()
	var calls sync.WaitGroup
	defer calls.Wait()
	for {
		for _, l := range s.takeDue() {
			select {
			case s.slots <- struct{}{}:
			case <-ctx.Done():
				s.clearBusy(l)
				continue
			}
			calls.Add(1)
			go s.runServe(ctx, l, &calls)
		}
		select {
		case <-ctx.Done():
			return
		case <-s.wake:
		case <-ticker.Chan():
		}
	}
}

func (s *shard) runServe(ctx context.Context, l *workerLease, calls *sync.WaitGroup) {
	defer calls.Done()
	defer func() { <-s.slots }()
	s.serve(ctx, l)
}

// runRelease releases the leases of the shard, one after another.
func (s *shard) runRelease(ctx context.Context, done *sync.WaitGroup) {
	defer done.Done()
	s.mu.Lock()
	leases := make([]*workerLease, 0, len(s.leases))
	for _, l := range s.leases {
		leases = append(leases, l)
	}
	s.mu.Unlock()
	for _, l := range leases {
		s.release(ctx, l)
	}
}

// takeDue marks the workers that are due as busy and returns them in name order.
func (s *shard) takeDue() []*workerLease {
	now := s.m.deps.Clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []*workerLease
	for _, l := range s.leases {
		if l.busy || (!l.wakeRequested && now.Before(l.nextRenewal)) {
			continue
		}
		l.busy, l.wakeRequested = true, false
		out = append(out, l)
	}
	slices.SortFunc(out, func(a, b *workerLease) int { return strings.Compare(string(a.id), string(b.id)) })
	return out
}

func (s *shard) clearBusy(l *workerLease) {
	s.mu.Lock()
	defer s.mu.Unlock()
	l.busy = false
}

// serveSoon makes the worker due to be served at once.
func (s *shard) serveSoon(id model.WorkerID) {
	s.mu.Lock()
	if l := s.leases[id]; l != nil {
		l.wakeRequested = true
	}
	s.mu.Unlock()
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

func (s *shard) setAddress(id model.WorkerID, address string, leaving bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.leaseOf(id)
	l.address, l.leaving = address, leaving
}

func (s *shard) setRecorded(w state.Worker) {
	now := s.m.deps.Clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leaseOf(w.ID).setRecorded(w, now)
}

// leaseOf returns the worker's lease record, creating it if there is none. The caller holds the lock.
func (s *shard) leaseOf(id model.WorkerID) *workerLease {
	l := s.leases[id]
	if l == nil {
		l = newWorkerLease(id, s.m.deps.Clock.Now())
		s.leases[id] = l
	}
	return l
}

// release drops the worker's lease and releases it on the worker.
func (s *shard) release(ctx context.Context, l *workerLease) {
	s.mu.Lock()
	token, address := l.token, l.address
	l.dropLease()
	s.mu.Unlock()
	if token == 0 {
		return
	}
	s.m.deps.Handler.LeaseDropped(l.id)
	ctx, cancel := context.WithTimeout(ctx, ports.CommandTimeout)
	defer cancel()
	// A lease that can't be released expires by itself.
	_ = s.m.deps.Workers.Release(ctx, address, token)
}
