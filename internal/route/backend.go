package route

import (
	"math"
	"time"

	"arbutuswing.example/internal/model"
	"arbutuswing.example/internal/ports"
)

const (
	// otherLoadHalfLife is the time in which the last report of other instances' load loses half its weight.
	otherLoadHalfLife = 100 * time.Millisecond
	minEjection       = 500 * time.Millisecond
	maxEjection       = 30 * time.Second
	// maxTimeouts is the number of consecutive requests without an answer after which the idle connections to an
	// endpoint are closed.
	maxTimeouts = 2
)

// backend is what this instance knows about one endpoint; guarded by the lock of its group.
type backend struct {
	id         model.EndpointID
	address    string
	dataCentre model.DataCentreID
	slots      int

	inflight int
	// otherLoad is the number of slots that other instances used at reportedAt.
	otherLoad  float64
	reportedAt time.Time
	// leavingSince is when this instance learned that the endpoint is leaving; zero if it is not leaving.
	leavingSince time.Time
	failures     int
	timeouts     int
	ejectedUntil time.Time
	listed       bool
}

// load estimates the number of busy slots at now.
func (b *backend) load(now time.Time) float64 {
	halfLives := float64(now.Sub(b.reportedAt)) / float64(otherLoadHalfLife)
	return float64(b.inflight) + b.otherLoad*math.Exp2(-max(halfLives, 0))
}

// eligible reports whether the endpoint may get another request.
func (b *backend) eligible(now time.Time) bool {
	if !b.listed || !b.leavingSince.IsZero() || now.Before(b.ejectedUntil) {
		return false
	}
	// The load is rounded to whole slots: less than half a slot of estimated load doesn't block the last free slot.
	return b.load(now)+0.5 < float64(b.slots)
}

func (b *backend) beginAttempt() { b.inflight++ }

// endAttempt applies the result of an attempt; it reports whether the endpoint's idle connections should be closed.
func (b *backend) endAttempt(result attemptResult, now time.Time) bool {
	b.inflight--
	switch r := result.(type) {
	case answered:
		b.otherLoad = max(float64(r.busy-b.inflight-1), 0)
		b.reportedAt = now
		b.failures, b.timeouts = 0, 0
	case busy:
		b.otherLoad = float64(b.slots - b.inflight)
		b.reportedAt = now
	case leaving:
		b.markLeaving(now)
	case notSent:
		b.recordFailure(now)
	case noAnswer:
		b.timeouts++
		b.recordFailure(now)
		return b.timeouts >= maxTimeouts
	}
	return false
}

// recordFailure ejects the endpoint after two consecutive failures, for a time that doubles with each further one.
func (b *backend) recordFailure(now time.Time) {
	b.failures++
	if b.failures < 2 {
		return
	}
	ejection := minEjection << min(b.failures-2, 10)
	b.ejectedUntil = now.Add(min(ejection, maxEjection))
}

func (b *backend) markLeaving(now time.Time) {
	if b.leavingSince.IsZero() {
		b.leavingSince = now
	}
}

// update applies the endpoint's row of the instance list.
func (b *backend) update(row ports.Instance, now time.Time) {
	b.address, b.dataCentre, b.slots, b.listed = row.Address, row.DataCentre, row.Slots, true
	if row.Presence == ports.PresenceLeaving {
		b.markLeaving(now)
	}
}

// attemptResult is the result of an attempt; the types below are the only implementations.
type attemptResult interface{ attemptResult() }

type (
	answered struct{ busy int }
	busy     struct{}
	leaving  struct{}
	notSent  struct{}
	noAnswer struct{}
)

func (answered) attemptResult() {}
func (busy) attemptResult()     {}
func (leaving) attemptResult()  {}
func (notSent) attemptResult()  {}
func (noAnswer) attemptResult() {}
