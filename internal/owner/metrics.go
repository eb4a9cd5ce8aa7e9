package owner

import (
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"arbutuswing.example/internal/shard"
)

var (
	ownershipsTotal = metrics.NewCounter(`aw_owner_tenures_total`)
	takeoverSeconds = metrics.NewHistogram(`aw_owner_takeover_seconds`)
	// unreadableRecords counts the records of this program that a node could not decode.
	unreadableRecords = metrics.NewCounter(`aw_unreadable_records_total`)
	// leaseMarginSeconds holds the times between the expiry of workers' leases and the presumed ends of their runs.
	leaseMarginSeconds = metrics.NewHistogram(`aw_lease_margin_seconds`)
	load               = newLoadGauges()
)

// loadGauges show the load of a node that owns jobs; without ownership they keep their last values.
type loadGauges struct {
	owned, jobs, waiting, late, teamLimit, advice, room, worker, runs, workers, usable, used, capacity *metrics.Gauge
	adviceNodes, adviceWaiting, adviceBacklog, adviceDrain, adviceWait                                 *metrics.Gauge
}

func newLoadGauges() loadGauges {
	gauge := func(name string) *metrics.Gauge { return metrics.NewGauge(name, nil) }
	return loadGauges{
		owned:     gauge(`aw_owner_owning`),
		jobs:      gauge(`aw_owner_jobs`),
		waiting:   gauge(`aw_owner_waiting_stages`),
		late:      gauge(`aw_owner_late_stages`),
		teamLimit: gauge(`aw_owner_blocked_stages{by="team-limit"}`),
		advice:    gauge(`aw_owner_blocked_stages{by="advice"}`),
		room:      gauge(`aw_owner_blocked_stages{by="room"}`),
		worker:    gauge(`aw_owner_blocked_stages{by="worker"}`),
		runs:      gauge(`aw_owner_runs`),
		workers:   gauge(`aw_owner_workers`),
		usable:    gauge(`aw_owner_usable_workers`),
		used:      gauge(`aw_owner_used_cores`),
		capacity:  gauge(`aw_owner_usable_cores`),

		adviceNodes:   gauge(`aw_owner_advice_nodes`),
		adviceWaiting: gauge(`aw_owner_advice_waiting_calls`),
		adviceBacklog: gauge(`aw_owner_advice_backlog_seconds`),
		adviceDrain:   gauge(`aw_owner_advice_drain_seconds`),
		adviceWait:    gauge(`aw_owner_advice_longest_wait_seconds`),
	}
}

func (g loadGauges) set(l shard.Load) {
	g.jobs.Set(float64(l.Jobs))
	g.waiting.Set(float64(l.WaitingStages))
	g.late.Set(float64(l.LateStages))
	g.teamLimit.Set(float64(l.AtTeamLimit))
	g.advice.Set(float64(l.WaitingForAdvice))
	g.room.Set(float64(l.WaitingForCapacity))
	g.worker.Set(float64(l.WaitingForWorker))
	g.runs.Set(float64(l.Runs))
	g.workers.Set(float64(l.Workers))
	g.usable.Set(float64(l.UsableWorkers))
	g.used.Set(float64(l.Used.Cores) / 1000)
	g.capacity.Set(float64(l.Capacity.Cores) / 1000)
	g.adviceNodes.Set(float64(l.AdviceNodes))
	g.adviceWaiting.Set(float64(l.AdviceWaiting))
	g.adviceBacklog.Set(l.AdviceBacklog.Std().Seconds())
	g.adviceDrain.Set(l.AdviceDrainTime.Std().Seconds())
	g.adviceWait.Set(l.LongestAdviceWait.Std().Seconds())
}

// countEvent counts an event by its name and records the durations that events carry.
func countEvent(e shard.Event) {
	metrics.GetOrCreateCounter(fmt.Sprintf(`aw_owner_events_total{event=%q}`, e.Name)).Inc()
	var histogram string
	switch e.Name {
	case shard.EventJobStarted:
		histogram = fmt.Sprintf(`aw_job_wait_seconds{queue=%q}`, e.Detail)
	case shard.EventJobCompleted:
		histogram = fmt.Sprintf(`aw_job_total_seconds{queue=%q}`, e.Detail)
	case shard.EventPresumedEndsConfirmed:
		leaseMarginSeconds.Update(max(0, time.Duration(e.Value)*time.Millisecond).Seconds())
		return
	default:
		return
	}
	took := time.Duration(e.Value) * time.Millisecond
	metrics.GetOrCreateHistogram(histogram).Update(took.Seconds())
}
