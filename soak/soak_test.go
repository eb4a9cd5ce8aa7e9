package soak

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"arbutuswing.example/platform/fakes"
)

const (
	host = "batch.example"
	path = "/batch/"
	key  = "team-key"
	// workerCount is the number of stand-ins for workers.
	workerCount = 9
	// clientCount is how many clients hand jobs in, each clientPause after its last one.
	clientCount = 4
	clientPause = 350 * time.Millisecond
	// maxTries is how often a client tries to hand a job in.
	maxTries = 5
	// cancelEvery makes each n-th job be cancelled.
	cancelEvery = 9
	// settleLimit bounds the time from the last fault until all accepted jobs have to be completed: the leases of lost runs
	// lapse within 6 s, a new owner waits that long and the renewal limit before it starts them again, and then they run.
	settleLimit = 40 * time.Second
	// startLimit bounds the start of a deployment.
	startLimit = 20 * time.Second
)

var dataCentres = []string{"dc1", "dc2", "dc3"}

// world is a deployment under faults.
type world struct {
	store   *fakes.Store
	fleet   *fakes.Fleet
	nodes   []*node
	links   []*proxy
	version int64
	client  *fakes.Client

	mu       sync.Mutex
	accepted []string
	doubtful int
	refused  int
	problems []string
}

func newWorld(t *testing.T, dir string, nodes int) *world {
	t.Helper()
	w := &world{version: 1, client: fakes.NewClient(host, path, key)}
	var err error
	w.store, err = fakes.NewStore()
	assert.NilError(t, err)
	t.Cleanup(w.store.Close)
	w.fleet, err = fakes.NewFleet(w.store, workerCount, dataCentres, func(address string) (string, error) {
		link, err := newProxy(address)
		if err != nil {
			return "", err
		}
		w.links = append(w.links, link)
		return link.address(), nil
	})
	assert.NilError(t, err)
	t.Cleanup(w.fleet.Close)
	w.store.PutConfig(fakes.Config(w.version, host, path, key))
	for i := range nodes {
		w.nodes = append(w.nodes, newNode(t, dir, i, dataCentres[i%len(dataCentres)], w.store, w.fleet))
	}
	return w
}

func (w *world) problem(format string, arguments ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.problems = append(w.problems, fmt.Sprintf(format, arguments...))
}

// drawJob returns a job of one or two stages.
func drawJob(random *rand.Rand, id string) fakes.Job {
	job := fakes.Job{Payload: "payload of " + id}
	for i := range 1 + random.IntN(2) {
		stage := fakes.Stage{
			Count: 1 + random.IntN(4), CPU: int64(500 + random.IntN(2500)), Memory: int64(256 + random.IntN(2048)),
			Estimate: int64(200 + random.IntN(1500)), Gang: random.IntN(4) == 0,
		}
		if i > 0 {
			stage.After = []int{0}
		}
		job.Stages = append(job.Stages, stage)
	}
	return job
}

// runClient hands jobs in until the end.
func (w *world) runClient(number int, seed uint64, end time.Time, done *sync.WaitGroup) {
	defer done.Done()
	random := rand.New(rand.NewPCG(seed, uint64(number)))
	for count := 0; time.Now().Before(end); count++ {
		id := fmt.Sprintf("%04x%04x%08x", number, count, random.Uint32())
		job := drawJob(random, id)
		w.fleet.Expect(id, job)
		w.submit(random, id, job)
		if count%cancelEvery == cancelEvery-1 {
			w.cancel(random, id)
		}
		time.Sleep(clientPause)
	}
}

func (w *world) pick(random *rand.Rand) string { return w.nodes[random.IntN(len(w.nodes))].address }

