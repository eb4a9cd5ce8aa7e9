// Command rig3 plays the scripts of the third review: rig3 CASE FOLDER, with TROUBLE=0 without the disruption.
package main

import (
	"fmt"
	"os"
)

var cases = map[string]func(r *Rig, trouble bool){
	// The cases 11 to 15.
	"gang":    gang,
	"restart": restart,
	"flaky":   flaky,
	"gone":    gone,
	"reborn":  reborn,
	// Others that the report names.
	"oddentry":  oddEntry,
	"hangdrain": hangDrain,
	"closing":   closing,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: rig3 CASE FOLDER")
		os.Exit(2)
	}
	cases[os.Args[1]](newRig(os.Args[2]), os.Getenv("TROUBLE") != "0")
}
