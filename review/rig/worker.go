package main

import (
	"encoding/json"
	"fmt"
	"math/rand"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	holdMax   = 10 * time.Second
	killGrace = 400 * time.Millisecond
	heartbeat = 1500 * time.Millisecond
	service   = "kilan-desk"
)

// runPlan tells how a run goes on: how long it works and how it ends, "done" or "failed". Without an end it goes on until it
// is stopped.
type runPlan struct {
	work time.Duration
	how  string
}

// fleet is a set of stand-ins of executors with one view of all runs, which judges the rules.
type fleet struct {
	mu      sync.Mutex
	rec     *recorder
	store   *store
	workers []*worker
	// decide returns the plan of a run; it is called once for each start.
	decide func(task string, run int, w *worker) runPlan
	// running counts the runs of each task, done holds when a run of a task ended done.
	running    map[string]int
	lastAtWork map[string]time.Time
	// ackedDone holds the tasks of which an end done was taken note of before the executor's lease lapsed.
	ackedDone  map[string]time.Time
	starts     map[string]int
	violations []string
	// onDone, if set, is called for each run that ends done.
	onDone func(task string)
}

type worker struct {
	fleet     *fleet
	id        string
	zone      string
	rack      string
	kind      string
	addr      string
	cpu, mem  int64
	born      time.Time
	token     int64
	leaseEnd  time.Duration
	runs      map[string]*run
	ended     []*ended
	endCount  int64
	highest   map[string]int
	sequence  int64
	lastWrite time.Time
	// down is set while the executor is down. boot counts its lives; a connection of an earlier one is dead.
	down atomic.Bool
	boot atomic.Int64
	// failing executors fail all that they start.
	failing bool
}

// bootListener makes the connections of an executor's earlier lives, and those that arrive while it is down, behave like
// those of a machine that lost its power: nothing is answered, and data that arrives later is answered with a reset.
type bootListener struct {
	net.Listener
	w *worker
}

func (l bootListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	boot := l.w.boot.Load()
	if l.w.down.Load() {
		boot--
	}
	return &bootConn{Conn: c, w: l.w, boot: boot}, nil
}

type bootConn struct {
	net.Conn
	w    *worker
	boot int64
}

func (c *bootConn) dead() (dead, down bool) { return c.boot != c.w.boot.Load(), c.w.down.Load() }

func (c *bootConn) Read(p []byte) (int, error) {
	for {
		n, err := c.Conn.Read(p)
		dead, down := c.dead()
		if !dead || err != nil {
			return n, err
		}
		if !down {
			_ = c.Conn.(*net.TCPConn).SetLinger(0)
			_ = c.Conn.Close()
			return 0, net.ErrClosed
		}
	}
}

