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

// ErrConfig reports a configuration that can't work.
var ErrConfig = errors.New("invalid configuration")

const (
	// DefaultMargin covers clock drift between the runner and this instance.
	DefaultMargin = 3 * time.Second
	checkInterval = time.Second
	submitTimeout = 5 * time.Second
	maxEndsAtOnce = 500
	duty          = "pulls"
)

// Feed delivers what envelopes changed; the first update describes the whole state.
type Feed interface {
	Next(ctx context.Context) (stream.Update, error)
}

// Submitter records operations.
type Submitter interface {
	Submit(ctx context.Context, ops ...record.Op) ([]error, error)
}

// Config builds a Reaper.
type Config struct {
	Feed   Feed
	Submit Submitter
	// First reports whether this instance is the first live member for a duty.
	First  func(duty string) bool
	Clock  clockwork.Clock
	Log    *zap.Logger
	Margin time.Duration
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

// Check returns ErrConfig for a configuration that can't work.
func (c Config) Check() error {
	if c.Feed == nil || c.Submit == nil || c.First == nil {
		return fmt.Errorf("%w: Feed, Submit and First are required", ErrConfig)
	}
	return nil
}

// Reaper watches the leases of pulled tasks. A lease counts from the time at which this instance saw it, which is never
// before the runner got it.
type Reaper struct {
	cfg Config

	mu sync.Mutex
	// deadlines holds when the lease of each pulled attempt has surely lapsed.
	deadlines map[model.AttemptID]time.Time
}

// New returns a reaper that watches nothing until Run is called.
func New(cfg Config) (*Reaper, error) {
	cfg = cfg.WithDefaults()
	if err := cfg.Check(); err != nil {
		return nil, err
	}
	return &Reaper{cfg: cfg, deadlines: make(map[model.AttemptID]time.Time)}, nil
}

// Run follows the fold and ends lapsed attempts until ctx ends.
func (r *Reaper) Run(ctx context.Context) error {
	go r.runChecks(ctx)
	for {
		update, err := r.cfg.Feed.Next(ctx)
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			return fmt.Errorf("following pulled tasks: %w", err)
		}
		r.apply(update)
	}
}

func (r *Reaper) runChecks(ctx context.Context) {
	ticker := r.cfg.Clock.NewTicker(checkInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.Chan():
			r.check(ctx)
		}
	}
}

func (r *Reaper) apply(update stream.Update) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if update.Resync {
		r.resync(update)
		return
	}
	for _, event := range update.Events {
		switch e := event.(type) {
		case state.TaskPulled:
			r.watch(e.Task)
		case state.AttemptEnded:
			delete(r.deadlines, e.Attempt)
		}
	}
}

// resync keeps the deadlines of attempts that are still pulled, so that they are not put off.
func (r *Reaper) resync(update stream.Update) {
	known := r.deadlines
	r.deadlines = make(map[model.AttemptID]time.Time)
	for _, event := range update.Events {
		pulled, ok := event.(state.TaskPulled)
		if !ok {
			continue
		}
		r.watch(pulled.Task)
		if deadline, ok := known[pulled.Task.CurrentAttempt()]; ok {
			r.deadlines[pulled.Task.CurrentAttempt()] = deadline
		}
	}
}

func (r *Reaper) watch(task state.Task) {
	r.deadlines[task.CurrentAttempt()] = r.cfg.Clock.Now().Add(task.Lease.Std() + r.cfg.Margin)
}

// check ends the attempts whose leases have lapsed; ends that are not recorded are tried again at the next check.
func (r *Reaper) check(ctx context.Context) {
	lapsed := r.lapsed()
	if len(lapsed) == 0 || !r.cfg.First(duty) {
		return
	}
	ops := make([]record.Op, 0, len(lapsed))
	for _, attempt := range lapsed {
		ops = append(ops, record.Ended{Attempt: attempt, Outcome: model.OutcomeLost})
	}
	ctx, cancel := context.WithTimeout(ctx, submitTimeout)
	defer cancel()
	if _, err := r.cfg.Submit.Submit(ctx, ops...); err != nil {
		r.cfg.Log.Warn("ends of lapsed pulled tasks were not recorded", zap.Int("attempts", len(ops)), zap.Error(err))
		return
	}
	r.cfg.Log.Info("leases of pulled tasks lapsed", zap.Int("attempts", len(ops)))
}

func (r *Reaper) lapsed() []model.AttemptID {
	now := r.cfg.Clock.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []model.AttemptID
	for attempt, deadline := range r.deadlines {
		if !now.Before(deadline) && len(out) < maxEndsAtOnce {
			out = append(out, attempt)
		}
	}
	return out
}

// Dump returns the number of pulled attempts that are watched.
func (r *Reaper) Dump() any {
	r.mu.Lock()
	defer r.mu.Unlock()
	return struct {
		Pulled int `json:"pulled-attempts"`
	}{len(r.deadlines)}
}
