package soak

import (
	"encoding/json"
	"math/rand/v2"
	"os"
	"slices"
	"time"
)

// Kinds of faults.
const (
	faultKill      = "kill-node"
	faultStop      = "stop-node"
	faultPause     = "pause-node"
	faultStoreLink = "store-link"
	faultStoreDown = "store-down"
	faultStoreSlow = "store-slow"
	faultStoreLoss = "store-loses-answers"
	faultWorker    = "worker-link"
	faultCrash     = "worker-crash"
	faultLate      = "late-orders"
	faultDrain     = "drain-worker"
	faultOut       = "data-centre-out"
	faultConfig    = "config"
	faultKillAll   = "kill-all"
)

// fault is one entry of a plan; Target counts nodes, workers or data centres, modulo their number.
type fault struct {
	At     time.Duration `json:"at"`
	For    time.Duration `json:"for"`
	Kind   string        `json:"kind"`
	Target int           `json:"target"`
	Mode   mode          `json:"mode,omitempty"`
}

// calm is how long no fault begins at the start of a run, until an owner serves.
const calm = 2 * time.Second

// newPlan draws faults for a run of the given length; they come in series and overlap.
func newPlan(seed uint64, length time.Duration) []fault {
	random := rand.New(rand.NewPCG(seed, seed))
	kinds := []string{
		faultKill, faultKill, faultStop, faultPause, faultStoreLink, faultStoreLink, faultStoreDown, faultStoreSlow, faultStoreLoss,
		faultWorker, faultWorker, faultCrash, faultLate, faultDrain, faultOut, faultConfig, faultKillAll,
	}
	modes := []mode{linkDelay, linkReset, linkSilent, linkDeaf}
	var plan []fault
	for at := calm; at < length; at += time.Duration(200+random.IntN(1800)) * time.Millisecond {
		f := fault{
			At: at, For: time.Duration(300+random.IntN(3500)) * time.Millisecond, Kind: kinds[random.IntN(len(kinds))],
			Target: random.IntN(1000),
		}
		if f.Kind == faultStoreLink || f.Kind == faultWorker {
			f.Mode = modes[random.IntN(len(modes))]
		}
		plan = append(plan, f)
	}
	return plan
}

// step is the beginning or the end of a fault.
type step struct {
	at    time.Duration
	fault fault
	begin bool
}

func steps(plan []fault) []step {
	out := make([]step, 0, 2*len(plan))
	for _, f := range plan {
		out = append(out, step{f.At, f, true}, step{f.At + f.For, f, false})
	}
	slices.SortStableFunc(out, func(a, b step) int { return int(a.at - b.at) })
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
