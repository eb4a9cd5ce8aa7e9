package reqs

import (
	"bytes"
	"encoding/json"
	"fmt"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"arbutuswing.example/internal/ephttp"
)

const (
	callTimeout = 5 * time.Second
	// senders bounds the requests in flight.
	senders      = 64
	bodyBytes    = 500
	directConns  = 8
	clockTick    = 10 * time.Millisecond
	cpuTimeField = 11
)

// calls sends requests both ways.
type calls struct {
	cfg       Config
	toEntry   *fasthttp.HostClient
	endpoints []*fasthttp.HostClient
	body      []byte
}

func newCalls(cfg Config) (*calls, error) {
	line, err := json.Marshal(map[string]any{"work-ms": cfg.Work.Milliseconds()})
	if err != nil {
		return nil, fmt.Errorf("encoding a request: %w", err)
	}
	c := &calls{
		cfg: cfg, toEntry: &fasthttp.HostClient{Addr: cfg.Entry, MaxConns: 2 * senders},
		body: append(append(line, '\n'), bytes.Repeat([]byte("x"), bodyBytes)...),
	}
	for _, address := range cfg.Endpoints {
		c.endpoints = append(c.endpoints, &fasthttp.HostClient{Addr: address, MaxConns: directConns})
	}
	return c, nil
}

func (c *calls) direct(i int) error {
	return c.do(c.endpoints[i%len(c.endpoints)], ephttp.PathRun, func(h *fasthttp.RequestHeader) {
		h.Set(ephttp.HeaderAttempt, "direct-"+strconv.Itoa(i))
		h.Set(ephttp.HeaderClass, c.cfg.Class)
	})
}

func (c *calls) entry(int) error {
	return c.do(c.toEntry, "/v1/requests/"+c.cfg.Class, func(h *fasthttp.RequestHeader) {
		h.Set("Idempotent", "true")
		h.Set("Team", "pricing")
		h.Set("Timeout-Ms", strconv.FormatInt(callTimeout.Milliseconds(), 10))
	})
}

func (c *calls) do(client *fasthttp.HostClient, path string, header func(*fasthttp.RequestHeader)) error {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.Header.SetMethod(fasthttp.MethodPost)
	req.SetRequestURI("http://" + client.Addr + path)
	header(&req.Header)
	req.SetBody(c.body)
	if err := client.DoTimeout(req, resp, callTimeout); err != nil {
		return fmt.Errorf("calling %s%s: %w", client.Addr, path, err)
	}
	if resp.StatusCode() != fasthttp.StatusOK || !bytes.Equal(resp.Body(), c.body) {
		return fmt.Errorf("%w: %s%s answered %d with %d bytes", ErrFailed, client.Addr, path, resp.StatusCode(), len(resp.Body()))
	}
	return nil
}

// slice sends requests through the arm at an even rate for one slice.
func (c Config) slice(a *arm, rate int) {
	count := int(float64(rate) * c.Slice.Seconds())
	began := time.Now()
	var mu sync.Mutex
	var wg sync.WaitGroup
	for part := range senders {
		wg.Go(func() {
			for i := part; i < count; i += senders {
				due := began.Add(time.Duration(float64(i) / float64(rate) * float64(time.Second)))
				time.Sleep(time.Until(due))
				sent := time.Now()
				err := a.send(i)
				done := time.Now()
				mu.Lock()
				a.note(done.Sub(sent), done.Sub(due), err)
				mu.Unlock()
			}
		})
	}
	wg.Wait()
}

func (a *arm) note(service, scheduled time.Duration, err error) {
	if err != nil {
		a.failed++
		if a.failed == 1 {
			fmt.Fprintln(os.Stderr, "first failure:", err)
		}
		return
	}
	_ = a.service.RecordValue(min(int64(service), slowest))
	_ = a.scheduled.RecordValue(min(int64(scheduled), slowest))
}

// cpu returns the processor time of the entry instance's process so far, in steps of 10 ms.
func (c Config) cpu() (time.Duration, error) {
	if c.Process == 0 {
		return 0, nil
	}
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", c.Process))
	if err != nil {
		return 0, fmt.Errorf("reading the processor time of the entry instance: %w", err)
	}
	// The command's name may hold spaces, so fields are counted from its closing bracket.
	fields := strings.Fields(string(data[bytes.LastIndexByte(data, ')')+1:]))
	var ticks int64
	for _, field := range fields[cpuTimeField : cpuTimeField+2] {
		n, err := strconv.ParseInt(field, 10, 64)
		if err != nil {
			return 0, fmt.Errorf("reading the processor time of the entry instance: %w", err)
		}
		ticks += n
	}
	return time.Duration(ticks) * clockTick, nil
}
