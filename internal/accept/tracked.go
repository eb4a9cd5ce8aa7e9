package accept

import (
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"golang.org/x/sys/unix"

	"arbutuswing.example/internal/pause"
)

const (
	// readyTimeout bounds a call for something that is known to be there.
	readyTimeout = time.Second
	// arrivalTime is how long a request that has begun to arrive may take to arrive completely once reads have ended.
	arrivalTime = 200 * time.Millisecond
	// pollInterval is the interval at which Shutdown looks at the connections.
	pollInterval = 10 * time.Millisecond
)

// ErrRequestsLeft reports that connections were open at the end of a shutdown.
var ErrRequestsLeft = errors.New("connections are still open")

// cutRequests counts the requests on connections that this process closed without an answer.
var cutRequests = metrics.NewCounter(`aw_cut_requests_total`)

// Tracked is a listener that tracks the requests on its connections, so that a server can stop without cutting one.
//
// A server that stops asks its clients to close their connections. It then calls EndReads, which ends idle connections at a time, and
// Close, which hands out the connections that wait to be accepted; their requests are read until that time too.
type Tracked struct {
	listener
	tcp *net.TCPListener

	mu    sync.Mutex
	conns map[*conn]bool
	// closing is set once Close has been called, closed once Accept returns no more connections.
	closing, closed bool
	// readUntil is when idle connections end, or zero.
	readUntil time.Time
}

// Progress describes the open connections of a listener.
type Progress struct {
	// Connections is the number of open connections, and Requests how many of them wait for the answer to a request.
	Connections, Requests int
	// Oldest is the time for which the oldest of these requests has waited.
	Oldest time.Duration
	// Closed tells that the listener returns no more connections.
	Closed bool
}

// Ended reports whether all connections have ended and no more will come.
func (p Progress) Ended() bool { return p.Closed && p.Connections == 0 }

// ListenTracked is like Listen, but the listener tracks its connections.
func ListenTracked(address string) (*Tracked, error) {
	l, err := net.Listen("tcp4", address)
	if err != nil {
		return nil, err
	}
	return &Tracked{listener: listener{l}, tcp: l.(*net.TCPListener), conns: make(map[*conn]bool)}, nil
}

// Accept returns the next connection. After Close it returns those that wait, and then net.ErrClosed.
func (t *Tracked) Accept() (net.Conn, error) {
	if !t.isClosing() {
		inner, err := t.listener.Accept()
		if err == nil {
			return t.track(inner), nil
		}
		if !t.isClosing() {
			return nil, err
		}
	}
	// Close has set a deadline in the past, which the runtime reports without looking whether a connection waits.
	for ready(t.tcp) {
		_ = t.tcp.SetDeadline(time.Now().Add(readyTimeout))
		if inner, err := t.listener.Accept(); err == nil {
			return t.track(inner), nil
		}
	}
	_ = t.tcp.Close()
	t.mu.Lock()
	t.closed = true
	t.mu.Unlock()
	return nil, net.ErrClosed
}

// ready reports whether a read of the connection, or an accept of the listener, would return at once.
func ready(c any) bool {
	system, ok := c.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := system.SyscallConn()
	if err != nil {
		return false
	}
	count := 0
	// Unlike Read, Control works after the deadline.
	err = raw.Control(func(fd uintptr) {
		count, _ = unix.Poll([]unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN}}, 0)
	})
	return err == nil && count > 0
}

// Close stops listening once the connections that wait have been accepted. It doesn't wait for that.
func (t *Tracked) Close() error {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.closing {
		return nil
	}
	t.closing = true
	return t.tcp.SetDeadline(time.Now())
}

// EndReads ends connections that have not received the begin of a request by the given time. Later requests are not read.
func (t *Tracked) EndReads(at time.Time) {
	t.mu.Lock()
	t.readUntil = at
	conns := make([]*conn, 0, len(t.conns))
	for c := range t.conns {
		conns = append(conns, c)
	}
	t.mu.Unlock()
	for _, c := range conns {
		c.endReads(at)
	}
}

// Shutdown stops listening, ends idle connections after lastReads and waits until all connections have ended. It returns
// ErrRequestsLeft if the context ends before.
func (t *Tracked) Shutdown(ctx context.Context, lastReads time.Duration) error {
	t.EndReads(time.Now().Add(lastReads))
	if err := t.Close(); err != nil {
		return err
	}
	for ctx.Err() == nil {
		if t.Progress().Ended() {
			return nil
		}
		pause.For(ctx, pollInterval)
	}
	if p := t.Progress(); !p.Ended() {
		return fmt.Errorf("%w: %d connections, %d requests, the oldest for %s", ErrRequestsLeft, p.Connections, p.Requests, p.Oldest)
	}
	return nil
}

