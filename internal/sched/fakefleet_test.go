package sched

import (
	"context"
	"strconv"
	"strings"
	"time"

	"github.com/jonboulle/clockwork"

	"arbutuswing.example/internal/model"
	"arbutuswing.example/internal/ports"
)

// fakeFleet is a fake of the workers: it rejects stale tokens and counts tasks that run twice and overcommitted
// workers.
type fakeFleet struct {
	clock       clockwork.Clock
	workers     map[string]*fakeWorker
	doubleRuns  int
	overcommits int
	// runTime is how long each attempt runs; peak returns the resources that it uses.
	runTime    time.Duration
	peak       func(ports.StartRequest) model.Resources
	startCount int
	// started holds every attempt that was ever started, since none may be started again.
	started map[model.AttemptID]bool
	// caller is the instance that makes the current calls.
	caller model.InstanceID
	// duringCall runs once within the next call to a worker, which simulates a pause of the caller during the call.
	duringCall func()
	// maxCommandDelay is the longest delay with which a command to a slow worker takes effect.
	maxCommandDelay time.Duration
}

func (f *fakeFleet) runDuringCall() {
	if pause := f.duringCall; pause != nil {
		f.duringCall = nil
		pause()
	}
}

// deliverLate delivers the delayed calls to the worker.
func (f *fakeFleet) deliverLate(w *fakeWorker) {
	late := w.lateCalls
	w.lateCalls = nil
	for _, call := range late {
		call()
	}
}

type fakeWorker struct {
	id             model.WorkerID
	dc             model.DataCentreID
	rack           model.RackID
	capacity       model.Resources
	boot           int
	bootedAt       time.Time
	token          model.Token
	leaseHolder    string
	leaseExpiresAt time.Time
	tasks          map[model.AttemptID]*fakeAttempt
	failsTasks     bool
	// unreachable drops calls before they take effect, answersLost drops the answers of calls that took effect.
	unreachable, answersLost bool
	// unreachableFrom drops the calls of single instances.
	unreachableFrom map[model.InstanceID]bool
	stops           int
	// lateCalls holds delayed calls to a slow worker: they take effect when the test delivers them, and their answers
	// are lost.
	slow      bool
	lateCalls []func()
}

type fakeAttempt struct {
	req        ports.StartRequest
	startedAt  time.Time
	expiresAt  time.Time
	ended      bool
	outcome    model.Outcome
	checkpoint time.Duration
	ranFor     time.Duration
	throttle   float64
}

// defaultCommandDelay is the longest delay of a command unless a test sets another.
const defaultCommandDelay = 2 * time.Second

func newFleet(clock clockwork.Clock, dc model.DataCentreID, count int, capacity model.Resources) *fakeFleet {
	f := &fakeFleet{
		clock: clock, workers: make(map[string]*fakeWorker), started: make(map[model.AttemptID]bool),
		runTime: 10 * time.Second, maxCommandDelay: defaultCommandDelay,
	}
	f.peak = func(ports.StartRequest) model.Resources { return model.Resources{} }
	f.add(dc, count, capacity)
	return f
}

func (f *fakeFleet) add(dc model.DataCentreID, count int, capacity model.Resources) {
	for range count {
		i := len(f.workers)
		id := workerName(i)
		f.workers[string(id)] = &fakeWorker{
			id: id, dc: dc, rack: model.RackID(string(dc) + "-r" + strconv.Itoa(i/8)), capacity: capacity, boot: 1,
			bootedAt: f.clock.Now(), tasks: make(map[model.AttemptID]*fakeAttempt),
			unreachableFrom: make(map[model.InstanceID]bool),
		}
	}
}

// List implements ports.Lister.
func (f *fakeFleet) List(context.Context) ([]ports.Instance, error) {
	out := make([]ports.Instance, 0, len(f.workers))
	for address, w := range f.workers {
		out = append(out, ports.Instance{
			ID: string(w.id), Role: ports.RoleWorker, DataCentre: w.dc, Rack: w.rack, Address: address,
			Presence: ports.PresenceLive, Capacity: w.capacity,
		})
	}
	return out, nil
}

func (w *fakeWorker) bootID() model.BootID { return model.BootID(strconv.Itoa(w.boot)) }

