package owner

import (
	"cmp"
	"fmt"
	"math/rand"
	"time"

	"arbutuswing.example/internal/agent"
	"arbutuswing.example/internal/model"
	"arbutuswing.example/internal/work"
)

// noTask marks a line of the trace that is about a worker.
var noTask work.TaskRef

// simFaults are the faults of a fleet. Shares are those of all commands.
type simFaults struct {
	// lost commands are never carried out, late ones seconds later, after newer ones, unanswered ones at once. slow ones take long,
	// or their answers do, so that they overtake each other. silentLate is the share of late ones among those to a silent worker.
	lost, late, unanswered, slow, silentLate float64
	// lateStarts is the share of late ones among starts, in addition, and restartsAtLateStarts how often a worker restarts before one.
	lateStarts, restartsAtLateStarts float64
	// failures is the share of runs that fail, and stopGrace the share of the grace time that a stop takes at most.
	failures, stopGrace float64
	// registryLag is how many seconds a node learns of a change of the registry late at most.
	registryLag float64
	// enforcesCapacity tells that workers refuse what doesn't fit, leasesFromArrival that the lease of a late command lasts as long
	// as that of one in time, lateFollows that a late command follows a worker to its new address, and gangsOutlive that the member
	// of a gang on a silent worker outlives the others.
	enforcesCapacity, leasesFromArrival, lateFollows, gangsOutlive bool
	// numbersPerAddress tells that the connections to each address are counted by themselves.
	numbersPerAddress bool
	// maxAttempts is how many runs of a task may fail; zero means one.
	maxAttempts int
	// tasksPerRecord is how many tasks of a job a record of its progress holds; zero means the default.
	tasksPerRecord int
	// troubles are the troubles of workers that trouble plays.
	troubles []simWorkerTrouble
}

func (f simFaults) attempts() int { return cmp.Or(f.maxAttempts, 1) }

// simWorkerTrouble is a trouble of a worker, which begins with the fleet's lock held.
type simWorkerTrouble struct {
	name  string
	begin func(f *simFleet, w *simWorker, random *rand.Rand)
}

// simWorkerTroubles are all troubles of workers.
var simWorkerTroubles = []simWorkerTrouble{
	{"restart of a worker", restartWorker},
	{"restart of a worker among late commands", restartAfterStorm},
	{"missing entry", unlistWorker},
	{"silence of a worker", silenceWorker},
	{"silence of all workers", silenceAll},
	{"spell of late commands", stormAt},
	{"drain", drainWorker},
	{"unhealthy worker", sickenWorker},
	{"silence among late commands", silenceAfterStorm},
}

// drawTime draws a time from a range of seconds.
func drawTime(random *rand.Rand, from, to float64) time.Duration {
	return time.Duration((from + random.Float64()*(to-from)) * float64(time.Second))
}

// trouble begins the nth trouble, mostly at a worker with a run, and returns its name.
func (f *simFleet) trouble(n int) string {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.settle()
	random := f.draws.rand("worker trouble", n)
	var up, busy []*simWorker
	for _, id := range f.order {
		w := f.workers[id]
		if w.up {
			up = append(up, w)
		}
		if len(w.running) > 0 {
			busy = append(busy, w)
		}
	}
	if len(busy) > 0 && random.Intn(4) > 0 {
		up = busy
	}
	if len(up) == 0 || len(f.faults.troubles) == 0 {
		return "none"
	}
	chosen := f.faults.troubles[random.Intn(len(f.faults.troubles))]
	chosen.begin(f, up[random.Intn(len(up))], random)
	return chosen.name
}

// meet counts that a fault met a run.
func (f *simFleet) meet(w *simWorker, fault string) {
	f.met[fault]++
	if len(w.running) > 0 {
		f.met[fault+" that met a run"]++
	}
}

// restartWorker ends a worker's process, which starts again soon, or after its entry has expired.
func restartWorker(f *simFleet, w *simWorker, random *rand.Rand) {
	f.meet(w, "restarts")
	down := drawTime(random, 0, 2)
	if random.Intn(3) == 0 {
		down = drawTime(random, 2, 20)
	}
	f.restart(w, random, down)
}

