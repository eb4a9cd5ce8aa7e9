package owner

import (
	"context"
	"flag"
	"fmt"
	"maps"
	"math/rand"
	"os"
	"path/filepath"
	"runtime"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"gotest.tools/v3/assert"

	"arbutuswing.example/internal/intake"
	"arbutuswing.example/internal/ledger"
	"arbutuswing.example/internal/model"
	"arbutuswing.example/internal/peers"
	"arbutuswing.example/internal/shard"
	"arbutuswing.example/internal/terms"
	"arbutuswing.example/internal/work"
)

var (
	takeoverSeeds = flag.Int("takeover.seeds", 20, "number of seeds that the takeover simulations play")
	takeoverFirst = flag.Int64("takeover.first", 1, "first seed of the takeover simulations")
	simTraces     = flag.String("sim.traces", "", "existing directory into which the traces of failing seeds are written")
)

const (
	simNodes     = 3
	simWorkerNum = 4
	simTrouble   = 60 * time.Second
	simRecovery  = 300 * time.Second
	simRetention = 25 * time.Second
	// simLongestWait is longer than an owner waits before it presumes a run gone on a worker that it doesn't reach: the limit of
	// renewals, the longest lease and the longest delay of a command.
	simLongestWait = 30 * time.Second
	// simRepeatedShare is the share of the seeds that are played twice, as a divisor.
	simRepeatedShare = 3
)

// simTroubles tells which troubles a simulation plays.
type simTroubles struct {
	// Freezes of nodes, appends without an answer, topics and groups that don't answer, nodes that reach one worker only,
	// partitions dealt anew, history that is dropped, workers that are silent or that only one node reaches, and nodes that stop
	// and start again.
	freezes, losses, cuts, isolations, reassigns, trims, silences, restarts bool
	// Nodes that are killed, stand still between any two steps or starve, owners that fail one after the other, jobs that are
	// cancelled, or whose stages wait for each other, and configurations that change.
	kills, stalls, starvations, series, cancellations, chains, configurations bool
	// fencesTakeNumbers and repeatsGenerations are properties of the store.
	fencesTakeNumbers, repeatsGenerations bool
}

// simNode is a node of the simulated system.
type simNode struct {
	testNode
	connection *simConnection
	// configuration is what the node has read, and ends tells that the process is being replaced; the system's lock is held.
	configuration terms.Configuration
	ends          bool
}

// simSystem is a system of nodes that share a store and a fleet.
type simSystem struct {
	t        *testing.T
	draws    simDraws
	trace    *simTrace
	troubles simTroubles
	store    *simStore
	fleet    *simFleet
	boots    int
	// played counts the troubles.
	played int
	jobs   []work.Job
	// cancelled holds the jobs whose cancellation has been stored.
	cancelled map[model.JobID]bool
	met       *simMeetings
	// seriesEnded tells that owners no longer fail one after the other.
	seriesEnded atomic.Bool
	// shape draws the queue and the stages of a job, with how long their tasks work.
	shape func(job *work.Job, r *rand.Rand)
	// wait waits while a trouble that is played alone lasts.
	wait func(time.Duration)

	mu    sync.Mutex
	nodes [simNodes]*simNode
	// configuration is the operators' newest one.
	configuration terms.Configuration
	// clients are the submissions under way.
	clients sync.WaitGroup
}

func newSimSystem(t *testing.T, seed int64, troubles simTroubles) *simSystem {
	return newSimSystemWith(t, seed, troubles, simWorkerNum, simFaults{})
}

