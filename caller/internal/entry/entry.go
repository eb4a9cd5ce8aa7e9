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

// Outcome says what is known of a call's effect.
type Outcome string

// Outcomes of calls: the call had its effect; it had none; it may have had its effect; or the request ID is already in
// use.
const (
	Answered Outcome = "answered"
	NotRun   Outcome = "not-run"
	Unknown  Outcome = "unknown"
	Conflict Outcome = "conflict"
)

// Request headers of the client API.
const (
	HeaderKey        = "Team-Key"
	HeaderTeam       = "Team"
	HeaderRequest    = "Request-Id"
	HeaderIdempotent = "Idempotent"
	HeaderTimeout    = "Timeout-Ms"
)

const (
	minBackoff     = 50 * time.Millisecond
	maxBackoff     = time.Second
	maxConnections = 256
)

// Call is one call to an entry instance.
type Call struct {
	Method  string
	Path    string
	Headers map[string]string
	Body    []byte
	Timeout time.Duration
}

// Reply is the result of a call.
type Reply struct {
	Outcome Outcome
	// Status is the HTTP status; zero if there was no response.
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
	calls     atomic.Uint64
}

// New returns a client for the entry instances at addresses, each IP:port.
func New(addresses []string) (*Client, error) {
	c := &Client{addresses: addresses}
	for _, address := range addresses {
		pool, err := httpc.New(httpc.Config{Address: address, MaxConnections: maxConnections, ProbePath: "/health"})
		if err != nil {
			return nil, fmt.Errorf("entry instance %s: %w", address, err)
		}
		c.pools = append(c.pools, pool)
	}
	return c, nil
}

// Do sends a call once, to the next entry instance. An idle connection is probed before it is used, because a call that
// may run only once cannot be repeated if the connection turns out to be dead.
func (c *Client) Do(ctx context.Context, call Call) Reply {
	index := int(c.calls.Add(1) % uint64(len(c.pools)))
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.Header.SetMethod(call.Method)
	req.SetRequestURI("http://" + c.addresses[index] + call.Path)
	for name, value := range call.Headers {
		if value != "" {
			req.Header.Set(name, value)
		}
	}
	if call.Body != nil {
		req.SetBodyRaw(call.Body)
	}
	err := c.pools[index].Do(ctx, httpc.Call{Request: req, Response: resp, Timeout: call.Timeout, Probe: true})
	switch {
	case errors.Is(err, httpc.ErrNotSent):
		return Reply{Outcome: NotRun, Reason: "not-sent"}
	case err != nil:
		return Reply{Outcome: Unknown, Reason: "no-answer"}
	}
	return decodeReply(resp.StatusCode(), append([]byte(nil), resp.Body()...))
}

// refusal is the body of a response by which an entry instance refuses a call.
type refusal struct {
	Outcome Outcome `json:"outcome"`
	Reason  string  `json:"reason"`
}

// decodeReply returns NotRun or Conflict only if the body says so; any other response without success leaves the
// outcome unknown.
func decodeReply(status int, body []byte) Reply {
	reply := Reply{Outcome: Unknown, Status: status, Body: body}
	if status >= fasthttp.StatusOK && status < fasthttp.StatusMultipleChoices {
		reply.Outcome = Answered
		return reply
	}
	var f refusal
	if json.Unmarshal(body, &f) != nil {
		return reply
	}
	reply.Reason = f.Reason
	if f.Outcome == NotRun || f.Outcome == Conflict {
		reply.Outcome = f.Outcome
	}
	return reply
}

// Backoff waits after try number try, from 1 on, with jittered exponential delays; it returns false if ctx ended first.
func Backoff(ctx context.Context, try int) bool {
	delay := min(minBackoff<<min(try-1, 10), maxBackoff)
	timer := time.NewTimer(delay/2 + rand.N(delay/2+1))
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
