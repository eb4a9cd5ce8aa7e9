package main

import (
	"fmt"
	"os"
	"strings"
	"sync"
	"time"
)

const (
	host   = "desk.example"
	prefix = "/q1/"
)

func mainRoute() route {
	return route{Name: "q1", Host: host, Prefix: prefix, Service: service, Priority: 1, Attempts: 4, Stretch: 2.2, Aim: 1000}
}

// again: after an owner is killed and, once the time for which states are kept has passed, its successor is killed too,
// tasks whose ends done were taken note of long ago are started again.
func again(rec *recorder, trouble bool) ([]string, error) {
	keep := os.Getenv("STATUS_S")
	if keep == "" {
		keep = "90"
	}
	var keepFor time.Duration
	if _, err := fmt.Sscan(keep, new(int)); err != nil {
		return nil, err
	}
	keepFor, err := time.ParseDuration(keep + "s")
	if err != nil {
		return nil, err
	}
	decide := func(string, int, *worker) runPlan { return runPlan{300 * time.Millisecond, "done"} }
	_, f, sys, err := begin(rec, 5, 6, config(1, mainRoute()), map[string]string{"bounds.status_s": keep}, decide)
	if err != nil {
		return nil, err
	}
	c := newConsumer(sys, host, "key-one")
	job := submission{"press plan", []phase{{Count: 2, CPU: 1000, Mem: 500, Estimate: 300}}}
	submitted := 0
	submit := func(n int, every time.Duration) {
		var group sync.WaitGroup
		for range n {
			submitted++
			group.Go(func() { c.submit(prefix, newID(), job) })
			time.Sleep(every)
		}
		group.Wait()
	}
	submit(20, 100*time.Millisecond)
	first := sys.owner()
	if trouble {
		sys.kill(first, 2*time.Second)
	}
	submit(5, 200*time.Millisecond)
	if trouble {
		_, _, err := sys.waitOwnerOtherThan("", 10*time.Second)
		if err != nil {
			return nil, err
		}
		for begun := time.Now(); sys.owner() == first && time.Since(begun) < 10*time.Second; {
			time.Sleep(20 * time.Millisecond)
		}
		if sys.owner() == first {
			return nil, fmt.Errorf("%s is still the owner", first.name)
		}
	}
	rec.logf("owner is %s", sys.owner().name)
	// A submission each second goes on while the time for which states are kept passes.
	submit(int(keepFor.Seconds())+3, time.Second)
	second := sys.owner()
	if trouble {
		sys.kill(second, 2*time.Second)
	}
	submit(4, time.Second)
	time.Sleep(time.Second)
	rec.logf("owner is %s; %d submissions", sys.owner().name, submitted)
	return f.broken(), nil
}

// lostFor judges LOST: finish_s after the end of the traffic, a submission has nothing running for 3 s on end while a
// task's turn has come and there is capacity.
func lostFor(rec *recorder, f *fleet, ids map[string]string, unfinished func(id string) bool, cpuOf func(string) int64) []string {
	rec.logf("end of the traffic; waiting finish_s, 14 s")
	time.Sleep(14 * time.Second)
	idle := map[string]time.Time{}
	lost := map[string]bool{}
	for begun := time.Now(); time.Since(begun) < 6*time.Second; time.Sleep(50 * time.Millisecond) {
		calm, running := f.busyShare(cpuOf) < 0.5, f.runningOf()
		for id := range ids {
			if running[id] > 0 || !calm || !unfinished(id) {
				delete(idle, id)
				continue
			}
			if _, ok := idle[id]; !ok {
				idle[id] = time.Now()
			}
			if time.Since(idle[id]) > 3*time.Second {
				lost[id] = true
			}
		}
	}
	var broken []string
	for id := range lost {
		text := fmt.Sprintf("LOST: submission %s (%s), accepted, has nothing running for 3 s, more than finish_s after the end of "+
			"the traffic; %.0f%% of the capacity is in use", id, ids[id], 100*f.busyShare(cpuOf))
		rec.logf("RULE BROKEN  %s", text)
		broken = append(broken, text)
	}
	return broken
}

