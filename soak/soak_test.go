package soak

import (
	"cmp"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
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
	teamKey = "team-key"
	// workerCount is the number of fake workers.
	workerCount = 9
	// clientCount is the number of clients that submit jobs; each waits clientPause before the next job or attempt.
	clientCount = 4
	clientPause = 350 * time.Millisecond
	// maxAttempts is the number of times that a client tries to submit a job.
	maxAttempts = 5
	// jobsPerCancel is the number of jobs that a client submits for each one that it cancels.
	jobsPerCancel = 9
	// completionTimeout is the time after the last fault within which all accepted jobs must be completed: the leases of lost
	// runs expire within 10 s, a new owner waits for that time and the renewal limit before it starts them again, and then
	// they run.
	completionTimeout = 40 * time.Second
	// maxRunsInRow is how many runs one after the other a job may need after the last fault, in addition to completionTimeout: each
	// of its two stages may have to run again.
	maxRunsInRow = 4
	// longRetention outlasts each run, and shortRetention is as short as repeated submissions allow.
	longRetention  = 2 * time.Minute
	shortRetention = 8 * time.Second
	// jobsPerRepeat is the number of jobs that a client submits for each one that it submits again, within maxRepeatDelay. It
	// submits each cancelled job again.
	jobsPerRepeat  = 3
	maxRepeatDelay = 2 * time.Second
	// cancelTimeout is the time after the last fault within which the runs of cancelled jobs must have ended.
	cancelTimeout = 12 * time.Second
	// startTimeout bounds the time until a node serves clients.
	startTimeout = 20 * time.Second
	// defaultGrace is the time that a node has to stop.
	defaultGrace = 4 * time.Second
)

var dataCentres = []string{"dc1", "dc2", "dc3"}

var queues = []fakes.Queue{
	{Name: "advised", Host: "batch.example", Path: "/advised/", Advice: true},
	{Name: "plain", Host: "batch.example", Path: "/plain/"},
}

// scenario configures a run of the soak.
type scenario struct {
	seed   uint64
	length time.Duration
	nodes  int
	// retention is how long nodes answer calls about ended jobs.
	retention time.Duration
	// grace is the nodes' time between the request to stop and the kill, or zero for defaultGrace.
	grace time.Duration
	// restartDelay is the pause before a node that has ended is restarted, or zero for defaultRestartDelay.
	restartDelay time.Duration
	plan         []fault
	// pause is that of each client before the next job, and taskTime the shortest time that a task runs.
	pause    time.Duration
	taskTime time.Duration
	// longShare is the fraction (0 to 1) of jobs with tasks that outlast every bound on the time after which a run is presumed gone.
	longShare float64
}

// minLongTask and maxLongTask bound the time that the tasks of a long job run: longer than the latest command plus the longest
// lease.
const (
	minLongTask = 30 * time.Second
	maxLongTask = 40 * time.Second
)

// job is a job of a client, with the client that submits it to its queue.
type job struct {
	id     string
	spec   fakes.Job
	client *fakes.Client
	// long tells whether the tasks of the job run for minLongTask or longer.
	long bool
}

// deployment is a set of nodes and fakes of the platform, with proxies that inject faults, and the results of its clients.
type deployment struct {
	store    *fakes.Store
	fleet    *fakes.Fleet
	nodes    []*node
	links    []*proxy
	version  int64
	clients  []*fakes.Client
	scenario scenario
	// storeFaults are the faults of the store that last, and owners the nodes that faults of the owner affect.
	storeFaults []fault
	owners      map[fault]*node

	mu          sync.Mutex
	accepted    []job
	jobsInDoubt int
	refused     int
	violations  []string
}

func newDeployment(t *testing.T, dir string, s scenario) *deployment {
	t.Helper()
	d := &deployment{version: 1, scenario: s, owners: make(map[fault]*node)}
	for _, q := range queues {
		d.clients = append(d.clients, fakes.NewClient(q.Host, q.Path, teamKey))
	}
	var err error
	d.store, err = fakes.NewStore()
	assert.NilError(t, err)
	t.Cleanup(d.store.Close)
	d.fleet, err = fakes.NewFleet(d.store, workerCount, dataCentres, func(address string) (string, error) {
		link, err := newProxy(address)
		if err != nil {
			return "", err
		}
		d.links = append(d.links, link)
		return link.address(), nil
	})
	assert.NilError(t, err)
	t.Cleanup(d.fleet.Close)
	d.store.PutConfig(fakes.Config(d.version, teamKey, queues...))
	d.putOddEntries()
	for i := range s.nodes {
		d.nodes = append(d.nodes, newNode(t, nodeConfig{
			dir: dir, index: i, dataCentre: dataCentres[i%len(dataCentres)], retention: s.retention,
			grace: cmp.Or(s.grace, defaultGrace), restartDelay: cmp.Or(s.restartDelay, defaultRestartDelay), store: d.store, fleet: d.fleet,
		}))
	}
	return d
}

