package soak

import (
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"arbutuswing.example/platform/fakes"
)

const (
	// lossSlack is the age, counted from its last byte, up to which a request may have been cut before the node read it.
	lossSlack = 200 * time.Millisecond
	// configInterval is the interval between changes of the configuration.
	configInterval = 700 * time.Millisecond
	// slowRestart is the pause before a node is restarted: long enough that no restarted node owns the jobs while those wait for an
	// owner that were stopped together with it.
	slowRestart = 1200 * time.Millisecond
	// longStandstill is longer than lossSlack.
	longStandstill = 450 * time.Millisecond
	// answerSlack is how much later than its deadline an answer may arrive.
	answerSlack = time.Second
)

// restartScenario configures a run in which nodes are stopped in series that overlap.
type restartScenario struct {
	seed    uint64
	nodes   int
	callers int
	rounds  int
	// grace is the time that a node has between SIGTERM and SIGKILL. A round lasts less than twice as long.
	grace time.Duration
	// standstill is the longest time for which the nodes stand still again and again, or zero.
	standstill time.Duration
}

// restarts is a run of a restartScenario with the results of its callers.
type restarts struct {
	*deployment
	scenario restartScenario
	end      time.Time
	tasks    sync.WaitGroup

	mu     sync.Mutex
	calls  map[string]int
	stops  int
	killed int
	// early describes the calls that were cut within lossSlack.
	early []string
	known []string
}

// count counts the outcome of a call.
func (r *restarts) count(outcome string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.calls[outcome]++
}

// stop stops the node with SIGTERM and kills it if it still runs when the grace is over. Some stops follow SIGHUP, or are repeated
// while the node stops or while its next process starts.
func (r *restarts) stop(random *rand.Rand, n *node) {
	if random.IntN(3) == 0 {
		n.signal(syscall.SIGHUP)
	}
	generation, again, early := n.terminate(), random.IntN(3) == 0, random.IntN(6) == 0
	repeat := time.Duration(random.Int64N(int64(r.scenario.grace)))
	atStart := time.Duration(random.Int64N(int64(300 * time.Millisecond)))
	r.mu.Lock()
	r.stops++
	r.mu.Unlock()
	if again {
		time.AfterFunc(repeat, func() { n.signalGeneration(generation, syscall.SIGTERM) })
	}
	r.tasks.Add(1)
	time.AfterFunc(r.scenario.grace, func() {
		defer r.tasks.Done()
		if n.signalGeneration(generation, syscall.SIGKILL) {
			r.mu.Lock()
			r.killed++
			r.mu.Unlock()
		}
		if early {
			time.Sleep(atStart)
			n.terminate()
		}
	})
}

// runRounds stops the nodes of one or two data centres in each round. Near the end of their grace it stops the owner too, in every
// second round with all other nodes, so that calls that the first ones have read last wait for an owner.
func (r *restarts) runRounds() {
	defer r.tasks.Done()
	random := rand.New(rand.NewPCG(r.scenario.seed, r.scenario.seed))
	for round := range r.scenario.rounds {
		began := time.Now()
		stopping := make(map[*node]bool)
		for _, dc := range random.Perm(len(dataCentres))[:1+random.IntN(2)] {
			for i := dc; i < len(r.nodes); i += len(dataCentres) {
				r.stop(random, r.nodes[i])
				stopping[r.nodes[i]] = true
				time.Sleep(time.Duration(random.Int64N(int64(100 * time.Millisecond))))
			}
		}
		time.Sleep(time.Until(began.Add(r.scenario.grace - between(random, 1400*time.Millisecond, 2*time.Second))))
		last := []*node{r.node(faultEvent{start: true, fault: fault{Target: ownerTarget}})}
		if round%2 == 0 {
			last = r.nodes
		}
		for _, n := range last {
			if !stopping[n] {
				r.stop(random, n)
			}
		}
		time.Sleep(r.scenario.grace + time.Second)
	}
}

// runConfigurations changes the configuration again and again.
func (r *restarts) runConfigurations() {
	defer r.tasks.Done()
	for version := r.version + 1; time.Now().Before(r.end); version++ {
		extra := fakes.Queue{Name: "extra", Host: queues[0].Host, Path: fmt.Sprintf("/extra-%d/", version)}
		r.store.PutConfig(fakes.Config(version, teamKey, append(slices.Clone(queues), extra)...))
		time.Sleep(configInterval)
	}
}

// findAccepted records a violation for each accepted job that no node knows.
func (r *restarts) findAccepted() {
	random := rand.New(rand.NewPCG(r.scenario.seed, 0))
	for _, j := range r.accepted {
		outcome := fakes.NoAnswer
		for end := time.Now().Add(completionTimeout); outcome != fakes.Accepted && outcome != fakes.NotFound && time.Now().Before(end); {
			_, outcome = j.client.State(r.anyAddr(random), j.id)
		}
		if outcome != fakes.Accepted {
			r.addViolation("accepted job %s is lost: outcome %d", j.id, outcome)
		}
	}
}

