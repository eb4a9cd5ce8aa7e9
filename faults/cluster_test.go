package faults

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"sync"
	"testing"

	"gotest.tools/v3/assert"
)

const (
	operatorKey = "operator-key"
	// researchKey and pricingKey are the keys that the teams have from the start.
	researchKey = "research-key"
	pricingKey  = "pricing-key"
	// harbourKey approves changes to the terms of team pricing.
	harbourKey = "harbour-approval"

	workerCores = 8000
	taskCores   = 2000
)

// maxProcesses bounds the processes that run at the same time.
const maxProcesses = 40

// slots is taken by one cluster after the other, so that none waits half-way for another.
var slots = struct {
	sync.Mutex
	free chan struct{}
}{free: make(chan struct{}, maxProcesses)}

// takeSlots waits until a number of processes may start; they are given back at the end of the test.
func takeSlots(t *testing.T, count int) {
	slots.Lock()
	defer slots.Unlock()
	for range count {
		slots.free <- struct{}{}
	}
	t.Cleanup(func() {
		for range count {
			<-slots.free
		}
	})
}

// layout says what a cluster has per data centre.
type layout struct {
	entries, workers int
	// lease overrides the lease settings of all entry instances.
	lease map[string]any
}

// entry is an entry instance.
type entry struct {
	*process
	centre   string
	settings string
	// caller and admin are URLs.
	caller, admin string
}

// cluster is the whole system in three data centres, with its stand-ins.
type cluster struct {
	t         *testing.T
	dir       string
	platform  string
	endpoints string
	entries   []*entry
	keyFile   string
	processes []*process
}

var centres = []string{"dc1", "dc2", "dc3"}

