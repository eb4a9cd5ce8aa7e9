package soak

import (
	"flag"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
	"time"
)

// nodeBinary is the path of the aw-node binary that TestMain has built.
var nodeBinary string

var (
	soakSeed   = flag.Uint64("soak.seed", 1, "seed of the fault plan and of the load")
	soakLength = flag.Duration("soak.length", 8*time.Second, "how long faults are injected")
	soakNodes  = flag.Int("soak.nodes", 5, "number of nodes")
	soakPlan   = flag.String("soak.plan", "", "file with a fault plan to replay instead of a plan from the seed")

	restartNodeCount  = flag.Int("restart.nodes", 7, "number of nodes that are restarted in series")
	restartCallers    = flag.Int("restart.callers", 150, "number of callers on open connections")
	restartRounds     = flag.Int("restart.rounds", 2, "number of rounds of restarts")
	restartGrace      = flag.Duration("restart.grace", 4*time.Second, "time of a node between SIGTERM and SIGKILL")
	restartStandstill = flag.Duration("restart.standstill", 0, "longest time for which the nodes stand still again and again")

	soakRegressions = flag.Bool("soak.regressions", false, "replay the plans in testdata under which guarantees were once violated")
)

func TestMain(m *testing.M) { os.Exit(runMain(m)) }

func runMain(m *testing.M) int {
	dir, err := os.MkdirTemp("", "arbutuswing-soak-")
	if err != nil {
		fmt.Fprintln(os.Stderr, "creating a directory for the binary:", err)
		return 1
	}
	defer os.RemoveAll(dir)
	nodeBinary = filepath.Join(dir, "aw-node")
	build := exec.Command("go", "build", "-o", nodeBinary, "./node/aw-node")
	build.Dir = ".."
	if out, err := build.CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "building aw-node: %s\n%s", err, out)
		return 1
	}
	return m.Run()
}
