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
	// maxInFlight bounds the number of concurrent requests.
	maxInFlight      = 64
	bodyBytes        = 500
	connsPerEndpoint = 8
	// cpuTick is the unit of the processor times in /proc/PID/stat.
	cpuTick = 10 * time.Millisecond
	// userTimeField is the index of the user time in /proc/PID/stat, counted from the field after the command name; the
	// next field is the system time.
	userTimeField = 11
)

// requestSender sends requests to the endpoints directly and through the entry instance.
type requestSender struct {
	cfg       Config
	toEntry   *fasthttp.HostClient
	endpoints []*fasthttp.HostClient
	body      []byte
}

func newRequestSender(cfg Config) (*requestSender, error) {
	line, err := json.Marshal(map[string]any{"work-ms": cfg.Work.Milliseconds()})
	if err != nil {
		return nil, fmt.Errorf("encoding a request: %w", err)
	}
	c := &requestSender{
		cfg: cfg, toEntry: &fasthttp.HostClient{Addr: cfg.Entry, MaxConns: 2 * maxInFlight},
		body: append(append(line, '\n'), bytes.Repeat([]byte("x"), bodyBytes)...),
	}
	for _, address := range cfg.Endpoints {
		c.endpoints = append(c.endpoints, &fasthttp.HostClient{Addr: address, MaxConns: connsPerEndpoint})
	}
	return c, nil
}

func (c *requestSender) sendDirect(i int) error {
	return c.do(c.endpoints[i%len(c.endpoints)], ephttp.PathRun, func(h *fasthttp.RequestHeader) {
		h.Set(ephttp.HeaderAttempt, "direct-"+strconv.Itoa(i))
		h.Set(ephttp.HeaderClass, c.cfg.Class)
	})
}

func (c *requestSender) sendToEntry(int) error {
	return c.do(c.toEntry, "/v1/requests/"+c.cfg.Class, func(h *fasthttp.RequestHeader) {
		h.Set("Idempotent", "true")
		h.Set("Team", "pricing")
		h.Set("Timeout-Ms", strconv.FormatInt(callTimeout.Milliseconds(), 10))
	})
}

func (c *requestSender) do(client *fasthttp.HostClient, urlPath string, header func(*fasthttp.RequestHeader)) error {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.Header.SetMethod(fasthttp.MethodPost)
	req.SetRequestURI("http://" + client.Addr + urlPath)
	header(&req.Header)
	req.SetBody(c.body)
	if err := client.DoTimeout(req, resp, callTimeout); err != nil {
		return fmt.Errorf("calling %s%s: %w", client.Addr, urlPath, err)
	}
	if resp.StatusCode() != fasthttp.StatusOK || !bytes.Equal(resp.Body(), c.body) {
		return fmt.Errorf("%w: %s%s answered %d with %d bytes", ErrFailed, client.Addr, urlPath, resp.StatusCode(), len(resp.Body()))
	}
	return nil
}

// sendSlice sends requests on the path at an even rate for the length of one slice.
func (c Config) sendSlice(p *path, rate int) {
	count := int(float64(rate) * c.Slice.Seconds())
	began := time.Now()
	var mu sync.Mutex
	var wg sync.WaitGroup
	for part := range maxInFlight {
		wg.Go(func() {
			for i := part; i < count; i += maxInFlight {
				due := began.Add(time.Duration(float64(i) / float64(rate) * float64(time.Second)))
				time.Sleep(time.Until(due))
				sent := time.Now()
				err := p.send(i)
				done := time.Now()
				mu.Lock()
				p.record(done.Sub(sent), done.Sub(due), err)
				mu.Unlock()
			}
		})
	}
	wg.Wait()
}

func (p *path) record(fromSent, fromDue time.Duration, err error) {
	if err != nil {
		p.failed++
		if p.failed == 1 {
			fmt.Fprintln(os.Stderr, "first failed request:", err)
		}
		return
	}
	_ = p.fromSent.RecordValue(min(int64(fromSent), maxLatency))
	_ = p.fromDue.RecordValue(min(int64(fromDue), maxLatency))
}

// entryCPUTime returns the processor time that the entry instance's process has used so far, in steps of cpuTick.
func (c Config) entryCPUTime() (time.Duration, error) {
	if c.Process == 0 {
		return 0, nil
	}
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", c.Process))
	if err != nil {
		return 0, fmt.Errorf("reading the processor time of the entry instance: %w", err)
	}
	// The command name in /proc/PID/stat may contain spaces, so fields are counted from its closing parenthesis.
	fields := strings.Fields(string(data[bytes.LastIndexByte(data, ')')+1:]))
	var ticks int64
	for _, field := range fields[userTimeField : userTimeField+2] {
		n, err := strconv.ParseInt(field, 10, 64)
		if err != nil {
			return 0, fmt.Errorf("reading the processor time of the entry instance: %w", err)
		}
		ticks += n
	}
	return time.Duration(ticks) * cpuTick, nil
}