// endDueAttempts ends attempts whose run time or task lease is over.
func (f *fakeFleet) endDueAttempts(w *fakeWorker) {
	now := f.clock.Now()
	for id, a := range w.tasks {
		if a.ended {
			continue
		}
		if !now.Before(a.expiresAt) {
			delete(w.tasks, id) // An attempt whose task lease has expired is stopped; its end is never reported.
			continue
		}
		left := f.runTime - a.req.Resume.Std()
		if !a.req.Service && now.Sub(a.startedAt) >= left {
			a.ended, a.outcome, a.ranFor = true, model.OutcomeSucceeded, f.runTime
			if w.failsTasks {
				a.outcome = model.OutcomeFailed
			}
		}
	}
}

func (f *fakeFleet) endAllDueAttempts() {
	for _, w := range f.workers {
		f.endDueAttempts(w)
	}
}

func (f *fakeFleet) command(address string, token model.Token, effect func(*fakeWorker) error) error {
	w := f.workers[address]
	f.runDuringCall()
	if w.unreachable || w.unreachableFrom[f.caller] {
		return ports.ErrUnreachable
	}
	if w.slow {
		sent := f.clock.Now()
		w.lateCalls = append(w.lateCalls, func() {
			// The safety margin before a worker counts as lost covers commands delayed this long; lease renewals may be
			// delayed longer.
			if f.clock.Since(sent) <= f.maxCommandDelay {
				_ = f.applyCommand(w, token, effect)
			}
		})
		return ports.ErrUnreachable
	}
	return f.applyCommand(w, token, effect)
}

func (f *fakeFleet) applyCommand(w *fakeWorker, token model.Token, effect func(*fakeWorker) error) error {
	f.endDueAttempts(w)
	if token != w.token {
		return ports.ErrStaleToken
	}
	if err := effect(w); err != nil {
		return err
	}
	if w.answersLost {
		return ports.ErrUnreachable
	}
	return nil
}

// Lease implements ports.Worker.
func (f *fakeFleet) Lease(_ context.Context, address string, req ports.LeaseRequest) (ports.WorkerReport, error) {
	w := f.workers[address]
	f.runDuringCall()
	if w.unreachable || w.unreachableFrom[f.caller] {
		return ports.WorkerReport{}, ports.ErrUnreachable
	}
	if w.slow {
		w.lateCalls = append(w.lateCalls, func() { _, _ = f.applyLease(w, req) })
		return ports.WorkerReport{}, ports.ErrUnreachable
	}
	report, err := f.applyLease(w, req)
	f.runDuringCall()
	return report, err
}

func (f *fakeFleet) applyLease(w *fakeWorker, req ports.LeaseRequest) (ports.WorkerReport, error) {
	now := f.clock.Now()
	f.endDueAttempts(w)
	switch {
	case req.Token == 0 && now.Before(w.leaseExpiresAt) && w.leaseHolder != req.Holder:
		return ports.WorkerReport{}, ports.ErrLeaseHeld
	case req.Token == 0:
		w.token, w.leaseHolder = w.token+1, req.Holder
	case req.Token != w.token:
		return ports.WorkerReport{}, ports.ErrStaleToken
	}
	w.leaseExpiresAt = now.Add(req.TTL.Std())
	if req.TaskTTL > 0 {
		newExpiry := w.bootedAt.Add(req.Basis.Std()).Add(req.TaskTTL.Std())
		for _, a := range w.tasks {
			if newExpiry.After(a.expiresAt) {
				a.expiresAt = newExpiry
			}
		}
	}
	if w.answersLost {
		return ports.WorkerReport{}, ports.ErrUnreachable
	}
	return f.report(w), nil
}

func (f *fakeFleet) report(w *fakeWorker) ports.WorkerReport {
	now := f.clock.Now()
	out := ports.WorkerReport{
		Worker: w.id, Boot: w.bootID(), DataCentre: w.dc, Rack: w.rack, Capacity: w.capacity, Token: w.token,
		Clock: model.Duration(now.Sub(w.bootedAt)),
	}
	for id, a := range w.tasks {
		t := ports.TaskReport{
			Attempt: id, Phase: ports.PhaseRunning, Checkpoint: model.Duration(a.checkpoint), Throttle: a.throttle,
			Usage: model.Usage{Peak: f.peak(a.req), RunTime: model.Duration(now.Sub(a.startedAt))},
		}
		if a.ended {
			t.Phase, t.Outcome, t.Usage.RunTime = ports.PhaseEnded, a.outcome, model.Duration(a.ranFor)
		}
		out.Tasks = append(out.Tasks, t)
	}
	return out
}