func (d *deployment) addViolation(format string, arguments ...any) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.violations = append(d.violations, fmt.Sprintf(format, arguments...))
}

// randomJob returns a job of one or two stages whose tasks run for at least the given time.
func randomJob(random *rand.Rand, id string, taskTime time.Duration) fakes.Job {
	job := fakes.Job{Payload: "payload of " + id}
	for i := range 1 + random.IntN(2) {
		stage := fakes.Stage{
			Count: 1 + random.IntN(4), CPU: int64(500 + random.IntN(2500)), Memory: int64(256 + random.IntN(2048)),
			Estimate: taskTime.Milliseconds() + int64(200+random.IntN(1500)), Gang: random.IntN(4) == 0, Checkpoints: random.IntN(2) == 0,
		}
		if i > 0 {
			stage.After = []int{0}
		}
		job.Stages = append(job.Stages, stage)
	}
	return job
}

// randomLongJob returns a job of one stage whose tasks outlast every bound.
func randomLongJob(random *rand.Rand, id string) fakes.Job {
	return fakes.Job{Payload: "payload of " + id, Stages: []fakes.Stage{{
		Count: 1 + random.IntN(3), CPU: 400, Memory: 256, Estimate: between(random, minLongTask, maxLongTask).Milliseconds(),
		Gang: random.IntN(4) == 0, Checkpoints: random.IntN(2) == 0,
	}}}
}

// newJob returns a random job of a random queue.
func (d *deployment) newJob(random *rand.Rand, id string) job {
	j := job{id: id, long: random.Float64() < d.scenario.longShare}
	if j.long {
		j.spec = randomLongJob(random, id)
	} else {
		j.spec = randomJob(random, id, d.scenario.taskTime)
	}
	queue := random.IntN(len(queues))
	j.client, j.spec.Advice = d.clients[queue], queues[queue].Advice
	return j
}

// runClient submits jobs until the time end and cancels some of them.
func (d *deployment) runClient(number int, seed uint64, end time.Time, done *sync.WaitGroup) {
	defer done.Done()
	random := rand.New(rand.NewPCG(seed, uint64(number)))
	for count := 0; time.Now().Before(end); count++ {
		id := fmt.Sprintf("%04x%04x%08x", number, count, random.Uint32())
		j := d.newJob(random, id)
		d.fleet.RegisterJob(id, j.spec)
		accepted := d.submit(random, j)
		cancels := count%jobsPerCancel == jobsPerCancel-1
		if accepted && (cancels || count%jobsPerRepeat == 0) {
			address := d.anyAddr(random)
			done.Add(1)
			time.AfterFunc(time.Duration(random.Int64N(int64(maxRepeatDelay))), func() {
				defer done.Done()
				// The repeat may fail; it must not have an effect in any case.
				_, _ = j.client.Submit(address, id, j.spec)
			})
		}
		if cancels {
			d.cancel(random, j)
		}
		time.Sleep(d.scenario.pause)
	}
}

// anyAddr returns the address of a random node.
func (d *deployment) anyAddr(r *rand.Rand) string { return d.nodes[r.IntN(len(d.nodes))].address }

