package route

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"

	"arbutuswing.example/internal/invar"
	"arbutuswing.example/internal/model"
	"arbutuswing.example/internal/once"
	"arbutuswing.example/internal/ports"
)

// Defaults of the router.
const (
	DefaultQueueLimit      = 2000
	DefaultTimeout         = 10 * time.Second
	DefaultMaxTimeout      = 5 * time.Minute
	DefaultRefreshInterval = 500 * time.Millisecond
	DefaultMaxAttempts     = 8
	// pollInterval is how often waiting requests are checked against slots that other instances have freed.
	pollInterval = 25 * time.Millisecond
	// maxLeavingDelay is the time after which sending a request to an endpoint known to be leaving violates the
	// invariant LeavingEndpoint.
	maxLeavingDelay = 5 * time.Second
)

// Request is a request of a client.
type Request struct {
	// ID is chosen by the client or issued by an entry instance; empty for requests that are never repeated.
	ID         string
	Class      model.ClassID
	Team       model.TeamID
	Idempotent bool
	Body       []byte
	// Timeout bounds the whole request; zero means the default.
	Timeout time.Duration
	// Target bounds the wait for a slot; zero means that only Timeout does.
	Target time.Duration
}

// Claims grants the right to run a non-idempotent request, once per request ID.
type Claims interface {
	Issue() string
	Claim(ctx context.Context, id string) (*once.Claim, error)
}

// Config configures a Router.
type Config struct {
	Instance   model.InstanceID
	DataCentre model.DataCentreID
	Endpoint   ports.Endpoint
	Lister     ports.Lister
	Claims     Claims
	Clock      clockwork.Clock
	Log        *zap.Logger
	Invariants *invar.Checker
	// Share returns a team's share.
	Share func(model.TeamID) float64
	// LocalOnly reports whether this data centre is cut off from the others.
	LocalOnly func() bool
	// QueueLimit is the largest number of waiting requests per class.
	QueueLimit      int
	RefreshInterval time.Duration
	MaxAttempts     int
}

// WithDefaults returns the configuration with unset fields filled in.
func (c Config) WithDefaults() Config {
	if c.Clock == nil {
		c.Clock = clockwork.NewRealClock()
	}
	if c.Log == nil {
		c.Log = zap.NewNop()
	}
	if c.Invariants == nil {
		c.Invariants = invar.New(c.Log, false)
	}
	if c.Share == nil {
		c.Share = func(model.TeamID) float64 { return 1 }
	}
	if c.LocalOnly == nil {
		c.LocalOnly = func() bool { return false }
	}
	c.QueueLimit = cmp.Or(c.QueueLimit, DefaultQueueLimit)
	c.RefreshInterval = cmp.Or(c.RefreshInterval, DefaultRefreshInterval)
	c.MaxAttempts = cmp.Or(c.MaxAttempts, DefaultMaxAttempts)
	return c
}

// Check returns ErrConfig for a configuration that can't work.
func (c Config) Check() error {
	if c.Endpoint == nil || c.Lister == nil || c.Claims == nil {
		return fmt.Errorf("%w: Endpoint, Lister and Claims are required", ErrConfig)
	}
	return nil
}

// Router admits requests and sends them to endpoints; all methods are safe for concurrent use.
type Router struct {
	cfg       Config
	budget    *retryBudget
	startTime int64
	attempts  atomic.Int64

	mu       sync.RWMutex
	groups   map[model.ClassID]*group
	draining bool
	open     sync.WaitGroup
	// inflight counts open requests, for the state dump.
	inflight atomic.Int64
}

// New returns a router that knows no endpoints until Run or Refresh is called. It returns ErrConfig for a configuration
// that can't work.
func New(cfg Config) (*Router, error) {
	cfg = cfg.WithDefaults()
	if err := cfg.Check(); err != nil {
		return nil, err
	}
	return &Router{
		cfg: cfg, budget: newRetryBudget(), startTime: cfg.Clock.Now().UnixNano(), groups: make(map[model.ClassID]*group),
	}, nil
}

// Run refreshes the endpoints from the instance list until ctx ends; it always returns nil. While the list can't be
// read, the last one stays in use: failing endpoints are ejected by the results of their attempts.
func (r *Router) Run(ctx context.Context) error {
	refresh := r.cfg.Clock.NewTicker(r.cfg.RefreshInterval)
	defer refresh.Stop()
	poll := r.cfg.Clock.NewTicker(pollInterval)
	defer poll.Stop()
	if err := r.Refresh(ctx); err != nil {
		r.cfg.Log.Warn("instance list did not answer", zap.Error(err))
	}
	go r.runRefresh(ctx, refresh)
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-poll.Chan():
			r.poll()
		}
	}
}

func (r *Router) runRefresh(ctx context.Context, ticker clockwork.Ticker) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.Chan():
			if err := r.Refresh(ctx); err != nil {
				r.cfg.Log.Debug("instance list did not answer", zap.Error(err))
			}
		}
	}
}