// newSimSystemWith returns a system with a fleet of so many workers, which have faults.
func newSimSystemWith(t *testing.T, seed int64, troubles simTroubles, workers int, faults simFaults) *simSystem {
	draws, trace := simDraws{seed}, &simTrace{begun: time.Now()}
	s := &simSystem{
		t: t, draws: draws, trace: trace, troubles: troubles, store: newSimStore(),
		fleet: newSimFleet(workers, draws, faults, trace), cancelled: make(map[model.JobID]bool),
		wait: time.Sleep,
	}
	s.shape = s.shapeOfSingleTasks
	s.configuration = simConfiguration(1, s.fleet.queues())
	s.met = newSimMeetings(s)
	s.store.fencesTakeNumbers, s.store.repeatsGenerations = troubles.fencesTakeNumbers, troubles.repeatsGenerations
	for i := range s.nodes {
		s.startNode(i)
	}
	return s
}

// startNode starts a node as a candidate.
func (s *simSystem) startNode(i int) {
	s.boots++
	connection := newSimConnection(s.store, s.draws.rand("boot", s.boots).Int63())
	connection.trace = s.trace
	connection.atStep = s.atStep
	node := &simNode{connection: connection}
	s.mu.Lock()
	node.configuration = s.configuration
	s.mu.Unlock()
	self := peers.NodeInfo{Node: fmt.Sprintf("n%d", i), BootID: fmt.Sprint(s.boots), Strength: 1}
	log := zap.New(zapcore.NewTee(s.trace.core(self.Node), s.met.core()))
	workers := tracedWorkers{simWorkers{s.fleet, connection}, s.trace, self.Node}
	directory := NewDirectory(DirectoryConfig{
		Store: connection, Self: self, Group: "owners", Client: peers.NewClient(), Log: log,
	})
	directory.setRole(roleCandidate, "chosen")
	o := New(Config{
		Self: self, Group: "owners", Store: connection, Workers: workers, Directory: directory, Log: log,
		Configuration: func() (terms.Configuration, bool) {
			s.mu.Lock()
			defer s.mu.Unlock()
			return node.configuration, true
		},
		Registry: func(events RegistryEvents) Runner { return simRegistry{s.fleet, connection, events} },
		Advisor:  simAdvisor{s.fleet, connection}, Peers: peers.NewClient(),
		Shard: shard.Config{
			Lease: simLease, MaxLease: simMaxLease, RenewLimit: testRenewLimit, Retention: simRetention, KillGrace: simKillGrace,
			GangTimeout: simGangTimeout, TasksPerRecord: s.fleet.faults.tasksPerRecord,
		},
		Uptime: testUptime,
		Step:   func(step Step) { connection.step(fmt.Sprintf("%+v", step)) },
	})
	ctx, cancel := context.WithCancel(context.Background())
	var done sync.WaitGroup
	done.Go(func() { _ = directory.Run(context.WithValue(ctx, simCaller{}, self.Node+" directory")) })
	done.Go(func() { _ = o.Run(context.WithValue(ctx, simCaller{}, self.Node)) })
	node.testNode = testNode{o, func() {
		cancel()
		done.Wait()
	}}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.nodes[i] = node
}

// running returns the nodes' processes.
func (s *simSystem) running() []*simNode {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.nodes[:])
}

// claim reports whether the caller may end a process and start the next one of its node.
func (s *simSystem) claim(node *simNode) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	claimed := !node.ends
	node.ends = true
	return claimed
}

// submit draws a job and stores it.
func (s *simSystem) submit() {
	r := s.draws.rand("job", len(s.jobs))
	job := work.Job{ID: model.JobID(fmt.Sprintf("j%03d", len(s.jobs))), Team: "north", Accepted: time.Now()}
	s.shape(&job, r)
	s.fleet.mu.Lock()
	s.fleet.jobs[job.ID] = job
	s.fleet.mu.Unlock()
	s.jobs = append(s.jobs, job)
	s.storeJob(job, r)
}

// setTerms gives a job the terms of its queue, under which it goes on once the queue is removed.
func (s *simSystem) setTerms(job *work.Job) {
	for _, queue := range s.fleet.queues() {
		if queue.Name == job.Queue {
			job.QueueTerms = work.NewQueueTerms(queue)
		}
	}
}

