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
	"arbutuswing.example/internal/record"
	"arbutuswing.example/internal/state"
)

// Guards against records that are applied twice, in the wrong order or across a gap.
func TestOutOfOrderReads(t *testing.T) {
	withInstance(t, nil, func(t *testing.T, _ *fakeNet, n *testInstance) {
		turn := 0
		n.view.set(func(v *fakeView) {
			v.alterBatch = func(b ports.Batch) ports.Batch {
				turn++
				if turn%3 == 0 && len(b.Records) > 1 {
					b.Records = b.Records[1:] // a gap
				}
				for i, j := 0, len(b.Records)-1; i < j; i, j = i+1, j-1 {
					b.Records[i], b.Records[j] = b.Records[j], b.Records[i]
				}
				b.Records = append(b.Records, b.Records...)
				oldest, _, _ := v.log.read(0, 1)
				b.Records = append(b.Records, oldest.Records...)
				return b
			}
		})
		for i := range 20 {
			env := record.Envelope{Writer: "b", Incarnation: 1, Sequence: int64(i + 1), Ops: []record.Op{op(fmt.Sprint(i))}}
			data, err := record.Encode(env)
			assert.NilError(t, err)
			n.view.log.add(data)
			if i%4 == 3 {
				time.Sleep(3 * time.Second)
			}
		}
		assert.Assert(t, is.Len(n.machine.names(), 20))
	})
}

// Guards against an old program version that goes on after a record that it cannot decode.
func TestMalformedRecordHalts(t *testing.T) {
	withInstance(t, nil, func(t *testing.T, _ *fakeNet, n *testInstance) {
		n.view.log.add([]byte(`{"version":2}`))
		time.Sleep(3 * time.Second)
		assert.Assert(t, !n.stream.Ready())
		assert.Equal(t, n.machine.Offset(), model.NoOffset)
		assert.Assert(t, time.Since(n.stream.Freshness()) >= 2*time.Second)
		assert.ErrorIs(t, trySubmit(t, n, "x"), ErrNotRecorded)
		_, err := n.stream.Snapshot(t.Context())
		assert.Assert(t, err != nil)
	})
}

// Guards against a state that counts as fresh although the read began before a pause, the answer comes from a log
// replica that lags behind, or no answer came.
func TestFreshness(t *testing.T) {
	withInstance(t, nil, func(t *testing.T, _ *fakeNet, n *testInstance) {
		assert.Assert(t, time.Since(n.stream.Freshness()) <= 800*time.Millisecond)
		submit(t, n, "x")
		n.view.set(func(v *fakeView) {
			v.alterBatch = func(b ports.Batch) ports.Batch { return ports.Batch{First: b.First, Next: 0} }
		})
		n.view.log.add(nil)
		time.Sleep(3 * time.Second)
		assert.Assert(t, time.Since(n.stream.Freshness()) >= 2*time.Second)

		began := time.Now().Add(-time.Hour)
		assert.NilError(t, n.stream.applyBatch(ports.Batch{Next: 1}, pathDirect, began))
		assert.Assert(t, time.Since(n.stream.Freshness()) >= 2*time.Second, "a read that began before a pause")
	})
}

// Guards against an instance that cannot read or append because its own log access failed, although a peer can reach
// the log.
func TestRelayReadsAndAppends(t *testing.T) {
	withInstance(t, nil, func(t *testing.T, net *fakeNet, a *testInstance) {
		b := net.start("b", &fakeView{log: a.view.log}, nil)
		time.Sleep(2 * time.Second)
		b.view.set(func(v *fakeView) { v.silent = true })
		time.Sleep(4 * time.Second)
		submit(t, a, "x")
		submit(t, b, "y")
		assert.DeepEqual(t, b.machine.names(), []model.JobID{"x", "y"})
		assert.Assert(t, time.Since(b.stream.Status().LastRelayedRead) < 2*time.Second)
		assert.Assert(t, time.Since(b.stream.Status().LastDirectRead) >= 2*time.Second)
	})
}

// Guards against an instance that starts during an outage and becomes ready with an old state.
func TestStartDuringOutageTakesTheNewestState(t *testing.T) {
	withInstance(t, nil, func(t *testing.T, net *fakeNet, a *testInstance) {
		submit(t, a, "x")
		a.view.set(func(v *fakeView) { v.unavailable = true })
		time.Sleep(3 * time.Second)
		net.setPartitioned(true)
		b := net.start("b", &fakeView{log: a.view.log, unavailable: true}, nil)
		time.Sleep(5 * time.Second)
		assert.Assert(t, !b.stream.Ready(), "neither log nor peer was reachable")
		net.setPartitioned(false)
		time.Sleep(2 * time.Second)
		assert.Assert(t, b.stream.Ready())
		assert.DeepEqual(t, b.machine.names(), []model.JobID{"x"})
	})
}

