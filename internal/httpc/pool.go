package httpc

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"net"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"
)

var (
	// ErrNotSent reports that no byte of the request was sent.
	ErrNotSent = errors.New("no byte of the request was sent")
	// ErrNoAnswer reports that the request was sent at least in part and no complete answer was received.
	ErrNoAnswer = errors.New("no whole answer came back")
	// ErrConfig reports an unusable configuration.
	ErrConfig = errors.New("bad configuration")
)

const (
	defaultMaxConnections = 60
	defaultIdleTimeout    = 10 * time.Second
	defaultProbeAfter     = time.Second
	defaultProbeTimeout   = 200 * time.Millisecond
	defaultProbePath      = "/ping"
	defaultMaxBody        = 64 << 20
	defaultMaxTimeouts    = 2
	maxDialTimeout        = 3 * time.Second
	maxConnectionWait     = time.Minute
	defaultReadBuffer     = 16 << 10
)

// Config configures a Pool.
type Config struct {
	// Address is host:port.
	Address string
	// MaxConnections is the largest number of open connections.
	MaxConnections int
	// WaitForConnection lets calls wait for a connection if all are in use; otherwise they fail at once with
	// ErrNotSent.
	WaitForConnection bool
	// IdleTimeout is how long an unused connection is kept.
	IdleTimeout time.Duration
	// ProbeAfter is how long a connection must have been idle for a call with Probe set to check it.
	ProbeAfter time.Duration
	// ProbeTimeout is the time limit of the check, which is a GET of ProbePath.
	ProbeTimeout time.Duration
	ProbePath    string
	// MaxTimeouts is the number of consecutive timeouts after which the pool closes its idle connections: a network
	// device that lost the state of one connection has probably lost that of the others too.
	MaxTimeouts int
	// MaxBody is the largest body of an answer in bytes.
	MaxBody int
	// ReadBuffer is the size in bytes of the buffer that each call in progress holds; it bounds the header of an answer.
	ReadBuffer int
}

// WithDefaults returns the configuration with defaults for unset fields.
func (c Config) WithDefaults() Config {
	c.MaxConnections = cmp.Or(c.MaxConnections, defaultMaxConnections)
	c.IdleTimeout = cmp.Or(c.IdleTimeout, defaultIdleTimeout)
	c.ProbeAfter = cmp.Or(c.ProbeAfter, defaultProbeAfter)
	c.ProbeTimeout = cmp.Or(c.ProbeTimeout, defaultProbeTimeout)
	c.ProbePath = cmp.Or(c.ProbePath, defaultProbePath)
	c.MaxTimeouts = cmp.Or(c.MaxTimeouts, defaultMaxTimeouts)
	c.MaxBody = cmp.Or(c.MaxBody, defaultMaxBody)
	c.ReadBuffer = cmp.Or(c.ReadBuffer, defaultReadBuffer)
	return c
}

// Check returns ErrConfig for an unusable configuration.
func (c Config) Check() error {
	if _, _, err := net.SplitHostPort(c.Address); err != nil {
		return fmt.Errorf("%w: address: %w", ErrConfig, err)
	}
	if c.MaxConnections < 1 {
		return fmt.Errorf("%w: connections %d: must be at least 1", ErrConfig, c.MaxConnections)
	}
	return nil
}

// lastConnection is the number of the last connection that any pool has opened.
var lastConnection atomic.Uint64

// Pool sends requests to one host over a limited number of connections; all methods are safe for concurrent use.
type Pool struct {
	cfg            Config
	host           *fasthttp.HostClient
	timeouts       atomic.Int32
	maxConnections atomic.Int32
}

// New returns a pool without open connections. It returns ErrConfig for an unusable configuration.
func New(cfg Config) (*Pool, error) {
	cfg = cfg.WithDefaults()
	if err := cfg.Check(); err != nil {
		return nil, err
	}
	p := &Pool{cfg: cfg}
	p.host = &fasthttp.HostClient{
		Addr: cfg.Address, MaxConns: cfg.MaxConnections, MaxIdleConnDuration: cfg.IdleTimeout,
		ConnPoolStrategy: fasthttp.LIFO, ReadBufferSize: cfg.ReadBuffer, DialTimeout: p.dial,
	}
	if cfg.WaitForConnection {
		// The timeout of a call is shorter and ends its wait.
		p.host.MaxConnWaitTimeout = maxConnectionWait
	}
	p.maxConnections.Store(int32(cfg.MaxConnections))
	return p, nil
}

