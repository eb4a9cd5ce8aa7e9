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

// host is the capacity of every worker.
var host = model.Resources{Cores: 64_000, Memory: 256 << 10}

func least(a, b model.Resources) model.Resources {
	return model.Resources{Cores: min(a.Cores, b.Cores), Memory: min(a.Memory, b.Memory)}
}

// piece is a task of the seeded mix; declared is off by up to four times from what it needs.
type piece struct {
	need, declared model.Resources
	profile        int
	length         int
}

// mix returns tasks of profiles whose sizes are heavy in processors, heavy in memory or balanced.
func mix(seed uint64, count int) []piece {
	rng := rand.New(rand.NewPCG(seed, 7))
	type kind struct{ cores, memory, wrong float64 }
	kinds := make([]kind, 40)
	for i := range kinds {
		cores := math.Exp2(rng.Float64()*5 - 1)
		kinds[i] = kind{cores, cores * math.Exp2(rng.Float64()*6-1), math.Pow(4, rng.Float64()*2-1)}
	}
	out := make([]piece, count)
	for i := range out {
		p := rng.IntN(len(kinds))
		k, vary := kinds[p], 0.7+0.3*rng.Float64()
		size := func(f float64) model.Resources {
			return model.Resources{
				Cores: model.MilliCores(max(1, k.cores*f*1000)), Memory: model.Mebibytes(max(1, k.memory*f*1024)),
			}
		}
		out[i] = piece{need: size(vary), declared: size(k.wrong), profile: p, length: 10 + rng.IntN(100)}
		out[i].need, out[i].declared = least(out[i].need, host), least(out[i].declared, host)
	}
	return out
}

// flight is a running task.
type flight struct {
	piece    piece
	worker   model.WorkerID
	reserved model.Resources
	end      int
	done     bool
}

type flights []flight

func (f flights) Len() int           { return len(f) }
func (f flights) Less(i, j int) bool { return f[i].end < f[j].end }
func (f flights) Swap(i, j int)      { f[i], f[j] = f[j], f[i] }
func (f *flights) Push(x any)        { *f = append(*f, x.(flight)) }
func (f *flights) Pop() any {
	last := (*f)[len(*f)-1]
	*f = (*f)[:len(*f)-1]
	return last
}

// yard runs a mix on 50 workers. A task that needs more processors than it reserved is slowed down; one that needs more
// memory is stopped after a quarter of its time and tried again with what it needs.
type yard struct {
	book    *Inventory
	queue   []piece
	running flights
	samples map[int][]model.Resources
	learns  bool
	now     int
}

func (y *yard) reserve(p piece) model.Resources {
	seen := y.samples[p.profile]
	if !y.learns || len(seen) < 5 {
		return p.declared
	}
	var cores, memory []int64
	for _, s := range seen[max(0, len(seen)-32):] {
		cores, memory = append(cores, int64(s.Cores)), append(memory, int64(s.Memory))
	}
	high := func(values []int64) int64 {
		slices.Sort(values)
		return int64(float64(values[int(math.Ceil(0.95*float64(len(values))))-1]) * 1.1)
	}
	return least(model.Resources{Cores: model.MilliCores(high(cores)), Memory: model.Mebibytes(high(memory))}, host)
}

// fill starts what fits, looking at no more than 200 tasks that don't.
func (y *yard) fill() {
	kept, failed := y.queue[:0:0], 0
	var sizes []model.Resources
	for i, p := range y.queue {
		if failed == 200 {
			kept = append(kept, y.queue[i:]...)
			break
		}
		size := y.reserve(p)
		worker, ok := model.WorkerID(""), false
		if !slices.ContainsFunc(sizes, func(f model.Resources) bool { return f.Fits(size) }) {
			worker, ok = y.book.Place(Demand{Size: size})
		}
		if !ok {
			if len(sizes) < 32 {
				sizes = append(sizes, size)
			}
			failed++
			kept = append(kept, p)
			continue
		}
		f := flight{piece: p, worker: worker, reserved: size, done: p.need.Memory <= size.Memory}
		slow := max(1, float64(p.need.Cores)/float64(size.Cores))
		f.end = y.now + int(float64(p.length)*slow)
		if !f.done {
			f.end = y.now + p.length/4
		}
		heap.Push(&y.running, f)
	}
	y.queue = kept
}

// run returns the part of the capacity that true work took until nineteen of twenty tasks were done.
func (y *yard) run(workers int) float64 {
	want, work := len(y.queue)*19/20, 0.0
	for count := 0; count < want; {
		y.fill()
		f := heap.Pop(&y.running).(flight)
		y.now = f.end
		y.book.Release(f.worker, f.reserved)
		if !f.done {
			f.piece.declared = least(larger(f.piece.need, f.reserved), host)
			y.queue = append(y.queue, f.piece)
			continue
		}
		count++
		work += f.piece.need.DominantShare(host) * float64(f.piece.length)
		y.samples[f.piece.profile] = append(y.samples[f.piece.profile], f.piece.need)
	}
	return work / float64(workers*y.now)
}

func larger(a, b model.Resources) model.Resources {
	return model.Resources{Cores: max(a.Cores, b.Cores), Memory: max(a.Memory, b.Memory)}
}

// BenchmarkPacking reports the part of the fleet that true work takes, as the mean of six seeded mixes.
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
						book, err := New(cfg)
						assert.NilError(b, err)
						for i := range workers {
							book.Set(Worker{
								ID: model.WorkerID(fmt.Sprint("w", i)), Rack: model.RackID(fmt.Sprint("r", i/8)), Capacity: host, Usable: true,
							})
						}
						y := &yard{book: book, queue: mix(seed, 4000), samples: make(map[int][]model.Resources), learns: learns}
						sum += y.run(workers)
					}
				}
				b.ReportMetric(100*sum/seeds, "%used")
			})
		}
	}
}
