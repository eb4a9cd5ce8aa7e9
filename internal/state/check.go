package state

import (
	"fmt"
	"slices"

	"arbutuswing.example/internal/invar"
	"arbutuswing.example/internal/model"
)

// maxRecountTasks is the largest job that is recounted after each envelope that changes it; larger jobs are recounted
// by CheckInvariants only.
const maxRecountTasks = 256

// maxPairwise is the length up to which comparing every pair is faster than filling a map.
const maxPairwise = 16

// checkChanged checks the invariants of the teams, workers and jobs that the envelope changed.
func (a *applier) checkChanged() {
	a.checkLimits()
	for id := range a.changedWorkers {
		if w, ok := a.workers.rows.get(id); ok {
			a.checkWorker(a.cfg.Invariants, w)
		}
	}
	for id := range a.changedJobs {
		if j, ok := a.jobs.rows.get(id); ok {
			a.checkJob(a.cfg.Invariants, j, len(j.Tasks) <= maxRecountTasks)
		}
	}
}

// checkWorker recounts the tasks bound to the worker.
func (d *stateData) checkWorker(c *invar.Checker, w *worker) {
	fault := d.placementFault(w)
	c.Check(invar.SingleRun, fault == "", "%s", fault)
	fault = d.capacityFault(w)
	c.Check(invar.Capacity, fault == "", "%s", fault)
}

// placementFault describes a task that the worker lists twice, or that is recorded elsewhere; it returns an empty
// string if there is none.
func (d *stateData) placementFault(w *worker) string {
	if hasDuplicate(w.Bound) {
		return fmt.Sprintf("a task is bound twice to worker %s: %v", w.ID, w.Bound)
	}
	for _, id := range w.Bound {
		t := d.task(id)
		if t == nil {
			return fmt.Sprintf("worker %s has the unknown task %s", w.ID, id)
		}
		if t.Phase != PhaseBound || t.Worker != w.ID || t.Boot != w.Boot || w.Lost {
			return fmt.Sprintf("worker %s boot %s, lost %t, lists task %s, which is %s on %s boot %s",
				w.ID, w.Boot, w.Lost, id, t.Phase, t.Worker, t.Boot)
		}
	}
	return ""
}

// hasDuplicate reports whether a task is listed twice.
func hasDuplicate(ids []model.TaskID) bool {
	if len(ids) <= maxPairwise {
		for i, id := range ids {
			if slices.Contains(ids[:i], id) {
				return true
			}
		}
		return false
	}
	seen := make(map[model.TaskID]bool, len(ids))
	for _, id := range ids {
		if seen[id] {
			return true
		}
		seen[id] = true
	}
	return false
}

func (d *stateData) task(id model.TaskID) *Task {
	j, ok := d.jobs.rows.get(id.Job)
	if !ok || id.Index < 0 || id.Index >= len(j.Tasks) {
		return nil
	}
	return &j.Tasks[id.Index]
}

// capacityFault describes reservations that exceed the worker's capacity or whose sum is wrong, or returns an empty
// string.
func (d *stateData) capacityFault(w *worker) string {
	var sum model.Resources
	for _, id := range w.Bound {
		if t := d.task(id); t != nil && !t.Behind {
			sum = sum.Plus(t.Reservation)
		}
	}
	if sum == w.Committed && sum.Fits(w.Capacity) && !sum.Negative() {
		return ""
	}
	return fmt.Sprintf("worker %s of capacity %+v has %+v committed and %+v bound", w.ID, w.Capacity, w.Committed, sum)
}

// checkJob checks that every task of the job is in exactly one phase, and bound tasks on exactly one worker. Without
// recount it compares only the job's counters.
func (d *stateData) checkJob(c *invar.Checker, j *job, recount bool) {
	fault := j.fault(recount)
	c.Check(invar.NoLoss, fault == "", "%s", fault)
	if !recount {
		return
	}
	fault = ""
	for i := range j.Tasks {
		if fault == "" {
			fault = d.taskFault(&j.Tasks[i])
		}
	}
	c.Check(invar.SingleRun, fault == "", "%s", fault)
}

// fault describes tasks that are missing from the job's counters or counted twice, or returns an empty string.
func (j *job) fault(recount bool) string {
	counted := j.queued + j.bound + j.pulled + j.Done
	if len(j.Tasks) != j.Spec.Tasks || counted != len(j.Tasks) || j.Finished() != (j.Done == len(j.Tasks)) {
		return fmt.Sprintf("job %s of %d tasks has %d queued, %d bound, %d pulled, %d done and outcome %q",
			j.Spec.ID, j.Spec.Tasks, j.queued, j.bound, j.pulled, j.Done, j.Outcome)
	}
	if !recount {
		return ""
	}
	var count job
	for i := range j.Tasks {
		t := &j.Tasks[i]
		count.addToPhase(t.Phase, 1)
		if t.Phase != PhaseDone && t.Outcome != "" {
			return fmt.Sprintf("task %s is %s with outcome %s", t.ID, t.Phase, t.Outcome)
		}
	}
	if count.queued != j.queued || count.bound != j.bound || count.pulled != j.pulled || count.Done != j.Done {
		return fmt.Sprintf("job %s counts its tasks wrongly", j.Spec.ID)
	}
	return ""
}

// taskFault describes a bound task that its worker doesn't list, or a task that names a worker without being bound;
// otherwise it returns an empty string.
func (d *stateData) taskFault(t *Task) string {
	if t.Phase != PhaseBound {
		if t.Worker != "" {
			return fmt.Sprintf("task %s is %s but on worker %s", t.ID, t.Phase, t.Worker)
		}
		return ""
	}
	w, ok := d.workers.rows.get(t.Worker)
	if !ok || w.Boot != t.Boot || w.Lost || !slices.Contains(w.Bound, t.ID) {
		return fmt.Sprintf("task %s is bound to worker %s boot %s, which doesn't list it", t.ID, t.Worker, t.Boot)
	}
	return ""
}

// CheckInvariants checks the invariants of the whole state.
func (m *Machine) CheckInvariants() {
	m.applyMu.Lock()
	defer m.applyMu.Unlock()
	m.current.Load().checkAll(m.cfg.Invariants)
}

func (d *stateData) checkAll(c *invar.Checker) {
	usage := make(map[model.TeamID]Usage)
	queued := 0
	for _, j := range d.jobs.ordered() {
		d.checkJob(c, j, true)
		for i := range j.Tasks {
			if phase := j.Tasks[i].Phase; phase == PhaseBound || phase == PhasePulled {
				usage[j.Spec.Team] = usage[j.Spec.Team].with(j.Tasks[i].Reservation)
			}
		}
		if j.queued > 0 {
			queued++
		}
	}
	kept := d.usages.list()
	c.Check(invar.UpperLimit, len(usage) == len(kept), "%d teams have usage, %d are counted", len(usage), len(kept))
	for team, want := range usage {
		c.Check(invar.UpperLimit, kept[team] == want, "team %s has %+v bound, %+v counted", team, want, kept[team])
	}
	indexed := 0
	d.jobs.queues.rows.each(func(_ queueKey, row []queuedJob) { indexed += len(row) })
	c.Check(invar.NoLoss, indexed == queued, "%d jobs have queued tasks, %d are indexed", queued, indexed)
	d.workers.rows.each(func(_ model.WorkerID, w *worker) { d.checkWorker(c, w) })
	c.Check(invar.ConfigForward, d.decls.offset <= model.Offset(d.offset.Load()),
		"declarations of offset %d at offset %d", d.decls.offset, d.offset.Load())
}