// submit submits a job and reports whether it was accepted.
func (d *deployment) submit(random *rand.Rand, j job) bool {
	inDoubt := false
	for range maxAttempts {
		outcome, err := j.client.Submit(d.anyAddr(random), j.id, j.spec)
		if err != nil {
			d.addViolation("%s: %v", j.id, err)
			return false
		}
		switch outcome {
		case fakes.Accepted:
			d.mu.Lock()
			d.accepted = append(d.accepted, j)
			d.mu.Unlock()
			return true
		case fakes.NoAnswer:
			inDoubt = true
		case fakes.Refused, fakes.NotFound:
		}
		time.Sleep(clientPause)
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if inDoubt {
		d.jobsInDoubt++
		return false
	}
	d.refused++
	d.fleet.MarkRefused(j.id)
	return false
}

// cancel tries to cancel a job and reports whether it was acknowledged. Whether or not, the job need not be completed.
func (d *deployment) cancel(random *rand.Rand, j job) bool {
	acknowledged := j.client.Cancel(d.anyAddr(random), j.id) == fakes.Accepted
	if acknowledged {
		d.fleet.MarkCancelled(j.id)
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.accepted = slices.DeleteFunc(d.accepted, func(other job) bool { return other.id == j.id })
	return acknowledged
}

// node returns the node that a fault affects, which for a fault of the owner is settled when the fault starts.
func (d *deployment) node(e faultEvent) *node {
	if e.fault.Target != ownerTarget {
		return d.nodes[e.fault.Target%len(d.nodes)]
	}
	if e.start {
		name, _, _ := strings.Cut(string(d.store.Newest("owner", "serving")), "|")
		d.owners[e.fault] = d.nodes[max(0, slices.IndexFunc(d.nodes, func(n *node) bool { return n.name == name }))]
	}
	return d.owners[e.fault]
}

// apply starts or ends a fault.
func (d *deployment) apply(e faultEvent) {
	n := d.node(e)
	worker := d.fleet.Workers()[max(0, e.fault.Target)%workerCount]
	switch e.fault.Kind {
	case faultKillNode:
		n.setStayDown(e.start)
		if e.start {
			n.signal(syscall.SIGKILL)
		}
	case faultKillAllNodes:
		for _, other := range d.nodes {
			if e.start {
				other.signal(syscall.SIGKILL)
			}
		}
	case faultStopNode:
		if e.start {
			n.signal(syscall.SIGTERM)
		}
	case faultPauseNode:
		if e.start {
			n.signal(syscall.SIGSTOP)
		} else {
			n.signal(syscall.SIGCONT)
		}
	case faultStarveNode:
		if e.start {
			n.setStarved(maxStarve)
		} else {
			n.setStarved(0)
		}
	case faultStoreLink:
		n.store.set(linkModeAt(e))
	case faultWorkerLink:
		d.links[e.fault.Target%workerCount].set(linkModeAt(e))
	case faultStoreDown, faultStoreSlow, faultStoreDropsAnswers:
		d.applyStoreFault(e)
	case faultWorkerCrash:
		if e.start {
			worker.Crash()
		}
	case faultWorkerMove:
		if e.start {
			d.moveWorker(e.fault.Target % workerCount)
		}
	case faultLateCommands:
		if e.start {
			worker.SetLateCommands(*e.fault.Late)
		} else {
			worker.SetLateCommands(fakes.LateCommands{})
		}
	case faultWorkerDrain:
		worker.SetDraining(e.start)
	case faultDataCentreOut:
		d.store.SetOutOfService(dataCentres[e.fault.Target%len(dataCentres)], e.start)
	case faultConfig:
		d.version++
		d.store.PutConfig(fakes.Config(d.version, teamKey, queues...))
	}
}

// moveWorker lets a worker restart under its ID at another address; nobody answers at the former one.
func (d *deployment) moveWorker(number int) {
	worker, former := d.fleet.Workers()[number], d.links[number]
	link, err := newProxy(worker.ListenAddress())
	if err != nil {
		d.addViolation("moving a worker: %v", err)
		return
	}
	link.set(former.current())
	d.links[number] = link
	former.close()
	worker.Move(link.address())
}

// applyStoreFault starts or ends a fault of the store while others last.
func (d *deployment) applyStoreFault(e faultEvent) {
	if e.start {
		d.storeFaults = append(d.storeFaults, e.fault)
	} else if at := slices.Index(d.storeFaults, e.fault); at >= 0 {
		d.storeFaults = slices.Delete(d.storeFaults, at, at+1)
	}
	var all fakes.StoreFaults
	for _, f := range d.storeFaults {
		switch f.Kind {
		case faultStoreDown:
			all.Down = true
		case faultStoreSlow:
			all.Delay = max(all.Delay, time.Duration(f.Target%300)*time.Millisecond)
		case faultStoreDropsAnswers:
			all.DropAnswerEvery = 3
		}
	}
	d.store.SetFaults(all)
}

// putOddEntries writes registry entries that name no worker, as another writer might leave them.
func (d *deployment) putOddEntries() {
	const template = `{"service":"pool","address":"127.0.0.1:%s","state":"ready","capacity":{"cpu":%s,"mem-mb":1},"labels":%s,"born":%s}`
	odd := []string{
		"", "\xff", "null", "[]", strings.Repeat("[", 100_000), strings.Repeat(`{"service":`, 50_000),
		fmt.Sprintf(template, "70000", "1", "[]", "1"), fmt.Sprintf(template, "-1", "1", "[]", "1"),
		fmt.Sprintf(template, "80", strings.Repeat("9", 40), "[]", "1"), fmt.Sprintf(template, "80", "-9000", "[]", "1"),
		fmt.Sprintf(template, "80", "1", "[]", "1e300"), fmt.Sprintf(template, "80", "1", strings.Repeat("[", 50_000), "1"),
	}
	for i, value := range odd {
		d.store.Put("servers", fmt.Sprintf("odd-%d", i), []byte(value))
	}
	d.store.Put("owner", "strength", []byte("1e999"))
}

// linkModeAt returns the mode of the link after the event.
func linkModeAt(e faultEvent) linkMode {
	if e.start {
		return e.fault.Mode
	}
	return linkHealthy
}

// clearFaults ends all faults.
func (d *deployment) clearFaults() {
	d.storeFaults = nil
	d.store.SetFaults(fakes.StoreFaults{})
	for _, n := range d.nodes {
		n.setStayDown(false)
		n.setStarved(0)
		n.signal(syscall.SIGCONT)
		n.store.set(linkHealthy)
	}
	for _, link := range d.links {
		link.set(linkHealthy)
	}
	for _, worker := range d.fleet.Workers() {
		worker.SetLateCommands(fakes.LateCommands{})
		worker.SetDraining(false)
	}
	for _, dc := range dataCentres {
		d.store.SetOutOfService(dc, false)
	}
}

// awaitStart waits until the first node serves clients.
func (d *deployment) awaitStart(t *testing.T) {
	t.Helper()
	for end := time.Now().Add(startTimeout); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if _, outcome := d.clients[0].State(d.nodes[0].address, "none"); outcome == fakes.NotFound {
			return
		}
	}
	t.Fatalf("no node served within %s", startTimeout)
}

// awaitCompletion waits until all accepted jobs but the long ones are completed and records a violation for each that is not in
// time.
func (d *deployment) awaitCompletion() {
	random := rand.New(rand.NewPCG(1, 1))
	limit := completionTimeout + maxRunsInRow*d.scenario.taskTime
	pending := slices.DeleteFunc(slices.Clone(d.accepted), func(j job) bool { return j.long })
	for end := time.Now().Add(limit); time.Now().Before(end) && len(pending) > 0; time.Sleep(100 * time.Millisecond) {
		pending = slices.DeleteFunc(pending, func(j job) bool {
			state, outcome := j.client.State(d.anyAddr(random), j.id)
			if outcome == fakes.NotFound {
				// Otherwise, the job's retention time is over.
				if d.scenario.retention >= longRetention || !d.fleet.Succeeded(j.id) {
					d.addViolation("accepted job %s was reported as not found", j.id)
					return false
				}
				return true
			}
			return outcome == fakes.Accepted && state == stateCompleted
		})
	}
	for _, j := range pending {
		state, outcome := j.client.State(d.anyAddr(random), j.id)
		d.addViolation("accepted job %s is not completed %s after the last fault: state %q, outcome %d", j.id, limit, state, outcome)
	}
}

// stateCompleted is the state of a job whose tasks have all succeeded, and stateFailed that of one that has failed.
const (
	stateCompleted = "completed"
	stateFailed    = "failed"
)

// cancelLongJobs cancels the accepted long jobs, which would take too long to complete. It records a violation for each that was
// lost.
func (d *deployment) cancelLongJobs() {
	random := rand.New(rand.NewPCG(1, 1))
	for _, j := range slices.Clone(d.accepted) {
		if !j.long {
			continue
		}
		state, outcome := j.client.State(d.anyAddr(random), j.id)
		for end := time.Now().Add(cancelTimeout); outcome != fakes.Accepted && time.Now().Before(end); time.Sleep(clientPause) {
			state, outcome = j.client.State(d.anyAddr(random), j.id)
		}
		if outcome != fakes.Accepted || state == stateFailed {
			d.addViolation("accepted long job %s is lost: state %q, outcome %d", j.id, state, outcome)
		}
		cancelled := false
		for end := time.Now().Add(cancelTimeout); time.Now().Before(end) && !cancelled; {
			cancelled = d.cancel(random, j)
		}
		if !cancelled {
			d.addViolation("cancelling long job %s was not acknowledged within %s", j.id, cancelTimeout)
		}
	}
}

// awaitLateCommands waits until all commands that have arrived are carried out.
func (d *deployment) awaitLateCommands() {
	for d.fleet.LateCommands() > 0 {
		time.Sleep(100 * time.Millisecond)
	}
}

// awaitCancelled waits until no run of a cancelled job is left and records a violation for each that isn't stopped in time.
func (d *deployment) awaitCancelled() {
	for end := time.Now().Add(cancelTimeout); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		if len(d.fleet.CancelledRuns(0)) == 0 {
			return
		}
	}
	for _, run := range d.fleet.CancelledRuns(cancelTimeout) {
		d.addViolation("cancelled run is not stopped: %s", run)
	}
}

