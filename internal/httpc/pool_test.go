package httpc

import (
	"bufio"
	"context"
	"errors"
	"net"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/valyala/fasthttp"
	"gotest.tools/v3/assert"
)

const okResponse = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"

// fakeHost is a raw TCP server. For each request, it calls behave with the connection, the number of the connection and
// the number of the request on it, and closes the connection if behave returns false.
type fakeHost struct {
	net.Listener
	connections atomic.Int32
	requests    atomic.Int32
	behave      func(conn net.Conn, connection, request int) bool
	// ended receives a value for each connection that the host closed.
	ended chan struct{}
}

func newFakeHost(t *testing.T, behave func(conn net.Conn, connection, request int) bool) *fakeHost {
	t.Helper()
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	h := &fakeHost{Listener: inner, behave: behave, ended: make(chan struct{}, 100)}
	t.Cleanup(func() { _ = inner.Close() })
	go h.runAccept()
	return h
}

func (h *fakeHost) runAccept() {
	for {
		conn, err := h.Accept()
		if err != nil {
			return
		}
		go h.runConn(conn, int(h.connections.Add(1)))
	}
}

func (h *fakeHost) runConn(conn net.Conn, number int) {
	defer func() {
		_ = conn.Close()
		h.ended <- struct{}{}
	}()
	reader := bufio.NewReader(conn)
	for request := 1; ; request++ {
		var req fasthttp.Request
		if req.Read(reader) != nil {
			return
		}
		if !strings.HasSuffix(string(req.URI().Path()), "/ping") {
			h.requests.Add(1)
		}
		if !h.behave(conn, number, request) {
			return
		}
	}
}

func send(conn net.Conn, text string) bool {
	_, err := conn.Write([]byte(text))
	return err == nil
}

func holdOpen(conn net.Conn) bool {
	_, _ = conn.Read(make([]byte, 1))
	return false
}

func newPool(t *testing.T, cfg Config) *Pool {
	t.Helper()
	pool, err := New(cfg)
	assert.NilError(t, err)
	return pool
}

func do(ctx context.Context, pool *Pool, method string, call Call) (string, error) {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	req.Header.SetMethod(method)
	req.SetRequestURI("http://" + pool.cfg.Address + "/x")
	if method == fasthttp.MethodPost {
		req.SetBodyString("body")
	}
	call.Request, call.Response = req, resp
	if call.Timeout == 0 {
		call.Timeout = 5 * time.Second
	}
	err := pool.Do(ctx, call)
	return string(resp.Body()), err
}

// TestSentOnce guards against sending a request again after a failure, since it may then run twice: fasthttp's own
// client repeats GET, HEAD and PUT.
func TestSentOnce(t *testing.T) {
	tests := []struct {
		name   string
		behave func(conn net.Conn) bool
	}{
		{"closed without an answer", func(net.Conn) bool { return false }},
		{"closed in head", func(c net.Conn) bool { send(c, "HTTP/1.1 200 OK\r\nContent-"); return false }},
		{"closed in body", func(c net.Conn) bool { send(c, "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nab"); return false }},
		{"not HTTP", func(c net.Conn) bool { return send(c, "no such protocol\r\n\r\n") }},
		{"never answered", holdOpen},
	}
	for _, test := range tests {
		for _, method := range []string{fasthttp.MethodGet, fasthttp.MethodPut, fasthttp.MethodPost} {
			t.Run(test.name+" "+method, func(t *testing.T) {
				h := newFakeHost(t, func(c net.Conn, _, _ int) bool { return test.behave(c) })
				pool := newPool(t, Config{Address: h.Addr().String()})
				_, err := do(t.Context(), pool, method, Call{Timeout: 100 * time.Millisecond})
				assert.ErrorIs(t, err, ErrNoAnswer)
				assert.Equal(t, h.requests.Load(), int32(1))
				assert.Equal(t, pool.host.ConnsCount(), 0)
			})
		}
	}
}

// TestNotSent guards against reporting a request as not sent that may have run, and the reverse.
func TestNotSent(t *testing.T) {
	cancelled, cancel := context.WithCancel(t.Context())
	cancel()
	closed, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	assert.NilError(t, closed.Close())
	open := newFakeHost(t, func(c net.Conn, _, _ int) bool { return send(c, okResponse) })
	tests := []struct {
		name    string
		ctx     context.Context
		address string
		timeout time.Duration
	}{
		{"refused connection", t.Context(), closed.Addr().String(), time.Second},
		{"cancelled before", cancelled, open.Addr().String(), time.Second},
		{"no time left", t.Context(), open.Addr().String(), -time.Second},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			pool := newPool(t, Config{Address: test.address})
			_, err := do(test.ctx, pool, fasthttp.MethodPost, Call{Timeout: test.timeout})
			assert.ErrorIs(t, err, ErrNotSent)
			assert.Equal(t, pool.host.ConnsCount(), 0)
		})
	}
	assert.Equal(t, open.requests.Load(), int32(0))
}

