package place

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"

	"gotest.tools/v3/assert"

	"arbutuswing.example/internal/model"
)

// workerCapacity is the capacity of every worker.
var workerCapacity = model.Resources{Cores: 64_000, Memory: 256 << 10}

func smaller(a, b model.Resources) model.Resources {
	return model.Resources{Cores: min(a.Cores, b.Cores), Memory: min(a.Memory, b.Memory)}
}

// testTask is a task of the seeded workload. Its declared size differs from what it needs by a factor of up to four.
type testTask struct {
	need, declared model.Resources
	profile        int
	length         int
}

// randomTasks returns count tasks of 40 profiles, some of which need mostly processors, some mostly memory.
func randomTasks(seed uint64, count int) []testTask {
	rng := rand.New(rand.NewPCG(seed, 7))
	type kind struct{ cores, memory, wrong float64 }
	kinds := make([]kind, 40)
	for i := range kinds {
		cores := math.Exp2(rng.Float64()*5 - 1)
		kinds[i] = kind{cores, cores * math.Exp2(rng.Float64()*6-1), math.Pow(4, rng.Float64()*2-1)}
	}
	out := make([]testTask, count)
	for i := range out {
		p := rng.IntN(len(kinds))
		k, vary := kinds[p], 0.7+0.3*rng.Float64()
		size := func(f float64) model.Resources {
			return model.Resources{
				Cores: model.MilliCores(max(1, k.cores*f*1000)), Memory: model.Mebibytes(max(1, k.memory*f*1024)),
			}
		}
		out[i] = testTask{need: size(vary), declared: size(k.wrong), profile: p, length: 10 + rng.IntN(100)}
		out[i].need, out[i].declared = smaller(out[i].need, workerCapacity), smaller(out[i].declared, workerCapacity)
	}
	return out
}

// runningTask is a task under way; done is false if it will be stopped for lack of memory.
type runningTask struct {
	task     testTask
	worker   model.WorkerID
	reserved model.Resources
	end      int
	done     bool
}

// runningTasks is a heap of tasks by end.
type runningTasks []runningTask

func (f runningTasks) Len() int           { return len(f) }
func (f runningTasks) Less(i, j int) bool { return f[i].end < f[j].end }
func (f runningTasks) Swap(i, j int)      { f[i], f[j] = f[j], f[i] }
func (f *runningTasks) Push(x any)        { *f = append(*f, x.(runningTask)) }
func (f *runningTasks) Pop() any {
	last := (*f)[len(*f)-1]
	*f = (*f)[:len(*f)-1]
	return last
}

// simulation runs a workload on an inventory. A task that needs more processors than it reserved is slowed down. One that
// needs more memory is stopped after a quarter of its time and run again with the memory that it needs.
type simulation struct {
	inventory *Inventory
	queue     []testTask
	running   runningTasks
	// samples holds the sizes that finished tasks needed, by profile; reservations follow them if learns is set.
	samples map[int][]model.Resources
	learns  bool
	now     int
}

// reserve returns the reservation for a task: the declared size, or with learning the 95th percentile plus a tenth.
func (s *simulation) reserve(p testTask) model.Resources {
	seen := s.samples[p.profile]
	if !s.learns || len(seen) < 5 {
		return p.declared
	}
	var cores, memory []int64
	for _, need := range seen[max(0, len(seen)-32):] {
		cores, memory = append(cores, int64(need.Cores)), append(memory, int64(need.Memory))
	}
	high := func(values []int64) int64 {
		slices.Sort(values)
		return int64(float64(values[int(math.Ceil(0.95*float64(len(values))))-1]) * 1.1)
	}
	return smaller(model.Resources{Cores: model.MilliCores(high(cores)), Memory: model.Mebibytes(high(memory))}, workerCapacity)
}

// fill starts the queued tasks that fit; it stops after 200 that don't.
func (s *simulation) fill() {
	kept, failed := s.queue[:0:0], 0
	var sizes []model.Resources
	for i, p := range s.queue {
		if failed == 200 {
			kept = append(kept, s.queue[i:]...)
			break
		}
		size := s.reserve(p)
		worker, ok := model.WorkerID(""), false
		if !slices.ContainsFunc(sizes, func(f model.Resources) bool { return f.Fits(size) }) {
			worker, ok = s.inventory.Place(Demand{Size: size})
		}
		if !ok {
			if len(sizes) < 32 {
				sizes = append(sizes, size)
			}
			failed++
			kept = append(kept, p)
			continue
		}
		f := runningTask{task: p, worker: worker, reserved: size, done: p.need.Memory <= size.Memory}
		slow := max(1, float64(p.need.Cores)/float64(size.Cores))
		f.end = s.now + int(float64(p.length)*slow)
		if !f.done {
			f.end = s.now + p.length/4
		}
		heap.Push(&s.running, f)
	}
	s.queue = kept
}

// run runs the workload until 95% of the tasks are done, and returns the fraction of the fleet's capacity that their needs
// made up.
func (s *simulation) run(workers int) float64 {
	want, work := len(s.queue)*19/20, 0.0
	for count := 0; count < want; {
		s.fill()
		f := heap.Pop(&s.running).(runningTask)
		s.now = f.end
		s.inventory.Release(f.worker, f.reserved)
		if !f.done {
			f.task.declared = smaller(larger(f.task.need, f.reserved), workerCapacity)
			s.queue = append(s.queue, f.task)
			continue
		}
		count++
		work += f.task.need.DominantShare(workerCapacity) * float64(f.task.length)
		s.samples[f.task.profile] = append(s.samples[f.task.profile], f.task.need)
	}
	return work / float64(workers*s.now)
}

func larger(a, b model.Resources) model.Resources {
	return model.Resources{Cores: max(a.Cores, b.Cores), Memory: max(a.Memory, b.Memory)}
}

// BenchmarkPacking reports the percentage of the fleet's capacity that the needs of finished tasks make up, as the mean of
// six seeded workloads.
func BenchmarkPacking(b *testing.B) {
	const workers, seeds = 50, 6
	balances := []float64{1e-9, 0.25, 0.5, 1, 2}
	tests := make([]Config, 0, 2+len(balances))
	tests = append(tests, Config{Strategy: FirstFit}, Config{Strategy: BestFit})
	for _, balance := range balances {
		tests = append(tests, Config{Strategy: Dominant, BalanceWeight: balance})
	}
	for _, cfg := range tests {
		for _, learns := range []bool{false, true} {
			b.Run(fmt.Sprintf("%s-%.2f/learns=%t", cfg.Strategy, cfg.BalanceWeight, learns), func(b *testing.B) {
				sum := 0.0
				for b.Loop() {
					sum = 0
					for seed := range uint64(seeds) {
						inventory, err := New(cfg)
						assert.NilError(b, err)
						for i := range workers {
							inventory.Set(Worker{
								ID: model.WorkerID(fmt.Sprint("w", i)), Rack: model.RackID(fmt.Sprint("r", i/8)),
								Capacity: workerCapacity, Usable: true,
							})
						}
						s := &simulation{inventory: inventory, queue: randomTasks(seed, 4000), samples: make(map[int][]model.Resources), learns: learns}
						sum += s.run(workers)
					}
				}
				b.ReportMetric(100*sum/seeds, "%used")
			})
		}
	}
}
