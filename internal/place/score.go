package place

import "arbutuswing.example/internal/model"

const (
	// defaultBalanceWeight is the weight of the imbalance between free processors and free memory.
	defaultBalanceWeight = 0.5
	// spreadPenalty exceeds any other difference between scores of the default strategy, so that a task of a service
	// goes to the rack with the fewest of the service's tasks.
	spreadPenalty = 16.0
)

// scorer scores a worker by what a task would leave free on it; lower is better.
type scorer struct {
	strategy Strategy
	balance  float64
}

func (s scorer) rate(w *worker, size model.Resources) float64 {
	cores := float64(w.free.Cores-size.Cores) / float64(max(1, w.capacity.Cores))
	memory := float64(w.free.Memory-size.Memory) / float64(max(1, w.capacity.Memory))
	switch s.strategy {
	case FirstFit:
		return float64(w.index)
	case BestFit:
		return cores + memory
	default:
		return s.dominant(w, size, cores, memory)
	}
}

// dominant scores by what is left of the task's dominant dimension, of which it takes the largest fraction. The imbalance
// term keeps workers from running out of one dimension while the other stays free.
func (s scorer) dominant(w *worker, size model.Resources, cores, memory float64) float64 {
	rest := memory
	if size.Cores*model.MilliCores(w.capacity.Memory) >= model.MilliCores(size.Memory)*w.capacity.Cores {
		rest = cores
	}
	if size.Accelerators > 0 {
		rest += float64(w.free.Accelerators-size.Accelerators) / float64(max(1, w.capacity.Accelerators))
	}
	return rest + s.balance*max(cores-memory, memory-cores)
}
