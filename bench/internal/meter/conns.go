package meter

import (
	"fmt"
	"io"
	"net"
	"sync"
	"sync/atomic"
)

// Bytes counts the payload bytes of connections in both directions, without TCP and IP headers.
type Bytes struct{ in, out atomic.Int64 }

// Total returns the bytes of both directions.
func (b *Bytes) Total() int64 { return b.in.Load() + b.out.Load() }

// Listen wraps a listener so that the bytes of its connections are counted.
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
	running  sync.WaitGroup
}

// NewRelay starts a relay on a free loopback port.
func NewRelay(target string) (*Relay, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("listening for the relay: %w", err)
	}
	r := &Relay{listener: l, target: target}
	r.running.Go(r.runAccept)
	return r, nil
}

// Address returns host:port of the relay.
func (r *Relay) Address() string { return r.listener.Addr().String() }

// Close stops the relay; it returns once the clients have closed their connections.
func (r *Relay) Close() {
	_ = r.listener.Close()
	r.running.Wait()
}

func (r *Relay) runAccept() {
	for {
		client, err := r.Listen(r.listener).Accept()
		if err != nil {
			return
		}
		r.running.Go(func() { r.runForward(client) })
	}
}

func (r *Relay) runForward(client net.Conn) {
	defer func() { _ = client.Close() }()
	server, err := net.Dial("tcp", r.target)
	if err != nil {
		return
	}
	defer func() { _ = server.Close() }()
	r.running.Go(func() {
		_, _ = io.Copy(client, server)
		_ = client.Close()
	})
	_, _ = io.Copy(server, client)
}
