package load

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"go.uber.org/zap"

	"arbutuswing.example/caller/internal/entry"
	"arbutuswing.example/internal/model"
)

const (
	longestLatency = int64(5 * time.Minute / time.Microsecond)
	latencyDigits  = 3
)

// Result is what became of all requests.
type Result struct {
	Requests int `json:"requests"`
	Answered int `json:"answered"`
	// Refused counts requests that surely did not run, as far as the system said.
	Refused int `json:"refused"`
	Unknown int `json:"unknown"`
	// Wrong counts answers that did not belong to their request.
	Wrong   int            `json:"wrong-answers"`
	Tries   int            `json:"tries"`
	Reasons map[string]int `json:"reasons"`
	Took    model.Duration `json:"took"`
	// Latency describes answered requests, retries included.
	Latency Latency `json:"latency"`
	// Ends holds the end of each request for the comparison with the endpoints' counts.
	Ends map[string]End `json:"-"`

	histogram *hdrhistogram.Histogram
}

// End is what became of one request.
type End struct {
	Outcome    entry.Outcome
	Idempotent bool
}

// Latency holds percentiles.
type Latency struct {
	P50 model.Duration `json:"p50"`
	P99 model.Duration `json:"p99"`
	Max model.Duration `json:"max"`
}

func newResult() Result {
	return Result{
		Reasons: make(map[string]int), Ends: make(map[string]End),
		histogram: hdrhistogram.New(1, longestLatency, latencyDigits),
	}
}

func (l *Load) settle(r request, e end) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.result.add(r, e)
	if e.wrong {
		l.cfg.Log.Error("answer of another request", zap.String("request", r.name))
	}
}

func (r *Result) add(req request, e end) {
	r.Requests++
	r.Tries += e.tries
	switch {
	case e.wrong:
		r.Wrong++
	case e.outcome == entry.Answered:
		r.Answered++
		// The value is within the histogram's range, since a run is bounded.
		_ = r.histogram.RecordValue(min(max(e.took.Microseconds(), 1), longestLatency))
	case e.outcome == entry.Unknown:
		r.Unknown++
	default:
		r.Refused++
	}
	if e.reason != "" {
		r.Reasons[e.reason]++
	}
	r.Ends[req.name] = End{Outcome: e.outcome, Idempotent: req.idempotent}
}

func (r *Result) at(percentile float64) model.Duration {
	return model.Duration(time.Duration(r.histogram.ValueAtQuantile(percentile)) * time.Microsecond)
}
