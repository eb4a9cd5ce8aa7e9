package httpc

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
	"syscall"
	"time"

	"github.com/valyala/fasthttp"
)

var (
	errStale    = errors.New("idle connection was closed by the host or has unread bytes")
	errDeadline = fmt.Errorf("deadline passed before the request was sent: %w", context.DeadlineExceeded)
	errProbe    = errors.New("unexpected answer to the probe")
)

// pooledConn is a connection taken from the pool.
type pooledConn struct {
	pool *Pool
	conn net.Conn
	// unreadBytes is set if bytes follow the answer: they would be read as a part of the next answer.
	unreadBytes bool
	progress    progress
	release     func()
	close       func()
}

// acquire returns a connection that passes the checks. It tries the idle ones first and then opens a new one.
func (p *Pool) acquire(ctx context.Context, deadline time.Time, probe bool) (*pooledConn, error) {
	for {
		if err := ctx.Err(); err != nil {
			return nil, err
		}
		left := time.Until(deadline)
		if left <= 0 {
			return nil, errDeadline
		}
		pooled, err := p.host.AcquireConn(left, false)
		if err != nil {
			return nil, err
		}
		c := &pooledConn{
			pool: p, conn: pooled.Conn(),
			release: func() { p.host.ReleaseConn(pooled) },
			close:   func() { p.host.CloseConn(pooled) },
		}
		used := pooled.LastUseTime()
		if used.IsZero() {
			return c, nil
		}
		err = c.checkIdle()
		if err == nil && probe && time.Since(used) > p.cfg.ProbeAfter {
			err = c.probe(ctx, deadline)
			p.countTimeout(ctx, err)
		}
		if err == nil {
			return c, nil
		}
		c.close()
	}
}

// number returns the number of the connection, or 0 if it has none.
func (c *pooledConn) number() uint64 {
	if numbered, ok := c.conn.(numberedConn); ok {
		return numbered.number
	}
	return 0
}

// checkIdle detects, without waiting, that the host closed the connection or sent bytes that belong to no request.
func (c *pooledConn) checkIdle() error {
	raw, ok := c.conn.(syscall.Conn)
	if !ok {
		return nil
	}
	if err := c.conn.SetDeadline(time.Time{}); err != nil {
		return err
	}
	control, err := raw.SyscallConn()
	if err != nil {
		return err
	}
	result := errStale
	err = control.Read(func(fd uintptr) bool {
		var one [1]byte
		_, _, peek := syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		if errors.Is(peek, syscall.EAGAIN) {
			result = nil
		}
		return true
	})
	if err != nil {
		return err
	}
	return result
}

// probe checks with a request that the connection still transmits data in both directions.
func (c *pooledConn) probe(ctx context.Context, deadline time.Time) error {
	limit := time.Now().Add(c.pool.cfg.ProbeTimeout)
	if limit.After(deadline) {
		limit = deadline
	}
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.Header.SetMethod(fasthttp.MethodGet)
	req.SetRequestURI("http://" + c.pool.cfg.Address + c.pool.cfg.ProbePath)
	if _, err := c.exchange(ctx, req, resp, limit); err != nil {
		return err
	}
	if c.unreadBytes || resp.ConnectionClose() || resp.StatusCode() != fasthttp.StatusOK {
		return errProbe
	}
	return nil
}

// interrupt makes a running exchange fail at once.
func (c *pooledConn) interrupt() { _ = c.conn.SetDeadline(time.Unix(1, 0)) }

// exchange writes the request and reads the answer; it returns false only if no byte was passed to the network.
func (c *pooledConn) exchange(ctx context.Context, req *fasthttp.Request, resp *fasthttp.Response, deadline time.Time) (bool, error) {
	if err := c.conn.SetDeadline(deadline); err != nil {
		return false, err
	}
	// SetDeadline has undone any earlier interruption.
	if err := ctx.Err(); err != nil {
		return false, err
	}
	counting := &countingConn{Conn: c.conn}
	writer := c.pool.host.AcquireWriter(counting)
	err := writeRequest(req, writer)
	c.pool.host.ReleaseWriter(writer)
	if err != nil {
		return counting.written > 0, err
	}
	reader := c.pool.host.AcquireReader(&progressConn{Conn: c.conn, ctx: ctx, deadline: deadline, progress: c.progress})
	defer c.pool.host.ReleaseReader(reader)
	resp.Reset()
	if err := resp.ReadLimitBody(reader, c.pool.cfg.MaxBody); err != nil {
		return true, err
	}
	c.unreadBytes = reader.Buffered() > 0
	return true, nil
}

// progress tells how long a read may go on while bytes arrive: until the limit, with at most timeout between them. A limit
// before the call's deadline has no effect.
type progress struct {
	timeout time.Duration
	limit   time.Time
}

// progressConn extends the deadline of its connection whenever bytes arrive.
type progressConn struct {
	net.Conn
	ctx      context.Context
	deadline time.Time
	progress progress
}

func (c *progressConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if err != nil || !c.progress.limit.After(c.deadline) {
		return n, err
	}
	next := time.Now().Add(c.progress.timeout)
	if next.After(c.progress.limit) {
		next = c.progress.limit
	}
	if next.After(c.deadline) {
		c.deadline = next
		if err := c.SetDeadline(next); err != nil {
			return n, err
		}
		// The extension may have undone an interruption.
		return n, c.ctx.Err()
	}
	return n, nil
}

func writeRequest(req *fasthttp.Request, writer *bufio.Writer) error {
	if err := req.Write(writer); err != nil {
		return err
	}
	return writer.Flush()
}

// countingConn counts the bytes written to the network.
type countingConn struct {
	net.Conn
	written int
}

// Write writes to the connection and counts the bytes.
func (c *countingConn) Write(data []byte) (int, error) {
	n, err := c.Conn.Write(data)
	c.written += n
	return n, err
}
