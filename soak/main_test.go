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

// program is the node program that TestMain has built.
var program string

var (
	soakSeed   = flag.Uint64("soak.seed", 1, "seed of the plan of faults and of the load")
	soakLength = flag.Duration("soak.length", 8*time.Second, "how long faults are injected")
	soakNodes  = flag.Int("soak.nodes", 5, "number of nodes")
	soakPlan   = flag.String("soak.plan", "", "file with a plan to play again instead of one from the seed")
)

func TestMain(m *testing.M) { os.Exit(runMain(m)) }

func runMain(m *testing.M) int {
	dir, err := os.MkdirTemp("", "arbutuswing-soak-")
	if err != nil {
		fmt.Fprintln(os.Stderr, "creating a folder for the program:", err)
		return 1
	}
	defer os.RemoveAll(dir)
	program = filepath.Join(dir, "aw-node")
	build := exec.Command("go", "build", "-o", program, "./node/aw-node")
	build.Dir = ".."
	if out, err := build.CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "building the program: %s\n%s", err, out)
		return 1
	}
	return m.Run()
}