// TestCancelWhileWaiting guards against a call that goes on after its context was cancelled, and against reusing its
// connection.
func TestCancelWhileWaiting(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	h := newFakeHost(t, func(c net.Conn, _, _ int) bool { cancel(); return holdOpen(c) })
	pool := newPool(t, Config{Address: h.Addr().String()})
	_, err := do(ctx, pool, fasthttp.MethodPost, Call{Timeout: time.Minute})
	assert.ErrorIs(t, err, ErrNoAnswer)
	assert.ErrorIs(t, err, context.Canceled)
	assert.Equal(t, pool.host.ConnsCount(), 0)
}

// TestConnectionLimit guards against opening more connections to a host than configured.
func TestConnectionLimit(t *testing.T) {
	entered, leave := make(chan struct{}), make(chan struct{})
	h := newFakeHost(t, func(c net.Conn, _, _ int) bool {
		entered <- struct{}{}
		<-leave
		return send(c, okResponse)
	})
	pool := newPool(t, Config{Address: h.Addr().String(), MaxConnections: 5})
	pool.SetMaxConnections(1)
	first := make(chan error, 1)
	go func() {
		_, err := do(t.Context(), pool, fasthttp.MethodPost, Call{})
		first <- err
	}()
	<-entered
	_, err := do(t.Context(), pool, fasthttp.MethodPost, Call{})
	assert.ErrorIs(t, err, ErrNotSent)
	assert.ErrorIs(t, err, fasthttp.ErrNoFreeConns)
	close(leave)
	assert.NilError(t, <-first)
}

// TestWait guards against calls that fail at once, or wait past their timeout, when no connection is free and the pool
// is configured to wait.
func TestWait(t *testing.T) {
	leave := make(chan struct{})
	h := newFakeHost(t, func(c net.Conn, _, _ int) bool { <-leave; return send(c, okResponse) })
	pool := newPool(t, Config{Address: h.Addr().String(), MaxConnections: 2, WaitForConnection: true})
	const calls = 10
	results := make(chan error, calls)
	for range calls {
		go func() {
			_, err := do(t.Context(), pool, fasthttp.MethodPost, Call{Timeout: time.Minute})
			results <- err
		}()
	}
	for h.requests.Load() < 2 {
		time.Sleep(time.Millisecond)
	}
	_, err := do(t.Context(), pool, fasthttp.MethodPost, Call{Timeout: 20 * time.Millisecond})
	assert.ErrorIs(t, err, ErrNotSent)
	close(leave)
	for range calls {
		assert.NilError(t, <-results)
	}
	assert.Equal(t, h.connections.Load(), int32(2))
}

// TestReuse guards against reusing a connection that the host closed, that has unread bytes of an earlier answer, or
// that was left in an unknown state by a timeout.
func TestReuse(t *testing.T) {
	tests := []struct {
		name        string
		behave      func(conn net.Conn, connection, request int) bool
		firstFails  bool
		closes      bool
		connections int32
	}{
		{"healthy", func(c net.Conn, _, _ int) bool { return send(c, okResponse) }, false, false, 1},
		{"closed by host while idle", func(c net.Conn, _, _ int) bool { send(c, okResponse); return false }, false, true, 2},
		{"connection: close", func(c net.Conn, _, _ int) bool {
			return send(c, "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 2\r\n\r\nok")
		}, false, false, 2},
		{"bytes after the answer", func(c net.Conn, connection, _ int) bool {
			if connection == 1 {
				return send(c, okResponse+okResponse)
			}
			return send(c, okResponse)
		}, false, false, 2},
		{"time-out", func(c net.Conn, connection, _ int) bool { return connection > 1 && send(c, okResponse) || holdOpen(c) }, true, false, 2},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			h := newFakeHost(t, test.behave)
			pool := newPool(t, Config{Address: h.Addr().String()})
			_, err := do(t.Context(), pool, fasthttp.MethodPost, Call{Timeout: 200 * time.Millisecond})
			assert.Equal(t, err != nil, test.firstFails, "%v", err)
			if test.closes {
				<-h.ended
			}
			body, err := do(t.Context(), pool, fasthttp.MethodPost, Call{})
			assert.NilError(t, err)
			assert.Equal(t, body, "ok")
			assert.Equal(t, h.connections.Load(), test.connections)
			assert.Equal(t, h.requests.Load(), int32(2))
		})
	}
}

