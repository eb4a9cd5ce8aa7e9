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

// Stream reads and writes the log for one entry instance; all methods are safe for concurrent use.
type Stream struct {
	cfg     Config
	queue   *queue
	metrics *counters

	// sequence is the sequence number of the last envelope; only the writer uses it.
	sequence int64

	// applyMu serialises all changes of the state and is held while updates are queued for subscribers. It is taken
	// before any other lock of the stream.
	applyMu     sync.Mutex
	applied     model.Offset
	parts       *partCollector
	retention   *retentionEstimator
	subscribers map[*Subscription]struct{}

	// restoreMu serialises restores, which the direct and the relayed reader may start at the same time.
	restoreMu sync.Mutex
	// nextRelay counts the calls of pickRelay, to rotate through the peers.
	nextRelay atomic.Int64

	mu           sync.Mutex
	status       Status
	outage       bool
	inFlight     *pendingEnvelope
	lastSnapshot loggedSnapshot

	// cachedMu guards cached; it is held while a snapshot is encoded, so that concurrent calls encode it once.
	cachedMu sync.Mutex
	cached   cachedSnapshot
}

// loggedSnapshot identifies the newest complete snapshot known to be in the log.
type loggedSnapshot struct {
	at   model.Offset
	time time.Time
}

// New returns a stream, which Run starts. It returns ErrConfig for settings that cannot be used.
func New(cfg Config) (*Stream, error) {
	cfg = cfg.WithDefaults()
	if err := cfg.Check(); err != nil {
		return nil, err
	}
	applied := cfg.StateMachine.Offset()
	return &Stream{
		cfg: cfg, queue: newQueue(cfg), metrics: newCounters(),
		applied: applied, parts: newPartCollector(false), retention: newRetentionEstimator(cfg.Retention),
		subscribers:  make(map[*Subscription]struct{}),
		status:       Status{Applied: applied, Restored: applied},
		lastSnapshot: loggedSnapshot{at: model.NoOffset, time: cfg.Clock.Now()},
	}, nil
}

// Run restores a state and then reads the log and commits operations until ctx ends; it always returns nil.
func (s *Stream) Run(ctx context.Context) error {
	defer s.queue.close(errStopped)
	if !s.restoreInitialState(ctx) {
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

// newBackoff returns a jittered exponential back-off between the configured delays.
func (s *Stream) newBackoff() *backoff.ExponentialBackOff {
	out := backoff.NewExponentialBackOff()
	out.InitialInterval = s.cfg.MinRetryDelay
	out.MaxInterval = s.cfg.MaxRetryDelay
	out.Reset()
	return out
}
