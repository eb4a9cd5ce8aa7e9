package state

import (
	"arbutuswing.example/internal/invar"
	"arbutuswing.example/internal/model"
)

// fullCheckTasks bounds the recount of a touched job; larger jobs are recounted by CheckAll only.
const fullCheckTasks = 256

// checkTouched checks the invariants on what the envelope touched.
func (f *fold) checkTouched() {
	f.checkLimits()
	for id := range f.touchedWorkers {
		if w, ok := f.workers.rows.get(id); ok {
			f.checkWorker(f.cfg.Invariants, w)
		}
	}
	for id := range f.touchedJobs {
		if j, ok := f.jobs.rows.get(id); ok {
			f.checkJob(f.cfg.Invariants, j, len(j.Tasks) <= fullCheckTasks)
		}
	}
}

// checkWorker recounts what is bound to the worker.
func (d *data) checkWorker(c *invar.Checker, w *worker) {
	var sum model.Resources
	seen := make(map[model.TaskID]bool, len(w.Bound))
	for _, id := range w.Bound {
		c.Check(invar.SingleRun, !seen[id], "task %s is bound twice to worker %s", id, w.ID)
		seen[id] = true
		j, ok := d.jobs.rows.get(id.Job)
		if !ok || id.Index >= len(j.Tasks) {
			c.Check(invar.NoLoss, false, "worker %s has the unknown task %s", w.ID, id)
			continue
		}
		t := &j.Tasks[id.Index]
		c.Check(invar.SingleRun, t.Phase == PhaseBound && t.Worker == w.ID && t.Boot == w.Boot && !w.Lost,
			"worker %s boot %s lists task %s, which is %s on %s boot %s", w.ID, w.Boot, id, t.Phase, t.Worker, t.Boot)
		if !t.Behind {
			sum = sum.Plus(t.Reservation)
		}
	}
	c.Check(invar.Capacity, sum == w.Committed && sum.Fits(w.Capacity) && !sum.Negative(),
		"worker %s of capacity %+v has %+v committed and %+v bound", w.ID, w.Capacity, w.Committed, sum)
}

// checkJob checks that every task of the job is in exactly one phase; recount counts them anew.
func (d *data) checkJob(c *invar.Checker, j *job, recount bool) {
	c.Check(invar.NoLoss, len(j.Tasks) == j.Spec.Tasks && j.queued+j.bound+j.pulled+j.Done == len(j.Tasks),
		"job %s of %d tasks has %d queued, %d bound, %d pulled, %d done",
		j.Spec.ID, j.Spec.Tasks, j.queued, j.bound, j.pulled, j.Done)
	c.Check(invar.NoLoss, j.Finished() == (j.Done == len(j.Tasks)),
		"job %s has %d of %d tasks done and outcome %q", j.Spec.ID, j.Done, len(j.Tasks), j.Outcome)
	if !recount {
		return
	}
	var count job
	for i := range j.Tasks {
		t := &j.Tasks[i]
		count.count(t.Phase, 1)
		c.Check(invar.NoLoss, t.Phase == PhaseDone || t.Outcome == "",
			"task %s is %s with outcome %s", t.ID, t.Phase, t.Outcome)
		d.checkPlace(c, t)
	}
	c.Check(invar.NoLoss, count.queued == j.queued && count.bound == j.bound && count.pulled == j.pulled &&
		count.Done == j.Done, "job %s counts its tasks wrongly", j.Spec.ID)
}

// checkPlace checks that the task is on its worker's list once if it is bound, and names no worker otherwise.
func (d *data) checkPlace(c *invar.Checker, t *Task) {
	if t.Phase != PhaseBound {
		c.Check(invar.SingleRun, t.Worker == "", "task %s is %s but on worker %s", t.ID, t.Phase, t.Worker)
		return
	}
	times := 0
	if w, ok := d.workers.rows.get(t.Worker); ok && w.Boot == t.Boot && !w.Lost {
		for _, id := range w.Bound {
			if id == t.ID {
				times++
			}
		}
	}
	c.Check(invar.SingleRun, times == 1, "task %s is %d times on worker %s", t.ID, times, t.Worker)
}

// CheckAll checks the invariants on the whole state.
func (m *Machine) CheckAll() {
	m.folding.Lock()
	defer m.folding.Unlock()
	m.current.Load().checkAll(m.cfg.Invariants)
}

func (d *data) checkAll(c *invar.Checker) {
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
