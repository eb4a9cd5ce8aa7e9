package faults

import (
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// stopLimit bounds a planned stop: 30 s for open requests (docs/design.md), and the time to record that the instance leaves.
const stopLimit = 40 * time.Second

// process is a program that a test has started.
type process struct {
	name    string
	logPath string
	cmd     *exec.Cmd
	ended   chan struct{}
}

// start runs a program until the test ends, with its output in a log file.
func start(t *testing.T, dir, name, program string, args ...string) *process {
	t.Helper()
	p := &process{name: name, logPath: filepath.Join(dir, name+".log"), ended: make(chan struct{})}
	out, err := os.OpenFile(p.logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	assert.NilError(t, err)
	defer out.Close()
	p.cmd = exec.Command(filepath.Join(programDir, program), args...)
	p.cmd.Stdout, p.cmd.Stderr = out, out
	// If the test binary is killed at its time limit, no cleanup runs; the kernel kills the process then.
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	assert.NilError(t, p.cmd.Start())
	go p.runWait()
	t.Cleanup(p.kill)
	return p
}

func (p *process) runWait() {
	_ = p.cmd.Wait()
	close(p.ended)
}

func (p *process) alive() bool {
	select {
	case <-p.ended:
		return false
	default:
		return true
	}
}

func (p *process) signal(t *testing.T, s syscall.Signal) {
	t.Helper()
	assert.NilError(t, p.cmd.Process.Signal(s), p.name)
}

// kill sends SIGKILL and waits for the end of the process.
func (p *process) kill() {
	if p.alive() {
		_ = p.cmd.Process.Kill()
	}
	<-p.ended
}

// exitCode waits for the end of the process and returns its exit code.
func (p *process) exitCode(t *testing.T) int {
	t.Helper()
	select {
	case <-p.ended:
	case <-time.After(stopLimit):
		t.Fatalf("%s did not stop within %s", p.name, stopLimit)
	}
	return p.cmd.ProcessState.ExitCode()
}

// warnings returns the last lines of the process's log that are neither info nor debug messages.
func (p *process) warnings(limit int) string {
	data, err := os.ReadFile(p.logPath)
	if err != nil {
		return err.Error()
	}
	var lines []string
	for line := range strings.Lines(string(data)) {
		if !strings.Contains(line, "level=info") && !strings.Contains(line, "level=debug") {
			lines = append(lines, p.name+": "+line)
		}
	}
	return strings.Join(lines[max(0, len(lines)-limit):], "")
}

const (
	// firstPort and lastPort are below the range from which the kernel takes ports of outgoing connections.
	firstPort = 12000
	lastPort  = 31000
)

var ports = struct {
	sync.Mutex
	next int
}{next: firstPort + os.Getpid()%150*100}

// freePorts returns the first of count consecutive ports on which nothing listens.
func freePorts(t *testing.T, count int) int {
	t.Helper()
	ports.Lock()
	defer ports.Unlock()
	for range lastPort - firstPort {
		first := ports.next
		if first+count > lastPort {
			ports.next = firstPort
			continue
		}
		free := 0
		for free < count && portFree(first+free) {
			free++
		}
		if free == count {
			ports.next = first + count
			return first
		}
		ports.next = first + free + 1
	}
	t.Fatal("no free ports")
	return 0
}

func portFree(port int) bool {
	listener, err := net.Listen("tcp4", address(port))
	if err != nil {
		return false
	}
	return listener.Close() == nil
}

func address(port int) string { return fmt.Sprintf("127.0.0.1:%d", port) }
