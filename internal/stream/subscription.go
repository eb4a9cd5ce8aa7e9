package stream

import (
	"context"
	"sync"

	"arbutuswing.example/internal/model"
	"arbutuswing.example/internal/state"
)

// Update holds the changes made by one envelope, or a description of the whole state.
type Update struct {
	Offset model.Offset
	Events []state.Event
	// Resync is set if Events describe the whole state and replace everything that the subscriber knows.
	Resync bool
}

// Subscription delivers updates in offset order; only one goroutine may use it.
type Subscription struct {
	stream *Stream
	limit  int
	// wake holds a token while an update may be available.
	wake chan struct{}

	mu      sync.Mutex
	updates []Update
	// resyncNeeded is set at first and after updates were dropped; the next update then describes the whole state.
	resyncNeeded bool
}

// Subscribe returns a subscription whose first update describes the whole state; Close ends it.
func (s *Stream) Subscribe() *Subscription {
	sub := &Subscription{stream: s, limit: s.cfg.MaxQueuedUpdates, wake: make(chan struct{}, 1), resyncNeeded: true}
	sub.signal()
	s.applyMu.Lock()
	defer s.applyMu.Unlock()
	s.subscribers[sub] = struct{}{}
	return sub
}

// Close ends the subscription.
func (u *Subscription) Close() {
	u.stream.applyMu.Lock()
	defer u.stream.applyMu.Unlock()
	delete(u.stream.subscribers, u)
}

// Next waits for the next update; it returns the context's error if ctx ends first.
func (u *Subscription) Next(ctx context.Context) (Update, error) {
	for {
		if update, ok := u.poll(); ok {
			return update, nil
		}
		select {
		case <-ctx.Done():
			return Update{}, ctx.Err()
		case <-u.wake:
		}
	}
}

func (u *Subscription) poll() (Update, bool) {
	u.mu.Lock()
	if u.resyncNeeded {
		u.mu.Unlock()
		return u.resync(), true
	}
	defer u.mu.Unlock()
	if len(u.updates) == 0 {
		return Update{}, false
	}
	next := u.updates[0]
	u.updates = u.updates[1:]
	return next, true
}

// resync returns an update that describes the whole state and empties the queue. It holds applyMu, so that no update
// can be queued in between.
func (u *Subscription) resync() Update {
	s := u.stream
	s.applyMu.Lock()
	defer s.applyMu.Unlock()
	update := Update{Offset: s.applied, Events: s.cfg.StateMachine.Describe(), Resync: true}
	u.mu.Lock()
	defer u.mu.Unlock()
	u.updates, u.resyncNeeded = nil, false
	return update
}

func (u *Subscription) push(update Update) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.signal()
	if u.resyncNeeded {
		return true
	}
	if len(u.updates) >= u.limit {
		u.updates, u.resyncNeeded = nil, true
		return false
	}
	u.updates = append(u.updates, update)
	return true
}

func (u *Subscription) requireResync() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.updates, u.resyncNeeded = nil, true
	u.signal()
}

func (u *Subscription) signal() {
	select {
	case u.wake <- struct{}{}:
	default:
	}
}

// publish queues an update for all subscribers without blocking; the caller holds applyMu.
func (s *Stream) publish(update Update) {
	for sub := range s.subscribers {
		if !sub.push(update) {
			s.metrics.resyncs.Inc()
		}
	}
}

// resyncAll makes all subscribers start from the whole state again after a restore; the caller holds applyMu.
func (s *Stream) resyncAll() {
	for sub := range s.subscribers {
		sub.requireResync()
	}
}
