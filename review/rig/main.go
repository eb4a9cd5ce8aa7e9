// Command rig runs one case of the review: nodes of the system as separate processes, with stand-ins of the platform's
// store, of executors and of consumers, on loopback addresses. It exits with 1 if the rule was broken, 0 if it held, and 2
// if the case couldn't run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// scenario plays a case, with or without its disruption, and returns the broken rules.
type scenario func(rec *recorder, trouble bool) (broken []string, err error)

var scenarios = map[string]scenario{
	"again": again, "recurring": recurring, "route": removedRoute, "avoid": avoidAll, "long": longTask, "rebirth": rebirth, "failing": failing, "hopeless": hopeless,
}

func main() {
	if len(os.Args) != 3 || scenarios[os.Args[1]] == nil {
		fmt.Println("usage: rig CASE FOLDER")
		os.Exit(2)
	}
	rec, err := newRecorder(os.Args[2])
	if err != nil {
		fmt.Println(err)
		os.Exit(2)
	}
	trouble := os.Getenv("TROUBLE") != "0"
	rec.logf("case %s, disruption: %v", os.Args[1], trouble)
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		<-signals
		if current != nil {
			current.stop()
		}
		os.Exit(2)
	}()
	broken, err := scenarios[os.Args[1]](rec, trouble)
	if current != nil {
		current.stop()
	}
	if err != nil {
		rec.logf("the case couldn't run: %v", err)
		fmt.Println("the case couldn't run:", err)
		os.Exit(2)
	}
	for i, b := range broken {
		if i < 5 {
			fmt.Println("rule broken:", b)
		}
	}
	if len(broken) > 0 {
		rec.logf("result: the rule was broken %d times", len(broken))
		fmt.Printf("the rule was broken, %d times\n", len(broken))
		os.Exit(1)
	}
	rec.logf("result: the rule held")
	fmt.Println("the rule held")
}

// current is the system under test, for the signal handler.
var current *system

// begin starts the stand-ins and the nodes, and waits until all nodes are ready and an owner serves.
func begin(rec *recorder, nodes, executors int, cfg map[string]any, changes map[string]string,
	decide func(task string, run int, w *worker) runPlan) (*store, *fleet, *system, error) {
	st, err := newStore(rec)
	if err != nil {
		return nil, nil, nil, err
	}
	st.put("op", "config", cfg)
	f, err := newFleet(rec, st, executors, decide)
	if err != nil {
		return nil, nil, nil, err
	}
	sys, err := newSystem(rec, st, nodes, changes)
	if err != nil {
		return nil, nil, nil, err
	}
	current = sys
	if err := sys.waitReady(15 * time.Second); err != nil {
		return nil, nil, nil, err
	}
	if _, _, err := sys.waitOwnerOtherThan("", 10*time.Second); err != nil {
		return nil, nil, nil, err
	}
	time.Sleep(2 * time.Second)
	rec.logf("all nodes are ready; owner is %s", sys.owner().name)
	return st, f, sys, nil
}
