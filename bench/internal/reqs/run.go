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
	// ErrConfig reports settings that cannot be used.
	ErrConfig = errors.New("bad requests settings")
	// ErrFailed reports that requests failed or got an unexpected response.
	ErrFailed = errors.New("requests failed")
)

const (
	maxLatency        = int64(30 * time.Second)
	significantDigits = 3
	// idlePeriod is how long the processor time of the entry instance is measured without requests.
	idlePeriod = 5 * time.Second
)

// Config holds the settings of a run.
type Config struct {
	// Entry is IP:port of the client address of an entry instance; Process is its process ID, or zero to leave out its
	// processor time.
	Entry   string
	Process int
	// Endpoints holds IP:port of the endpoints of the class.
	Endpoints []string
	Class     string
	// Rates holds the request rates, in requests per second. At each rate, requests are sent for periods of length Slice,
	// alternately directly and through the entry instance, with Slices periods each way.
	Rates  []int
	Slices int
	Slice  time.Duration
	// Work is the time that an endpoint spends on a request.
	Work time.Duration
	JSON string
	Out  io.Writer
}

// WithDefaults returns the settings with default values where nothing is set.
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

// Check returns ErrConfig if the settings cannot be used.
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

// path is one of the two compared ways to the endpoints: direct, or through the entry instance.
type path struct {
	name string
	send func(i int) error
	// fromSent holds latencies measured from the time at which a request was sent, fromDue those from the time at which
	// it was due, which include delays of the sender.
	fromSent, fromDue *hdrhistogram.Histogram
	failed            int
}

func newPath(name string, send func(int) error) *path {
	return &path{
		name: name, send: send, fromSent: hdrhistogram.New(1, maxLatency, significantDigits),
		fromDue: hdrhistogram.New(1, maxLatency, significantDigits),
	}
}

// Quantiles holds latency quantiles in microseconds.
type Quantiles struct {
	P50 float64 `json:"p50-us"`
	P99 float64 `json:"p99-us"`
	Max float64 `json:"max-us"`
}

func quantilesOf(h *hdrhistogram.Histogram) Quantiles {
	const micro = float64(time.Microsecond)
	return Quantiles{
		P50: float64(h.ValueAtQuantile(50)) / micro, P99: float64(h.ValueAtQuantile(99)) / micro, Max: float64(h.Max()) / micro,
	}
}

// Result holds the measurements at one rate.
type Result struct {
	Rate     int       `json:"requests-per-second"`
	Requests int64     `json:"requests-each-way"`
	Failed   int       `json:"failed"`
	Direct   Quantiles `json:"direct"`
	Entry    Quantiles `json:"through-entry"`
	// DirectFromDue and EntryFromDue are measured from the time at which each request was due.
	DirectFromDue Quantiles `json:"direct-from-due-time"`
	EntryFromDue  Quantiles `json:"through-entry-from-due-time"`
	// CPUPerRequest is the entry instance's processor time per request in microseconds, including its idle work.
	CPUPerRequest float64 `json:"cpu-us-per-request"`
	// Cores is the mean number of cores that the entry instance used while it served requests.
	Cores float64 `json:"entry-cores"`
}

// Run measures each rate, prints the results and writes them to the JSON file.
func Run(cfg Config) error {
	cfg = cfg.WithDefaults()
	if err := cfg.Check(); err != nil {
		return err
	}
	sender, err := newRequestSender(cfg)
	if err != nil {
		return err
	}
	idle, err := cfg.idleCores()
	if err != nil {
		return err
	}
	results := make([]Result, 0, len(cfg.Rates))
	cores := []fits.Point{{X: 0, Y: idle * 1e6}}
	for _, rate := range cfg.Rates {
		result, err := cfg.measure(sender, rate)
		if err != nil {
			return err
		}
		results = append(results, result)
		cores = append(cores, fits.Point{X: float64(rate), Y: result.Cores * 1e6})
	}
	if err := cfg.print(results, fits.New("processor time of the entry instance", "request/s", "us/s", cores)); err != nil {
		return err
	}
	return files.WriteJSON(cfg.JSON, results)
}

// idleCores returns the mean number of cores that the entry instance uses without requests.
func (c Config) idleCores() (float64, error) {
	before, err := c.entryCPUTime()
	if err != nil {
		return 0, err
	}
	time.Sleep(idlePeriod)
	after, err := c.entryCPUTime()
	return (after - before).Seconds() / idlePeriod.Seconds(), err
}

func (c Config) measure(sender *requestSender, rate int) (Result, error) {
	direct, entry := newPath("direct", sender.sendDirect), newPath("entry", sender.sendToEntry)
	// Warm-up: opens the connections before measuring.
	for _, p := range []*path{newPath("warm", sender.sendDirect), newPath("warm", sender.sendToEntry)} {
		c.sendSlice(p, rate)
	}
	cpu := time.Duration(0)
	for range c.Slices {
		c.sendSlice(direct, rate)
		before, err := c.entryCPUTime()
		if err != nil {
			return Result{}, err
		}
		c.sendSlice(entry, rate)
		after, err := c.entryCPUTime()
		if err != nil {
			return Result{}, err
		}
		cpu += after - before
	}
	requests := entry.fromSent.TotalCount()
	result := Result{
		Rate: rate, Requests: requests, Failed: direct.failed + entry.failed,
		Direct: quantilesOf(direct.fromSent), Entry: quantilesOf(entry.fromSent),
		DirectFromDue: quantilesOf(direct.fromDue), EntryFromDue: quantilesOf(entry.fromDue),
		Cores: cpu.Seconds() / (time.Duration(c.Slices) * c.Slice).Seconds(),
	}
	if requests > 0 {
		result.CPUPerRequest = float64(cpu) / float64(time.Microsecond) / float64(requests)
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
			r.EntryFromDue.P50-r.DirectFromDue.P50, r.EntryFromDue.P99-r.DirectFromDue.P99, r.CPUPerRequest, r.Cores)
	}
	_, _ = fmt.Fprintln(c.Out)
	return fits.Print(c.Out, []fits.Series{cpu})
}
