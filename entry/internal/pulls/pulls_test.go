package pulls

import (
	"context"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"

	"arbutuswing.example/internal/model"
	"arbutuswing.example/internal/record"
	"arbutuswing.example/internal/state"
	"arbutuswing.example/internal/stream"
)

type noFeed struct{}

func (noFeed) Next(context.Context) (stream.Update, error) { return stream.Update{}, nil }

type recorder struct{ ops []record.Op }

func (r *recorder) Submit(_ context.Context, ops ...record.Op) ([]error, error) {
	r.ops = append(r.ops, ops...)
	return make([]error, len(ops)), nil
}

func pulled(index int, lease time.Duration) state.TaskPulled {
	return state.TaskPulled{Task: state.Task{
		ID: model.TaskID{Job: "j", Index: index}, Attempt: 1, Phase: state.PhasePulled, Lease: model.Duration(lease),
	}}
}

// TestLapsedPullsEnd guards against a pulled task that stays with a dead runner for ever, and against ending one whose
// lease has not lapsed.
func TestLapsedPullsEnd(t *testing.T) {
	tests := []struct {
		name  string
		first bool
		wait  time.Duration
		after stream.Update
		want  int
	}{
		{name: "not lapsed", first: true, wait: 12 * time.Second, want: 0},
		{name: "lapsed", first: true, wait: 13 * time.Second, want: 1},
		{name: "another instance has the duty", first: false, wait: 13 * time.Second, want: 0},
		{
			name: "reported in time", first: true, wait: 13 * time.Second, want: 0,
			after: stream.Update{Events: []state.Event{
				state.AttemptEnded{Attempt: pulled(0, 0).Task.CurrentAttempt()},
			}},
		},
		{
			name: "a resync does not put the deadline off", first: true, wait: 13 * time.Second, want: 1,
			after: stream.Update{Resync: true, Events: []state.Event{pulled(0, 10*time.Second)}},
		},
		{name: "a resync without the task", first: true, wait: 13 * time.Second, after: stream.Update{Resync: true}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			clock, out := clockwork.NewFakeClock(), &recorder{}
			r, err := New(Config{
				Feed: noFeed{}, Submit: out, Clock: clock, First: func(string) bool { return test.first },
			})
			assert.NilError(t, err)
			r.apply(stream.Update{Events: []state.Event{pulled(0, 10*time.Second)}})
			clock.Advance(test.wait)
			r.apply(test.after)
			r.check(context.Background())
			assert.Equal(t, len(out.ops), test.want)
		})
	}
}
