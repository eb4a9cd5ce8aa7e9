package state

import (
	"cmp"
	"slices"

	"arbutuswing.example/internal/model"
	"arbutuswing.example/internal/record"
)

// keptBoots is the number of earlier boots remembered per worker. A late record of an earlier boot must stay void,
// since it would end the attempts that run on the present one.
const keptBoots = 16

// workers is the aggregate of the workers.
type workers struct {
	rows *table[model.WorkerID, *worker]
}

type worker struct {
	Worker
	// Suspector and SuspectorIncarnation wrote the latest suspicion.
	Suspector            model.InstanceID  `json:"suspector,omitempty"`
	SuspectorIncarnation model.Incarnation `json:"suspector-incarnation,omitempty"`
	// Boots lists earlier boots, the latest last.
	Boots []model.BootID `json:"boots,omitempty"`
	// LostAt is the record time at which the worker was lost.
	LostAt int64 `json:"lost-at,omitempty"`
}

func newWorkers() *workers {
	return &workers{rows: newTable[model.WorkerID, *worker]()}
}

// copied returns a copy that later operations don't alter.
func (w *worker) copied() Worker {
	out := w.Worker
	out.Bound = slices.Clone(w.Bound)
	return out
}

// usable reports whether tasks may be bound to this boot of the worker.
func (w *worker) usable(boot model.BootID) bool {
	return w.Boot == boot && !w.Lost && w.Suspicion == model.NoOffset
}

// free returns the capacity that is not reserved.
func (w *worker) free() model.Resources { return w.Capacity.Minus(w.Committed) }

// unbind takes a task off the worker.
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

// list returns the workers of a data centre, or all, in name order.
func (w *workers) list(dc model.DataCentreID) []Worker {
	var out []Worker
	w.rows.each(func(_ model.WorkerID, row *worker) {
		if dc == "" || row.DataCentre == dc {
			out = append(out, row.copied())
		}
	})
	slices.SortFunc(out, func(a, b Worker) int { return cmp.Compare(a.ID, b.ID) })
	return out
}

// prune forgets workers that were lost before the time and did not come back.
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

// workerSeen adds a worker or its new boot; a new boot has nothing of what the earlier one ran.
func (f *fold) workerSeen(op record.WorkerSeen) error {
	w, known := f.workers.rows.get(op.Worker)
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
		f.endAll(w)
		fresh.Boots = append(slices.Clone(w.Boots), w.Boot)
		fresh.Boots = fresh.Boots[max(0, len(fresh.Boots)-keptBoots):]
	}
	f.workers.rows.put(op.Worker, fresh)
	f.touchWorker(op.Worker)
	return nil
}

// workerSuspected starts the wait after which the worker may be declared lost; a later suspicion replaces it.
func (f *fold) workerSuspected(op record.WorkerSuspected) error {
	w, err := f.bootOf(op.Worker, op.Boot)
	if err != nil {
		return err
	}
	if w.Lost {
		return ErrWorkerUnusable
	}
	defer f.workers.rows.lock(op.Worker).Unlock()
	w.Suspicion = f.offset
	w.Suspector, w.SuspectorIncarnation = f.env.Writer, f.env.Incarnation
	f.touchWorker(op.Worker)
	return nil
}

// workerCleared takes a suspicion back, or brings back a lost worker that was reached again under the same boot. The
// attempts of a lost worker have ended and stay ended.
func (f *fold) workerCleared(op record.WorkerCleared) error {
	w, err := f.bootOf(op.Worker, op.Boot)
	if err != nil {
		return err
	}
	if !w.Lost && w.Suspicion == model.NoOffset {
		return ErrDuplicate
	}
	defer f.workers.rows.lock(op.Worker).Unlock()
	w.clear()
	f.touchWorker(op.Worker)
	return nil
}

func (w *worker) clear() {
	w.Suspicion, w.Lost, w.LostAt = model.NoOffset, false, 0
	w.Suspector, w.SuspectorIncarnation = "", 0
}

// workerLost ends all attempts on the worker. Only the writer of the latest suspicion can know that the wait is over.
func (f *fold) workerLost(op record.WorkerLost) error {
	w, err := f.bootOf(op.Worker, op.Boot)
	if err != nil {
		return err
	}
	if w.Lost || w.Suspicion == model.NoOffset || w.Suspicion != op.Suspicion ||
		w.Suspector != f.env.Writer || w.SuspectorIncarnation != f.env.Incarnation {
		return ErrNotCurrent
	}
	f.endAll(w)
	defer f.workers.rows.lock(op.Worker).Unlock()
	w.Lost, w.LostAt = true, f.clock
	f.touchWorker(op.Worker)
	return nil
}

func (f *fold) bootOf(id model.WorkerID, boot model.BootID) (*worker, error) {
	w, known := f.workers.rows.get(id)
	if !known {
		return nil, ErrNotFound
	}
	if w.Boot != boot {
		return nil, ErrWorkerUnusable
	}
	return w, nil
}

// endAll ends every attempt bound to the worker with the outcome lost, in bound order.
func (f *fold) endAll(w *worker) {
	for _, id := range slices.Clone(w.Bound) {
		j, ok := f.jobs.rows.get(id.Job)
		if !ok {
			continue
		}
		f.endAttempt(j, id.Index, ending{outcome: model.OutcomeLost})
	}
}

// promote gives capacity to the attempts bound behind the running ones, in bound order. It stops at the first that
// doesn't fit, so that a large one is not overtaken for ever.
func (f *fold) promote(w *worker) {
	for _, id := range w.Bound {
		j, _ := f.jobs.rows.get(id.Job)
		t := &j.Tasks[id.Index]
		if !t.Behind {
			continue
		}
		if !t.Reservation.Fits(w.free()) {
			return
		}
		f.promoteTask(w, j, t)
	}
}

func (f *fold) promoteTask(w *worker, j *job, t *Task) {
	f.alterWorker(w, func() { w.Committed = w.Committed.Plus(t.Reservation) })
	f.alterJob(j, func() { t.Behind = false })
	f.emit(TaskPromoted{Task: *t})
}

// alterWorker runs change under the lock of the worker's shard.
func (f *fold) alterWorker(w *worker, change func()) {
	defer f.workers.rows.lock(w.ID).Unlock()
	change()
	f.touchWorker(w.ID)
}
