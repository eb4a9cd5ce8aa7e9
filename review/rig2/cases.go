package main

import (
	"fmt"
	"time"
)

// cases holds the cases by name. A case returns what broke the rule, or "".
var cases = map[string]func(s *system, trouble bool) (string, error){
	"crash-at-renewal":     crashAtRenewal,
	"failure-after-kill":   failureAfterKill,
	"failure-on-last-room": failureOnLastRoom,
	"memory":               memory,
	"recurring":            recurring,
}

// waitRunning waits until a task whose name has the prefix runs.
func (s *system) waitRunning(prefix string, limit time.Duration) (*worker, runKey, error) {
	for deadline := time.Now().Add(limit); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		if w, key, ok := s.fleet.runningOn(prefix); ok {
			return w, key, nil
		}
	}
	return nil, runKey{}, fail("no task of %s runs after %v", prefix, limit)
}

// waitUntil sleeps until the given time.
func waitUntil(at time.Time) { time.Sleep(time.Until(at)) }

// idleFor returns when a task whose name has the prefix was next at work after a time, waiting for it up to a limit.
func (s *system) idleFor(prefix string, since time.Time, limit time.Duration) (time.Duration, bool) {
	for deadline := since.Add(limit); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		if at, ok := s.fleet.ranAfter(prefix, since.Add(time.Millisecond)); ok {
			return at.Sub(since), true
		}
	}
	return limit, false
}

// verdict judges the rule LOST for a submission that has nothing running from a time on: it is broken if nothing runs for 3 s from
// a moment on at which its task's turn has come.
func (s *system) verdict(prefix string, since, from time.Time, limit time.Duration) string {
	idle, again := s.idleFor(prefix, since, limit)
	text := fmt.Sprintf("ran again after %.1f s", idle.Seconds())
	if !again {
		text = fmt.Sprintf("didn't run again within %.1f s", idle.Seconds())
	}
	s.rec.note("%s %s", prefix, text)
	if since.Add(idle).Sub(from) < 3*time.Second {
		return ""
	}
	return fmt.Sprintf("LOST: the task %s has nothing running and %s; it had to run within 3 s from %.1f s after its last run on", prefix,
		text, from.Sub(since).Seconds())
}

// crashAtRenewal: an executor crashes for good while a renewal of its lease is under way.
func crashAtRenewal(s *system, trouble bool) (string, error) {
	if err := s.start(6, config); err != nil {
		return "", err
	}
	s.fleet.outcome = func(runKey) (time.Duration, string) { return 50 * time.Second, "done" }
	const id = "00000000000000a1"
	if err := s.submit(s.nodes[0], id, step{Count: 1, CPU: 4000, Memory: 8192, Estimate: 50_000}); err != nil {
		return "", err
	}
	w, _, err := s.waitRunning(id, 5*time.Second)
	if err != nil {
		return "", err
	}
	time.Sleep(4 * time.Second)
	trafficEnd := time.Now()
	s.rec.note("end of the traffic")
	lost := time.Now()
	if trouble {
		s.fleet.mu.Lock()
		w.crashOnRenewal = true
		s.fleet.mu.Unlock()
		for deadline := time.Now().Add(10 * time.Second); ; time.Sleep(5 * time.Millisecond) {
			s.fleet.mu.Lock()
			dead := w.dead
			s.fleet.mu.Unlock()
			if dead {
				break
			}
			if time.Now().After(deadline) {
				return "", fail("no renewal within 10 s")
			}
		}
		lost = time.Now()
	}
	waitUntil(trafficEnd.Add(finish))
	for _, n := range s.nodes {
		s.state(n, id)
	}
	broken := s.verdict(id, lost, trafficEnd.Add(finish), 40*time.Second)
	s.state(s.nodes[0], id)
	return broken, nil
}

// failureAfterKill: the process of a node is killed and starts again; later a task that lasts fails by its own fault.
func failureAfterKill(s *system, trouble bool) (string, error) {
	if err := s.start(6, config); err != nil {
		return "", err
	}
	s.fleet.outcome = func(runKey) (time.Duration, string) { return 0, "" }
	const id = "00000000000000b1"
	if err := s.submit(s.nodes[0], id, step{Count: 1, CPU: 4000, Memory: 8192, Estimate: 1000, LongRunning: true}); err != nil {
		return "", err
	}
	if _, _, err := s.waitRunning(id, 5*time.Second); err != nil {
		return "", err
	}
	time.Sleep(3 * time.Second)
	if trouble {
		owner := s.owner()
		s.kill(owner)
		time.Sleep(time.Second)
		if err := s.launch(owner); err != nil {
			return "", err
		}
	}
	// From 3 s after the last disturbance on, all machines are in touch; the 4 s before the 3 s that count have to be calm.
	time.Sleep(8 * time.Second)
	s.rec.note("owner: %s", s.owner().name)
	w, key, err := s.waitRunning(id, 5*time.Second)
	if err != nil {
		return "", err
	}
	if !s.fleet.endRun(w, key, "failed") {
		return "", fail("the run has ended")
	}
	failed := time.Now()
	return s.verdict(id, failed, failed.Add(6*time.Second), 45*time.Second), nil
}

// failureOnLastRoom: a task that lasts fails once by its own fault, on the only executor that has room.
func failureOnLastRoom(s *system, trouble bool) (string, error) {
	if err := s.start(3, config); err != nil {
		return "", err
	}
	s.fleet.outcome = func(runKey) (time.Duration, string) { return 0, "" }
	const others, id = "00000000000000c1", "00000000000000c2"
	if err := s.submit(s.nodes[0], others, step{Count: 2, CPU: 62_000, Memory: 8192, Estimate: 1000, LongRunning: true}); err != nil {
		return "", err
	}
	for _, task := range []string{others + ".0.0.0", others + ".0.0.1"} {
		if _, _, err := s.waitRunning(task, 5*time.Second); err != nil {
			return "", err
		}
	}
	if err := s.submit(s.nodes[1], id, step{Count: 1, CPU: 4000, Memory: 8192, Estimate: 1000, LongRunning: true}); err != nil {
		return "", err
	}
	w, key, err := s.waitRunning(id, 5*time.Second)
	if err != nil {
		return "", err
	}
	time.Sleep(6 * time.Second)
	failed := time.Now()
	if trouble {
		if !s.fleet.endRun(w, key, "failed") {
			return "", fail("the run has ended")
		}
	}
	return s.verdict(id, failed, failed.Add(6*time.Second), 30*time.Second), nil
}

// memory: large submissions come at once whose cpu isn't counted, but whose memory is.
func memory(s *system, trouble bool) (string, error) {
	if err := s.start(6, config); err != nil {
		return "", err
	}
	s.fleet.outcome = func(runKey) (time.Duration, string) { return 5 * time.Second, "done" }
	count := 1
	if trouble {
		count = 6
	}
	for i := range count {
		id := fmt.Sprintf("00000000000000d%d", i+1)
		st := step{Count: 2, CPU: 4000, Memory: 100_000, Estimate: 5000, Utilization: true}
		if err := s.submit(s.nodes[i%len(s.nodes)], id, st); err != nil {
			return "", err
		}
	}
	time.Sleep(10 * time.Second)
	s.fleet.mu.Lock()
	defer s.fleet.mu.Unlock()
	for _, text := range s.fleet.over {
		s.rec.note("over its capacity: %s", text)
	}
	if len(s.fleet.over) == 0 {
		return "", nil
	}
	return "LIMIT: " + s.fleet.over[len(s.fleet.over)-1], nil
}