// restartAfterStorm lets commands to a worker arrive late and then restarts it, so that these reach the next incarnation.
func restartAfterStorm(f *simFleet, w *simWorker, random *rand.Rand) {
	f.meet(w, "restarts among late commands")
	f.storms[w.id] = f.at + drawTime(random, 1, 6)
	down, boot := drawTime(random, 0, 1), w.boot
	silence := time.Duration(random.Intn(2)) * drawTime(random, 2, 25)
	time.AfterFunc(drawTime(random, 0.3, 3), func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.settle()
		if w.up && w.boot == boot {
			f.restart(w, random, down)
			w.silentUntil = max(w.silentUntil, f.at+silence)
		}
	})
}

// restartAtLateStart restarts a worker before a late start of it is carried out, and may let it fall silent.
func (f *simFleet) restartAtLateStart(id model.WorkerID, late time.Duration, random *rand.Rand) {
	w := f.workers[id]
	boot, silence := w.boot, time.Duration(random.Intn(2))*drawTime(random, 2, 25)
	time.AfterFunc(time.Duration(random.Float64()*float64(late)), func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.settle()
		if w.up && w.boot == boot {
			f.meet(w, "restarts before late starts")
			f.restart(w, random, drawTime(random, 0, 1))
			w.silentUntil = max(w.silentUntil, f.at+silence)
		}
	})
}

// silenceAfterStorm lets commands to a worker arrive late and then no others, for longer than a lease.
func silenceAfterStorm(f *simFleet, w *simWorker, random *rand.Rand) {
	f.meet(w, "silences among late commands")
	f.storms[w.id] = f.at + drawTime(random, 1, 4)
	length := drawTime(random, 8, 40)
	time.AfterFunc(drawTime(random, 0.3, 3), func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.settle()
		w.silentUntil = f.at + length
		f.note(w, noTask, "no command arrives until %v", w.silentUntil)
	})
}

// restart ends the worker's process, and starts it again after a while.
func (f *simFleet) restart(w *simWorker, random *rand.Rand, down time.Duration) {
	f.crash(w)
	time.AfterFunc(down, func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.settle()
		f.boot(w, random)
	})
}

// crash ends the worker's process and its runs, of which it lists no end.
func (f *simFleet) crash(w *simWorker) {
	f.note(w, noTask, "boot %d crashes with %d runs", w.boot, len(w.running))
	w.formerEntry = agent.Entry{}
	if f.at >= w.unlistedUntil {
		w.formerEntry = w.entry()
	}
	runs := w.sortedRuns()
	w.up, w.downSince, w.unlistedUntil, w.draining = false, f.at, 0, false
	w.reset()
	for _, run := range runs {
		f.note(w, run.task, "run %d ends with its worker", run.run)
		if run.orphaned == "" {
			f.endGang(run, agent.OutcomeGangBroken)
		}
	}
}

// boot starts the worker's process again, possibly at another address, of another size and with a lower name.
func (f *simFleet) boot(w *simWorker, random *rand.Rand) {
	if w.up {
		return
	}
	if f.at > w.downSince+simEntryExpiry {
		w.formerEntry = agent.Entry{}
	}
	w.boot++
	former := w.address
	free := func(address string) bool {
		for _, id := range f.order {
			if other := f.workers[id]; other.up && other.address == address {
				return false
			}
		}
		return true
	}
	switch random.Intn(3) {
	case 0:
		w.address = fmt.Sprintf("%s-%d", w.id, w.boot)
	case 1:
		if len(f.addresses) > 0 {
			w.address = f.addresses[random.Intn(len(f.addresses))]
		}
	}
	if !free(w.address) {
		w.address = fmt.Sprintf("%s-%d", w.id, w.boot)
	}
	if w.address != former {
		f.addresses = append(f.addresses, former)
	}
	w.begun = f.at - drawTime(random, 0, 2)
	if random.Intn(4) == 0 {
		w.begun = f.at - drawTime(random, 0, 200)
	}
	w.rate = 1 - 0.02*float64(random.Intn(3))/2
	w.born += 1000 + random.Int63n(10_000)
	if random.Intn(3) == 0 {
		w.born -= 50_000 + random.Int63n(10_000)
	}
	w.capacity.Cores = model.MilliCores(2 + random.Intn(5))
	w.entryFrom = f.at + drawTime(random, 0, 4)
	w.up = true
	f.note(w, noTask, "boot %d, born %d, at %s with clock %v", w.boot, w.born, w.address, w.clock(f.at))
}

