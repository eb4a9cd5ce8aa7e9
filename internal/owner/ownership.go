package owner

import (
	"context"
	"errors"
	"math/rand/v2"
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
	// producer is the owner's name as a producer in the store; its epoch is the epoch of the ownership.
	producer = "owner"
	// maxFirstSequence bounds the random number from which an ownership counts its appends. If two ownerships had one epoch, the
	// store would take the appends of one for repeats of the other's if they had the same numbers; so it refuses the second claim.
	maxFirstSequence = 1 << 40
	// tickInterval bounds the time between two ticks of the shard.
	tickInterval = 50 * time.Millisecond
	// loadLogInterval is the interval between log lines that sum up the load.
	loadLogInterval = time.Second
	// pausePerDecision times the time that a decision took is the least pause after it, so that decisions take at most a
	// quarter of the processor. When much waits, reports, starts and calls need the rest: without them there is nothing to
	// decide, and tickets lapse.
	pausePerDecision = 3
	// batchDelay is the pause before a decision or commit, so that events that arrive together are handled together.
	batchDelay = 3 * time.Millisecond
	// maxInboxAge is the age of the last read of the whole inbox up to which an unknown job counts as never submitted.
	maxInboxAge = 2 * time.Second
	// inboxReadWait is how long a read of the inbox waits for new records. Its age counts from its begin, so that the last one has to
	// outlast the wait and the calls of the next.
	inboxReadWait = maxInboxAge / 4
	// storeRetryDelay is the pause after a failed call to the store.
	storeRetryDelay = 80 * time.Millisecond
	// proofCheckInterval is the interval of checks whether the ownership has to be proved by an append, and proofRetryDelay the
	// pause before such an append is repeated.
	proofCheckInterval = 100 * time.Millisecond
	proofRetryDelay    = 500 * time.Millisecond
	// deletionQueueSize bounds the lists of submissions that wait for deletion; about one list is added per second.
	deletionQueueSize = 64
	// maxCommitBytes is the size at which an append is closed; it is below the store's size limit for one call.
	maxCommitBytes = 1 << 20
)

// ownership is a period during which this node owns the jobs under one epoch.
type ownership struct {
	cfg   Config
	epoch int64
	start time.Time
	// decideSignal wakes loop, and commitSignal wakes runCommits.
	decideSignal chan struct{}
	commitSignal chan struct{}
	done         chan struct{}
	once         sync.Once

	mu sync.Mutex
	// restored is set once the former owner's records have been applied; until then the node can't answer calls about jobs.
	restored bool
	fenced   bool
	shard    *shard.Shard
	sessions map[model.WorkerID]*workerSession
	// sessionsVersion is the version of the shard's targets that the sessions match.
	sessionsVersion uint64
	// longestDecision is the longest time that a decision took since the load was last logged.
	longestDecision time.Duration
	// entries are the workers' registry entries, valid once entriesKnown is set.
	entries      []agent.Entry
	entriesKnown bool
	permission   permission
	// inboxRead is the uptime at which the last read began that reached the end of the inbox.
	inboxRead time.Duration

	// sequence holds the number of appends to each topic, which count from firstSequence; a topic has only one append under way at
	// a time.
	sequenceMu    sync.Mutex
	sequence      map[ledger.Topic]int64
	firstSequence int64
	deletions     chan []string
	dispatcher    *adviceDispatcher
	nodes         *nodeTable
	group         sync.WaitGroup
}

func newOwnership(cfg Config, epoch int64, members []Member) *ownership {
	ow := &ownership{
		cfg: cfg, epoch: epoch, start: time.Now(), decideSignal: make(chan struct{}, 1), commitSignal: make(chan struct{}, 1),
		done:     make(chan struct{}),
		sessions: make(map[model.WorkerID]*workerSession), sequence: make(map[ledger.Topic]int64),
		firstSequence: rand.Int64N(maxFirstSequence), permission: permission{limit: cfg.Shard.RenewLimit, epoch: epoch},
		deletions: make(chan []string, deletionQueueSize), nodes: newNodeTable(cfg.Self, members, time.Now()),
	}
	shardCfg := cfg.Shard
	shardCfg.Epoch = epoch
	shardCfg.Events = ow.logEvent
	ow.shard = shard.New(shardCfg)
	ow.dispatcher = newAdviceDispatcher(ow)
	return ow
}

// logEvent logs a decision and counts it in the metrics.
func (ow *ownership) logEvent(e shard.Event) {
	countEvent(e)
	fields := []zap.Field{zap.Int64("epoch", ow.epoch)}
	for _, f := range []struct{ key, value string }{{"job", e.Job}, {"task", e.Task}, {"worker", e.Worker}, {"detail", e.Detail}} {
		if f.value != "" {
			fields = append(fields, zap.String(f.key, f.value))
		}
	}
	ow.cfg.Log.Info(e.Name, append(fields, zap.Int64("value", e.Value))...)
}