// Release implements ports.Worker.
func (f *fakeFleet) Release(_ context.Context, address string, token model.Token) error {
	return f.command(address, token, func(w *fakeWorker) error {
		w.leaseExpiresAt = f.clock.Now()
		return nil
	})
}

// Start implements ports.Worker.
func (f *fakeFleet) Start(_ context.Context, address string, token model.Token, starts []ports.StartRequest) error {
	return f.command(address, token, func(w *fakeWorker) error {
		for _, req := range starts {
			if w.tasks[req.Attempt] == nil {
				f.start(w, req)
			}
		}
		return nil
	})
}

func (f *fakeFleet) start(w *fakeWorker, req ports.StartRequest) {
	f.endAllDueAttempts()
	used := req.Reservation
	for _, other := range f.workers {
		for id, a := range other.tasks {
			if a.ended {
				continue
			}
			if id.Task == req.Attempt.Task {
				f.doubleRuns++
			}
			if other == w {
				used = used.Plus(a.req.Reservation)
			}
		}
	}
	if !used.Fits(w.capacity) {
		f.overcommits++
	}
	if f.started[req.Attempt] {
		f.doubleRuns++
	}
	f.started[req.Attempt] = true
	f.startCount++
	w.tasks[req.Attempt] = &fakeAttempt{req: req, startedAt: f.clock.Now(), expiresAt: f.clock.Now().Add(req.TaskTTL.Std())}
}

// Stop implements ports.Worker.
func (f *fakeFleet) Stop(_ context.Context, address string, token model.Token, outcome model.Outcome, attempts []model.AttemptID) error {
	return f.command(address, token, func(w *fakeWorker) error {
		for _, id := range attempts {
			a := w.tasks[id]
			if a == nil {
				w.tasks[id] = &fakeAttempt{ended: true, outcome: model.OutcomeNeverStarted}
			} else if !a.ended {
				w.stops++
				a.ended, a.outcome, a.ranFor = true, outcome, f.clock.Since(a.startedAt)
			}
		}
		return nil
	})
}

// Checkpoint implements ports.Worker.
func (f *fakeFleet) Checkpoint(_ context.Context, address string, token model.Token, id model.AttemptID) error {
	return f.command(address, token, func(w *fakeWorker) error {
		a := w.tasks[id]
		if a == nil || a.ended {
			return ports.ErrUnknownTask
		}
		a.checkpoint = f.clock.Since(a.startedAt)
		return nil
	})
}

// Throttle implements ports.Worker.
func (f *fakeFleet) Throttle(_ context.Context, address string, token model.Token, id model.AttemptID, fraction float64) error {
	return f.command(address, token, func(w *fakeWorker) error {
		if a := w.tasks[id]; a != nil {
			a.throttle = fraction
		}
		return nil
	})
}

// Acknowledge implements ports.Worker.
func (f *fakeFleet) Acknowledge(_ context.Context, address string, token model.Token, attempts []model.AttemptID) error {
	return f.command(address, token, func(w *fakeWorker) error {
		for _, id := range attempts {
			if a := w.tasks[id]; a != nil && a.ended {
				delete(w.tasks, id)
			}
		}
		return nil
	})
}

// reboot restarts the worker, which loses its tasks and its lease.
func (f *fakeFleet) reboot(w *fakeWorker) {
	w.boot++
	w.bootedAt, w.tasks, w.leaseExpiresAt = f.clock.Now(), make(map[model.AttemptID]*fakeAttempt), time.Time{}
	w.token += 100
}

func (f *fakeFleet) running(prefix string) int {
	n := 0
	for _, w := range f.workers {
		f.endDueAttempts(w)
		for id, a := range w.tasks {
			if !a.ended && strings.HasPrefix(string(id.Task.Job), prefix) {
				n++
			}
		}
	}
	return n
}
