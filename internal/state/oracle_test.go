package state_test

import (
	"maps"
	"slices"

	"arbutuswing.example/internal/decl"
	"arbutuswing.example/internal/model"
	"arbutuswing.example/internal/record"
	"arbutuswing.example/internal/state"
)

// oracle is a simple reference model of jobs, workers and limits. It keeps no sums, but computes them from the tasks
// for each operation.
type oracle struct {
	jobs    map[model.JobID]oracleJob
	tasks   map[model.TaskID]state.Task
	workers map[model.WorkerID]oracleWorker
	// bound lists the bound tasks of all workers, in the order in which they were bound.
	bound []model.TaskID
	set   decl.Set
	base  model.Offset
}

type oracleJob struct {
	spec      model.JobSpec
	cancelled bool
	refused   bool
	ran       bool
}

// outcome derives the outcome of a finished job from its tasks' outcomes.
func (j oracleJob) outcome(ends map[model.Outcome]bool) model.Outcome {
	switch {
	case j.refused:
		return model.OutcomeNeverStarted
	case ends[model.OutcomeLost]:
		return model.OutcomeLost
	case ends[model.OutcomeFailed]:
		return model.OutcomeFailed
	case j.cancelled || ends[model.OutcomeStopped]:
		return model.OutcomeStopped
	}
	return model.OutcomeSucceeded
}

type oracleWorker struct {
	boot                 model.BootID
	boots                []model.BootID
	dc                   model.DataCentreID
	suspicion            model.Offset
	suspector            model.InstanceID
	suspectorIncarnation model.Incarnation
	lost                 bool
}

func newOracle() *oracle {
	return &oracle{
		jobs: make(map[model.JobID]oracleJob), tasks: make(map[model.TaskID]state.Task),
		workers: make(map[model.WorkerID]oracleWorker), base: model.NoOffset,
	}
}

func (o *oracle) clone() *oracle {
	out := *o
	out.jobs, out.tasks, out.workers = maps.Clone(o.jobs), maps.Clone(o.tasks), maps.Clone(o.workers)
	out.bound = slices.Clone(o.bound)
	return &out
}

func (o *oracle) committed(id model.WorkerID) model.Resources {
	var sum model.Resources
	for _, t := range o.tasks {
		if t.Phase == state.PhaseBound && t.Worker == id && !t.Behind {
			sum = sum.Plus(t.Reservation)
		}
	}
	return sum
}

func (o *oracle) usage(name model.TeamID) state.Usage {
	var out state.Usage
	for id, t := range o.tasks {
		if o.jobs[id.Job].spec.Team == name && (t.Phase == state.PhaseBound || t.Phase == state.PhasePulled) {
			out = state.Usage{Resources: out.Resources.Plus(t.Reservation), Tasks: out.Tasks + 1}
		}
	}
	return out
}

// apply applies an envelope and returns which operations take effect.
func (o *oracle) apply(offset model.Offset, env record.Envelope) []bool {
	out := make([]bool, len(env.Ops))
	gangs := make(map[model.JobID]bool)
	for i, op := range env.Ops {
		take, ok := op.(record.Taken)
		if !ok {
			out[i] = o.applyOp(offset, env, op)
			continue
		}
		job := o.jobs[take.Attempt.Task.Job]
		switch {
		case gangs[job.spec.ID]:
		case take.Gang == 0 && job.spec.Kind != model.KindGang:
			out[i] = o.take(take)
		case o.isNextAttempt(take.Attempt):
			gangs[job.spec.ID] = true
			o.takeGang(env.Ops, i, job, out)
		}
	}
	return out
}

// takeGang takes the members on a copy, which replaces the oracle only if all members of the gang were bound.
func (o *oracle) takeGang(ops []record.Op, from int, job oracleJob, out []bool) {
	first, _ := ops[from].(record.Taken)
	trial, bound := o.clone(), []int(nil)
	for i := from; i < len(ops); i++ {
		member, ok := ops[i].(record.Taken)
		if ok && member.Attempt.Task.Job == job.spec.ID && member.Gang == first.Gang && trial.take(member) {
			bound = append(bound, i)
		}
	}
	queued := 0
	for id, t := range o.tasks {
		if id.Job == job.spec.ID && t.Phase == state.PhaseQueued {
			queued++
		}
	}
	if len(bound) != first.Gang || (job.spec.Kind == model.KindGang && queued != first.Gang) {
		return
	}
	*o = *trial
	for _, i := range bound {
		out[i] = true
	}
}

