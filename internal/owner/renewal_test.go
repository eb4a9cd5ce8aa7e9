package owner

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"arbutuswing.example/internal/agent"
	"arbutuswing.example/internal/ledger"
	"arbutuswing.example/internal/model"
	"arbutuswing.example/internal/pause"
	"arbutuswing.example/internal/peers"
	"arbutuswing.example/internal/work"
)

// faultyStore is a node's connection to a store.
type faultyStore struct {
	*memoryStore

	mu sync.Mutex
	// frozenUntil is until when the answers to calls wait.
	frozenUntil time.Time
	// cut makes joins and appends go unanswered, and cutReads the reads.
	cut, cutReads bool
}

// freeze lets the answers to all calls from now on wait until d has passed.
func (f *faultyStore) freeze(d time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.frozenUntil = time.Now().Add(d)
}

func (f *faultyStore) cutOff(writes, reads bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.cut, f.cutReads = writes, reads
}

// write makes a join or append.
func (f *faultyStore) write(ctx context.Context, call func() error) error {
	f.mu.Lock()
	until, cut := f.frozenUntil, f.cut
	f.mu.Unlock()
	return answer(ctx, call, until, cut)
}

// read makes a read.
func (f *faultyStore) read(ctx context.Context, call func() error) error {
	f.mu.Lock()
	until, cut := f.frozenUntil, f.cutReads
	f.mu.Unlock()
	return answer(ctx, call, until, cut)
}

// answer makes a call unless the node is cut off, and returns when its answer arrives.
func answer(ctx context.Context, call func() error, until time.Time, cut bool) error {
	if cut {
		pause.For(ctx, time.Millisecond)
		return ledger.ErrNoAnswer
	}
	err := call()
	pause.For(ctx, time.Until(until))
	return err
}

func (f *faultyStore) Append(ctx context.Context, b ledger.Batch) error {
	return f.write(ctx, func() error { return f.memoryStore.Append(ctx, b) })
}

func (f *faultyStore) Join(ctx context.Context, m ledger.Membership) (assignment ledger.Assignment, err error) {
	err = f.write(ctx, func() (err error) {
		assignment, err = f.memoryStore.Join(ctx, m)
		return err
	})
	return assignment, err
}

func (f *faultyStore) Newest(ctx context.Context, topic ledger.Topic, partition int) (page ledger.Page, err error) {
	err = f.read(ctx, func() (err error) {
		page, err = f.memoryStore.Newest(ctx, topic, partition)
		return err
	})
	return page, err
}

func (f *faultyStore) Read(
	ctx context.Context, topic ledger.Topic, partition int, from int64, wait time.Duration,
) (page ledger.Page, err error) {
	err = f.read(ctx, func() (err error) {
		page, err = f.memoryStore.Read(ctx, topic, partition, from, wait)
		return err
	})
	return page, err
}

func (f *faultyStore) Holders(ctx context.Context, group string) (holders []ledger.Holder, err error) {
	err = f.read(ctx, func() (err error) {
		holders, err = f.memoryStore.Holders(ctx, group)
		return err
	})
	return holders, err
}

// slowStore is a store whose answers take a time; it counts the appends.
type slowStore struct {
	*memoryStore
	latency time.Duration
	appends atomic.Int64
}

func (s *slowStore) Append(ctx context.Context, b ledger.Batch) error {
	s.appends.Add(1)
	pause.For(ctx, s.latency)
	return s.memoryStore.Append(ctx, b)
}

func (s *slowStore) Join(ctx context.Context, m ledger.Membership) (ledger.Assignment, error) {
	defer pause.For(ctx, s.latency/2)
	pause.For(ctx, s.latency/2)
	return s.memoryStore.Join(ctx, m)
}

func (s *slowStore) Newest(ctx context.Context, topic ledger.Topic, partition int) (ledger.Page, error) {
	pause.For(ctx, s.latency)
	return s.memoryStore.Newest(ctx, topic, partition)
}

func (s *slowStore) Holders(ctx context.Context, group string) ([]ledger.Holder, error) {
	pause.For(ctx, s.latency)
	return s.memoryStore.Holders(ctx, group)
}

