package shard

import (
	"time"

	"arbutuswing.example/internal/agent"
)

// goneReason is what proves that a run is gone whose end no worker has reported.
type goneReason string

const (
	goneLease       goneReason = "lease-expired"
	goneNotListed   goneReason = "not-listed"
	goneIncarnation goneReason = "worker-restarted"
)

// endUnreported ends a run whose end no worker has reported. The event's value is the time since the worker's last report.
func (s *Shard) endUnreported(a *attempt, reason goneReason, now time.Duration) {
	s.emit("run-gone", string(a.stage.job.spec.ID), a.ref().String(), a.worker, string(reason),
		(now - a.worker.lastReportAt).Milliseconds())
	s.endRun(a, agent.OutcomeLeaseExpired, "", now)
}