// unlistWorker removes the entry of a worker that lives on, for a while or for good.
func unlistWorker(f *simFleet, w *simWorker, random *rand.Rand) {
	f.meet(w, "missing entries")
	length, gone := drawTime(random, 2, 12), 0
	for _, id := range f.order {
		if f.workers[id].unlistedUntil == never {
			gone++
		}
	}
	if f.at >= w.unlistedUntil {
		w.unlistedSince = f.at
	}
	w.unlistedUntil = f.at + length
	if random.Intn(6) == 0 && gone < len(f.order)/6 {
		w.unlistedUntil = never
	}
	f.note(w, noTask, "entry is missing until %v", w.unlistedUntil)
}

// silenceWorker lets no command arrive at a worker, or no answer of it, at all nodes.
func silenceWorker(f *simFleet, w *simWorker, random *rand.Rand) {
	f.meet(w, "silences")
	until := f.at + drawTime(random, 1, 14)
	if random.Intn(2) == 0 {
		w.silentUntil = until
		f.note(w, noTask, "no command arrives until %v", until)
		return
	}
	w.muteUntil = until
	f.note(w, noTask, "no answer arrives until %v", until)
}

// silenceAll does the same for all workers, for a short time.
func silenceAll(f *simFleet, _ *simWorker, random *rand.Rand) {
	until, commands := f.at+drawTime(random, 0.5, 5), random.Intn(2) == 0
	for _, id := range f.order {
		w := f.workers[id]
		f.meet(w, "silences of all")
		if commands {
			w.silentUntil = max(w.silentUntil, until)
		} else {
			w.muteUntil = max(w.muteUntil, until)
		}
		f.note(w, noTask, "silence of all until %v, commands %v", until, commands)
	}
}

// stormAt lets most commands to a worker arrive late for a while, or to all.
func stormAt(f *simFleet, w *simWorker, random *rand.Rand) {
	until := f.at + drawTime(random, 1, 6)
	if random.Intn(4) > 0 {
		f.meet(w, "spells of late commands")
		f.storms[w.id] = until
		return
	}
	for _, id := range f.order {
		f.storms[id] = max(f.storms[id], until)
	}
}

// drainWorker announces that a worker leaves. It does so, or stays.
func drainWorker(f *simFleet, w *simWorker, random *rand.Rand) {
	f.meet(w, "drains")
	w.draining = true
	f.note(w, noTask, "drains")
	leaves, boot, down := random.Intn(3) > 0, w.boot, drawTime(random, 1, 12)
	time.AfterFunc(drawTime(random, 4, 16), func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.settle()
		switch {
		case !w.up || w.boot != boot:
		case leaves:
			f.restart(w, random, down)
		default:
			w.draining = false
		}
	})
}

// sickenWorker lets a worker carry out no commands for a while.
func sickenWorker(f *simFleet, w *simWorker, random *rand.Rand) {
	f.meet(w, "unhealthy workers")
	w.unhealthyUntil = f.at + drawTime(random, 0.5, 5)
	f.note(w, noTask, "unhealthy until %v", w.unhealthyUntil)
}

// isolateWorker lets commands to a worker with a run arrive late and then no others.
func (f *simFleet) isolateWorker(n int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.settle()
	random := f.draws.rand("isolated worker", n)
	var busy []*simWorker
	for _, id := range f.order {
		if w := f.workers[id]; len(w.running) > 0 {
			busy = append(busy, w)
		}
	}
	if len(busy) > 0 {
		silenceAfterStorm(f, busy[random.Intn(len(busy))], random)
	}
}

// muteNode lets no answer of a worker arrive at one node.
func (f *simFleet) muteNode(connection *simConnection, n int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.settle()
	random := f.draws.rand("mute node", n)
	until := f.at + drawTime(random, 1, 14)
	for _, id := range f.order {
		if random.Intn(4) == 0 {
			f.meet(f.workers[id], "silences to a node")
			f.mutes[simMute{connection, id}] = until
		}
	}
}

// heal ends all faults. An entry that is gone for good stays so.
func (f *simFleet) heal() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.settle()
	f.faults.lost, f.faults.late, f.faults.unanswered, f.faults.slow, f.faults.silentLate = 0, 0, 0, 0, 0
	clear(f.storms)
	clear(f.mutes)
	for i, id := range f.order {
		w := f.workers[id]
		w.silentUntil, w.muteUntil, w.unhealthyUntil = min(w.silentUntil, f.at), 0, 0
		if w.unlistedUntil != never {
			w.unlistedUntil = 0
		}
		w.draining = false
		f.boot(w, f.draws.rand("worker heal", i))
	}
}