// renewalPeriod is the longest time between two renewals of an idle worker's lease: a heartbeat that waits comes between them.
const renewalPeriod = idleWait + 2*heartbeatPause

// oneWorker is a worker that notes when an owner last renewed its lease and sent it a start.
type oneWorker struct {
	unreachable bool
	start       time.Time

	mu      sync.Mutex
	renewed time.Time
	started time.Time
}

func (w *oneWorker) lastRenewal() time.Time {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.renewed
}

func (w *oneWorker) lastStart() time.Time {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.started
}

func (w *oneWorker) Heartbeat(ctx context.Context, _ agent.Target, h agent.Heartbeat) (agent.Report, error) {
	if w.unreachable {
		return agent.Report{}, agent.ErrNoAnswer
	}
	if h.LeaseEnd > 0 {
		w.mu.Lock()
		w.renewed = time.Now()
		w.mu.Unlock()
	}
	pause.For(ctx, h.Wait)
	return agent.Report{Clock: time.Since(w.start), Incarnation: 1, Connection: 1}, nil
}

func (w *oneWorker) Start(context.Context, agent.Target, agent.Start) (time.Duration, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.started = time.Now()
	return time.Since(w.start), nil
}

func (w *oneWorker) Stop(context.Context, agent.Target, agent.Stop) (time.Duration, error) {
	return time.Since(w.start), nil
}

// TestLateAnswerProvesNoOwnership guards against an owner that renews leases beyond the limit, when the next owner starts the
// same tasks elsewhere.
func TestLateAnswerProvesNoOwnership(t *testing.T) {
	tests := []struct {
		name string
		// frozen tells that answers wait until 5 s have passed, and cutReads that no read is answered after that.
		frozen, cutReads bool
	}{
		{"answers waited while the process was frozen", true, true},
		{"only reads are answered", false, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store, w := &faultyStore{memoryStore: newMemoryStore()}, &oneWorker{start: time.Now()}
				node := startNodeWith(store, "n0", w)
				defer node.stop()
				time.Sleep(3 * time.Second)
				assert.Assert(t, time.Since(w.lastRenewal()) <= renewalPeriod)
				begun := time.Now()
				if tt.frozen {
					store.freeze(5 * time.Second)
				} else {
					store.cutOff(true, tt.cutReads)
				}
				time.Sleep(5*time.Second - time.Nanosecond)
				store.cutOff(true, tt.cutReads)
				time.Sleep(5 * time.Second)
				assert.Assert(t, w.lastRenewal().Sub(begun) < testRenewLimit, "renewed after %v", w.lastRenewal().Sub(begun))
				store.cutOff(false, false)
				time.Sleep(3 * time.Second)
				assert.Assert(t, time.Since(w.lastRenewal()) <= renewalPeriod)
			})
		})
	}
}

// TestSuspendedOwnerRenewsNoLease guards against an owner that was suspended, and whose monotonic clock stood still meanwhile: it
// renews leases, or starts tasks, after the next owner has waited for the end of both.
func TestSuspendedOwnerRenewsNoLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store, w := &faultyStore{memoryStore: newMemoryStore()}, &oneWorker{start: time.Now()}
		var suspended atomic.Int64
		node := startNodeWithConfig(store, "n0", w, func(c *Config) {
			c.Uptime = func() time.Duration { return testUptime() + time.Duration(suspended.Load()) }
		})
		defer node.stop()
		time.Sleep(3 * time.Second)
		assert.NilError(t, node.owner.Submit(work.Job{
			ID: "j", Queue: testQueue, Team: "north", Accepted: time.Now(),
			Stages: []work.Stage{{Count: 1, Size: model.Resources{Cores: 1}, RunTime: model.Duration(time.Second)}},
		}))
		store.cutOff(true, false)
		suspended.Add(int64(testRenewLimit))
		resumed := time.Now()
		time.Sleep(5 * time.Second)
		assert.Check(t, !w.lastRenewal().After(resumed), "renewed %v after the suspension", w.lastRenewal().Sub(resumed))
		assert.Check(t, w.lastStart().IsZero(), "started")
		store.cutOff(false, false)
		time.Sleep(3 * time.Second)
		assert.Check(t, time.Since(w.lastRenewal()) <= renewalPeriod)
		assert.Check(t, !w.lastStart().IsZero())
	})
}

