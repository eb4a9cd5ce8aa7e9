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

// Deps are the parts that the placer works with; Loads may be nil.
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

// Placer decides which task runs where in one data centre. It is the handler of the data centre's leases.
type Placer struct {
	cfg  Config
	deps Deps
	book *place.Book
	// slots bounds the submissions in flight.
	inFlight  chan struct{}
	endsReady chan struct{}
	refusals  chan refusal

	// mu guards the fields below; it is taken before any lock of the book or of the leases.
	mu sync.Mutex
	observedState
	queue      *policy.Queue
	offers     *policy.Offers
	learner    *policy.Learner
	quarantine *policy.Quarantine
	neverFits  *policy.Never

	workerStates map[model.WorkerID]*workerState
	// ids lists the sessions in order.
	workerIDs []model.WorkerID
	// taking holds bindings that were submitted and neither folded nor found void.
	pendingBindings map[model.AttemptID]*pendingBinding
	// backlog sums the work behind others by worker.
	backlogTimes map[model.WorkerID]time.Duration
	// seenOn maps a task to the workers that last reported it as running.
	runningOn  map[model.TaskID][]model.WorkerID
	head       blockedHead
	claims     map[model.TaskID]*claim
	rejections map[model.TaskID]int
	failures   map[model.TaskID]failureHistory
	// returned holds tasks that were returned from behind others, so that they don't go there again.
	returnedFromBacklog map[model.TaskID]bool
	refusedUntil        map[model.JobID]time.Time
	pendingEnds         []record.Ended
	// changed is set when room or work came up since the last round.
	changed bool
	// rest is when the next round may begin after one that found no room; urgent work ends it.
	pausedUntil time.Time
	full        bool
	// fullSeen holds which data centres reported themselves full.
	fullElsewhere map[model.DataCentreID]bool
	scanCursor    int
	lastRound     roundStats
}

// fold is what the placer knows of the folded state.
type observedState struct {
	declarations     decl.Set
	dataCentres      map[model.DataCentreID]decl.Service
	serviceChangedAt time.Time
	workers          map[model.WorkerID]state.Worker
	// sizes counts the usable workers of each data centre by capacity.
	capacityCounts map[model.DataCentreID]map[model.Resources]int
	attempts       map[model.AttemptID]*attempt
	// current maps a task to its bound attempt.
	currentAttempts map[model.TaskID]*attempt
	// racks counts the bound tasks of services by rack, in this data centre.
	serviceRacks map[model.JobID]map[model.RackID]int
	seq          int64
}

func newObservedState() observedState {
	return observedState{
		dataCentres: make(map[model.DataCentreID]decl.Service), workers: make(map[model.WorkerID]state.Worker),
		capacityCounts: make(map[model.DataCentreID]map[model.Resources]int),
		attempts:       make(map[model.AttemptID]*attempt), currentAttempts: make(map[model.TaskID]*attempt),
		serviceRacks: make(map[model.JobID]map[model.RackID]int),
	}
}

// New returns a placer that has seen no event; it returns ErrBadConfig for settings out of range. SetLeases must be
// called before Run unless Deps name the leases.
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

// SetLeases tells the leases, whose handler is the placer.
func (p *Placer) SetLeases(l Leases) { p.deps.Leases = l }

// reset forgets everything that came from events; reports of workers come again with the next renewals.
func (p *Placer) reset() error {
	book, err := place.New(p.cfg.Place)
	if err != nil {
		return fmt.Errorf("making the book: %w", err)
	}
	p.book, p.observedState = book, newObservedState()
	p.learner = policy.NewLearner(p.cfg.Policy, p.deps.View)
	p.queue = policy.NewQueue(p.cfg.Policy, p.learner)
	p.offers = policy.NewOffers()
	if p.quarantine == nil {
		// What failed on a worker is not in the fold, so it outlives a new description of the state.
		p.quarantine, p.neverFits = policy.NewQuarantine(p.cfg.Policy), policy.NewNever(p.cfg.Policy)
	}
	p.workerIDs = nil
	p.workerStates = make(map[model.WorkerID]*workerState)
	p.backlogTimes = make(map[model.WorkerID]time.Duration)
	p.runningOn = make(map[model.TaskID][]model.WorkerID)
	p.pendingBindings = make(map[model.AttemptID]*pendingBinding)
	p.claims = make(map[model.TaskID]*claim)
	p.rejections = make(map[model.TaskID]int)
	p.failures = make(map[model.TaskID]failureHistory)
	p.returnedFromBacklog = make(map[model.TaskID]bool)
	p.refusedUntil = make(map[model.JobID]time.Time)
	p.pendingEnds = nil
	p.fullElsewhere = make(map[model.DataCentreID]bool)
	return nil
}

// Run places tasks until ctx ends.
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

// runUpdates follows the fold.
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

// runRounds decides at most once per interval, and does the slower duties once per tick.
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

// Step does one round of duties and decisions in the caller's goroutine; programs use Run instead.
func (p *Placer) Step(ctx context.Context) {
	p.maintain()
	p.flushEnds(ctx)
	if batch := p.decide(); len(batch) > 0 {
		p.submit(ctx, batch)
	}
}
