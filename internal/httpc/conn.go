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
	errStale    = errors.New("idle connection was closed or holds unread bytes")
	errDeadline = fmt.Errorf("deadline passed before the request was sent: %w", context.DeadlineExceeded)
	errProbe    = errors.New("unexpected answer to the probe")
)

// link is one connection taken from the pool.
type link struct {
	pool *Pool
	conn net.Conn
	// dirty is set when bytes follow the answer, so that the next answer would be read wrongly.
	dirty   bool
	release func()
	close   func()
}

// acquire returns a connection that looks usable; it tries pooled ones until none is left and then opens a new one.
func (p *Pool) acquire(ctx context.Context, deadline time.Time, probe bool) (*link, error) {
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
		l := &link{
			pool: p, conn: pooled.Conn(),
			release: func() { p.host.ReleaseConn(pooled) },
			close:   func() { p.host.CloseConn(pooled) },
		}
		used := pooled.LastUseTime()
		if used.IsZero() {
			return l, nil
		}
		err = l.checkIdle()
		if err == nil && probe && time.Since(used) > p.cfg.ProbeAfter {
			err = l.probe(ctx, deadline)
			p.countTimeout(ctx, err)
		}
		if err == nil {
			return l, nil
		}
		l.close()
	}
}

// checkIdle detects without waiting that the host closed the connection or sent an answer that nobody waits for.
func (l *link) checkIdle() error {
	raw, ok := l.conn.(syscall.Conn)
	if !ok {
		return nil
	}
	if err := l.conn.SetDeadline(time.Time{}); err != nil {
		return err
	}
	control, err := raw.SyscallConn()
	if err != nil {
		return err
	}
	state := errStale
	err = control.Read(func(fd uintptr) bool {
		var one [1]byte
		_, _, peek := syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		if errors.Is(peek, syscall.EAGAIN) {
			state = nil
		}
		return true
	})
	if err != nil {
		return err
	}
	return state
}

// probe checks that the connection still delivers traffic in both directions.
func (l *link) probe(ctx context.Context, deadline time.Time) error {
	limit := time.Now().Add(l.pool.cfg.ProbeTimeout)
	if limit.After(deadline) {
		limit = deadline
	}
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.Header.SetMethod(fasthttp.MethodGet)
	req.SetRequestURI("http://" + l.pool.cfg.Address + l.pool.cfg.ProbePath)
	if _, err := l.exchange(ctx, req, resp, limit); err != nil {
		return err
	}
	if l.dirty || resp.ConnectionClose() || resp.StatusCode() != fasthttp.StatusOK {
		return errProbe
	}
	return nil
}

// interrupt ends the exchange on the connection early.
func (l *link) interrupt() { _ = l.conn.SetDeadline(time.Unix(1, 0)) }

// exchange writes the request and reads the answer; sent is false only if no byte was handed to the network.
func (l *link) exchange(ctx context.Context, req *fasthttp.Request, resp *fasthttp.Response, deadline time.Time) (bool, error) {
	if err := l.conn.SetDeadline(deadline); err != nil {
		return false, err
	}
	// An interruption before this point was undone by the new deadline.
	if err := ctx.Err(); err != nil {
		return false, err
	}
	counted := &countedConn{Conn: l.conn}
	writer := l.pool.host.AcquireWriter(counted)
	err := writeRequest(req, writer)
	l.pool.host.ReleaseWriter(writer)
	if err != nil {
		return counted.written > 0, err
	}
	reader := l.pool.host.AcquireReader(l.conn)
	defer l.pool.host.ReleaseReader(reader)
	resp.Reset()
	if err := resp.ReadLimitBody(reader, l.pool.cfg.MaxBody); err != nil {
		return true, err
	}
	l.dirty = reader.Buffered() > 0
	return true, nil
}

func writeRequest(req *fasthttp.Request, writer *bufio.Writer) error {
	if err := req.Write(writer); err != nil {
		return err
	}
	return writer.Flush()
}

// countedConn counts the bytes that the network took.
type countedConn struct {
	net.Conn
	written int
}

// Write writes to the connection and counts.
func (c *countedConn) Write(data []byte) (int, error) {
	n, err := c.Conn.Write(data)
	c.written += n
	return n, err
}
