package route

import (
	"math"
	"time"

	"arbutuswing.example/internal/model"
	"arbutuswing.example/internal/ports"
)

const (
	// othersHalfLife is how fast the last report of other instances' requests loses its weight.
	othersHalfLife = 100 * time.Millisecond
	ejectionBase   = 500 * time.Millisecond
	ejectionLimit  = 30 * time.Second
	// forgetAfter is the number of consecutive time-outs after which all idle connections to an endpoint are closed.
	forgetAfter = 2
)

// backend is what this instance knows about one endpoint; its group's lock guards it.
type backend struct {
	id         model.EndpointID
	address    string
	dataCentre model.DataCentreID
	slots      int

	inflight int
	// others is the number of slots that other instances used at the time of report.
	others   float64
	reported time.Time
	// leavingSince is when this instance learned that the endpoint is leaving; zero while it is live.
	leavingSince time.Time
	failures     int
	timeouts     int
	ejectedUntil time.Time
	listed       bool
}

// load estimates the busy slots at now.
func (b *backend) load(now time.Time) float64 {
	halves := float64(now.Sub(b.reported)) / float64(othersHalfLife)
	return float64(b.inflight) + b.others*math.Exp2(-max(halves, 0))
}

// eligible reports whether the endpoint may get another request.
func (b *backend) eligible(now time.Time) bool {
	if !b.listed || !b.leavingSince.IsZero() || now.Before(b.ejectedUntil) {
		return false
	}
	// The estimate rounds: half a slot that others may use does not keep one free.
	return b.load(now)+0.5 < float64(b.slots)
}

func (b *backend) started() { b.inflight++ }

// finished takes in the result of an attempt; it reports whether the idle connections should be closed.
func (b *backend) finished(result attemptResult, now time.Time) bool {
	b.inflight--
	switch r := result.(type) {
	case answered:
		b.others = max(float64(r.busy-b.inflight-1), 0)
		b.reported = now
		b.failures, b.timeouts = 0, 0
	case busy:
		b.others = float64(b.slots - b.inflight)
		b.reported = now
	case leaving:
		b.leave(now)
	case notSent:
		b.fail(now)
	case noAnswer:
		b.timeouts++
		b.fail(now)
		return b.timeouts >= forgetAfter
	}
	return false
}

// fail ejects the endpoint for a time that doubles with each consecutive failure.
func (b *backend) fail(now time.Time) {
	b.failures++
	if b.failures < 2 {
		return
	}
	pause := ejectionBase << min(b.failures-2, 10)
	b.ejectedUntil = now.Add(min(pause, ejectionLimit))
}

func (b *backend) leave(now time.Time) {
	if b.leavingSince.IsZero() {
		b.leavingSince = now
	}
}

// refresh takes in a row of the instance list.
func (b *backend) refresh(row ports.Instance, now time.Time) {
	b.address, b.dataCentre, b.slots, b.listed = row.Address, row.DataCentre, row.Slots, true
	if row.Presence == ports.PresenceLeaving {
		b.leave(now)
	}
}

// attemptResult is how an attempt ended; the set of implementations is closed.
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
