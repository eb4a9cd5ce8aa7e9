package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// runKey identifies a run on an executor.
type runKey struct {
	task   string
	number int
}

// activeRun is a run that has not ended.
type activeRun struct {
	started time.Time
	ends    time.Time
	how     string
	stopAt  time.Time
}

// interval is the time for which an executor ran a task.
type interval struct {
	worker     string
	key        runKey
	start, end time.Time
	how        string
}

// worker is an executor as PROTOCOL.md describes it: control mode rpc, capacity not enforced, no checkpoints.
type worker struct {
	fleet    *fleet
	id, zone string
	rack     string
	address  string
	listener net.Listener
	server   *http.Server
	born     time.Time

	// Guarded by the fleet's lock.
	dead       bool
	token      int64
	leaseEnd   time.Duration
	runs       map[runKey]*activeRun
	superseded map[string]int
	ended      [][]any
	endCount   int64
	// crashOnRenewal makes the executor crash when it has read a call that renews its lease, before it answers.
	crashOnRenewal bool
}

// fleet is all executors with what they have run.
type fleet struct {
	rec     *recorder
	put     func(topic, key string, value []byte)
	mu      sync.Mutex
	workers []*worker
	history []interval
	// outcome returns for how long a run lasts (zero: until it is stopped) and how it ends.
	outcome func(key runKey) (time.Duration, string)
	// over holds the starts that brought an executor over its capacity.
	over []string
	// sizes holds what a task of a submission's step takes, by the first part of its name (ID).
	sizes map[string]size
	done  chan struct{}
}

type size struct{ cpu, memory int64 }

const (
	workerCPU    = 64_000
	workerMemory = 262_144
)

func newFleet(rec *recorder, put func(topic, key string, value []byte), zones []string, count int) (*fleet, error) {
	f := &fleet{
		rec: rec, put: put, done: make(chan struct{}), sizes: make(map[string]size),
		outcome: func(runKey) (time.Duration, string) { return time.Second, "done" },
	}
	for i := range count {
		listener, err := net.Listen("tcp4", "127.0.0.1:0")
		if err != nil {
			return nil, fail("listening as an executor: %v", err)
		}
		w := &worker{
			fleet: f, id: fmt.Sprintf("i-%02d", i+1), zone: zones[i%len(zones)], rack: fmt.Sprintf("r%d-1", i%len(zones)+1),
			address: listener.Addr().String(), listener: listener, born: time.Now(), runs: make(map[runKey]*activeRun),
			superseded: make(map[string]int),
		}
		w.server = &http.Server{Handler: http.HandlerFunc(w.handle)}
		f.workers = append(f.workers, w)
		go func() { _ = w.server.Serve(listener) }()
		go w.report()
	}
	go f.loop()
	return f, nil
}

func (f *fleet) close() {
	close(f.done)
	for _, w := range f.workers {
		_ = w.server.Close()
	}
}

// report writes the executor's entry until it has crashed, and removes the entry three intervals after that, as the platform does.
func (w *worker) report() {
	for sequence := 1; ; sequence++ {
		w.fleet.mu.Lock()
		dead := w.dead
		w.fleet.mu.Unlock()
		if dead {
			break
		}
		entry, _ := json.Marshal(map[string]any{
			"service": service, "address": w.address, "zone": w.zone, "version": "1", "slots": 8, "state": "ready",
			"cold-remaining-ms": 0, "sequence": sequence, "born": w.born.UnixMilli(), "labels": []string{"a", w.rack},
			"capacity": map[string]int{"cpu": workerCPU, "mem-mb": workerMemory, "gpu": 0},
		})
		w.fleet.put("servers", w.id, entry)
		select {
		case <-w.fleet.done:
			return
		case <-time.After(heartbeat):
		}
	}
	select {
	case <-w.fleet.done:
		return
	case <-time.After(3 * heartbeat):
	}
	w.fleet.rec.note("%s: its entry is removed", w.id)
	w.fleet.put("servers", w.id, nil)
}

func (w *worker) clock() time.Duration { return time.Since(w.born) }