// Guards against a state that is lost when the log drops its first records, and against snapshots that are not written
// or cannot be restored.
func TestStateSurvivesTruncation(t *testing.T) {
	often := func(cfg *Config) { cfg.SnapshotRecords, cfg.MinSnapshotInterval = 5, 5*time.Second }
	withInstance(t, often, func(t *testing.T, net *fakeNet, a *testInstance) {
		for i := range 30 {
			submit(t, a, fmt.Sprintf("%d-%s", i, strings.Repeat("x", 6000)))
		}
		time.Sleep(10 * time.Second)
		want := a.machine.names()
		at := a.stream.newestSnapshot().at
		assert.Assert(t, at > 20, "snapshot at %d", at)
		a.view.log.truncate(at + 1)
		a.shutDown()
		net.mu.Lock()
		delete(net.instances, "a")
		net.mu.Unlock()
		b := net.start("b", &fakeView{log: a.view.log}, often)
		time.Sleep(5 * time.Second)
		assert.Assert(t, b.stream.Ready())
		assert.DeepEqual(t, b.machine.names(), want)
	})
}

// Guards against a paused instance that never catches up because the log has dropped the records it needs next.
func TestTruncationRestoresFromAPeer(t *testing.T) {
	withInstance(t, nil, func(t *testing.T, net *fakeNet, a *testInstance) {
		b := net.start("b", &fakeView{log: a.view.log}, nil)
		time.Sleep(2 * time.Second)
		net.setPartitioned(true)
		b.view.set(func(v *fakeView) { v.unavailable = true })
		sub := b.stream.Subscribe()
		defer sub.Close()
		_, err := sub.Next(t.Context())
		assert.NilError(t, err)
		for i := range 3 {
			submit(t, a, fmt.Sprint(i))
		}
		a.view.log.truncate(3)
		net.setPartitioned(false)
		b.view.set(func(v *fakeView) { v.unavailable = false })
		time.Sleep(3 * time.Second)
		assert.DeepEqual(t, b.machine.names(), a.machine.names())
		update, err := sub.Next(t.Context())
		assert.NilError(t, err)
		assert.Assert(t, update.Resync)
		assert.Assert(t, is.Len(update.Events, 3))
	})
}

// Guards against a paused instance that never catches up if the log has dropped the records it needs next and no peer
// can be reached, so that only the snapshot in the log is left.
func TestTruncationRestoresFromTheLog(t *testing.T) {
	often := func(cfg *Config) { cfg.SnapshotRecords, cfg.MinSnapshotInterval = 5, time.Second }
	withInstance(t, often, func(t *testing.T, net *fakeNet, a *testInstance) {
		b := net.start("b", &fakeView{log: a.view.log}, often)
		time.Sleep(2 * time.Second)
		net.setPartitioned(true)
		b.view.set(func(v *fakeView) { v.unavailable = true })
		for i := range 20 {
			submit(t, a, fmt.Sprint(i))
		}
		time.Sleep(5 * time.Second)
		at := a.stream.newestSnapshot().at
		assert.Assert(t, at > 10)
		a.view.log.truncate(at + 1)
		b.view.set(func(v *fakeView) { v.unavailable = false })
		time.Sleep(5 * time.Second)
		assert.DeepEqual(t, b.machine.names(), a.machine.names())
	})
}

// Guards against an instance that keeps its state in an outage although its peers read a later one before the log
// became unavailable.
func TestOutageTakesTheNewestStateOfPeers(t *testing.T) {
	withInstance(t, nil, func(t *testing.T, net *fakeNet, a *testInstance) {
		b := net.start("b", &fakeView{log: a.view.log}, nil)
		time.Sleep(2 * time.Second)
		net.setPartitioned(true)
		b.view.set(func(v *fakeView) { v.unavailable = true })
		submit(t, a, "x")
		a.view.set(func(v *fakeView) { v.unavailable = true })
		time.Sleep(3 * time.Second)
		assert.Equal(t, len(b.machine.names()), 0)
		net.setPartitioned(false)
		time.Sleep(2 * time.Second)
		assert.DeepEqual(t, b.machine.names(), []model.JobID{"x"})
	})
}

// Guards against a snapshot that is assembled from parts of different writers or of different lengths.
func TestPartsOfDifferentSnapshotsAreNotMixed(t *testing.T) {
	c := newPartCollector(true)
	add := func(writer model.InstanceID, at model.Offset, part, parts int, data string) bool {
		env := record.Envelope{Writer: writer, Ops: []record.Op{
			record.SnapshotPart{At: at, Part: part, Parts: parts, Data: []byte(data)},
		}}
		return c.addEnvelope(env)
	}
	assert.Assert(t, !add("a", 5, 1, 2, "a1"))
	assert.Assert(t, !add("b", 5, 2, 2, "b2"))
	assert.Assert(t, !add("a", 6, 2, 2, "x2"))
	assert.Assert(t, !add("a", 5, 3, 2, "a3") && !add("a", 5, 0, 2, "a0") && !add("a", 5, 1, -1, "a0"))
	assert.Assert(t, !add("b", 5, 2, 2, "repeated"))
	assert.Assert(t, add("b", 5, 1, 2, "b1"))
	assert.Equal(t, string(c.newest.join()), "b1b2")
	assert.Assert(t, !add("a", 5, 2, 2, "a2"), "not newer")
	assert.Assert(t, add("a", 6, 1, 2, "x1"))
	assert.Equal(t, string(c.newest.join()), "x1x2")
	for i := range 100 {
		add("c", model.Offset(10+i), 1, 2, "")
	}
	assert.Equal(t, len(c.sets), maxPartSets)
}

