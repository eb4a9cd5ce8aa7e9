package owner

import (
	"flag"
	"fmt"
	"math/rand"
	"slices"
	"sync"
	"testing"
	"time"

	"go.uber.org/zap/zapcore"

	"arbutuswing.example/internal/terms"
)

var (
	simFirst = flag.Int64("sim.first", 1, "first seed of the simulations of the whole")
	simSeeds = flag.Int("sim.seeds", 10, "number of seeds that the simulations of the whole play")
)

const (
	// simSeriesLength is how many owners in a row fail, and simSeriesPause how long the next ones are left alone.
	simSeriesLength = 3
	simSeriesPause  = 15 * time.Second
)

// simConfiguration returns a version of the configuration.
func simConfiguration(version int64, queues []terms.Queue) terms.Configuration {
	return terms.New(terms.Params{Version: version, Teams: []terms.Team{{ID: "north", Share: 1}}, Queues: queues})
}

// configure changes the configuration, often by removing a queue or adding it again.
func (s *simSystem) configure(r *rand.Rand) {
	queues := slices.DeleteFunc(s.fleet.queues(), func(terms.Queue) bool { return r.Intn(2) == 0 })
	s.setConfiguration(simConfiguration(s.configuration.Version+1, queues), r)
}

// setConfiguration changes the configuration, which the nodes read at different times.
func (s *simSystem) setConfiguration(c terms.Configuration, r *rand.Rand) {
	s.mu.Lock()
	s.configuration = c
	s.mu.Unlock()
	for i := range s.nodes {
		delay := simDuration(r, time.Millisecond, 3*time.Second)
		s.clients.Go(func() {
			time.Sleep(delay)
			s.mu.Lock()
			node := s.nodes[i]
			newer := node.configuration.Version < c.Version
			if newer {
				node.configuration = c
			}
			s.mu.Unlock()
			if newer {
				node.owner.ConfigurationChanged(c)
			}
		})
	}
}

// kill ends a node's process at once and starts it again.
func (s *simSystem) kill(i int) {
	node := s.running()[i]
	if !s.claim(node) {
		return
	}
	node.connection.set(func(c *simConnection) { c.killed = true })
	s.clients.Go(node.stop)
	s.startNode(i)
}

// starve lets a node's process run for moments only for a while.
func (s *simSystem) starve(node *simNode, length time.Duration, r *rand.Rand) {
	var moments []time.Duration
	for total := time.Duration(0); total < length; {
		stopped, running := simDuration(r, 50*time.Millisecond, 200*time.Millisecond), simDuration(r, 5*time.Millisecond, 60*time.Millisecond)
		moments = append(moments, stopped, running)
		total += stopped + running
	}
	s.clients.Go(func() {
		for i := 0; i < len(moments); i += 2 {
			node.connection.freeze(moments[i])
			time.Sleep(moments[i] + moments[i+1])
		}
	})
}

// runSeries lets owners fail one after the other, each soon after it has won the ownership.
func (s *simSystem) runSeries() {
	seen, inRow := int64(0), 0
	for !s.seriesEnded.Load() {
		time.Sleep(20*time.Millisecond + 1)
		i, epoch := s.newestOwner()
		if epoch <= seen {
			continue
		}
		seen = epoch
		r := s.draws.rand("series", int(epoch))
		if inRow++; inRow > simSeriesLength {
			inRow = 0
			time.Sleep(simSeriesPause)
			continue
		}
		time.Sleep(simDuration(r, time.Millisecond, 3*time.Second))
		length := simDuration(r, 2*time.Second, 12*time.Second)
		node := s.running()[i]
		switch r.Intn(4) {
		case 0:
			s.note("series: kill", i)
			s.kill(i)
		case 1:
			s.note("series: freeze", i)
			node.connection.freeze(length)
		case 2:
			s.note("series: cut", i)
			node.connection.set(func(c *simConnection) {
				c.cutGroups = true
				for _, topic := range topics[:1+r.Intn(len(topics))] {
					c.cutAppends[topic] = true
				}
			})
			s.clients.Go(func() {
				time.Sleep(length)
				node.connection.heal()
			})
		case 3:
			s.note("series: reassign", i)
			s.store.reassign("owners", r.Intn(simNodes))
		}
	}
}

func (s *simSystem) note(trouble string, node int) {
	s.trace.add("%s of n%d", trouble, node)
	s.met.note(trouble)
}

// newestOwner returns the node with the ownership of the highest epoch, and that epoch.
func (s *simSystem) newestOwner() (node int, epoch int64) {
	for i, n := range s.running() {
		if ow := n.owner.current(); ow != nil && ow.epoch > epoch {
			node, epoch = i, ow.epoch
		}
	}
	return node, epoch
}

// atStep is called when a node stands still between two steps.
func (s *simSystem) atStep(trouble string) { s.met.note(trouble) }

