package sched

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"

	"arbutuswing.example/internal/decl"
	"arbutuswing.example/internal/invar"
	"arbutuswing.example/internal/model"
	"arbutuswing.example/internal/place"
	"arbutuswing.example/internal/policy"
	"arbutuswing.example/internal/record"
	"arbutuswing.example/internal/state"
)

// Deps are the components that the placer depends on; Fullness and Invariants may be nil.
type Deps struct {
	Feed       Feed
	Submit     Submitter
	Links      Links
	View       View
	Leases     Leases
	Fullness   Fullness
	Invariants *invar.Checker
	Clock      clockwork.Clock
	Log        *zap.Logger
}

// Placer schedules tasks onto the workers of one data centre. It is the lease.Handler of that data centre's worker
// leases.
type Placer struct {
	cfg  Config
	deps Deps
	// inventory tracks the free capacity of this data centre's workers.
	inventory *place.Inventory
	// inFlight limits the concurrent submissions.
	inFlight  chan struct{}
	endsReady chan struct{}
	refusals  chan refusal

	// mu guards the fields below; it is acquired before any lock of the inventory or of the leases.
	mu sync.Mutex
	observedState
	queue         *policy.Queue
	offers        *policy.Offers
	learner       *policy.Learner
	quarantine    *policy.Quarantine
	unschedulable *policy.UnschedulableJobs

	workerStates map[model.WorkerID]*workerState
	// workerIDs holds the keys of workerStates in order.
	workerIDs []model.WorkerID
	// pendingBindings holds bindings that were submitted and neither applied nor rejected yet.
	pendingBindings map[model.AttemptID]*pendingBinding
	// backlogTimes sums the backlog of each worker.
	backlogTimes map[model.WorkerID]time.Duration
	// runningOn maps a task to the workers that last reported it as running.
	runningOn map[model.TaskID][]model.WorkerID
	// head is the blocked job that may preempt work of teams above its team's share.
	head   blockedHead
	claims map[model.TaskID]*claim
	// rejections counts the rejected bindings of a queued task, up to maxDoublings.
	rejections map[model.TaskID]int
	failures   map[model.TaskID]failureHistory
	// evictedFromBacklog holds tasks that were evicted from a backlog, so that they do not return to one.
	evictedFromBacklog map[model.TaskID]bool
	// refusedUntil is when the refusal of a job may be queued again.
	refusedUntil map[model.JobID]time.Time
	pendingEnds  []record.Ended
	// changed is set when free capacity or work was added since the last round.
	changed bool
	// pausedUntil is the end of the pause after a round in which nothing fitted; urgent work ends the pause early.
	pausedUntil time.Time
	// full is set if a task fitted on no worker in the last round.
	full bool
	// fullElsewhere holds which data centres report themselves full.
	fullElsewhere map[model.DataCentreID]bool
	scanCursor    int
	lastRound     roundStats
}

// observedState is what the placer derives from the events of the state machine.
type observedState struct {
	declarations     decl.Set
	dataCentres      map[model.DataCentreID]decl.ServiceState
	serviceChangedAt time.Time
	workers          map[model.WorkerID]state.Worker
	// capacityCounts counts the workers of each data centre by capacity, except lost ones.
	capacityCounts map[model.DataCentreID]map[model.Resources]int
	attempts       map[model.AttemptID]*attempt
	// currentAttempts maps a task to its bound attempt.
	currentAttempts map[model.TaskID]*attempt
	// serviceRacks counts the bound tasks of each service in this data centre by rack.
	serviceRacks map[model.JobID]map[model.RackID]int
	seq          int64
}

func newObservedState() observedState {
	return observedState{
		dataCentres: make(map[model.DataCentreID]decl.ServiceState), workers: make(map[model.WorkerID]state.Worker),
		capacityCounts: make(map[model.DataCentreID]map[model.Resources]int),
		attempts:       make(map[model.AttemptID]*attempt), currentAttempts: make(map[model.TaskID]*attempt),
		serviceRacks: make(map[model.JobID]map[model.RackID]int),
	}
}

