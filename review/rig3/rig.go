package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"arbutuswing.example/platform/fakes"
)

// Phase is a step of a submission.
type Phase struct {
	Count          int    `json:"count"`
	CPU            int    `json:"cpu"`
	Mem            int    `json:"mem-mb"`
	Estimate       int    `json:"estimate-ms,omitempty"`
	Requires       string `json:"requires,omitempty"`
	LongRunning    bool   `json:"long-running,omitempty"`
	Gang           bool   `json:"gang,omitempty"`
	MaxPer         int    `json:"max-per-server,omitempty"`
	MaxUnavailable int    `json:"max-unavailable,omitempty"`
	After          []int  `json:"after,omitempty"`
}

// Submission is what a client submits.
type Submission struct {
	Spec   string  `json:"spec"`
	Phases []Phase `json:"phases"`
	Times  int     `json:"times,omitempty"`
	Start  int64   `json:"start-time-ms,omitempty"`
	Every  int     `json:"interval-ms,omitempty"`
}

// Rig is a small deployment on loopback: a store, executors, clients, and aw-node processes.
type Rig struct {
	Pool, Host, Prefix, Urgent, Key string
	KillGrace, HoldMax              time.Duration
	Zones                           []string
	Cap                             Amount

	// closing makes the executors close each connection after their answer.
	closing bool
	begun   time.Time
	dir     string
	record  *os.File
	store   *fakes.Store
	nodes   []*Node
	workers []*Worker
	client  *http.Client

	mu          sync.Mutex
	submissions map[string]Submission
	accepted    map[string]time.Time
	runs        []*Run
	broken      []string
	// check, if set, is called for each start with the lock held; it returns a description of the rule's breach, or "".
	check func(r *Run, spec WorkerSpec) string
	// planned, if set, sets the end of a run.
	planned func(r *Run, p Phase)
}

// memoryMB is the memory of a machine of the small sites.
const memoryMB = 284

// Node is an aw-node process.
type Node struct {
	Name, Zone, http, ready, peer string
	settings                      string
	log                           *os.File
	mu                            sync.Mutex
	cmd                           *exec.Cmd
}

func newRig(folder string) *Rig {
	record, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	dir, err := os.MkdirTemp("", "aw-review3-")
	r := &Rig{
		Pool: "desk", Host: "work.example", Prefix: "/plan/", Urgent: "/urgent/", Key: "key-1", KillGrace: 400 * time.Millisecond,
		HoldMax: 10 * time.Second, Zones: []string{"z-a", "z-b", "z-c"},
		begun: time.Now(), dir: dir, record: record, submissions: make(map[string]Submission), accepted: make(map[string]time.Time),
		client: &http.Client{Timeout: 3 * time.Second},
	}
	r.must(err, "temporary folder")
	r.store, err = fakes.NewStore()
	r.must(err, "store")
	return r
}

// Logf writes a line into record.txt with the time since the begin.
func (r *Rig) Logf(format string, args ...any) {
	fmt.Fprintf(r.record, "%8.3f  %s\n", time.Since(r.begun).Seconds(), fmt.Sprintf(format, args...))
}

// must ends the case as one that couldn't run if there is an error.
func (r *Rig) must(err error, what string) {
	if err == nil {
		return
	}
	fmt.Fprintf(os.Stderr, "%s: %v\n", what, err)
	r.Logf("could not run: %s: %v", what, err)
	r.end(2)
}

// end ends all processes and exits.
func (r *Rig) end(code int) {
	for _, n := range r.nodes {
		n.kill()
	}
	_ = os.RemoveAll(r.dir)
	r.Logf("exit %d", code)
	_ = r.record.Close()
	os.Exit(code)
}

var (
	portsMu sync.Mutex
	ports   = make(map[string]bool)
)

// freeAddress returns a free loopback address; it returns none twice.
func freeAddress() string {
	portsMu.Lock()
	defer portsMu.Unlock()
	for try := 0; ; try++ {
		port := 12000 + (os.Getpid()*37+try*11+len(ports)*101)%18000
		address := fmt.Sprintf("127.0.0.1:%d", port)
		if ports[address] {
			continue
		}
		l, err := net.Listen("tcp4", address)
		if err != nil && try < 20000 {
			continue
		}
		if err == nil {
			_ = l.Close()
		}
		ports[address] = true
		return address
	}
}

