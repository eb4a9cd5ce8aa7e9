package soak

import (
	"encoding/json"
	"math/rand/v2"
	"os"
	"slices"
	"time"
)

// Kinds of faults, as written in plans.
const (
	faultKillNode          = "kill-node"
	faultStopNode          = "stop-node"
	faultPauseNode         = "pause-node"
	faultStoreLink         = "store-link"
	faultStoreDown         = "store-down"
	faultStoreSlow         = "store-slow"
	faultStoreDropsAnswers = "store-loses-answers"
	faultWorkerLink        = "worker-link"
	faultWorkerCrash       = "worker-crash"
	faultDelayedCommands   = "late-orders"
	faultWorkerDrain       = "drain-worker"
	faultDataCentreOut     = "data-centre-out"
	faultConfig            = "config"
	faultKillAllNodes      = "kill-all"
)

// fault is one entry of a plan. Target modulo the number of nodes, workers or data centres is the index of the one affected.
type fault struct {
	At       time.Duration `json:"at"`
	Duration time.Duration `json:"for"`
	Kind     string        `json:"kind"`
	Target   int           `json:"target"`
	Mode     linkMode      `json:"mode,omitempty"`
}

// quietStart is the time at the start of a run in which no fault begins, so that an owner can start serving.
const quietStart = 2 * time.Second

// newPlan returns random faults for a run of the given length; several may be in effect at the same time.
func newPlan(seed uint64, length time.Duration) []fault {
	random := rand.New(rand.NewPCG(seed, seed))
	kinds := []string{
		faultKillNode, faultKillNode, faultStopNode, faultPauseNode, faultStoreLink, faultStoreLink, faultStoreDown, faultStoreSlow,
		faultStoreDropsAnswers, faultWorkerLink, faultWorkerLink, faultWorkerCrash, faultDelayedCommands, faultWorkerDrain,
		faultDataCentreOut, faultConfig, faultKillAllNodes,
	}
	modes := []linkMode{linkDelay, linkReset, linkNoData, linkNoAnswers}
	var plan []fault
	for at := quietStart; at < length; at += time.Duration(200+random.IntN(1800)) * time.Millisecond {
		f := fault{
			At: at, Duration: time.Duration(300+random.IntN(3500)) * time.Millisecond, Kind: kinds[random.IntN(len(kinds))],
			Target: random.IntN(1000),
		}
		if f.Kind == faultStoreLink || f.Kind == faultWorkerLink {
			f.Mode = modes[random.IntN(len(modes))]
		}
		plan = append(plan, f)
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
