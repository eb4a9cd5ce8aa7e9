package state

import (
	"cmp"
	"slices"

	"arbutuswing.example/internal/model"
	"arbutuswing.example/internal/record"
)

// maxEarlierBoots is the number of earlier boots remembered per worker. A delayed record of an earlier boot must be
// rejected: it would end the attempts that run on the present one.
const maxEarlierBoots = 16

// workers holds the workers.
type workers struct {
	rows *table[model.WorkerID, *worker]
}

type worker struct {
	Worker
	// Suspector and SuspectorIncarnation identify the writer of the latest suspicion.
	Suspector            model.InstanceID  `json:"suspector,omitempty"`
	SuspectorIncarnation model.Incarnation `json:"suspector-incarnation,omitempty"`
	// Boots lists earlier boots, the latest last.
	Boots []model.BootID `json:"boots,omitempty"`
	// LostAt is the log time at which the worker was recorded as lost, in nanoseconds since 1970.
	LostAt int64 `json:"lost-at,omitempty"`
}

func newWorkers() *workers {
	return &workers{rows: newTable[model.WorkerID, *worker]()}
}

// clone returns a copy that later operations don't change.
func (w *worker) clone() Worker {
	out := w.Worker
	out.Bound = slices.Clone(w.Bound)
	return out
}

// usable reports whether tasks may be bound to this boot of the worker.
func (w *worker) usable(boot model.BootID) bool {
	return w.Boot == boot && !w.Lost && w.Suspicion == model.NoOffset
}

// free returns the capacity that is not committed.
func (w *worker) free() model.Resources { return w.Capacity.Minus(w.Committed) }

// unbind removes a task from the worker.
func (w *worker) unbind(t *Task) {
	at := slices.Index(w.Bound, t.ID)
	if at < 0 {
		return
	}
	w.Bound = slices.Delete(w.Bound, at, at+1)
	if !t.Behind {
		w.Committed = w.Committed.Minus(t.Reservation)
	}
}

// list returns the workers of a data centre, or of all for an empty name, in name order.
func (w *workers) list(dc model.DataCentreID) []Worker {
	var out []Worker
	w.rows.each(func(_ model.WorkerID, row *worker) {
		if dc == "" || row.DataCentre == dc {
			out = append(out, row.clone())
		}
	})
	slices.SortFunc(out, func(a, b Worker) int { return cmp.Compare(a.ID, b.ID) })
	return out
}

// prune forgets workers that were lost before the time and haven't returned.
func (w *workers) prune(before int64) {
	var gone []model.WorkerID
	w.rows.each(func(id model.WorkerID, row *worker) {
		if row.Lost && row.LostAt < before {
			gone = append(gone, id)
		}
	})
	for _, id := range gone {
		w.rows.remove(id)
	}
}

// applyWorkerSeen adds a worker, or replaces it by a new boot; the attempts of the earlier boot are lost.
func (a *applier) applyWorkerSeen(op record.WorkerSeen) error {
	w, known := a.workers.rows.get(op.Worker)
	if known && (w.Boot == op.Boot || slices.Contains(w.Boots, op.Boot)) {
		return ErrDuplicate
	}
	if op.Worker == "" || op.Boot == "" || op.Capacity.Negative() {
		return ErrInvalid
	}
	fresh := &worker{Worker: Worker{
		ID: op.Worker, Boot: op.Boot, Capacity: op.Capacity, DataCentre: op.DataCentre, Rack: op.Rack,
		Suspicion: model.NoOffset,
	}}
	if known {
		a.endAllAttempts(w)
		fresh.Boots = append(slices.Clone(w.Boots), w.Boot)
		fresh.Boots = fresh.Boots[max(0, len(fresh.Boots)-maxEarlierBoots):]
	}
	a.workers.rows.put(op.Worker, fresh)
	a.markWorkerChanged(op.Worker)
	return nil
}

