package main

import (
	"fmt"
	"math/rand/v2"
	"os"
	"strings"
	"sync"
	"syscall"
	"time"
)

var fullSize = Amount{64000, 262144, 0}

func jobID(n int) string { return fmt.Sprintf("%016x", 0x5c0e7a2100000000+n) }

// addWorkers starts n executors, spread over the zones, 8 a rack.
func (r *Rig) addWorkers(n int, kind func(i int) string) {
	for i := range n {
		spec := WorkerSpec{fmt.Sprintf("i-%02d", i), r.Zones[i%len(r.Zones)], kind(i), fmt.Sprintf("r1-%d", i/8), fullSize}
		r.workers = append(r.workers, newWorker(r, spec))
	}
}

func kindA(int) string { return "a" }

// submitSteadily submits a submission each interval until the end, each from a client of its own.
func (r *Rig) submitSteadily(s Submission, interval time.Duration, end time.Time) *sync.WaitGroup {
	var group sync.WaitGroup
	for n := 0; time.Now().Before(end); n++ {
		group.Add(1)
		go func() {
			defer group.Done()
			r.submit(jobID(n), s, n)
		}()
		time.Sleep(interval)
	}
	return &group
}

// downTime is how long an executor is down after its crash.
const downTime = 1150 * time.Millisecond

// reborn: an executor crashes and starts again under its ID and at its address a moment later, as another kind.
func reborn(r *Rig, trouble bool) {
	r.putConfig()
	r.addWorkers(10, func(i int) string { return string("ab"[i%2]) })
	r.check = func(run *Run, spec WorkerSpec) string {
		if p, ok := r.phaseOf(run); ok && p.Requires != "" && p.Requires != spec.Kind {
			return fmt.Sprintf("%s requires %q and was started on %s boot %d, whose labels are [%s %s]", run.Task, p.Requires, spec.ID, run.Boot,
				spec.Kind, spec.Rack)
		}
		return ""
	}
	r.startNodes(3)
	time.Sleep(4 * time.Second)
	job := Submission{Spec: "plan", Phases: []Phase{{Count: 2, CPU: 700, Mem: 2000, Estimate: 1000, Requires: "a"}}}
	go func() {
		time.Sleep(5 * time.Second)
		if !trouble {
			return
		}
		w := r.workers[0]
		spec := w.spec
		w.Crash()
		time.Sleep(downTime)
		spec.Kind = "b"
		w.Start(spec)
	}()
	r.submitSteadily(job, 50*time.Millisecond, time.Now().Add(12*time.Second)).Wait()
	time.Sleep(3 * time.Second)
	r.finish()
}

// checkGaps judges LOST for the tasks of a submission that lasts: from 6 s after a task's last run, it may not be without a run for 3 s
// if these and the 4 s before are calm. The disruption lasted from begin to end; both are zero if there was none.
func (r *Rig) checkGaps(id string, count int, begin, end, until time.Time) {
	r.mu.Lock()
	runs := append([]*Run(nil), r.runs...)
	r.mu.Unlock()
	for i := range count {
		task := fmt.Sprintf("%s.0.0.%d", id, i)
		var ended []time.Time
		var began []time.Time
		for _, run := range runs {
			if run.Task == task {
				began, ended = append(began, run.Began), append(ended, run.Ended)
			}
		}
		if len(began) == 0 {
			r.breach("LOST: %s never ran", task)
			continue
		}
		for k, last := range ended {
			next := until
			if k+1 < len(began) {
				next = began[k+1]
			}
			if last.IsZero() {
				continue
			}
			// The 3 s must not touch the disruption or the 4 s after it.
			from := last.Add(6 * time.Second)
			if calm := end.Add(4 * time.Second); !end.IsZero() && from.Add(3*time.Second).After(begin) && from.Before(calm) {
				from = calm
			}
			if gap := next.Sub(last); gap > 3*time.Second {
				r.Logf("%s was without a run for %.2f s", task, gap.Seconds())
			}
			if next.Sub(from) > 3*time.Second {
				r.breach("LOST: %s was without a run for %.2f s, of which the last %.2f s were calm", task, next.Sub(last).Seconds(),
					next.Sub(from).Seconds()+4)
			}
		}
	}
}