// stopsInLogs returns the number of stops that the nodes have logged and the number of calls that these have cut.
func (r *restarts) stopsInLogs(t *testing.T) (stops, cut int) {
	t.Helper()
	for _, n := range r.nodes {
		data, err := os.ReadFile(n.logPath)
		assert.NilError(t, err)
		for line := range strings.Lines(string(data)) {
			if !strings.Contains(line, `msg="node stopped"`) {
				continue
			}
			stops++
			for field := range strings.FieldsSeq(line) {
				var calls int
				if _, err := fmt.Sscanf(field, "calls-cut=%d", &calls); err == nil {
					cut += calls
				}
			}
		}
	}
	return stops, cut
}

// restartNodes runs the scenario and fails the test if a call was cut or an accepted job was lost.
func restartNodes(t *testing.T, s restartScenario) {
	t.Parallel()
	dir, err := os.MkdirTemp("", fmt.Sprintf("arbutuswing-restarts-%d-", s.seed))
	assert.NilError(t, err)
	r := &restarts{
		deployment: newDeployment(t, dir, scenario{
			seed: s.seed, nodes: s.nodes, retention: longRetention, grace: s.grace, restartDelay: slowRestart,
		}),
		scenario: s, calls: make(map[string]int),
	}
	r.awaitStart(t)
	time.Sleep(quietStart)
	for _, n := range r.nodes {
		n.setStarved(s.standstill)
	}
	r.end = time.Now().Add(time.Duration(s.rounds) * 2 * s.grace)
	r.tasks.Add(2 + s.callers)
	go r.runRounds()
	go r.runConfigurations()
	patiences := []time.Duration{20 * time.Second, 2 * time.Second, 300 * time.Millisecond}
	pauses := []time.Duration{60 * time.Millisecond, time.Second, 6 * time.Second}
	for i := range s.callers {
		c := &caller{
			run: r, number: i, random: rand.New(rand.NewPCG(s.seed, uint64(i))),
			patience: patiences[max(i%4-1, 0)], pause: pauses[i/4%len(pauses)],
		}
		go c.loop()
	}
	r.tasks.Wait()
	r.clearFaults()
	accepted := len(r.accepted)
	r.findAccepted()
	violations := append(r.fleet.Violations(), r.violations...)
	for _, n := range r.nodes {
		violations = append(violations, n.ownEnds()...)
	}
	logged, cut := r.stopsInLogs(t)
	if cut > 0 {
		violations = append(violations, fmt.Sprintf("the nodes logged %d cut calls", cut))
	}
	if s.standstill == 0 && r.killed > 0 {
		violations = append(violations, fmt.Sprintf("%d nodes did not end within their grace", r.killed))
	}
	t.Logf("seed %d, %d nodes, standstill %s: %d stops, %d of them logged, %d killed; %d jobs accepted; calls: %v; cut within %s: %d\n%s",
		s.seed, s.nodes, s.standstill, r.stops, logged, r.killed, accepted, r.calls, lossSlack, len(r.early), strings.Join(r.early, "\n"))
	assert.Assert(t, logged > 0, "no node logged its stop")
	if len(violations) > 0 {
		t.Fatalf("%d guarantees violated; logs in %s\n%s", len(violations), dir, strings.Join(violations[:min(len(violations), 20)], "\n"))
	}
	_ = os.RemoveAll(dir)
}

// TestSoakRollingRestarts guards against calls that a stopping node has read and doesn't answer before it ends.
func TestSoakRollingRestarts(t *testing.T) {
	restartNodes(t, newRestartScenario(*restartStandstill))
}

// TestSoakRollingRestartsShortOfProcessorTime guards against calls that a stopping node, which stands still again and again, resets
// before it has read them or ends before it has answered them.
func TestSoakRollingRestartsShortOfProcessorTime(t *testing.T) {
	restartNodes(t, newRestartScenario(longStandstill))
}

func newRestartScenario(standstill time.Duration) restartScenario {
	return restartScenario{
		seed: *soakSeed, nodes: *restartNodeCount, callers: *restartCallers, rounds: *restartRounds, grace: *restartGrace,
		standstill: standstill,
	}
}

// TestSoakFailedComponentServesCalls guards against a node that ends because one of its components has failed and answers no call
// before: it can't serve its metrics, but clients reach it until it ends.
func TestSoakFailedComponentServesCalls(t *testing.T) {
	dir := t.TempDir()
	d := newDeployment(t, dir, scenario{seed: *soakSeed, nodes: 1, retention: longRetention})
	d.awaitStart(t)
	n := newNode(t, nodeConfig{
		dir: dir, index: 1, dataCentre: dataCentres[0], retention: longRetention, grace: defaultGrace, restartDelay: slowRestart,
		metricsAddress: d.nodes[0].address, store: d.store, fleet: d.fleet,
	})
	random := rand.New(rand.NewPCG(*soakSeed, 0))
	outcomes := make(map[fakes.Outcome]int)
	for end := time.Now().Add(startTimeout); outcomes[fakes.Accepted] == 0 && time.Now().Before(end); time.Sleep(clientPause) {
		id := fmt.Sprintf("%016x", random.Uint64())
		j := randomJob(random, id, 0)
		d.fleet.RegisterJob(id, j)
		outcome, err := d.clients[1].Submit(n.address, id, j)
		assert.NilError(t, err)
		outcomes[outcome]++
	}
	assert.Assert(t, outcomes[fakes.Accepted] > 0, "outcomes of calls: %v", outcomes)
}