// soak runs a deployment under the faults of a plan and fails the test if a guarantee was violated.
func soak(t *testing.T, s scenario) {
	t.Parallel()
	dir, err := os.MkdirTemp("", fmt.Sprintf("arbutuswing-soak-%d-", s.seed))
	assert.NilError(t, err)
	d := newDeployment(t, dir, s)
	d.awaitStart(t)
	started := time.Now()
	var clients sync.WaitGroup
	for i := range clientCount {
		clients.Add(1)
		go d.runClient(i, s.seed, started.Add(s.length), &clients)
	}
	for _, e := range faultEvents(s.plan) {
		time.Sleep(time.Until(started.Add(e.at)))
		d.apply(e)
	}
	clients.Wait()
	d.clearFaults()
	accepted := len(d.accepted)
	d.awaitCompletion()
	d.awaitLateCommands()
	d.cancelLongJobs()
	d.awaitCancelled()
	violations := append(d.fleet.Violations(), d.violations...)
	for _, n := range d.nodes {
		violations = append(violations, n.ownEnds()...)
	}
	gone, held := d.presumedGone(t)
	t.Logf("seed %d, %d nodes: %d faults, %d jobs accepted, %d refused, %d in doubt; workers: %+v; %d runs presumed gone, %d of "+
		"them while their worker held them", s.seed, s.nodes, len(s.plan), accepted, d.refused, d.jobsInDoubt, d.fleet.Counts(),
		gone, held)
	assert.Assert(t, accepted > 0, "no job was accepted")
	if len(violations) > 0 {
		printed, err := json.Marshal(s.plan)
		assert.NilError(t, err)
		t.Fatalf("%d guarantees violated; logs in %s\n%s\nplan (replay it with -soak.plan=FILE):\n%s", len(violations), dir,
			strings.Join(violations[:min(len(violations), 20)], "\n"), printed)
	}
	_ = os.RemoveAll(dir)
}

