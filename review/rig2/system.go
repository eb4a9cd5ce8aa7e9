package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"time"

	"arbutuswing.example/platform/fakes"
)

const (
	service  = "desk"
	hostName = "desk.example"
	prefix   = "/work/"
	key      = "key-of-a-tenant"
	nodes    = 3
)

var zones = []string{"z1", "z2", "z3"}

// node is a process of aw-node.
type node struct {
	name, client, readiness string
	settings, log           string
	command                 *exec.Cmd
	ended                   chan struct{}
}

// system is the store, the nodes and the executors.
type system struct {
	rec    *recorder
	dir    string
	store  *fakes.Store
	fleet  *fleet
	nodes  []*node
	client *http.Client

	// mu guards the start and the end of processes; closed is set once no more may start.
	mu     sync.Mutex
	closed bool
}

func newSystem(rec *recorder) (*system, error) {
	dir, err := os.MkdirTemp("", "review-case-")
	if err != nil {
		return nil, fail("%v", err)
	}
	s := &system{rec: rec, dir: dir, client: &http.Client{Timeout: 3 * time.Second}}
	if s.store, err = fakes.NewStore(); err != nil {
		return nil, fail("%v", err)
	}
	return s, nil
}

// start starts executors and nodes under a configuration and waits until the nodes are ready.
func (s *system) start(workers int, config string) error {
	var err error
	s.store.PutConfig([]byte(config))
	if s.fleet, err = newFleet(s.rec, s.store.Put, zones, workers); err != nil {
		return err
	}
	for i := range nodes {
		n, err := s.newNode(i)
		if err != nil {
			return err
		}
		s.nodes = append(s.nodes, n)
		if err := s.launch(n); err != nil {
			return err
		}
	}
	for deadline := time.Now().Add(20 * time.Second); ; time.Sleep(100 * time.Millisecond) {
		ready := s.owner() != nil
		for _, n := range s.nodes {
			ready = ready && s.ready(n)
		}
		if ready {
			break
		}
		if time.Now().After(deadline) {
			return fail("the nodes weren't ready within 20 s")
		}
	}
	// The executors have to have answered the owner.
	time.Sleep(2 * time.Second)
	s.rec.note("all nodes are ready, owner: %s", s.owner().name)
	return nil
}

func (s *system) ready(n *node) bool {
	answer, err := s.client.Get("http://" + n.readiness + "/v1/readiness")
	if err != nil {
		return false
	}
	_ = answer.Body.Close()
	return answer.StatusCode == http.StatusOK
}

// freePort returns a free port of a loopback address of this process, which other cases that run at the same time don't take.
func freePort() (string, error) {
	ip := fmt.Sprintf("127.%d.%d.%d", 64+os.Getpid()%128, os.Getpid()/128%256, 1+os.Getpid()/32768%250)
	l, err := net.Listen("tcp4", ip+":0")
	if err != nil {
		return "", err
	}
	defer l.Close()
	return l.Addr().String(), nil
}

var placeholder = regexp.MustCompile(`\{\{[^}]*\}\}`)

// newNode writes the settings of a node, from the template that the deploy file names.
func (s *system) newNode(i int) (*node, error) {
	template, err := os.ReadFile("deploy/settings.json")
	if err != nil {
		return nil, fail("%v", err)
	}
	var ports [4]string
	for k := range ports {
		if ports[k], err = freePort(); err != nil {
			return nil, fail("%v", err)
		}
	}
	n := &node{name: fmt.Sprintf("edge-%d", i+1), client: ports[0], readiness: ports[1]}
	values := map[string]string{
		"{{node-name|json}}": quote(n.name), "{{zone|json}}": quote(zones[i%len(zones)]), "{{listen.http|json}}": quote(ports[0]),
		"{{listen.readiness|json}}": quote(ports[1]), "{{platform.address|json}}": quote(s.store.Address()), "{{hint}}": "",
		"{{limits.cpu-share|json}}": "0.4", "{{limits.link-mbps|json}}": "1000.0", "{{limits.memory-mb|json}}": "284",
		"{{bounds.hold-max-ms}}": "10000", "{{bounds.kill-grace-ms}}": "400", "{{bounds.restore-ms}}": "250",
		"{{bounds.gang-timeout-ms}}": "3000", "{{bounds.status_s}}": "120", "{{bounds.grace-s}}": "6",
	}
	text := strings.ReplaceAll(string(template), "{{ip}}:{{internal-ports.0}}", ports[2])
	// All nodes are on one machine, so that each needs a metrics port of its own.
	text = strings.ReplaceAll(text, "{{ip}}:9187", ports[3])
	missing := ""
	text = placeholder.ReplaceAllStringFunc(text, func(p string) string {
		value, ok := values[p]
		if !ok {
			missing = p
		}
		return value
	})
	if missing != "" {
		return nil, fail("the template has an unknown field %s", missing)
	}
	n.settings, n.log = filepath.Join(s.dir, n.name+".json"), filepath.Join(s.dir, n.name+".log")
	if err := os.WriteFile(n.settings, []byte(text), 0o600); err != nil {
		return nil, fail("%v", err)
	}
	return n, nil
}

func quote(text string) string {
	data, _ := json.Marshal(text)
	return string(data)
}