// owner returns the node that the store names as serving.
func (r *Rig) owner() *Node {
	value := string(r.store.Newest("owner", "serving"))
	for _, n := range r.nodes {
		if strings.HasPrefix(value, n.Name+"|") {
			return n
		}
	}
	return nil
}

// restart: tasks that last fail now and then and are started again; the process that gives the orders gets SIGTERM once, ends by itself
// and is started again one second later.
func restart(r *Rig, trouble bool) {
	r.putConfig()
	r.addWorkers(10, kindA)
	r.planned = func(run *Run, p Phase) {
		run.endAt, run.endHow = run.Began.Add(time.Duration(1500+rand.IntN(1500))*time.Millisecond), "failed"
	}
	r.startNodes(3)
	time.Sleep(4 * time.Second)
	id := jobID(1)
	const count = 60
	if !r.submit(id, Submission{Spec: "serve", Phases: []Phase{{Count: count, CPU: 2000, Mem: 4000, Estimate: 60000, LongRunning: true}}}, 0) {
		r.must(fmt.Errorf("not accepted"), "submission")
	}
	time.Sleep(8 * time.Second)
	var begin, end time.Time
	if trouble {
		n := r.owner()
		if n == nil {
			r.must(fmt.Errorf("no owner"), "SIGTERM")
		}
		begin = time.Now()
		r.Logf("%s gets SIGTERM", n.Name)
		r.must(n.cmd.Process.Signal(syscall.SIGTERM), "SIGTERM")
		_ = n.cmd.Wait()
		r.Logf("%s has ended", n.Name)
		time.Sleep(time.Second)
		r.must(n.start(os.Getenv("ROOT")), "restart")
		r.Logf("%s started again", n.Name)
		end = time.Now()
	}
	until := time.Now().Add(25 * time.Second)
	time.Sleep(time.Until(until))
	r.checkGaps(id, count, begin, end, until)
	r.finish()
}

// oddEntry: another writer writes an entry for an executor of an evacuated zone, without the field zone.
func oddEntry(r *Rig, trouble bool) {
	r.putConfig()
	r.addWorkers(10, kindA)
	zone := r.Zones[1]
	var evacuated time.Time
	r.check = func(run *Run, spec WorkerSpec) string {
		if late := run.Began.Sub(evacuated); !evacuated.IsZero() && spec.Zone == zone && late > 5*time.Second {
			return fmt.Sprintf("%s was started on %s in %s, %.3f s after the acknowledgement of its evacuation", run.Task, spec.ID, zone,
				late.Seconds())
		}
		return ""
	}
	r.startNodes(3)
	time.Sleep(4 * time.Second)
	go func() {
		time.Sleep(3 * time.Second)
		r.store.SetOutOfService(zone, true)
		r.mu.Lock()
		evacuated = time.Now()
		r.mu.Unlock()
		r.Logf("operator: op/evacuate/%s acknowledged", zone)
		for range 3 {
			time.Sleep(6 * time.Second)
			if !trouble {
				continue
			}
			entry := r.workers[1].entry()
			delete(entry, "zone")
			r.putEntry(r.workers[1].spec.ID, entry)
			r.Logf("another writer: entry servers/%s without the field zone", r.workers[1].spec.ID)
		}
	}()
	job := Submission{Spec: "plan", Phases: []Phase{{Count: 2, CPU: 10000, Mem: 15000, Estimate: 1000}}}
	r.submitSteadily(job, 40*time.Millisecond, time.Now().Add(24*time.Second)).Wait()
	time.Sleep(2 * time.Second)
	r.finish()
}

// neverRan returns the accepted submissions without times that have had no run.
func (r *Rig) neverRan() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	ran := make(map[string]bool)
	for _, run := range r.runs {
		ran[jobOf(run.Task)] = true
	}
	var idle []string
	for id := range r.accepted {
		if r.submissions[id].Times == 0 && !r.submissions[id].Phases[0].Gang && !ran[id] {
			idle = append(idle, id)
		}
	}
	r.Logf("%d submissions accepted; %d of them, without gangs and times, never ran", len(r.accepted), len(idle))
	return idle
}

