package owner

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"arbutuswing.example/internal/intake"
	"arbutuswing.example/internal/ledger"
	"arbutuswing.example/internal/model"
	"arbutuswing.example/internal/pause"
	"arbutuswing.example/internal/shard"
	"arbutuswing.example/internal/work"
)

// errStuck reports that a takeover can't finish because the store leaves its calls unanswered or refuses them.
var errStuck = errors.New("takeover can't finish")

// takeoverLimit returns how long a takeover tries to fence other owners, or to read a topic, before it is given up. By then
// each lease of the former owner has ended, so that nothing runs which another node's takeover, begun anew, could lose.
func (ow *ownership) takeoverLimit() time.Duration {
	return ow.cfg.Shard.RenewLimit + ow.cfg.Shard.MaxLease
}

// runRegistry follows the workers' registry entries.
func (ow *ownership) runRegistry(ctx context.Context) {
	defer ow.group.Done()
	if err := ow.cfg.Registry(RegistryEvents{Changed: ow.setRegistry, Read: ow.noteRegistryRead}).Run(ctx); err != nil {
		ow.cfg.Log.Error("following the registry failed", zap.Error(err))
	}
}

// takeOver fences the former owner in the store and restores what it recorded, unless a newer owner has fenced this one by then. It
// returns the inbox offset at which new jobs begin.
func (ow *ownership) takeOver(ctx context.Context) (int64, error) {
	begun := time.Now()
	self := []byte(memberOf(ow.cfg.Self).String())
	// Calls are made concurrently, because each takes long while the store is slow. The jobs are read only after the former owner
	// has been fenced on the progress too: until then it takes new jobs and records runs of theirs.
	var progress, inbox ledger.Page
	var inboxRead time.Duration
	progressFenced := make(chan struct{})
	group, groupCtx := errgroup.WithContext(ctx)
	fenceCtx, cancel := context.WithTimeoutCause(groupCtx, ow.takeoverLimit(), errStuck)
	defer cancel()
	group.Go(func() error {
		return ow.append(fenceCtx, TopicOwner, []ledger.Record{{Key: claimantKey, Value: self}})
	})
	group.Go(func() (err error) {
		if err = ow.append(fenceCtx, TopicProgress, nil); err != nil {
			return err
		}
		close(progressFenced)
		progress, err = ow.newest(groupCtx, TopicProgress)
		return err
	})
	group.Go(func() (err error) {
		if err = ow.append(fenceCtx, TopicInbox, nil); err != nil {
			return err
		}
		select {
		case <-progressFenced:
		case <-groupCtx.Done():
			return groupCtx.Err()
		}
		inboxRead = ow.cfg.Uptime()
		inbox, err = ow.newest(groupCtx, TopicInbox)
		return err
	})
	group.Go(func() error { return ow.waitForInputs(groupCtx) })
	if err := group.Wait(); err != nil {
		return 0, err
	}
	restored := ow.recordedProgress(progress)
	ow.addJobs(&restored, inbox)
	if ids := progressWithoutJob(restored); len(ids) > 0 {
		// A job is stored before its progress, so that the read has missed it. If it can't be found, it must not run again.
		ow.cfg.Log.Warn("progress without a job, reading the jobs again", zap.Int("jobs", len(ids)))
		inboxRead = ow.cfg.Uptime()
		var err error
		if inbox, err = ow.newest(ctx, TopicInbox); err != nil {
			return 0, err
		}
		ow.addJobs(&restored, inbox)
		restored.Unreadable = append(restored.Unreadable, progressWithoutJob(restored)...)
	}
	if err := ow.proveReads(ctx); err != nil {
		return 0, err
	}
	ow.step(Step{Name: "restore"})
	ow.mu.Lock()
	// It may have changed during the takeover. A change after this read waits for the lock.
	if current, ok := ow.cfg.Configuration(); ok {
		ow.shard.SetConfiguration(current)
	}
	ow.shard.Restore(restored, ow.now(), time.Now())
	ow.shard.SetRegistry(ow.entries)
	ow.restored, ow.inboxRead = true, inboxRead
	ow.mu.Unlock()
	takeoverSeconds.UpdateDuration(begun)
	ow.cfg.Log.Info("takeover done", zap.Int64("epoch", ow.epoch), zap.Int("jobs", len(restored.Jobs)),
		zap.Int("progress", len(restored.Progress)), zap.Duration("took", time.Since(begun)))
	return inbox.Next, nil
}

// proveReads proves that no newer owner had written to the topics that a takeover reads when it had read them. Otherwise it may have
// read the records of a job as they were at different times.
func (ow *ownership) proveReads(ctx context.Context) error {
	group, groupCtx := errgroup.WithContext(ctx)
	fenceCtx, cancel := context.WithTimeoutCause(groupCtx, ow.takeoverLimit(), errStuck)
	defer cancel()
	for _, topic := range []ledger.Topic{TopicProgress, TopicInbox} {
		group.Go(func() error { return ow.append(fenceCtx, topic, nil) })
	}
	return group.Wait()
}

