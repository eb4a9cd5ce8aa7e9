package shard

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"arbutuswing.example/internal/agent"
)

const (
	// simUptime is how long workers have been up when a sequence begins: longer than a lease, so that a time on the clock of
	// a former incarnation is far off on that of the next.
	simUptime = time.Minute
	// simReportTimeout is how long the owner waits for a report.
	simReportTimeout = 2500 * time.Millisecond
)

// simOptions selects what the simulated platform does beyond what TestInvariantsUnderFaults has always played.
type simOptions struct {
	// uptime is the reading of the workers' clocks when the sequence begins.
	uptime time.Duration
	// lateStarts, lateStops and lateHeartbeats tell that late commands of a kind take 2 to 12 s and reach the next
	// incarnation of their worker. lateAcks tells that such a heartbeat acknowledges ended runs there.
	lateStarts, lateStops, lateHeartbeats, lateAcks bool
	// slowReports tells that reports may be applied after the answers to later starts.
	slowReports bool
	// silences tells that workers fall silent for longer than a lease, and noRestarts that none restarts.
	silences, noRestarts bool
	// formerOwner is for how long a former owner goes on after a takeover: it renews leases and sends starts.
	formerOwner time.Duration
	// heartbeatsFromArrival and startsFromArrival tell that the leases of late commands count from their arrival.
	heartbeatsFromArrival, startsFromArrival bool
}

// slowReport is an answer to a heartbeat that is under way to its owner.
type slowReport struct {
	owner  *Shard
	worker *simWorker
	report agent.Report
	until  time.Duration
}

func (o simOptions) heartbeatDeliveries() *rapid.Generator[string] {
	if o.slowReports {
		return rapid.SampledFrom([]string{"answered", "slow", "slow", "lost", "unanswered", "late"})
	}
	return drawDelivery
}

// delay lets a command arrive later.
func (cl *cluster) delay(w *simWorker, d delayedCommand) {
	d.worker, d.incarnation, d.sentAt, d.deliverAt = w, w.incarnation, w.clock, cl.now+3*time.Second
	o := cl.options
	if o.lateStarts || o.lateStops || o.lateHeartbeats || o.heartbeatsFromArrival || o.startsFromArrival {
		d.deliverAt = cl.now + time.Duration(rapid.IntRange(4, 24).Draw(cl.t, "half seconds"))*500*time.Millisecond
	}
	cl.delayed = append(cl.delayed, d)
}

// arrive carries out a delayed command, if its worker is up and, for another incarnation, if the options allow it.
func (cl *cluster) arrive(d delayedCommand) {
	w, other := d.worker, d.incarnation != d.worker.incarnation
	switch {
	case !w.up:
	case d.start != nil:
		// Tickets are valid during one life of the worker.
		if other && (!cl.options.lateStarts || cl.jobs[d.start.Start.Task.Job].Queue == "advised") {
			return
		}
		start := *d.start
		if !other && cl.options.startsFromArrival {
			start.Start.LeaseEnd += w.clock - d.sentAt
		}
		_, _ = cl.applyStart(start, other)
	case d.heartbeat != nil:
		if other && !cl.options.lateHeartbeats {
			return
		}
		heartbeat := *d.heartbeat
		if other && !cl.options.lateAcks {
			heartbeat.Acked = 0
		}
		if !other && cl.options.heartbeatsFromArrival && heartbeat.LeaseEnd > 0 {
			heartbeat.LeaseEnd += w.clock - d.sentAt
		}
		_, _ = cl.applyHeartbeat(w, heartbeat)
	case !other || cl.options.lateStops:
		_, _ = cl.applyStop(*d.stop)
	}
}

// awaitsReport reports whether the owner still waits for a report of the worker, so that it sends no further heartbeat.
func (cl *cluster) awaitsReport(w *simWorker) bool {
	kept := cl.reports[:0]
	waits := false
	for _, r := range cl.reports {
		if r.owner != cl.shard || cl.now > r.until {
			if r.owner == cl.shard {
				r.worker.connection++
			}
			continue
		}
		waits = waits || r.worker == w
		kept = append(kept, r)
	}
	cl.reports = kept
	return waits
}

