package policy

import (
	"math"
	"slices"
	"time"

	"arbutuswing.example/internal/model"
)

// maxProfiles bounds the memory of the learner; the profile that is unused for longest is forgotten first.
const maxProfiles = 20_000

// profileKey groups attempts that are alike; names of profiles belong to their team.
type profileKey struct {
	team model.TeamID
	name string
}

func keyOf(spec model.JobSpec) profileKey {
	name := spec.Profile
	if name == "" {
		name = "class:" + string(spec.Class)
	}
	return profileKey{team: spec.Team, name: name}
}

// profile remembers the last ended attempts in rings.
type profile struct {
	cores, memory ring
	runTime       ring
	used          int64
}

// ring keeps the last values and a percentile of them, computed anew after each value.
type ring struct {
	values []int64
	next   int
	high   int64
}

func (r *ring) add(value int64, size int, percentile float64) {
	if len(r.values) < size {
		r.values = append(r.values, value)
	} else {
		r.values[r.next] = value
		r.next = (r.next + 1) % size
	}
	sorted := slices.Clone(r.values)
	slices.Sort(sorted)
	r.high = sorted[max(0, int(math.Ceil(percentile*float64(len(sorted))))-1)]
}

// Learner learns sizes and run times from ended attempts; it is not safe for concurrent use.
type Learner struct {
	cfg      Config
	profiles map[profileKey]*profile
	// floors holds what an attempt of the task used above its reservation.
	floors map[model.TaskID]model.Resources
	clock  int64
}

// NewLearner returns a learner that knows nothing.
func NewLearner(cfg Config) *Learner {
	return &Learner{
		cfg: cfg.WithDefaults(), profiles: make(map[profileKey]*profile),
		floors: make(map[model.TaskID]model.Resources),
	}
}

// Ended learns from the end of an attempt. Only successes count as samples, since failures and stops end early; but
// what any attempt used above its reservation is remembered for the task's next attempt.
func (l *Learner) Ended(
	spec model.JobSpec, task model.TaskID, reserved model.Resources, outcome model.Outcome, usage model.Usage,
) {
	if outcome != model.OutcomeSucceeded {
		if !usage.Peak.Fits(reserved) {
			l.floors[task] = larger(l.floors[task], usage.Peak)
		}
		return
	}
	delete(l.floors, task)
	if usage.Peak.Zero() && usage.RunTime <= 0 {
		return
	}
	p := l.profiles[keyOf(spec)]
	if p == nil {
		l.forgetOldest()
		p = &profile{}
		l.profiles[keyOf(spec)] = p
	}
	l.clock++
	p.used = l.clock
	if !usage.Peak.Zero() {
		p.cores.add(int64(usage.Peak.Cores), l.cfg.Samples, l.cfg.Percentile)
		p.memory.add(int64(usage.Peak.Memory), l.cfg.Samples, l.cfg.Percentile)
	}
	p.runTime.add(int64(usage.RunTime), l.cfg.Samples, l.cfg.Percentile)
}

func (l *Learner) forgetOldest() {
	if len(l.profiles) < maxProfiles {
		return
	}
	var oldest profileKey
	found := int64(math.MaxInt64)
	for key, p := range l.profiles {
		if p.used < found {
			oldest, found = key, p.used
		}
	}
	delete(l.profiles, oldest)
}

// Forget drops what is remembered of a task that is done.
func (l *Learner) Forget(task model.TaskID) { delete(l.floors, task) }

// Reserve returns the reservation to ask for: the declared size, or the learned percentile with its margin once enough
// attempts ended. It is cut to the capacity of a worker if it would exceed all capacities. Accelerators are whole
// devices, so their declared number stays.
func (l *Learner) Reserve(spec model.JobSpec, task model.TaskID, capacities []model.Resources) model.Resources {
	size := spec.Size
	if p := l.profiles[keyOf(spec)]; p != nil && len(p.cores.values) >= l.cfg.LearnAfter {
		size.Cores = model.MilliCores(l.margin(p.cores.high))
		size.Memory = model.Mebibytes(l.margin(p.memory.high))
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
		if l := size.Minus(part).Dominant(size); l < lost {
			best, lost = part, l
		}
	}
	return best
}

func (l *Learner) margin(value int64) int64 {
	return int64(math.Ceil(float64(value) * (1 + l.cfg.Margin)))
}

// RunTime returns the learned run time of one task, or the declared one until enough attempts ended.
func (l *Learner) RunTime(spec model.JobSpec) time.Duration {
	if p := l.profiles[keyOf(spec)]; p != nil && len(p.runTime.values) >= l.cfg.LearnAfter {
		return time.Duration(p.runTime.high)
	}
	return spec.RunTime.Std()
}

func larger(a, b model.Resources) model.Resources {
	return model.Resources{
		Cores: max(a.Cores, b.Cores), Memory: max(a.Memory, b.Memory), Accelerators: max(a.Accelerators, b.Accelerators),
	}
}