// applyWorkerSuspected records that the worker doesn't answer. The writer of the envelope may record the worker as lost
// after a wait; a later suspicion replaces this one.
func (a *applier) applyWorkerSuspected(op record.WorkerSuspected) error {
	w, err := a.workerWithBoot(op.Worker, op.Boot)
	if err != nil {
		return err
	}
	if w.Lost {
		return ErrWorkerUnusable
	}
	defer a.workers.rows.lock(op.Worker).Unlock()
	w.Suspicion = a.offset
	w.Suspector, w.SuspectorIncarnation = a.env.Writer, a.env.Incarnation
	a.markWorkerChanged(op.Worker)
	return nil
}

// applyWorkerCleared withdraws a suspicion, or brings back a lost worker that answers again under the same boot. The
// attempts of a lost worker have ended and stay ended.
func (a *applier) applyWorkerCleared(op record.WorkerCleared) error {
	w, err := a.workerWithBoot(op.Worker, op.Boot)
	if err != nil {
		return err
	}
	if !w.Lost && w.Suspicion == model.NoOffset {
		return ErrDuplicate
	}
	defer a.workers.rows.lock(op.Worker).Unlock()
	w.clearSuspicion()
	a.markWorkerChanged(op.Worker)
	return nil
}

func (w *worker) clearSuspicion() {
	w.Suspicion, w.Lost, w.LostAt = model.NoOffset, false, 0
	w.Suspector, w.SuspectorIncarnation = "", 0
}

// applyWorkerLost ends all attempts on the worker. Only the writer of the latest suspicion knows whether the wait is
// over, so the operation is rejected from any other.
func (a *applier) applyWorkerLost(op record.WorkerLost) error {
	w, err := a.workerWithBoot(op.Worker, op.Boot)
	if err != nil {
		return err
	}
	if w.Lost || w.Suspicion == model.NoOffset || w.Suspicion != op.Suspicion ||
		w.Suspector != a.env.Writer || w.SuspectorIncarnation != a.env.Incarnation {
		return ErrNotCurrent
	}
	a.endAllAttempts(w)
	defer a.workers.rows.lock(op.Worker).Unlock()
	w.Lost, w.LostAt = true, a.clock
	a.markWorkerChanged(op.Worker)
	return nil
}

// workerWithBoot returns the worker if boot is its current one.
func (a *applier) workerWithBoot(id model.WorkerID, boot model.BootID) (*worker, error) {
	w, known := a.workers.rows.get(id)
	if !known {
		return nil, ErrNotFound
	}
	if w.Boot != boot {
		return nil, ErrWorkerUnusable
	}
	return w, nil
}

// endAllAttempts ends every attempt bound to the worker as lost, in the order in which they were bound.
func (a *applier) endAllAttempts(w *worker) {
	for _, id := range slices.Clone(w.Bound) {
		j, ok := a.jobs.rows.get(id.Job)
		if !ok {
			continue
		}
		a.endAttempt(j, id.Index, attemptEnd{outcome: model.OutcomeLost})
	}
}

// promote reserves freed capacity for the worker's backlog, in the order in which attempts were bound. It stops at the
// first attempt that doesn't fit, so that smaller ones can't starve a large one.
func (a *applier) promote(w *worker) {
	for _, id := range w.Bound {
		j, _ := a.jobs.rows.get(id.Job)
		t := &j.Tasks[id.Index]
		if !t.Behind {
			continue
		}
		if !t.Reservation.Fits(w.free()) {
			return
		}
		a.promoteTask(w, j, t)
	}
}

func (a *applier) promoteTask(w *worker, j *job, t *Task) {
	a.alterWorker(w, func() { w.Committed = w.Committed.Plus(t.Reservation) })
	a.alterJob(j, func() { t.Behind = false })
	a.emit(TaskPromoted{Task: *t})
}

// alterWorker runs change under the lock of the worker's shard.
func (a *applier) alterWorker(w *worker, change func()) {
	defer a.workers.rows.lock(w.ID).Unlock()
	change()
	a.markWorkerChanged(w.ID)
}