// doneCounter returns a function that tells how many tasks of a submission have ended done, and one that notes such an end.
func doneCounter(f *fleet) (func(id string) int, func(task string)) {
	var mu sync.Mutex
	done := map[string]map[string]bool{}
	return func(id string) int {
			mu.Lock()
			defer mu.Unlock()
			return len(done[id])
		}, func(task string) {
			mu.Lock()
			defer mu.Unlock()
			id, _, _ := strings.Cut(task, ".")
			if done[id] == nil {
				done[id] = map[string]bool{}
			}
			done[id][task] = true
		}
}

// recurring: a recurring submission whose progress grows over the store's largest record ends the scheduling of all
// submissions.
func recurring(rec *recorder, trouble bool) ([]string, error) {
	big := newID()
	decide := func(task string, _ int, _ *worker) runPlan {
		if strings.HasPrefix(task, big) {
			return runPlan{8400 * time.Millisecond, "done"}
		}
		return runPlan{time.Second, "done"}
	}
	_, f, sys, err := begin(rec, 5, 12, config(1, mainRoute()), nil, decide)
	if err != nil {
		return nil, err
	}
	// The largest submission of the site's class tackcount: three steps as wide as they come, and each time takes as long.
	const times = 8
	step := phase{Count: 160, CPU: 50, Mem: 50, Estimate: 8400}
	if !trouble {
		step.Count = 60
	}
	if os.Getenv("WIDE") != "" {
		step.Count = 3000
	}
	count, recorded := doneCounter(f)
	f.mu.Lock()
	f.onDone = recorded
	f.mu.Unlock()
	one, two := newConsumer(sys, host, "key-one"), newConsumer(sys, host, "key-two")
	ids := map[string]string{}
	start := time.Now().Add(2 * time.Second)
	body := map[string]any{
		"spec": "carton tack count", "phases": []phase{step, step, step}, "times": times,
		"start-time-ms": start.UnixMilli(), "interval-ms": 2000,
	}
	if !two.submit(prefix, big, body) {
		return nil, fmt.Errorf("the recurring submission wasn't accepted")
	}
	ids[big] = "the recurring one, of the other tenant"
	small := submission{"quote", []phase{{Count: 1, CPU: 1000, Mem: 500, Estimate: 1000}}}
	accepted, refused := 0, 0
	for begun := time.Now(); time.Since(begun) < 50*time.Second; time.Sleep(time.Second) {
		id := newID()
		if one.submit(prefix, id, small) {
			accepted++
			ids[id] = fmt.Sprintf("one task, accepted %.0f s into the traffic", time.Since(begun).Seconds())
		} else {
			refused++
		}
	}
	rec.logf("%d small submissions accepted, %d not", accepted, refused)
	unfinished := func(id string) bool {
		if id == big {
			return count(id) < times*3*step.Count
		}
		return count(id) < 1
	}
	cpu := func(task string) int64 {
		if strings.HasPrefix(task, big) {
			return step.CPU
		}
		return 1000
	}
	broken := lostFor(rec, f, ids, unfinished, cpu)
	owed := 0
	for id := range ids {
		if unfinished(id) {
			owed++
		}
	}
	rec.logf("%d of %d submissions aren't done; %d tasks of the recurring one are, of %d", owed, len(ids), count(big), times*3*step.Count)
	rec.logf("state of the recurring submission: %s", two.state(prefix, big))
	return append(broken, f.broken()...), nil
}

