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
	// researchKey and pricingKey are the initial keys of the teams.
	researchKey = "research-key"
	pricingKey  = "pricing-key"
	// harbourKey is the key of the organisation that must approve changes to the terms of team pricing.
	harbourKey = "harbour-approval"

	workerCores = 8000
	taskCores   = 2000
)

// maxProcesses is the maximum number of processes of all tests that run at the same time.
const maxProcesses = 40

// processSlots limits the number of processes. A cluster holds the mutex until it has all its slots, so that two clusters can't
// each hold a part of the slots and wait for the other's.
var processSlots = struct {
	sync.Mutex
	free chan struct{}
}{free: make(chan struct{}, maxProcesses)}

// acquireProcessSlots waits until count processes may start. The slots are released at the end of the test.
func acquireProcessSlots(t *testing.T, count int) {
	processSlots.Lock()
	defer processSlots.Unlock()
	for range count {
		processSlots.free <- struct{}{}
	}
	t.Cleanup(func() {
		for range count {
			<-processSlots.free
		}
	})
}

// clusterConfig holds the size of a cluster per data centre and its settings.
type clusterConfig struct {
	entries, workers int
	// lease overrides the lease settings of all entry instances.
	lease map[string]any
}

// entry is an entry instance and its process.
type entry struct {
	*process
	dataCentre string
	settings   string
	// caller and admin are the URLs of the clients' API and of the operator API.
	caller, admin string
}

// cluster is the whole system in three data centres, with the stand-ins for the platform, the workers and the endpoints.
type cluster struct {
	t         *testing.T
	dir       string
	platform  string
	endpoints string
	entries   []*entry
	keyFile   string
	processes []*process
}

var dataCentres = []string{"dc1", "dc2", "dc3"}

func hashKey(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// newCluster starts the system, waits until every instance knows all others, and applies the declarations.
func newCluster(t *testing.T, cfg clusterConfig) *cluster {
	t.Helper()
	const standins = 2
	count := len(dataCentres) * cfg.entries
	acquireProcessSlots(t, count+standins)
	c := &cluster{t: t, dir: workDir(t)}
	c.keyFile = c.write("operator.key", []byte(operatorKey))
	first := freePorts(t, 1+3*count)
	c.platform = "http://" + address(first)
	c.startStandin(first, cfg)
	c.startEndpoints(first)
	for i := range count {
		c.entries = append(c.entries, c.newEntry(i, cfg, first+1+3*i))
	}
	for _, e := range c.entries {
		e.run(c)
	}
	// Cleanups run last in, first out, so this one runs before the processes are killed.
	t.Cleanup(c.reportFailure)
	c.awaitMembers(count)
	code, out := c.ctl(c.entries[0], "apply", "--author", "test", c.writeDeclarations("declarations", declarations(0)))
	assert.Equal(t, code, 0, out)
	within(t, waitLimit, "declarations on all instances", func() bool {
		return c.allLive(func(e *entry) bool { return len(c.status(e).Teams) > 0 })
	})
	return c
}

// workDir returns a temporary folder or, if FAULTS_DIR is set, a folder below it that is kept after the test.
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

// reportFailure logs the warnings and errors of all processes if the test failed, and saves their state dumps beside their
// log files.
func (c *cluster) reportFailure() {
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
		c.t.Logf("%s, running: %t\n%s", p.name, p.alive(), p.warnings(lines))
	}
}

func (c *cluster) write(name string, data []byte) string {
	c.t.Helper()
	path := filepath.Join(c.dir, name)
	assert.NilError(c.t, os.MkdirAll(filepath.Dir(path), 0o700))
	assert.NilError(c.t, os.WriteFile(path, data, 0o600))
	return path
}

func (c *cluster) startStandin(first int, cfg clusterConfig) {
	c.t.Helper()
	workers, instances := make([]any, 0, len(dataCentres)), make([]any, 0, len(dataCentres)*cfg.entries)
	for _, dc := range dataCentres {
		workers = append(workers, map[string]any{
			"prefix": dc + "-w", "count": cfg.workers, "data-centre": dc,
			"capacity": map[string]any{"milli-cores": workerCores, "memory-mib": 64 << 10},
		})
	}
	for i := range len(dataCentres) * cfg.entries {
		instances = append(instances, map[string]any{
			"id": entryName(i), "role": "entry", "data-centre": dataCentres[i%len(dataCentres)],
			"address": address(first + 3 + 3*i), "presence": "live",
		})
	}
	exact := map[string]any{"min": 1, "max": 1}
	settings := c.write("standin.json", encode(c.t, map[string]any{
		"listen": address(first), "seed": 1, "workers": workers, "instances": instances,
		"tasks": map[string]any{"run-time": exact, "peak": exact},
	}))
	c.processes = append(c.processes, start(c.t, c.dir, "standin", "standin", "--settings", settings))
	within(c.t, waitLimit, "stand-in serves", func() bool {
		return call(client, http.MethodGet, c.platform+"/health", nil, nil).status == http.StatusOK
	})
}

