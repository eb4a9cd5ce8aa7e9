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
	// ErrNotOwner reports that the called node doesn't own the jobs.
	ErrNotOwner = errors.New("node is not the owner")
	// ErrUnknownJob reports that the owner doesn't know the job.
	ErrUnknownJob = errors.New("owner does not know the job")
	// ErrUnavailable reports that the node gave no usable answer.
	ErrUnavailable = errors.New("node did not answer")
)

const (
	pathState   = "/state"
	pathPending = "/pending"
	pathAdvise  = "/advise"
	pathSubmit  = "/submit"
	pathReport  = "/report"
	// maxNodeConnections bounds the connections to one node.
	maxNodeConnections = 32
	// ownerTimeout bounds a call to the owner; the network between data centres adds only a few milliseconds to it.
	ownerTimeout = 400 * time.Millisecond
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
	p, err := httpc.New(
		httpc.Config{Address: address, MaxConnections: maxNodeConnections, WaitForConnection: true, MaxTimeouts: 1})
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

// State returns the state of a job from the node at address (IP:port). It returns ErrNotOwner, ErrUnknownJob or
// ErrUnavailable if that fails.
func (c *Client) State(ctx context.Context, address string, id model.JobID) (work.State, error) {
	var body stateBody
	err := c.do(ctx, address, pathState+"?id="+url.QueryEscape(string(id)), nil, ownerTimeout, &body)
	return body.State, err
}

// Pending returns the number of jobs of a queue that have not started, from the node at address (IP:port).
func (c *Client) Pending(ctx context.Context, address, queue string) (int, error) {
	var body pendingBody
	err := c.do(ctx, address, pathPending+"?queue="+url.QueryEscape(queue), nil, ownerTimeout, &body)
	return body.Pending, err
}

// Submit notifies a node of a job that has been stored.
func (c *Client) Submit(ctx context.Context, address string, job work.Job) error {
	return c.do(ctx, address, pathSubmit, job, ownerTimeout, &struct{}{})
}

// NodeInfo is what a node reports to the owner about itself.
type NodeInfo struct {
	Node string `json:"node"`
	// Address is the IP:port on which other nodes reach it.
	Address string `json:"address"`
	// BootID identifies the node's current process.
	BootID     string             `json:"boot"`
	DataCentre model.DataCentreID `json:"data-centre"`
	// Strength rates the node as an owner: its processor share in cores, reduced if its network link is slow.
	Strength float64 `json:"strength"`
}

// ReportReply is the owner's answer to a node's report.
type ReportReply struct {
	// Candidate tells whether the node may become owner.
	Candidate bool `json:"candidate"`
	// ReportInterval is the time until the next report is due.
	ReportInterval model.Duration `json:"every"`
}

// Report tells the owner that this node is alive.
func (c *Client) Report(ctx context.Context, address string, p NodeInfo) (ReportReply, error) {
	var reply ReportReply
	err := c.do(ctx, address, pathReport, p, ownerTimeout, &reply)
	return reply, err
}

// Advise makes an advice call through the node at address (IP:port).
func (c *Client) Advise(ctx context.Context, address string, req agent.AdviceRequest) (agent.Advice, error) {
	var advice agent.Advice
	err := c.do(ctx, address, pathAdvise, req, req.Timeout.Std(), &advice)
	return advice, err
}
