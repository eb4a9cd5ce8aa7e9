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

// withInstance runs a test with one ready instance on synctest's fake clock, which advances only when all goroutines
// are blocked.
func withInstance(t *testing.T, change func(*Config), test func(t *testing.T, net *fakeNet, n *testInstance)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		net := newNet()
		defer net.shutDownAll()
		n := net.start("a", &fakeView{log: newFakeLog()}, change)
		time.Sleep(2 * time.Second)
		assert.Assert(t, n.stream.Ready())
		test(t, net, n)
	})
}

// trySubmit submits one operation; the time limit makes the test fail if Submit blocks for ever.
func trySubmit(t *testing.T, n *testInstance, name string) error {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	_, err := n.stream.Submit(ctx, op(name))
	return err
}

func submit(t *testing.T, n *testInstance, name string) {
	t.Helper()
	assert.NilError(t, trySubmit(t, n, name))
}

func TestSubmitReturnsResultsInOrder(t *testing.T) {
	withInstance(t, nil, func(t *testing.T, _ *fakeNet, n *testInstance) {
		results, err := n.stream.Submit(t.Context(), op("x"), op("void"), op("y"))
		assert.NilError(t, err)
		assert.Assert(t, is.Len(results, 3))
		assert.NilError(t, results[0])
		assert.ErrorIs(t, results[1], errRejected)
		assert.NilError(t, results[2])
	})
}

// Guards against an operation that is applied twice, or reported as failed, when an append's answer is lost.
func TestSubmitSurvivesEachFault(t *testing.T) {
	tests := []struct {
		name   string
		faults []fault
	}{
		{"lost answer", []fault{loseAnswer}},
		{"lost answers in a row", []fault{loseAnswer, loseAnswer, loseAnswer}},
		{"lost request", []fault{loseRequest, loseRequest}},
		{"delayed effect after repeat", []fault{delayEffect}},
		{"throttled", []fault{throttle, throttle, throttle}},
		{"silent connection", []fault{hang}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			withInstance(t, nil, func(t *testing.T, _ *fakeNet, n *testInstance) {
				n.view.set(func(v *fakeView) { v.faults = test.faults })
				submit(t, n, "x")
				n.view.log.applyDelayed()
				submit(t, n, "y")
				assert.DeepEqual(t, n.machine.names(), []model.JobID{"x", "y"})
			})
		})
	}
}

// Guards against operations that are reported as not recorded but take effect, and against callers that wait for the
// end of an outage although nothing was sent.
func TestOutageRefusesUnsentOperations(t *testing.T) {
	withInstance(t, nil, func(t *testing.T, _ *fakeNet, n *testInstance) {
		n.view.set(func(v *fakeView) { v.unavailable = true })
		assert.ErrorIs(t, trySubmit(t, n, "x"), ErrNotRecorded)
		n.view.set(func(v *fakeView) { v.unavailable = false })
		submit(t, n, "y")
		assert.DeepEqual(t, n.machine.names(), []model.JobID{"y"})
	})
}

// Guards against a second envelope that is recorded before the one in flight, whose repeated append would then be
// ignored.
func TestOutageKeepsTheEnvelopeInFlight(t *testing.T) {
	withInstance(t, nil, func(t *testing.T, _ *fakeNet, n *testInstance) {
		n.view.set(func(v *fakeView) { v.faults = []fault{loseRequest} })
		first := make(chan error, 1)
		go func() {
			_, err := n.stream.Submit(context.Background(), op("x"))
			first <- err
		}()
		synctest.Wait()
		n.view.set(func(v *fakeView) { v.unavailable = true })
		time.Sleep(3 * time.Second)
		err := trySubmit(t, n, "y")
		assert.ErrorIs(t, err, ErrNotRecorded)
		assert.Assert(t, !errors.Is(err, context.DeadlineExceeded), "it must be refused at once")
		n.view.set(func(v *fakeView) { v.unavailable = false })
		assert.NilError(t, <-first)
		assert.DeepEqual(t, n.machine.names(), []model.JobID{"x"})
	})
}

func TestCancelledSubmitReportsOutcome(t *testing.T) {
	withInstance(t, nil, func(t *testing.T, _ *fakeNet, n *testInstance) {
		n.view.set(func(v *fakeView) { v.faults = []fault{hang, hang} })
		n.view.set(func(v *fakeView) {
			v.alterBatch = func(b ports.Batch) ports.Batch { return ports.Batch{First: b.First, Next: b.Next} }
		})
		sentCtx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
		defer cancel()
		_, err := n.stream.Submit(sentCtx, op("x"))
		assert.ErrorIs(t, err, ErrUnknownOutcome)
		queuedCtx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
		defer cancel()
		_, err = n.stream.Submit(queuedCtx, op("y"))
		assert.ErrorIs(t, err, ErrNotRecorded)
		assert.ErrorIs(t, err, context.DeadlineExceeded)
		n.view.set(func(v *fakeView) { v.alterBatch = nil })
		time.Sleep(5 * time.Second)
		assert.DeepEqual(t, n.machine.names(), []model.JobID{"x"})
	})
}

func TestSubmitBounds(t *testing.T) {
	small := func(cfg *Config) { cfg.MaxQueuedOps, cfg.MaxEnvelopeBytes = 2, 4096 }
	withInstance(t, small, func(t *testing.T, _ *fakeNet, n *testInstance) {
		_, err := n.stream.Submit(t.Context(), op(strings.Repeat("x", 4096)))
		assert.ErrorIs(t, err, ErrTooLarge)
		assert.ErrorIs(t, err, ErrNotRecorded)
		_, err = n.stream.Submit(t.Context(), op("a"), op("b"), op("c"))
		assert.ErrorIs(t, err, ErrOverloaded)
		assert.ErrorIs(t, err, ErrNotRecorded)
	})
}

// Guards against envelopes above the log's size limit and against one append per operation.
func TestGroupCommit(t *testing.T) {
	small := func(cfg *Config) { cfg.MaxEnvelopeBytes = 4096 }
	withInstance(t, small, func(t *testing.T, _ *fakeNet, n *testInstance) {
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
		assert.Assert(t, is.Len(n.machine.names(), submits))
		assert.Assert(t, len(n.view.log.records) <= 10, "%d appends", len(n.view.log.records))
		synctest.Wait()
		for _, data := range n.view.log.records {
			assert.Assert(t, len(data) <= 4096)
		}
	})
}

// Guards against more than one commit per commit interval.
func TestCommitInterval(t *testing.T) {
	withInstance(t, func(cfg *Config) { cfg.CommitIntervalPerMember = 100 * time.Millisecond },
		func(t *testing.T, _ *fakeNet, n *testInstance) {
			start := time.Now()
			submit(t, n, "x")
			assert.Equal(t, time.Since(start), time.Duration(0), "the first commit after idle time is immediate")
			submit(t, n, "y")
			assert.Equal(t, time.Since(start), 100*time.Millisecond)
		})
}