// step announces a step under the ownership's epoch.
func (ow *ownership) step(s Step) {
	if ow.cfg.Step != nil {
		s.Epoch = ow.epoch
		ow.cfg.Step(s)
	}
}

func (ow *ownership) now() time.Duration { return time.Since(ow.start) }

func (ow *ownership) signalDecide() {
	select {
	case ow.decideSignal <- struct{}{}:
	default:
	}
}

func (ow *ownership) signalCommit() {
	select {
	case ow.commitSignal <- struct{}{}:
	default:
	}
}

func (ow *ownership) stop() {
	ow.once.Do(func() { close(ow.done) })
	ow.mu.Lock()
	defer ow.mu.Unlock()
	ow.shard.Stop()
}

func (ow *ownership) ended() bool {
	ow.mu.Lock()
	defer ow.mu.Unlock()
	return ow.fenced
}

// fence ends the ownership because a newer owner exists or the store gave an unexpected answer; by tells, for the log, where
// this was noticed.
func (ow *ownership) fence(by string) {
	ow.mu.Lock()
	known := ow.fenced
	ow.fenced = true
	ow.mu.Unlock()
	if !known {
		ow.cfg.Log.Info("ownership fenced", zap.Int64("epoch", ow.epoch), zap.String("by", by))
	}
	ow.stop()
}

func (ow *ownership) noteAppend(begun time.Duration) {
	ow.mu.Lock()
	defer ow.mu.Unlock()
	ow.permission.noteAppend(begun)
}

func (ow *ownership) noteRenewal(generation int64, begun time.Duration) {
	ow.mu.Lock()
	defer ow.mu.Unlock()
	ow.permission.noteRenewal(generation, begun)
}

func (ow *ownership) setConfiguration(configuration terms.Configuration) {
	ow.mu.Lock()
	defer ow.mu.Unlock()
	ow.shard.SetConfiguration(configuration)
	ow.signalDecide()
}

// setRegistry passes the workers' entries to the shard, or keeps them until the former owner's records have been applied.
func (ow *ownership) setRegistry(entries []agent.Entry) {
	ow.mu.Lock()
	defer ow.mu.Unlock()
	ow.entries, ow.entriesKnown = entries, true
	if ow.restored {
		ow.shard.SetRegistry(entries)
		ow.signalDecide()
	}
}

func (ow *ownership) noteRegistryRead(begun time.Time) {
	ow.mu.Lock()
	defer ow.mu.Unlock()
	ow.shard.NoteRegistryRead(begun.Sub(ow.start), ow.now())
}

func (ow *ownership) state(id model.JobID) (work.State, error) {
	ow.mu.Lock()
	defer ow.mu.Unlock()
	if !ow.restored || ow.fenced {
		return "", peers.ErrNotOwner
	}
	if state, ok := ow.shard.JobState(id); ok {
		return state, nil
	}
	if ow.cfg.Uptime()-ow.inboxRead > maxInboxAge {
		return "", peers.ErrNotOwner
	}
	return "", peers.ErrUnknownJob
}

// submit adds a stored job before it is read from the inbox.
func (ow *ownership) submit(job work.Job) error {
	ow.mu.Lock()
	defer ow.mu.Unlock()
	if !ow.restored || ow.fenced {
		return peers.ErrNotOwner
	}
	ow.shard.Submit(job, ow.now())
	ow.signalDecide()
	return nil
}

func (ow *ownership) pending(queue string) (int, error) {
	ow.mu.Lock()
	defer ow.mu.Unlock()
	if !ow.restored || ow.fenced || ow.cfg.Uptime()-ow.inboxRead > maxInboxAge {
		return 0, peers.ErrNotOwner
	}
	return ow.shard.QueuedJobs(queue), nil
}

// run takes over from the former owner, then decides and sends commands until the ownership ends.
func (ow *ownership) run(parent context.Context) {
	ctx, cancel := context.WithCancel(parent)
	defer cancel()
	go ow.runCancel(ctx, cancel)
	ow.group.Add(1)
	go ow.runRegistry(ctx)
	next, err := ow.takeOver(ctx)
	if errors.Is(err, errStuck) {
		ow.fence("a takeover that can't finish")
	}
	if err != nil {
		cancel()
		ow.group.Wait()
		ow.cfg.Log.Info("takeover aborted", zap.Int64("epoch", ow.epoch), zap.Error(err))
		return
	}
	ow.group.Add(4)
	go ow.runServing(ctx)
	go ow.runDeletions(ctx)
	go ow.runInbox(ctx, next)
	go ow.runCommits(ctx)
	ow.loop(ctx)
	cancel()
	ow.group.Wait()
}

