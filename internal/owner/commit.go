package owner

import (
	"context"
	"errors"
	"strconv"
	"time"

	"go.uber.org/zap"

	"arbutuswing.example/internal/intake"
	"arbutuswing.example/internal/ledger"
	"arbutuswing.example/internal/model"
	"arbutuswing.example/internal/pause"
	"arbutuswing.example/internal/shard"
	"arbutuswing.example/internal/work"
)

// runCommits records decisions, one append at a time.
func (ow *ownership) runCommits(ctx context.Context) {
	defer ow.group.Done()
	for ctx.Err() == nil {
		ow.step(Step{Name: "take commit"})
		ow.mu.Lock()
		commit := ow.shard.TakeCommit(ow.now())
		ow.mu.Unlock()
		if commit.Empty() {
			select {
			case <-ctx.Done():
			case <-ow.commitSignal:
				pause.For(ctx, batchDelay)
			}
			continue
		}
		if err := ow.commit(ctx, commit); err != nil {
			ow.cfg.Log.Info("commits stopped", zap.Int64("epoch", ow.epoch), zap.Error(err))
			return
		}
		ow.step(Step{Name: "mark committed"})
		ow.mu.Lock()
		ow.shard.MarkCommitted(commit.Number)
		ow.mu.Unlock()
		ow.signalDecide()
	}
}

func (ow *ownership) commit(ctx context.Context, c shard.Commit) error {
	var records []ledger.Record
	size := 0
	for _, p := range c.Progress {
		record, err := ow.progressRecord(p)
		if err != nil {
			ow.cfg.Log.Error("encoding progress failed", zap.String("job", p.ID), zap.Error(err))
			return err
		}
		if size += record.Size(); size > maxCommitBytes {
			if err := ow.append(ctx, TopicProgress, records); err != nil {
				return err
			}
			records, size = nil, record.Size()
		}
		records = append(records, record)
	}
	for _, id := range c.Expired {
		records = append(records, ledger.Record{Key: id})
	}
	if len(records) > 0 {
		if err := ow.append(ctx, TopicProgress, records); err != nil {
			return err
		}
	}
	if len(c.Dropped) > 0 {
		if err := ctx.Err(); err != nil {
			return err
		}
		select {
		case ow.deletions <- c.Dropped:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return nil
}

// progressRecord returns the stored form of a progress record, without a value if it is to be deleted. A record over the
// store's limit loses its checkpoints: its tasks may run again from their beginning, but the store accepts it.
func (ow *ownership) progressRecord(p shard.JobProgress) (ledger.Record, error) {
	record := ledger.Record{Key: work.ProgressKey(model.JobID(p.ID), p.Part)}
	if p.Deleted() {
		return record, nil
	}
	var err error
	if record.Value, err = p.Progress.Encode(); err != nil || record.Size() <= ledger.MaxRecordBytes {
		return record, err
	}
	ow.cfg.Log.Warn("progress over the store's limit, checkpoints left out", zap.String("job", p.ID), zap.Int("part", p.Part),
		zap.Int("bytes", record.Size()))
	record.Value, err = p.Progress.WithoutCheckpoints().Encode()
	return record, err
}

// runDeletions deletes submissions that are no longer needed, without delaying the commits.
func (ow *ownership) runDeletions(ctx context.Context) {
	defer ow.group.Done()
	for {
		select {
		case <-ctx.Done():
			return
		case ids := <-ow.deletions:
			if ctx.Err() != nil {
				return
			}
			var records []ledger.Record
			for _, id := range ids {
				for _, key := range intake.RecordKeys(id) {
					records = append(records, ledger.Record{Key: key})
				}
			}
			if err := ow.append(ctx, TopicInbox, records); err != nil {
				ow.cfg.Log.Info("deleting submissions failed", zap.Int("jobs", len(ids)), zap.Error(err))
				return
			}
			ow.step(Step{Name: "mark dropped"})
			ow.mu.Lock()
			ow.shard.MarkDropped(ids)
			ow.mu.Unlock()
		}
	}
}

// nextSequence returns the sequence number of an append to the topic. An append without records has one of its own too, so that the
// store can't answer it with what it said to an earlier one; the others follow them, and the first may have any.
func (ow *ownership) nextSequence(topic ledger.Topic) int64 {
	ow.sequenceMu.Lock()
	defer ow.sequenceMu.Unlock()
	ow.sequence[topic]++
	return ow.firstSequence + ow.sequence[topic]
}

// runServing records that this node serves, so that other nodes call it, and repeats the record to prove the ownership while
// nothing else does. That ends an ownership without other records to write when a newer owner exists.
func (ow *ownership) runServing(ctx context.Context) {
	defer ow.group.Done()
	serving := []ledger.Record{
		{Key: servingKey, Value: []byte(memberOf(ow.cfg.Self).String())},
		{Key: strengthKey, Value: []byte(strconv.FormatFloat(ow.cfg.Self.Strength, 'g', -1, 64))},
	}
	if err := ow.append(ctx, TopicOwner, serving); err != nil {
		return
	}
	ticker := time.NewTicker(proofCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		ow.step(Step{Name: "prove ownership"})
		ow.mu.Lock()
		needed := ow.permission.needsProof(ow.cfg.Uptime())
		ow.mu.Unlock()
		if !needed {
			continue
		}
		if err := ow.appendEvery(ctx, proofRetryDelay, TopicOwner, serving); err != nil {
			return
		}
	}
}

// append appends records under the ownership's epoch and repeats the append until its outcome is known. Without records it
// only fences former owners. An accepted append proves the ownership.
func (ow *ownership) append(ctx context.Context, topic ledger.Topic, records []ledger.Record) error {
	return ow.appendEvery(ctx, storeRetryDelay, topic, records)
}

// appendEvery does the same as append, with a pause of its own before each repeat.
func (ow *ownership) appendEvery(ctx context.Context, retryDelay time.Duration, topic ledger.Topic, records []ledger.Record) error {
	batch := ledger.Batch{
		Topic: topic, Partition: Partition, Producer: producer, Epoch: ow.epoch,
		Sequence: ow.nextSequence(topic), Records: records,
	}
	logged, unanswered, begun := false, false, time.Duration(0)
	for {
		// A repeat may get the answer to an earlier try, so it proves no more than that one.
		if !unanswered {
			begun = ow.cfg.Uptime()
		}
		ow.step(Step{Name: "append", Topic: topic})
		err := ow.cfg.Store.Append(ctx, batch)
		ow.step(Step{Name: "handle append", Topic: topic})
		unanswered = unanswered || errors.Is(err, ledger.ErrNoAnswer)
		switch {
		case err == nil:
			ow.noteAppend(begun)
			return nil
		case ctx.Err() != nil:
			return context.Cause(ctx)
		case errors.Is(err, ledger.ErrRefused), errors.Is(err, ledger.ErrNoAnswer):
			if !logged {
				logged = true
				ow.cfg.Log.Info("append repeated", zap.String("topic", string(topic)), zap.Error(err))
			}
			pause.For(ctx, retryDelay)
		case errors.Is(err, ledger.ErrFenced):
			ow.fence("the store")
			return err
		default:
			ow.cfg.Log.Error("append failed", zap.String("topic", string(topic)), zap.Error(err))
			ow.fence("an unexpected answer of the store")
			return err
		}
	}
}
