package soak

import (
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"arbutuswing.example/platform/fakes"
)

// defaultRestartDelay is the pause before a process that has ended is restarted.
const defaultRestartDelay = 150 * time.Millisecond

// node is an aw-node process that is restarted whenever it ends.
type node struct {
	name     string
	address  string
	settings string
	logPath  string
	store    *proxy
	// restartDelay is the pause before a process that has ended is restarted.
	restartDelay time.Duration

	mu       sync.Mutex
	cmd      *exec.Cmd
	stayDown bool
	closing  bool
	// starved is closed when the node is no longer to be starved; it is nil while it isn't.
	starved chan struct{}
	// generation counts the processes, and terminated is when one of them was last told to end.
	generation int
	terminated time.Time
	// signalled is set once the process has been told to end; ends holds how processes ended that had not been told to.
	signalled bool
	ends      []string
	done      chan struct{}
}

// nodeConfig configures a node.
type nodeConfig struct {
	dir        string
	index      int
	dataCentre string
	// retention is how long the node answers calls about an ended job, at least.
	retention time.Duration
	// grace is the time between the request to stop and the kill.
	grace time.Duration
	// restartDelay is the pause before the process is restarted after it has ended.
	restartDelay time.Duration
	// metricsAddress is the IP:port of the metrics, or empty.
	metricsAddress string
	store          *fakes.Store
	fleet          *fakes.Fleet
}

// newNode starts a node, which reaches the store through a proxy of its own.
func newNode(t *testing.T, cfg nodeConfig) *node {
	t.Helper()
	link, err := newProxy(cfg.store.Address())
	assert.NilError(t, err)
	ports := freePorts(t, 3)
	n := &node{
		name: fmt.Sprintf("node-%d", cfg.index), address: ports[0], store: link, done: make(chan struct{}), restartDelay: cfg.restartDelay,
		settings: filepath.Join(cfg.dir, fmt.Sprintf("node-%d.json", cfg.index)),
		logPath:  filepath.Join(cfg.dir, fmt.Sprintf("node-%d.log", cfg.index)),
	}
	text := fmt.Sprintf(`{"node":%q,"data-centre":%q,"client-address":%q,"readiness-address":%q,"peer-address":%q,
		"store-address":%q,"advice-address":%q,"worker-lease-max":"10s","kill-grace":"300ms","gang-timeout":"3s","stop-grace":%q,"retention":%q,
		"metrics-address":%q}`,
		n.name, cfg.dataCentre, ports[0], ports[1], ports[2], link.address(), cfg.fleet.AdviceAddress(), cfg.grace, cfg.retention, cfg.metricsAddress)
	assert.NilError(t, os.WriteFile(n.settings, []byte(text), 0o600))
	go n.run()
	t.Cleanup(n.close)
	return n
}

// minPort and maxPort bound the ports of nodes. Systems pick the ports of outgoing connections from a range above, where another
// process may take a port before the node listens on it.
const (
	minPort = 10_000
	maxPort = 32_000
)

// nodeIP returns the loopback address of the nodes of this process. Other soaks have others, so that none takes the port of a
// node that is down for the moment.
func nodeIP() string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 1+pid>>14&0x7f, 1+pid>>7&0x7f, 1+pid&0x7f)
}

var (
	portsMu sync.Mutex
	// usedPorts holds the addresses that freePorts has returned.
	usedPorts = make(map[string]bool)
)

// freePorts returns addresses of nodes whose ports were free when it checked. It returns no address twice, as tests run side by side
// and nodes are down for some time.
func freePorts(t *testing.T, count int) []string {
	t.Helper()
	portsMu.Lock()
	defer portsMu.Unlock()
	addresses := make([]string, 0, count)
	for tries := 0; len(addresses) < count; tries++ {
		assert.Assert(t, tries < 100*count, "no free ports")
		listener, err := net.Listen("tcp4", fmt.Sprintf("%s:%d", nodeIP(), minPort+rand.IntN(maxPort-minPort)))
		if err != nil {
			continue
		}
		defer listener.Close()
		if address := listener.Addr().String(); !usedPorts[address] {
			usedPorts[address] = true
			addresses = append(addresses, address)
		}
	}
	return addresses
}

// run starts the process and restarts it when it ends, unless stayDown is set.
func (n *node) run() {
	defer close(n.done)
	out, err := os.OpenFile(n.logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		panic(err)
	}
	defer out.Close()
	for {
		n.mu.Lock()
		if n.closing {
			n.mu.Unlock()
			return
		}
		stayDown := n.stayDown
		if !stayDown {
			n.signalled = false
			n.generation++
			n.cmd = exec.Command(nodeBinary, "run", "--settings", n.settings)
			n.cmd.Stdout, n.cmd.Stderr = out, out
			// The kernel kills the node when the test binary ends: a binary that is killed at its timeout runs no cleanup.
			n.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
			if err := n.cmd.Start(); err != nil {
				panic(err)
			}
		}
		cmd := n.cmd
		n.mu.Unlock()
		if !stayDown {
			err := cmd.Wait()
			n.mu.Lock()
			if !n.signalled {
				n.ends = append(n.ends, fmt.Sprintf("%s ended by itself: %v", n.name, err))
			}
			n.mu.Unlock()
		}
		time.Sleep(n.restartDelay)
	}
}

func (n *node) signal(s syscall.Signal) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.send(s)
}

// send sends a signal to the process and reports whether it still ran; the lock is held.
func (n *node) send(s syscall.Signal) bool {
	if n.cmd == nil {
		return false
	}
	n.signalled = n.signalled || s == syscall.SIGKILL || s == syscall.SIGTERM
	return n.cmd.Process.Signal(s) == nil
}

// terminate sends SIGTERM to the process and returns its generation.
func (n *node) terminate() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.terminated = time.Now()
	n.send(syscall.SIGTERM)
	return n.generation
}

// lastStop returns when a process of the node was last told to end.
func (n *node) lastStop() time.Time {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.terminated
}

// signalGeneration sends a signal to the process of a generation and reports whether it still ran.
func (n *node) signalGeneration(generation int, s syscall.Signal) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.generation == generation && n.send(s)
}

// minStarve and maxStarve bound how long a node that starves stands still, and how long it runs in between.
const (
	minStarve = 50 * time.Millisecond
	maxStarve = 200 * time.Millisecond
)

// setStarved lets the node stand still again and again, each time for the given time at most, or no longer if that is zero.
func (n *node) setStarved(longest time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	switch {
	case longest > 0 && n.starved == nil:
		n.starved = make(chan struct{})
		go n.runStarved(longest, n.starved)
	case longest == 0 && n.starved != nil:
		close(n.starved)
		n.starved = nil
	}
}

// runStarved stops and continues the node until the channel is closed.
func (n *node) runStarved(longest time.Duration, end <-chan struct{}) {
	for {
		for _, s := range []syscall.Signal{syscall.SIGSTOP, syscall.SIGCONT} {
			n.signal(s)
			select {
			case <-end:
				n.signal(syscall.SIGCONT)
				return
			case <-time.After(minStarve + rand.N(longest-minStarve)):
			}
		}
	}
}

// ownEnds returns how processes of the node ended that had not been told to.
func (n *node) ownEnds() []string {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.ends
}

// setStayDown sets whether an ended process stays down instead of being restarted.
func (n *node) setStayDown(stayDown bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.stayDown = stayDown
}

func (n *node) close() {
	n.mu.Lock()
	n.closing = true
	n.mu.Unlock()
	n.setStarved(0)
	n.signal(syscall.SIGKILL)
	<-n.done
	n.store.close()
}
