package sched

import (
	"errors"
	"fmt"

	"github.com/VictoriaMetrics/metrics"

	"arbutuswing.example/internal/state"
)

var (
	decisions   = metrics.NewCounter(`aw_sched_decisions_total`)
	starts      = metrics.NewCounter(`aw_sched_starts_total`)
	endings     = metrics.NewCounter(`aw_sched_ends_total`)
	quarantines = metrics.NewCounter(`aw_sched_quarantines_total`)
	throttles   = metrics.NewCounter(`aw_sched_throttles_total`)
	refusedJobs = metrics.NewCounter(`aw_sched_refused_jobs_total`)
	waiting     = metrics.NewHistogram(`aw_sched_waiting_seconds`)
	roundTime   = metrics.NewHistogram(`aw_sched_round_seconds`)
)

// voidReasons names the reasons of void bindings in metrics.
var voidReasons = []struct {
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

// countVoid counts an operation without effect by its reason.
func countVoid(err error) {
	name := "not-recorded"
	for _, r := range voidReasons {
		if errors.Is(err, r.err) {
			name = r.name
		}
	}
	metrics.GetOrCreateCounter(fmt.Sprintf(`aw_sched_void_total{reason=%q}`, name)).Inc()
}

func countEviction(why eviction) {
	metrics.GetOrCreateCounter(fmt.Sprintf(`aw_sched_evictions_total{reason=%q}`, string(why))).Inc()
}