// launch starts a node's process with the command of the deploy file.
func (s *system) launch(n *node) error {
	log, err := os.OpenFile(n.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return fail("%v", err)
	}
	defer log.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return fail("stopped")
	}
	n.command = exec.Command("target/aw-node", "run", "--settings", n.settings)
	n.command.Stdout, n.command.Stderr = log, log
	if err := n.command.Start(); err != nil {
		return fail("starting a node: %v", err)
	}
	command, ended := n.command, make(chan struct{})
	n.ended = ended
	go func() {
		_ = command.Wait()
		close(ended)
	}()
	s.rec.note("%s: process %d starts, clients at %s", n.name, n.command.Process.Pid, n.client)
	return nil
}

// kill sends SIGKILL to a node's process and waits for its end.
func (s *system) kill(n *node) {
	s.rec.note("%s: SIGKILL", n.name)
	_ = n.command.Process.Kill()
	<-n.ended
}

// owner returns the node that the store's record names as the one that serves, or nil.
func (s *system) owner() *node {
	name, _, _ := strings.Cut(string(s.store.Newest("owner", "serving")), "|")
	for _, n := range s.nodes {
		if n.name == name {
			return n
		}
	}
	return nil
}

// endNodes ends the processes of all nodes.
func (s *system) endNodes() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	for _, n := range s.nodes {
		if n.command != nil && n.command.Process != nil {
			_ = n.command.Process.Kill()
			<-n.ended
		}
	}
}

func (s *system) close() {
	s.endNodes()
	if s.fleet != nil {
		s.fleet.close()
	}
	s.store.Close()
	if os.Getenv("KEEP_LOGS") != "" {
		fmt.Println("logs in", s.dir)
		return
	}
	_ = os.RemoveAll(s.dir)
}

// step is a step of a submission.
type step struct {
	Count       int   `json:"count"`
	CPU         int64 `json:"cpu"`
	Memory      int64 `json:"mem-mb"`
	Estimate    int64 `json:"estimate-ms"`
	LongRunning bool  `json:"long-running,omitempty"`
	Utilization bool  `json:"utilization,omitempty"`
	MaxPerHost  int   `json:"max-per-server,omitempty"`
}

// submit submits a submission of one step at a node, again until it is accepted.
func (s *system) submit(n *node, id string, st step) error {
	s.fleet.mu.Lock()
	s.fleet.sizes[id] = size{st.CPU, st.Memory}
	if st.Utilization {
		// The page: its cpu isn't counted against an executor's capacity.
		s.fleet.sizes[id] = size{0, st.Memory}
	}
	s.fleet.mu.Unlock()
	body, _ := json.Marshal(map[string]any{"spec": "spec of " + id, "phases": []step{st}})
	for deadline := time.Now().Add(10 * time.Second); ; time.Sleep(300 * time.Millisecond) {
		status, _, err := s.call(http.MethodPost, n, id, body)
		s.rec.note("POST %s to %s %s: %d %v", id, n.name, body, status, err)
		if status == http.StatusOK {
			return nil
		}
		if time.Now().After(deadline) {
			return fail("submission %s wasn't accepted", id)
		}
	}
}

// submitRecurring submits a submission whose steps run the given number of times (0: once, at once), at the nodes in turn until one
// accepts it or ten have not.
func (s *system) submitRecurring(at int, id string, steps []step, times int, first time.Time, interval time.Duration) bool {
	fields := map[string]any{"spec": "spec of " + id, "phases": steps}
	if times > 0 {
		fields["times"], fields["start-time-ms"], fields["interval-ms"] = times, first.UnixMilli(), interval.Milliseconds()
	}
	body, _ := json.Marshal(fields)
	for try := range 10 {
		n := s.nodes[(at+try)%len(s.nodes)]
		status, _, err := s.call(http.MethodPost, n, id, body)
		s.rec.note("POST %s to %s %s: %d %v", id, n.name, body, status, err)
		if status == http.StatusOK {
			return true
		}
		time.Sleep(300 * time.Millisecond)
	}
	return false
}

// state asks a node for a submission's state.
func (s *system) state(n *node, id string) string {
	status, body, err := s.call(http.MethodGet, n, id, nil)
	s.rec.note("GET %s from %s: %d %s %v", id, n.name, status, bytes.TrimSpace(body), err)
	return string(body)
}

func (s *system) call(method string, n *node, id string, body []byte) (int, []byte, error) {
	request, err := http.NewRequest(method, "http://"+n.client+prefix+id, bytes.NewReader(body))
	if err != nil {
		return 0, nil, err
	}
	request.Host = hostName
	request.Header.Set("Authorization", "Bearer "+key)
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("Request-Deadline", "3000")
	answer, err := s.client.Do(request)
	if err != nil {
		return 0, nil, err
	}
	defer answer.Body.Close()
	data, err := io.ReadAll(answer.Body)
	return answer.StatusCode, data, err
}

// config is an operators' configuration with one queue without placement advice and one tenant without an upper limit.
const config = `{"version":3,"routes":[{"name":"r-1","host":"` + hostName + `","prefix":"` + prefix + `","service":"` + service + `",
	"priority":1,"max-attempts":4,"stretch":3,"target-latency-ms":1000}],"services":[{"name":"` + service + `"}],
	"limits":{"max-body-bytes":262144,"max-header-bytes":16384},
	"tenants":[{"name":"t-1","keys":["` + key + `"],"weight":100,"cap":{"cpu":0,"mem-mb":0,"gpu":0}}]}`
