package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"time"
)

// node is one process of the system, started with the command of the deploy file.
type node struct {
	name, ip, zone   string
	client, ready    string
	settings         string
	cmd              *exec.Cmd
	inRotation       bool
	exited           chan struct{}
	stoppedOnPurpose bool
}

// system is the set of nodes, with the part of the platform that watches their readiness.
type system struct {
	mu    sync.Mutex
	rec   *recorder
	root  string
	dir   string
	store *store
	nodes []*node
	fills map[string]string
	// ends counts processes that ended by themselves.
	ends int
	done bool
}

// fill replaces the placeholders of the deploy file's template as DEPLOY.md says, for the few forms that it uses.
func fill(template string, values map[string]string, numbers map[string]string) string {
	for k, v := range values {
		quoted, _ := json.Marshal(v)
		template = strings.ReplaceAll(template, "{{"+k+"|json}}", string(quoted))
		template = strings.ReplaceAll(template, "{{"+k+"}}", v)
	}
	for k, v := range numbers {
		template = strings.ReplaceAll(template, "{{"+k+"|json}}", v)
		template = strings.ReplaceAll(template, "{{"+k+"}}", v)
	}
	return template
}

func freePort(ip string) (int, error) {
	l, err := net.Listen("tcp4", ip+":0")
	if err != nil {
		return 0, err
	}
	defer l.Close()
	return l.Addr().(*net.TCPAddr).Port, nil
}

// bounds are the figures of the settings of a small site, as SYSTEM.md gives them for kilan-sched.
var bounds = map[string]string{
	"limits.cpu-share": "0.4", "limits.link-mbps": "1000.0", "limits.memory-mb": "284", "bounds.hold-max-ms": "10000",
	"bounds.kill-grace-ms": "400", "bounds.restore-ms": "250", "bounds.gang-timeout-ms": "3000", "bounds.status_s": "120",
	"bounds.grace-s": "6",
}

func newSystem(rec *recorder, st *store, n int, changes map[string]string) (*system, error) {
	root, err := os.Getwd()
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "aw-review-")
	if err != nil {
		return nil, err
	}
	s := &system{rec: rec, root: root, dir: dir, store: st}
	template, err := os.ReadFile(filepath.Join(root, "deploy/settings.json"))
	if err != nil {
		return nil, err
	}
	numbers := map[string]string{}
	for k, v := range bounds {
		numbers[k] = v
	}
	for k, v := range changes {
		numbers[k] = v
	}
	zones := []string{"aji-gidc", "shapar", "metoda"}
	second, third := 16+rand.Intn(200), rand.Intn(250)
	for i := range n {
		nd := &node{name: fmt.Sprintf("edge-%d", i+1), zone: zones[i%len(zones)], ip: fmt.Sprintf("127.%d.%d.%d", second, third, i+10)}
		var ports [3]int
		for k := range ports {
			if ports[k], err = freePort(nd.ip); err != nil {
				return nil, err
			}
		}
		nd.client, nd.ready = fmt.Sprintf("%s:%d", nd.ip, ports[0]), fmt.Sprintf("%s:%d", nd.ip, ports[1])
		text := fill(string(template), map[string]string{
			"node-name": nd.name, "zone": nd.zone, "listen.http": nd.client, "listen.readiness": nd.ready, "ip": nd.ip,
			"platform.address": st.addr, "hint": "",
		}, numbers)
		text = strings.ReplaceAll(text, "{{internal-ports.0}}", fmt.Sprint(ports[2]))
		if strings.Contains(text, "{{") {
			return nil, fmt.Errorf("placeholder left in the settings: %s", text)
		}
		nd.settings = filepath.Join(dir, nd.name+".json")
		if err := os.WriteFile(nd.settings, []byte(text), 0o600); err != nil {
			return nil, err
		}
		s.nodes = append(s.nodes, nd)
	}
	rec.logf("settings of %s: %s", s.nodes[0].name, strings.Join(strings.Fields(readFile(s.nodes[0].settings)), " "))
	for _, nd := range s.nodes {
		if err := s.start(nd); err != nil {
			s.stop()
			return nil, err
		}
	}
	go s.watchReadiness()
	return s, nil
}

func readFile(path string) string {
	data, _ := os.ReadFile(path)
	return string(data)
}

