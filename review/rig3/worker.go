package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sort"
	"strings"
	"sync"
	"time"
)

// Amount is an amount of resources in the platform's format.
type Amount struct {
	CPU int `json:"cpu"`
	Mem int `json:"mem-mb"`
	GPU int `json:"gpu"`
}

// WorkerSpec describes one boot of an executor.
type WorkerSpec struct {
	ID, Zone, Kind, Rack string
	Capacity             Amount
}

// beat is the interval at which an executor writes its entry.
const beat = 1500 * time.Millisecond

// Worker is a stand-in for an executor, written after PROTOCOL.md ("Running tasks", "Service discovery").
type Worker struct {
	rig     *Rig
	address string
	server  *http.Server

	mu         sync.Mutex
	spec       WorkerSpec
	up         bool
	boot       int
	startedAt  time.Time
	token      int64
	leaseEnd   time.Duration
	runs       map[string]*Run
	superseded map[string]int
	finished   []End
	ends       int64
	sequence   int
	draining   bool
	written    time.Time
	hangUntil  time.Time
}

// Run is a run of a task on an executor.
type Run struct {
	Task, Spec string
	Number     int
	Worker     *Worker
	Boot       int
	Began      time.Time
	Ended      time.Time
	How        string
	size       Amount
	endAt      time.Time
	stopAt     time.Time
	endHow     string
}

// End is an end in an executor's list.
type End struct {
	Number int64
	Task   string
	Run    int
	How    string
}

func newWorker(rig *Rig, spec WorkerSpec) *Worker {
	w := &Worker{rig: rig, spec: spec, address: freeAddress()}
	w.Start(spec)
	return w
}

// Start begins a boot: the executor listens and registers itself at once.
func (w *Worker) Start(spec WorkerSpec) {
	var listener net.Listener
	var err error
	for try := 0; try < 100; try++ {
		if listener, err = net.Listen("tcp4", w.address); err == nil {
			break
		}
		time.Sleep(10 * time.Millisecond)
	}
	w.rig.must(err, "executor listens")
	w.mu.Lock()
	w.spec, w.up, w.boot, w.startedAt = spec, true, w.boot+1, time.Now()
	w.token, w.leaseEnd, w.ends, w.finished = 0, 0, 0, nil
	w.runs, w.superseded = make(map[string]*Run), make(map[string]int)
	boot := w.boot
	w.server = &http.Server{Handler: http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) { w.handle(rw, r, boot) })}
	server := w.server
	w.mu.Unlock()
	go func() { _ = server.Serve(listener) }()
	w.rig.Logf("executor %s boot %d up: zone %s, labels [%s %s], capacity %+v", spec.ID, boot, spec.Zone, spec.Kind, spec.Rack, spec.Capacity)
	w.writeEntry()
	go w.loop(boot)
}

// Crash ends a boot: connections break, and all that runs ends without a report.
func (w *Worker) Crash() {
	w.mu.Lock()
	if !w.up {
		w.mu.Unlock()
		return
	}
	w.up = false
	now := time.Now()
	for _, r := range w.runs {
		r.Ended, r.How = now, "crash"
	}
	w.runs = make(map[string]*Run)
	server := w.server
	w.mu.Unlock()
	w.rig.Logf("executor %s crashes", w.spec.ID)
	_ = server.Close()
}

// CrashForGood ends the executor; its entry is removed after three status report intervals without one.
func (w *Worker) CrashForGood() {
	w.mu.Lock()
	left := time.Until(w.written.Add(3 * beat))
	w.mu.Unlock()
	w.Crash()
	time.AfterFunc(left, func() {
		w.rig.store.Put("servers", w.spec.ID, nil)
		w.rig.Logf("the entry of executor %s is removed", w.spec.ID)
	})
}

// Hang leaves all calls without an answer, and without effect, until the time.
func (w *Worker) Hang(until time.Time) {
	w.mu.Lock()
	w.hangUntil = until
	w.mu.Unlock()
}

