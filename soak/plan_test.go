package soak

import (
	"encoding/json"
	"math/rand/v2"
	"os"
	"slices"
	"time"

	"arbutuswing.example/platform/fakes"
)

// Kinds of faults, as written in plans.
const (
	faultKillNode          = "kill-node"
	faultStopNode          = "stop-node"
	faultPauseNode         = "pause-node"
	faultStarveNode        = "starve-node"
	faultStoreLink         = "store-link"
	faultStoreDown         = "store-down"
	faultStoreSlow         = "store-slow"
	faultStoreDropsAnswers = "store-loses-answers"
	faultWorkerLink        = "worker-link"
	faultWorkerCrash       = "worker-crash"
	faultWorkerMove        = "worker-move"
	faultLateCommands      = "late-commands"
	faultWorkerDrain       = "drain-worker"
	faultDataCentreOut     = "data-centre-out"
	faultConfig            = "config"
	faultKillAllNodes      = "kill-all"
)

// ownerTarget is the target of a fault of the node that owns the jobs when the fault begins.
const ownerTarget = -1

// fault is one entry of a plan. Target modulo the number of nodes, workers or data centres is the index of the one affected.
type fault struct {
	At       time.Duration `json:"at"`
	Duration time.Duration `json:"for"`
	Kind     string        `json:"kind"`
	Target   int           `json:"target"`
	Mode     linkMode      `json:"mode,omitempty"`
	// Late tells which commands a fault of this kind makes late.
	Late *fakes.LateCommands `json:"late,omitempty"`
}

const (
	// minSilence and maxSilence bound how long workers are silent: from less than a lease to longer than the wait for one.
	minSilence = 8 * time.Second
	maxSilence = 14 * time.Second
	// silencesPerLinkFault is how many faults of workers' links there are for each one that is a silence.
	silencesPerLinkFault = 3
)

// between returns a random time in [shortest, longest).
func between(random *rand.Rand, shortest, longest time.Duration) time.Duration {
	return shortest + time.Duration(random.Int64N(int64(longest-shortest)))
}

// randomLate returns a random form of late commands of at least one kind.
func randomLate(random *rand.Rand) *fakes.LateCommands {
	kinds := []fakes.CommandKind{fakes.Start, fakes.Stop, fakes.Heartbeat}
	random.Shuffle(len(kinds), func(i, j int) { kinds[i], kinds[j] = kinds[j], kinds[i] })
	return &fakes.LateCommands{
		Share: 0.3 + 0.7*random.Float64(), Kinds: kinds[:1+random.IntN(len(kinds))], LeaseFromArrival: random.IntN(2) == 0,
	}
}

// quietStart is the time at the start of a run in which no fault begins, so that an owner can start serving.
const quietStart = 2 * time.Second

// newPlan returns random faults for a run of the given length; several may be in effect at the same time.
func newPlan(seed uint64, length time.Duration) []fault {
	random := rand.New(rand.NewPCG(seed, seed))
	kinds := []string{
		faultKillNode, faultKillNode, faultStopNode, faultPauseNode, faultStarveNode, faultStarveNode, faultStoreLink,
		faultStoreLink, faultStoreDown, faultStoreSlow, faultStoreDropsAnswers, faultWorkerLink, faultWorkerLink, faultWorkerCrash,
		faultWorkerMove, faultWorkerMove, faultLateCommands, faultWorkerDrain, faultDataCentreOut, faultConfig, faultKillAllNodes,
	}
	modes := []linkMode{linkDelay, linkReset, linkNoData, linkNoAnswers}
	var plan []fault
	for at := quietStart; at < length; at += time.Duration(200+random.IntN(1800)) * time.Millisecond {
		f := fault{
			At: at, Duration: time.Duration(300+random.IntN(3500)) * time.Millisecond, Kind: kinds[random.IntN(len(kinds))],
			Target: random.IntN(1000),
		}
		switch f.Kind {
		case faultStoreLink:
			f.Mode = modes[random.IntN(len(modes))]
		case faultWorkerLink:
			f.Mode = modes[random.IntN(len(modes))]
			if random.IntN(silencesPerLinkFault) == 0 {
				f.Duration, f.Mode = between(random, minSilence, maxSilence), silences[random.IntN(len(silences))]
			}
		case faultLateCommands:
			f.Late = randomLate(random)
		case faultKillNode, faultStopNode, faultPauseNode, faultStarveNode:
			if random.IntN(2) == 0 {
				f.Target = ownerTarget
			}
		}
		plan = append(plan, f)
	}
	return plan
}

// silences are the modes of links in which a worker's answers don't arrive.
var silences = []linkMode{linkNoData, linkNoAnswers, linkReset}

// lateRound is the interval at which newLatePlan makes other workers late and silent.
const lateRound = 11 * time.Second

// newLatePlan returns rounds in which some workers carry out commands late, fall silent meanwhile and may restart, while the store
// loses answers and, in most rounds, the owner is killed, paused or stopped.
func newLatePlan(seed uint64, length time.Duration) []fault {
	const workers = 4
	random := rand.New(rand.NewPCG(seed, seed))
	order := random.Perm(workerCount)
	var plan []fault
	for at, first := quietStart, 0; at+lateRound <= length; at, first = at+lateRound, first+workers {
		for i := range workers {
			target, late := order[(first+i)%workerCount], at+between(random, 0, time.Second)
			plan = append(plan,
				fault{
					At: late, Duration: between(random, 4*time.Second, 7*time.Second), Kind: faultLateCommands, Target: target,
					Late: randomLate(random),
				},
				fault{
					At: late + between(random, 2*time.Second, 5*time.Second), Duration: between(random, minSilence, maxSilence),
					Kind: faultWorkerLink, Target: target, Mode: silences[random.IntN(len(silences))],
				})
			if restarts := []string{faultWorkerCrash, faultWorkerMove}; random.IntN(2) == 0 {
				plan = append(plan, fault{
					At: late + between(random, time.Second, 8*time.Second), Kind: restarts[random.IntN(len(restarts))], Target: target,
				})
			}
		}
		plan = append(plan, fault{
			At: at + between(random, 0, 6*time.Second), Duration: between(random, 2*time.Second, 4*time.Second),
			Kind: faultStoreDropsAnswers,
		})
		// A change of owner puts off what the new owner may presume, so that some rounds have none.
		if kinds := []string{faultKillNode, faultStopNode, faultPauseNode, faultStarveNode}; random.IntN(4) > 0 {
			plan = append(plan, fault{
				At: at + between(random, 0, 8*time.Second), Duration: between(random, 300*time.Millisecond, 6*time.Second),
				Kind: kinds[random.IntN(len(kinds))], Target: ownerTarget,
			})
		}
	}
	return plan
}

// faultEvent is the start or the end of a fault.
type faultEvent struct {
	at    time.Duration
	fault fault
	start bool
}

// faultEvents returns the starts and ends of the faults in a plan, in order of time.
func faultEvents(plan []fault) []faultEvent {
	out := make([]faultEvent, 0, 2*len(plan))
	for _, f := range plan {
		out = append(out, faultEvent{f.At, f, true}, faultEvent{f.At + f.Duration, f, false})
	}
	slices.SortStableFunc(out, func(a, b faultEvent) int { return int(a.at - b.at) })
	return out
}

func readPlan(path string) ([]fault, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	var plan []fault
	err = json.Unmarshal(data, &plan)
	return plan, err
}