// runCancel cancels the context when the ownership ends.
func (ow *ownership) runCancel(ctx context.Context, cancel context.CancelFunc) {
	select {
	case <-ow.done:
	case <-ctx.Done():
	}
	cancel()
}

// runInbox reads new jobs and cancellations.
func (ow *ownership) runInbox(ctx context.Context, next int64) {
	defer ow.group.Done()
	for ctx.Err() == nil {
		begun, begunUptime := ow.now(), ow.cfg.Uptime()
		page, err := ow.cfg.Store.Read(ctx, TopicInbox, Partition, next, inboxReadWait)
		if errors.Is(err, ledger.ErrTrimmed) {
			page, err = ow.newest(ctx, TopicInbox)
		}
		if err != nil {
			ow.cfg.Log.Info("reading new jobs failed", zap.Error(err))
			pause.For(ctx, storeRetryDelay)
			continue
		}
		next = page.Next
		ow.step(Step{Name: "take jobs"})
		ow.mu.Lock()
		now := ow.now()
		for _, r := range page.Records {
			ow.dispatchRecord(r, inboxHandler{
				submit: func(j work.Job) { ow.shard.Submit(j, now) },
				cancel: func(id model.JobID) { ow.shard.Cancel(id, now) },
				hold:   ow.shard.Hold,
			})
		}
		if !page.More {
			ow.inboxRead = begunUptime
			ow.shard.NoteInboxRead(begun)
		}
		ow.mu.Unlock()
		if len(page.Records) > 0 {
			ow.signalDecide()
		}
	}
}

// logLoad logs the load and sets its metrics; the lock is held.
func (ow *ownership) logLoad() {
	l := ow.shard.Load(ow.now(), time.Now())
	load.set(l)
	ow.cfg.Log.Info("load", zap.Int64("epoch", ow.epoch), zap.Int("jobs", l.Jobs), zap.Int("waiting-stages", l.WaitingStages),
		zap.Int("late-stages", l.LateStages), zap.Int("at-team-limit", l.AtTeamLimit),
		zap.Int("for-advice", l.WaitingForAdvice), zap.Int("for-room", l.WaitingForCapacity),
		zap.Int("for-worker", l.WaitingForWorker),
		zap.Int("advice-nodes", l.AdviceNodes), zap.Int("advice-waiting", l.AdviceWaiting),
		zap.Int("advice-under-way", ow.dispatcher.underWay()), zap.Duration("advice-backlog", l.AdviceBacklog.Std()),
		zap.Duration("advice-drain-time", l.AdviceDrainTime.Std()),
		zap.Duration("longest-advice-wait", l.LongestAdviceWait.Std()),
		zap.Int("runs", l.Runs), zap.Int("starts-to-record", l.StartsToRecord), zap.Int("starts-to-send", l.StartsToSend),
		zap.Int("starts-in-flight", l.StartsInFlight), zap.Duration("commit-time", l.CommitTime.Std()),
		zap.Duration("decision-time", ow.longestDecision), zap.Int("workers", l.Workers), zap.Int("usable-workers", l.UsableWorkers),
		zap.Int64("used-milli-cores", int64(l.Used.Cores)), zap.Int64("usable-milli-cores", int64(l.Capacity.Cores)))
}

// loop lets the shard decide and sends its commands.
func (ow *ownership) loop(ctx context.Context) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	lastLogged := time.Now()
	for ctx.Err() == nil {
		ow.step(Step{Name: "decide"})
		ow.mu.Lock()
		if time.Since(lastLogged) > loadLogInterval {
			lastLogged = time.Now()
			ow.logLoad()
			ow.longestDecision = 0
		}
		begun := time.Now()
		ow.shard.Tick(ow.now(), time.Now())
		took := time.Since(begun)
		ow.longestDecision = max(ow.longestDecision, took)
		commands := ow.takeCommands()
		ow.dispatcher.dispatch(ctx, ow.now())
		ow.syncSessions(ctx)
		decided := ow.shard.CommitDue(ow.now())
		ow.mu.Unlock()
		ow.sendCommands(ctx, commands)
		if decided {
			ow.signalCommit()
		}
		ow.waitForDecision(ctx, ticker, max(batchDelay, pausePerDecision*took))
	}
}

// waitForDecision waits until a tick is due, or until something has to be decided and a pause is over. A tick that is due goes
// first, so that chance doesn't choose between them.
func (ow *ownership) waitForDecision(ctx context.Context, ticker *time.Ticker, decisionPause time.Duration) {
	select {
	case <-ticker.C:
		return
	default:
	}
	select {
	case <-ctx.Done():
	case <-ticker.C:
	case <-ow.decideSignal:
		pause.For(ctx, decisionPause)
	}
}
