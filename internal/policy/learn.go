package policy

import (
	"math"
	"time"

	"arbutuswing.example/internal/model"
	"arbutuswing.example/internal/state"
)

// Estimator tells what succeeded attempts of alike jobs used; the fold keeps that, so all instances agree and a new one
// has it from the snapshot.
type Estimator interface {
	Estimate(spec model.JobSpec) (state.Estimate, bool)
}

// rounding keeps the error of a floating-point product from adding a unit.
const rounding = 1e-6

// Learner turns estimates into reservations; it is not safe for concurrent use.
type Learner struct {
	cfg       Config
	estimates Estimator
	// floors holds what an attempt of the task used above its reservation.
	floors map[model.TaskID]model.Resources
}

// NewLearner returns a learner that works with the estimates.
func NewLearner(cfg Config, estimates Estimator) *Learner {
	return &Learner{cfg: cfg.WithDefaults(), estimates: estimates, floors: make(map[model.TaskID]model.Resources)}
}

// AttemptEnded remembers what an attempt used above its reservation for the task's next attempt, since the estimates rest on
// successes only.
func (l *Learner) AttemptEnded(task model.TaskID, reserved model.Resources, outcome model.Outcome, usage model.Usage) {
	if outcome != model.OutcomeSucceeded && !usage.Peak.Fits(reserved) {
		l.floors[task] = larger(l.floors[task], usage.Peak)
	}
}

// Forget drops what is remembered of a task that is done.
func (l *Learner) Forget(task model.TaskID) { delete(l.floors, task) }

// learned returns the estimate once it rests on enough attempts.
func (l *Learner) learned(spec model.JobSpec) (state.Estimate, bool) {
	e, ok := l.estimates.Estimate(spec)
	return e, ok && e.Count >= l.cfg.MinSamples
}

// Reserve returns the reservation to ask for: the declared size, or the learned percentile with its margin once enough
// attempts ended. It is cut to the capacity of a worker if it would exceed all capacities. Accelerators are whole
// devices, so their declared number stays.
func (l *Learner) Reserve(spec model.JobSpec, task model.TaskID, capacities []model.Resources) model.Resources {
	size := spec.Size
	if e, ok := l.learned(spec); ok && !e.Size.Zero() {
		size.Cores = model.MilliCores(l.margin(int64(e.Size.Cores)))
		size.Memory = model.Mebibytes(l.margin(int64(e.Size.Memory)))
	}
	if floor, ok := l.floors[task]; ok {
		size.Cores = max(size.Cores, model.MilliCores(l.margin(int64(floor.Cores))))
		size.Memory = max(size.Memory, model.Mebibytes(l.margin(int64(floor.Memory))))
	}
	size.Cores, size.Memory = max(size.Cores, 1), max(size.Memory, 1)
	return cut(size, spec.Size, capacities)
}

// cut returns size, or the part of it that goes into the capacity that loses least of it, among the capacities that
// hold the declared size.
func cut(size, declared model.Resources, capacities []model.Resources) model.Resources {
	best, lost := size, math.Inf(1)
	for _, c := range capacities {
		if size.Fits(c) {
			return size
		}
		if !declared.Fits(c) {
			continue
		}
		part := model.Resources{
			Cores: min(size.Cores, c.Cores), Memory: min(size.Memory, c.Memory), Accelerators: size.Accelerators,
		}
		if l := size.Minus(part).DominantShare(size); l < lost {
			best, lost = part, l
		}
	}
	return best
}

func (l *Learner) margin(value int64) int64 {
	return int64(math.Ceil(float64(value)*(1+l.cfg.ReservationMargin) - rounding))
}

// RunTime returns the learned median run time of one task, or the declared one until enough attempts ended.
func (l *Learner) RunTime(spec model.JobSpec) time.Duration {
	if e, ok := l.learned(spec); ok {
		return e.RunTime.Std()
	}
	return spec.RunTime.Std()
}

// RunTimeP95 returns the learned 95th percentile of the run time, or the declared one until enough attempts ended.
func (l *Learner) RunTimeP95(spec model.JobSpec) time.Duration {
	if e, ok := l.learned(spec); ok {
		return e.RunTimeHigh.Std()
	}
	return spec.RunTime.Std()
}

func larger(a, b model.Resources) model.Resources {
	return model.Resources{
		Cores: max(a.Cores, b.Cores), Memory: max(a.Memory, b.Memory), Accelerators: max(a.Accelerators, b.Accelerators),
	}
}
