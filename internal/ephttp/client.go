package ephttp

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"strconv"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"arbutuswing.example/internal/httpc"
	"arbutuswing.example/internal/ports"
)

// Headers between entry instances and endpoints.
const (
	HeaderAttempt = "Attempt-Id"
	// HeaderRequest is the caller's request ID, if there is one.
	HeaderRequest = "Request-Id"
	HeaderClass   = "Class"
	HeaderTeam    = "Team"
	// HeaderBusy is the number of busy slots.
	HeaderBusy = "Busy-Slots"
	// HeaderLeaving is "true" in a refusal by a leaving endpoint.
	HeaderLeaving = "Leaving"
	// HeaderRefused is "connections" in a refusal of a connection beyond the endpoint's limit.
	HeaderRefused = "Refused"
)

// Values of headers.
const (
	LeavingTrue        = "true"
	RefusedConnections = "connections"
)

// PathRun is where endpoints take requests.
const PathRun = "/run"

// ErrBadConfig reports an unusable configuration.
var ErrBadConfig = errors.New("bad configuration of the endpoint adapter")

var (
	errAttempt = errors.New("answer is not for this attempt")
	errLength  = errors.New("answer does not state its length")
)

const (
	defaultConnections = 60
	// unusedFor is how long the pool of an endpoint is kept after its last use.
	unusedFor = 5 * time.Minute
)

// Config describes the adapter.
type Config struct {
	// Connections is the most connections per endpoint at the start.
	Connections int
	// MaxAnswer bounds an answer's body in bytes; zero means 64 MiB.
	MaxAnswer int
	// ProbeIdle is how long a connection is idle before a call with Probe set checks it; zero means 1 s.
	ProbeIdle time.Duration
	// ProbeTimeout bounds the check; zero means 200 ms.
	ProbeTimeout time.Duration
	// SilentAfter is how many time-outs in a row close an endpoint's idle connections; zero means 2.
	SilentAfter int
}

// WithDefaults returns the configuration with defaults for what is unset.
func (c Config) WithDefaults() Config {
	c.Connections = cmp.Or(c.Connections, defaultConnections)
	return c
}

// Check returns ErrBadConfig for an unusable configuration.
func (c Config) Check() error {
	if c.Connections < 1 || c.MaxAnswer < 0 || c.ProbeIdle < 0 || c.ProbeTimeout < 0 || c.SilentAfter < 0 {
		return fmt.Errorf("%w: limits must be positive", ErrBadConfig)
	}
	return nil
}

type usedPool struct {
	*httpc.Pool
	used time.Time
}

// Client sends requests to endpoints; it implements ports.Endpoint.
type Client struct {
	cfg Config

	mu          sync.Mutex
	connections int
	pools       map[string]*usedPool
}

var _ ports.Endpoint = (*Client)(nil)

// New returns a client; it opens no connection yet.
func New(cfg Config) (*Client, error) {
	cfg = cfg.WithDefaults()
	if err := cfg.Check(); err != nil {
		return nil, err
	}
	return &Client{cfg: cfg, connections: cfg.Connections, pools: make(map[string]*usedPool)}, nil
}

// SetConnections changes the most connections per endpoint, at least 1.
func (c *Client) SetConnections(n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.connections = max(n, 1)
	for _, pool := range c.pools {
		pool.SetConnections(c.connections)
	}
}

// CloseIdleConnections closes idle connections to address.
func (c *Client) CloseIdleConnections(address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if pool, ok := c.pools[address]; ok {
		pool.Forget()
	}
}

func (c *Client) pool(address string) (*httpc.Pool, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	if known, ok := c.pools[address]; ok {
		known.used = now
		return known.Pool, nil
	}
	c.sweep(now)
	pool, err := httpc.New(httpc.Config{
		Address: address, Connections: c.connections, MaxBody: c.cfg.MaxAnswer,
		ProbeAfter: c.cfg.ProbeIdle, ProbeTimeout: c.cfg.ProbeTimeout, SilentAfter: c.cfg.SilentAfter,
	})
	if err != nil {
		return nil, err
	}
	c.pools[address] = &usedPool{Pool: pool, used: now}
	return pool, nil
}

