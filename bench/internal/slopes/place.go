package slopes

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"arbutuswing.example/bench/internal/fits"
	"arbutuswing.example/internal/decl"
	"arbutuswing.example/internal/model"
	"arbutuswing.example/internal/place"
	"arbutuswing.example/internal/policy"
	"arbutuswing.example/internal/state"
)

// errNoCapacity reports that a simulated fleet has no free capacity although it should have.
var errNoCapacity = errors.New("no free capacity for any task")

const (
	// decisions is the number of measured decisions.
	decisions = 10_000
	// fillFraction is the fraction of the fleet's processors that is reserved while decisions are measured.
	fillFraction   = 0.85
	queuedJobs     = 2_000
	tasksPerJob    = 8
	workersPerRack = 8
	maxDuration    = int64(10 * time.Second)
)

// fixedEstimator replaces the estimates that the state machine learns from ended tasks.
type fixedEstimator struct{ sizes []model.Resources }

// Estimate implements policy.Estimator.
func (f fixedEstimator) Estimate(spec model.JobSpec) (state.Estimate, bool) {
	size := f.sizes[len(spec.ID)%len(f.sizes)]
	size.Cores = spec.Size.Cores
	return state.Estimate{Size: size, RunTime: model.Duration(time.Minute), RunTimeHigh: model.Duration(4 * time.Minute), Count: 32}, true
}

// placer makes placement decisions with the queue and the inventory as a round of sched.Placer does, without the log.
type placer struct {
	rng        *rand.Rand
	inventory  *place.Inventory
	queue      *policy.Queue
	learner    *policy.Learner
	capacities []model.Resources
	teams      int
	jobCount   int
	running    []runningTask
	round      *policy.Round
}

type runningTask struct {
	worker model.WorkerID
	team   model.TeamID
	size   model.Resources
}

func newPlacer(workers, teams int) (*placer, error) {
	inventory, err := place.New(place.Config{})
	if err != nil {
		return nil, fmt.Errorf("creating an inventory: %w", err)
	}
	capacity := model.Resources{Cores: 64_000, Memory: 256 << 10}
	p := &placer{
		rng: rand.New(rand.NewPCG(1, 2)), inventory: inventory, capacities: []model.Resources{capacity}, teams: teams,
		learner: policy.NewLearner(policy.Config{}, fixedEstimator{sizes: []model.Resources{{Memory: 4 << 10}, {Memory: 12 << 10}}}),
	}
	p.queue = policy.NewQueue(policy.Config{}, p.learner)
	set := decl.Set{Classes: []decl.Class{
		{Name: "urgent", Target: decl.Target{StartedWithin: model.Duration(4 * time.Second)}},
		{Name: "overnight", Target: decl.Target{DoneBy: &decl.DoneBy{Time: "06:00", Zone: "UTC"}}},
		{Name: "patient"},
	}}
	for i := range teams {
		set.Teams = append(set.Teams, decl.Team{Name: teamName(i), Share: float64(1 + i%4)})
	}
	p.queue.SetDeclarations(set)
	p.queue.SetFleetCapacity(capacity.Times(workers))
	for i := range workers {
		inventory.Set(place.Worker{
			ID: model.WorkerID(fmt.Sprintf("w%05d", i)), Rack: model.RackID(fmt.Sprintf("r%04d", i/workersPerRack)),
			Capacity: capacity, Usable: true,
		})
	}
	return p, p.fill(model.MilliCores(fillFraction * float64(capacity.Times(workers).Cores)))
}

func teamName(i int) model.TeamID { return model.TeamID(fmt.Sprintf("team-%03d", i)) }

// fill places tasks until the given amount of processors is reserved.
func (p *placer) fill(cores model.MilliCores) error {
	for used := model.MilliCores(0); used < cores; {
		p.refillQueue()
		took, size, ok := p.decide()
		if !ok {
			return fmt.Errorf("filling the fleet after %s: %w", took, errNoCapacity)
		}
		used += size.Cores
	}
	return nil
}