func (c *bootConn) Write(p []byte) (int, error) {
	if dead, _ := c.dead(); dead {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

func (c *bootConn) Close() error {
	if dead, _ := c.dead(); dead {
		// The peer closes it, or sends data and gets a reset.
		return nil
	}
	return c.Conn.Close()
}

// crash takes the executor down; everything that runs there ends unlisted. After the time it starts again under its id.
func (w *worker) crash(downFor time.Duration) {
	f := w.fleet
	f.mu.Lock()
	defer f.mu.Unlock()
	f.rec.logf("%s  loses power with %d runs, for %v", w.id, len(w.runs), downFor)
	for task, r := range w.runs {
		f.running[task]--
		f.lastAtWork[task] = time.Now()
		f.rec.logf("%s  run %s #%d ends with its executor", w.id, task, r.run)
	}
	w.down.Store(true)
	w.boot.Add(1)
	w.runs, w.ended, w.highest = map[string]*run{}, nil, map[string]int{}
	w.token, w.leaseEnd, w.endCount, w.sequence = 0, 0, 0, 0
	time.AfterFunc(downFor, func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		w.born, w.lastWrite = time.Now(), time.Time{}
		w.down.Store(false)
		f.rec.logf("%s  starts again under its id, born %d", w.id, w.born.UnixMilli())
	})
}

type run struct {
	task    string
	run     int
	started time.Time
	plan    runPlan
	stopAt  time.Time
}

type ended struct {
	number int64
	task   string
	run    int
	how    string
	lapsed bool
}

func newFleet(rec *recorder, st *store, n int, decide func(string, int, *worker) runPlan) (*fleet, error) {
	f := &fleet{
		rec: rec, store: st, decide: decide, running: map[string]int{}, lastAtWork: map[string]time.Time{},
		ackedDone: map[string]time.Time{}, starts: map[string]int{},
	}
	zones := []string{"aji-gidc", "shapar", "metoda"}
	for i := range n {
		l, err := net.Listen("tcp4", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		w := &worker{
			fleet: f, id: fmt.Sprintf("i-%08x", rand.Uint32()), zone: zones[i%len(zones)], rack: fmt.Sprintf("r%d-%d", i%len(zones), i/8),
			kind: "a", addr: l.Addr().String(), cpu: 64000, mem: 262144, born: time.Now(),
			runs: map[string]*run{}, highest: map[string]int{},
		}
		if i < 2 {
			w.kind = "b"
		}
		f.workers = append(f.workers, w)
		mux := http.NewServeMux()
		mux.HandleFunc("POST /v1/run-start", w.handle)
		mux.HandleFunc("POST /v1/run-stop", w.handle)
		mux.HandleFunc("POST /v1/hold", w.handle)
		mux.HandleFunc("GET /health", func(http.ResponseWriter, *http.Request) {})
		go func() { _ = http.Serve(bootListener{l, w}, mux) }()
	}
	go f.loop()
	return f, nil
}

func (f *fleet) violate(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	f.violations = append(f.violations, text)
	f.rec.logf("RULE BROKEN  %s", text)
}

func (f *fleet) loop() {
	for now := range time.Tick(10 * time.Millisecond) {
		f.mu.Lock()
		for _, w := range f.workers {
			w.update(now)
		}
		f.mu.Unlock()
	}
}

func (w *worker) clock() time.Duration { return time.Since(w.born) }

func (w *worker) update(now time.Time) {
	if w.down.Load() {
		return
	}
	if now.Sub(w.lastWrite) >= heartbeat {
		w.lastWrite = now
		w.sequence++
		entry := map[string]any{
			"service": service, "address": w.addr, "zone": w.zone, "version": "1", "slots": 8, "state": "ready",
			"cold-remaining-ms": 0, "sequence": w.sequence, "born": w.born.UnixMilli(), "labels": []string{w.kind, w.rack},
			"capacity": map[string]int64{"cpu": w.cpu, "mem-mb": w.mem, "gpu": 0},
		}
		go w.fleet.store.put("servers", w.id, entry)
	}
	lapsed := w.clock() > w.leaseEnd
	for _, e := range w.ended {
		e.lapsed = e.lapsed || lapsed
	}
	for _, r := range w.runs {
		switch {
		case lapsed:
			w.end(r, "lapsed")
		case !r.stopAt.IsZero() && now.After(r.stopAt):
			w.end(r, "stopped")
		case r.stopAt.IsZero() && r.plan.how != "" && now.Sub(r.started) >= r.plan.work:
			w.end(r, r.plan.how)
		}
	}
}

func (w *worker) end(r *run, how string) {
	delete(w.runs, r.task)
	w.highest[r.task] = max(w.highest[r.task], r.run)
	w.endCount++
	w.ended = append(w.ended, &ended{number: w.endCount, task: r.task, run: r.run, how: how})
	w.fleet.running[r.task]--
	w.fleet.lastAtWork[r.task] = time.Now()
	if how == "done" && w.fleet.onDone != nil {
		w.fleet.onDone(r.task)
	}
	w.fleet.rec.logf("%s  run %s #%d ends %s", w.id, r.task, r.run, how)
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

func (w *worker) handle(rw http.ResponseWriter, r *http.Request) {
	var c command
	if json.NewDecoder(r.Body).Decode(&c) != nil {
		answer(rw, http.StatusBadRequest, map[string]any{"clock-ms": w.clock().Milliseconds()})
		return
	}
	f := w.fleet
	f.mu.Lock()
	defer f.mu.Unlock()
	boot := w.boot.Load()
	say := func(status int, reason string) {
		body := map[string]any{"clock-ms": w.clock().Milliseconds(), "born": w.born.UnixMilli()}
		if reason != "" {
			body["reason"] = reason
		}
		answer(rw, status, body)
	}
	if want := r.Header.Get("Expected-Instance"); want != "" && want != w.id {
		say(http.StatusMisdirectedRequest, "")
		return
	}
	if c.Token < w.token {
		say(http.StatusConflict, "fence")
		return
	}
	if c.Token > w.token {
		f.rec.logf("%s  sees token %d", w.id, c.Token)
	}
	w.token = c.Token
	grant := func() {
		if c.Deadline > 0 {
			w.leaseEnd = max(w.leaseEnd, min(time.Duration(c.Deadline)*time.Millisecond, w.clock()+holdMax))
		}
	}
	switch r.URL.Path {
	case "/v1/run-start":
		if had := w.runs[c.Task]; had != nil && had.run == c.Run {
			grant()
			say(http.StatusOK, "")
			return
		}
		if c.Run <= w.highest[c.Task] {
			grant()
			say(http.StatusConflict, "old")
			return
		}
		if time.Duration(c.Deadline)*time.Millisecond <= w.clock() {
			say(http.StatusConflict, "late")
			return
		}
		grant()
		w.start(c)
		say(http.StatusOK, "")
	case "/v1/run-stop":
		w.highest[c.Task] = max(w.highest[c.Task], c.Run)
		if had := w.runs[c.Task]; had != nil && had.run <= c.Run && had.stopAt.IsZero() {
			had.stopAt = time.Now().Add(killGrace / 2)
			f.rec.logf("%s  run %s #%d is told to stop", w.id, c.Task, had.run)
		}
		say(http.StatusOK, "")
	case "/v1/hold":
		grant()
		w.acknowledge(c.Ack)
		until := time.Now().Add(time.Duration(min(c.Wait, 2000)) * time.Millisecond)
		for len(w.ended) == 0 && time.Now().Before(until) && r.Context().Err() == nil && w.boot.Load() == boot {
			f.mu.Unlock()
			time.Sleep(5 * time.Millisecond)
			f.mu.Lock()
		}
		if w.boot.Load() != boot {
			// The call was waiting when the executor lost its power.
			f.mu.Unlock()
			<-r.Context().Done()
			f.mu.Lock()
			return
		}
		running, finished := [][]any{}, [][]any{}
		for _, x := range w.runs {
			percent := 100
			if x.plan.how != "" && x.plan.work > 0 {
				percent = min(99, int(100*time.Since(x.started)/x.plan.work))
			}
			running = append(running, []any{x.task, x.run, "", percent, 0})
		}
		for i, e := range w.ended {
			if i == 500 {
				break
			}
			finished = append(finished, []any{e.number, e.task, e.run, e.how, ""})
		}
		answer(rw, http.StatusOK, map[string]any{
			"clock-ms": w.clock().Milliseconds(), "born": w.born.UnixMilli(), "running": running, "finished": finished,
		})
	}
}

func (w *worker) start(c command) {
	f := w.fleet
	f.starts[c.Task]++
	f.rec.logf("%s  starts %s #%d (token %d)", w.id, c.Task, c.Run, c.Token)
	if at, ok := f.ackedDone[c.Task]; ok {
		f.violate("TWICE: %s starts again on %s as run %d, %.1f s after an end done was taken note of",
			c.Task, w.id, c.Run, time.Since(at).Seconds())
	}
	if f.running[c.Task] > 0 {
		f.violate("TWICE: %s runs twice at the same time (run %d on %s)", c.Task, c.Run, w.id)
	}
	f.running[c.Task]++
	plan := f.decide(c.Task, c.Run, w)
	if w.failing {
		plan = runPlan{200 * time.Millisecond, "failed"}
	}
	w.runs[c.Task] = &run{task: c.Task, run: c.Run, started: time.Now(), plan: plan}
}

func (w *worker) acknowledge(number int64) {
	kept := w.ended[:0]
	for _, e := range w.ended {
		if e.number > number {
			kept = append(kept, e)
			continue
		}
		w.fleet.rec.logf("%s  ack-seq %d reaches end %d (%s of %s #%d)", w.id, number, e.number, e.how, e.task, e.run)
		if e.how == "done" && !e.lapsed {
			if _, ok := w.fleet.ackedDone[e.task]; !ok {
				w.fleet.ackedDone[e.task] = time.Now()
			}
		}
	}
	w.ended = kept
}

// runningOf returns how many tasks of each submission run now.
func (f *fleet) runningOf() map[string]int {
	f.mu.Lock()
	defer f.mu.Unlock()
	counts := map[string]int{}
	for _, w := range f.workers {
		for task := range w.runs {
			id, _, _ := strings.Cut(task, ".")
			counts[id]++
		}
	}
	return counts
}

// startsOf returns how many starts of tasks of a submission there were.
func (f *fleet) startsOf(id string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	for task, count := range f.starts {
		if strings.HasPrefix(task, id+".") {
			n += count
		}
	}
	return n
}

func (f *fleet) broken() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]string(nil), f.violations...)
}

// busyShare returns the share of the capacity that is in use by runs, given the size of each task in thousandths of a core.
func (f *fleet) busyShare(cpuOf func(task string) int64) float64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	used, total := int64(0), int64(0)
	for _, w := range f.workers {
		total += w.cpu
		for task := range w.runs {
			used += cpuOf(task)
		}
	}
	return float64(used) / float64(total)
}

// stepOf returns the number of a task's step.
func stepOf(task string) int {
	parts := strings.Split(task, ".")
	n, _ := strconv.Atoi(parts[2])
	return n
}

// busiest returns the n executors with the most runs.
func (f *fleet) busiest(n int) []*worker {
	f.mu.Lock()
	defer f.mu.Unlock()
	list := append([]*worker(nil), f.workers...)
	sort.Slice(list, func(i, j int) bool { return len(list[i].runs) > len(list[j].runs) })
	return list[:n]
}

// setFailing makes executors fail all that they start, or ends that.
func (f *fleet) setFailing(list []*worker, failing bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, w := range list {
		w.failing = failing
		f.rec.logf("%s  (label %q) fails all that it starts: %v", w.id, w.kind, failing)
	}
}
