package policy

import (
	"math"
	"time"

	"arbutuswing.example/internal/model"
	"arbutuswing.example/internal/state"
)

// Estimator estimates the size and run time of a task from succeeded attempts of similar jobs. The replicated state
// machine keeps the estimates, so all instances agree on them and a new instance gets them with the snapshot.
type Estimator interface {
	Estimate(spec model.JobSpec) (state.Estimate, bool)
}

// roundingTolerance is subtracted before rounding up, so that a floating-point error doesn't add a unit.
const roundingTolerance = 1e-6

// Learner derives reservations and run times from estimates; it is not safe for concurrent use.
type Learner struct {
	cfg       Config
	estimates Estimator
	// observedPeaks holds the peak usage of attempts that used more than their reservation and did not succeed.
	observedPeaks map[model.TaskID]model.Resources
}

// NewLearner returns a learner that reads its estimates from estimates.
func NewLearner(cfg Config, estimates Estimator) *Learner {
	return &Learner{cfg: cfg.WithDefaults(), estimates: estimates, observedPeaks: make(map[model.TaskID]model.Resources)}
}

// AttemptEnded records the peak usage of an attempt that did not succeed and used more than its reservation, so that the
// task's next attempt reserves enough. The estimates don't cover it, because they rest on succeeded attempts only.
func (l *Learner) AttemptEnded(task model.TaskID, reserved model.Resources, outcome model.Outcome, usage model.Usage) {
	if outcome != model.OutcomeSucceeded && !usage.Peak.Fits(reserved) {
		l.observedPeaks[task] = larger(l.observedPeaks[task], usage.Peak)
	}
}

// Forget removes the recorded usage of a task that is done.
func (l *Learner) Forget(task model.TaskID) { delete(l.observedPeaks, task) }

// sufficientEstimate returns the estimate for the job if it rests on enough attempts.
func (l *Learner) sufficientEstimate(spec model.JobSpec) (state.Estimate, bool) {
	e, ok := l.estimates.Estimate(spec)
	return e, ok && e.Count >= l.cfg.MinSamples
}

// Reserve returns the reservation for an attempt of the task: the declared size, or the estimate plus a margin once it
// rests on enough attempts. If it exceeds all of the given worker capacities, it is reduced to one of them. The number
// of accelerators is always the declared one, because they are whole devices.
func (l *Learner) Reserve(spec model.JobSpec, task model.TaskID, capacities []model.Resources) model.Resources {
	size := spec.Size
	if e, ok := l.sufficientEstimate(spec); ok && !e.Size.Zero() {
		size.Cores = model.MilliCores(l.addMargin(int64(e.Size.Cores)))
		size.Memory = model.Mebibytes(l.addMargin(int64(e.Size.Memory)))
	}
	if peak, ok := l.observedPeaks[task]; ok {
		size.Cores = max(size.Cores, model.MilliCores(l.addMargin(int64(peak.Cores))))
		size.Memory = max(size.Memory, model.Mebibytes(l.addMargin(int64(peak.Memory))))
	}
	size.Cores, size.Memory = max(size.Cores, 1), max(size.Memory, 1)
	return capToWorkers(size, spec.Size, capacities)
}

// capToWorkers returns size if it fits into one of the capacities. Otherwise it returns size reduced to a capacity that
// holds the declared size, the one that takes the least away from it.
func capToWorkers(size, declared model.Resources, capacities []model.Resources) model.Resources {
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

func (l *Learner) addMargin(value int64) int64 {
	return int64(math.Ceil(float64(value)*(1+l.cfg.ReservationMargin) - roundingTolerance))
}

// RunTime returns the estimated median run time of one task, or the declared run time until enough attempts succeeded.
func (l *Learner) RunTime(spec model.JobSpec) time.Duration {
	if e, ok := l.sufficientEstimate(spec); ok {
		return e.RunTime.Std()
	}
	return spec.RunTime.Std()
}

// RunTimeP95 returns the estimated 95th percentile of the run time of one task, or the declared run time until enough
// attempts succeeded.
func (l *Learner) RunTimeP95(spec model.JobSpec) time.Duration {
	if e, ok := l.sufficientEstimate(spec); ok {
		return e.RunTimeHigh.Std()
	}
	return spec.RunTime.Std()
}

func larger(a, b model.Resources) model.Resources {
	return model.Resources{
		Cores: max(a.Cores, b.Cores), Memory: max(a.Memory, b.Memory), Accelerators: max(a.Accelerators, b.Accelerators),
	}
}