// applySlowReports applies the reports that are under way.
func (cl *cluster) applySlowReports() {
	reports := cl.reports
	cl.reports = nil
	for _, r := range reports {
		if r.owner == cl.shard && cl.now <= r.until {
			cl.shard.ApplyReport(r.worker.id, r.report, cl.now)
		}
	}
}

// platformActions returns the actions that the options add.
func (cl *cluster) platformActions(pick func(*rapid.T) *simWorker) map[string]func(*rapid.T) {
	actions := make(map[string]func(*rapid.T))
	if cl.options == (simOptions{}) {
		return actions
	}
	// These make it likely that tasks start soon before and after a restart.
	actions["hold-all"] = func(*rapid.T) {
		for _, w := range cl.workers {
			cl.exchangeHeartbeat(w, "answered")
		}
	}
	actions["submit-send"] = func(t *rapid.T) {
		cl.submit(t)
		cl.sendCommands(func() string { return "answered" })
	}
	actions["send-answered"] = func(*rapid.T) { cl.sendCommands(func() string { return "answered" }) }
	actions["restart-hold"] = func(t *rapid.T) {
		if w := pick(t); w.up {
			cl.restartWorker(w)
			cl.exchangeHeartbeat(w, cl.options.heartbeatDeliveries().Draw(t, "answer"))
		}
	}
	if cl.options.slowReports {
		actions["report"] = func(*rapid.T) { cl.applySlowReports() }
	}
	if cl.options.silences {
		actions["silence"] = func(t *rapid.T) {
			w, length := pick(t), time.Duration(rapid.IntRange(16, 28).Draw(t, "half seconds"))*500*time.Millisecond
			cl.keepSilent(w, length)
		}
	}
	if cl.options.formerOwner > 0 {
		actions["former-hold"] = func(t *rapid.T) { cl.exchangeFormerHeartbeat(pick(t)) }
		actions["former-send"] = func(*rapid.T) { cl.sendFormerCommands() }
	}
	return actions
}

// keepSilent lets a worker be silent while the others report and the owner acts.
func (cl *cluster) keepSilent(w *simWorker, length time.Duration) {
	w.unreachable = true
	for end := cl.now + length; cl.now < end; {
		cl.advance(500 * time.Millisecond)
		if cl.options.formerOwner > 0 {
			cl.exchangeFormerHeartbeat(w)
			cl.sendFormerCommands()
		}
		for _, other := range cl.workers {
			if other != w {
				cl.exchangeHeartbeat(other, "answered")
			}
		}
		cl.sendCommands(func() string { return "answered" })
	}
	w.unreachable = false
}

// exchangeFormerHeartbeat lets the former owner send a heartbeat; it reaches workers that the new owner can't reach.
func (cl *cluster) exchangeFormerHeartbeat(w *simWorker) {
	if cl.former == nil || !w.up {
		return
	}
	heartbeat, ok := cl.former.HeartbeatFor(w.id, cl.now, cl.now-cl.lostAt < cl.options.formerOwner)
	if !ok {
		return
	}
	// The former owner has connections of its own; its acknowledgements are left out.
	heartbeat.Acked = 0
	report, ok := cl.applyHeartbeat(w, heartbeat)
	if !ok {
		cl.former = nil
		return
	}
	cl.former.ApplyReport(w.id, report, cl.now)
}

// sendFormerCommands lets the former owner send what it had recorded.
func (cl *cluster) sendFormerCommands() {
	if cl.former == nil || cl.now-cl.lostAt >= cl.options.formerOwner {
		return
	}
	former := cl.former
	commands := former.TakeCommands(cl.now)
	for _, cmd := range commands.Starts {
		clock, err := cl.applyStart(cmd, false)
		former.ApplyStartResult(cmd, clock, err, cl.now)
	}
	for _, cmd := range commands.Stops {
		clock, err := cl.applyStop(cmd)
		former.ApplyStopResult(cmd, clock, err, cl.now)
	}
	cl.checkInvariants()
}