func (s *system) start(nd *node) error {
	log, err := os.OpenFile(filepath.Join(s.dir, nd.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command(filepath.Join(s.root, "target/aw-node"), "run", "--settings", nd.settings)
	cmd.Dir, cmd.Stdout, cmd.Stderr = s.root, log, log
	if err := cmd.Start(); err != nil {
		return err
	}
	s.mu.Lock()
	nd.cmd, nd.exited, nd.stoppedOnPurpose = cmd, make(chan struct{}), false
	exited := nd.exited
	s.mu.Unlock()
	s.rec.logf("%s started, pid %d", nd.name, cmd.Process.Pid)
	go func() {
		err := cmd.Wait()
		_ = log.Close()
		s.mu.Lock()
		byItself := !nd.stoppedOnPurpose && !s.done && nd.cmd == cmd
		if byItself {
			s.ends++
		}
		s.mu.Unlock()
		close(exited)
		s.rec.logf("%s pid %d ended: %v (by itself: %v)", nd.name, cmd.Process.Pid, err, byItself)
	}()
	return nil
}

// kill ends a node with SIGKILL and starts it again after the delay, as the platform does.
func (s *system) kill(nd *node, restart time.Duration) {
	s.mu.Lock()
	nd.stoppedOnPurpose = true
	cmd, exited := nd.cmd, nd.exited
	s.mu.Unlock()
	s.rec.logf("SIGKILL to %s", nd.name)
	_ = cmd.Process.Kill()
	<-exited
	if restart > 0 {
		time.AfterFunc(restart, func() {
			s.mu.Lock()
			done := s.done
			s.mu.Unlock()
			if !done {
				_ = s.start(nd)
			}
		})
	}
}

func (s *system) stop() {
	s.mu.Lock()
	s.done = true
	s.mu.Unlock()
	for _, nd := range s.nodes {
		if nd.cmd != nil && nd.cmd.Process != nil {
			_ = nd.cmd.Process.Kill()
		}
	}
	for _, nd := range s.nodes {
		if nd.exited != nil {
			<-nd.exited
		}
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(s.dir)
	} else {
		fmt.Println("logs in", s.dir)
	}
}

func (s *system) watchReadiness() {
	client := &http.Client{Timeout: time.Second}
	misses := map[*node]int{}
	for {
		for _, nd := range s.nodes {
			resp, err := client.Get("http://" + nd.ready + "/v1/readiness")
			ok := err == nil && resp.StatusCode == http.StatusOK
			if err == nil {
				_ = resp.Body.Close()
			}
			s.mu.Lock()
			if s.done {
				s.mu.Unlock()
				return
			}
			if ok {
				misses[nd] = 0
				nd.inRotation = true
			} else if misses[nd]++; misses[nd] >= 2 {
				nd.inRotation = false
			}
			s.mu.Unlock()
		}
		time.Sleep(500 * time.Millisecond)
	}
}

// pick returns the n-th node in rotation, or any node if none is.
func (s *system) pick(n int) *node {
	s.mu.Lock()
	defer s.mu.Unlock()
	var list []*node
	for _, nd := range s.nodes {
		if nd.inRotation {
			list = append(list, nd)
		}
	}
	if len(list) == 0 {
		list = s.nodes
	}
	return list[n%len(list)]
}

// waitReady waits until all nodes are in rotation.
func (s *system) waitReady(limit time.Duration) error {
	for begun := time.Now(); time.Since(begun) < limit; time.Sleep(50 * time.Millisecond) {
		s.mu.Lock()
		n := 0
		for _, nd := range s.nodes {
			if nd.inRotation {
				n++
			}
		}
		s.mu.Unlock()
		if n == len(s.nodes) {
			return nil
		}
	}
	return fmt.Errorf("nodes aren't ready after %v", limit)
}

// owner returns the node that last recorded in the store that it serves as the owner. The platform sees that write; it is
// the machine that `leader` names.
func (s *system) owner() *node {
	s.store.mu.Lock()
	p := s.store.log("keyed.owner/0")
	at, ok := p.newest["serving"]
	value := ""
	if ok {
		value = string(p.records[at][1+len("serving"):])
	}
	s.store.mu.Unlock()
	for _, nd := range s.nodes {
		if strings.HasPrefix(value, nd.name+"|") {
			return nd
		}
	}
	return nil
}

func (s *system) waitOwnerOtherThan(old string, limit time.Duration) (*node, string, error) {
	for begun := time.Now(); time.Since(begun) < limit; time.Sleep(20 * time.Millisecond) {
		s.store.mu.Lock()
		p := s.store.log("keyed.owner/0")
		at, ok := p.newest["serving"]
		value := ""
		if ok {
			value = string(p.records[at][1+len("serving"):])
		}
		s.store.mu.Unlock()
		if value != "" && value != old {
			return s.owner(), value, nil
		}
	}
	return nil, "", fmt.Errorf("no owner after %v", limit)
}

// consumer sends calls like a consumer of the pages: it asks again, at another node, after no answer, 502 or 504.
type consumer struct {
	s    *system
	host string
	key  string
	http *http.Client
}

func newConsumer(s *system, host, key string) *consumer {
	return &consumer{s: s, host: host, key: key, http: &http.Client{
		Timeout: 3 * time.Second, Transport: &http.Transport{DisableKeepAlives: true},
	}}
}

func (c *consumer) call(method, path string, body any, attempt int) (int, []byte) {
	var data []byte
	if body != nil {
		data, _ = json.Marshal(body)
	}
	nd := c.s.pick(attempt + rand.Intn(8))
	req, err := http.NewRequest(method, "http://"+nd.client+path, bytes.NewReader(data))
	if err != nil {
		return 0, nil
	}
	req.Host = c.host
	req.Header.Set("Authorization", "Bearer "+c.key)
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Request-Deadline", "3000")
	resp, err := c.http.Do(req)
	if err != nil {
		c.s.rec.logf("consumer  %s %s at %s: no answer: %v", method, path, nd.name, err)
		return 0, nil
	}
	defer resp.Body.Close()
	out, _ := io.ReadAll(resp.Body)
	c.s.rec.logf("consumer  %s %s at %s (%d bytes): %d %s", method, path, nd.name, len(data), resp.StatusCode, bytes.TrimSpace(out))
	return resp.StatusCode, out
}

// submit hands a submission in, with up to four retries, and reports whether it was accepted.
func (c *consumer) submit(prefix, id string, body any) bool {
	for attempt := range 5 {
		status, _ := c.call(http.MethodPost, prefix+id, body, attempt)
		if status >= 200 && status < 300 {
			return true
		}
		time.Sleep(700 * time.Millisecond)
	}
	return false
}

// state asks for a submission's state, up to five times.
func (c *consumer) state(prefix, id string) string {
	status := 0
	for attempt := range 5 {
		var data []byte
		if status, data = c.call(http.MethodGet, prefix+id, nil, attempt); status == http.StatusOK {
			var body struct {
				State string `json:"state"`
			}
			_ = json.Unmarshal(data, &body)
			return body.State
		}
		if status == http.StatusGone || status == http.StatusNotFound {
			break
		}
		time.Sleep(300 * time.Millisecond)
	}
	return fmt.Sprint(status)
}

func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// phase is a step of a submission.
type phase struct {
	Count       int    `json:"count"`
	CPU         int64  `json:"cpu"`
	Mem         int64  `json:"mem-mb"`
	Estimate    int64  `json:"estimate-ms,omitempty"`
	After       []int  `json:"after,omitempty"`
	LongRunning bool   `json:"long-running,omitempty"`
	Requires    string `json:"requires,omitempty"`
	Saves       bool   `json:"saves-progress,omitempty"`
}

type submission struct {
	Spec   string  `json:"spec"`
	Phases []phase `json:"phases"`
}

type route struct {
	Name     string  `json:"name"`
	Host     string  `json:"host"`
	Prefix   string  `json:"prefix"`
	Service  string  `json:"service"`
	Priority int     `json:"priority"`
	Attempts int     `json:"max-attempts"`
	Stretch  float64 `json:"stretch"`
	Aim      float64 `json:"target-latency-ms"`
}

// config returns the operator's config with the given routes and a tenant that has no limits.
func config(version int, routes ...route) map[string]any {
	return map[string]any{
		"version": version, "routes": routes,
		"services": []map[string]any{{"name": service, "enforces-capacity": false}},
		"limits":   map[string]any{"max-header-bytes": 16384, "max-body-bytes": 262144},
		"tenants": []map[string]any{
			{"name": "t-one", "keys": []string{"key-one"}, "weight": 100, "cap": map[string]int{"cpu": 0, "mem-mb": 0, "gpu": 0}},
			{"name": "t-two", "keys": []string{"key-two"}, "weight": 100, "cap": map[string]int{"cpu": 0, "mem-mb": 0, "gpu": 0}},
		},
	}
}
