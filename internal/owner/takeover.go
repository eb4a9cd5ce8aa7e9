package owner

import (
	"context"
	"strconv"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"arbutuswing.example/internal/intake"
	"arbutuswing.example/internal/ledger"
	"arbutuswing.example/internal/model"
	"arbutuswing.example/internal/pause"
	"arbutuswing.example/internal/shard"
	"arbutuswing.example/internal/terms"
	"arbutuswing.example/internal/work"
)

// runRegistry follows the workers' entries.
func (t *tenure) runRegistry(ctx context.Context) {
	defer t.group.Done()
	if err := t.cfg.Registry(t.setRegistry).Run(ctx); err != nil {
		t.cfg.Log.Error("registry not followed", zap.Error(err))
	}
}

// takeOver fences the former owner in the store and reads what it recorded; it returns where new jobs begin.
func (t *tenure) takeOver(ctx context.Context) (int64, error) {
	begun := time.Now()
	self := []byte(memberOf(t.cfg.Self).String())
	// Nothing is read before the former owner is fenced on the topic; the topics don't depend on each other, and each call
	// takes long while the store is slow.
	var progress, inbox ledger.Page
	var current terms.Terms
	group, groupCtx := errgroup.WithContext(ctx)
	group.Go(func() error {
		return t.append(groupCtx, TopicOwner, []ledger.Record{{Key: ownerKey, Value: self}})
	})
	group.Go(func() (err error) {
		progress, err = t.fenceAndRead(groupCtx, TopicProgress)
		return err
	})
	group.Go(func() (err error) {
		inbox, err = t.fenceAndRead(groupCtx, TopicInbox)
		return err
	})
	group.Go(func() (err error) {
		current, err = t.surroundings(groupCtx)
		return err
	})
	if err := group.Wait(); err != nil {
		return 0, err
	}
	restored := shard.Restored{Progress: make(map[model.JobID]work.Progress, len(progress.Records))}
	for _, r := range progress.Records {
		p, err := work.DecodeProgress(r.Value)
		if err != nil {
			t.cfg.Log.Error("progress not readable", zap.String("job", r.Key), zap.Error(err))
			continue
		}
		restored.Progress[model.JobID(r.Key)] = p
	}
	for _, r := range inbox.Records {
		t.sortRecord(r, func(j work.Job) { restored.Jobs = append(restored.Jobs, j) },
			func(id model.JobID) { restored.Cancelled = append(restored.Cancelled, id) })
	}
	t.mu.Lock()
	t.shard.SetTerms(current)
	t.shard.Restore(restored, t.now(), time.Now())
	t.shard.Registry(t.entries)
	t.restored, t.inboxRead = true, time.Now()
	t.mu.Unlock()
	takeoverTime.UpdateDuration(begun)
	t.cfg.Log.Info("takeover done", zap.Int64("epoch", t.epoch), zap.Int("jobs", len(restored.Jobs)),
		zap.Int("progress", len(restored.Progress)), zap.Duration("took", time.Since(begun)))
	// Only now do other nodes learn whom to ask.
	strength := strconv.FormatFloat(t.cfg.Self.Strength, 'g', -1, 64)
	return inbox.Next, t.append(ctx, TopicOwner, []ledger.Record{
		{Key: servingKey, Value: self}, {Key: strengthKey, Value: []byte(strength)},
	})
}

// surroundings waits until the configuration and the registry have been read.
func (t *tenure) surroundings(ctx context.Context) (terms.Terms, error) {
	for {
		current, ok := t.cfg.Terms()
		t.mu.Lock()
		listed := t.listed
		t.mu.Unlock()
		if ok && listed {
			return current, nil
		}
		pause.For(ctx, settle)
		if ctx.Err() != nil {
			return terms.Terms{}, ctx.Err()
		}
	}
}

// fenceAndRead fences the former owner on a topic and reads the newest records.
func (t *tenure) fenceAndRead(ctx context.Context, topic ledger.Topic) (ledger.Page, error) {
	if err := t.append(ctx, topic, nil); err != nil {
		return ledger.Page{}, err
	}
	return t.newest(ctx, topic)
}

func (t *tenure) newest(ctx context.Context, topic ledger.Topic) (ledger.Page, error) {
	for {
		page, err := t.cfg.Store.Newest(ctx, topic, Partition)
		if err == nil || ctx.Err() != nil {
			return page, err
		}
		t.cfg.Log.Info("newest records not read", zap.String("topic", string(topic)), zap.Error(err))
		pause.For(ctx, retryStore)
	}
}

func (t *tenure) sortRecord(r ledger.Record, submit func(work.Job), cancel func(model.JobID)) {
	id, cancelled, ok := intake.ParseRecordKey(r.Key)
	switch {
	case !ok:
		t.cfg.Log.Warn("unknown record", zap.String("key", r.Key))
	case len(r.Value) == 0:
	case cancelled:
		cancel(id)
	default:
		job, err := work.DecodeJob(r.Value)
		if err != nil {
			t.cfg.Log.Error("job not readable", zap.String("job", string(id)), zap.Error(err))
			return
		}
		submit(job)
	}
}