func checkUnder(t *testing.T, options simOptions) {
	t.Helper()
	rapid.Check(t, func(t *rapid.T) {
		cl := newCluster(t, options)
		t.Repeat(cl.actions())
		cl.recoverAndFinish(t)
	})
}

// TestInvariantsUnderRestarts plays the faults of TestInvariantsUnderFaults with workers that have been up for long, and
// with starts soon before and after a restart.
func TestInvariantsUnderRestarts(t *testing.T) {
	checkUnder(t, simOptions{uptime: simUptime})
}

// TestInvariantsUnderSlowReports lets answers to starts overtake reports, also those of another incarnation.
func TestInvariantsUnderSlowReports(t *testing.T) {
	checkUnder(t, simOptions{uptime: simUptime, slowReports: true})
}

// TestInvariantsUnderSilences lets workers fall silent for longer than a lease, also soon after a restart.
func TestInvariantsUnderSilences(t *testing.T) {
	checkUnder(t, simOptions{uptime: simUptime, silences: true})
}

// TestInvariantsUnderLongSilences lets workers fall silent for longer than a lease, but not restart.
func TestInvariantsUnderLongSilences(t *testing.T) {
	checkUnder(t, simOptions{uptime: simUptime, silences: true, noRestarts: true})
}

// TestInvariantsUnderLateStarts lets late starts reach the next incarnation of their worker.
func TestInvariantsUnderLateStarts(t *testing.T) {
	checkUnder(t, simOptions{uptime: simUptime, silences: true, lateStarts: true})
}

// TestInvariantsUnderLateStops lets late stops reach the next incarnation of their worker.
func TestInvariantsUnderLateStops(t *testing.T) {
	checkUnder(t, simOptions{uptime: simUptime, silences: true, lateStops: true})
}

// TestInvariantsUnderLateHeartbeats lets late heartbeats reach the next incarnation of their worker.
func TestInvariantsUnderLateHeartbeats(t *testing.T) {
	checkUnder(t, simOptions{uptime: simUptime, silences: true, lateHeartbeats: true})
}

// TestInvariantsUnderLateAcknowledgements lets late heartbeats acknowledge ended runs of the next incarnation.
func TestInvariantsUnderLateAcknowledgements(t *testing.T) {
	checkUnder(t, simOptions{uptime: simUptime, silences: true, lateHeartbeats: true, lateAcks: true})
}

// TestInvariantsUnderFormerOwner lets a former owner go on until its limit of renewals.
func TestInvariantsUnderFormerOwner(t *testing.T) {
	checkUnder(t, simOptions{
		uptime: simUptime, silences: true, noRestarts: true,
		formerOwner: 3 * time.Second,
	})
}

// TestInvariantsUnderFormerOwnerAndRestarts lets a former owner go on while workers restart.
func TestInvariantsUnderFormerOwnerAndRestarts(t *testing.T) {
	checkUnder(t, simOptions{
		uptime: simUptime, silences: true,
		formerOwner: 3 * time.Second,
	})
}

// TestInvariantsUnderHeartbeatsFromArrival lets the leases of late heartbeats count from their arrival.
func TestInvariantsUnderHeartbeatsFromArrival(t *testing.T) {
	checkUnder(t, simOptions{uptime: simUptime, silences: true, heartbeatsFromArrival: true, noRestarts: true})
}

// TestInvariantsUnderStartsFromArrival lets the leases of late starts count from their arrival.
func TestInvariantsUnderStartsFromArrival(t *testing.T) {
	checkUnder(t, simOptions{uptime: simUptime, silences: true, startsFromArrival: true, noRestarts: true})
}