// simMeetings counts how often a trouble met a state of the system.
type simMeetings struct {
	system *simSystem

	mu     sync.Mutex
	counts map[string]int
	// presumedGone holds the runs that the newest owner has given up while they were alive, and epoch is that owner's epoch.
	presumedGone map[simRun]bool
	epoch        int64
}

func newSimMeetings(s *simSystem) *simMeetings {
	return &simMeetings{system: s, counts: make(map[string]int), presumedGone: make(map[simRun]bool)}
}

// note counts a trouble that begins now, once for each state that it meets.
func (m *simMeetings) note(trouble string) {
	s := m.system
	restored, takeovers := 0, 0
	for _, n := range s.running() {
		if n == nil {
			continue
		}
		ow := n.owner.current()
		if ow == nil {
			continue
		}
		ow.mu.Lock()
		switch {
		case ow.fenced:
		case ow.restored:
			restored++
		default:
			takeovers++
		}
		ow.mu.Unlock()
	}
	alive := s.fleet.alive()
	m.mu.Lock()
	defer m.mu.Unlock()
	m.counts[trouble]++
	if takeovers > 0 {
		m.counts[trouble+" during a takeover"]++
	}
	if restored+takeovers > 1 {
		m.counts[trouble+" with two owners"]++
	}
	if slices.ContainsFunc(alive, func(run simRun) bool { return m.presumedGone[run] }) {
		m.counts[trouble+" with a run presumed gone while alive"]++
	}
}

// count counts one thing, whatever it meets.
func (m *simMeetings) count(name string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.counts[name]++
}

// core returns a core that watches the logs of nodes for runs that are presumed gone.
func (m *simMeetings) core() zapcore.Core { return goneCore{zapcore.InfoLevel, m} }

type goneCore struct {
	zapcore.LevelEnabler
	met *simMeetings
}

func (c goneCore) With([]zapcore.Field) zapcore.Core { return c }

func (c goneCore) Check(e zapcore.Entry, checked *zapcore.CheckedEntry) *zapcore.CheckedEntry {
	return checked.AddCore(e, c)
}

func (c goneCore) Write(e zapcore.Entry, fields []zapcore.Field) error {
	switch e.Message {
	case "takeover done", "run-gone":
	default:
		return nil
	}
	task, detail, epoch := "", "", int64(0)
	for _, f := range fields {
		switch f.Key {
		case "epoch":
			epoch = f.Integer
		case "task":
			task = f.String
		case "detail":
			detail = f.String
		}
	}
	alive := slices.DeleteFunc(c.met.system.fleet.alive(), func(run simRun) bool { return run.task.String() != task })
	if len(alive) > 0 {
		c.met.system.trace.add("runs %v are alive", alive)
	}
	c.met.mu.Lock()
	defer c.met.mu.Unlock()
	name := e.Message
	if detail != "" {
		name = fmt.Sprintf("%s (%s)", name, detail)
	}
	c.met.counts[name]++
	c.met.epoch = max(c.met.epoch, epoch)
	switch {
	case len(alive) == 0:
	case epoch < c.met.epoch:
		// The newer owner renews the lease.
		c.met.counts[name+" by a former owner while alive"]++
	default:
		c.met.counts[name+" while alive"]++
		for _, run := range alive {
			c.met.presumedGone[run] = true
		}
	}
	return nil
}

func (c goneCore) Sync() error { return nil }

// wholeTroubles returns all troubles of nodes.
func wholeTroubles() simTroubles {
	troubles := allTroubles
	troubles.kills, troubles.stalls, troubles.starvations, troubles.series = true, true, true, true
	troubles.cancellations, troubles.chains, troubles.configurations = true, true, true
	return troubles
}

// TestSimulationRepeats guards against draws or decisions of the simulation that depend on the order of goroutines or map keys.
func TestSimulationRepeats(t *testing.T) {
	oneThread(t)
	for seed := *simFirst; seed < *simFirst+int64(*simSeeds/simRepeatedShare); seed++ {
		first, _ := play(t, seed, wholeTroubles())
		second, _ := play(t, seed, wholeTroubles())
		checkSame(t, seed, first, second)
	}
}

// checkSame checks that a seed has been played twice in the same way.
func checkSame(t *testing.T, seed int64, first, second *simSystem) {
	t.Helper()
	if first.trace.hash() == second.trace.hash() {
		return
	}
	a, b := first.trace.sorted(), second.trace.sorted()
	i := 0
	for i < min(len(a), len(b)) && a[i] == b[i] {
		i++
	}
	t.Errorf("seed %d differs at line %d of %d: %v and %v", seed, i, len(a), a[i:min(i+5, len(a))], b[i:min(i+5, len(b))])
}

// TestWholeUnderNodeTroubles guards against two runs at the same time, and jobs that never finish, while nodes are killed, stand
// still between any two steps or starve, owners fail one after the other, jobs are cancelled and the configuration changes.
func TestWholeUnderNodeTroubles(t *testing.T) {
	checkSeeds(t, *simFirst, *simSeeds, func(t *testing.T, seed int64) (*simSystem, []string) {
		return play(t, seed, wholeTroubles())
	})
}
