package meter

import (
	"fmt"
	"io"
	"net"
	"sync"
	"sync/atomic"
)

// Bytes counts what connections carried in both directions, without the headers of TCP and IP.
type Bytes struct{ in, out atomic.Int64 }

// Total returns the bytes of both directions.
func (b *Bytes) Total() int64 { return b.in.Load() + b.out.Load() }

// Listen wraps a listener so that its connections are counted.
func (b *Bytes) Listen(inner net.Listener) net.Listener { return listener{Listener: inner, bytes: b} }

type listener struct {
	net.Listener
	bytes *Bytes
}

// Accept implements net.Listener.
func (l listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return conn{Conn: c, bytes: l.bytes}, nil
}

type conn struct {
	net.Conn
	bytes *Bytes
}

// Read implements net.Conn.
func (c conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.in.Add(int64(n))
	return n, err
}

// Write implements net.Conn.
func (c conn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.bytes.out.Add(int64(n))
	return n, err
}

// Relay forwards connections to one address and counts their bytes.
type Relay struct {
	Bytes
	listener net.Listener
	target   string
	open     sync.WaitGroup
}

// NewRelay starts a relay on a free loopback port.
func NewRelay(target string) (*Relay, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("listening for the relay: %w", err)
	}
	r := &Relay{listener: l, target: target}
	r.open.Go(r.runAccept)
	return r, nil
}

// Address returns host:port of the relay.
func (r *Relay) Address() string { return r.listener.Addr().String() }

// Close stops the relay; it returns once the connections are closed by their callers.
func (r *Relay) Close() {
	_ = r.listener.Close()
	r.open.Wait()
}

func (r *Relay) runAccept() {
	for {
		near, err := r.Listen(r.listener).Accept()
		if err != nil {
			return
		}
		r.open.Go(func() { r.runForward(near) })
	}
}

func (r *Relay) runForward(near net.Conn) {
	defer func() { _ = near.Close() }()
	far, err := net.Dial("tcp", r.target)
	if err != nil {
		return
	}
	defer func() { _ = far.Close() }()
	r.open.Go(func() {
		_, _ = io.Copy(near, far)
		_ = near.Close()
	})
	_, _ = io.Copy(far, near)
}
