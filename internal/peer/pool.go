package peer

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/twitchtv/twirp"

	"arbutuswing.example/internal/peerpb"
	"arbutuswing.example/internal/ports"
)

// pool holds one link for each peer address.
type pool struct {
	cfg ClientConfig

	mu    sync.Mutex
	links map[string]*link
}

// link is one peer's connections; each has a transport of its own, so that closing idle connections to one peer
// leaves those to the others.
type link struct {
	transport *http.Transport
	peer      peerpb.Peer

	mu       sync.Mutex
	calls    int64
	failures int64
	lastErr  string
}

func newPool(cfg ClientConfig) *pool {
	return &pool{cfg: cfg, links: make(map[string]*link)}
}

func (p *pool) link(address string) *link {
	p.mu.Lock()
	defer p.mu.Unlock()
	if found, ok := p.links[address]; ok {
		return found
	}
	dialer := &net.Dialer{Timeout: p.cfg.DialTimeout}
	transport := &http.Transport{
		DialContext:         dialer.DialContext,
		MaxIdleConns:        p.cfg.IdleConnections,
		MaxIdleConnsPerHost: p.cfg.IdleConnections,
		IdleConnTimeout:     p.cfg.IdleTimeout,
		// Bodies are small protobuf messages or already compressed snapshots.
		DisableCompression: true,
	}
	made := &link{transport: transport}
	made.peer = peerpb.NewPeerProtobufClient("http://"+address, &http.Client{Transport: transport},
		twirp.WithClientPathPrefix(pathPrefix))
	p.links[address] = made
	return made
}

func (p *pool) retain(addresses []string) {
	keep := make(map[string]bool, len(addresses))
	for _, address := range addresses {
		keep[address] = true
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, found := range p.links {
		if !keep[address] {
			found.transport.CloseIdleConnections()
			delete(p.links, address)
		}
	}
}

// linkDump is a link's part of the state dump.
type linkDump struct {
	Calls     int64  `json:"calls"`
	Failures  int64  `json:"failures"`
	LastError string `json:"last-error,omitempty"`
}

func (p *pool) dump() map[string]linkDump {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := make(map[string]linkDump, len(p.links))
	for address, found := range p.links {
		out[address] = found.dump()
	}
	return out
}

func (l *link) dump() linkDump {
	l.mu.Lock()
	defer l.mu.Unlock()
	return linkDump{Calls: l.calls, Failures: l.failures, LastError: l.lastErr}
}

// finish records the end of a call. After a time-out the idle connections are closed: what made one connection silent
// (a device that lost its connection state) has most likely silenced the others to the same peer.
func (l *link) finish(name string, took time.Duration, err error) {
	metrics.GetOrCreateCounter(fmt.Sprintf(`aw_peer_calls_total{call=%q}`, name)).Inc()
	metrics.GetOrCreateHistogram(fmt.Sprintf(`aw_peer_call_seconds{call=%q}`, name)).Update(took.Seconds())
	l.mu.Lock()
	l.calls++
	if err != nil {
		l.failures++
		l.lastErr = err.Error()
	}
	l.mu.Unlock()
	if err == nil {
		return
	}
	metrics.GetOrCreateCounter(fmt.Sprintf(`aw_peer_failures_total{call=%q}`, name)).Inc()
	if timedOut(err) {
		l.transport.CloseIdleConnections()
	}
}

// isCertain reports whether the peer itself answered that the append had no effect.
func isCertain(err error) bool {
	return errors.Is(err, ports.ErrUnavailable) || errors.Is(err, ports.ErrThrottled)
}
