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

// TestExpiredPullsAreRecordedAsLost guards against a pulled task that stays assigned to a dead runner for ever, and against
// recording one as lost whose lease has not expired.
func TestExpiredPullsAreRecordedAsLost(t *testing.T) {
	tests := []struct {
		name    string
		elected bool
		wait    time.Duration
		after   stream.Update
		want    int
	}{
		{name: "not lapsed", elected: true, wait: 12 * time.Second, want: 0},
		{name: "lapsed", elected: true, wait: 13 * time.Second, want: 1},
		{name: "another instance is elected", elected: false, wait: 13 * time.Second, want: 0},
		{
			name: "reported in time", elected: true, wait: 13 * time.Second, want: 0,
			after: stream.Update{Events: []state.Event{
				state.AttemptEnded{Attempt: pulled(0, 0).Task.CurrentAttempt()},
			}},
		},
		{
			name: "a resync does not postpone the deadline", elected: true, wait: 13 * time.Second, want: 1,
			after: stream.Update{Resync: true, Events: []state.Event{pulled(0, 10*time.Second)}},
		},
		{name: "a resync without the task", elected: true, wait: 13 * time.Second, after: stream.Update{Resync: true}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			clock, out := clockwork.NewFakeClock(), &recorder{}
			m, err := New(Config{
				Feed: noFeed{}, Submitter: out, Clock: clock, IsElected: func(string) bool { return test.elected },
			})
			assert.NilError(t, err)
			m.apply(stream.Update{Events: []state.Event{pulled(0, 10*time.Second)}})
			clock.Advance(test.wait)
			m.apply(test.after)
			m.check(context.Background())
			assert.Equal(t, len(out.ops), test.want)
		})
	}
}
