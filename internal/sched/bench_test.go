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

// benchView knows every task as queued and nothing learned.
type benchView struct{}

func (benchView) Task(id model.TaskID) (state.Task, model.JobSpec, bool) {
	return state.Task{ID: id, Phase: state.PhaseQueued}, model.JobSpec{}, true
}

func (benchView) Offset() model.Offset { return 0 }

func (benchView) Estimate(model.JobSpec) (state.Estimate, bool) { return state.Estimate{}, false }

type benchLeases struct{}

func (benchLeases) Kick(model.WorkerID)        {}
func (benchLeases) WorkerChanged(state.Worker) {}
func (benchLeases) Declared(decl.Set)          {}

// stage is a placer with a fleet of a given size that is kept nearly full by 280 teams.
type stage struct {
	p       *Placer
	rng     *rand.Rand
	jobs    int
	running []*pendingBinding
	used    int64
	cores   int64
}

func newStage(b *testing.B, workers, batch int) *stage {
	clock := clockwork.NewFakeClock()
	links := &linksFake{clock: clock, placer: true}
	p, err := New(Config{DataCentre: testCentre, MaxBindings: batch, MaxBacklog: -1}, Deps{
		Links: links, View: benchView{}, Leases: benchLeases{}, Clock: clock, Log: zap.NewNop(),
	})
	assert.NilError(b, err)
	s := &stage{p: p, rng: rand.New(rand.NewPCG(1, 2))}
	set := declared(testCentre)
	for i := range 280 {
		set.Teams = append(set.Teams, decl.Team{Name: team(i), Share: 1 + float64(i%7)})
	}
	events := make([]state.Event, 0, workers+1)
	events = append(events, state.DeclarationsChanged{Set: set})
	for i := range workers {
		events = append(events, state.WorkerChanged{Worker: state.Worker{
			ID: workerName(i), Boot: "b", DataCentre: testCentre, Rack: model.RackID(fmt.Sprint("r", i/8)),
			Capacity: model.Resources{Cores: 64_000, Memory: 256 << 10}, Suspicion: model.NoOffset,
		}})
		s.cores += 64_000
	}
	s.apply(events...)
	for range 280 * 8 {
		s.submit()
	}
	for s.used < s.cores*9/10 {
		s.bind(p.decide())
	}
	return s
}

func team(i int) model.TeamID { return model.TeamID(fmt.Sprint("team", i)) }

func (s *stage) apply(events ...state.Event) { s.p.Apply(stream.Update{Events: events}) }

// submit queues a job of a few tasks of a random team and size.
func (s *stage) submit() {
	s.jobs++
	spec := job(model.JobID(fmt.Sprint("j", s.jobs)), team(s.rng.IntN(280)), "patient", 4, model.Resources{
		Cores: model.MilliCores(250 << s.rng.IntN(6)), Memory: model.Mebibytes(256 << s.rng.IntN(7)),
	})
	for i := range spec.Tasks {
		s.apply(state.TaskQueued{
			Task: state.Task{ID: model.TaskID{Job: spec.ID, Index: i}, Phase: state.PhaseQueued}, Spec: spec,
		})
	}
}

// bind folds the bindings, ends old ones so that the fleet stays at nine tenths, and refills the queue.
func (s *stage) bind(batch []*pendingBinding) {
	for _, b := range batch {
		s.apply(state.TaskBound{Spec: b.spec, Task: state.Task{
			ID: b.task.ID, Phase: state.PhaseBound, Attempt: 1, Worker: b.op.Worker, Boot: "b", Reservation: b.op.Reservation,
		}})
		s.running = append(s.running, b)
		s.used += int64(b.op.Reservation.Cores)
	}
	for s.used > s.cores*9/10 {
		i := s.rng.IntN(len(s.running))
		b := s.running[i]
		s.running[i] = s.running[len(s.running)-1]
		s.running = s.running[:len(s.running)-1]
		s.used -= int64(b.op.Reservation.Cores)
		s.apply(state.AttemptEnded{Attempt: b.op.Attempt, Outcome: model.OutcomeSucceeded, Spec: b.spec})
	}
	for s.p.queue.Len() < 280*8 {
		s.submit()
	}
}

var fleetSizes = []int{50, 500, 5000, 7500}

// BenchmarkDecision times rounds of one decision each, at a fleet that is nine tenths full.
func BenchmarkDecision(b *testing.B) {
	for _, workers := range fleetSizes {
		b.Run(fmt.Sprint(workers), func(b *testing.B) {
			s := newStage(b, workers, 1)
			hist := hdrhistogram.New(1, int64(time.Second), 3)
			for b.Loop() {
				began := time.Now()
				batch := s.p.decide()
				_ = hist.RecordValue(int64(time.Since(began)))
				s.bind(batch)
			}
			b.ReportMetric(float64(hist.ValueAtQuantile(50))/1e3, "p50-us")
			b.ReportMetric(float64(hist.ValueAtQuantile(99))/1e3, "p99-us")
		})
	}
}

// BenchmarkDecisionsPerSecond counts decisions in rounds of many, without the time for what follows them.
func BenchmarkDecisionsPerSecond(b *testing.B) {
	for _, workers := range fleetSizes {
		b.Run(fmt.Sprint(workers), func(b *testing.B) {
			s := newStage(b, workers, 64)
			spent, count := time.Duration(0), 0
			for b.Loop() {
				began := time.Now()
				batch := s.p.decide()
				spent += time.Since(began)
				count += len(batch)
				s.bind(batch)
			}
			b.ReportMetric(float64(count)/spent.Seconds(), "decisions/s")
		})
	}
}

// BenchmarkFullFleet times rounds when nothing fits any more and the backlogs are full.
func BenchmarkFullFleet(b *testing.B) {
	for _, workers := range fleetSizes {
		b.Run(fmt.Sprint(workers), func(b *testing.B) {
			s := newStage(b, workers, 512)
			s.p.cfg.MaxBacklog = time.Second
			for _, host := range s.p.workerStates {
				host.leaseHeld = true
				free, _ := s.p.book.Free(host.id)
				s.p.book.Reserve(host.id, free)
			}
			for more := true; more; more = len(s.p.decide()) > 0 {
				s.p.changed, s.p.pausedUntil = true, time.Time{}
			}
			for range 3 * 280 * 8 {
				s.submit()
			}
			hist := hdrhistogram.New(1, int64(10*time.Second), 3)
			for b.Loop() {
				s.p.changed, s.p.pausedUntil = true, time.Time{}
				began := time.Now()
				_ = s.p.decide()
				_ = hist.RecordValue(int64(time.Since(began)))
			}
			b.ReportMetric(float64(hist.ValueAtQuantile(50))/1e3, "p50-us")
			b.ReportMetric(float64(hist.ValueAtQuantile(99))/1e3, "p99-us")
		})
	}
}
