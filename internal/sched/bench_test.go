package sched

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"arbutuswing.example/internal/decl"
	"arbutuswing.example/internal/model"
	"arbutuswing.example/internal/state"
	"arbutuswing.example/internal/stream"
)

// benchView reports every task as queued and has no run time estimates.
type benchView struct{}

func (benchView) Task(id model.TaskID) (state.Task, model.JobSpec, bool) {
	return state.Task{ID: id, Phase: state.PhaseQueued}, model.JobSpec{}, true
}

func (benchView) Offset() model.Offset { return 0 }

func (benchView) Estimate(model.JobSpec) (state.Estimate, bool) { return state.Estimate{}, false }

type benchLeases struct{}

func (benchLeases) ServeSoon(model.WorkerID)   {}
func (benchLeases) WorkerChanged(state.Worker) {}
func (benchLeases) SetDeclarations(decl.Set)   {}

// benchCluster is a placer with a fleet of a given size that 280 teams keep nine tenths full.
type benchCluster struct {
	p               *Placer
	rng             *rand.Rand
	jobCount        int
	running         []*pendingBinding
	usedMilliCores  int64
	totalMilliCores int64
}

func newBenchCluster(b *testing.B, workers, batch int) *benchCluster {
	clock := clockwork.NewFakeClock()
	links := &fakeLinks{clock: clock, placer: true}
	p, err := New(Config{DataCentre: testDataCentre, MaxBindings: batch, MaxBacklog: -1}, Deps{
		Links: links, View: benchView{}, Leases: benchLeases{}, Clock: clock, Log: zap.NewNop(),
	})
	assert.NilError(b, err)
	c := &benchCluster{p: p, rng: rand.New(rand.NewPCG(1, 2))}
	set := testDeclarations(testDataCentre)
	for i := range 280 {
		set.Teams = append(set.Teams, decl.Team{Name: benchTeam(i), Share: 1 + float64(i%7)})
	}
	events := make([]state.Event, 0, workers+1)
	events = append(events, state.DeclarationsChanged{Set: set})
	for i := range workers {
		events = append(events, state.WorkerChanged{Worker: state.Worker{
			ID: workerName(i), Boot: "b", DataCentre: testDataCentre, Rack: model.RackID(fmt.Sprint("r", i/8)),
			Capacity: model.Resources{Cores: 64_000, Memory: 256 << 10}, Suspicion: model.NoOffset,
		}})
		c.totalMilliCores += 64_000
	}
	c.apply(events...)
	for range 280 * 8 {
		c.submit()
	}
	for c.usedMilliCores < c.totalMilliCores*9/10 {
		c.bind(p.decide())
	}
	return c
}

func benchTeam(i int) model.TeamID { return model.TeamID(fmt.Sprint("team", i)) }

func (c *benchCluster) apply(events ...state.Event) { c.p.Apply(stream.Update{Events: events}) }

// submit queues a job of four tasks of a random team and size.
func (c *benchCluster) submit() {
	c.jobCount++
	spec := job(model.JobID(fmt.Sprint("j", c.jobCount)), benchTeam(c.rng.IntN(280)), "patient", 4, model.Resources{
		Cores: model.MilliCores(250 << c.rng.IntN(6)), Memory: model.Mebibytes(256 << c.rng.IntN(7)),
	})
	for i := range spec.Tasks {
		c.apply(state.TaskQueued{
			Task: state.Task{ID: model.TaskID{Job: spec.ID, Index: i}, Phase: state.PhaseQueued}, Spec: spec,
		})
	}
}

// bind applies the bindings, ends random running tasks so that the fleet stays nine tenths full, and refills the queue.
func (c *benchCluster) bind(batch []*pendingBinding) {
	for _, b := range batch {
		c.apply(state.TaskBound{Spec: b.spec, Task: state.Task{
			ID: b.task.ID, Phase: state.PhaseBound, Attempt: 1, Worker: b.op.Worker, Boot: "b", Reservation: b.op.Reservation,
		}})
		c.running = append(c.running, b)
		c.usedMilliCores += int64(b.op.Reservation.Cores)
	}
	for c.usedMilliCores > c.totalMilliCores*9/10 {
		i := c.rng.IntN(len(c.running))
		b := c.running[i]
		c.running[i] = c.running[len(c.running)-1]
		c.running = c.running[:len(c.running)-1]
		c.usedMilliCores -= int64(b.op.Reservation.Cores)
		c.apply(state.AttemptEnded{Attempt: b.op.Attempt, Outcome: model.OutcomeSucceeded, Spec: b.spec})
	}
	for c.p.queue.Len() < 280*8 {
		c.submit()
	}
}

var fleetSizes = []int{50, 500, 5000, 7500}

// BenchmarkDecision measures rounds of one decision each on a fleet that is nine tenths full.
func BenchmarkDecision(b *testing.B) {
	for _, workers := range fleetSizes {
		b.Run(fmt.Sprint(workers), func(b *testing.B) {
			c := newBenchCluster(b, workers, 1)
			hist := hdrhistogram.New(1, int64(time.Second), 3)
			for b.Loop() {
				began := time.Now()
				batch := c.p.decide()
				_ = hist.RecordValue(int64(time.Since(began)))
				c.bind(batch)
			}
			b.ReportMetric(float64(hist.ValueAtQuantile(50))/1e3, "p50-us")
			b.ReportMetric(float64(hist.ValueAtQuantile(99))/1e3, "p99-us")
		})
	}
}

// BenchmarkDecisionsPerSecond measures decisions per second in rounds of up to 64, without the time to apply them.
func BenchmarkDecisionsPerSecond(b *testing.B) {
	for _, workers := range fleetSizes {
		b.Run(fmt.Sprint(workers), func(b *testing.B) {
			c := newBenchCluster(b, workers, 64)
			spent, count := time.Duration(0), 0
			for b.Loop() {
				began := time.Now()
				batch := c.p.decide()
				spent += time.Since(began)
				count += len(batch)
				c.bind(batch)
			}
			b.ReportMetric(float64(count)/spent.Seconds(), "decisions/s")
		})
	}
}

// BenchmarkFullFleet measures rounds in which nothing fits and the backlogs are full.
func BenchmarkFullFleet(b *testing.B) {
	for _, workers := range fleetSizes {
		b.Run(fmt.Sprint(workers), func(b *testing.B) {
			c := newBenchCluster(b, workers, 512)
			c.p.cfg.MaxBacklog = time.Second
			for _, s := range c.p.workerStates {
				s.leaseHeld = true
				free, _ := c.p.inventory.Free(s.id)
				c.p.inventory.Reserve(s.id, free)
			}
			for more := true; more; more = len(c.p.decide()) > 0 {
				c.p.changed, c.p.pausedUntil = true, time.Time{}
			}
			for range 3 * 280 * 8 {
				c.submit()
			}
			hist := hdrhistogram.New(1, int64(10*time.Second), 3)
			for b.Loop() {
				c.p.changed, c.p.pausedUntil = true, time.Time{}
				began := time.Now()
				_ = c.p.decide()
				_ = hist.RecordValue(int64(time.Since(began)))
			}
			b.ReportMetric(float64(hist.ValueAtQuantile(50))/1e3, "p50-us")
			b.ReportMetric(float64(hist.ValueAtQuantile(99))/1e3, "p99-us")
		})
	}
}
