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
	Feed   Feed
	Submit Submitter
	Links  Links
	View   View
	Leases Leases
	Loads  Loads
	Invar  *invar.Checker
	Clock  clockwork.Clock
	Log    *zap.Logger
}

// Placer decides which task runs where in one data centre. It is the handler of the data centre's leases.
type Placer struct {
	cfg  Config
	deps Deps
	book *place.Book
	// slots bounds the submissions in flight.
	slots    chan struct{}
	wakeEnds chan struct{}
	refusals chan refusal

	// mu guards the fields below; it is taken before any lock of the book or of the leases.
	mu sync.Mutex
	fold
	queue      *policy.Queue
	offers     *policy.Offers
	learner    *policy.Learner
	quarantine *policy.Quarantine
	never      *policy.Never

	sessions map[model.WorkerID]*session
	// taking holds bindings that were submitted and neither folded nor found void.
	taking map[model.AttemptID]*taking
	// seenOn maps a task to the workers that last reported it as running.
	seenOn map[model.TaskID][]model.WorkerID
	head   headOfOrder
	claims map[model.TaskID]*claim
	voids  map[model.TaskID]int
	failed map[model.TaskID]failure
	// returned holds tasks that were returned from behind others, so that they don't go there again.
	returned map[model.TaskID]bool
	refused  map[model.JobID]time.Time
	ends     []record.Ended
	// changed is set when room or work came up since the last round.
	changed bool
	full    bool
	// fullSeen holds which data centres reported themselves full.
	fullSeen map[model.DataCentreID]bool
	cursor   int
	stats    roundStats
}

// fold is what the placer knows of the folded state.
type fold struct {
	set      decl.Set
	centres  map[model.DataCentreID]decl.Service
	outSince time.Time
	workers  map[model.WorkerID]state.Worker
	// sizes counts the usable workers of each data centre by capacity.
	sizes    map[model.DataCentreID]map[model.Resources]int
	attempts map[model.AttemptID]*attempt
	// current maps a task to its bound attempt.
	current map[model.TaskID]*attempt
	// racks counts the bound tasks of services by rack, in this data centre.
	racks map[model.JobID]map[model.RackID]int
	seq   int64
}

func newFold() fold {
	return fold{
		centres: make(map[model.DataCentreID]decl.Service), workers: make(map[model.WorkerID]state.Worker),
		sizes:    make(map[model.DataCentreID]map[model.Resources]int),
		attempts: make(map[model.AttemptID]*attempt), current: make(map[model.TaskID]*attempt),
		racks: make(map[model.JobID]map[model.RackID]int),
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
		slots: make(chan struct{}, cfg.Parallel), wakeEnds: make(chan struct{}, 1),
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
	p.book, p.fold = book, newFold()
	p.learner = policy.NewLearner(p.cfg.Policy, p.deps.View)
	p.queue = policy.NewQueue(p.cfg.Policy, p.learner)
	p.offers = policy.NewOffers()
	p.quarantine = policy.NewQuarantine(p.cfg.Policy)
	p.never = policy.NewNever(p.cfg.Policy)
	p.sessions = make(map[model.WorkerID]*session)
	p.seenOn = make(map[model.TaskID][]model.WorkerID)
	p.taking = make(map[model.AttemptID]*taking)
	p.claims = make(map[model.TaskID]*claim)
	p.voids = make(map[model.TaskID]int)
	p.failed = make(map[model.TaskID]failure)
	p.returned = make(map[model.TaskID]bool)
	p.refused = make(map[model.JobID]time.Time)
	p.ends = nil
	p.fullSeen = make(map[model.DataCentreID]bool)
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
	ticker := p.deps.Clock.NewTicker(p.cfg.Interval)
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
		if now := p.deps.Clock.Now(); now.Sub(ticked) >= p.cfg.Tick {
			ticked = now
			p.tick()
		}
		select {
		case p.slots <- struct{}{}:
		default:
			continue
		}
		batch := p.decide()
		if len(batch) == 0 {
			<-p.slots
			continue
		}
		calls.Add(1)
		go p.runSubmit(ctx, batch, &calls)
	}
}

// Step does one round of duties and decisions in the caller's goroutine; programs use Run instead.
func (p *Placer) Step(ctx context.Context) {
	p.tick()
	p.flushEnds(ctx)
	if batch := p.decide(); len(batch) > 0 {
		p.submit(ctx, batch)
	}
}
