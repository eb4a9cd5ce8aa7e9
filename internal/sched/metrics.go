package sched

import (
	"errors"
	"fmt"

	"github.com/VictoriaMetrics/metrics"

	"arbutuswing.example/internal/state"
)

var (
	decisions    = metrics.NewCounter(`aw_sched_decisions_total`)
	starts       = metrics.NewCounter(`aw_sched_starts_total`)
	endsRecorded = metrics.NewCounter(`aw_sched_ends_total`)
	quarantines  = metrics.NewCounter(`aw_sched_quarantines_total`)
	throttles    = metrics.NewCounter(`aw_sched_throttles_total`)
	refusedJobs  = metrics.NewCounter(`aw_sched_refused_jobs_total`)
	waitingTime  = metrics.NewHistogram(`aw_sched_waiting_seconds`)
	roundTime    = metrics.NewHistogram(`aw_sched_round_seconds`)
)

// rejectionNames maps the reasons of rejected operations to their labels in metrics.
var rejectionNames = []struct {
	err  error
	name string
}{
	{state.ErrNotQueued, "not-queued"},
	{state.ErrNoCapacity, "no-room"},
	{state.ErrWorkerUnusable, "worker-unusable"},
	{state.ErrOverLimit, "over-limit"},
	{state.ErrOutOfService, "out-of-service"},
	{state.ErrGangIncomplete, "gang-incomplete"},
	{state.ErrNotFound, "unknown-object"},
	{state.ErrNotCurrent, "not-current"},
}

// countRejection counts an operation that had no effect, by its reason.
func countRejection(err error) {
	name := "not-recorded"
	for _, r := range rejectionNames {
		if errors.Is(err, r.err) {
			name = r.name
		}
	}
	metrics.GetOrCreateCounter(fmt.Sprintf(`aw_sched_void_total{reason=%q}`, name)).Inc()
}

func countEviction(why evictionReason) {
	metrics.GetOrCreateCounter(fmt.Sprintf(`aw_sched_evictions_total{reason=%q}`, string(why))).Inc()
}
