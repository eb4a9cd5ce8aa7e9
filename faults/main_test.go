package faults

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
)

// programDir is the folder of the programs that TestMain has built.
var programDir string

func TestMain(m *testing.M) { os.Exit(runMain(m)) }

func runMain(m *testing.M) int {
	dir, err := os.MkdirTemp("", "arbutuswing-faults-")
	if err != nil {
		fmt.Fprintln(os.Stderr, "creating a folder for the programs:", err)
		return 1
	}
	defer os.RemoveAll(dir)
	programDir = dir
	build := exec.Command("go", "build", "-o", dir+string(filepath.Separator), "./entry", "./ctl", "./standin", "./endpt")
	build.Dir = ".."
	if out, err := build.CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "building the programs: %s\n%s", err, out)
		return 1
	}
	return m.Run()
}
