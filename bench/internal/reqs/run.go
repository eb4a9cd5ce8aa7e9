package reqs

import (
	"cmp"
	"errors"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"arbutuswing.example/bench/internal/files"
	"arbutuswing.example/bench/internal/fits"
)

// Errors of the package.
var (
	// ErrConfig reports settings that can't be measured with.
	ErrConfig = errors.New("bad requests settings")
	// ErrFailed reports requests without the expected answer.
	ErrFailed = errors.New("requests failed")
)

const (
	slowest   = int64(30 * time.Second)
	precision = 3
	idleTime  = 5 * time.Second
)

// Config describes a run.
type Config struct {
	// Entry is IP:port of an entry instance's caller address, and Process its process ID, or zero.
	Entry   string
	Process int
	// Endpoints are IP:port of the class's endpoints.
	Endpoints []string
	Class     string
	// Rates are the requests per second; each is sent in Slices slices of Slice to the endpoints and through the entry
	// instance in turn.
	Rates  []int
	Slices int
	Slice  time.Duration
	// Work is how long an endpoint works on a request.
	Work time.Duration
	JSON string
	Out  io.Writer
}

// WithDefaults returns the settings with the standard run where nothing is set.
func (c Config) WithDefaults() Config {
	if len(c.Rates) == 0 {
		c.Rates = []int{500, 1_000, 2_000}
	}
	c.Slices = cmp.Or(c.Slices, 5)
	c.Slice = cmp.Or(c.Slice, time.Second)
	c.Class = cmp.Or(c.Class, "quote")
	c.Work = cmp.Or(c.Work, time.Millisecond)
	if c.Out == nil {
		c.Out = os.Stdout
	}
	return c
}

// Check returns ErrConfig for settings that can't be measured with.
func (c Config) Check() error {
	if c.Entry == "" || len(c.Endpoints) == 0 {
		return fmt.Errorf("%w: an entry instance and endpoints must be named", ErrConfig)
	}
	for _, rate := range c.Rates {
		if rate < 1 {
			return fmt.Errorf("%w: rate %d", ErrConfig, rate)
		}
	}
	return nil
}

// arm is one way to the endpoints.
type arm struct {
	name string
	send func(i int) error
	// service counts from the sending of a request, scheduled from the time at which it was due.
	service, scheduled *hdrhistogram.Histogram
	failed             int
}

func newArm(name string, send func(int) error) *arm {
	return &arm{
		name: name, send: send, service: hdrhistogram.New(1, slowest, precision),
		scheduled: hdrhistogram.New(1, slowest, precision),
	}
}

// Times are quantiles in microseconds.
type Times struct {
	P50 float64 `json:"p50-us"`
	P99 float64 `json:"p99-us"`
	Max float64 `json:"max-us"`
}

func timesOf(h *hdrhistogram.Histogram) Times {
	const micro = float64(time.Microsecond)
	return Times{
		P50: float64(h.ValueAtQuantile(50)) / micro, P99: float64(h.ValueAtQuantile(99)) / micro, Max: float64(h.Max()) / micro,
	}
}

// Result is what one rate gave.
type Result struct {
	Rate     int   `json:"requests-per-second"`
	Requests int64 `json:"requests-each-way"`
	Failed   int   `json:"failed"`
	Direct   Times `json:"direct"`
	Entry    Times `json:"through-entry"`
	// DirectDue and EntryDue count from the time at which each request was due.
	DirectDue Times `json:"direct-from-due-time"`
	EntryDue  Times `json:"through-entry-from-due-time"`
	// CPU is the entry instance's processor time per request in microseconds, idle work included.
	CPU float64 `json:"cpu-us-per-request"`
	// Core is the part of a core that the entry instance used while it served requests.
	Core float64 `json:"entry-cores"`
}

// Run measures each rate and prints the results.
func Run(cfg Config) error {
	cfg = cfg.WithDefaults()
	if err := cfg.Check(); err != nil {
		return err
	}
	calls, err := newCalls(cfg)
	if err != nil {
		return err
	}
	idle, err := cfg.idle()
	if err != nil {
		return err
	}
	results := make([]Result, 0, len(cfg.Rates))
	cores := []fits.Point{{X: 0, Y: idle * 1e6}}
	for _, rate := range cfg.Rates {
		result, err := cfg.measure(calls, rate)
		if err != nil {
			return err
		}
		results = append(results, result)
		cores = append(cores, fits.Point{X: float64(rate), Y: result.Core * 1e6})
	}
	if err := cfg.print(results, fits.New("processor time of the entry instance", "request/s", "us/s", cores)); err != nil {
		return err
	}
	return files.WriteJSON(cfg.JSON, results)
}

// idle returns the part of a core that the entry instance uses without requests.
func (c Config) idle() (float64, error) {
	before, err := c.cpu()
	if err != nil {
		return 0, err
	}
	time.Sleep(idleTime)
	after, err := c.cpu()
	return (after - before).Seconds() / idleTime.Seconds(), err
}

func (c Config) measure(calls *calls, rate int) (Result, error) {
	direct, entry := newArm("direct", calls.direct), newArm("entry", calls.entry)
	// Connections are opened before anything is counted.
	for _, a := range []*arm{newArm("warm", calls.direct), newArm("warm", calls.entry)} {
		c.slice(a, rate)
	}
	cpu := time.Duration(0)
	for range c.Slices {
		c.slice(direct, rate)
		before, err := c.cpu()
		if err != nil {
			return Result{}, err
		}
		c.slice(entry, rate)
		after, err := c.cpu()
		if err != nil {
			return Result{}, err
		}
		cpu += after - before
	}
	requests := entry.service.TotalCount()
	result := Result{
		Rate: rate, Requests: requests, Failed: direct.failed + entry.failed,
		Direct: timesOf(direct.service), Entry: timesOf(entry.service),
		DirectDue: timesOf(direct.scheduled), EntryDue: timesOf(entry.scheduled),
		Core: cpu.Seconds() / (time.Duration(c.Slices) * c.Slice).Seconds(),
	}
	if requests > 0 {
		result.CPU = float64(cpu) / float64(time.Microsecond) / float64(requests)
	}
	if result.Failed > 0 && int64(result.Failed) > requests/100 {
		return result, fmt.Errorf("%w: %d at %d a second", ErrFailed, result.Failed, rate)
	}
	return result, nil
}

func (c Config) print(results []Result, cpu fits.Series) error {
	_, _ = fmt.Fprintln(c.Out, "| requests/s | each way | failed | direct p50 / p99 us | through the entry instance p50 / p99 us |"+
		" added p50 / p99 us | added, counted from the due time, p50 / p99 us | entry CPU us/request | entry cores |")
	_, _ = fmt.Fprintln(c.Out, "|---|---|---|---|---|---|---|---|---|")
	for _, r := range results {
		_, _ = fmt.Fprintf(c.Out, "| %d | %d | %d | %.0f / %.0f | %.0f / %.0f | %.0f / %.0f | %.0f / %.0f | %.0f | %.3f |\n",
			r.Rate, r.Requests, r.Failed, r.Direct.P50, r.Direct.P99, r.Entry.P50, r.Entry.P99,
			r.Entry.P50-r.Direct.P50, r.Entry.P99-r.Direct.P99,
			r.EntryDue.P50-r.DirectDue.P50, r.EntryDue.P99-r.DirectDue.P99, r.CPU, r.Core)
	}
	_, _ = fmt.Fprintln(c.Out)
	return fits.Print(c.Out, []fits.Series{cpu})
}