const (
	endpointsPerClass = 2
	// openClass is open, so its clients need keys. Clients of quoteClass need none. batchClass is the class of jobs.
	openClass  = "simulation"
	quoteClass = "quote"
	batchClass = "scoring"
)

func (c *cluster) startEndpoints(platform int) {
	c.t.Helper()
	classes := []string{quoteClass, openClass}
	first := freePorts(c.t, 1+len(dataCentres)*len(classes)*endpointsPerClass)
	c.endpoints = "http://" + address(first)
	groups := make([]any, 0, len(dataCentres)*len(classes))
	port := first + 1
	for _, dc := range dataCentres {
		for _, class := range classes {
			groups = append(groups, map[string]any{
				"prefix": class + "-" + dc + "-", "class": class, "count": endpointsPerClass, "data-centre": dc,
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

// newEntry writes the settings of an entry instance; the instances are assigned to the data centres in turn.
func (c *cluster) newEntry(i int, cfg clusterConfig, port int) *entry {
	c.t.Helper()
	name, dc := entryName(i), dataCentres[i%len(dataCentres)]
	settings := map[string]any{
		"instance": name, "data-centre": dc, "region": "west", "caller-address": address(port),
		"admin-address": address(port + 1), "peer-address": address(port + 2), "platform": c.platform,
		"operator-key": hashKey(operatorKey),
	}
	if cfg.lease != nil {
		settings["lease"] = cfg.lease
	}
	return &entry{
		dataCentre: dc, settings: c.write(name+".json", encode(c.t, settings)),
		process: &process{name: name}, caller: "http://" + address(port), admin: "http://" + address(port+1),
	}
}

// run starts the instance, or restarts it as a new incarnation.
func (e *entry) run(c *cluster) {
	c.t.Helper()
	e.process = start(c.t, c.dir, e.name, "entry", "run", "--settings", e.settings)
	c.processes = append(c.processes, e.process)
}

// liveIn returns the running instances of a data centre.
func (c *cluster) liveIn(dc string) []*entry {
	return slices.DeleteFunc(slices.Clone(c.entries), func(e *entry) bool { return e.dataCentre != dc || !e.alive() })
}

// live returns the running instances.
func (c *cluster) live() []*entry {
	return slices.DeleteFunc(slices.Clone(c.entries), func(e *entry) bool { return !e.alive() })
}

// allLive reports whether a condition holds for every running instance.
func (c *cluster) allLive(holds func(*entry) bool) bool {
	return !slices.ContainsFunc(c.live(), func(e *entry) bool { return !holds(e) })
}

func (c *cluster) awaitMembers(count int) {
	c.t.Helper()
	within(c.t, waitLimit, fmt.Sprintf("all instances know %d members", count), func() bool {
		return c.allLive(func(e *entry) bool { return len(c.status(e).Members) == count && e.ready() })
	})
}

func (e *entry) ready() bool {
	return call(client, http.MethodGet, e.caller+"/health", nil, nil).status == http.StatusOK
}

// ctl runs aw-ctl against an instance and returns its exit code and output.
func (c *cluster) ctl(e *entry, args ...string) (int, string) {
	return c.ctlWith(c.keyFile, e, args...)
}

func (c *cluster) ctlWith(keyFile string, e *entry, args ...string) (int, string) {
	c.t.Helper()
	command := exec.Command(filepath.Join(programDir, "ctl"), append(args, "--server", e.admin, "--key-file", keyFile)...)
	out, err := command.CombinedOutput()
	var exit *exec.ExitError
	if err != nil && !errors.As(err, &exit) {
		c.t.Error(err)
	}
	return command.ProcessState.ExitCode(), string(bytes.TrimSpace(out))
}

// mustCtl runs aw-ctl and fails the test unless it succeeds.
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