// SetDraining makes the executor report that it is draining.
func (w *Worker) SetDraining() {
	w.mu.Lock()
	w.draining = true
	w.mu.Unlock()
	w.writeEntry()
}

func (w *Worker) loop(boot int) {
	ticker := time.NewTicker(5 * time.Millisecond)
	defer ticker.Stop()
	written := time.Now()
	for range ticker.C {
		w.mu.Lock()
		if !w.up || w.boot != boot {
			w.mu.Unlock()
			return
		}
		w.update(time.Now())
		w.mu.Unlock()
		if time.Since(written) >= beat {
			written = time.Now()
			w.writeEntry()
		}
	}
}

// entry returns the executor's entry.
func (w *Worker) entry() map[string]any {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.sequence++
	w.written = time.Now()
	state := "ready"
	if w.draining {
		state = "draining"
	}
	return map[string]any{
		"service": w.rig.Pool, "address": w.address, "zone": w.spec.Zone, "version": "v1", "slots": 8, "state": state,
		"cold-remaining-ms": 0, "capacity": w.spec.Capacity, "labels": []string{w.spec.Kind, w.spec.Rack},
		"clock-ms": time.Since(w.startedAt).Milliseconds(), "sequence": w.sequence, "born": w.startedAt.UnixMilli(),
	}
}

func (w *Worker) writeEntry() { w.rig.putEntry(w.spec.ID, w.entry()) }

// clock is the boot's steady clock.
func (w *Worker) clock() time.Duration { return time.Since(w.startedAt) }

func (w *Worker) update(now time.Time) {
	lapsed := w.clock() > w.leaseEnd
	for _, r := range w.runs {
		switch {
		case lapsed:
			w.end(r, "lapsed", now)
		case !r.stopAt.IsZero() && !now.Before(r.stopAt):
			w.end(r, "stopped", now)
		case r.stopAt.IsZero() && !r.endAt.IsZero() && !now.Before(r.endAt):
			w.end(r, r.endHow, now)
		}
	}
}

func runName(task string, run int) string { return fmt.Sprintf("%s#%d", task, run) }

func (w *Worker) end(r *Run, how string, now time.Time) {
	delete(w.runs, runName(r.Task, r.Number))
	r.Ended, r.How = now, how
	w.superseded[r.Task] = max(w.superseded[r.Task], r.Number)
	w.ends++
	w.finished = append(w.finished, End{w.ends, r.Task, r.Number, how})
	w.rig.Logf("executor %s: %s run %d ended %s", w.spec.ID, r.Task, r.Number, how)
}

type command struct {
	Task     string `json:"task"`
	Run      int    `json:"run"`
	Spec     string `json:"spec"`
	Deadline int64  `json:"deadline-ms"`
	Token    int64  `json:"fencing-token"`
	Ack      int64  `json:"ack-seq"`
	Wait     int64  `json:"wait-ms"`
}

