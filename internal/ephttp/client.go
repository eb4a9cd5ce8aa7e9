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

// Headers of requests and answers between entry instances and endpoints.
const (
	HeaderAttempt = "Attempt-Id"
	// HeaderRequest is the client's request ID, if there is one.
	HeaderRequest = "Request-Id"
	HeaderClass   = "Class"
	HeaderTeam    = "Team"
	// HeaderBusy is the endpoint's number of busy slots.
	HeaderBusy = "Busy-Slots"
	// HeaderLeaving is "true" if a leaving endpoint refuses a request.
	HeaderLeaving = "Leaving"
	// HeaderRefused is "connections" if an endpoint refuses a connection beyond its limit.
	HeaderRefused = "Refused"
)

// Values of headers.
const (
	LeavingTrue        = "true"
	RefusedConnections = "connections"
)

// PathRun is the path of requests to endpoints.
const PathRun = "/run"

// ErrConfig reports an unusable configuration.
var ErrConfig = errors.New("invalid configuration of the endpoint client")

// The texts of these errors are sent to clients.
var (
	errWrongAttempt = errors.New("answer is not for this attempt")
	errWrongLength  = errors.New("answer does not state its length")
)

const (
	defaultMaxConnections = 60
	// poolIdleTime is how long the pool of an endpoint is kept after its last use.
	poolIdleTime = 5 * time.Minute
)

// Config configures a Client.
type Config struct {
	// MaxConnections is the initial limit of connections per endpoint.
	MaxConnections int
	// MaxAnswer is the largest body of an answer in bytes; zero means 64 MiB.
	MaxAnswer int
	// ProbeAfter is how long a connection must have been idle for a call with Probe set to check it; zero means 1 s.
	ProbeAfter time.Duration
	// ProbeTimeout is the time limit of the check; zero means 200 ms.
	ProbeTimeout time.Duration
	// MaxTimeouts is the number of consecutive timeouts after which an endpoint's idle connections are closed; zero
	// means 2.
	MaxTimeouts int
}

// WithDefaults returns the configuration with defaults for unset fields.
func (c Config) WithDefaults() Config {
	c.MaxConnections = cmp.Or(c.MaxConnections, defaultMaxConnections)
	return c
}

// Check returns ErrConfig for an unusable configuration.
func (c Config) Check() error {
	if c.MaxConnections < 1 || c.MaxAnswer < 0 || c.ProbeAfter < 0 || c.ProbeTimeout < 0 || c.MaxTimeouts < 0 {
		return fmt.Errorf("%w: limits must be positive", ErrConfig)
	}
	return nil
}

type endpointPool struct {
	*httpc.Pool
	lastUsed time.Time
}

// Client sends requests to endpoints; it implements ports.Endpoint.
type Client struct {
	cfg Config

	mu             sync.Mutex
	maxConnections int
	pools          map[string]*endpointPool
}

var _ ports.Endpoint = (*Client)(nil)

// New returns a client without open connections. It returns ErrConfig for an unusable configuration.
func New(cfg Config) (*Client, error) {
	cfg = cfg.WithDefaults()
	if err := cfg.Check(); err != nil {
		return nil, err
	}
	return &Client{cfg: cfg, maxConnections: cfg.MaxConnections, pools: make(map[string]*endpointPool)}, nil
}

// SetMaxConnections changes the limit of connections per endpoint; values below 1 count as 1.
func (c *Client) SetMaxConnections(n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.maxConnections = max(n, 1)
	for _, pool := range c.pools {
		pool.SetMaxConnections(c.maxConnections)
	}
}

// CloseIdleConnections closes the idle connections to address.
func (c *Client) CloseIdleConnections(address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if pool, ok := c.pools[address]; ok {
		pool.CloseIdleConnections()
	}
}

func (c *Client) pool(address string) (*httpc.Pool, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	if known, ok := c.pools[address]; ok {
		known.lastUsed = now
		return known.Pool, nil
	}
	c.dropUnusedPools(now)
	pool, err := httpc.New(httpc.Config{
		Address: address, MaxConnections: c.maxConnections, MaxBody: c.cfg.MaxAnswer,
		ProbeAfter: c.cfg.ProbeAfter, ProbeTimeout: c.cfg.ProbeTimeout, MaxTimeouts: c.cfg.MaxTimeouts,
	})
	if err != nil {
		return nil, err
	}
	c.pools[address] = &endpointPool{Pool: pool, lastUsed: now}
	return pool, nil
}

// dropUnusedPools drops the pools of endpoints that are no longer used: endpoints are replaced daily.
func (c *Client) dropUnusedPools(now time.Time) {
	for address, pool := range c.pools {
		if now.Sub(pool.lastUsed) > poolIdleTime {
			pool.CloseIdleConnections()
			delete(c.pools, address)
		}
	}
}

// Send sends one attempt, without any retry. The error of a refusal comes with an Answer that holds the status and the
// busy slots.
func (c *Client) Send(ctx context.Context, call ports.Call) (ports.Answer, error) {
	pool, err := c.pool(call.Address)
	if err != nil {
		return ports.Answer{}, fmt.Errorf("%w: %w", ports.ErrNotSent, err)
	}
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	fillRequest(req, call)
	err = pool.Do(ctx, httpc.Call{
		Request: req, Response: resp, Timeout: call.Timeout, Probe: call.Probe,
		CheckResponse: func(resp *fasthttp.Response) error { return checkAnswer(resp, call.Attempt) },
	})
	switch {
	case errors.Is(err, httpc.ErrNotSent):
		return ports.Answer{}, fmt.Errorf("%w: %s: %w", ports.ErrNotSent, call.Address, err)
	case err != nil:
		return ports.Answer{}, fmt.Errorf("%w: %s: %w", ports.ErrNoAnswer, call.Address, err)
	}
	return readAnswer(resp, call.Address)
}

func fillRequest(req *fasthttp.Request, call ports.Call) {
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

// checkAnswer checks that an answer is complete and belongs to the attempt. It checks refusals too, since the refusal
// of another attempt doesn't show that this one did not run.
func checkAnswer(resp *fasthttp.Response, attempt string) error {
	if got := string(resp.Header.Peek(HeaderAttempt)); got != attempt {
		return fmt.Errorf("%w: got %q, want %q", errWrongAttempt, got, attempt)
	}
	// Without a stated length, a broken connection looks like the end of the answer.
	if length := resp.Header.ContentLength(); length < 0 || length != len(resp.Body()) {
		return fmt.Errorf("%w: %d stated, %d read", errWrongLength, length, len(resp.Body()))
	}
	return nil
}

func readAnswer(resp *fasthttp.Response, address string) (ports.Answer, error) {
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
