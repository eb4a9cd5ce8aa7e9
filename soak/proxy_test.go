package soak

import (
	"io"
	"net"
	"sync"
	"time"
)

// linkMode is the fault that a proxy injects into its connections.
type linkMode string

const (
	linkHealthy linkMode = ""
	// linkDelay delays each piece of data by linkLatency.
	linkDelay linkMode = "delay"
	// linkReset closes all connections.
	linkReset linkMode = "reset"
	// linkNoData drops the data in both directions.
	linkNoData linkMode = "silent"
	// linkNoAnswers delivers what is sent to the target, but drops the answers.
	linkNoAnswers linkMode = "deaf"
)

// linkLatency is what linkDelay adds to each piece of data.
const linkLatency = 150 * time.Millisecond

// proxy forwards connections to a target address and injects faults into them.
type proxy struct {
	listener net.Listener
	target   string

	mu    sync.Mutex
	mode  linkMode
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

// set changes the mode. It closes all connections if the new mode is linkReset, or if data may have been dropped in them.
func (p *proxy) set(m linkMode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	previous := p.mode
	p.mode = m
	if m == linkReset || previous == linkNoData || previous == linkNoAnswers {
		for conn := range p.conns {
			_ = conn.Close()
		}
	}
}

func (p *proxy) current() linkMode {
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
	upstream, err := net.DialTimeout("tcp4", p.target, time.Second)
	if err != nil {
		return
	}
	defer upstream.Close()
	done := make(chan struct{})
	go p.runCopy(upstream, conn, true, done)
	go p.runCopy(conn, upstream, false, done)
	<-done
}

// runCopy copies data in one direction; forward is set for the direction to the target.
func (p *proxy) runCopy(to io.Writer, from io.Reader, forward bool, done chan<- struct{}) {
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
		case m == linkNoData, m == linkNoAnswers && !forward:
			continue
		case m == linkDelay:
			time.Sleep(linkLatency)
		}
		if _, err := to.Write(buffer[:n]); err != nil {
			return
		}
	}
}
