package platf

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"strings"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"arbutuswing.example/internal/httpc"
	"arbutuswing.example/internal/model"
	"arbutuswing.example/internal/ports"
)

// ErrBadConfig reports an unusable configuration.
var ErrBadConfig = errors.New("bad configuration of the platform adapter")

const (
	defaultTimeout     = 2 * time.Second
	defaultConnections = 256
)

// Config describes the platform.
type Config struct {
	// Address is host:port of the log and the list; a URL's leading http:// is dropped.
	Address string
	// DataCentre is the caller's own data centre.
	DataCentre model.DataCentreID
	// Timeout bounds a call to the log or the list, beyond the wait that a read asks for.
	Timeout time.Duration
	// CommandTimeout bounds a call to a worker.
	CommandTimeout time.Duration
	// Connections is the most connections per host; further calls wait for one.
	Connections int
}

// WithDefaults returns the configuration with defaults for what is unset.
func (c Config) WithDefaults() Config {
	c.Address = strings.TrimSuffix(strings.TrimPrefix(c.Address, "http://"), "/")
	c.Timeout = cmp.Or(c.Timeout, defaultTimeout)
	c.CommandTimeout = cmp.Or(c.CommandTimeout, ports.CommandTimeout)
	c.Connections = cmp.Or(c.Connections, defaultConnections)
	return c
}

// Check returns ErrBadConfig for an unusable configuration.
func (c Config) Check() error {
	if _, _, err := net.SplitHostPort(c.Address); err != nil {
		return fmt.Errorf("%w: address: %w", ErrBadConfig, err)
	}
	if c.Timeout < 0 || c.CommandTimeout < 0 || c.Connections < 1 {
		return fmt.Errorf("%w: time-outs and connections must be positive", ErrBadConfig)
	}
	return nil
}

// Client is the platform as one data centre reaches it; it implements ports.Log, ports.Lister and ports.Worker.
type Client struct {
	cfg Config

	mu    sync.Mutex
	pools map[string]*httpc.Pool
}

var (
	_ ports.Log    = (*Client)(nil)
	_ ports.Lister = (*Client)(nil)
	_ ports.Worker = (*Client)(nil)
)

// New returns a client; it opens no connection yet.
func New(cfg Config) (*Client, error) {
	cfg = cfg.WithDefaults()
	if err := cfg.Check(); err != nil {
		return nil, err
	}
	return &Client{cfg: cfg, pools: make(map[string]*httpc.Pool)}, nil
}

// Close closes idle connections.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, pool := range c.pools {
		pool.CloseIdleConnections()
	}
}

func (c *Client) pool(host string) (*httpc.Pool, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if pool, ok := c.pools[host]; ok {
		return pool, nil
	}
	pool, err := httpc.New(httpc.Config{Address: host, MaxConnections: c.cfg.Connections, WaitForConnection: true})
	if err != nil {
		return nil, err
	}
	c.pools[host] = pool
	return pool, nil
}

// exchange is one call: a body for POST or none for GET, and what came back.
type exchange struct {
	method  string
	address string
	path    string
	body    []byte
	raw     bool
	timeout time.Duration
}

// do returns the answer's status and body; the error wraps httpc.ErrNotSent or httpc.ErrNoAnswer.
func (c *Client) do(ctx context.Context, x exchange) (int, []byte, error) {
	host, prefix, found := strings.Cut(x.address, "/")
	if found {
		prefix = "/" + prefix
	}
	pool, err := c.pool(host)
	if err != nil {
		return 0, nil, fmt.Errorf("%w: %w", httpc.ErrNotSent, err)
	}
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.Header.SetMethod(x.method)
	req.SetRequestURI("http://" + host + prefix + x.path)
	req.Header.Set(HeaderDataCentre, string(c.cfg.DataCentre))
	if x.body != nil {
		contentType := "application/json"
		if x.raw {
			contentType = "application/octet-stream"
		}
		req.Header.SetContentType(contentType)
		req.SetBody(x.body)
	}
	if err := pool.Do(ctx, httpc.Call{Request: req, Response: resp, Timeout: x.timeout}); err != nil {
		return 0, nil, err
	}
	return resp.StatusCode(), append([]byte(nil), resp.Body()...), nil
}

// refusalOf describes an answer that is not a success.
func refusalOf(status int, body []byte) (Code, error) {
	var refusal Refusal
	if err := json.Unmarshal(body, &refusal); err != nil {
		return "", fmt.Errorf("status %d with an unreadable body: %w", status, err)
	}
	return refusal.Code, fmt.Errorf("status %d: %s: %s", status, refusal.Code, refusal.Detail)
}