// refillQueue adds jobs of all teams and classes until the tasks of queuedJobs jobs are queued.
func (p *placer) refillQueue() {
	for p.queue.Len() < queuedJobs*tasksPerJob {
		p.jobCount++
		spec := model.JobSpec{
			ID: model.JobID(fmt.Sprintf("job-%d", p.jobCount)), Team: teamName(p.jobCount % p.teams), Kind: model.KindBatch,
			Class: []model.ClassID{"patient", "overnight", "patient", "urgent"}[p.rng.IntN(4)], Tasks: tasksPerJob,
			Size:    model.Resources{Cores: model.MilliCores(500 * (1 + p.rng.IntN(16))), Memory: model.Mebibytes(1024 * (1 + p.rng.IntN(16)))},
			RunTime: model.Duration(time.Minute),
		}
		for i := range tasksPerJob {
			task := state.Task{ID: model.TaskID{Job: spec.ID, Index: i}, Phase: state.PhaseQueued, QueuedAt: int64(p.jobCount) * int64(time.Millisecond)}
			p.queue.Put(task, spec, 0)
		}
	}
}

// decide takes the next task in order, reserves capacity for it and removes it from the queue.
func (p *placer) decide() (time.Duration, model.Resources, bool) {
	began := time.Now()
	if p.round == nil {
		p.round = p.queue.BeginRound(time.Unix(1_000, 0))
	}
	c, ok := p.round.Next()
	if !ok {
		p.round.Close()
		p.round = nil
		return time.Since(began), model.Resources{}, false
	}
	size := p.learner.Reserve(c.Spec, c.Tasks[0].ID, p.capacities)
	if !p.queue.AllowsMore(c.Spec.Team, size, 1) {
		p.round.Skip(c)
		return time.Since(began), size, false
	}
	worker, ok := p.inventory.Place(place.Demand{Size: size})
	if !ok {
		p.round.Skip(c)
		return time.Since(began), size, false
	}
	p.queue.Remove(c.Tasks[0].ID)
	p.queue.AddUsage(c.Spec.Team, size, 1)
	took := time.Since(began)
	p.running = append(p.running, runningTask{worker: worker, team: c.Spec.Team, size: size})
	return took, size, true
}

// endRandomTask ends a random running task.
func (p *placer) endRandomTask() {
	i := p.rng.IntN(len(p.running))
	r := p.running[i]
	p.running[i] = p.running[len(p.running)-1]
	p.running = p.running[:len(p.running)-1]
	p.inventory.Release(r.worker, r.size)
	p.queue.AddUsage(r.team, model.Resources{}.Minus(r.size), -1)
}

// measureDecisions measures decisions with a nearly full fleet, each after the end of a random task.
func (p *placer) measureDecisions() *hdrhistogram.Histogram {
	h := hdrhistogram.New(1, maxDuration, 3)
	for range decisions {
		p.endRandomTask()
		p.refillQueue()
		took, _, _ := p.decide()
		_ = h.RecordValue(min(int64(took), maxDuration))
	}
	return h
}

// placement measures the time of a placement decision by the number of workers and of teams.
func placement(Config) ([]fits.Series, error) {
	var out []fits.Series
	byWorkers, err := decisionSeries("worker (280 teams)", []int{50, 500, 5_000, 7_500},
		func(n int) (*placer, error) { return newPlacer(n, 280) })
	if err != nil {
		return nil, err
	}
	byTeams, err := decisionSeries("team (7,500 workers)", []int{10, 70, 140, 280},
		func(n int) (*placer, error) { return newPlacer(7_500, n) })
	if err != nil {
		return nil, err
	}
	out = append(out, byWorkers...)
	return append(out, byTeams...), nil
}

func decisionSeries(size string, values []int, make func(n int) (*placer, error)) ([]fits.Series, error) {
	var mean, p99 []fits.Point
	for _, n := range values {
		p, err := make(n)
		if err != nil {
			return nil, err
		}
		h := p.measureDecisions()
		mean = append(mean, fits.Point{X: float64(n), Y: h.Mean() / 1e3})
		p99 = append(p99, fits.Point{X: float64(n), Y: float64(h.ValueAtQuantile(99)) / 1e3})
	}
	return []fits.Series{
		fits.New("placement decision, mean", size, "us", mean), fits.New("placement decision, p99", size, "us", p99),
	}, nil
}