// removedRoute: the route of an accepted submission is removed by a new config; after a restart of the node that leads, the
// rest of the submission never runs.
func removedRoute(rec *recorder, trouble bool) ([]string, error) {
	decide := func(task string, _ int, _ *worker) runPlan { return runPlan{5 * time.Second, "done"} }
	extra := route{Name: "q2", Host: host, Prefix: "/q2/", Service: service, Priority: 1, Attempts: 4, Stretch: 2.2, Aim: 1000}
	st, f, sys, err := begin(rec, 5, 6, config(1, mainRoute(), extra), nil, decide)
	if err != nil {
		return nil, err
	}
	count, recorded := doneCounter(f)
	f.mu.Lock()
	f.onDone = recorded
	f.mu.Unlock()
	c := newConsumer(sys, host, "key-one")
	ids := map[string]string{}
	body := submission{"wire-draw plan", []phase{
		{Count: 3, CPU: 2000, Mem: 500, Estimate: 5000}, {Count: 3, CPU: 2000, Mem: 500, Estimate: 5000, After: []int{0}},
	}}
	kept, removed := newID(), newID()
	if !c.submit(prefix, kept, body) || !c.submit("/q2/", removed, body) {
		return nil, fmt.Errorf("a submission wasn't accepted")
	}
	ids[kept], ids[removed] = "on the route that stays", "on the route that is removed"
	time.Sleep(time.Second)
	removal, kill := trouble, trouble
	switch os.Getenv("ONLY") {
	case "removal":
		kill = false
	case "kill":
		removal = false
	}
	if removal {
		st.put("op", "config", config(4, mainRoute()))
		rec.logf("operator writes version 4, without route q2; acknowledged")
	}
	time.Sleep(2500 * time.Millisecond)
	if kill {
		sys.kill(sys.owner(), 2*time.Second)
	}
	time.Sleep(5 * time.Second)
	unfinished := func(id string) bool { return count(id) < 6 }
	broken := lostFor(rec, f, ids, unfinished, func(string) int64 { return 2000 })
	rec.logf("tasks done of 6: %d of %s (%s), %d of %s (%s)", count(kept), kept, ids[kept], count(removed), removed, ids[removed])
	rec.logf("state of %s: %s", kept, c.state(prefix, kept))
	rec.logf("state of %s: %s", removed, c.state("/q2/", removed))
	return append(broken, f.broken()...), nil
}

// lasting judges LOST for a task that lasts: nothing of it is at work for longer than 6 s after its last run, and then for
// 3 s more, with capacity.
func lasting(rec *recorder, f *fleet, id string, watch time.Duration) []string {
	task := id + ".0.0.0"
	for begun := time.Now(); time.Since(begun) < watch; time.Sleep(50 * time.Millisecond) {
		f.mu.Lock()
		running, last := f.running[task], f.lastAtWork[task]
		f.mu.Unlock()
		if running == 0 && !last.IsZero() && time.Since(last) > 9*time.Second {
			text := fmt.Sprintf("LOST: the lasting task %s hasn't run for %.1f s, with its executors idle", task, time.Since(last).Seconds())
			rec.logf("RULE BROKEN  %s", text)
			return []string{text}
		}
	}
	return nil
}

// avoidAll: a task that lasts fails once on each of the executors that may run it; it is never started again.
func avoidAll(rec *recorder, trouble bool) ([]string, error) {
	const executors = 6
	decide := func(task string, run int, _ *worker) runPlan {
		if trouble && run <= executors {
			return runPlan{3 * time.Second, "failed"}
		}
		return runPlan{}
	}
	_, f, sys, err := begin(rec, 5, executors, config(1, mainRoute()), nil, decide)
	if err != nil {
		return nil, err
	}
	c := newConsumer(sys, host, "key-one")
	id := newID()
	if !c.submit(prefix, id, submission{"desk", []phase{{Count: 1, CPU: 2000, Mem: 500, Estimate: 1000, LongRunning: true}}}) {
		return nil, fmt.Errorf("the submission wasn't accepted")
	}
	broken := lasting(rec, f, id, 60*time.Second)
	rec.logf("starts: %d; state: %s", f.startsOf(id), c.state(prefix, id))
	return append(broken, f.broken()...), nil
}