// presumedGone returns how many runs the nodes have counted as ended without a report, and how many of them their worker held at
// that time.
func (d *deployment) presumedGone(t *testing.T) (gone, held int) {
	t.Helper()
	for _, n := range d.nodes {
		data, err := os.ReadFile(n.logPath)
		assert.NilError(t, err)
		for line := range strings.Lines(string(data)) {
			fields := make(map[string]string)
			for field := range strings.FieldsSeq(line) {
				key, value, _ := strings.Cut(field, "=")
				fields[key] = value
			}
			if fields["msg"] != "run-gone" {
				continue
			}
			at, err := time.Parse("2006-01-02T15:04:05.000Z0700", fields["ts"])
			assert.NilError(t, err, line)
			gone++
			if d.fleet.HeldRun(fields["worker"], strings.ReplaceAll(fields["task"], "/", "."), at) {
				held++
			}
		}
	}
	return gone, held
}

// TestSoak guards against jobs that are lost, run twice at the same time or run where they must not, under several faults at
// the same time.
func TestSoak(t *testing.T) {
	soak(t, scenario{
		seed: *soakSeed, length: *soakLength, nodes: *soakNodes, retention: longRetention,
		plan: planOr(t, newPlan(*soakSeed, *soakLength)), pause: clientPause, longShare: 0.1,
	})
}

// planOr returns the plan in the file that the command line names, or else the given one.
func planOr(t *testing.T, plan []fault) []fault {
	t.Helper()
	if *soakPlan == "" {
		return plan
	}
	plan, err := readPlan(*soakPlan)
	assert.NilError(t, err)
	return plan
}