func (w *Worker) handle(rw http.ResponseWriter, r *http.Request, boot int) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	var c command
	if json.Unmarshal(body, &c) != nil {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	w.mu.Lock()
	if hang := time.Until(w.hangUntil); hang > 0 {
		w.mu.Unlock()
		// The caller gives up long before.
		select {
		case <-r.Context().Done():
		case <-time.After(hang + time.Minute):
		}
		panic(http.ErrAbortHandler)
	}
	defer w.mu.Unlock()
	if !w.up || w.boot != boot {
		panic(http.ErrAbortHandler)
	}
	if id := r.Header.Get("Expected-Instance"); id != "" && id != w.spec.ID {
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	w.update(time.Now())
	if c.Token < w.token {
		w.answer(rw, http.StatusConflict, map[string]any{"reason": "fence"})
		return
	}
	w.token = c.Token
	switch r.URL.Path {
	case "/v1/run-start":
		w.start(rw, c, boot)
	case "/v1/run-stop":
		w.superseded[c.Task] = max(w.superseded[c.Task], c.Run)
		for _, run := range w.runs {
			if run.Task == c.Task && run.Number <= c.Run && run.stopAt.IsZero() {
				run.stopAt = time.Now().Add(w.rig.KillGrace / 2)
			}
		}
		w.rig.Logf("executor %s: stop of %s run %d", w.spec.ID, c.Task, c.Run)
		w.answer(rw, http.StatusOK, map[string]any{})
	case "/v1/hold":
		w.hold(rw, r, c, boot)
	case "/v1/pace":
		w.answer(rw, http.StatusOK, map[string]any{})
	default:
		rw.WriteHeader(http.StatusNotFound)
	}
}

func (w *Worker) extend(deadline int64) {
	end := min(time.Duration(deadline)*time.Millisecond, w.clock()+w.rig.HoldMax)
	w.leaseEnd = max(w.leaseEnd, end)
}

func (w *Worker) start(rw http.ResponseWriter, c command, boot int) {
	late := time.Duration(c.Deadline)*time.Millisecond < w.clock()
	if !late {
		w.extend(c.Deadline)
	}
	name := runName(c.Task, c.Run)
	switch {
	case w.runs[name] != nil:
		w.answer(rw, http.StatusOK, map[string]any{})
		return
	case c.Run <= w.superseded[c.Task]:
		w.answer(rw, http.StatusConflict, map[string]any{"reason": "old"})
		return
	case late:
		w.answer(rw, http.StatusConflict, map[string]any{"reason": "late"})
		return
	}
	run := &Run{Task: c.Task, Number: c.Run, Spec: c.Spec, Worker: w, Boot: boot, Began: time.Now()}
	w.rig.plan(run)
	w.runs[name] = run
	w.rig.addRun(run)
	w.rig.Logf("executor %s boot %d (zone %s, kind %s): started %s run %d", w.spec.ID, boot, w.spec.Zone, w.spec.Kind, c.Task, c.Run)
	w.rig.checkStart(run, w.spec)
	w.answer(rw, http.StatusOK, map[string]any{})
}

func (w *Worker) hold(rw http.ResponseWriter, r *http.Request, c command, boot int) {
	if c.Deadline > 0 {
		w.extend(c.Deadline)
	}
	kept := w.finished[:0]
	for _, e := range w.finished {
		if e.Number > c.Ack {
			kept = append(kept, e)
		}
	}
	w.finished = kept
	deadline := time.Now().Add(time.Duration(c.Wait) * time.Millisecond)
	for len(w.finished) == 0 && time.Now().Before(deadline) && r.Context().Err() == nil {
		w.mu.Unlock()
		time.Sleep(5 * time.Millisecond)
		w.mu.Lock()
		if !w.up || w.boot != boot || time.Now().Before(w.hangUntil) {
			panic(http.ErrAbortHandler)
		}
	}
	running, finished := [][]any{}, [][]any{}
	names := make([]string, 0, len(w.runs))
	for name := range w.runs {
		names = append(names, name)
	}
	sort.Strings(names)
	for _, name := range names {
		run := w.runs[name]
		running = append(running, []any{run.Task, run.Number, "", w.rig.percent(run), 0})
	}
	for _, e := range w.finished[:min(len(w.finished), 500)] {
		finished = append(finished, []any{e.Number, e.Task, e.Run, e.How, ""})
	}
	w.answer(rw, http.StatusOK, map[string]any{"born": w.startedAt.UnixMilli(), "running": running, "finished": finished})
}

func (w *Worker) answer(rw http.ResponseWriter, status int, body map[string]any) {
	body["clock-ms"] = w.clock().Milliseconds()
	data, _ := json.Marshal(body)
	rw.Header().Set("Content-Type", "application/json")
	if w.rig.closing {
		rw.Header().Set("Connection", "close")
	}
	rw.WriteHeader(status)
	_, _ = rw.Write(data)
}

// jobOf returns the submission that a task belongs to.
func jobOf(task string) string { return task[:strings.IndexByte(task, '.')] }