// longTask: a task that takes long is stopped again and again, and then never started again.
func longTask(rec *recorder, trouble bool) ([]string, error) {
	work := 3 * time.Second
	if trouble {
		work = 400 * time.Second
	}
	decide := func(string, int, *worker) runPlan { return runPlan{work, "done"} }
	_, f, sys, err := begin(rec, 5, 6, config(1, mainRoute()), nil, decide)
	if err != nil {
		return nil, err
	}
	count, recorded := doneCounter(f)
	f.mu.Lock()
	f.onDone = recorded
	f.mu.Unlock()
	c := newConsumer(sys, host, "key-one")
	id := newID()
	if !c.submit(prefix, id, submission{"plan", []phase{{Count: 1, CPU: 2000, Mem: 500, Estimate: work.Milliseconds()}}}) {
		return nil, fmt.Errorf("the submission wasn't accepted")
	}
	time.Sleep(25 * time.Second)
	ids := map[string]string{id: "one task"}
	broken := lostFor(rec, f, ids, func(id string) bool { return count(id) < 1 }, func(string) int64 { return 2000 })
	rec.logf("starts: %d; state: %s", f.startsOf(id), c.state(prefix, id))
	return append(broken, f.broken()...), nil
}

// rebirth: executors lose their power and start again under their ids at once; ends done of their new lives are taken note
// of unseen, and the tasks run again.
func rebirth(rec *recorder, trouble bool) ([]string, error) {
	decide := func(string, int, *worker) runPlan { return runPlan{600 * time.Millisecond, "done"} }
	_, f, sys, err := begin(rec, 5, 14, config(1, mainRoute()), nil, decide)
	if err != nil {
		return nil, err
	}
	c := newConsumer(sys, host, "key-one")
	job := submission{"quote", []phase{{Count: 2, CPU: 4000, Mem: 2000, Estimate: 600}}}
	var group sync.WaitGroup
	crashed := false
	for begun := time.Now(); time.Since(begun) < 18*time.Second; time.Sleep(60 * time.Millisecond) {
		group.Go(func() { c.submit(prefix, newID(), job) })
		if trouble && !crashed && time.Since(begun) > 8*time.Second {
			crashed = true
			for _, w := range f.busiest(2) {
				w.crash(500 * time.Millisecond)
			}
		}
	}
	group.Wait()
	time.Sleep(3 * time.Second)
	return f.broken(), nil
}

// failing: the executors that may run a submission fail all that they start for some seconds; the submission, though it has
// attempts left, never runs again.
func failing(rec *recorder, trouble bool) ([]string, error) {
	decide := func(string, int, *worker) runPlan { return runPlan{time.Second, "done"} }
	_, f, sys, err := begin(rec, 5, 24, config(1, mainRoute()), nil, decide)
	if err != nil {
		return nil, err
	}
	count, recorded := doneCounter(f)
	f.mu.Lock()
	f.onDone = recorded
	f.mu.Unlock()
	c := newConsumer(sys, host, "key-one")
	ids := map[string]string{}
	submit := func(requires, when string) error {
		id := newID()
		body := submission{"plan", []phase{{Count: 1, CPU: 2000, Mem: 500, Estimate: 1000, Requires: requires}}}
		if !c.submit(prefix, id, body) {
			return fmt.Errorf("a submission wasn't accepted")
		}
		ids[id] = fmt.Sprintf("requires %q, accepted %s", requires, when)
		return nil
	}
	if trouble {
		f.setFailing(f.workers[:2], true)
	}
	for range 4 {
		for _, requires := range []string{"b", "a", ""} {
			if err := submit(requires, "during the disruption"); err != nil {
				return nil, err
			}
		}
		time.Sleep(500 * time.Millisecond)
	}
	time.Sleep(3 * time.Second)
	if trouble {
		f.setFailing(f.workers[:2], false)
	}
	time.Sleep(5 * time.Second)
	if err := submit("b", "after the disruption"); err != nil {
		return nil, err
	}
	broken := lostFor(rec, f, ids, func(id string) bool { return count(id) < 1 }, func(string) int64 { return 2000 })
	for id := range ids {
		rec.logf("submission %s (%s): %d starts, %d of 1 tasks done, state %s", id, ids[id], f.startsOf(id), count(id), c.state(prefix, id))
	}
	return append(broken, f.broken()...), nil
}