// TestSuspendedOwnerDeniesNoJob guards against an owner that says, when it wakes up, that a job doesn't exist which another node has
// stored meanwhile.
func TestSuspendedOwnerDeniesNoJob(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &faultyStore{memoryStore: newMemoryStore()}
		var suspended atomic.Int64
		node := startNodeWithConfig(store, "n0", nil, func(c *Config) {
			c.Uptime = func() time.Duration { return testUptime() + time.Duration(suspended.Load()) }
		})
		defer node.stop()
		time.Sleep(3 * time.Second)
		_, err := node.owner.State("j")
		assert.ErrorIs(t, err, peers.ErrUnknownJob)
		suspended.Add(int64(maxInboxAge))
		_, err = node.owner.State("j")
		assert.ErrorIs(t, err, peers.ErrNotOwner)
		time.Sleep(time.Second)
		_, err = node.owner.State("j")
		assert.ErrorIs(t, err, peers.ErrUnknownJob)
	})
}

// TestLateCommitStartsNothing guards against a start that an owner sends because of a commit that was answered late, when the
// next owner starts the same task elsewhere.
func TestLateCommitStartsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store, w := &faultyStore{memoryStore: newMemoryStore()}, &oneWorker{start: time.Now()}
		node := startNodeWith(store, "n0", w)
		defer node.stop()
		time.Sleep(3 * time.Second)
		store.freeze(5 * time.Second)
		assert.NilError(t, node.owner.Submit(work.Job{
			ID: "j", Queue: testQueue, Team: "north", Accepted: time.Now(),
			Stages: []work.Stage{{Count: 1, Size: model.Resources{Cores: 1}, RunTime: model.Duration(time.Second)}},
		}))
		time.Sleep(5*time.Second - time.Nanosecond)
		store.cutOff(true, true)
		time.Sleep(5 * time.Second)
		assert.Assert(t, w.lastStart().IsZero(), "started")
		store.cutOff(false, false)
		time.Sleep(time.Second)
		assert.Assert(t, !w.lastStart().IsZero())
	})
}

// TestStartIsNotSentAfterStandstill guards against a start that leaves long after it was decided, when the next owner has started the
// same task elsewhere.
func TestStartIsNotSentAfterStandstill(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store, w := &faultyStore{memoryStore: newMemoryStore()}, &oneWorker{start: time.Now()}
		var taken sync.Once
		node := startNodeWithConfig(store, "n0", w, func(c *Config) {
			c.Step = func(s Step) {
				if s.Name == "send start" {
					taken.Do(func() {
						store.cutOff(true, true)
						time.Sleep(testRenewLimit)
					})
				}
			}
		})
		defer node.stop()
		time.Sleep(3 * time.Second)
		assert.NilError(t, node.owner.Submit(work.Job{
			ID: "j", Queue: testQueue, Team: "north", Accepted: time.Now(),
			Stages: []work.Stage{{Count: 1, Size: model.Resources{Cores: 1}, RunTime: model.Duration(time.Second)}},
		}))
		time.Sleep(5 * time.Second)
		assert.Assert(t, w.lastStart().IsZero(), "started")
		store.cutOff(false, false)
		time.Sleep(3 * time.Second)
		assert.Assert(t, !w.lastStart().IsZero())
	})
}

// TestIdleFormerOwnerEnds guards against a former owner without records to write that joins the group again and goes on
// renewing leases.
func TestIdleFormerOwnerEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		shared := newMemoryStore()
		store := &faultyStore{memoryStore: shared}
		reached, unreached := &oneWorker{start: time.Now()}, &oneWorker{unreachable: true}
		former := startNodeWith(store, "n0", reached)
		defer former.stop()
		time.Sleep(3 * time.Second)
		next := startNodeWith(shared, "n1", unreached)
		defer next.stop()
		time.Sleep(time.Second)
		assert.Assert(t, former.serves())
		store.cutOff(true, true)
		for !next.serves() {
			time.Sleep(time.Millisecond)
		}
		takenOver := time.Now()
		store.cutOff(false, false)
		time.Sleep(10 * time.Second)
		assert.Assert(t, reached.lastRenewal().Sub(takenOver) < testRenewLimit, "renewed after %v", reached.lastRenewal().Sub(takenOver))
		assert.Assert(t, !former.serves())
		assert.Assert(t, next.serves())
	})
}