// TestSoakForgetsEndedJobs guards against ended or cancelled jobs that run again once their records are no longer kept: owners
// change before and after the retention time is over, and clients repeat submissions.
func TestSoakForgetsEndedJobs(t *testing.T) {
	const (
		firstChange    = 5 * time.Second
		changeInterval = shortRetention + 4*time.Second
	)
	length := max(*soakLength, firstChange+changeInterval+4*time.Second)
	plan := newPlan(*soakSeed, length)
	for at := firstChange; at < length; at += changeInterval {
		plan = append(plan, fault{At: at, Kind: faultKillAllNodes})
	}
	soak(t, scenario{seed: *soakSeed, length: length, nodes: *soakNodes, retention: shortRetention, plan: plan, pause: clientPause})
}

// TestSoakRestartedWorkersFallSilent guards against tasks that run twice at the same time: workers restart under their IDs, get
// tasks, and fall silent for longer than a lease soon after.
func TestSoakRestartedWorkersFallSilent(t *testing.T) {
	const (
		round   = 13 * time.Second
		silence = 11 * time.Second
		workers = 6
	)
	random := rand.New(rand.NewPCG(*soakSeed, *soakSeed))
	length := max(*soakLength, round+quietStart)
	var plan []fault
	for at := quietStart; at+round <= length; at += round {
		first := random.IntN(workerCount)
		for i := range workers {
			up := time.Duration(1000+random.IntN(1700)) * time.Millisecond
			plan = append(plan,
				fault{At: at, Kind: faultWorkerCrash, Target: first + i},
				fault{At: at + up, Duration: silence, Kind: faultWorkerLink, Target: first + i, Mode: linkNoData})
		}
	}
	soak(t, scenario{
		seed: *soakSeed, length: length, nodes: *soakNodes, retention: longRetention, plan: plan, pause: 4 * time.Second,
		taskTime: 10 * time.Second,
	})
}

// TestSoakLateCommandsAndSilentWorkers guards against tasks that run twice at the same time, because a command that a worker
// carries out late starts a run, acknowledges its end or keeps it alive longer than its owner assumes.
func TestSoakLateCommandsAndSilentWorkers(t *testing.T) {
	length := max(*soakLength, quietStart+2*lateRound)
	soak(t, lateScenario(*soakSeed, length, planOr(t, newLatePlan(*soakSeed, length))))
}

// lateScenario returns a scenario with the load of a plan of late commands.
func lateScenario(seed uint64, length time.Duration, plan []fault) scenario {
	return scenario{
		seed: seed, length: length, nodes: *soakNodes, retention: longRetention, plan: plan, pause: 700 * time.Millisecond,
		longShare: 0.2,
	}
}

// TestSoakLateAcknowledgementReachesNextIncarnation guards against a task that starts again after an acknowledged success: workers
// restart while they are silent, and a late start runs there and ends before a late heartbeat acknowledges its end.
func TestSoakLateAcknowledgementReachesNextIncarnation(t *testing.T) {
	const (
		workers = 6
		begin   = 3 * time.Second
		silent  = begin + 4500*time.Millisecond
	)
	plan := make([]fault, 0, 3*workers)
	for target := range workers {
		late := &fakes.LateCommands{Share: 0.6, Kinds: []fakes.CommandKind{fakes.Start, fakes.Heartbeat}}
		plan = append(plan,
			fault{At: begin, Duration: 6 * time.Second, Kind: faultLateCommands, Target: target, Late: late},
			fault{At: silent, Duration: 12 * time.Second, Kind: faultWorkerLink, Target: target, Mode: linkNoData},
			fault{At: silent + 300*time.Millisecond, Kind: faultWorkerCrash, Target: target})
	}
	soak(t, lateScenario(*soakSeed, max(*soakLength, quietStart+2*lateRound), plan))
}

// TestSoakRegressions plays each plan of late commands under which a guarantee was once violated.
func TestSoakRegressions(t *testing.T) {
	if !*soakRegressions {
		t.Skip("plays only with -soak.regressions, as each plan takes half a minute")
	}
	paths, err := filepath.Glob("testdata/late-*.json")
	assert.NilError(t, err)
	for _, path := range paths {
		t.Run(filepath.Base(path), func(t *testing.T) {
			var seed uint64
			_, err := fmt.Sscanf(filepath.Base(path), "late-%d.json", &seed)
			assert.NilError(t, err)
			plan, err := readPlan(path)
			assert.NilError(t, err)
			last := plan[0].At
			for _, f := range plan {
				last = max(last, f.At)
			}
			soak(t, lateScenario(seed, max(quietStart+2*lateRound, last), plan))
		})
	}
}