// shapeOfSingleTasks draws stages of single tasks.
func (s *simSystem) shapeOfSingleTasks(job *work.Job, r *rand.Rand) {
	job.Queue = testQueue
	s.setTerms(job)
	for range 1 + r.Intn(2) {
		job.Stages = append(job.Stages, work.Stage{
			Count: 1 + r.Intn(2), Size: model.Resources{Cores: 1}, RunTime: model.Duration(time.Second),
		})
	}
	for i := range job.Stages {
		if s.troubles.chains && i > 0 && r.Intn(2) == 0 {
			job.Stages[i].After = []int{i - 1}
		}
	}
	for i, stage := range job.Stages {
		for k := range stage.Count {
			length := simDuration(r, 500*time.Millisecond, 10_500*time.Millisecond)
			if r.Intn(3) == 0 {
				// It outlasts every wait.
				length += simLongestWait + 20*time.Second
			}
			s.fleet.mu.Lock()
			s.fleet.succeeds[work.TaskRef{Job: job.ID, Stage: i, Index: k}] = length
			s.fleet.mu.Unlock()
		}
	}
}

// storeJob stores a job, or does so late, again, or on the notice of a node only after a while.
func (s *simSystem) storeJob(job work.Job, r *rand.Rand) {
	value, err := job.Encode()
	assert.NilError(s.t, err)
	delays := []time.Duration{simDuration(r, 1, time.Millisecond)}
	for r.Intn(3) == 0 {
		delays = append(delays, simDuration(r, time.Millisecond, 6*time.Second))
	}
	notified := s.running()[r.Intn(simNodes)].owner
	if s.troubles.cancellations && r.Intn(5) == 0 {
		s.cancelled[job.ID] = true
		at := simDuration(r, time.Millisecond, 15*time.Second)
		s.clients.Go(func() {
			time.Sleep(at)
			s.trace.add("job %s is cancelled", job.ID)
			assert.Check(s.t, s.store.append(ledger.Batch{
				Topic: TopicInbox, Producer: string(job.ID) + "-cancel", Epoch: 1, Sequence: 1,
				Records: []ledger.Record{{Key: intake.RecordKeys(string(job.ID))[1], Value: []byte("{}")}},
			}))
		})
	}
	s.trace.add("job %s is submitted after %v", job.ID, delays)
	for i, delay := range delays {
		s.clients.Go(func() {
			time.Sleep(delay)
			assert.Check(s.t, s.store.append(ledger.Batch{
				Topic: TopicInbox, Producer: fmt.Sprintf("%s-%d", job.ID, i), Epoch: 1, Sequence: 1,
				Records: []ledger.Record{{Key: intake.RecordKeys(string(job.ID))[0], Value: value}},
			}))
			_ = notified.Submit(job)
		})
	}
}

// topics are the topics that the owner writes.
var topics = []ledger.Topic{TopicInbox, TopicProgress, TopicOwner}