// dial also limits the time of connections that the pool opens on behalf of waiting calls, for which it passes no
// timeout.
func (p *Pool) dial(address string, timeout time.Duration) (net.Conn, error) {
	if timeout <= 0 {
		timeout = maxDialTimeout
	}
	conn, err := net.DialTimeout("tcp", address, timeout)
	if err != nil {
		return nil, err
	}
	tcp, ok := conn.(*net.TCPConn)
	if !ok {
		return conn, nil
	}
	return numberedConn{tcp, lastConnection.Add(1)}, nil
}

// numberedConn is a connection with its number.
type numberedConn struct {
	*net.TCPConn
	number uint64
}

// SetMaxConnections changes the largest number of open connections; values below 1 count as 1.
func (p *Pool) SetMaxConnections(n int) {
	n = max(n, 1)
	p.maxConnections.Store(int32(n))
	p.host.SetMaxConns(n)
	if p.host.ConnsCount() > n {
		p.host.CloseIdleConnections()
	}
}

// MaxConnections returns the largest number of open connections.
func (p *Pool) MaxConnections() int { return int(p.maxConnections.Load()) }

// CloseIdleConnections closes the idle connections.
func (p *Pool) CloseIdleConnections() { p.host.CloseIdleConnections() }

// Call is a request with its limits.
type Call struct {
	Request  *fasthttp.Request
	Response *fasthttp.Response
	// Timeout bounds the call, in addition to the deadline of the context.
	Timeout time.Duration
	// MaxTime, if set, lets the call go on beyond Timeout for as long as bytes of the answer arrive at least each Timeout, but
	// not longer than MaxTime: a slow link is not a lost host.
	MaxTime time.Duration
	// Probe requests a check of the connection if it was idle for Config.ProbeAfter.
	Probe bool
	// Prepare, if set, is called before the request is written, with the number of the connection that will carry it. No two
	// connections of a process have the same number. It may change the request; if it returns an error, nothing is sent.
	Prepare func(connection uint64) error
	// CheckResponse returns an error if the answer doesn't belong to this request. The connection is closed then, since
	// later answers on it can't be trusted either.
	CheckResponse func(resp *fasthttp.Response) error
}

// Do sends the request once and reads the whole answer; the error wraps ErrNotSent or ErrNoAnswer. If the call fails,
// its connection is closed.
func (p *Pool) Do(ctx context.Context, call Call) error {
	deadline := time.Now().Add(call.Timeout)
	if limit, ok := ctx.Deadline(); ok && limit.Before(deadline) {
		deadline = limit
	}
	conn, err := p.acquire(ctx, deadline, call.Probe)
	if err != nil {
		return fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	if call.Prepare != nil {
		if err := call.Prepare(conn.number()); err != nil {
			conn.release()
			return fmt.Errorf("%w: %w", ErrNotSent, err)
		}
	}
	stopInterrupt := context.AfterFunc(ctx, conn.interrupt)
	conn.progress = progress{timeout: call.Timeout, limit: time.Now().Add(call.MaxTime)}
	sent, err := conn.exchange(ctx, call.Request, call.Response, deadline)
	// Once started, the interruption may set the deadline of the connection at any later time, so the connection can't
	// be reused.
	interrupted := !stopInterrupt()
	p.countTimeout(ctx, err)
	if err == nil && call.CheckResponse != nil {
		err = call.CheckResponse(call.Response)
	}
	switch {
	case err == nil && !interrupted && !conn.unreadBytes && !call.Response.ConnectionClose():
		conn.release()
		return nil
	case err == nil:
		conn.close()
		return nil
	}
	conn.close()
	if cause := ctx.Err(); cause != nil {
		err = fmt.Errorf("%w: %w", cause, err)
	}
	if !sent {
		return fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	return fmt.Errorf("%w: %w", ErrNoAnswer, err)
}

// countTimeout counts consecutive timeouts and closes the idle connections at MaxTimeouts. It ignores calls that were
// cancelled by their callers.
func (p *Pool) countTimeout(ctx context.Context, err error) {
	var failure interface{ Timeout() bool }
	switch {
	case errors.Is(ctx.Err(), context.Canceled):
	case err == nil || !errors.As(err, &failure) || !failure.Timeout():
		p.timeouts.Store(0)
	case int(p.timeouts.Add(1)) >= p.cfg.MaxTimeouts:
		p.timeouts.Store(0)
		p.CloseIdleConnections()
	}
}