// TestNoProofsInSteadyState guards against calls of the store that nothing needs, while it is quick or slow.
func TestNoProofsInSteadyState(t *testing.T) {
	for _, latency := range []time.Duration{time.Millisecond, 320 * time.Millisecond} {
		t.Run(latency.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store, w := &slowStore{memoryStore: newMemoryStore(), latency: latency}, &oneWorker{start: time.Now()}
				node := startNodeWith(store, "n0", w)
				defer node.stop()
				time.Sleep(15 * time.Second)
				before := store.appends.Load()
				time.Sleep(time.Minute)
				assert.Equal(t, store.appends.Load(), before)
				assert.Assert(t, time.Since(w.lastRenewal()) <= renewalPeriod)
			})
		})
	}
}

// refusingStore returns errors for the first appends, and then accepts one.
type refusingStore struct {
	ledger.Store
	errs []error
}

func (r *refusingStore) Append(context.Context, ledger.Batch) error {
	if len(r.errs) == 0 {
		return nil
	}
	err := r.errs[0]
	r.errs = r.errs[1:]
	return err
}

// TestRepeatedAppendProvesItsFirstTry guards against a repeat that counts as a proof of ownership though the store answers it
// with what it said to an earlier try.
func TestRepeatedAppendProvesItsFirstTry(t *testing.T) {
	tests := []struct {
		name string
		errs []error
		want time.Duration
	}{
		{"answered", nil, 0},
		{"refused tries", []error{ledger.ErrRefused, ledger.ErrRefused}, 2 * storeRetryDelay},
		{"unanswered tries", []error{ledger.ErrNoAnswer, ledger.ErrNoAnswer}, 0},
		{"refused, then unanswered", []error{ledger.ErrRefused, ledger.ErrNoAnswer}, storeRetryDelay},
		{"unanswered, then refused", []error{ledger.ErrNoAnswer, ledger.ErrRefused}, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				begun := testUptime()
				ow := newOwnership(Config{Store: &refusingStore{errs: tt.errs}, Log: zap.NewNop(), Uptime: testUptime}, 1, nil)
				assert.NilError(t, ow.append(t.Context(), TopicProgress, []ledger.Record{{Key: "k"}}))
				assert.Equal(t, ow.permission.provedAt-begun, tt.want)
			})
		})
	}
}

// gatedStore is a node's connection to a store that holds the node's appends back.
type gatedStore struct {
	*memoryStore
	// begun is closed at the first append, and the appends wait for open. serving is closed once the node is recorded as
	// serving.
	begun, open, serving chan struct{}
	first, firstServing  sync.Once
}

func (g *gatedStore) Append(ctx context.Context, b ledger.Batch) error {
	g.first.Do(func() { close(g.begun) })
	<-g.open
	err := g.memoryStore.Append(ctx, b)
	if len(b.Records) > 0 && b.Records[0].Key == servingKey {
		g.firstServing.Do(func() { close(g.serving) })
	}
	return err
}

// TestRenewalsProveNothingBeforeClaimIsKnown guards against an owner that renews leases for good after a takeover by a node that
// had looked for the recorded owner before this owner's claim was recorded.
func TestRenewalsProveNothingBeforeClaimIsKnown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newMemoryStore()
		former := &gatedStore{memoryStore: store, begun: make(chan struct{}), serving: make(chan struct{})}
		next := &gatedStore{memoryStore: store, begun: make(chan struct{}), serving: make(chan struct{})}
		former.open, next.open = next.begun, former.serving
		first := startNode(former, "n1")
		<-former.begun
		second := startNode(next, "n0")
		<-next.serving
		time.Sleep(testRenewLimit + time.Second)
		if ow := first.owner.current(); ow != nil {
			ow.mu.Lock()
			valid := !ow.fenced && ow.permission.valid(testUptime())
			ow.mu.Unlock()
			assert.Check(t, !valid, "the former owner still renews leases")
		}
		assert.Check(t, second.serves())
		first.stop()
		second.stop()
	})
}