func (o *oracle) isNextAttempt(id model.AttemptID) bool {
	t, ok := o.tasks[id.Task]
	return ok && t.Phase == state.PhaseQueued && id.Number == t.Attempt+1
}

func (o *oracle) take(op record.Taken) bool {
	job, w := o.jobs[op.Attempt.Task.Job], o.workers[op.Worker]
	service := decl.OutOfService
	for _, centre := range o.set.DataCentres {
		if centre.Name == w.dc {
			service = centre.Service
		}
	}
	need := op.Reservation
	if !op.Behind {
		need = need.Plus(o.committed(op.Worker))
	}
	if !o.isNextAttempt(op.Attempt) || w.boot != op.Boot || w.lost || w.suspicion != model.NoOffset ||
		service != decl.InService || !need.Fits(cores(4)) || !o.underLimit(job.spec.Team, op.Reservation) {
		return false
	}
	t := o.tasks[op.Attempt.Task]
	t.Phase, t.Attempt, t.Worker, t.Boot = state.PhaseBound, op.Attempt.Number, op.Worker, op.Boot
	t.Reservation, t.Behind = op.Reservation, op.Behind
	o.tasks[t.ID] = t
	o.bound = append(o.bound, t.ID)
	return true
}

func (o *oracle) underLimit(name model.TeamID, size model.Resources) bool {
	usage := o.usage(name)
	usage = state.Usage{Resources: usage.Resources.Plus(size), Tasks: usage.Tasks + 1}
	for _, t := range o.set.Teams {
		if t.Name == name {
			limit := t.Limit
			return (limit.Tasks == 0 || usage.Tasks <= limit.Tasks) &&
				(limit.Resources.Cores == 0 || usage.Resources.Cores <= limit.Resources.Cores)
		}
	}
	return false
}

// endAttempt ends the current attempt of a task.
func (o *oracle) endAttempt(id model.TaskID, outcome model.Outcome, checkpoint model.Duration) {
	t, job := o.tasks[id], o.jobs[id.Job]
	o.bound = slices.DeleteFunc(o.bound, func(other model.TaskID) bool { return other == id })
	job.ran = job.ran || outcome != model.OutcomeNeverStarted
	o.jobs[id.Job] = job
	t.Worker, t.Boot, t.Reservation, t.Behind = "", "", model.Resources{}, false
	t.Checkpoint = max(t.Checkpoint, checkpoint)
	if outcome == model.OutcomeFailed {
		t.Failures++
	}
	again := outcome == model.OutcomePreempted || outcome == model.OutcomeNeverStarted ||
		(outcome == model.OutcomeFailed && t.Failures < 3) || (outcome == model.OutcomeLost && job.spec.Rerun) ||
		job.spec.Kind == model.KindService
	t.Phase = state.PhaseQueued
	if !again || job.cancelled {
		t.Phase, t.Outcome, t.Stopping = state.PhaseDone, outcome, false
	}
	o.tasks[id] = t
}

// endAllAttempts ends all attempts bound to the worker as lost.
func (o *oracle) endAllAttempts(worker model.WorkerID) {
	for _, id := range slices.Clone(o.bound) {
		if o.tasks[id].Worker == worker {
			o.endAttempt(id, model.OutcomeLost, 0)
		}
	}
}

func (o *oracle) promote(worker model.WorkerID) {
	for _, id := range o.bound {
		t := o.tasks[id]
		if t.Worker != worker || !t.Behind {
			continue
		}
		if !o.committed(worker).Plus(t.Reservation).Fits(cores(4)) {
			return
		}
		t.Behind = false
		o.tasks[id] = t
	}
}
