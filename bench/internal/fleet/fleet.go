package fleet

import (
	"fmt"
	"slices"
	"time"

	"arbutuswing.example/bench/internal/mixes"
	"arbutuswing.example/internal/model"
)

const perRack = 8

// oomAfter is how long the tasks of a worker may use more memory than it has before one is killed. It is longer than
// the delay of usage reports, so that a scheduler has the chance to act first.
const oomAfter = 4 * time.Second

// Capacity is that of a worker.
var Capacity = model.Resources{Cores: 64_000, Memory: 256 << 10}

// Worker is one worker with its tasks.
type Worker struct {
	ID     model.WorkerID
	Centre model.DataCentreID
	Rack   model.RackID
	// Runs is in the order of starts.
	Runs []*Run
	over time.Duration
}

// Run is an attempt on a worker.
type Run struct {
	Attempt     model.AttemptID
	Team        model.TeamID
	Class       model.ClassID
	Need        mixes.Need
	Reservation model.Resources
	Started     time.Duration
	// Done is the run time made so far, Resumed how much of it an earlier attempt made, Saved what is checkpointed.
	Done, Resumed, Saved time.Duration
	// Throttle is the fraction of its reserved processors that the run may use; zero means no limit.
	Throttle float64
	Ended    bool
	Outcome  model.Outcome
}

// Fleet is all workers, and what was counted on them.
type Fleet struct {
	Workers []*Worker
	// Off holds data centres whose workers are switched off.
	Off map[model.DataCentreID]bool
	// Used is the core-seconds used so far, Useful those of progress; Lost is progress thrown away.
	Used, Useful, Lost float64
	// Killed counts runs that were killed for memory, and Over worker-seconds with too little memory.
	Killed int
	Over   float64
	// Ended is told of each run that ends.
	Ended func(r *Run)
}

// New returns a fleet of idle workers, per data centre.
func New(centres []model.DataCentreID, workers []int) *Fleet {
	f := &Fleet{Off: make(map[model.DataCentreID]bool)}
	for i, dc := range centres {
		for k := range workers[i] {
			f.Workers = append(f.Workers, &Worker{
				ID: model.WorkerID(fmt.Sprintf("%s-w%02d", dc, k)), Centre: dc, Rack: model.RackID(fmt.Sprintf("%s-r%d", dc, k/perRack)),
			})
		}
	}
	return f
}

// Cores returns the cores of workers that are on and not in the given data centre.
func (f *Fleet) Cores(without model.DataCentreID) float64 {
	n := 0
	for _, w := range f.Workers {
		if w.Centre != without && !f.Off[w.Centre] {
			n++
		}
	}
	return float64(n) * float64(Capacity.Cores) / 1000
}

// Start runs an attempt.
func (w *Worker) Start(r *Run, now time.Duration) {
	r.Started, r.Done, r.Saved = now, r.Resumed, r.Resumed
	w.Runs = append(w.Runs, r)
}

// Find returns the run of an attempt, or nil.
func (w *Worker) Find(id model.AttemptID) *Run {
	for _, r := range w.Runs {
		if r.Attempt == id {
			return r
		}
	}
	return nil
}

// Forget drops ended runs.
func (w *Worker) Forget(ids []model.AttemptID) {
	w.Runs = slices.DeleteFunc(w.Runs, func(r *Run) bool { return r.Ended && slices.Contains(ids, r.Attempt) })
}

// End ends a run; progress that is not checkpointed counts as lost unless it succeeded.
func (f *Fleet) End(r *Run, outcome model.Outcome) {
	r.Ended, r.Outcome = true, outcome
	if outcome != model.OutcomeSucceeded {
		f.Lost += (r.Done - r.Saved).Seconds() * float64(r.Need.Peak.Cores) / 1000
	}
	f.Ended(r)
}

// SwitchOff ends everything in a data centre without a report, or switches its workers on again; it returns the runs
// that were lost.
func (f *Fleet) SwitchOff(dc model.DataCentreID, off bool) []*Run {
	f.Off[dc] = off
	var lost []*Run
	for _, w := range f.Workers {
		if w.Centre != dc || !off {
			continue
		}
		for _, r := range w.Runs {
			if !r.Ended {
				f.End(r, model.OutcomeLost)
				lost = append(lost, r)
			}
		}
		w.Runs = nil
	}
	return lost
}

// Step lets time pass on all workers.
func (f *Fleet) Step(step time.Duration) {
	for _, w := range f.Workers {
		f.progress(w, step)
		f.kill(w, step)
	}
}

// want returns the cores that the run tries to use.
func (r *Run) want() float64 {
	cores := float64(r.Need.Peak.Cores)
	if r.Throttle > 0 && r.Throttle < 1 {
		return cores * r.Throttle
	}
	return cores
}

// progress shares the processors of a worker in proportion to what its runs want.
func (f *Fleet) progress(w *Worker, step time.Duration) {
	wanted := 0.0
	for _, r := range w.Runs {
		if !r.Ended {
			wanted += r.want()
		}
	}
	if wanted == 0 {
		return
	}
	part := min(1, float64(Capacity.Cores)/wanted)
	for _, r := range w.Runs {
		if r.Ended {
			continue
		}
		cores := r.want() * part
		made := min(time.Duration(float64(step)*cores/float64(r.Need.Peak.Cores)), r.Need.RunTime-r.Done)
		r.Done += made
		f.Useful += made.Seconds() * float64(r.Need.Peak.Cores) / 1000
		f.Used += step.Seconds() * cores / 1000
		if r.Done >= r.Need.RunTime {
			f.End(r, model.OutcomeSucceeded)
		}
	}
}

// kill ends the run that uses most above its reservation, once memory was short for too long.
func (f *Fleet) kill(w *Worker, step time.Duration) {
	used := model.Mebibytes(0)
	var worst *Run
	for _, r := range w.Runs {
		if r.Ended {
			continue
		}
		used += r.Need.Peak.Memory
		if worst == nil || r.excess() > worst.excess() {
			worst = r
		}
	}
	if used <= Capacity.Memory {
		w.over = 0
		return
	}
	f.Over += step.Seconds()
	if w.over += step; w.over < oomAfter {
		return
	}
	w.over = 0
	f.Killed++
	f.End(worst, model.OutcomeFailed)
}

func (r *Run) excess() model.Mebibytes { return r.Need.Peak.Memory - r.Reservation.Memory }