func hash(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// newCluster starts the system, waits until every instance knows all others, and puts the declarations in force.
func newCluster(t *testing.T, l layout) *cluster {
	t.Helper()
	const standins = 2
	count := len(centres) * l.entries
	takeSlots(t, count+standins)
	c := &cluster{t: t, dir: workDir(t)}
	c.keyFile = c.write("operator.key", []byte(operatorKey))
	first := freePorts(t, 1+3*count)
	c.platform = "http://" + address(first)
	c.startStandin(first, l)
	c.startEndpoints(first)
	for i := range count {
		c.entries = append(c.entries, c.newEntry(i, l, first+1+3*i))
	}
	for _, e := range c.entries {
		e.run(c)
	}
	// Cleanups run last in, first out, so the processes still run.
	t.Cleanup(c.explain)
	c.awaitMembers(count)
	code, out := c.ctl(c.entries[0], "apply", "--author", "test", c.writeDeclarations("declarations", declarations(0)))
	assert.Equal(t, code, 0, out)
	within(t, patience, "declarations on all instances", func() bool {
		return c.all(func(e *entry) bool { return len(c.status(e).Teams) > 0 })
	})
	return c
}

// workDir is a temporary folder unless FAULTS_DIR names a folder in which logs outlive the test.
func workDir(t *testing.T) string {
	kept := os.Getenv("FAULTS_DIR")
	if kept == "" {
		return t.TempDir()
	}
	dir := filepath.Join(kept, t.Name())
	assert.NilError(t, os.RemoveAll(dir))
	assert.NilError(t, os.MkdirAll(dir, 0o700))
	return dir
}

// explain shows the warnings and errors of all processes after a failure, and saves their state beside their logs.
func (c *cluster) explain() {
	if !c.t.Failed() {
		return
	}
	const lines = 12
	c.write("audit.json", call(client, http.MethodGet, c.platform+"/audit", nil, nil).body)
	for _, e := range c.live() {
		c.t.Logf("%s: %+v", e.name, c.status(e))
		c.write(e.name+".dump", call(client, http.MethodGet, e.admin+"/dump", operator, nil).body)
	}
	for _, p := range c.processes {
		c.t.Logf("%s, running: %t\n%s", p.name, p.alive(), p.notable(lines))
	}
}

func (c *cluster) write(name string, data []byte) string {
	c.t.Helper()
	path := filepath.Join(c.dir, name)
	assert.NilError(c.t, os.MkdirAll(filepath.Dir(path), 0o700))
	assert.NilError(c.t, os.WriteFile(path, data, 0o600))
	return path
}

func (c *cluster) startStandin(first int, l layout) {
	c.t.Helper()
	workers, rows := make([]any, 0, len(centres)), make([]any, 0, len(centres)*l.entries)
	for _, centre := range centres {
		workers = append(workers, map[string]any{
			"prefix": centre + "-w", "count": l.workers, "data-centre": centre,
			"capacity": map[string]any{"milli-cores": workerCores, "memory-mib": 64 << 10},
		})
	}
	for i := range len(centres) * l.entries {
		rows = append(rows, map[string]any{
			"id": entryName(i), "role": "entry", "data-centre": centres[i%len(centres)],
			"address": address(first + 3 + 3*i), "presence": "live",
		})
	}
	exact := map[string]any{"min": 1, "max": 1}
	settings := c.write("standin.json", encode(c.t, map[string]any{
		"listen": address(first), "seed": 1, "workers": workers, "instances": rows,
		"tasks": map[string]any{"run-time": exact, "peak": exact},
	}))
	c.processes = append(c.processes, start(c.t, c.dir, "standin", "standin", "--settings", settings))
	within(c.t, patience, "stand-in serves", func() bool {
		return call(client, http.MethodGet, c.platform+"/health", nil, nil).status == http.StatusOK
	})
}

const (
	endpointsPerClass = 2
	// openClass is open to all, so its callers need keys; quoteClass needs none; batchClass is for jobs.
	openClass  = "simulation"
	quoteClass = "quote"
	batchClass = "scoring"
)

func (c *cluster) startEndpoints(platform int) {
	c.t.Helper()
	classes := []string{quoteClass, openClass}
	first := freePorts(c.t, 1+len(centres)*len(classes)*endpointsPerClass)
	c.endpoints = "http://" + address(first)
	groups := make([]any, 0, len(centres)*len(classes))
	port := first + 1
	for _, centre := range centres {
		for _, class := range classes {
			groups = append(groups, map[string]any{
				"prefix": class + "-" + centre + "-", "class": class, "count": endpointsPerClass, "data-centre": centre,
				"first-port": port,
			})
			port += endpointsPerClass
		}
	}
	settings := c.write("endpt.json", encode(c.t, map[string]any{
		"listen": address(first), "platform": address(platform), "seed": 1, "groups": groups,
	}))
	c.processes = append(c.processes, start(c.t, c.dir, "endpt", "endpt", "--settings", settings))
}

func entryName(i int) string { return fmt.Sprintf("entry-%d", i) }

// newEntry writes the settings of an entry instance; instances take turns over the data centres.
func (c *cluster) newEntry(i int, l layout, port int) *entry {
	c.t.Helper()
	name, centre := entryName(i), centres[i%len(centres)]
	settings := map[string]any{
		"instance": name, "data-centre": centre, "region": "west", "caller-address": address(port),
		"admin-address": address(port + 1), "peer-address": address(port + 2), "platform": c.platform,
		"operator-key": hash(operatorKey),
	}
	if l.lease != nil {
		settings["lease"] = l.lease
	}
	return &entry{
		centre: centre, settings: c.write(name+".json", encode(c.t, settings)),
		process: &process{name: name}, caller: "http://" + address(port), admin: "http://" + address(port+1),
	}
}

// run starts the instance, or a new incarnation of it.
func (e *entry) run(c *cluster) {
	c.t.Helper()
	e.process = start(c.t, c.dir, e.name, "entry", "run", "--settings", e.settings)
	c.processes = append(c.processes, e.process)
}

// in returns the running instances of a data centre.
func (c *cluster) in(centre string) []*entry {
	return slices.DeleteFunc(slices.Clone(c.entries), func(e *entry) bool { return e.centre != centre || !e.alive() })
}

// live returns the running instances.
func (c *cluster) live() []*entry {
	return slices.DeleteFunc(slices.Clone(c.entries), func(e *entry) bool { return !e.alive() })
}

// all reports whether something holds for every running instance.
func (c *cluster) all(holds func(*entry) bool) bool {
	return !slices.ContainsFunc(c.live(), func(e *entry) bool { return !holds(e) })
}

func (c *cluster) awaitMembers(count int) {
	c.t.Helper()
	within(c.t, patience, fmt.Sprintf("all instances know %d members", count), func() bool {
		return c.all(func(e *entry) bool { return len(c.status(e).Members) == count && e.ready() })
	})
}

func (e *entry) ready() bool {
	return call(client, http.MethodGet, e.caller+"/health", nil, nil).status == http.StatusOK
}

// ctl runs the operators' command line against an instance and returns its exit code and output.
func (c *cluster) ctl(e *entry, args ...string) (int, string) {
	return c.ctlWith(c.keyFile, e, args...)
}

func (c *cluster) ctlWith(keyFile string, e *entry, args ...string) (int, string) {
	c.t.Helper()
	command := exec.Command(filepath.Join(programs, "ctl"), append(args, "--server", e.admin, "--key-file", keyFile)...)
	out, err := command.CombinedOutput()
	var exit *exec.ExitError
	if err != nil && !errors.As(err, &exit) {
		c.t.Error(err)
	}
	return command.ProcessState.ExitCode(), string(bytes.TrimSpace(out))
}

// mustCtl runs the operators' command line and fails the test unless it succeeds.
func (c *cluster) mustCtl(e *entry, args ...string) {
	c.t.Helper()
	code, out := c.ctl(e, args...)
	assert.Equal(c.t, code, 0, "%v: %s", args, out)
}

// status is the part of an instance's status that tests read.
type status struct {
	Connectivity string            `json:"connectivity"`
	Declarations int64             `json:"declarations"`
	Members      []json.RawMessage `json:"members"`
	Teams        []json.RawMessage `json:"teams"`
	Violations   map[string]int    `json:"violations"`
}

var operator = map[string]string{"Operator-Key": operatorKey}

func (c *cluster) status(e *entry) status {
	var out status
	fetch(e.admin+"/v1/status", operator, &out)
	return out
}