// sweep drops the pools of endpoints that are no longer used, since endpoints are replaced daily.
func (c *Client) sweep(now time.Time) {
	for address, pool := range c.pools {
		if now.Sub(pool.used) > unusedFor {
			pool.Forget()
			delete(c.pools, address)
		}
	}
}

// Send sends one attempt, once. A refusal's error comes with an Answer that holds the status and the busy slots.
func (c *Client) Send(ctx context.Context, call ports.Call) (ports.Answer, error) {
	pool, err := c.pool(call.Address)
	if err != nil {
		return ports.Answer{}, fmt.Errorf("%w: %w", ports.ErrNotSent, err)
	}
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	fill(req, call)
	err = pool.Do(ctx, httpc.Call{
		Request: req, Response: resp, Timeout: call.Timeout, Probe: call.Probe,
		Accept: func(resp *fasthttp.Response) error { return accept(resp, call.Attempt) },
	})
	switch {
	case errors.Is(err, httpc.ErrNotSent):
		return ports.Answer{}, fmt.Errorf("%w: %s: %w", ports.ErrNotSent, call.Address, err)
	case err != nil:
		return ports.Answer{}, fmt.Errorf("%w: %s: %w", ports.ErrNoAnswer, call.Address, err)
	}
	return read(resp, call.Address)
}

func fill(req *fasthttp.Request, call ports.Call) {
	req.Header.SetMethod(fasthttp.MethodPost)
	req.SetRequestURI("http://" + call.Address + PathRun)
	req.Header.Set(HeaderAttempt, call.Attempt)
	if call.RequestID != "" {
		req.Header.Set(HeaderRequest, call.RequestID)
	}
	req.Header.Set(HeaderClass, string(call.Class))
	req.Header.Set(HeaderTeam, string(call.Team))
	req.Header.SetContentType("application/octet-stream")
	req.SetBodyRaw(call.Body)
}

// accept checks that an answer is whole and for the attempt; refusals too, since a refusal of another attempt says
// nothing about this one.
func accept(resp *fasthttp.Response, attempt string) error {
	if got := string(resp.Header.Peek(HeaderAttempt)); got != attempt {
		return fmt.Errorf("%w: got %q, want %q", errAttempt, got, attempt)
	}
	// Without a stated length, a connection that breaks looks like the end of the answer.
	if length := resp.Header.ContentLength(); length < 0 || length != len(resp.Body()) {
		return fmt.Errorf("%w: %d stated, %d read", errLength, length, len(resp.Body()))
	}
	return nil
}

func read(resp *fasthttp.Response, address string) (ports.Answer, error) {
	answer := ports.Answer{
		Attempt: string(resp.Header.Peek(HeaderAttempt)), Status: resp.StatusCode(), ContentType: string(resp.Header.ContentType()),
		Body: append([]byte(nil), resp.Body()...),
	}
	if busy, err := strconv.Atoi(string(resp.Header.Peek(HeaderBusy))); err == nil {
		answer.Busy = max(busy, 0)
	}
	switch {
	case answer.Status == fasthttp.StatusTooManyRequests:
		return answer, fmt.Errorf("%w: %s", ports.ErrBusy, address)
	case answer.Status != fasthttp.StatusServiceUnavailable:
		return answer, nil
	case string(resp.Header.Peek(HeaderLeaving)) == LeavingTrue:
		return answer, fmt.Errorf("%w: %s", ports.ErrLeaving, address)
	case string(resp.Header.Peek(HeaderRefused)) == RefusedConnections:
		return answer, fmt.Errorf("%w: %s: connection limit", ports.ErrBusy, address)
	default:
		return answer, nil
	}
}
