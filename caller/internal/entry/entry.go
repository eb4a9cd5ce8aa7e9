package entry

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"arbutuswing.example/internal/httpc"
)

// Outcome tells what is known of a call's effect.
type Outcome string

// Outcomes of calls.
const (
	Answered Outcome = "answered"
	NotRun   Outcome = "not-run"
	Unknown  Outcome = "unknown"
	Conflict Outcome = "conflict"
)

// Headers of callers.
const (
	HeaderKey        = "Team-Key"
	HeaderTeam       = "Team"
	HeaderRequest    = "Request-Id"
	HeaderIdempotent = "Idempotent"
	HeaderTimeout    = "Timeout-Ms"
)

const (
	backoffFirst = 50 * time.Millisecond
	backoffMax   = time.Second
	connections  = 256
)

// Call is one call to an entry instance.
type Call struct {
	Method  string
	Path    string
	Headers map[string]string
	Body    []byte
	Timeout time.Duration
}

// Reply is what came of a call.
type Reply struct {
	Outcome Outcome
	// Status is zero if no answer came.
	Status int
	Reason string
	Body   []byte
}

// Permanent reports whether the same call would be refused again.
func (r Reply) Permanent() bool {
	switch r.Status {
	case fasthttp.StatusBadRequest, fasthttp.StatusForbidden, fasthttp.StatusNotFound, fasthttp.StatusMethodNotAllowed:
		return true
	default:
		return false
	}
}

// Client calls a list of entry instances in turn.
type Client struct {
	pools     []*httpc.Pool
	addresses []string
	turn      atomic.Uint64
}

// New returns a client for addresses, which are IP:port.
func New(addresses []string) (*Client, error) {
	c := &Client{addresses: addresses}
	for _, address := range addresses {
		pool, err := httpc.New(httpc.Config{Address: address, MaxConnections: connections, ProbePath: "/health"})
		if err != nil {
			return nil, fmt.Errorf("entry instance %s: %w", address, err)
		}
		c.pools = append(c.pools, pool)
	}
	return c, nil
}

// Do sends a call to the next entry instance, once. A call that may run at most once uses no connection that may be
// silent, so connections that were idle are probed first.
func (c *Client) Do(ctx context.Context, call Call) Reply {
	n := int(c.turn.Add(1) % uint64(len(c.pools)))
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.Header.SetMethod(call.Method)
	req.SetRequestURI("http://" + c.addresses[n] + call.Path)
	for name, value := range call.Headers {
		if value != "" {
			req.Header.Set(name, value)
		}
	}
	if call.Body != nil {
		req.SetBodyRaw(call.Body)
	}
	err := c.pools[n].Do(ctx, httpc.Call{Request: req, Response: resp, Timeout: call.Timeout, Probe: true})
	switch {
	case errors.Is(err, httpc.ErrNotSent):
		return Reply{Outcome: NotRun, Reason: "not-sent"}
	case err != nil:
		return Reply{Outcome: Unknown, Reason: "no-answer"}
	}
	return replyOf(resp.StatusCode(), append([]byte(nil), resp.Body()...))
}

// failure is the body of an entry instance's refusal.
type failure struct {
	Outcome Outcome `json:"outcome"`
	Reason  string  `json:"reason"`
}

// replyOf trusts a refusal only if it says so itself.
func replyOf(status int, body []byte) Reply {
	reply := Reply{Outcome: Unknown, Status: status, Body: body}
	if status >= fasthttp.StatusOK && status < fasthttp.StatusMultipleChoices {
		reply.Outcome = Answered
		return reply
	}
	var f failure
	if json.Unmarshal(body, &f) != nil {
		return reply
	}
	reply.Reason = f.Reason
	if f.Outcome == NotRun || f.Outcome == Conflict {
		reply.Outcome = f.Outcome
	}
	return reply
}

// Pause waits before try number n, from 1 on, with jittered exponential delays; it reports false if ctx ended.
func Pause(ctx context.Context, n int) bool {
	delay := min(backoffFirst<<min(n-1, 10), backoffMax)
	timer := time.NewTimer(delay/2 + rand.N(delay/2+1))
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