// Progress returns the state of the open connections.
func (t *Tracked) Progress() Progress {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := Progress{Connections: len(t.conns), Closed: t.closed}
	now := time.Now()
	for c := range t.conns {
		if since := c.waitingSince(); !since.IsZero() {
			p.Requests++
			p.Oldest = max(p.Oldest, now.Sub(since))
		}
	}
	return p
}

func (t *Tracked) isClosing() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.closing
}

func (t *Tracked) track(inner net.Conn) *conn {
	t.mu.Lock()
	defer t.mu.Unlock()
	c := &conn{Conn: inner, listener: t}
	t.conns[c] = true
	if !t.readUntil.IsZero() {
		c.endReads(t.readUntil)
	}
	return c
}

func (t *Tracked) forget(c *conn) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.conns, c)
}

// conn is a connection of a Tracked listener. It takes what it reads after a write, or at first, for the next request.
type conn struct {
	net.Conn
	listener *Tracked

	mu sync.Mutex
	// received is when the request that isn't answered yet began to arrive, or zero. written is set once its answer is being
	// written, and lost once the client has closed the connection.
	received      time.Time
	written, lost bool
	// deadline is the one that the server has set for reads; readUntil bounds it.
	deadline, readUntil time.Time
	closed              bool
}

// Read reads like net.Conn. It returns os.ErrDeadlineExceeded only if nothing has arrived.
func (c *conn) Read(b []byte) (int, error) {
	c.finishRequest()
	n, err := c.Conn.Read(b)
	if n == 0 && errors.Is(err, os.ErrDeadlineExceeded) && ready(c.Conn) {
		// A process that stood still finds the deadline passed and data there; the runtime reports the deadline.
		_ = c.Conn.SetReadDeadline(time.Now().Add(readyTimeout))
		n, err = c.Conn.Read(b)
		c.restoreDeadline()
	}
	c.noteRead(n, err)
	return n, err
}

// Write writes like net.Conn.
func (c *conn) Write(b []byte) (int, error) {
	c.mu.Lock()
	c.written = true
	c.mu.Unlock()
	return c.Conn.Write(b)
}

// SetReadDeadline sets the deadline of reads, which is earlier once reads have ended.
func (c *conn) SetReadDeadline(at time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.deadline = at
	return c.applyDeadline()
}

// SetDeadline sets the deadlines of reads and writes.
func (c *conn) SetDeadline(at time.Time) error {
	return errors.Join(c.SetReadDeadline(at), c.SetWriteDeadline(at))
}

// Close closes the connection.
func (c *conn) Close() error {
	c.mu.Lock()
	if !c.closed && !c.received.IsZero() && !c.written && !c.lost {
		cutRequests.Inc()
	}
	c.closed = true
	c.mu.Unlock()
	c.listener.forget(c)
	return c.Conn.Close()
}

// finishRequest ends the request that has been answered: the server reads the next one.
func (c *conn) finishRequest() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.written {
		return
	}
	c.received, c.written = time.Time{}, false
	if !c.readUntil.IsZero() {
		_ = c.applyDeadline()
	}
}

func (c *conn) noteRead(n int, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if n > 0 && c.received.IsZero() {
		c.received = time.Now()
		if !c.readUntil.IsZero() {
			_ = c.applyDeadline()
		}
	}
	if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
		c.lost = true
	}
}

func (c *conn) restoreDeadline() {
	c.mu.Lock()
	defer c.mu.Unlock()
	_ = c.applyDeadline()
}

func (c *conn) endReads(at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.readUntil = at
	_ = c.applyDeadline()
}

// applyDeadline sets the earlier one of the server's deadline and the end of reads; the lock is held.
func (c *conn) applyDeadline() error {
	at := c.deadline
	if limit := c.readUntil; !limit.IsZero() {
		if arrived := c.received.Add(arrivalTime); !c.received.IsZero() && arrived.After(limit) {
			limit = arrived
		}
		if at.IsZero() || limit.Before(at) {
			at = limit
		}
	}
	return c.Conn.SetReadDeadline(at)
}

// waitingSince returns when the request began to arrive that isn't answered yet, or zero.
func (c *conn) waitingSince() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.received
}
