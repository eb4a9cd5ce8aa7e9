package site

import (
	"net"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"arbutuswing.example/endpt/internal/tally"
	"arbutuswing.example/internal/ephttp"
)

// refusalTimeout bounds the time for refusing a request on a connection above the limit.
const refusalTimeout = 500 * time.Millisecond

// limitedListener accepts connections up to the endpoint's limit. On a connection above the limit, it refuses one request and
// then closes the connection.
type limitedListener struct {
	net.Listener
	endpoint *Endpoint

	mu     sync.Mutex
	open   map[*conn]struct{}
	peak   int
	silent map[*conn]struct{}
}

func newLimitedListener(inner net.Listener, endpoint *Endpoint) *limitedListener {
	return &limitedListener{Listener: inner, endpoint: endpoint, open: make(map[*conn]struct{}), silent: make(map[*conn]struct{})}
}

// Accept returns the next connection within the limit.
func (l *limitedListener) Accept() (net.Conn, error) {
	for {
		raw, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if c := l.admit(raw); c != nil {
			return c, nil
		}
		go l.runRefusal(raw)
	}
}

func (l *limitedListener) admit(raw net.Conn) *conn {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.open) >= l.endpoint.spec.Connections {
		return nil
	}
	c := &conn{Conn: raw, listener: l, closed: make(chan struct{})}
	l.open[c] = struct{}{}
	l.peak = max(l.peak, len(l.open))
	return c
}

// runRefusal reads one request and refuses it. Closing the connection without reading would reset it, and the caller could
// not tell whether its request ran.
func (l *limitedListener) runRefusal(raw net.Conn) {
	defer raw.Close()
	if raw.SetDeadline(time.Now().Add(refusalTimeout)) != nil {
		return
	}
	l.endpoint.counters.RecordRefusal(tally.Connections)
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	if req.Read(newReader(raw)) != nil {
		return
	}
	resp.SetStatusCode(fasthttp.StatusServiceUnavailable)
	resp.Header.SetBytesV(ephttp.HeaderAttempt, req.Header.Peek(ephttp.HeaderAttempt))
	resp.Header.Set(ephttp.HeaderRefused, ephttp.RefusedConnections)
	resp.SetConnectionClose()
	_, _ = resp.WriteTo(raw)
}

// silenceOpen makes the open connections silent and returns their number.
func (l *limitedListener) silenceOpen() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := 0
	for c := range l.open {
		l.silent[c] = struct{}{}
		n++
	}
	return n
}

// closeSilent closes the network connections of the silent connections, which Close leaves open.
func (l *limitedListener) closeSilent() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.silent {
		delete(l.silent, c)
		_ = c.Conn.Close()
	}
}

func (l *limitedListener) counts() (open, peak, silent int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.open), l.peak, len(l.silent)
}

func (l *limitedListener) isSilent(c *conn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	_, silent := l.silent[c]
	return silent
}

// conn is a connection that can become silent: bytes are lost in both directions, and the caller doesn't see it closed.
type conn struct {
	net.Conn
	listener  *limitedListener
	closeOnce sync.Once
	closed    chan struct{}
}

// Read reads from the connection; on a silent one, nothing arrives and Read blocks until Close.
func (c *conn) Read(data []byte) (int, error) {
	n, err := c.Conn.Read(data)
	if c.listener.isSilent(c) {
		<-c.closed
		return 0, net.ErrClosed
	}
	return n, err
}

// Write writes to the connection; on a silent one, the bytes are discarded.
func (c *conn) Write(data []byte) (int, error) {
	if c.listener.isSilent(c) {
		return len(data), nil
	}
	return c.Conn.Write(data)
}

// Close closes the connection. A silent one stays open on the network, since the caller must not see it closed.
func (c *conn) Close() error {
	c.closeOnce.Do(func() { close(c.closed) })
	c.listener.mu.Lock()
	delete(c.listener.open, c)
	_, silent := c.listener.silent[c]
	c.listener.mu.Unlock()
	if silent {
		// A deadline in the past ends a Read that waits in the operating system.
		return c.SetDeadline(time.Unix(1, 0))
	}
	return c.Conn.Close()
}