// trouble begins one of the troubles at a node, often at the owner, or ends those of its connections.
func (s *simSystem) trouble() {
	s.played++
	r := s.draws.rand("trouble", s.played)
	i := r.Intn(simNodes)
	if owner := slices.IndexFunc(s.running(), func(n *simNode) bool { return n.serves() }); owner >= 0 && r.Intn(2) == 0 {
		i = owner
	}
	node, length := s.running()[i], simDuration(r, 2*time.Second, 12*time.Second)
	share, topic := []float64{0.2, 0.5, 0.8}[r.Intn(3)], topics[r.Intn(len(topics))]
	worker, other, healed := s.pickWorker(r), r.Intn(simNodes), r.Intn(3) == 0
	if r.Intn(4) == 0 {
		length += simLongestWait
	}
	type trouble struct {
		name  string
		begin func()
	}
	var list []trouble
	add := func(played bool, troubles ...trouble) {
		if played {
			list = append(list, troubles...)
		}
	}
	add(s.troubles.freezes, trouble{"freeze", func() { node.connection.freeze(length) }})
	add(s.troubles.losses,
		trouble{"losses", func() { node.connection.set(func(c *simConnection) { c.loss = share }) }},
		trouble{"refusals", func() { node.connection.set(func(c *simConnection) { c.refusals = share }) }})
	add(s.troubles.cuts,
		trouble{"cut topic", func() { s.cutTopic(topic, 1+other, healed) }},
		trouble{"cut groups", func() { node.connection.set(func(c *simConnection) { c.cutGroups = true }) }})
	add(s.troubles.isolations, trouble{"isolation", func() {
		s.isolate(node, worker)
		s.wait(length)
	}})
	add(s.troubles.reassigns, trouble{"reassign", func() { s.store.reassign("owners", other) }})
	add(s.troubles.trims, trouble{"trim", func() { s.store.trim(topic) }})
	add(s.troubles.silences,
		trouble{"silence", func() { s.fleet.silence(worker, length) }},
		trouble{"cut from others", func() { s.cutFromOthers(node, worker) }})
	add(s.troubles.restarts, trouble{"restart", func() {
		if s.claim(node) {
			node.stop()
			s.startNode(i)
		}
	}})
	add(s.troubles.kills, trouble{"kill", func() { s.kill(i) }})
	add(s.troubles.stalls, trouble{"stalls", func() {
		for _, n := range s.running() {
			n.connection.set(func(c *simConnection) { c.stalls = true })
		}
	}})
	add(s.troubles.starvations, trouble{"starvation", func() { s.starve(node, length, r) }})
	add(s.troubles.configurations, trouble{"configuration", func() { s.configure(r) }})
	if r.Intn(3) == 0 {
		s.trace.add("trouble %d: n%d is healed", s.played, i)
		node.connection.heal()
		return
	}
	chosen := list[r.Intn(len(list))]
	s.met.note(chosen.name)
	s.trace.add("trouble %d: %s of n%d, worker %s, topic %s, share %v, length %v", s.played, chosen.name, i, worker, topic, share, length)
	chosen.begin()
}

// cutTopic makes a topic answer no appends of the first nodes, or no reads either.
func (s *simSystem) cutTopic(topic ledger.Topic, nodes int, reads bool) {
	for _, n := range s.running()[:nodes] {
		n.connection.set(func(c *simConnection) { c.cutAppends[topic], c.cutReads[topic] = true, reads })
	}
}

// isolate cuts a node off from the store, and lets it alone reach a worker and no other one.
func (s *simSystem) isolate(node *simNode, w model.WorkerID) {
	s.cutFromOthers(node, w)
	node.connection.set(func(c *simConnection) {
		c.cutGroups = true
		for _, topic := range topics {
			c.cutAppends[topic] = true
		}
		for id := range s.fleet.workers {
			c.cutWorkers[id] = id != w
		}
	})
}

func (s *simSystem) pickWorker(r *rand.Rand) model.WorkerID {
	return s.fleet.order[r.Intn(len(s.fleet.order))]
}

// cutFromOthers lets only one node reach a worker.
func (s *simSystem) cutFromOthers(node *simNode, w model.WorkerID) {
	for _, other := range s.running() {
		other.connection.set(func(c *simConnection) { c.cutWorkers[w] = other != node })
	}
}

