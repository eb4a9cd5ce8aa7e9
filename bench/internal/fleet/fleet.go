package fleet

import (
	"fmt"
	"slices"
	"time"

	"arbutuswing.example/bench/internal/mixes"
	"arbutuswing.example/internal/model"
)

const workersPerRack = 8

// oomDelay is how long the tasks of a worker may use more memory than it has before one of them is killed. It is longer
// than the delay of usage reports, so that a scheduler can react first.
const oomDelay = 4 * time.Second

// Capacity is the capacity of each worker.
var Capacity = model.Resources{Cores: 64_000, Memory: 256 << 10}

// Worker is a worker with its runs.
type Worker struct {
	ID         model.WorkerID
	DataCentre model.DataCentreID
	Rack       model.RackID
	// Runs holds the runs in the order of their starts, including ended ones that have not been removed.
	Runs          []*Run
	overMemoryFor time.Duration
}

// Run is an attempt of a task on a worker.
type Run struct {
	Attempt     model.AttemptID
	Team        model.TeamID
	Class       model.ClassID
	Actual      mixes.ActualUsage
	Reservation model.Resources
	Started     time.Duration
	// Progress is the run time completed so far, including ResumedFrom, which an earlier attempt completed.
	// Checkpointed is the part of it that a restart would keep.
	Progress, ResumedFrom, Checkpointed time.Duration
	// Throttle is the fraction of its actual processor usage that the run is limited to; zero means no limit.
	Throttle float64
	Ended    bool
	Outcome  model.Outcome
}

// Fleet is the set of all workers, with counters of what happened on them.
type Fleet struct {
	Workers []*Worker
	// PoweredOff holds the data centres whose workers are powered off.
	PoweredOff map[model.DataCentreID]bool
	// UsedCoreSeconds is the processor time used so far, UsefulCoreSeconds the part of it that made progress, and
	// LostCoreSeconds the progress discarded at the end of runs.
	UsedCoreSeconds, UsefulCoreSeconds, LostCoreSeconds float64
	// OOMKills counts runs killed for lack of memory; OverMemorySeconds sums the time that workers used more memory
	// than they have.
	OOMKills          int
	OverMemorySeconds float64
	// OnRunEnd is called for each run that ends.
	OnRunEnd func(r *Run)
}

// New returns a fleet of idle workers; workers holds their number in each data centre.
func New(centres []model.DataCentreID, workers []int) *Fleet {
	f := &Fleet{PoweredOff: make(map[model.DataCentreID]bool)}
	for i, dc := range centres {
		for k := range workers[i] {
			f.Workers = append(f.Workers, &Worker{
				ID: model.WorkerID(fmt.Sprintf("%s-w%02d", dc, k)), DataCentre: dc,
				Rack: model.RackID(fmt.Sprintf("%s-r%d", dc, k/workersPerRack)),
			})
		}
	}
	return f
}

// Cores returns the number of cores of workers that are powered on and not in the excluded data centre.
func (f *Fleet) Cores(excluded model.DataCentreID) float64 {
	n := 0
	for _, w := range f.Workers {
		if w.DataCentre != excluded && !f.PoweredOff[w.DataCentre] {
			n++
		}
	}
	return float64(n) * float64(Capacity.Cores) / 1000
}

// Start starts a run on the worker.
func (w *Worker) Start(r *Run, now time.Duration) {
	r.Started, r.Progress, r.Checkpointed = now, r.ResumedFrom, r.ResumedFrom
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

// RemoveEnded removes the ended runs among the given attempts.
func (w *Worker) RemoveEnded(ids []model.AttemptID) {
	w.Runs = slices.DeleteFunc(w.Runs, func(r *Run) bool { return r.Ended && slices.Contains(ids, r.Attempt) })
}

// End ends a run; unless it succeeded, progress since its last checkpoint counts as lost.
func (f *Fleet) End(r *Run, outcome model.Outcome) {
	r.Ended, r.Outcome = true, outcome
	if outcome != model.OutcomeSucceeded {
		f.LostCoreSeconds += (r.Progress - r.Checkpointed).Seconds() * float64(r.Actual.Peak.Cores) / 1000
	}
	f.OnRunEnd(r)
}

// SetPoweredOff powers the workers of a data centre off or on. Powering off ends all of their runs without a report;
// the ended runs are returned.
func (f *Fleet) SetPoweredOff(dc model.DataCentreID, off bool) []*Run {
	f.PoweredOff[dc] = off
	var lost []*Run
	for _, w := range f.Workers {
		if w.DataCentre != dc || !off {
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

// Step advances the simulation of all workers by step.
func (f *Fleet) Step(step time.Duration) {
	for _, w := range f.Workers {
		f.advance(w, step)
		f.killOverMemory(w, step)
	}
}

// wantedCores returns the millicores that the run would use if the worker had enough.
func (r *Run) wantedCores() float64 {
	cores := float64(r.Actual.Peak.Cores)
	if r.Throttle > 0 && r.Throttle < 1 {
		return cores * r.Throttle
	}
	return cores
}

// advance divides the worker's processors among its runs in proportion to the millicores that they want.
func (f *Fleet) advance(w *Worker, step time.Duration) {
	totalWanted := 0.0
	for _, r := range w.Runs {
		if !r.Ended {
			totalWanted += r.wantedCores()
		}
	}
	if totalWanted == 0 {
		return
	}
	fraction := min(1, float64(Capacity.Cores)/totalWanted)
	for _, r := range w.Runs {
		if r.Ended {
			continue
		}
		cores := r.wantedCores() * fraction
		gained := min(time.Duration(float64(step)*cores/float64(r.Actual.Peak.Cores)), r.Actual.RunTime-r.Progress)
		r.Progress += gained
		f.UsefulCoreSeconds += gained.Seconds() * float64(r.Actual.Peak.Cores) / 1000
		f.UsedCoreSeconds += step.Seconds() * cores / 1000
		if r.Progress >= r.Actual.RunTime {
			f.End(r, model.OutcomeSucceeded)
		}
	}
}

// killOverMemory ends the run that exceeds its reserved memory most, once the worker has been over its memory for
// oomDelay.
func (f *Fleet) killOverMemory(w *Worker, step time.Duration) {
	used := model.Mebibytes(0)
	var victim *Run
	for _, r := range w.Runs {
		if r.Ended {
			continue
		}
		used += r.Actual.Peak.Memory
		if victim == nil || r.memoryExcess() > victim.memoryExcess() {
			victim = r
		}
	}
	if used <= Capacity.Memory {
		w.overMemoryFor = 0
		return
	}
	f.OverMemorySeconds += step.Seconds()
	if w.overMemoryFor += step; w.overMemoryFor < oomDelay {
		return
	}
	w.overMemoryFor = 0
	f.OOMKills++
	f.End(victim, model.OutcomeFailed)
}

func (r *Run) memoryExcess() model.Mebibytes { return r.Actual.Peak.Memory - r.Reservation.Memory }
