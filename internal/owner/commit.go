package owner

import (
	"context"
	"errors"
	"time"

	"go.uber.org/zap"

	"arbutuswing.example/internal/intake"
	"arbutuswing.example/internal/ledger"
	"arbutuswing.example/internal/pause"
	"arbutuswing.example/internal/shard"
)

// runCommits records what was decided, one append after the other.
func (t *tenure) runCommits(ctx context.Context) {
	defer t.group.Done()
	for ctx.Err() == nil {
		t.mu.Lock()
		commit := t.shard.TakeCommit(t.now())
		t.mu.Unlock()
		if commit.Empty() {
			select {
			case <-ctx.Done():
			case <-t.changed:
				pause.For(ctx, settle)
			}
			continue
		}
		if err := t.commit(ctx, commit); err != nil {
			t.cfg.Log.Info("commit ended", zap.Int64("epoch", t.epoch), zap.Error(err))
			return
		}
		t.mu.Lock()
		t.shard.Committed(commit.Batch)
		t.contact = time.Now()
		t.mu.Unlock()
		t.kick()
	}
}

func (t *tenure) commit(ctx context.Context, c shard.Commit) error {
	var records []ledger.Record
	size := 0
	for _, p := range c.Progress {
		value, err := p.Progress.Encode()
		if err != nil {
			t.cfg.Log.Error("progress not encoded", zap.String("job", p.ID), zap.Error(err))
			return err
		}
		if size += len(value); size > maxCommitBytes {
			if err := t.append(ctx, TopicProgress, records); err != nil {
				return err
			}
			records, size = nil, len(value)
		}
		records = append(records, ledger.Record{Key: p.ID, Value: value})
	}
	for _, id := range c.Expired {
		records = append(records, ledger.Record{Key: id})
	}
	if len(records) > 0 {
		if err := t.append(ctx, TopicProgress, records); err != nil {
			return err
		}
	}
	if len(c.Dropped) > 0 {
		select {
		case t.drops <- c.Dropped:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return nil
}

// runDrops drops submissions that need no longer be kept; no commit waits for that.
func (t *tenure) runDrops(ctx context.Context) {
	defer t.group.Done()
	for {
		select {
		case <-ctx.Done():
			return
		case ids := <-t.drops:
			var records []ledger.Record
			for _, id := range ids {
				for _, key := range intake.RecordKeys(id) {
					records = append(records, ledger.Record{Key: key})
				}
			}
			if err := t.append(ctx, TopicInbox, records); err != nil {
				t.cfg.Log.Info("submissions not dropped", zap.Int("jobs", len(ids)), zap.Error(err))
				return
			}
		}
	}
}

func (t *tenure) nextSequence(topic ledger.Topic, records bool) int64 {
	t.sequenceMu.Lock()
	defer t.sequenceMu.Unlock()
	if records {
		t.sequence[topic]++
	}
	return t.sequence[topic]
}

// append appends under the owner's epoch and repeats the append until its outcome is known. Without records it only
// fences former owners.
func (t *tenure) append(ctx context.Context, topic ledger.Topic, records []ledger.Record) error {
	batch := ledger.Batch{
		Topic: topic, Partition: Partition, Producer: producer, Epoch: t.epoch, Sequence: t.nextSequence(topic, len(records) > 0),
		Records: records,
	}
	logged := false
	for {
		err := t.cfg.Store.Append(ctx, batch)
		switch {
		case err == nil:
			return nil
		case ctx.Err() != nil:
			return ctx.Err()
		case errors.Is(err, ledger.ErrRefused), errors.Is(err, ledger.ErrNoAnswer):
			if !logged {
				logged = true
				t.cfg.Log.Info("append repeated", zap.String("topic", string(topic)), zap.Error(err))
			}
			pause.For(ctx, retryStore)
		case errors.Is(err, ledger.ErrFenced):
			t.fence("the store")
			return err
		default:
			t.cfg.Log.Error("append failed", zap.String("topic", string(topic)), zap.Error(err))
			t.fence("an unexpected answer of the store")
			return err
		}
	}
}
