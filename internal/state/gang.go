package state

import (
	"arbutuswing.example/internal/model"
	"arbutuswing.example/internal/record"
)

// takenGang binds the members of a gang that the envelope takes, all or none. The first member decides for all of
// them, so whatever frees room for them has to come earlier in the envelope.
func (f *fold) takenGang(op record.Taken, j *job) error {
	results := f.takeGang(j, op.Gang)
	f.gangs[j.Spec.ID] = results
	return results[f.index]
}

// takeGang returns the result of each member from here on by its place in the envelope. A gang that lost members is
// completed again by all of its queued ones together.
func (f *fold) takeGang(j *job, size int) map[int]error {
	results := make(map[int]error)
	var p plan
	var valid []int
	for i, other := range f.env.Ops {
		member, ok := other.(record.Taken)
		if !ok || i < f.index || member.Attempt.Task.Job != j.Spec.ID {
			continue
		}
		if member.Gang != size {
			results[i] = ErrGangIncomplete
			continue
		}
		if _, err := f.checkTaken(member, j, p); err != nil {
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
		member, _ := f.env.Ops[i].(record.Taken)
		w, _ := f.workers.rows.get(member.Worker)
		f.bind(member, j, w)
	}
	f.settle(j)
	return results
}
