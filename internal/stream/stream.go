package stream

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/jonboulle/clockwork"

	"arbutuswing.example/internal/model"
)

// Stream is one entry instance's access to the log; all methods are safe for concurrent use.
type Stream struct {
	cfg     Config
	queue   *queue
	metrics *counters

	// sequence is the number of the last envelope; only the writer uses it.
	sequence int64

	// fold serialises everything that changes the folded state, and is held while events are handed to subscribers.
	// It is taken before any other lock of the stream.
	fold        sync.Mutex
	folded      model.Offset
	parts       *collector
	retention   *retention
	subscribers map[*Subscription]struct{}

	// recovering serialises restores, which may be wanted by the direct and the relayed reader at the same time.
	recovering sync.Mutex
	// turn rotates through the peers that relay.
	turn atomic.Int64

	mu       sync.Mutex
	status   Status
	outage   bool
	inFlight *flight
	recorded recorded

	// snapshots guards cached and lets one peer's snapshot be encoded at a time.
	snapshots sync.Mutex
	cached    cachedSnapshot
}

// recorded is the newest whole snapshot known to be in the log.
type recorded struct {
	at   model.Offset
	time time.Time
}

// New returns a stream; Run starts it.
func New(cfg Config) (*Stream, error) {
	cfg = cfg.WithDefaults()
	if err := cfg.Check(); err != nil {
		return nil, err
	}
	folded := cfg.Folder.Offset()
	return &Stream{
		cfg: cfg, queue: newQueue(cfg), metrics: newCounters(),
		folded: folded, parts: newCollector(false), retention: newRetention(cfg.Retention),
		subscribers: make(map[*Subscription]struct{}),
		status:      Status{Applied: folded, Restored: folded},
		recorded:    recorded{at: model.NoOffset, time: cfg.Clock.Now()},
	}, nil
}

// Run obtains a state and then reads, writes and relays until ctx ends; it returns nil.
func (s *Stream) Run(ctx context.Context) error {
	defer s.queue.close(errStopped)
	if !s.start(ctx) {
		return nil
	}
	var loops sync.WaitGroup
	loops.Go(func() { s.runTail(ctx) })
	loops.Go(func() { s.runRelay(ctx) })
	loops.Go(func() { s.runWriter(ctx) })
	loops.Go(func() { s.runSnapshots(ctx) })
	loops.Wait()
	return nil
}

// sleep waits on the clock and returns false if ctx ended first.
func (s *Stream) sleep(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	timer := s.cfg.Clock.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.Chan():
		return true
	}
}

func (s *Stream) withTimeout(ctx context.Context, d time.Duration) (context.Context, context.CancelFunc) {
	return clockwork.WithTimeout(ctx, s.cfg.Clock, d)
}

// newBackoff returns a jittered exponential back-off between the configured bounds.
func (s *Stream) newBackoff() *backoff.ExponentialBackOff {
	out := backoff.NewExponentialBackOff()
	out.InitialInterval = s.cfg.RetryMin
	out.MaxInterval = s.cfg.RetryMax
	out.Reset()
	return out
}