// Refresh reads the instance list once and updates the endpoints.
func (r *Router) Refresh(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, r.cfg.RefreshInterval*2)
	defer cancel()
	rows, err := r.cfg.Lister.List(ctx)
	if err != nil {
		return fmt.Errorf("reading the instance list: %w", err)
	}
	byClass := make(map[model.ClassID][]ports.Instance)
	for _, row := range rows {
		if row.Role == ports.RoleEndpoint {
			byClass[row.Class] = append(byClass[row.Class], row)
		}
	}
	now := r.cfg.Clock.Now()
	for _, g := range r.groupsFor(byClass) {
		g.update(byClass[g.class], r.cfg.LocalOnly(), now)
	}
	return nil
}

// groupsFor returns all groups; it creates those for classes that are new in the list.
func (r *Router) groupsFor(byClass map[model.ClassID][]ports.Instance) []*group {
	r.mu.Lock()
	defer r.mu.Unlock()
	for class := range byClass {
		if _, ok := r.groups[class]; !ok {
			r.groups[class] = newGroup(class, r.cfg.DataCentre, r.cfg.QueueLimit)
		}
	}
	out := make([]*group, 0, len(r.groups))
	for _, g := range r.groups {
		out = append(out, g)
	}
	return out
}

func (r *Router) poll() {
	r.mu.RLock()
	defer r.mu.RUnlock()
	for _, g := range r.groups {
		g.dispatchFreed(r.cfg.Share, r.cfg.Clock.Now())
	}
}

// admit counts a new request as open and returns the group of its class; it returns ErrDraining after Drain was called.
func (r *Router) admit(class model.ClassID) (*group, error) {
	r.mu.RLock()
	defer r.mu.RUnlock()
	if r.draining {
		return nil, ErrDraining
	}
	g, ok := r.groups[class]
	if !ok {
		return nil, ErrNoEndpoint
	}
	r.open.Add(1)
	r.inflight.Add(1)
	return g, nil
}

func (r *Router) finish() {
	r.inflight.Add(-1)
	r.open.Done()
}

// Drain refuses new requests and waits until the open ones have ended; it returns the context's error if ctx ends
// first.
func (r *Router) Drain(ctx context.Context) error {
	r.mu.Lock()
	r.draining = true
	r.mu.Unlock()
	done := &drainWaiter{open: &r.open, done: make(chan struct{})}
	go done.run()
	select {
	case <-done.done:
		return nil
	case <-ctx.Done():
		return fmt.Errorf("waiting for %d open requests: %w", r.inflight.Load(), ctx.Err())
	}
}

// drainWaiter signals when all open requests have ended.
type drainWaiter struct {
	open *sync.WaitGroup
	done chan struct{}
}

func (d *drainWaiter) run() {
	d.open.Wait()
	close(d.done)
}

// Serve runs one request; the error wraps exactly one of ErrNotRun, ErrUnknownOutcome and ErrConflict.
func (r *Router) Serve(ctx context.Context, req Request) (ports.Answer, error) {
	g, err := r.admit(req.Class)
	if err != nil {
		countOutcome(err)
		return ports.Answer{}, err
	}
	defer r.finish()
	r.budget.deposit()
	ctx, cancel := context.WithTimeout(ctx, timeoutOf(req))
	defer cancel()
	answer, err := r.serve(ctx, g, req)
	countOutcome(err)
	return answer, err
}

func timeoutOf(req Request) time.Duration {
	if req.Timeout <= 0 {
		return DefaultTimeout
	}
	return min(req.Timeout, DefaultMaxTimeout)
}

func (r *Router) serve(ctx context.Context, g *group, req Request) (ports.Answer, error) {
	t := &requestRun{router: r, group: g, req: req}
	if req.Idempotent || req.ID == "" {
		return t.run(ctx)
	}
	claim, err := r.cfg.Claims.Claim(ctx, req.ID)
	if err != nil {
		return ports.Answer{}, claimError(err)
	}
	answer, err := t.run(ctx)
	claim.Settle(ctx, t.mayHaveRun, err == nil)
	return answer, err
}

// claimError maps the error of a claim to the outcome of the request.
func claimError(err error) error {
	switch {
	case errors.Is(err, once.ErrRunning), errors.Is(err, once.ErrAnswered):
		return fmt.Errorf("%w: %w", ErrConflict, err)
	case errors.Is(err, once.ErrRefused):
		return fmt.Errorf("%w: %w", ErrClaimRefused, err)
	default:
		return fmt.Errorf("%w: %w", ErrUnknownOutcome, err)
	}
}

func countOutcome(err error) {
	outcome := "answered"
	switch {
	case err == nil:
	case errors.Is(err, ErrNotRun):
		outcome = "not-run"
	case errors.Is(err, ErrConflict):
		outcome = "conflict"
	default:
		outcome = "unknown"
	}
	metrics.GetOrCreateCounter(fmt.Sprintf(`aw_requests_total{outcome=%q}`, outcome)).Inc()
}