// New returns a placer that has applied no events; it returns ErrConfig, or the error of the policy or placement
// settings, for settings out of range. Unless deps includes the leases, SetLeases must be called before Run.
func New(cfg Config, deps Deps) (*Placer, error) {
	cfg = cfg.WithDefaults()
	if err := cfg.Check(); err != nil {
		return nil, err
	}
	p := &Placer{
		cfg: cfg, deps: deps,
		inFlight: make(chan struct{}, cfg.MaxSubmissions), endsReady: make(chan struct{}, 1),
		refusals: make(chan refusal, refusalQueue),
	}
	return p, p.reset()
}

// SetLeases sets the leases; it breaks the cycle between the placer and the leases, whose handler is the placer.
func (p *Placer) SetLeases(l Leases) { p.deps.Leases = l }

// reset discards everything derived from events; worker reports arrive again with the next lease renewals.
func (p *Placer) reset() error {
	inventory, err := place.New(p.cfg.Place)
	if err != nil {
		return fmt.Errorf("creating the inventory of workers: %w", err)
	}
	p.inventory, p.observedState = inventory, newObservedState()
	p.learner = policy.NewLearner(p.cfg.Policy, p.deps.View)
	p.queue = policy.NewQueue(p.cfg.Policy, p.learner)
	p.offers = policy.NewOffers()
	if p.quarantine == nil {
		// The state machine does not record failures by worker, so quarantines survive a reset.
		p.quarantine, p.unschedulable = policy.NewQuarantine(p.cfg.Policy), policy.NewUnschedulableJobs(p.cfg.Policy)
	}
	p.workerIDs = nil
	p.workerStates = make(map[model.WorkerID]*workerState)
	p.backlogTimes = make(map[model.WorkerID]time.Duration)
	p.runningOn = make(map[model.TaskID][]model.WorkerID)
	p.pendingBindings = make(map[model.AttemptID]*pendingBinding)
	p.claims = make(map[model.TaskID]*claim)
	p.rejections = make(map[model.TaskID]int)
	p.failures = make(map[model.TaskID]failureHistory)
	p.evictedFromBacklog = make(map[model.TaskID]bool)
	p.refusedUntil = make(map[model.JobID]time.Time)
	p.pendingEnds = nil
	p.fullElsewhere = make(map[model.DataCentreID]bool)
	return nil
}

// Run schedules tasks until ctx ends; it always returns nil.
func (p *Placer) Run(ctx context.Context) error {
	var wg sync.WaitGroup
	wg.Add(4)
	go p.runUpdates(ctx, &wg)
	go p.runRounds(ctx, &wg)
	go p.runEnds(ctx, &wg)
	go p.runRefusals(ctx, &wg)
	wg.Wait()
	return nil
}

// runUpdates applies the events of the state machine.
func (p *Placer) runUpdates(ctx context.Context, done *sync.WaitGroup) {
	defer done.Done()
	for {
		u, err := p.deps.Feed.Next(ctx)
		if err != nil {
			return
		}
		p.Apply(u)
	}
}

// runRounds runs at most one scheduling round per RoundInterval, and maintenance once per MaintenanceInterval.
func (p *Placer) runRounds(ctx context.Context, done *sync.WaitGroup) {
	defer done.Done()
	ticker := p.deps.Clock.NewTicker(p.cfg.RoundInterval)
	defer ticker.Stop()
	ticked := p.deps.Clock.Now()
	var calls sync.WaitGroup
	defer calls.Wait()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.Chan():
		}
		if now := p.deps.Clock.Now(); now.Sub(ticked) >= p.cfg.MaintenanceInterval {
			ticked = now
			p.maintain()
		}
		select {
		case p.inFlight <- struct{}{}:
		default:
			continue
		}
		batch := p.decide()
		if len(batch) == 0 {
			<-p.inFlight
			continue
		}
		calls.Add(1)
		go p.runSubmit(ctx, batch, &calls)
	}
}

// Step does one maintenance run and one scheduling round in the caller's goroutine, for tests and simulations; programs
// use Run instead.
func (p *Placer) Step(ctx context.Context) {
	p.maintain()
	p.flushEnds(ctx)
	if batch := p.decide(); len(batch) > 0 {
		p.submit(ctx, batch)
	}
}
