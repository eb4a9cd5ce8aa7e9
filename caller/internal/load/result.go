package load

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"go.uber.org/zap"

	"arbutuswing.example/caller/internal/entry"
	"arbutuswing.example/internal/model"
)

const (
	maxLatency        = int64(5 * time.Minute / time.Microsecond)
	significantDigits = 3
)

// Result sums up the outcomes of all requests.
type Result struct {
	Requests int `json:"requests"`
	Answered int `json:"answered"`
	// Refused counts requests that, according to the entry instances, did not run.
	Refused int `json:"refused"`
	Unknown int `json:"unknown"`
	// Wrong counts answers that do not belong to their request.
	Wrong   int            `json:"wrong-answers"`
	Tries   int            `json:"tries"`
	Reasons map[string]int `json:"reasons"`
	Took    model.Duration `json:"took"`
	// Latency covers answered requests, including their retries.
	Latency Latency `json:"latency"`
	// Outcomes maps the name of each request to its outcome, for the comparison with the endpoints' counts.
	Outcomes map[string]RequestOutcome `json:"-"`

	histogram *hdrhistogram.Histogram
}

// RequestOutcome is the outcome of one request.
type RequestOutcome struct {
	Outcome    entry.Outcome
	Idempotent bool
}

// Latency holds quantiles of the latency.
type Latency struct {
	P50 model.Duration `json:"p50"`
	P99 model.Duration `json:"p99"`
	Max model.Duration `json:"max"`
}

func newResult() Result {
	return Result{
		Reasons: make(map[string]int), Outcomes: make(map[string]RequestOutcome),
		histogram: hdrhistogram.New(1, maxLatency, significantDigits),
	}
}

func (g *Generator) record(r request, res requestResult) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.result.add(r, res)
	if res.wrong {
		g.cfg.Log.Error("answer does not match the request", zap.String("request", r.name))
	}
}

func (r *Result) add(req request, res requestResult) {
	r.Requests++
	r.Tries += res.tries
	switch {
	case res.wrong:
		r.Wrong++
	case res.outcome == entry.Answered:
		r.Answered++
		// RecordValue cannot fail, because the value is clamped to the histogram's range.
		_ = r.histogram.RecordValue(min(max(res.took.Microseconds(), 1), maxLatency))
	case res.outcome == entry.Unknown:
		r.Unknown++
	default:
		r.Refused++
	}
	if res.reason != "" {
		r.Reasons[res.reason]++
	}
	r.Outcomes[req.name] = RequestOutcome{Outcome: res.outcome, Idempotent: req.idempotent}
}

func (r *Result) latencyAt(percentile float64) model.Duration {
	return model.Duration(time.Duration(r.histogram.ValueAtQuantile(percentile)) * time.Microsecond)
}
