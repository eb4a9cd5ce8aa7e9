package owner

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"arbutuswing.example/internal/intake"
	"arbutuswing.example/internal/ledger"
	"arbutuswing.example/internal/model"
	"arbutuswing.example/internal/pause"
	"arbutuswing.example/internal/peers"
	"arbutuswing.example/internal/work"
)

// pagedStore is a store that holds records of jobs and answers each read with one of them, after a while.
type pagedStore struct {
	*memoryStore
	records []ledger.Record
	latency time.Duration
}

func (p *pagedStore) Read(
	ctx context.Context, topic ledger.Topic, partition int, from int64, wait time.Duration,
) (ledger.Page, error) {
	pause.For(ctx, p.latency)
	if from >= int64(len(p.records)) {
		return p.memoryStore.Read(ctx, topic, partition, from, wait)
	}
	return ledger.Page{Records: p.records[from : from+1], Next: from + 1, More: from+1 < int64(len(p.records))}, nil
}

// TestBacklogDeniesNoJob guards against an owner that says that a job doesn't exist, or leaves it out of the count, because it has
// read only a part of the jobs that were stored before.
func TestBacklogDeniesNoJob(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &pagedStore{memoryStore: newMemoryStore(), latency: 100 * time.Millisecond}
		var last work.Job
		for i := range 10 {
			last = work.Job{ID: model.JobID(fmt.Sprint(i)), Queue: testQueue, Team: "north", Accepted: time.Now(), Stages: []work.Stage{
				{Count: 1, Size: model.Resources{Cores: 1}, RunTime: model.Duration(time.Second)},
			}}
			value, err := last.Encode()
			assert.NilError(t, err)
			store.records = append(store.records, ledger.Record{Key: intake.RecordKeys(string(last.ID))[0], Value: value})
		}
		ow := newOwnership(Config{Store: store, Log: zap.NewNop(), Shard: testShard, Uptime: testUptime}, 1, nil)
		ow.restored, ow.inboxRead = true, testUptime()-time.Minute
		ctx, cancel := context.WithCancel(t.Context())
		ow.group.Add(1)
		go ow.runInbox(ctx, 0)
		for range len(store.records) - 1 {
			time.Sleep(store.latency)
			_, err := ow.state(last.ID)
			assert.ErrorIs(t, err, peers.ErrNotOwner)
			_, err = ow.pending(testQueue)
			assert.ErrorIs(t, err, peers.ErrNotOwner)
		}
		time.Sleep(2 * store.latency)
		state, err := ow.state(last.ID)
		assert.NilError(t, err)
		assert.Equal(t, state, work.StateQueued)
		pending, err := ow.pending(testQueue)
		assert.NilError(t, err)
		assert.Equal(t, pending, len(store.records))
		_, err = ow.state("never-submitted")
		assert.ErrorIs(t, err, peers.ErrUnknownJob)
		cancel()
		ow.group.Wait()
	})
}

// TestIdleOwnerAnswers guards against an owner without new jobs that answers as if it weren't the owner, because it waits for new jobs
// for longer than it trusts the last read.
func TestIdleOwnerAnswers(t *testing.T) {
	for _, latency := range []time.Duration{time.Millisecond, 40 * time.Millisecond, 400 * time.Millisecond} {
		t.Run(latency.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store := &pagedStore{memoryStore: newMemoryStore(), latency: latency}
				ow := newOwnership(Config{Store: store, Log: zap.NewNop(), Shard: testShard, Uptime: testUptime}, 1, nil)
				ow.restored, ow.inboxRead = true, testUptime()
				ctx, cancel := context.WithCancel(t.Context())
				ow.group.Add(1)
				go ow.runInbox(ctx, 0)
				for begun := time.Now(); time.Since(begun) < 10*time.Second; time.Sleep(time.Millisecond) {
					_, err := ow.state("never-submitted")
					assert.ErrorIs(t, err, peers.ErrUnknownJob)
					_, err = ow.pending(testQueue)
					assert.NilError(t, err)
				}
				cancel()
				ow.group.Wait()
			})
		})
	}
}