// underHalfInUse reports whether under half of the service's capacity is in use, and some executor has room for n tasks of a size.
func (r *Rig) underHalfInUse(n int, size Amount) bool {
	used, capacity, room := Amount{}, Amount{}, 0
	for _, w := range r.workers {
		w.mu.Lock()
		mine := Amount{}
		for _, run := range w.runs {
			mine.CPU, mine.Mem = mine.CPU+run.size.CPU, mine.Mem+run.size.Mem
		}
		limit := w.spec.Capacity
		w.mu.Unlock()
		r.Logf("executor %s: %d of %d thousandths of a core and %d of %d MB in use", w.spec.ID, mine.CPU, limit.CPU, mine.Mem, limit.Mem)
		used.CPU, used.Mem = used.CPU+mine.CPU, used.Mem+mine.Mem
		capacity.CPU, capacity.Mem = capacity.CPU+limit.CPU, capacity.Mem+limit.Mem
		room += min((limit.CPU-mine.CPU)/size.CPU, (limit.Mem-mine.Mem)/size.Mem)
	}
	return 2*used.CPU < capacity.CPU && 2*used.Mem < capacity.Mem && room >= n
}

// checkFinished judges LOST for the accepted submissions that are neither gangs nor have times, finish_s after the traffic: for 3 s one has
// nothing running though there is capacity for it twice over and under half of the service's capacity is in use, or it gets no answer.
// The tenant has no cap.
func (r *Rig) checkFinished() {
	size := Amount{1000, 1000, 0}
	idle, calm := r.neverRan(), r.underHalfInUse(4, size)
	time.Sleep(3 * time.Second)
	if idle = r.neverRan(); len(idle) > 0 && calm && r.underHalfInUse(4, size) {
		r.breach("LOST: %d accepted submissions have had no run from 14 to 17 s after the traffic", len(idle))
	}
	for try := range 12 {
		state := r.state(jobID(0), try)
		r.Logf("client: GET %s at %s -> %s", jobID(0), r.nodes[try%len(r.nodes)].Name, state)
		if !strings.HasPrefix(state, "status") {
			return
		}
		time.Sleep(250 * time.Millisecond)
	}
	r.breach("LOST: the accepted submission %s gets no answer for 3 s", jobID(0))
}

// gang: every executor runs a task that lasts; then a gang of the urgent queue comes that doesn't fit beside these, while small
// submissions come to the other queue.
func gang(r *Rig, trouble bool) {
	r.putConfig()
	r.addWorkers(10, kindA)
	r.startNodes(3)
	time.Sleep(4 * time.Second)
	daemons := Submission{Spec: "daemon", Phases: []Phase{{Count: 10, CPU: 30000, Mem: 30000, MaxPer: 1, LongRunning: true}}}
	if !r.submit(jobID(200000), daemons, 0) {
		r.must(fmt.Errorf("not accepted"), "submission")
	}
	time.Sleep(3 * time.Second)
	if trouble {
		large := Submission{Spec: "large", Phases: []Phase{{Count: 10, CPU: 40000, Mem: 40000, Estimate: 60000, Gang: true}}}
		if !r.submitTo(r.Urgent, jobID(200001), large, 1) {
			r.must(fmt.Errorf("not accepted"), "submission")
		}
	}
	time.Sleep(2 * time.Second)
	small := Submission{Spec: "quote", Phases: []Phase{{Count: 2, CPU: 1000, Mem: 1000, Estimate: 500}}}
	r.submitSteadily(small, 250*time.Millisecond, time.Now().Add(10*time.Second)).Wait()
	r.Logf("traffic has ended")
	time.Sleep(14 * time.Second)
	r.checkFinished()
	r.finish()
}

