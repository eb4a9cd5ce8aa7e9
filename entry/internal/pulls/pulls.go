package pulls

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"

	"arbutuswing.example/internal/model"
	"arbutuswing.example/internal/record"
	"arbutuswing.example/internal/state"
	"arbutuswing.example/internal/stream"
)

// ErrConfig reports an invalid configuration.
var ErrConfig = errors.New("invalid configuration")

const (
	// DefaultMargin is added to each lease; it covers clock drift between the runner and this instance.
	DefaultMargin   = 3 * time.Second
	checkInterval   = time.Second
	submitTimeout   = 5 * time.Second
	maxEndsPerCheck = 500
	duty            = "pulls"
)

// Feed delivers the changes of the state machine; the first update describes the whole state.
type Feed interface {
	Next(ctx context.Context) (stream.Update, error)
}

// Submitter records operations in the log.
type Submitter interface {
	Submit(ctx context.Context, ops ...record.Op) ([]error, error)
}

// Config configures a LeaseMonitor.
type Config struct {
	Feed      Feed
	Submitter Submitter
	// IsElected reports whether this instance is the one elected for a duty.
	IsElected func(duty string) bool
	Clock     clockwork.Clock
	Log       *zap.Logger
	Margin    time.Duration
}

// WithDefaults returns the configuration with unset fields filled in.
func (c Config) WithDefaults() Config {
	if c.Clock == nil {
		c.Clock = clockwork.NewRealClock()
	}
	if c.Log == nil {
		c.Log = zap.NewNop()
	}
	c.Margin = cmp.Or(c.Margin, DefaultMargin)
	return c
}

// Check returns ErrConfig for an invalid configuration.
func (c Config) Check() error {
	if c.Feed == nil || c.Submitter == nil || c.IsElected == nil {
		return fmt.Errorf("%w: Feed, Submitter and IsElected are required", ErrConfig)
	}
	return nil
}

// LeaseMonitor watches the leases of pulled tasks. It counts a lease from the time at which this instance learned of
// it, which is after the runner asked for the task.
type LeaseMonitor struct {
	cfg Config

	mu sync.Mutex
	// deadlines holds the time at which the lease of each pulled attempt has certainly expired.
	deadlines map[model.AttemptID]time.Time
}

// New returns a monitor that is idle until Run is called. It returns ErrConfig for an invalid configuration.
func New(cfg Config) (*LeaseMonitor, error) {
	cfg = cfg.WithDefaults()
	if err := cfg.Check(); err != nil {
		return nil, err
	}
	return &LeaseMonitor{cfg: cfg, deadlines: make(map[model.AttemptID]time.Time)}, nil
}

// Run follows the feed and records attempts with expired leases as lost, until ctx ends. It returns an error only if the
// feed fails.
func (m *LeaseMonitor) Run(ctx context.Context) error {
	go m.runChecks(ctx)
	for {
		update, err := m.cfg.Feed.Next(ctx)
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			return fmt.Errorf("following pulled tasks: %w", err)
		}
		m.apply(update)
	}
}

func (m *LeaseMonitor) runChecks(ctx context.Context) {
	ticker := m.cfg.Clock.NewTicker(checkInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.Chan():
			m.check(ctx)
		}
	}
}

func (m *LeaseMonitor) apply(update stream.Update) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if update.Resync {
		m.resync(update)
		return
	}
	for _, event := range update.Events {
		switch e := event.(type) {
		case state.TaskPulled:
			m.watch(e.Task)
		case state.AttemptEnded:
			delete(m.deadlines, e.Attempt)
		}
	}
}

// resync replaces the watched attempts by those of a whole state. Attempts that were watched before keep their deadlines;
// otherwise each resync would postpone them.
func (m *LeaseMonitor) resync(update stream.Update) {
	known := m.deadlines
	m.deadlines = make(map[model.AttemptID]time.Time)
	for _, event := range update.Events {
		pulled, ok := event.(state.TaskPulled)
		if !ok {
			continue
		}
		m.watch(pulled.Task)
		if deadline, ok := known[pulled.Task.CurrentAttempt()]; ok {
			m.deadlines[pulled.Task.CurrentAttempt()] = deadline
		}
	}
}

func (m *LeaseMonitor) watch(task state.Task) {
	m.deadlines[task.CurrentAttempt()] = m.cfg.Clock.Now().Add(task.Lease.Std() + m.cfg.Margin)
}

// check records attempts with expired leases as lost. What could not be recorded is retried at the next check.
func (m *LeaseMonitor) check(ctx context.Context) {
	expired := m.expired()
	if len(expired) == 0 || !m.cfg.IsElected(duty) {
		return
	}
	ops := make([]record.Op, 0, len(expired))
	for _, attempt := range expired {
		ops = append(ops, record.Ended{Attempt: attempt, Outcome: model.OutcomeLost})
	}
	ctx, cancel := context.WithTimeout(ctx, submitTimeout)
	defer cancel()
	if _, err := m.cfg.Submitter.Submit(ctx, ops...); err != nil {
		m.cfg.Log.Warn("ends of lapsed pulled tasks were not recorded", zap.Int("attempts", len(ops)), zap.Error(err))
		return
	}
	m.cfg.Log.Info("leases of pulled tasks lapsed", zap.Int("attempts", len(ops)))
}

func (m *LeaseMonitor) expired() []model.AttemptID {
	now := m.cfg.Clock.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	var out []model.AttemptID
	for attempt, deadline := range m.deadlines {
		if !now.Before(deadline) && len(out) < maxEndsPerCheck {
			out = append(out, attempt)
		}
	}
	return out
}

// Dump returns the number of watched attempts.
func (m *LeaseMonitor) Dump() any {
	m.mu.Lock()
	defer m.mu.Unlock()
	return struct {
		Pulled int `json:"pulled-attempts"`
	}{len(m.deadlines)}
}
