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

// pool holds the connections to each peer address.
type pool struct {
	cfg ClientConfig

	mu        sync.Mutex
	byAddress map[string]*peerConns
}

// peerConns holds the connections to one peer and counts its calls. Each peer has a transport of its own, because idle
// connections can only be closed for a whole transport.
type peerConns struct {
	transport *http.Transport
	peer      peerpb.Peer

	mu       sync.Mutex
	calls    int64
	failures int64
	lastErr  string
}

func newPool(cfg ClientConfig) *pool {
	return &pool{cfg: cfg, byAddress: make(map[string]*peerConns)}
}

// connsTo returns the connections to a peer, and creates the transport if there is none.
func (p *pool) connsTo(address string) *peerConns {
	p.mu.Lock()
	defer p.mu.Unlock()
	if existing, ok := p.byAddress[address]; ok {
		return existing
	}
	dialer := &net.Dialer{Timeout: p.cfg.DialTimeout}
	transport := &http.Transport{
		DialContext:         dialer.DialContext,
		MaxIdleConns:        p.cfg.IdleConnections,
		MaxIdleConnsPerHost: p.cfg.IdleConnections,
		IdleConnTimeout:     p.cfg.IdleTimeout,
		// Bodies are small protobuf messages or snapshots that are compressed already.
		DisableCompression: true,
	}
	conns := &peerConns{transport: transport}
	conns.peer = peerpb.NewPeerProtobufClient("http://"+address, &http.Client{Transport: transport},
		twirp.WithClientPathPrefix(pathPrefix))
	p.byAddress[address] = conns
	return conns
}

// retain removes all peers except those at addresses and closes the idle connections to them.
func (p *pool) retain(addresses []string) {
	keep := make(map[string]bool, len(addresses))
	for _, address := range addresses {
		keep[address] = true
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, conns := range p.byAddress {
		if !keep[address] {
			conns.transport.CloseIdleConnections()
			delete(p.byAddress, address)
		}
	}
}

// peerConnsDump is the part of the state dump about one peer.
type peerConnsDump struct {
	Calls     int64  `json:"calls"`
	Failures  int64  `json:"failures"`
	LastError string `json:"last-error,omitempty"`
}

func (p *pool) dump() map[string]peerConnsDump {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := make(map[string]peerConnsDump, len(p.byAddress))
	for address, conns := range p.byAddress {
		out[address] = conns.dump()
	}
	return out
}

func (c *peerConns) dump() peerConnsDump {
	c.mu.Lock()
	defer c.mu.Unlock()
	return peerConnsDump{Calls: c.calls, Failures: c.failures, LastError: c.lastErr}
}

// recordCall records the result of a call. After a timeout it closes the idle connections: a network device that lost
// the state of one connection has probably lost that of the others to the same peer too.
func (c *peerConns) recordCall(name string, took time.Duration, err error) {
	metrics.GetOrCreateCounter(fmt.Sprintf(`aw_peer_calls_total{call=%q}`, name)).Inc()
	metrics.GetOrCreateHistogram(fmt.Sprintf(`aw_peer_call_seconds{call=%q}`, name)).Update(took.Seconds())
	c.mu.Lock()
	c.calls++
	if err != nil {
		c.failures++
		c.lastErr = err.Error()
	}
	c.mu.Unlock()
	if err == nil {
		return
	}
	metrics.GetOrCreateCounter(fmt.Sprintf(`aw_peer_failures_total{call=%q}`, name)).Inc()
	if isTimeout(err) {
		c.transport.CloseIdleConnections()
	}
}

// hadNoEffect reports whether the peer itself answered that the append had no effect.
func hadNoEffect(err error) bool {
	return errors.Is(err, ports.ErrUnavailable) || errors.Is(err, ports.ErrThrottled)
}
