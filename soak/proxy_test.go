package soak

import (
	"io"
	"net"
	"sync"
	"time"
)

// mode is how a link misbehaves.
type mode string

const (
	linkWell mode = ""
	// linkDelay holds each piece of data for a while.
	linkDelay mode = "delay"
	// linkReset resets all connections.
	linkReset mode = "reset"
	// linkSilent delivers nothing, in either direction.
	linkSilent mode = "silent"
	// linkDeaf delivers what is sent, but no answers.
	linkDeaf mode = "deaf"
)

// linkLatency is what linkDelay adds to each piece of data.
const linkLatency = 150 * time.Millisecond

// proxy stands between a process and another address and makes the link misbehave.
type proxy struct {
	listener net.Listener
	target   string

	mu    sync.Mutex
	mode  mode
	conns map[net.Conn]bool
}

func newProxy(target string) (*proxy, error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &proxy{listener: listener, target: target, conns: make(map[net.Conn]bool)}
	go p.run()
	return p, nil
}

func (p *proxy) address() string { return p.listener.Addr().String() }

func (p *proxy) close() {
	_ = p.listener.Close()
	p.set(linkReset)
}

// set changes the mode; connections that were silent stay open and never recover their lost bytes.
func (p *proxy) set(m mode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	before := p.mode
	p.mode = m
	if m == linkReset || before == linkSilent || before == linkDeaf {
		for conn := range p.conns {
			_ = conn.Close()
		}
	}
}

func (p *proxy) current() mode {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.mode
}

func (p *proxy) track(conn net.Conn, open bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if open {
		p.conns[conn] = true
	} else {
		delete(p.conns, conn)
	}
}

func (p *proxy) run() {
	for {
		conn, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.runConn(conn)
	}
}

func (p *proxy) runConn(conn net.Conn) {
	p.track(conn, true)
	defer p.track(conn, false)
	defer conn.Close()
	if p.current() == linkReset {
		return
	}
	out, err := net.DialTimeout("tcp4", p.target, time.Second)
	if err != nil {
		return
	}
	defer out.Close()
	done := make(chan struct{})
	go p.runPipe(out, conn, true, done)
	go p.runPipe(conn, out, false, done)
	<-done
}

// runPipe copies one direction; forward is the way to the target.
func (p *proxy) runPipe(to io.Writer, from io.Reader, forward bool, done chan<- struct{}) {
	defer func() {
		select {
		case done <- struct{}{}:
		default:
		}
	}()
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		if err != nil {
			return
		}
		switch m := p.current(); {
		case m == linkSilent, m == linkDeaf && !forward:
			continue
		case m == linkDelay:
			time.Sleep(linkLatency)
		}
		if _, err := to.Write(buffer[:n]); err != nil {
			return
		}
	}
}