// run plays troubles, heals everything and returns what is wrong then.
func (s *simSystem) run() []string {
	if s.troubles.series {
		s.clients.Go(s.runSeries)
	}
	for begun := time.Now(); time.Since(begun) < simTrouble; {
		r := s.draws.rand("pause", s.played)
		if r.Intn(3) == 0 {
			s.submit()
		}
		s.trouble()
		time.Sleep(simDuration(r, 100*time.Millisecond, 1600*time.Millisecond))
	}
	s.heal()
	unfinished := map[model.JobID]bool{}
	for _, job := range s.jobs {
		if !s.cancelled[job.ID] {
			unfinished[job.ID] = true
		}
	}
	for begun := time.Now(); time.Since(begun) < simRecovery && len(unfinished) > 0; time.Sleep(500 * time.Millisecond) {
		s.fleet.mu.Lock()
		s.fleet.settle()
		for _, job := range s.jobs {
			if s.completed(job) {
				delete(unfinished, job.ID)
			}
		}
		s.fleet.mu.Unlock()
	}
	for _, n := range s.running() {
		n.stop()
	}
	s.clients.Wait()
	problems := s.fleet.takeViolations()
	for _, job := range s.jobs {
		if unfinished[job.ID] {
			problems = append(problems, fmt.Sprintf("job %s isn't finished", job.ID))
			s.fleet.suspect(job)
		}
	}
	return problems
}

// heal ends all troubles.
func (s *simSystem) heal() {
	s.trace.add("troubles end")
	s.setConfiguration(simConfiguration(s.configuration.Version+1, s.fleet.queues()), simDraws{0}.rand("heal", 0))
	s.seriesEnded.Store(true)
	for _, n := range s.running() {
		n.connection.heal()
		n.connection.freeze(0)
	}
	s.fleet.heal()
	s.trace.add("all is healed")
}

// completed reports whether the success of all tasks of a job has been acknowledged; the fleet's lock is held.
func (s *simSystem) completed(job work.Job) bool {
	for i, stage := range job.Stages {
		for k := range stage.Count {
			if !s.fleet.finished[work.TaskRef{Job: job.ID, Stage: i, Index: k}] {
				return false
			}
		}
	}
	return true
}

// play plays a seed and returns the system after its end, with what is wrong.
func play(t *testing.T, seed int64, troubles simTroubles) (s *simSystem, problems []string) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		s = newSimSystem(t, seed, troubles)
		problems = s.run()
		// Late calls are still under way, and processes that were stopped while they stood still.
		time.Sleep(time.Minute)
	})
	return s, problems
}

// checkTakeovers plays the seeds of the takeover simulations.
func checkTakeovers(t *testing.T, troubles simTroubles) {
	t.Helper()
	checkSeeds(t, *takeoverFirst, *takeoverSeeds, func(t *testing.T, seed int64) (*simSystem, []string) {
		return play(t, seed, troubles)
	})
}

// checkSeeds plays seeds, goes on after a failing one and sums up.
func checkSeeds(t *testing.T, first int64, count int, play func(t *testing.T, seed int64) (*simSystem, []string)) {
	t.Helper()
	oneThread(t)
	starts, lapsed, jobs, epochs := 0, 0, 0, int64(0)
	met := make(map[string]int)
	var failed []int64
	for seed := first; seed < first+int64(count); seed++ {
		s, problems := play(t, seed)
		if len(problems) > 0 {
			failed = append(failed, seed)
			t.Errorf("seed %d: %q\n%+v\n%+v\n%s", seed, problems, s.troubles, s.fleet.faults, s.trace.about(s.fleet.suspects))
			writeTrace(t, s, seed)
		}
		starts, lapsed, jobs = starts+s.fleet.starts, lapsed+s.fleet.lapsed, jobs+len(s.jobs)
		for _, p := range s.store.topics[TopicOwner].producers {
			epochs += p.epoch
		}
		for meeting, n := range s.met.counts {
			met[meeting] += n
		}
		for fault, n := range s.fleet.met {
			met[fault] += n
		}
	}
	t.Logf("%d jobs, %d starts, %d runs lapsed, last epochs sum up to %d", jobs, starts, lapsed, epochs)
	for _, meeting := range slices.Sorted(maps.Keys(met)) {
		t.Logf("%6d %s", met[meeting], meeting)
	}
	t.Logf("%d of %d seeds failed: %v", len(failed), count, failed)
}