// flaky: tasks that last, on the two executors that have their label, fail once in 10 to 30 s each.
func flaky(r *Rig, trouble bool) {
	r.putConfig()
	r.addWorkers(10, func(i int) string { return string("bbaaaaaaaa"[i]) })
	r.planned = func(run *Run, p Phase) {
		if trouble {
			run.endAt, run.endHow = run.Began.Add(time.Duration(10000+rand.IntN(20000))*time.Millisecond), "failed"
		}
	}
	r.startNodes(3)
	time.Sleep(4 * time.Second)
	const count = 60
	id := jobID(1)
	serve := Submission{Spec: "serve", Phases: []Phase{{Count: count, CPU: 500, Mem: 500, LongRunning: true, Requires: "b"}}}
	if !r.submit(id, serve, 0) {
		r.must(fmt.Errorf("not accepted"), "submission")
	}
	until := time.Now().Add(90 * time.Second)
	time.Sleep(time.Until(until))
	r.checkGaps(id, count, time.Time{}, time.Time{}, until)
	r.finish()
}

// gone: an executor that runs tasks that last, and gets starts all the time, crashes and doesn't come back.
func gone(r *Rig, trouble bool) {
	r.putConfig()
	r.addWorkers(10, kindA)
	r.startNodes(3)
	time.Sleep(4 * time.Second)
	const count = 20
	id := jobID(1000000)
	serve := Submission{Spec: "serve", Phases: []Phase{{Count: count, CPU: 2000, Mem: 2000, LongRunning: true, MaxPer: 3}}}
	if !r.submit(id, serve, 0) {
		r.must(fmt.Errorf("not accepted"), "submission")
	}
	var crashed time.Time
	time.AfterFunc(time.Duration(8000+rand.IntN(3000))*time.Millisecond, func() {
		if trouble {
			crashed = time.Now()
			r.workers[0].CrashForGood()
		}
	})
	small := Submission{Spec: "quote", Phases: []Phase{{Count: 2, CPU: 700, Mem: 1000, Estimate: 1000}}}
	r.submitSteadily(small, 50*time.Millisecond, time.Now().Add(30*time.Second)).Wait()
	r.checkGaps(id, count, crashed, crashed, time.Now())
	r.finish()
}

// hangDrain: an executor answers nothing for 5.5 s and reports meanwhile that it is draining.
func hangDrain(r *Rig, trouble bool) {
	r.putConfig()
	r.addWorkers(10, kindA)
	w := r.workers[0]
	var drained time.Time
	r.check = func(run *Run, spec WorkerSpec) string {
		if late := run.Began.Sub(drained); !drained.IsZero() && spec.ID == w.spec.ID && late > 2*time.Second {
			return fmt.Sprintf("%s was started on %s, %.3f s after the acknowledgement that it is draining", run.Task, spec.ID, late.Seconds())
		}
		return ""
	}
	r.startNodes(3)
	time.Sleep(4 * time.Second)
	go func() {
		time.Sleep(4 * time.Second)
		if trouble {
			w.Hang(time.Now().Add(5500 * time.Millisecond))
			r.Logf("executor %s answers no call for 5.5 s", w.spec.ID)
		}
		time.Sleep(time.Second)
		w.SetDraining()
		r.mu.Lock()
		drained = time.Now()
		r.mu.Unlock()
		r.Logf("executor %s: draining, acknowledged by the store", w.spec.ID)
	}()
	job := Submission{Spec: "plan", Phases: []Phase{{Count: 2, CPU: 200, Mem: 400, Estimate: 1000}}}
	r.submitSteadily(job, 33*time.Millisecond, time.Now().Add(14*time.Second)).Wait()
	time.Sleep(3 * time.Second)
	r.finish()
}

// closing: executors close each connection after their answer (Connection: close), and run tasks that last.
func closing(r *Rig, trouble bool) {
	r.closing = trouble
	r.putConfig()
	r.addWorkers(10, kindA)
	r.startNodes(3)
	time.Sleep(4 * time.Second)
	serve := Submission{Spec: "serve", Phases: []Phase{{Count: 10, CPU: 2000, Mem: 2000, LongRunning: true, MaxUnavailable: 1}}}
	if !r.submit(jobID(1), serve, 0) {
		r.must(fmt.Errorf("not accepted"), "submission")
	}
	time.Sleep(30 * time.Second)
	lapsed := 0
	for _, run := range r.runs {
		if run.How == "lapsed" {
			lapsed++
		}
	}
	if lapsed > 0 {
		r.breach("AVAIL: %d runs of a step with max-unavailable 1 ended as the lease lapsed, with no disturbance", lapsed)
	}
	r.finish()
}
