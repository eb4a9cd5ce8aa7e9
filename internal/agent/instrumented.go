package agent

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

// InstrumentedWorkers passes commands on to workers and records their outcomes and durations as metrics.
type InstrumentedWorkers struct{ workers Workers }

var _ Workers = InstrumentedWorkers{}

// NewInstrumentedWorkers adds metrics to workers.
func NewInstrumentedWorkers(workers Workers) InstrumentedWorkers { return InstrumentedWorkers{workers} }

// outcomeLabels holds the metric label of each error.
var outcomeLabels = []struct {
	err  error
	name string
}{
	{ErrNoAnswer, "no-answer"},
	{ErrNotSent, "not-sent"},
	{ErrFenced, "fenced"},
	{ErrRunSuperseded, "old-run"},
	{ErrDeadlinePassed, "late"},
	{ErrNoCapacity, "no-room"},
	{ErrTicket, "ticket"},
	{ErrOtherIncarnation, "other-life"},
	{ErrUnhealthy, "unhealthy"},
	{ErrBusy, "busy"},
}

// observe records the metrics of a call that began at the given time.
func observe(call string, begun time.Time, err error) {
	outcome := "done"
	if err != nil {
		outcome = "error"
	}
	for _, o := range outcomeLabels {
		if errors.Is(err, o.err) {
			outcome = o.name
			break
		}
	}
	metrics.GetOrCreateCounter(fmt.Sprintf(`aw_worker_calls_total{call=%q,outcome=%q}`, call, outcome)).Inc()
	metrics.GetOrCreateHistogram(fmt.Sprintf(`aw_worker_call_seconds{call=%q}`, call)).UpdateDuration(begun)
}

// Start starts a run.
func (w InstrumentedWorkers) Start(ctx context.Context, to Target, cmd Start) (time.Duration, error) {
	begun := time.Now()
	clock, err := w.workers.Start(ctx, to, cmd)
	observe("start", begun, err)
	return clock, err
}

// Stop stops a run.
func (w InstrumentedWorkers) Stop(ctx context.Context, to Target, cmd Stop) (time.Duration, error) {
	begun := time.Now()
	clock, err := w.workers.Stop(ctx, to, cmd)
	observe("stop", begun, err)
	return clock, err
}

// Heartbeat renews a worker's lease and returns its report.
func (w InstrumentedWorkers) Heartbeat(ctx context.Context, to Target, cmd Heartbeat) (Report, error) {
	begun := time.Now()
	report, err := w.workers.Heartbeat(ctx, to, cmd)
	observe("hold", begun, err)
	return report, err
}