// oneThread lets a test run on one thread, because a seed repeats only if its goroutines run one after the other.
func oneThread(t *testing.T) {
	threads := runtime.GOMAXPROCS(1)
	t.Cleanup(func() { runtime.GOMAXPROCS(threads) })
}

// writeTrace writes the trace of a failing seed to a file in the directory of the flag, if it is set.
func writeTrace(t *testing.T, s *simSystem, seed int64) {
	t.Helper()
	if *simTraces == "" {
		return
	}
	f, err := os.Create(filepath.Join(*simTraces, fmt.Sprintf("%s-%d.txt", t.Name(), seed)))
	assert.NilError(t, err)
	s.trace.print(f)
	assert.NilError(t, f.Close())
}

// TestTakeoversWithLostAnswers guards against takeovers that miss a record, or let two owners act, while appends go unanswered and
// are executed late, and single topics don't answer.
func TestTakeoversWithLostAnswers(t *testing.T) {
	checkTakeovers(t, simTroubles{losses: true, cuts: true, silences: true})
}

// TestTakeoversFromIsolatedOwner guards against the same while the owner is cut off from the store and all workers but one, which
// nobody else reaches.
func TestTakeoversFromIsolatedOwner(t *testing.T) {
	checkTakeovers(t, simTroubles{isolations: true})
}

// TestTakeoversOfFrozenNodes guards against the same while nodes stand still between any two steps, and the partitions are dealt
// anew.
func TestTakeoversOfFrozenNodes(t *testing.T) {
	checkTakeovers(t, simTroubles{freezes: true, reassigns: true, silences: true})
}

var allTroubles = simTroubles{
	freezes: true, losses: true, cuts: true, isolations: true, reassigns: true, trims: true, silences: true, restarts: true,
}

// TestTakeoversUnderAllTroubles guards against the same under all troubles together.
func TestTakeoversUnderAllTroubles(t *testing.T) { checkTakeovers(t, allTroubles) }

// TestTakeoversWithNumberedFences plays all troubles at a store in which a fence takes a sequence number.
func TestTakeoversWithNumberedFences(t *testing.T) {
	troubles := allTroubles
	troubles.fencesTakeNumbers = true
	checkTakeovers(t, troubles)
}

// TestTakeoversWithRepeatedGenerations plays all troubles at a store that deals partitions anew within one generation of the group.
func TestTakeoversWithRepeatedGenerations(t *testing.T) {
	troubles := allTroubles
	troubles.repeatsGenerations = true
	checkTakeovers(t, troubles)
}

// TestForgottenJobIsNotTakenAgain guards against an owner that doesn't read the inbox for longer than it remembers a final job, and
// then takes what it reads of that job for a new one.
func TestForgottenJobIsNotTakenAgain(t *testing.T) {
	for seed := range int64(10) {
		synctest.Test(t, func(t *testing.T) {
			s := newSimSystem(t, seed, simTroubles{})
			time.Sleep(3 * time.Second)
			for _, n := range s.running() {
				n.connection.set(func(c *simConnection) { c.cutReads[TopicInbox] = true })
			}
			// Only the commits for later jobs let the owner forget the first ones.
			for range 4 {
				s.submit()
				for _, n := range s.running() {
					_ = n.owner.Submit(s.jobs[len(s.jobs)-1])
				}
				time.Sleep(60*time.Second + simRetention)
				assert.Assert(t, s.completed(s.jobs[len(s.jobs)-1]))
			}
			starts := s.fleet.starts
			for _, n := range s.running() {
				n.connection.heal()
			}
			time.Sleep(20 * time.Second)
			for _, n := range s.running() {
				n.stop()
			}
			assert.Check(t, s.fleet.starts == starts && len(s.fleet.violations) == 0, "seed %d: %d new starts: %q", seed,
				s.fleet.starts-starts, s.fleet.violations)
		})
	}
}