// loop ends the runs that are due.
func (f *fleet) loop() {
	for {
		select {
		case <-f.done:
			return
		case <-time.After(5 * time.Millisecond):
		}
		f.mu.Lock()
		now := time.Now()
		for _, w := range f.workers {
			for key, r := range w.runs {
				switch {
				case w.clock() > w.leaseEnd:
					w.end(key, "lapsed")
				case !r.stopAt.IsZero() && now.After(r.stopAt):
					w.end(key, "stopped")
				case r.stopAt.IsZero() && !r.ends.IsZero() && now.After(r.ends):
					w.end(key, r.how)
				}
			}
		}
		f.mu.Unlock()
	}
}

// end ends a run; the caller holds the lock.
func (w *worker) end(key runKey, how string) {
	r := w.runs[key]
	delete(w.runs, key)
	w.superseded[key.task] = max(w.superseded[key.task], key.number)
	w.endCount++
	w.ended = append(w.ended, []any{w.endCount, key.task, key.number, how, ""})
	w.fleet.history = append(w.fleet.history, interval{w.id, key, r.started, time.Now(), how})
	w.fleet.rec.note("%s: %s run %d ends: %s", w.id, key.task, key.number, how)
}

// crash ends the executor for good; the caller holds the lock.
func (w *worker) crash() {
	w.dead = true
	for key, r := range w.runs {
		w.fleet.history = append(w.fleet.history, interval{w.id, key, r.started, time.Now(), "gone"})
		w.fleet.rec.note("%s: %s run %d is gone with it", w.id, key.task, key.number)
	}
	clear(w.runs)
	w.fleet.rec.note("%s: CRASHES for good", w.id)
	go func() { _ = w.server.Close() }()
}

// started tells when a run of the task was last at work at or after the given time; false if it was not.
func (f *fleet) ranAfter(prefix string, at time.Time) (time.Time, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, w := range f.workers {
		for key, r := range w.runs {
			if strings.HasPrefix(key.task, prefix) {
				if r.started.Before(at) {
					return at, true
				}
				return r.started, true
			}
		}
	}
	first, found := time.Time{}, false
	for _, i := range f.history {
		if strings.HasPrefix(i.key.task, prefix) && i.end.After(at) && (!found || i.start.Before(first)) {
			first, found = i.start, true
		}
	}
	return first, found
}

// runningOn returns the executor that runs a task whose name has the prefix.
func (f *fleet) runningOn(prefix string) (*worker, runKey, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, w := range f.workers {
		for key := range w.runs {
			if strings.HasPrefix(key.task, prefix) {
				return w, key, true
			}
		}
	}
	return nil, runKey{}, false
}

// endRun ends a run at once in the given way.
func (f *fleet) endRun(w *worker, key runKey, how string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if w.runs[key] == nil {
		return false
	}
	w.end(key, how)
	return true
}

type command struct {
	Task     string `json:"task"`
	Run      int    `json:"run"`
	Spec     string `json:"spec"`
	Deadline int64  `json:"deadline-ms"`
	Token    int64  `json:"fencing-token"`
	Acked    int64  `json:"ack-seq"`
	Wait     int64  `json:"wait-ms"`
}

