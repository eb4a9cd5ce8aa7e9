package owner

import (
	"context"
	"errors"
	"sync"
	"time"

	"go.uber.org/zap"

	"arbutuswing.example/internal/agent"
	"arbutuswing.example/internal/intake"
	"arbutuswing.example/internal/ledger"
	"arbutuswing.example/internal/model"
	"arbutuswing.example/internal/peers"
	"arbutuswing.example/internal/shard"
	"arbutuswing.example/internal/terms"
	"arbutuswing.example/internal/work"
)

const (
	// producer names the owner in the store; its epoch is the generation of the ownership.
	producer = "owner"
	// tickEvery is how often the passing of time is applied.
	tickEvery = 50 * time.Millisecond
	// loadEvery is the interval between lines that sum up the load.
	loadEvery = time.Second
	// settle gathers what happens at the same time before the next decision.
	settle = 3 * time.Millisecond
	// readWait is how long a read of new jobs waits.
	readWait = time.Second
	// freshFor is the age of the last read of new jobs up to which a job that isn't known counts as not submitted.
	freshFor = 2 * time.Second
	// retryStore is the pause after a call of the store that failed.
	retryStore = 80 * time.Millisecond
	// dropsWaiting bounds the lists of submissions that wait to be dropped; one comes a second.
	dropsWaiting = 64
	// maxCommitBytes stays below what the store takes in one call.
	maxCommitBytes = 1 << 20
)

// tenure is one ownership, from its epoch to the next owner's.
type tenure struct {
	cfg   Config
	epoch int64
	start time.Time
	// wake and changed tell the deciding and the recording loop that something has happened.
	wake    chan struct{}
	changed chan struct{}
	done    chan struct{}
	once    sync.Once

	mu sync.Mutex
	// restored tells that the former owner's state has been taken over; before, the node can't answer for jobs.
	restored bool
	fenced   bool
	shard    *shard.Shard
	links    map[model.WorkerID]*link
	// entries are the workers' entries, once listed is set.
	entries []agent.Entry
	listed  bool
	// contact is the last answer of the store, inboxRead the last complete read of new jobs.
	contact   time.Time
	inboxRead time.Time

	// sequence counts the appends to each topic; only one append to a topic is under way.
	sequenceMu sync.Mutex
	sequence   map[ledger.Topic]int64
	drops      chan []string
	asks       *asks
	group      sync.WaitGroup
}

func newTenure(cfg Config, epoch int64) *tenure {
	t := &tenure{
		cfg: cfg, epoch: epoch, start: time.Now(), wake: make(chan struct{}, 1), changed: make(chan struct{}, 1),
		done:  make(chan struct{}),
		links: make(map[model.WorkerID]*link), contact: time.Now(), sequence: make(map[ledger.Topic]int64),
		drops: make(chan []string, dropsWaiting),
	}
	shardCfg := cfg.Shard
	shardCfg.Token = epoch
	shardCfg.Events = t.event
	t.shard = shard.New(shardCfg)
	t.asks = newAsks(t)
	return t
}

func (t *tenure) event(e shard.Event) {
	fields := []zap.Field{zap.Int64("epoch", t.epoch)}
	for _, f := range []struct{ key, value string }{{"job", e.Job}, {"task", e.Task}, {"worker", e.Worker}, {"detail", e.Detail}} {
		if f.value != "" {
			fields = append(fields, zap.String(f.key, f.value))
		}
	}
	t.cfg.Log.Info(e.Name, append(fields, zap.Int64("value", e.Value))...)
}

func (t *tenure) now() time.Duration { return time.Since(t.start) }

func (t *tenure) kick() {
	select {
	case t.wake <- struct{}{}:
	default:
	}
}

func (t *tenure) kickCommit() {
	select {
	case t.changed <- struct{}{}:
	default:
	}
}

func (t *tenure) stop() {
	t.once.Do(func() { close(t.done) })
	t.mu.Lock()
	defer t.mu.Unlock()
	t.shard.Stop()
}

func (t *tenure) ended() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.fenced
}

// fence ends the ownership because a newer one exists.
func (t *tenure) fence(by string) {
	t.mu.Lock()
	t.fenced = true
	t.mu.Unlock()
	t.cfg.Log.Info("ownership fenced", zap.Int64("epoch", t.epoch), zap.String("by", by))
	t.stop()
}

func (t *tenure) touched() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.contact = time.Now()
}

func (t *tenure) setTerms(terms terms.Terms) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.shard.SetTerms(terms)
	t.kick()
}

// setRegistry takes the workers' entries over, or keeps them until the former owner's state has been read.
func (t *tenure) setRegistry(entries []agent.Entry) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.entries, t.listed = entries, true
	if t.restored {
		t.shard.Registry(entries)
		t.kick()
	}
}

func (t *tenure) state(id model.JobID) (work.State, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.restored || t.fenced {
		return "", peers.ErrNotOwner
	}
	if state, ok := t.shard.State(id); ok {
		return state, nil
	}
	if time.Since(t.inboxRead) > freshFor {
		return "", peers.ErrNotOwner
	}
	return "", peers.ErrUnknownJob
}

// submit takes a stored job in before it has been read.
func (t *tenure) submit(job work.Job) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.restored || t.fenced {
		return peers.ErrNotOwner
	}
	t.shard.Submit(job, t.now())
	t.kick()
	return nil
}

func (t *tenure) pending(queue string) (int, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.restored || t.fenced || time.Since(t.inboxRead) > freshFor {
		return 0, peers.ErrNotOwner
	}
	return t.shard.Pending(queue), nil
}