// recordedProgress returns the progress that a former owner recorded.
func (ow *ownership) recordedProgress(page ledger.Page) shard.RecordedState {
	restored := shard.RecordedState{Progress: make(map[model.JobID]work.Progress, len(page.Records))}
	for _, r := range page.Records {
		id, _, err := work.ParseProgressKey(r.Key)
		if err != nil {
			ow.cfg.Log.Warn("progress record with unknown key", zap.Error(err))
			unreadableRecords.Inc()
			continue
		}
		p, err := work.DecodeProgress(r.Value)
		if err != nil {
			ow.cfg.Log.Error("decoding progress failed, job is held", zap.String("job", r.Key), zap.Error(err))
			unreadableRecords.Inc()
			restored.Unreadable = append(restored.Unreadable, id)
			continue
		}
		restored.Progress[id] = restored.Progress[id].Join(p)
	}
	return restored
}

// addJobs replaces the jobs and cancellations by those of a read of the inbox.
func (ow *ownership) addJobs(restored *shard.RecordedState, page ledger.Page) {
	restored.Jobs, restored.Cancelled = nil, nil
	for _, r := range page.Records {
		ow.dispatchRecord(r, inboxHandler{
			submit: func(j work.Job) { restored.Jobs = append(restored.Jobs, j) },
			cancel: func(id model.JobID) { restored.Cancelled = append(restored.Cancelled, id) },
			hold:   func(id model.JobID) { restored.Unreadable = append(restored.Unreadable, id) },
		})
	}
}

// progressWithoutJob returns the jobs that have progress, but no final state, submission or unreadable record.
func progressWithoutJob(restored shard.RecordedState) []model.JobID {
	known := make(map[model.JobID]bool, len(restored.Jobs))
	for _, job := range restored.Jobs {
		known[job.ID] = true
	}
	for _, id := range restored.Unreadable {
		known[id] = true
	}
	var ids []model.JobID
	for _, id := range slices.Sorted(maps.Keys(restored.Progress)) {
		if restored.Progress[id].Final == "" && !known[id] {
			ids = append(ids, id)
		}
	}
	return ids
}

// waitForInputs waits until the configuration and the workers' registry have been read.
func (ow *ownership) waitForInputs(ctx context.Context) error {
	for {
		_, ok := ow.cfg.Configuration()
		ow.mu.Lock()
		entriesKnown := ow.entriesKnown
		ow.mu.Unlock()
		if ok && entriesKnown {
			return nil
		}
		pause.For(ctx, batchDelay)
		if ctx.Err() != nil {
			return ctx.Err()
		}
	}
}

// newest reads the newest records of a topic and repeats the call until the store answers. It returns errStuck if that takes longer
// than the limit of a takeover, but doesn't interrupt a call, because many records take long over a slow link.
func (ow *ownership) newest(ctx context.Context, topic ledger.Topic) (ledger.Page, error) {
	for begun := time.Now(); ; {
		ow.step(Step{Name: "read newest", Topic: topic})
		page, err := ow.cfg.Store.Newest(ctx, topic, Partition)
		ow.step(Step{Name: "handle newest", Topic: topic})
		switch {
		case err == nil || ctx.Err() != nil:
			return page, err
		case time.Since(begun) > ow.takeoverLimit():
			return page, fmt.Errorf("%w: reading %s: %w", errStuck, topic, err)
		}
		ow.cfg.Log.Info("reading newest records failed", zap.String("topic", string(topic)), zap.Error(err))
		pause.For(ctx, storeRetryDelay)
	}
}

// inboxHandler handles the records of the inbox.
type inboxHandler struct {
	submit func(work.Job)
	cancel func(model.JobID)
	// hold is called for a job whose record can't be decoded.
	hold func(model.JobID)
}

// dispatchRecord decodes a record of the inbox and passes it to the handler. It skips deleted records and those with an
// unknown key.
func (ow *ownership) dispatchRecord(r ledger.Record, h inboxHandler) {
	id, cancelled, ok := intake.ParseRecordKey(r.Key)
	switch {
	case !ok:
		ow.cfg.Log.Warn("record with unknown key", zap.String("key", r.Key))
	case len(r.Value) == 0:
	case cancelled:
		h.cancel(id)
	default:
		job, err := work.DecodeJob(r.Value)
		if err == nil && job.ID != id {
			err = fmt.Errorf("%w: record of job %s is about %s", work.ErrInvalidJob, id, job.ID)
		}
		if err != nil {
			ow.cfg.Log.Error("decoding job failed, job is held", zap.String("job", string(id)), zap.Error(err))
			unreadableRecords.Inc()
			h.hold(id)
			return
		}
		h.submit(job)
	}
}
