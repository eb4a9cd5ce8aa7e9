package state

import (
	"arbutuswing.example/internal/model"
	"arbutuswing.example/internal/record"
)

// applyTakenGang binds all members of a gang or none. The first Taken operation of the gang decides for all of them, so
// an operation that frees capacity for the gang must come before it in the envelope.
func (a *applier) applyTakenGang(op record.Taken, j *job) error {
	results := a.bindGang(j, op.Gang)
	a.gangResults[j.Spec.ID] = results
	return results[a.opIndex]
}

// bindGang returns the results of the gang's Taken operations from the current one on, by operation index. A gang that
// lost members is completed by binding all of its queued members together.
func (a *applier) bindGang(j *job, size int) map[int]error {
	results := make(map[int]error)
	var p gangPlan
	var valid []int
	for i, other := range a.env.Ops {
		member, ok := other.(record.Taken)
		if !ok || i < a.opIndex || member.Attempt.Task.Job != j.Spec.ID {
			continue
		}
		if member.Gang != size {
			results[i] = ErrGangIncomplete
			continue
		}
		if _, err := a.checkTaken(member, j, p); err != nil {
			results[i] = err
			continue
		}
		p.add(member)
		valid = append(valid, i)
	}
	if len(valid) != size || (j.Spec.Kind == model.KindGang && size != j.queued) {
		for _, i := range valid {
			results[i] = ErrGangIncomplete
		}
		return results
	}
	for _, i := range valid {
		member, _ := a.env.Ops[i].(record.Taken)
		w, _ := a.workers.rows.get(member.Worker)
		a.bind(member, j, w)
	}
	a.reindexJob(j)
	return results
}
