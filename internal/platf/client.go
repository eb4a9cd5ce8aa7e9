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

// ErrConfig reports an invalid configuration.
var ErrConfig = errors.New("bad configuration of the platform client")

const (
	defaultTimeout     = 2 * time.Second
	defaultConnections = 256
)

// Config configures a Client.
type Config struct {
	// Address is the host:port of the log and the instance list; a leading http:// is removed.
	Address string
	// DataCentre is the caller's own data centre.
	DataCentre model.DataCentreID
	// Timeout bounds a call to the log or the list. For a read, it is added to the time that the read may wait.
	Timeout time.Duration
	// CommandTimeout bounds a call to a worker.
	CommandTimeout time.Duration
	// Connections is the maximum number of connections per host; further calls wait for one.
	Connections int
}

// WithDefaults returns the configuration with unset fields filled in.
func (c Config) WithDefaults() Config {
	c.Address = strings.TrimSuffix(strings.TrimPrefix(c.Address, "http://"), "/")
	c.Timeout = cmp.Or(c.Timeout, defaultTimeout)
	c.CommandTimeout = cmp.Or(c.CommandTimeout, ports.CommandTimeout)
	c.Connections = cmp.Or(c.Connections, defaultConnections)
	return c
}

// Check returns ErrConfig for an invalid configuration.
func (c Config) Check() error {
	if _, _, err := net.SplitHostPort(c.Address); err != nil {
		return fmt.Errorf("%w: address: %w", ErrConfig, err)
	}
	if c.Timeout < 0 || c.CommandTimeout < 0 || c.Connections < 1 {
		return fmt.Errorf("%w: timeouts must not be negative and connections must be at least 1", ErrConfig)
	}
	return nil
}

// Client calls the platform on behalf of one data centre. It implements ports.Log, ports.Lister and ports.Worker.
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

// New returns a client that opens connections on demand. It returns ErrConfig for an invalid configuration.
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

// httpCall is a call to make. A nil body means none; a binary body is sent as application/octet-stream, any other as JSON.
type httpCall struct {
	method  string
	address string
	path    string
	body    []byte
	binary  bool
	timeout time.Duration
}

// do makes a call and returns the status and body of the answer. Errors wrap httpc.ErrNotSent or httpc.ErrNoAnswer.
func (c *Client) do(ctx context.Context, call httpCall) (int, []byte, error) {
	host, prefix, found := strings.Cut(call.address, "/")
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
	req.Header.SetMethod(call.method)
	req.SetRequestURI("http://" + host + prefix + call.path)
	req.Header.Set(HeaderDataCentre, string(c.cfg.DataCentre))
	if call.body != nil {
		contentType := "application/json"
		if call.binary {
			contentType = "application/octet-stream"
		}
		req.Header.SetContentType(contentType)
		req.SetBody(call.body)
	}
	if err := pool.Do(ctx, httpc.Call{Request: req, Response: resp, Timeout: call.timeout}); err != nil {
		return 0, nil, err
	}
	return resp.StatusCode(), append([]byte(nil), resp.Body()...), nil
}

// decodeRefusal returns the code of an answer that is not a success, and an error that describes it.
func decodeRefusal(status int, body []byte) (Code, error) {
	var refusal Refusal
	if err := json.Unmarshal(body, &refusal); err != nil {
		return "", fmt.Errorf("status %d with an unreadable body: %w", status, err)
	}
	return refusal.Code, fmt.Errorf("status %d: %s: %s", status, refusal.Code, refusal.Detail)
}
