package stream

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
	is "gotest.tools/v3/assert/cmp"

	"arbutuswing.example/internal/model"
	"arbutuswing.example/internal/ports"
)

// inBubble runs a test on synctest's manual clock, which moves only when all goroutines wait.
func inBubble(t *testing.T, change func(*Config), test func(t *testing.T, net *fakeNet, n *node)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		net := newNet()
		defer net.haltAll()
		n := net.start("a", &fakeView{log: newFakeLog()}, change)
		time.Sleep(2 * time.Second)
		assert.Assert(t, n.stream.Ready())
		test(t, net, n)
	})
}

// try records one operation; the time limit makes a test fail where the operation would wait for ever.
func try(t *testing.T, n *node, name string) error {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	_, err := n.stream.Submit(ctx, op(name))
	return err
}

func submit(t *testing.T, n *node, name string) {
	t.Helper()
	assert.NilError(t, try(t, n, name))
}

func TestSubmitReturnsVoidReasonsInOrder(t *testing.T) {
	inBubble(t, nil, func(t *testing.T, _ *fakeNet, n *node) {
		results, err := n.stream.Submit(t.Context(), op("x"), op("void"), op("y"))
		assert.NilError(t, err)
		assert.Assert(t, is.Len(results, 3))
		assert.NilError(t, results[0])
		assert.ErrorIs(t, results[1], errVoid)
		assert.NilError(t, results[2])
	})
}

// Guards against an operation that is recorded twice, or reported as failed, when the log's answer is lost.
func TestSubmitSurvivesEachFault(t *testing.T) {
	tests := []struct {
		name   string
		faults []fault
	}{
		{"lost answer", []fault{loseAnswer}},
		{"lost answers in a row", []fault{loseAnswer, loseAnswer, loseAnswer}},
		{"lost request", []fault{loseRequest, loseRequest}},
		{"late effect after repeat", []fault{landLate}},
		{"throttled", []fault{throttle, throttle, throttle}},
		{"silent connection", []fault{hang}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			inBubble(t, nil, func(t *testing.T, _ *fakeNet, n *node) {
				n.view.set(func(v *fakeView) { v.faults = test.faults })
				submit(t, n, "x")
				n.view.log.landLate()
				submit(t, n, "y")
				assert.DeepEqual(t, n.folder.names(), []model.JobID{"x", "y"})
			})
		})
	}
}

// Guards against refusals that are untrue, and against callers that wait through an outage for nothing.
func TestOutageRefusesWhatWasNeverSent(t *testing.T) {
	inBubble(t, nil, func(t *testing.T, _ *fakeNet, n *node) {
		n.view.set(func(v *fakeView) { v.down = true })
		assert.ErrorIs(t, try(t, n, "x"), ErrNotRecorded)
		n.view.set(func(v *fakeView) { v.down = false })
		submit(t, n, "y")
		assert.DeepEqual(t, n.folder.names(), []model.JobID{"y"})
	})
}

// Guards against a second envelope that overtakes the one in flight, whose repeat would then be ignored.
func TestOutageKeepsTheEnvelopeInFlight(t *testing.T) {
	inBubble(t, nil, func(t *testing.T, _ *fakeNet, n *node) {
		n.view.set(func(v *fakeView) { v.faults = []fault{loseRequest} })
		first := make(chan error, 1)
		go func() {
			_, err := n.stream.Submit(context.Background(), op("x"))
			first <- err
		}()
		synctest.Wait()
		n.view.set(func(v *fakeView) { v.down = true })
		time.Sleep(3 * time.Second)
		err := try(t, n, "y")
		assert.ErrorIs(t, err, ErrNotRecorded)
		assert.Assert(t, !errors.Is(err, context.DeadlineExceeded), "it was refused at once")
		n.view.set(func(v *fakeView) { v.down = false })
		assert.NilError(t, <-first)
		assert.DeepEqual(t, n.folder.names(), []model.JobID{"x"})
	})
}

func TestSubmitReportsWhatIsKnownWhenTheCallerGivesUp(t *testing.T) {
	inBubble(t, nil, func(t *testing.T, _ *fakeNet, n *node) {
		n.view.set(func(v *fakeView) { v.faults = []fault{hang, hang} })
		n.view.set(func(v *fakeView) {
			v.twist = func(b ports.Batch) ports.Batch { return ports.Batch{First: b.First, Next: b.Next} }
		})
		flying, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
		defer cancel()
		_, err := n.stream.Submit(flying, op("x"))
		assert.ErrorIs(t, err, ErrUnknownOutcome)
		queued, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
		defer cancel()
		_, err = n.stream.Submit(queued, op("y"))
		assert.ErrorIs(t, err, ErrNotRecorded)
		assert.ErrorIs(t, err, context.DeadlineExceeded)
		n.view.set(func(v *fakeView) { v.twist = nil })
		time.Sleep(5 * time.Second)
		assert.DeepEqual(t, n.folder.names(), []model.JobID{"x"})
	})
}

func TestSubmitBounds(t *testing.T) {
	small := func(cfg *Config) { cfg.QueueOps, cfg.EnvelopeLimit = 2, 4096 }
	inBubble(t, small, func(t *testing.T, _ *fakeNet, n *node) {
		_, err := n.stream.Submit(t.Context(), op(strings.Repeat("x", 4096)))
		assert.ErrorIs(t, err, ErrTooLarge)
		assert.ErrorIs(t, err, ErrNotRecorded)
		_, err = n.stream.Submit(t.Context(), op("a"), op("b"), op("c"))
		assert.ErrorIs(t, err, ErrOverloaded)
		assert.ErrorIs(t, err, ErrNotRecorded)
	})
}

// Guards against envelopes above the log's limit and against one append for each operation.
func TestGroupCommit(t *testing.T) {
	small := func(cfg *Config) { cfg.EnvelopeLimit = 4096 }
	inBubble(t, small, func(t *testing.T, _ *fakeNet, n *node) {
		const submits = 100
		done := make(chan error, submits)
		for i := range submits {
			go func() {
				_, err := n.stream.Submit(context.Background(), op(fmt.Sprintf("%03d", i)))
				done <- err
			}()
		}
		for range submits {
			assert.NilError(t, <-done)
		}
		assert.Assert(t, is.Len(n.folder.names(), submits))
		assert.Assert(t, len(n.view.log.records) <= 10, "%d appends", len(n.view.log.records))
		synctest.Wait()
		for _, data := range n.view.log.records {
			assert.Assert(t, len(data) <= 4096)
		}
	})
}

// Guards against commits that come faster than one for each interval.
func TestCommitInterval(t *testing.T) {
	inBubble(t, func(cfg *Config) { cfg.CommitUnit = 100 * time.Millisecond }, func(t *testing.T, _ *fakeNet, n *node) {
		start := time.Now()
		submit(t, n, "x")
		assert.Equal(t, time.Since(start), time.Duration(0), "the first commit after idle time is immediate")
		submit(t, n, "y")
		assert.Equal(t, time.Since(start), 100*time.Millisecond)
	})
}
