package state_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"arbutuswing.example/internal/decl"
	"arbutuswing.example/internal/model"
	"arbutuswing.example/internal/record"
	"arbutuswing.example/internal/state"
)

// TestRejectedOperations guards against an operation that takes effect where the design's table of log operations
// rejects it, or that is rejected for another reason. In each case the last operation is the one to reject.
func TestRejectedOperations(t *testing.T) {
	gang := func(id model.JobID) model.JobSpec {
		s := spec(id, 2)
		s.Kind = model.KindGang
		return s
	}
	inClass := func(class model.ClassID, team model.TeamID) model.JobSpec {
		s := spec("j", 4)
		s.Class, s.Team = class, team
		return s
	}
	only := func(dc model.DataCentreID) model.JobSpec {
		s := spec("j", 1)
		s.DataCentres = []model.DataCentreID{dc}
		return s
	}
	sized := func(op record.Taken, n int64, gang int) record.Taken {
		op.Reservation, op.Gang = cores(n), gang
		return op
	}
	behind := func(op record.Taken) record.Taken {
		op.Behind = true
		return op
	}
	joined := func(incarnation model.Incarnation) record.MemberJoined {
		return record.MemberJoined{Instance: "entry-9", Incarnation: incarnation, DataCentre: "a"}
	}
	left := func(incarnation model.Incarnation) record.MemberLeft {
		return record.MemberLeft{Instance: "entry-9", Incarnation: incarnation}
	}
	limit := patch(decl.Patch{Put: decl.Set{Teams: []decl.Team{team("red", "north", redKey, 9)}}})
	out := func(dc model.DataCentreID) record.Change {
		return record.Change{ID: "out", Base: 0, Contents: patch(decl.Patch{Put: decl.Set{
			DataCentres: []decl.DataCentre{{Name: dc, Region: "r", Service: decl.OutOfService}},
		}})}
	}
	suspected := record.WorkerSuspected{Worker: "w1", Boot: "boot-1"}
	pulled := record.Pulled{Attempt: attempt("j", 0, 1), Key: redKey}
	openJob := record.JobAccepted{Spec: inClass("open", "red"), Key: redKey}
	tests := []struct {
		name string
		ops  []record.Op
		want error
	}{
		{"join of a known incarnation", []record.Op{joined(2), joined(2)}, state.ErrDuplicate},
		{"join of an older incarnation", []record.Op{joined(2), joined(1)}, state.ErrDuplicate},
		{"join of an older incarnation after leaving", []record.Op{joined(2), left(2), joined(1)}, state.ErrDuplicate},
		{"leave of an older incarnation", []record.Op{joined(2), left(1)}, state.ErrNotFound},
		{"change with an old base", []record.Op{out("a"), out("b")}, state.ErrConflict},
		{"change that fails the checks", []record.Op{record.Change{ID: "x", Contents: patch(decl.Patch{
			Put: decl.Set{Teams: []decl.Team{{Name: "green"}}},
		})}}, state.ErrInvalid},
		{"change that can't be parsed", []record.Op{record.Change{ID: "x", Contents: []byte(`{"pot":1}`)}}, state.ErrInvalid},
		{"change of a limit", []record.Op{record.Change{ID: "x", Contents: limit}}, state.ErrNeedsApproval},
		{"proposal with an old base", []record.Op{
			out("a"), record.Proposal{Change: record.Change{ID: "x", Contents: limit}},
		}, state.ErrConflict},
		{"verdict on an unknown proposal", []record.Op{record.Verdict{Proposal: "x", Organisation: "north", Key: northKey}}, state.ErrNotFound},
		{"verdict with another organisation's key", []record.Op{
			record.Proposal{Change: record.Change{ID: "x", Contents: limit}},
			record.Verdict{Proposal: "x", Organisation: "north", Key: southKey, Approve: true},
		}, state.ErrKeyNotGranted},
		{"verdict of an organisation whose approval is not needed", []record.Op{
			record.Proposal{Change: record.Change{ID: "x", Contents: limit}},
			record.Verdict{Proposal: "x", Organisation: "south", Key: southKey},
		}, state.ErrKeyNotGranted},
		{"job accepted twice", []record.Op{accepted(spec("j", 1)), accepted(spec("j", 2))}, state.ErrDuplicate},
		{"job of an open class without a key", []record.Op{accepted(inClass("open", "red"))}, state.ErrKeyNotGranted},
		{"job with another team's key", []record.Op{
			record.JobAccepted{Spec: spec("j", 1), Key: blueKey},
		}, state.ErrKeyNotGranted},
		{"job of a team not declared", []record.Op{accepted(inClass("night", "green"))}, state.ErrNotFound},
		{"job of a class not declared", []record.Op{accepted(inClass("day", "red"))}, state.ErrNotFound},
		{"job without tasks", []record.Op{accepted(spec("j", 0))}, state.ErrInvalid},
		{"cancelling an unknown job", []record.Op{record.JobCancelled{Job: "j"}}, state.ErrNotFound},
		{"cancelling with another team's key", []record.Op{
			accepted(spec("j", 1)), record.JobCancelled{Job: "j", Key: blueKey},
		}, state.ErrKeyNotGranted},
		{"cancelling twice", []record.Op{
			accepted(spec("j", 1)), record.JobCancelled{Job: "j"}, record.JobCancelled{Job: "j"},
		}, state.ErrDuplicate},
		{"refusing an unknown job", []record.Op{record.JobRefused{Job: "j", Reason: "large"}}, state.ErrNotFound},
		{"refusing a bound job", []record.Op{
			accepted(spec("j", 1)), taken("j", 0, 1, "w1"), record.JobRefused{Job: "j", Reason: "large"},
		}, state.ErrNotQueued},
		{"refusing a job that ran", []record.Op{
			accepted(spec("j", 1)), taken("j", 0, 1, "w1"), ended("j", 0, 1, "w1", model.OutcomeFailed),
			record.JobRefused{Job: "j", Reason: "large"},
		}, state.ErrNotQueued},
		{"known boot", []record.Op{seen("w1", "boot-1", "a")}, state.ErrDuplicate},
		{"earlier boot", []record.Op{seen("w1", "boot-2", "a"), seen("w1", "boot-1", "a")}, state.ErrDuplicate},
		{"suspecting an unknown worker", []record.Op{record.WorkerSuspected{Worker: "w9"}}, state.ErrNotFound},
		{"suspecting another boot", []record.Op{record.WorkerSuspected{Worker: "w1", Boot: "boot-0"}}, state.ErrWorkerUnusable},
		{"losing a worker without suspicion", []record.Op{
			record.WorkerLost{Worker: "w1", Boot: "boot-1", Suspicion: -1},
		}, state.ErrNotCurrent},
		{"losing a worker by another suspicion", []record.Op{
			suspected, record.WorkerLost{Worker: "w1", Boot: "boot-1", Suspicion: 1},
		}, state.ErrNotCurrent},
		{"losing a cleared worker", []record.Op{
			suspected,
			record.WorkerCleared{Worker: "w1", Boot: "boot-1"},
			record.WorkerLost{Worker: "w1", Boot: "boot-1", Suspicion: 2},
		}, state.ErrNotCurrent},
		{"taking a task of an unknown job", []record.Op{taken("j", 0, 1, "w1")}, state.ErrNotFound},
		{"taking a bound task", []record.Op{
			accepted(spec("j", 1)), taken("j", 0, 1, "w1"), taken("j", 0, 2, "w2"),
		}, state.ErrNotQueued},
		{"taking another attempt than the next", []record.Op{accepted(spec("j", 1)), taken("j", 0, 2, "w1")}, state.ErrNotQueued},
		{"taking a task of a cancelled job", []record.Op{
			accepted(spec("j", 1)), record.JobCancelled{Job: "j"}, taken("j", 0, 1, "w1"),
		}, state.ErrNotQueued},
		{"taking for a full worker", []record.Op{
			accepted(spec("j", 2)), sized(taken("j", 0, 1, "w1"), 3, 0), sized(taken("j", 1, 1, "w1"), 2, 0),
		}, state.ErrNoCapacity},
		{"taking a negative amount", []record.Op{accepted(spec("j", 1)), sized(taken("j", 0, 1, "w1"), -1, 0)}, state.ErrNoCapacity},
		{"taking behind more than the worker has", []record.Op{
			accepted(spec("j", 1)), behind(sized(taken("j", 0, 1, "w1"), 5, 0)),
		}, state.ErrNoCapacity},
		{"taking for an unknown worker", []record.Op{accepted(spec("j", 1)), taken("j", 0, 1, "w9")}, state.ErrWorkerUnusable},
		{"taking for an earlier boot", []record.Op{
			accepted(spec("j", 1)), seen("w1", "boot-2", "a"), taken("j", 0, 1, "w1"),
		}, state.ErrWorkerUnusable},
		{"taking for a suspected worker", []record.Op{accepted(spec("j", 1)), suspected, taken("j", 0, 1, "w1")}, state.ErrWorkerUnusable},
		{"taking for a lost worker", []record.Op{
			accepted(spec("j", 1)), suspected,
			record.WorkerLost{Worker: "w1", Boot: "boot-1", Suspicion: 2},
			taken("j", 0, 1, "w1"),
		}, state.ErrWorkerUnusable},
		{"taking over the limit", []record.Op{
			accepted(inClass("night", "blue")), taken("j", 0, 1, "w1"), taken("j", 1, 1, "w2"), behind(taken("j", 2, 1, "w3")),
		}, state.ErrOverLimit},
		{"taking in a data centre out of service", []record.Op{accepted(spec("j", 1)), taken("j", 0, 1, "w4")}, state.ErrOutOfService},
		{"taking in a data centre just taken out", []record.Op{
			accepted(spec("j", 1)), out("a"), taken("j", 0, 1, "w1"),
		}, state.ErrOutOfService},
		{"taking in a data centre that the job excludes", []record.Op{accepted(only("b")), taken("j", 0, 1, "w1")}, state.ErrOutOfService},
		{"taking a part of a gang", []record.Op{accepted(gang("j")), sized(taken("j", 0, 1, "w1"), 1, 1)}, state.ErrGangIncomplete},
		{"taking a gang member alone", []record.Op{accepted(gang("j")), taken("j", 0, 1, "w1")}, state.ErrGangIncomplete},
		{"taking a gang with one invalid member", []record.Op{
			accepted(gang("j")), sized(taken("j", 0, 1, "w4"), 1, 2), sized(taken("j", 1, 1, "w1"), 1, 2),
		}, state.ErrGangIncomplete},
		{"taking a gang that fits only in part", []record.Op{
			accepted(gang("j")), sized(taken("j", 0, 1, "w1"), 3, 2), sized(taken("j", 1, 1, "w1"), 3, 2),
		}, state.ErrNoCapacity},
		{"pulling from a closed class", []record.Op{
			accepted(spec("j", 1)), pulled,
		}, state.ErrNotFound},
		{"pulling with another team's key", []record.Op{
			openJob, record.Pulled{Attempt: attempt("j", 0, 1), Key: blueKey},
		}, state.ErrKeyNotGranted},
		{"pulling with a withdrawn key", []record.Op{
			openJob, record.Change{ID: "x", Contents: patch(decl.Patch{
				WithdrawKeys: []decl.KeyChange{{Team: "red", Key: redKey}},
			})}, pulled,
		}, state.ErrKeyNotGranted},
		{"pulling twice", []record.Op{openJob, pulled, pulled}, state.ErrNotQueued},
		{"pulling over the limit", []record.Op{
			record.JobAccepted{Spec: inClass("open", "blue"), Key: blueKey},
			taken("j", 1, 1, "w1"), taken("j", 2, 1, "w1"),
			record.Pulled{Attempt: attempt("j", 0, 1), Key: blueKey},
		}, state.ErrOverLimit},
		{"ending an unknown attempt", []record.Op{ended("j", 0, 1, "w1", model.OutcomeFailed)}, state.ErrNotCurrent},
		{"ending an earlier attempt", []record.Op{
			accepted(spec("j", 1)), taken("j", 0, 1, "w1"), ended("j", 0, 1, "w1", model.OutcomePreempted),
			taken("j", 0, 2, "w1"), ended("j", 0, 1, "w1", model.OutcomeSucceeded),
		}, state.ErrNotCurrent},
		{"ending an attempt twice", []record.Op{
			accepted(spec("j", 1)), taken("j", 0, 1, "w1"), ended("j", 0, 1, "w1", model.OutcomeSucceeded),
			ended("j", 0, 1, "w1", model.OutcomeSucceeded),
		}, state.ErrNotCurrent},
		{"ending an attempt of another worker", []record.Op{
			accepted(spec("j", 1)), taken("j", 0, 1, "w1"), ended("j", 0, 1, "w2", model.OutcomeSucceeded),
		}, state.ErrNotCurrent},
		{"ending with an unknown outcome", []record.Op{
			accepted(spec("j", 1)), taken("j", 0, 1, "w1"), ended("j", 0, 1, "w1", "vanished"),
		}, state.ErrInvalid},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			r := newBaseRig(t, testConfig())
			results := r.apply(test.ops...)
			assert.ErrorIs(t, results[len(results)-1], test.want)
			r.machine.CheckInvariants()
		})
	}
}
