package stream

import (
	"context"
	"sync"

	"arbutuswing.example/internal/model"
	"arbutuswing.example/internal/state"
)

// Update is what one envelope changed, or a description of the whole state.
type Update struct {
	Offset model.Offset
	Events []state.Event
	// Resync is set when Events describe the whole state, which replaces what the subscriber knows.
	Resync bool
}

// Subscription delivers updates in offset order; it belongs to one goroutine.
type Subscription struct {
	stream *Stream
	limit  int
	// wake has a token while something can be taken.
	wake chan struct{}

	mu      sync.Mutex
	updates []Update
	// lost is set when updates were dropped, and at first; the next update then describes the whole state.
	lost bool
}

// Subscribe returns a subscription whose first update describes the whole state; Close ends it.
func (s *Stream) Subscribe() *Subscription {
	sub := &Subscription{stream: s, limit: s.cfg.SubscriberQueue, wake: make(chan struct{}, 1), lost: true}
	sub.signal()
	s.fold.Lock()
	defer s.fold.Unlock()
	s.subscribers[sub] = struct{}{}
	return sub
}

// Close ends the subscription.
func (u *Subscription) Close() {
	u.stream.fold.Lock()
	defer u.stream.fold.Unlock()
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
	if u.lost {
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

// resync describes the whole state. The fold lock keeps updates from arriving between the description and the
// emptying of the queue.
func (u *Subscription) resync() Update {
	s := u.stream
	s.fold.Lock()
	defer s.fold.Unlock()
	update := Update{Offset: s.folded, Events: s.cfg.Folder.Describe(), Resync: true}
	u.mu.Lock()
	defer u.mu.Unlock()
	u.updates, u.lost = nil, false
	return update
}

func (u *Subscription) push(update Update) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.signal()
	if u.lost {
		return true
	}
	if len(u.updates) >= u.limit {
		u.updates, u.lost = nil, true
		return false
	}
	u.updates = append(u.updates, update)
	return true
}

func (u *Subscription) markLost() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.updates, u.lost = nil, true
	u.signal()
}

func (u *Subscription) signal() {
	select {
	case u.wake <- struct{}{}:
	default:
	}
}

// publish hands an update to all subscribers without waiting for any; the caller holds the fold lock.
func (s *Stream) publish(update Update) {
	for sub := range s.subscribers {
		if !sub.push(update) {
			s.metrics.resyncs.Inc()
		}
	}
}

// resyncAll makes all subscribers start over after a restore; the caller holds the fold lock.
func (s *Stream) resyncAll() {
	for sub := range s.subscribers {
		sub.markLost()
	}
}
