package sched

import (
	"context"
	"errors"
	"slices"
	"strconv"

	"github.com/jonboulle/clockwork"

	"arbutuswing.example/internal/decl"
	"arbutuswing.example/internal/model"
	"arbutuswing.example/internal/record"
	"arbutuswing.example/internal/state"
)

var errLogOut = errors.New("log is out")

// foldFake is a small fold with the rules of docs/design.md that concern placement. Events go to every placer's feed,
// which the test drains when it wants to, so that views lag.
type foldFake struct {
	clock   clockwork.Clock
	out     bool
	offset  model.Offset
	set     decl.Set
	specs   map[model.JobID]model.JobSpec
	tasks   map[model.TaskID]*state.Task
	workers map[model.WorkerID]*state.Worker
	feeds   []chan Update
	events  []state.Event
	taken   int
	voids   int
	ended   map[model.TaskID]int
	refused []model.JobID
}

func newFoldFake(clock clockwork.Clock) *foldFake {
	return &foldFake{
		clock: clock, specs: make(map[model.JobID]model.JobSpec), tasks: make(map[model.TaskID]*state.Task),
		workers: make(map[model.WorkerID]*state.Worker), ended: make(map[model.TaskID]int),
	}
}

func (f *foldFake) feed() <-chan Update {
	feed := make(chan Update, 100_000)
	f.feeds = append(f.feeds, feed)
	return feed
}

func (f *foldFake) emit(e ...state.Event) { f.events = append(f.events, e...) }

func (f *foldFake) publish() {
	for _, feed := range f.feeds {
		feed <- Update{Events: f.events}
	}
	f.events = nil
}

// Submit implements Submitter; every call is one envelope.
func (f *foldFake) Submit(_ context.Context, ops ...record.Op) ([]error, error) {
	if f.out {
		return nil, errLogOut
	}
	f.offset++
	results := make([]error, len(ops))
	for i, op := range ops {
		if results[i] = f.apply(op, ops); results[i] != nil {
			f.voids++
		}
	}
	f.publish()
	return results, nil
}

// Refuse implements Refuser.
func (f *foldFake) Refuse(_ context.Context, job model.JobID, _ string) error {
	f.refused = append(f.refused, job)
	return nil
}

func (f *foldFake) declare(set decl.Set) {
	f.offset++
	f.set = set
	f.emit(state.DeclarationsChanged{Offset: f.offset, Set: set})
	f.publish()
}

func (f *foldFake) accept(spec model.JobSpec) {
	f.offset++
	f.specs[spec.ID] = spec
	for i := range spec.Tasks {
		t := &state.Task{ID: model.TaskID{Job: spec.ID, Index: i}, Phase: state.PhaseQueued, QueuedAt: f.clock.Now().UnixNano()}
		f.tasks[t.ID] = t
		f.emit(state.TaskQueued{Task: *t, Spec: spec})
	}
	f.publish()
}

func (f *foldFake) cancel(job model.JobID) {
	for i := range f.specs[job].Tasks {
		t := f.tasks[model.TaskID{Job: job, Index: i}]
		switch t.Phase {
		case state.PhaseQueued:
			t.Phase = state.PhaseDone
			f.emit(state.TaskDone{Task: *t})
		case state.PhaseBound:
			t.Stopping = true
			f.emit(state.TaskStopping{Task: *t})
		}
	}
	f.publish()
}

func (f *foldFake) apply(op record.Op, all []record.Op) error {
	switch op := op.(type) {
	case record.Taken:
		return f.take(op, all)
	case record.Ended:
		return f.end(op.Attempt, op.Worker, op.Outcome, op.Usage, op.Checkpoint)
	case record.WorkerSeen:
		return f.seen(op)
	case record.WorkerSuspected:
		return f.suspicion(op.Worker, op.Boot, f.offset)
	case record.WorkerCleared:
		return f.suspicion(op.Worker, op.Boot, model.NoOffset)
	case record.WorkerLost:
		return f.lost(op)
	}
	return state.ErrUnknown
}

func (f *foldFake) service(dc model.DataCentreID) decl.Service {
	for _, d := range f.set.DataCentres {
		if d.Name == dc {
			return d.Service
		}
	}
	return decl.OutOfService
}

func (f *foldFake) usage(team model.TeamID) (model.Resources, int) {
	sum, n := model.Resources{}, 0
	for id, t := range f.tasks {
		if t.Phase == state.PhaseBound && f.specs[id.Job].Team == team {
			sum, n = sum.Plus(t.Reservation), n+1
		}
	}
	return sum, n
}

func (f *foldFake) overLimit(team model.TeamID, size model.Resources) bool {
	for _, t := range f.set.Teams {
		if t.Name != team {
			continue
		}
		sum, n := f.usage(team)
		sum = sum.Plus(size)
		l := t.Limit
		return l.Tasks > 0 && n+1 > l.Tasks || l.Resources.Cores > 0 && sum.Cores > l.Resources.Cores
	}
	return false
}