// Guards against snapshots that come too late for a log that keeps records for less time than configured.
func TestRetentionIsEstimatedFromTruncation(t *testing.T) {
	r := newRetentionEstimator(time.Hour)
	start := time.Now()
	for i := range 600 {
		now := start.Add(time.Duration(i) * time.Second)
		r.sample(model.Offset(i), now)
		r.observe(model.Offset(i-60), now) // keeps records for a minute
		if i < 60 {
			assert.Equal(t, r.period, time.Hour)
		}
	}
	assert.Equal(t, r.period, time.Minute)
	for i := range 2 * maxSamples {
		r.sample(model.Offset(600+i), start.Add(time.Duration(600+i)*time.Second))
	}
	assert.Assert(t, len(r.samples) < maxSamples)
}

// Guards against a slow subscriber that blocks the reader or misses changes.
func TestSlowSubscriberIsResynchronised(t *testing.T) {
	short := func(cfg *Config) { cfg.MaxQueuedUpdates = 2 }
	withInstance(t, short, func(t *testing.T, _ *fakeNet, n *testInstance) {
		sub := n.stream.Subscribe()
		defer sub.Close()
		update, err := sub.Next(t.Context())
		assert.NilError(t, err)
		assert.Assert(t, update.Resync)
		submit(t, n, "a")
		update, err = sub.Next(t.Context())
		assert.NilError(t, err)
		assert.Assert(t, !update.Resync)
		for i := range 5 {
			submit(t, n, fmt.Sprint(i))
		}
		update, err = sub.Next(t.Context())
		assert.NilError(t, err)
		assert.Assert(t, update.Resync)
		assert.Assert(t, is.Len(update.Events, 6))
		submit(t, n, "b")
		update, err = sub.Next(t.Context())
		assert.NilError(t, err)
		assert.Assert(t, !update.Resync && update.Offset == n.machine.Offset())
	})
}

// Guards against made-up results for an envelope that was contained in a restored snapshot.
func TestRestoredEnvelopeHasUnknownOutcome(t *testing.T) {
	withInstance(t, nil, func(t *testing.T, net *fakeNet, a *testInstance) {
		b := net.start("b", &fakeView{log: a.view.log}, nil)
		time.Sleep(2 * time.Second)
		b.view.set(func(v *fakeView) {
			v.faults = []fault{loseAnswer}
			v.alterBatch = func(batch ports.Batch) ports.Batch { return ports.Batch{First: batch.First, Next: batch.Next} }
		})
		got := make(chan error, 1)
		go func() {
			_, err := b.stream.Submit(context.Background(), op("x"))
			got <- err
		}()
		time.Sleep(10 * time.Millisecond)
		assert.NilError(t, b.stream.restoreFromPeers(t.Context()))
		b.view.set(func(v *fakeView) { v.alterBatch = nil })
		err := <-got
		assert.Assert(t, errors.Is(err, ErrUnknownOutcome), "%v", err)
		assert.DeepEqual(t, b.machine.names(), []model.JobID{"x"})
	})
}

// Guards against a state machine and a stream that disagree on offsets, duplicates or the form of snapshots.
func TestRealStateMachine(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		net, log := newNet(), newFakeLog()
		defer net.shutDownAll()
		machines := make(map[model.InstanceID]*state.Machine)
		start := func(name model.InstanceID) *testInstance {
			return net.start(name, &fakeView{log: log}, func(cfg *Config) {
				machines[name] = newMachine(t)
				cfg.StateMachine, cfg.SnapshotRecords, cfg.MinSnapshotInterval = machines[name], 5, time.Second
			})
		}
		a := start("a")
		time.Sleep(2 * time.Second)
		a.view.set(func(v *fakeView) { v.faults = []fault{delayEffect, loseAnswer} })
		for i := range 10 {
			joined := record.MemberJoined{Instance: model.InstanceID(fmt.Sprint(i)), Incarnation: 1, DataCentre: "north"}
			results, err := a.stream.Submit(t.Context(), joined, joined)
			assert.NilError(t, err)
			assert.NilError(t, results[0])
			assert.ErrorIs(t, results[1], state.ErrDuplicate)
			log.applyDelayed()
		}
		time.Sleep(5 * time.Second)
		start("b")
		log.truncate(a.stream.newestSnapshot().at + 1)
		time.Sleep(2 * time.Second)
		a.shutDown()
		net.setPartitioned(true)
		start("c")
		time.Sleep(5 * time.Second)
		want, offset := machines["a"].Members()
		assert.Equal(t, len(want), 10)
		for name, machine := range machines {
			got, at := machine.Members()
			assert.DeepEqual(t, got, want)
			assert.Equal(t, at, offset, name)
		}
	})
}