// putConfig writes the operator's config: an ordinary queue and an urgent one, both without hint, and one tenant.
func (r *Rig) putConfig() {
	route := func(name, prefix string, priority int) map[string]any {
		return map[string]any{
			"name": name, "host": r.Host, "prefix": prefix, "kind": "non_idempotent", "timeout-ms": 3000, "target-latency-ms": 1000,
			"priority": priority, "service": r.Pool, "max-attempts": 4, "stretch": 2.2, "anonymous": false,
		}
	}
	config := map[string]any{
		"version":  3,
		"routes":   []any{route("r-1", r.Prefix, 1), route("r-0", r.Urgent, 0)},
		"services": []any{map[string]any{"name": r.Pool, "enforces-capacity": false, "standby": false}},
		"limits":   map[string]any{"max-header-bytes": 16384, "max-body-bytes": 262144},
		"tenants":  []any{map[string]any{"name": "t-1", "keys": []string{r.Key}, "weight": 50, "cap": r.Cap}},
	}
	data, err := json.Marshal(config)
	r.must(err, "config")
	r.store.PutConfig(data)
	r.Logf("operator: config 3 acknowledged")
}

func (r *Rig) putEntry(id string, entry map[string]any) {
	data, err := json.Marshal(entry)
	if err == nil {
		r.store.Put("servers", id, data)
	}
}

