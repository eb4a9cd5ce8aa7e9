package peers

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/url"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"arbutuswing.example/internal/agent"
	"arbutuswing.example/internal/httpc"
	"arbutuswing.example/internal/model"
	"arbutuswing.example/internal/work"
)

var (
	// ErrNotOwner reports that the node asked doesn't own the jobs.
	ErrNotOwner = errors.New("node is not the owner")
	// ErrUnknownJob reports that the owner doesn't know the job.
	ErrUnknownJob = errors.New("owner does not know the job")
	// ErrUnavailable reports a node that didn't answer.
	ErrUnavailable = errors.New("node did not answer")
)

const (
	pathState   = "/state"
	pathPending = "/pending"
	pathAdvise  = "/advise"
	pathSubmit  = "/submit"
	pathReport  = "/report"
	// nodeConnections bounds the connections to one node.
	nodeConnections = 32
	// lookTimeout bounds a question to the owner: a link between data centres takes a few milliseconds.
	lookTimeout = 400 * time.Millisecond
)

// Client calls other nodes.
type Client struct {
	mu    sync.Mutex
	pools map[string]*httpc.Pool
}

// NewClient returns a client without connections.
func NewClient() *Client { return &Client{pools: make(map[string]*httpc.Pool)} }

func (c *Client) pool(address string) (*httpc.Pool, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if p := c.pools[address]; p != nil {
		return p, nil
	}
	p, err := httpc.New(httpc.Config{Address: address, MaxConnections: nodeConnections, WaitForConnection: true, MaxTimeouts: 1})
	if err == nil {
		c.pools[address] = p
	}
	return p, err
}

func (c *Client) do(ctx context.Context, address, path string, body any, timeout time.Duration, out any) error {
	pool, err := c.pool(address)
	if err != nil {
		return fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI("http://" + address + path)
	if body != nil {
		data, err := json.Marshal(body)
		if err != nil {
			return fmt.Errorf("encoding %s: %w", path, err)
		}
		req.Header.SetMethod(fasthttp.MethodPost)
		req.SetBodyRaw(data)
	}
	if err := pool.Do(ctx, httpc.Call{Request: req, Response: resp, Timeout: timeout}); err != nil {
		return fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
	switch resp.StatusCode() {
	case fasthttp.StatusOK:
		if err := json.Unmarshal(resp.Body(), out); err != nil {
			return fmt.Errorf("%w: unreadable answer: %w", ErrUnavailable, err)
		}
		return nil
	case fasthttp.StatusNotFound:
		return ErrUnknownJob
	case fasthttp.StatusMisdirectedRequest:
		return ErrNotOwner
	case fasthttp.StatusTooManyRequests:
		return agent.ErrBusy
	default:
		return fmt.Errorf("%w: status %d: %.100s", ErrUnavailable, resp.StatusCode(), resp.Body())
	}
}

type stateBody struct {
	State work.State `json:"state"`
}

type pendingBody struct {
	Pending int `json:"pending"`
}

// State asks a node for the state of a job.
func (c *Client) State(ctx context.Context, address string, id model.JobID) (work.State, error) {
	var body stateBody
	err := c.do(ctx, address, pathState+"?id="+url.QueryEscape(string(id)), nil, lookTimeout, &body)
	return body.State, err
}

// Pending asks a node how many jobs of a queue have not begun.
func (c *Client) Pending(ctx context.Context, address, queue string) (int, error) {
	var body pendingBody
	err := c.do(ctx, address, pathPending+"?queue="+url.QueryEscape(queue), nil, lookTimeout, &body)
	return body.Pending, err
}

// Submit tells a node of a stored job.
func (c *Client) Submit(ctx context.Context, address string, job work.Job) error {
	return c.do(ctx, address, pathSubmit, job, lookTimeout, &struct{}{})
}

// Presence is what a node tells an owner about itself.
type Presence struct {
	Node string `json:"node"`
	// Address is the IP:port on which other nodes reach it.
	Address string `json:"address"`
	// Boot tells the node's processes apart.
	Boot       string             `json:"boot"`
	DataCentre model.DataCentreID `json:"data-centre"`
	// Strength is the node's processor share in cores, less where its link is slow.
	Strength float64 `json:"strength"`
}

// Standing is what an owner expects of a node.
type Standing struct {
	// Candidate tells that the node may become owner.
	Candidate bool `json:"candidate"`
	// Every is the interval until the next report.
	Every model.Duration `json:"every"`
}

// Report tells an owner that this node is there.
func (c *Client) Report(ctx context.Context, address string, p Presence) (Standing, error) {
	var told Standing
	err := c.do(ctx, address, pathReport, p, lookTimeout, &told)
	return told, err
}

// Advise lets a node make a call for advice.
func (c *Client) Advise(ctx context.Context, address string, q agent.Question) (agent.Advice, error) {
	var advice agent.Advice
	err := c.do(ctx, address, pathAdvise, q, q.Timeout.Std(), &advice)
	return advice, err
}