func (w *world) submit(random *rand.Rand, id string, job fakes.Job) {
	inDoubt := false
	for range maxTries {
		verdict, err := w.client.Submit(w.pick(random), id, job)
		if err != nil {
			w.problem("%s: %v", id, err)
			return
		}
		switch verdict {
		case fakes.Accepted:
			w.mu.Lock()
			w.accepted = append(w.accepted, id)
			w.mu.Unlock()
			return
		case fakes.NoAnswer:
			inDoubt = true
		case fakes.Refused, fakes.Unknown:
		}
		time.Sleep(clientPause)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if inDoubt {
		w.doubtful++
		return
	}
	w.refused++
	w.fleet.Refused(id)
}

// cancel cancels an accepted job, which then needn't be completed.
func (w *world) cancel(random *rand.Rand, id string) {
	if w.client.Cancel(w.pick(random), id) == fakes.Accepted {
		w.fleet.Cancelled(id)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	for i, accepted := range w.accepted {
		if accepted == id {
			w.accepted = append(w.accepted[:i], w.accepted[i+1:]...)
			return
		}
	}
}

// apply begins or ends a fault.
func (w *world) apply(s step) {
	n := w.nodes[s.fault.Target%len(w.nodes)]
	worker := w.fleet.Workers()[s.fault.Target%workerCount]
	switch s.fault.Kind {
	case faultKill:
		n.hold(s.begin)
		if s.begin {
			n.signal(syscall.SIGKILL)
		}
	case faultKillAll:
		for _, other := range w.nodes {
			if s.begin {
				other.signal(syscall.SIGKILL)
			}
		}
	case faultStop:
		if s.begin {
			n.signal(syscall.SIGTERM)
		}
	case faultPause:
		if s.begin {
			n.signal(syscall.SIGSTOP)
		} else {
			n.signal(syscall.SIGCONT)
		}
	case faultStoreLink:
		n.store.set(modeOf(s))
	case faultWorker:
		w.links[s.fault.Target%workerCount].set(modeOf(s))
	case faultStoreDown:
		w.store.SetFaults(fakes.StoreFaults{Down: s.begin})
	case faultStoreSlow:
		w.store.SetFaults(fakes.StoreFaults{Delay: time.Duration(s.fault.Target%300) * time.Millisecond * time.Duration(oneIf(s.begin))})
	case faultStoreLoss:
		w.store.SetFaults(fakes.StoreFaults{LoseEvery: 3 * oneIf(s.begin)})
	case faultCrash:
		if s.begin {
			worker.Crash()
		}
	case faultLate:
		worker.SetLateOrders(0.5 * float64(oneIf(s.begin)))
	case faultDrain:
		worker.SetDraining(s.begin)
	case faultOut:
		w.store.SetOut(dataCentres[s.fault.Target%len(dataCentres)], s.begin)
	case faultConfig:
		w.version++
		w.store.PutConfig(fakes.Config(w.version, host, path, key))
	}
}

func modeOf(s step) mode {
	if s.begin {
		return s.fault.Mode
	}
	return linkWell
}

func oneIf(condition bool) int {
	if condition {
		return 1
	}
	return 0
}

// heal ends all faults.
func (w *world) heal() {
	w.store.SetFaults(fakes.StoreFaults{})
	for _, n := range w.nodes {
		n.hold(false)
		n.signal(syscall.SIGCONT)
		n.store.set(linkWell)
	}
	for _, link := range w.links {
		link.set(linkWell)
	}
	for _, worker := range w.fleet.Workers() {
		worker.SetLateOrders(0)
		worker.SetDraining(false)
	}
	for _, dc := range dataCentres {
		w.store.SetOut(dc, false)
	}
}

// awaitStart waits until a node serves.
func (w *world) awaitStart(t *testing.T) {
	t.Helper()
	for end := time.Now().Add(startLimit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if _, verdict := w.client.State(w.nodes[0].address, "none"); verdict == fakes.Unknown {
			return
		}
	}
	t.Fatalf("no node served within %s", startLimit)
}

// awaitCompletion waits until all accepted jobs are completed, and notes those that aren't.
func (w *world) awaitCompletion() {
	random := rand.New(rand.NewPCG(1, 1))
	open := append([]string(nil), w.accepted...)
	for end := time.Now().Add(settleLimit); time.Now().Before(end) && len(open) > 0; time.Sleep(100 * time.Millisecond) {
		var left []string
		for _, id := range open {
			state, verdict := w.client.State(w.pick(random), id)
			if verdict == fakes.Unknown {
				w.problem("accepted job %s is said not to exist", id)
			}
			if verdict != fakes.Accepted || state != "completed" {
				left = append(left, id)
			}
		}
		open = left
	}
	for _, id := range open {
		state, verdict := w.client.State(w.pick(random), id)
		w.problem("accepted job %s is not completed %s after the last fault: state %q, verdict %d", id, settleLimit, state, verdict)
	}
}

// soak plays a plan and fails the test if a promise was broken.
func soak(t *testing.T, seed uint64, length time.Duration, nodes int, plan []fault) {
	dir := filepath.Join(os.TempDir(), fmt.Sprintf("arbutuswing-soak-%d-%d", seed, os.Getpid()))
	assert.NilError(t, os.MkdirAll(dir, 0o700))
	w := newWorld(t, dir, nodes)
	w.awaitStart(t)
	begun := time.Now()
	var clients sync.WaitGroup
	for i := range clientCount {
		clients.Add(1)
		go w.runClient(i, seed, begun.Add(length), &clients)
	}
	for _, s := range steps(plan) {
		time.Sleep(time.Until(begun.Add(s.at)))
		w.apply(s)
	}
	clients.Wait()
	w.heal()
	w.awaitCompletion()
	problems := append(w.fleet.Problems(), w.problems...)
	t.Logf("seed %d, %d nodes: %d faults, %d jobs accepted, %d refused, %d in doubt, %d starts", seed, nodes, len(plan),
		len(w.accepted), w.refused, w.doubtful, w.fleet.Starts())
	assert.Assert(t, len(w.accepted) > 0, "no job was accepted")
	if len(problems) > 0 {
		printed, err := json.Marshal(plan)
		assert.NilError(t, err)
		t.Fatalf("%d promises broken; logs in %s\n%s\nplan (play it again with -soak.plan=FILE):\n%s", len(problems), dir,
			strings.Join(problems[:min(len(problems), 20)], "\n"), printed)
	}
	_ = os.RemoveAll(dir)
}

// TestSoak guards against lost, doubled or misplaced work under faults that come in series and overlap.
func TestSoak(t *testing.T) {
	plan := newPlan(*soakSeed, *soakLength)
	if *soakPlan != "" {
		var err error
		plan, err = readPlan(*soakPlan)
		assert.NilError(t, err)
	}
	soak(t, *soakSeed, *soakLength, *soakNodes, plan)
}