// startNodes starts n aw-node processes with the command of the deploy file and waits until all are ready.
func (r *Rig) startNodes(n int) {
	root := os.Getenv("ROOT")
	for i := range n {
		node := &Node{
			Name: fmt.Sprintf("edge-%s-%d", r.Zones[i%len(r.Zones)], i), Zone: r.Zones[i%len(r.Zones)],
			http: freeAddress(), ready: freeAddress(), peer: freeAddress(),
		}
		// The template deploy/settings.json with the figures of a small deployment.
		settings := map[string]any{
			"node": node.Name, "data-centre": node.Zone, "client-address": node.http, "readiness-address": node.ready,
			"peer-address": node.peer, "metrics-address": freeAddress(), "store-address": r.store.Address(), "advice-address": "",
			"cores": 0.4, "link-mbps": 1000.0, "memory-mib": memoryMB, "worker-lease-max": r.HoldMax.String(),
			"kill-grace": r.KillGrace.String(), "restore-time": "250ms", "gang-timeout": "3s", "retention": "120s", "stop-grace": "6s",
		}
		data, err := json.MarshalIndent(settings, "", "  ")
		r.must(err, "settings")
		node.settings = filepath.Join(r.dir, node.Name+".json")
		r.must(os.WriteFile(node.settings, data, 0o600), "settings")
		node.log, err = os.Create(filepath.Join(r.dir, node.Name+".log"))
		r.must(err, "log")
		r.nodes = append(r.nodes, node)
		r.must(node.start(root), "starting aw-node")
		r.Logf("%s started", node.Name)
	}
	deadline := time.Now().Add(15 * time.Second)
	for _, node := range r.nodes {
		for !r.isReady(node) {
			if time.Now().After(deadline) {
				r.must(fmt.Errorf("%s is not ready", node.Name), "start")
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	r.Logf("all nodes ready")
}

func (n *Node) start(root string) error {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cmd = exec.Command("target/aw-node", "run", "--settings", n.settings)
	n.cmd.Dir, n.cmd.Stdout, n.cmd.Stderr = root, n.log, n.log
	n.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	return n.cmd.Start()
}

func (n *Node) kill() {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.cmd != nil && n.cmd.Process != nil {
		_ = n.cmd.Process.Kill()
		_ = n.cmd.Wait()
		n.cmd = nil
	}
}

func (r *Rig) isReady(n *Node) bool {
	resp, err := r.client.Get("http://" + n.ready + "/v1/readiness")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// call makes a client's call at a node and returns the status and the body, or 0 if there was no answer.
func (r *Rig) call(n *Node, method, path string, body []byte) (int, string) {
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+n.http+path, bytes.NewReader(body))
	if err != nil {
		return 0, err.Error()
	}
	req.Host = r.Host
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Authorization", "Bearer "+r.Key)
	req.Header.Set("Request-Deadline", "3000")
	resp, err := r.client.Do(req)
	if err != nil {
		return 0, err.Error()
	}
	defer resp.Body.Close()
	data, _ := io.ReadAll(resp.Body)
	return resp.StatusCode, string(data)
}

// submit hands a submission in at a node; it repeats the call at another node if there was no answer or a 503.
func (r *Rig) submit(id string, s Submission, first int) bool {
	return r.submitTo(r.Prefix, id, s, first)
}

func (r *Rig) submitTo(prefix, id string, s Submission, first int) bool {
	r.mu.Lock()
	r.submissions[id] = s
	r.mu.Unlock()
	body, err := json.Marshal(s)
	r.must(err, "submission")
	for try := range 5 {
		n := r.nodes[(first+try)%len(r.nodes)]
		status, text := r.call(n, http.MethodPost, prefix+id, body)
		r.Logf("client: POST %s at %s -> %d %.80s", id, n.Name, status, text)
		if status/100 == 2 {
			r.mu.Lock()
			r.accepted[id] = time.Now()
			r.mu.Unlock()
			return true
		}
		time.Sleep(time.Second)
	}
	return false
}

// state asks for a submission's state.
func (r *Rig) state(id string, at int) string {
	status, text := r.call(r.nodes[at%len(r.nodes)], http.MethodGet, r.Prefix+id, nil)
	var body struct {
		State string `json:"state"`
	}
	_ = json.Unmarshal([]byte(text), &body)
	if status != http.StatusOK {
		return fmt.Sprintf("status %d", status)
	}
	return body.State
}

func (r *Rig) phaseOf(run *Run) (Phase, bool) {
	s, ok := r.submissions[jobOf(run.Task)]
	if !ok {
		return Phase{}, false
	}
	var k, step, index int
	if _, err := fmt.Sscanf(run.Task[len(jobOf(run.Task)):], ".%d.%d.%d", &k, &step, &index); err != nil || step >= len(s.Phases) {
		return Phase{}, false
	}
	return s.Phases[step], true
}

// plan sets the size and the end of a run.
func (r *Rig) plan(run *Run) {
	r.mu.Lock()
	defer r.mu.Unlock()
	p, ok := r.phaseOf(run)
	if !ok {
		return
	}
	run.size = Amount{p.CPU, p.Mem, 0}
	if !p.LongRunning {
		run.endAt, run.endHow = run.Began.Add(time.Duration(p.Estimate)*time.Millisecond), "done"
	}
	if r.planned != nil {
		r.planned(run, p)
	}
}

func (r *Rig) percent(run *Run) int {
	if run.endAt.IsZero() {
		return 100
	}
	return int(100 * time.Since(run.Began) / max(run.endAt.Sub(run.Began), 1))
}

func (r *Rig) addRun(run *Run) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.runs = append(r.runs, run)
}

func (r *Rig) checkStart(run *Run, spec WorkerSpec) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.check == nil {
		return
	}
	if text := r.check(run, spec); text != "" {
		r.broken = append(r.broken, text)
		r.Logf("RULE BROKEN: %s", text)
	}
}

func (r *Rig) breach(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	text := fmt.Sprintf(format, args...)
	r.broken = append(r.broken, text)
	r.Logf("RULE BROKEN: %s", text)
}

// finish prints the result and ends: 1 if the rule was broken, 0 if it held.
func (r *Rig) finish() {
	r.mu.Lock()
	broken, runs := len(r.broken), len(r.runs)
	r.mu.Unlock()
	r.Logf("%d starts in all; rule broken %d times", runs, broken)
	if broken > 0 {
		fmt.Printf("rule broken %d times, first: %s\n", broken, r.broken[0])
		r.end(1)
	}
	fmt.Println("rule held")
	r.end(0)
}
