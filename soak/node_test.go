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

// restartDelay is the pause before a process that has ended is restarted.
const restartDelay = 150 * time.Millisecond

// node is an aw-node process that is restarted whenever it ends.
type node struct {
	name     string
	address  string
	settings string
	logPath  string
	store    *proxy

	mu       sync.Mutex
	cmd      *exec.Cmd
	stayDown bool
	closing  bool
	// starved is closed when the node is no longer to be starved; it is nil while it isn't.
	starved chan struct{}
	// signalled is set once the process has been told to end; ends holds how processes ended that had not been told to.
	signalled bool
	ends      []string
	done      chan struct{}
}

// newNode starts a node, which reaches the store through a proxy of its own. It answers calls about an ended job for at least
// the retention time.
func newNode(
	t *testing.T, dir string, index int, dataCentre string, retention time.Duration, store *fakes.Store, fleet *fakes.Fleet,
) *node {
	t.Helper()
	link, err := newProxy(store.Address())
	assert.NilError(t, err)
	ports := freePorts(t, 3)
	n := &node{
		name: fmt.Sprintf("node-%d", index), address: ports[0], store: link, done: make(chan struct{}),
		settings: filepath.Join(dir, fmt.Sprintf("node-%d.json", index)), logPath: filepath.Join(dir, fmt.Sprintf("node-%d.log", index)),
	}
	text := fmt.Sprintf(`{"node":%q,"data-centre":%q,"client-address":%q,"readiness-address":%q,"peer-address":%q,
		"store-address":%q,"advice-address":%q,"worker-lease-max":"10s","kill-grace":"300ms","gang-timeout":"3s","stop-grace":"4s","retention":%q}`,
		n.name, dataCentre, ports[0], ports[1], ports[2], link.address(), fleet.AdviceAddress(), retention)
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

// freePorts returns addresses of nodes whose ports were free when it checked.
func freePorts(t *testing.T, count int) []string {
	t.Helper()
	addresses := make([]string, 0, count)
	for tries := 0; len(addresses) < count; tries++ {
		assert.Assert(t, tries < 100*count, "no free ports")
		listener, err := net.Listen("tcp4", fmt.Sprintf("%s:%d", nodeIP(), minPort+rand.IntN(maxPort-minPort)))
		if err != nil {
			continue
		}
		defer listener.Close()
		addresses = append(addresses, listener.Addr().String())
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
		time.Sleep(restartDelay)
	}
}

func (n *node) signal(s syscall.Signal) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.cmd != nil {
		n.signalled = n.signalled || s == syscall.SIGKILL || s == syscall.SIGTERM
		// The process may have ended already.
		_ = n.cmd.Process.Signal(s)
	}
}

// minStarve and maxStarve bound how long a node that starves stands still, and how long it runs in between.
const (
	minStarve = 50 * time.Millisecond
	maxStarve = 200 * time.Millisecond
)

// setStarved sets whether the node stands still again and again.
func (n *node) setStarved(starved bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	switch {
	case starved && n.starved == nil:
		n.starved = make(chan struct{})
		go n.runStarved(n.starved)
	case !starved && n.starved != nil:
		close(n.starved)
		n.starved = nil
	}
}

// runStarved stops and continues the node until the channel is closed.
func (n *node) runStarved(end <-chan struct{}) {
	for {
		for _, s := range []syscall.Signal{syscall.SIGSTOP, syscall.SIGCONT} {
			n.signal(s)
			select {
			case <-end:
				n.signal(syscall.SIGCONT)
				return
			case <-time.After(minStarve + rand.N(maxStarve-minStarve)):
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
	n.setStarved(false)
	n.signal(syscall.SIGKILL)
	<-n.done
	n.store.close()
}