// run takes the former owner's state over and carries out decisions until the ownership ends.
func (t *tenure) run(parent context.Context) {
	ctx, cancel := context.WithCancel(parent)
	defer cancel()
	go t.runCancel(ctx, cancel)
	t.group.Add(1)
	go t.runRegistry(ctx)
	next, err := t.takeOver(ctx)
	if err != nil {
		cancel()
		t.group.Wait()
		t.cfg.Log.Info("takeover ended", zap.Int64("epoch", t.epoch), zap.Error(err))
		return
	}
	t.group.Add(3)
	go t.runDrops(ctx)
	go t.runInbox(ctx, next)
	go t.runCommits(ctx)
	t.loop(ctx)
	cancel()
	t.group.Wait()
}

// runCancel ends the context with the ownership.
func (t *tenure) runCancel(ctx context.Context, cancel context.CancelFunc) {
	select {
	case <-t.done:
	case <-ctx.Done():
	}
	cancel()
}

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
	for _, topic := range []ledger.Topic{TopicProgress, TopicInbox} {
		if err := t.append(ctx, topic, nil); err != nil {
			return 0, err
		}
	}
	self := ledger.Record{Key: ownerKey, Value: []byte(t.cfg.Self.String())}
	if err := t.append(ctx, TopicOwner, []ledger.Record{self}); err != nil {
		return 0, err
	}
	progress, err := t.newest(ctx, TopicProgress)
	if err != nil {
		return 0, err
	}
	inbox, err := t.newest(ctx, TopicInbox)
	if err != nil {
		return 0, err
	}
	current, err := t.surroundings(ctx)
	if err != nil {
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
	defer t.mu.Unlock()
	t.shard.SetTerms(current)
	t.shard.Restore(restored, t.now(), time.Now())
	t.shard.Registry(t.entries)
	t.restored, t.inboxRead = true, time.Now()
	t.cfg.Log.Info("takeover done", zap.Int64("epoch", t.epoch), zap.Int("jobs", len(restored.Jobs)),
		zap.Int("progress", len(restored.Progress)), zap.Duration("took", time.Since(begun)))
	return inbox.Next, nil
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
		sleep(ctx, settle)
		if ctx.Err() != nil {
			return terms.Terms{}, ctx.Err()
		}
	}
}

func (t *tenure) newest(ctx context.Context, topic ledger.Topic) (ledger.Page, error) {
	for {
		page, err := t.cfg.Ledger.Newest(ctx, topic, Partition)
		if err == nil || ctx.Err() != nil {
			return page, err
		}
		t.cfg.Log.Info("newest records not read", zap.String("topic", string(topic)), zap.Error(err))
		sleep(ctx, retryStore)
	}
}

func (t *tenure) sortRecord(r ledger.Record, submit func(work.Job), cancel func(model.JobID)) {
	id, cancelled, ok := intake.ParseKey(r.Key)
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

// runInbox reads new jobs and cancellations.
func (t *tenure) runInbox(ctx context.Context, next int64) {
	defer t.group.Done()
	for ctx.Err() == nil {
		begun := time.Now()
		page, err := t.cfg.Ledger.Read(ctx, TopicInbox, Partition, next, readWait)
		if errors.Is(err, ledger.ErrTrimmed) {
			page, err = t.newest(ctx, TopicInbox)
		}
		if err != nil {
			t.cfg.Log.Info("new jobs not read", zap.Error(err))
			sleep(ctx, retryStore)
			continue
		}
		next = page.Next
		t.mu.Lock()
		t.contact, t.inboxRead = time.Now(), begun
		now := t.now()
		for _, r := range page.Records {
			t.sortRecord(r, func(j work.Job) { t.shard.Submit(j, now) }, func(id model.JobID) { t.shard.Cancel(id, now) })
		}
		t.mu.Unlock()
		if len(page.Records) > 0 {
			t.kick()
		}
	}
}

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
				sleep(ctx, settle)
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
				for _, key := range intake.Keys(id) {
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
		err := t.cfg.Ledger.Append(ctx, batch)
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
			sleep(ctx, retryStore)
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

// logLoad writes down what there is to do; the lock is held.
func (t *tenure) logLoad() {
	l := t.shard.Load(t.now(), time.Now())
	t.cfg.Log.Info("load", zap.Int64("epoch", t.epoch), zap.Int("jobs", l.Jobs), zap.Int("waiting-stages", l.Waiting),
		zap.Int("late-stages", l.Late), zap.Int("runs", l.Runs), zap.Int("workers", l.Workers), zap.Int("usable-workers", l.Usable),
		zap.Int64("used-milli-cores", int64(l.Used.Cores)), zap.Int64("usable-milli-cores", int64(l.Capacity.Cores)))
}

// loop decides and sends commands.
func (t *tenure) loop(ctx context.Context) {
	ticker := time.NewTicker(tickEvery)
	defer ticker.Stop()
	told := time.Now()
	for {
		t.mu.Lock()
		if time.Since(told) > loadEvery {
			told = time.Now()
			t.logLoad()
		}
		t.shard.Tick(t.now(), time.Now())
		orders := t.shard.TakeOrders(t.now())
		t.followTargets(ctx)
		decided := t.shard.Dirty(t.now())
		t.mu.Unlock()
		t.send(ctx, orders)
		if decided {
			t.kickCommit()
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-t.wake:
			sleep(ctx, settle)
		}
	}
}
