package owner

import (
	"context"
	"errors"
	"sync"
	"time"

	"go.uber.org/zap"

	"arbutuswing.example/internal/agent"
	"arbutuswing.example/internal/ledger"
	"arbutuswing.example/internal/model"
	"arbutuswing.example/internal/pause"
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
	roster     *roster
	group      sync.WaitGroup
}

func newTenure(cfg Config, epoch int64, members []Member) *tenure {
	t := &tenure{
		cfg: cfg, epoch: epoch, start: time.Now(), wake: make(chan struct{}, 1), changed: make(chan struct{}, 1),
		done:  make(chan struct{}),
		links: make(map[model.WorkerID]*link), contact: time.Now(), sequence: make(map[ledger.Topic]int64),
		drops: make(chan []string, dropsWaiting), roster: newRoster(cfg.Self, members, time.Now()),
	}
	shardCfg := cfg.Shard
	shardCfg.Token = epoch
	shardCfg.Events = t.event
	t.shard = shard.New(shardCfg)
	t.asks = newAsks(t)
	return t
}

// event writes a decision down and counts it.
func (t *tenure) event(e shard.Event) {
	countEvent(e)
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

// runInbox reads new jobs and cancellations.
func (t *tenure) runInbox(ctx context.Context, next int64) {
	defer t.group.Done()
	for ctx.Err() == nil {
		begun := time.Now()
		page, err := t.cfg.Store.Read(ctx, TopicInbox, Partition, next, readWait)
		if errors.Is(err, ledger.ErrTrimmed) {
			page, err = t.newest(ctx, TopicInbox)
		}
		if err != nil {
			t.cfg.Log.Info("new jobs not read", zap.Error(err))
			pause.For(ctx, retryStore)
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

// logLoad writes down what there is to do; the lock is held.
func (t *tenure) logLoad() {
	l := t.shard.Load(t.now(), time.Now())
	waiting, underWay := t.asks.waitingCalls()
	load.set(l)
	t.cfg.Log.Info("load", zap.Int64("epoch", t.epoch), zap.Int("jobs", l.Jobs), zap.Int("waiting-stages", l.Waiting),
		zap.Int("late-stages", l.Late), zap.Int("at-team-limit", l.AtTeamLimit), zap.Int("for-advice", l.ForAdvice),
		zap.Int("for-room", l.ForRoom), zap.Int("advice-waiting", waiting), zap.Int("advice-under-way", underWay),
		zap.Int("runs", l.Runs), zap.Int("workers", l.Workers), zap.Int("usable-workers", l.Usable),
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
		begun := time.Now()
		t.shard.Tick(t.now(), time.Now())
		took := time.Since(begun)
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
			// Deciding takes half of the time at most: reports and clients need the processor too.
			pause.For(ctx, max(settle, took))
		}
	}
}
