package main

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"
)

// memoryLimit is limits.memory-mb of the settings: "A process that exceeds `memory-mb` is killed." (DEPLOY.md)
const memoryLimit = 284 << 20

// resident returns the resident memory of a process in bytes, or 0 if it has ended.
func resident(pid int) int64 {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for _, line := range strings.Split(string(data), "\n") {
		if fields := strings.Fields(line); len(fields) > 1 && fields[0] == "VmRSS:" {
			kilobytes, _ := strconv.ParseInt(fields[1], 10, 64)
			return kilobytes << 10
		}
	}
	return 0
}

// watch does what the platform does for a node until the context of the case ends: it kills its process when it is over the limit of
// its memory, and starts a process that has ended again after a second. It returns how often the process ended.
func (s *system) watch(n *node, done <-chan struct{}) <-chan int {
	result := make(chan int, 1)
	go func() {
		ends, highest := 0, int64(0)
		for {
			select {
			case <-done:
				s.rec.note("%s: ended by itself %d times, highest memory %d MiB", n.name, ends, highest>>20)
				result <- ends
				return
			case <-n.ended:
				ends++
				s.rec.note("%s: its process has ended", n.name)
				time.Sleep(time.Second)
				if s.launch(n) != nil {
					result <- ends
					return
				}
			case <-time.After(10 * time.Millisecond):
				used := resident(n.command.Process.Pid)
				highest = max(highest, used)
				if used > memoryLimit {
					s.rec.note("%s: process %d uses %d MiB of its %d, the platform kills it", n.name, n.command.Process.Pid, used>>20,
						memoryLimit>>20)
					_ = n.command.Process.Kill()
					<-n.ended
				}
			}
		}
	}()
	return result
}

// recurring: submissions that recur for a week are accepted, one each second.
func recurring(s *system, trouble bool) (string, error) {
	if err := s.start(6, config); err != nil {
		return "", err
	}
	s.fleet.outcome = func(runKey) (time.Duration, string) { return time.Second, "done" }
	done := make(chan struct{})
	var results []<-chan int
	for _, n := range s.nodes {
		results = append(results, s.watch(n, done))
	}
	count, times, interval, pause := 3, 10_000, time.Minute, 500*time.Millisecond
	steps := []step{{Count: 10, CPU: 1000, Memory: 1024, Estimate: 5000}}
	if os.Getenv("SITE_FIGURES") != "" {
		// The largest figures of large/kilan-sched-large for tackcount: 3 steps of 160 tasks, 8 times, every 2 s.
		times, interval, pause = 8, 2*time.Second, 90*time.Millisecond
		steps = []step{{Count: 160, CPU: 1000, Memory: 1024, Estimate: 5000}}
		steps = append(steps, steps[0], steps[0])
	}
	switch {
	case trouble && times == 8:
		count = 480
	case trouble:
		count = 24
	}
	accepted := 0
	first := time.Now().Add(time.Hour)
	for i := range count {
		id := fmt.Sprintf("%016x", 0xe000+i)
		if s.submitRecurring(i, id, steps, times, first, interval) {
			accepted++
		}
		time.Sleep(pause)
	}
	s.rec.note("%d of %d submissions accepted; 60 s follow without any call that changes something", accepted, count)
	end := time.Now().Add(60 * time.Second)
	const small = "00000000000000ff"
	_ = s.submitRecurring(0, small, []step{{Count: 1, CPU: 1000, Memory: 1024, Estimate: 1000}}, 0, time.Time{}, 0)
	answered, asked := 0, 0
	for time.Now().Before(end) {
		for _, n := range s.nodes {
			asked++
			if status, _, err := s.call("GET", n, small, nil); err == nil && status == 200 {
				answered++
			}
		}
		time.Sleep(500 * time.Millisecond)
	}
	_, ran := s.fleet.ranAfter(small, time.Time{})
	s.rec.note("the small submission %s has run: %t; %d of %d calls for its state were answered with a state", small, ran, answered, asked)
	close(done)
	nodesOften, ends := 0, 0
	for _, r := range results {
		n := <-r
		ends += n
		if n >= 3 {
			nodesOften++
		}
	}
	if nodesOften < 2 {
		return "", nil
	}
	return fmt.Sprintf("Fault: processes of %d of %d machines have ended by themselves three times or more, %d times in all, over the limit of their "+
		"memory; small submission run: %t; %d of %d calls for its state answered", nodesOften, len(s.nodes), ends, ran, answered, asked), nil
}