func (w *worker) handle(out http.ResponseWriter, in *http.Request) {
	var c command
	if err := json.NewDecoder(in.Body).Decode(&c); err != nil {
		out.WriteHeader(http.StatusBadRequest)
		return
	}
	f := w.fleet
	f.mu.Lock()
	defer f.mu.Unlock()
	if w.dead {
		panic(http.ErrAbortHandler)
	}
	if named := in.Header.Get("Expected-Instance"); named != "" && named != w.id {
		w.answer(out, http.StatusMisdirectedRequest, nil)
		return
	}
	if c.Token < w.token {
		w.answer(out, http.StatusConflict, map[string]any{"reason": "fence"})
		return
	}
	if c.Token>>20 > w.token>>20 {
		f.rec.note("%s: %s with a fencing token of a new epoch, %d", w.id, in.URL.Path, c.Token>>20)
	}
	w.token = c.Token
	switch in.URL.Path {
	case "/v1/run-start":
		w.extendLease(c.Deadline)
		reason := w.start(c)
		f.rec.note("%s: start %s run %d: %s", w.id, c.Task, c.Run, map[bool]string{true: "started", false: reason}[reason == ""])
		if reason != "" {
			w.answer(out, http.StatusConflict, map[string]any{"reason": reason})
			return
		}
		w.answer(out, http.StatusOK, nil)
	case "/v1/run-stop":
		w.superseded[c.Task] = max(w.superseded[c.Task], c.Run)
		for key, r := range w.runs {
			if key.task == c.Task && key.number <= c.Run && r.stopAt.IsZero() {
				r.stopAt = time.Now().Add(killGrace / 2)
			}
		}
		f.rec.note("%s: stop %s run %d", w.id, c.Task, c.Run)
		w.answer(out, http.StatusOK, nil)
	case "/v1/hold":
		if w.crashOnRenewal && c.Deadline > 0 {
			f.rec.note("%s: reads a renewal of its lease (deadline-ms %d, its clock %d)", w.id, c.Deadline, w.clock().Milliseconds())
			w.crash()
			panic(http.ErrAbortHandler)
		}
		w.extendLease(c.Deadline)
		w.acknowledge(c.Acked)
		w.hold(in.Context(), out, time.Duration(c.Wait)*time.Millisecond)
	default:
		out.WriteHeader(http.StatusNotFound)
	}
}

func (w *worker) answer(out http.ResponseWriter, status int, body map[string]any) {
	if body == nil {
		body = make(map[string]any)
	}
	body["clock-ms"] = w.clock().Milliseconds()
	body["born"] = w.born.UnixMilli()
	data, _ := json.Marshal(body)
	out.Header().Set("Content-Type", "application/json")
	out.WriteHeader(status)
	_, _ = out.Write(data)
}

func (w *worker) extendLease(deadline int64) {
	end := min(time.Duration(deadline)*time.Millisecond, w.clock()+holdMax)
	w.leaseEnd = max(w.leaseEnd, end)
}

// start starts a run unless it is there; it returns the reason of a refusal.
func (w *worker) start(c command) string {
	key := runKey{c.Task, c.Run}
	if w.runs[key] != nil {
		return ""
	}
	if c.Run <= w.superseded[c.Task] {
		return "old"
	}
	if time.Duration(c.Deadline)*time.Millisecond < w.clock() {
		return "late"
	}
	lasts, how := w.fleet.outcome(key)
	r := &activeRun{started: time.Now(), how: how}
	if lasts > 0 {
		r.ends = r.started.Add(lasts)
	}
	w.runs[key] = r
	var cpu, memory int64
	for other := range w.runs {
		s := w.fleet.sizes[other.task[:strings.IndexByte(other.task, '.')]]
		cpu, memory = cpu+s.cpu, memory+s.memory
	}
	if cpu > workerCPU || memory > workerMemory {
		w.fleet.over = append(w.fleet.over, fmt.Sprintf("%s has %d MB of its %d MB and %d of its %d thousandths of a core in use with %s",
			w.id, memory, workerMemory, cpu, workerCPU, c.Task))
	}
	return ""
}

func (w *worker) acknowledge(number int64) {
	kept := w.ended[:0]
	for _, row := range w.ended {
		if row[0].(int64) > number {
			kept = append(kept, row)
		}
	}
	w.ended = kept
}

// hold answers once a run has ended or the time to wait is over; the caller holds the lock, which hold releases while it waits.
func (w *worker) hold(ctx context.Context, out http.ResponseWriter, wait time.Duration) {
	for deadline := time.Now().Add(wait); len(w.ended) == 0 && time.Now().Before(deadline) && !w.dead && ctx.Err() == nil; {
		w.fleet.mu.Unlock()
		time.Sleep(5 * time.Millisecond)
		w.fleet.mu.Lock()
	}
	if w.dead {
		panic(http.ErrAbortHandler)
	}
	running, finished := make([][]any, 0, len(w.runs)), make([][]any, 0, len(w.ended))
	for key, r := range w.runs {
		running = append(running, []any{key.task, key.number, "", min(int(time.Since(r.started).Milliseconds()/100), 100), 0})
	}
	for _, row := range w.ended[:min(len(w.ended), 500)] {
		finished = append(finished, row)
	}
	w.answer(out, http.StatusOK, map[string]any{"running": running, "finished": finished})
}
