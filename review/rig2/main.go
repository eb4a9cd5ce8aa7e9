// Command rig2 plays a case of the review: it starts three processes of aw-node as the deploy file does, on loopback addresses,
// against the project's stand-in of the platform's store and stand-ins of executors, sends submissions, and checks one rule by
// what the executors and clients have seen. It writes record.txt into the folder of the case.
//
//	rig2 CASE FOLDER
//
// It exits with 1 if the rule was broken, with 0 if it held, and with 2 if the case couldn't run. With TROUBLE=0 in the
// environment the disruption is left out. It has to be started in the root of the repository, after the build of the deploy file.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// The bounds of the site kilan-sched that the cases use.
const (
	holdMax      = 10 * time.Second
	killGrace    = 400 * time.Millisecond
	heartbeat    = 1500 * time.Millisecond
	stableWindow = 3 * time.Second
	finish       = 14 * time.Second
)

// recorder writes what was sent, answered and run, with the time since the start.
type recorder struct {
	mu    sync.Mutex
	start time.Time
	file  *os.File
}

func (r *recorder) note(format string, arguments ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	line := fmt.Sprintf("%8.3f  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, arguments...))
	_, _ = r.file.WriteString(line)
}

// errCase tells why a case couldn't run.
type errCase struct{ reason string }

func (e errCase) Error() string { return e.reason }

func fail(format string, arguments ...any) error { return errCase{fmt.Sprintf(format, arguments...)} }

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: rig2 CASE FOLDER")
		return 2
	}
	play, ok := cases[os.Args[1]]
	if !ok {
		fmt.Fprintln(os.Stderr, "no such case:", os.Args[1])
		return 2
	}
	file, err := os.Create(filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer file.Close()
	r := &recorder{start: time.Now(), file: file}
	trouble := os.Getenv("TROUBLE") != "0"
	r.note("case %s, disruption: %t", os.Args[1], trouble)
	s, err := newSystem(r)
	if err == nil {
		defer s.close()
		stop := make(chan os.Signal, 1)
		signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
		go func() {
			<-stop
			s.endNodes()
			os.Exit(2)
		}()
		var broken string
		broken, err = play(s, trouble)
		if err == nil && broken != "" {
			r.note("BROKEN: %s", broken)
			fmt.Println("broken:", broken)
			return 1
		}
	}
	if err != nil {
		r.note("the case couldn't run: %v", err)
		fmt.Println("couldn't run:", err)
		return 2
	}
	r.note("the rule held")
	fmt.Println("held")
	return 0
}
