package site

import (
	"net"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"arbutuswing.example/endpt/internal/tally"
	"arbutuswing.example/internal/ephttp"
)

// refusalTimeout bounds how long a connection beyond the limit is served its refusal.
const refusalTimeout = 500 * time.Millisecond

// listener hands out at most a number of connections; on others it refuses one request.
type limitedListener struct {
	net.Listener
	endpoint *Endpoint

	mu     sync.Mutex
	open   map[*faultConn]struct{}
	peak   int
	silent map[*faultConn]struct{}
}

func newLimitedListener(inner net.Listener, endpoint *Endpoint) *limitedListener {
	return &limitedListener{Listener: inner, endpoint: endpoint, open: make(map[*faultConn]struct{}), silent: make(map[*faultConn]struct{})}
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

func (l *limitedListener) admit(raw net.Conn) *faultConn {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.open) >= l.endpoint.spec.Connections {
		return nil
	}
	c := &faultConn{Conn: raw, listener: l, closed: make(chan struct{})}
	l.open[c] = struct{}{}
	l.peak = max(l.peak, len(l.open))
	return c
}

// runRefusal reads one request and refuses it. Closing at once would reset the connection, and the caller could not
// tell whether its request ran.
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

// silenceOpen turns the open connections into silent ones and returns their number.
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

// release really closes silent connections whose end of the stand-in is done with them.
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

func (l *limitedListener) isSilent(c *faultConn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	_, silent := l.silent[c]
	return silent
}

// conn is a connection that can become silent: bytes in both directions vanish, and so does its end.
type faultConn struct {
	net.Conn
	listener  *limitedListener
	closeOnce sync.Once
	closed    chan struct{}
}

// Read reads from the connection; on a silent one nothing ever arrives.
func (c *faultConn) Read(data []byte) (int, error) {
	n, err := c.Conn.Read(data)
	if c.listener.isSilent(c) {
		<-c.closed
		return 0, net.ErrClosed
	}
	return n, err
}

// Write writes to the connection; on a silent one the bytes vanish.
func (c *faultConn) Write(data []byte) (int, error) {
	if c.listener.isSilent(c) {
		return len(data), nil
	}
	return c.Conn.Write(data)
}

// Close closes the connection. A silent one stays open towards the caller, who must not see its end.
func (c *faultConn) Close() error {
	c.closeOnce.Do(func() { close(c.closed) })
	c.listener.mu.Lock()
	delete(c.listener.open, c)
	_, silent := c.listener.silent[c]
	c.listener.mu.Unlock()
	if silent {
		// Ends a read that waits in the system.
		return c.SetDeadline(time.Unix(1, 0))
	}
	return c.Conn.Close()
}