// TestProbe guards against sending a request over an idle connection that no longer transmits data.
func TestProbe(t *testing.T) {
	h := newFakeHost(t, func(c net.Conn, connection, request int) bool {
		if connection == 1 && request > 1 {
			return holdOpen(c)
		}
		return send(c, okResponse)
	})
	pool := newPool(t, Config{Address: h.Addr().String(), ProbeAfter: time.Nanosecond, ProbeTimeout: 50 * time.Millisecond})
	for range 2 {
		_, err := do(t.Context(), pool, fasthttp.MethodPost, Call{Probe: true})
		assert.NilError(t, err)
	}
	assert.Equal(t, h.connections.Load(), int32(2))
	assert.Equal(t, h.requests.Load(), int32(2))
}

// TestCheckResponse guards against reusing a connection whose answers belong to other requests.
func TestCheckResponse(t *testing.T) {
	h := newFakeHost(t, func(c net.Conn, _, _ int) bool { return send(c, okResponse) })
	pool := newPool(t, Config{Address: h.Addr().String()})
	errOther := errors.New("other request")
	_, err := do(t.Context(), pool, fasthttp.MethodPost,
		Call{CheckResponse: func(*fasthttp.Response) error { return errOther }})
	assert.ErrorIs(t, err, ErrNoAnswer)
	assert.ErrorIs(t, err, errOther)
	assert.Equal(t, pool.host.ConnsCount(), 0)
}

// TestIdleConnectionsAreClosedAfterTimeouts guards against trying one dead connection after the other.
func TestIdleConnectionsAreClosedAfterTimeouts(t *testing.T) {
	const opened = 4
	var arrived atomic.Int32
	together := make(chan struct{})
	h := newFakeHost(t, func(c net.Conn, connection, request int) bool {
		switch {
		case connection > opened:
			return send(c, okResponse)
		case request > 1:
			return holdOpen(c)
		}
		if arrived.Add(1) == opened {
			close(together)
		}
		<-together
		return send(c, okResponse)
	})
	pool := newPool(t, Config{Address: h.Addr().String()})
	results := make(chan error, opened)
	for range opened {
		go func() {
			_, err := do(t.Context(), pool, fasthttp.MethodPost, Call{})
			results <- err
		}()
	}
	for range opened {
		assert.NilError(t, <-results)
	}
	for n := range defaultMaxTimeouts {
		_, err := do(t.Context(), pool, fasthttp.MethodPost, Call{Timeout: 50 * time.Millisecond})
		assert.ErrorIs(t, err, ErrNoAnswer, strconv.Itoa(n))
	}
	assert.Equal(t, pool.host.IdleConnsCount(), 0)
	_, err := do(t.Context(), pool, fasthttp.MethodPost, Call{})
	assert.NilError(t, err)
}

// TestSlowAnswer guards against an answer on a slow link that counts as lost although it keeps arriving, and against one
// that has stopped arriving but is waited for.
func TestSlowAnswer(t *testing.T) {
	const chunks, pause = 8, 40 * time.Millisecond
	tests := []struct {
		name    string
		stallAt int
		maxTime time.Duration
		want    error
	}{
		{"keeps arriving", chunks, time.Minute, nil},
		{"keeps arriving for too long", chunks, 200 * time.Millisecond, ErrNoAnswer},
		{"stops arriving", 3, time.Minute, ErrNoAnswer},
		{"without an extension", chunks, 0, ErrNoAnswer},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			host := newFakeHost(t, func(conn net.Conn, _, _ int) bool {
				if !send(conn, "HTTP/1.1 200 OK\r\nContent-Length: "+strconv.Itoa(chunks)+"\r\n\r\n") {
					return false
				}
				for i := range chunks {
					if i == tt.stallAt {
						return holdOpen(conn)
					}
					time.Sleep(pause)
					if !send(conn, "x") {
						return false
					}
				}
				return true
			})
			pool, err := New(Config{Address: host.Addr().String()})
			assert.NilError(t, err)
			req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
			req.SetRequestURI("http://" + host.Addr().String() + "/")
			begun := time.Now()
			err = pool.Do(t.Context(), Call{Request: req, Response: resp, Timeout: 4 * pause, MaxTime: tt.maxTime})
			assert.ErrorIs(t, err, tt.want)
			assert.Assert(t, time.Since(begun) < 5*time.Second)
			if tt.want == nil {
				assert.Equal(t, len(resp.Body()), chunks)
			}
		})
	}
}