func (f *foldFake) take(op record.Taken, all []record.Op) error {
	t, w := f.tasks[op.Attempt.Task], f.workers[op.Worker]
	switch {
	case t == nil || w == nil:
		return state.ErrUnknown
	case t.Phase != state.PhaseQueued || op.Attempt.Number != t.Attempt+1:
		return state.ErrNotQueued
	case w.Boot != op.Boot || w.Lost || w.Suspicion != model.NoOffset:
		return state.ErrWorkerUnusable
	case f.service(w.DataCentre) != decl.InService:
		return state.ErrOutOfService
	case !op.Behind && !w.Committed.Plus(op.Reservation).Fits(w.Capacity):
		return state.ErrNoRoom
	case f.overLimit(f.specs[t.ID.Job].Team, op.Reservation):
		return state.ErrOverLimit
	}
	if op.Gang > 0 {
		members := 0
		for _, o := range all {
			if other, ok := o.(record.Taken); ok && other.Attempt.Task.Job == op.Attempt.Task.Job {
				members++
			}
		}
		if members != op.Gang {
			return state.ErrGangIncomplete
		}
	}
	t.Phase, t.Attempt = state.PhaseBound, op.Attempt.Number
	t.Worker, t.Boot, t.Reservation, t.Behind = op.Worker, op.Boot, op.Reservation, op.Behind
	if !op.Behind {
		w.Committed = w.Committed.Plus(op.Reservation)
	}
	w.Bound = append(w.Bound, t.ID)
	f.taken++
	f.emit(state.TaskBound{Task: *t, Spec: f.specs[t.ID.Job]})
	return nil
}

func (f *foldFake) end(id model.AttemptID, worker model.WorkerID, outcome model.Outcome, usage model.Usage, checkpoint model.Duration) error {
	t := f.tasks[id.Task]
	if t == nil || t.Phase != state.PhaseBound || t.Attempt != id.Number || t.Worker != worker {
		return state.ErrNotCurrent
	}
	spec, w := f.specs[id.Task.Job], f.workers[worker]
	if !t.Behind {
		w.Committed = w.Committed.Minus(t.Reservation)
	}
	w.Bound = slices.DeleteFunc(w.Bound, func(o model.TaskID) bool { return o == id.Task })
	t.Checkpoint = max(t.Checkpoint, checkpoint)
	stopping := t.Stopping
	t.Worker, t.Boot, t.Reservation, t.Behind, t.Stopping = "", "", model.Resources{}, false, false
	f.emit(state.AttemptEnded{Task: *t, Attempt: id, Worker: worker, Outcome: outcome, Usage: usage, Spec: spec})
	if outcome == model.OutcomeFailed {
		t.Failures++
	}
	if outcome == model.OutcomeSucceeded || stopping || outcome == model.OutcomeStopped || t.Failures > 3 ||
		(outcome == model.OutcomeLost && !spec.Rerun) {
		t.Phase = state.PhaseDone
		f.ended[id.Task]++
		f.emit(state.TaskDone{Task: *t})
	} else {
		t.Phase, t.QueuedAt = state.PhaseQueued, f.clock.Now().UnixNano()
		f.emit(state.TaskQueued{Task: *t, Spec: spec})
	}
	f.promote(w)
	return nil
}

func (f *foldFake) promote(w *state.Worker) {
	for _, id := range w.Bound {
		t := f.tasks[id]
		if !t.Behind {
			continue
		}
		if !w.Committed.Plus(t.Reservation).Fits(w.Capacity) {
			return
		}
		t.Behind = false
		w.Committed = w.Committed.Plus(t.Reservation)
		f.emit(state.TaskPromoted{Task: *t})
	}
}

func (f *foldFake) endAll(w *state.Worker) {
	for _, id := range slices.Clone(w.Bound) {
		_ = f.end(f.tasks[id].CurrentAttempt(), w.ID, model.OutcomeLost, model.Usage{}, 0)
	}
}

func (f *foldFake) seen(op record.WorkerSeen) error {
	w := f.workers[op.Worker]
	if w != nil && w.Boot == op.Boot {
		return state.ErrDuplicate
	}
	if w != nil {
		f.endAll(w)
	}
	f.workers[op.Worker] = &state.Worker{
		ID: op.Worker, Boot: op.Boot, Capacity: op.Capacity, DataCentre: op.DataCentre, Rack: op.Rack,
		Suspicion: model.NoOffset,
	}
	f.emit(state.WorkerChanged{Worker: *f.workers[op.Worker]})
	return nil
}

func (f *foldFake) suspicion(id model.WorkerID, boot model.BootID, at model.Offset) error {
	w := f.workers[id]
	if w == nil || w.Boot != boot {
		return state.ErrUnknown
	}
	w.Suspicion = at
	if at == model.NoOffset {
		w.Lost = false
	}
	f.emit(state.WorkerChanged{Worker: *w})
	return nil
}

func (f *foldFake) lost(op record.WorkerLost) error {
	w := f.workers[op.Worker]
	if w == nil || w.Boot != op.Boot || w.Suspicion != op.Suspicion || w.Lost {
		return state.ErrUnknown
	}
	w.Lost = true
	f.endAll(w)
	f.emit(state.WorkerChanged{Worker: *w})
	return nil
}

// done counts the tasks that ended for good.
func (f *foldFake) done() int {
	n := 0
	for _, t := range f.tasks {
		if t.Phase == state.PhaseDone {
			n++
		}
	}
	return n
}

func workerName(i int) model.WorkerID { return model.WorkerID("w" + strconv.Itoa(i)) }
