package intake

import (
	"context"
	"testing"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"arbutuswing.example/internal/inbox"
	"arbutuswing.example/internal/ledger"
	"arbutuswing.example/internal/model"
	"arbutuswing.example/internal/terms"
	"arbutuswing.example/internal/work"
)

type fakeRecords struct {
	err  error
	keys []string
}

func (f *fakeRecords) Put(_ context.Context, r ledger.Record) error {
	f.keys = append(f.keys, r.Key)
	return f.err
}

type fakeOwner struct {
	state work.State
	err   error
}

func (f fakeOwner) State(context.Context, model.JobID) (work.State, error) { return f.state, f.err }
func (f fakeOwner) Pending(context.Context, string) (int, error)           { return 3, f.err }
func (f fakeOwner) Notify(context.Context, work.Job) error                 { return f.err }

func newIntake(records *fakeRecords, owner fakeOwner) *Intake {
	c := terms.New(terms.Params{
		Version: 3,
		Queues: []terms.Queue{
			{Name: "q", Host: "h", Prefix: "/q/"},
			{Name: "inner", Host: "h", Prefix: "/q/inner/"},
			{Name: "open", Host: "h", Prefix: "/open/", Anonymous: true},
		},
		Teams:  []terms.Team{{ID: "north"}},
		Keys:   map[model.KeyHash]model.TeamID{model.HashKey("key"): "north"},
		Limits: terms.Limits{BodyBytes: 10},
	})
	return New(
		Config{Configuration: func() (terms.Configuration, bool) { return c, true }, Records: records, Owner: owner, Log: zap.NewNop()})
}

var oneTask = work.Job{Stages: []work.Stage{{Count: 1}}}

// TestSubmit guards against jobs that are accepted without a granted key, accepted into the wrong queue, or reported as
// accepted without being stored.
func TestSubmit(t *testing.T) {
	tests := []struct {
		name string
		call Call
		job  work.Job
		err  error
		want string
		puts int
	}{
		{"accepted", Call{"h", "/q/a1", "key"}, oneTask, nil, "accepted", 1},
		{"longest prefix", Call{"h", "/q/inner/a1", "key"}, oneTask, nil, "accepted", 1},
		{"anonymous queue", Call{"h", "/open/a1", ""}, oneTask, nil, "accepted", 1},
		{"other host", Call{"x", "/q/a1", "key"}, oneTask, nil, "refused", 0},
		{"unknown key", Call{"h", "/q/a1", "other"}, oneTask, nil, "refused", 0},
		{"identifier with a dot", Call{"h", "/q/a.1", "key"}, oneTask, nil, "refused", 0},
		{"no tasks", Call{"h", "/q/a1", "key"}, work.Job{}, nil, "refused", 0},
		{"store down", Call{"h", "/q/a1", "key"}, oneTask, inbox.ErrRefused, "refused: store unavailable", 1},
		{"no store answer", Call{"h", "/q/a1", "key"}, oneTask, inbox.ErrUnknown, "in doubt: " + inbox.ErrUnknown.Error(), 1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			records := &fakeRecords{err: test.err}
			got := newIntake(records, fakeOwner{}).Submit(t.Context(), test.call, test.job)
			assert.Equal(t, logOutcome(got), test.want)
			assert.Equal(t, len(records.keys), test.puts)
		})
	}
}

// TestQuery guards against a job that is reported as unknown because its owner doesn't answer.
func TestQuery(t *testing.T) {
	tests := []struct {
		name  string
		path  string
		owner fakeOwner
		want  Outcome
	}{
		{"state", "/q/a1", fakeOwner{state: work.StateRunning}, JobState{work.StateRunning}},
		{"unknown job", "/q/a1", fakeOwner{err: ErrUnknownJob}, JobNotFound{}},
		{"no owner", "/q/a1", fakeOwner{err: ErrNoOwner}, RetryLater{ErrNoOwner.Error(), retryAfter}},
		{"queue", "/q/", fakeOwner{}, QueueLength{3}},
		{"queue without owner", "/q/", fakeOwner{err: ErrNoOwner}, RetryLater{ErrNoOwner.Error(), retryAfter}},
		{"no such queue", "/x/", fakeOwner{}, QueueNotFound{}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			got := newIntake(&fakeRecords{}, test.owner).Query(t.Context(), Call{"h", test.path, "key"})
			assert.DeepEqual(t, got, test.want)
		})
	}
}

// TestPrecheck guards against a body over the limit that is parsed as a job.
func TestPrecheck(t *testing.T) {
	i := newIntake(&fakeRecords{}, fakeOwner{})
	assert.Equal(t, i.Precheck(Call{"h", "/q/a", "key"}, 10), nil)
	assert.Equal(t, i.Precheck(Call{"h", "/q/a", "key"}, 11), Outcome(TooLarge{}))
	assert.Equal(t, i.Precheck(Call{"h", "/q/a", "no"}, 11), Outcome(Unauthorised{}))
}