// hopeless: some submissions can never be done; once their waiting steps are 400, submissions that have missed their
// objective are never started again, with the executors idle.
func hopeless(rec *recorder, trouble bool) ([]string, error) {
	var mu sync.Mutex
	two := map[string]bool{}
	// The first of two steps takes three times as long as its rough estimate.
	decide := func(task string, _ int, _ *worker) runPlan {
		mu.Lock()
		defer mu.Unlock()
		id, _, _ := strings.Cut(task, ".")
		if two[id] && stepOf(task) == 0 {
			return runPlan{3 * time.Second, "done"}
		}
		return runPlan{time.Second, "done"}
	}
	_, f, sys, err := begin(rec, 5, 12, config(1, quoteRoute()), nil, decide)
	if err != nil {
		return nil, err
	}
	count, recorded := doneCounter(f)
	f.mu.Lock()
	f.onDone = recorded
	f.mu.Unlock()
	consumers := []*consumer{newConsumer(sys, host, "key-one"), newConsumer(sys, host, "key-two")}
	ids, owed := map[string]string{}, map[string]int{}
	never := phase{Count: 1, CPU: 1000, Mem: 500, Estimate: 1000, Requires: "z"}
	quote := phase{Count: 2, CPU: 1000, Mem: 500, Estimate: 1000}
	second := quote
	second.After = []int{0}
	var group sync.WaitGroup
	hopelessOnes, sent := 0, 0
	for begun := time.Now(); time.Since(begun) < 45*time.Second; time.Sleep(time.Second / 36) {
		sent++
		id, at := newID(), time.Since(begun)
		// Four spells of 3 s, in which a twentieth of the submissions can never be done.
		spell := at%(6*time.Second) >= 2*time.Second && at%(6*time.Second) < 5*time.Second && at < 24*time.Second
		if trouble && spell && sent%20 == 0 {
			hopelessOnes++
			body := map[string]any{
				"spec": "nobody has this label", "phases": []phase{never, never, never}, "times": 8,
				"start-time-ms": time.Now().UnixMilli(), "interval-ms": 2000,
			}
			group.Go(func() { consumers[1].submit(prefix, id, body) })
			continue
		}
		body, tasks, what := submission{"quote", []phase{quote}}, 2, "one step"
		if sent%5 == 1 {
			body, tasks, what = submission{"plan", []phase{quote, second}}, 4, "two steps"
			mu.Lock()
			two[id] = true
			mu.Unlock()
		}
		group.Go(func() {
			if consumers[0].submit(prefix, id, body) {
				mu.Lock()
				defer mu.Unlock()
				ids[id], owed[id] = fmt.Sprintf("%s, accepted %.0f s into the traffic", what, at.Seconds()), tasks
			}
		})
	}
	group.Wait()
	rec.logf("%d submissions sent, %d of them hopeless", sent, hopelessOnes)
	broken := lostFor(rec, f, ids, func(id string) bool { return count(id) < owed[id] }, func(string) int64 { return 1000 })
	left := 0
	for id := range ids {
		if count(id) < owed[id] {
			left++
			rec.logf("submission %s (%s): %d of %d tasks done", id, ids[id], count(id), owed[id])
		}
	}
	rec.logf("%d of %d submissions that can be done aren't", left, len(ids))
	return append(broken, f.broken()...), nil
}

// quoteRoute is a route with the figures of the site's quotes.
func quoteRoute() route {
	return route{Name: "q1", Host: host, Prefix: prefix, Service: service, Priority: 0, Attempts: 2, Stretch: 1.5, Aim: 250}
}
