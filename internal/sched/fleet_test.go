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

// fleetFake is the workers' side: it refuses stale tokens and counts tasks that run twice and overcommitted workers.
type fleetFake struct {
	clock   clockwork.Clock
	hosts   map[string]*host
	doubles int
	over    int
	// runTime is how long each attempt runs; profile sets what it uses.
	runTime time.Duration
	peak    func(ports.StartRequest) model.Resources
	ran     int
	// started holds every attempt that ever started, since none may start again.
	started map[model.AttemptID]bool
	// caller is the instance whose calls are being made.
	caller model.InstanceID
	// pause runs once within the next call to a worker, as if the holder stood still there.
	pause func()
}

func (f *fleetFake) interrupt() {
	if pause := f.pause; pause != nil {
		f.pause = nil
		pause()
	}
}

// deliver lets the calls that are on their way reach the worker.
func (f *fleetFake) deliver(h *host) {
	late := h.late
	h.late = nil
	for _, call := range late {
		call()
	}
}

type host struct {
	id       model.WorkerID
	dc       model.DataCentreID
	rack     model.RackID
	capacity model.Resources
	boot     int
	booted   time.Time
	token    model.Token
	holder   string
	expires  time.Time
	tasks    map[model.AttemptID]*run
	fails    bool
	// cut drops calls before their effect, mute drops the answers after it.
	cut, mute bool
	// cutFrom drops the calls of single instances.
	cutFrom map[model.InstanceID]bool
	stops   int
	// late holds calls on their way: they reach the worker when the test delivers them, and their answers are lost.
	slow bool
	late []func()
}

type run struct {
	req        ports.StartRequest
	started    time.Time
	lapses     time.Time
	ended      bool
	outcome    model.Outcome
	checkpoint time.Duration
	stopped    time.Duration
	throttle   float64
}

// maxLate is the longest time that a command is on its way in these tests.
const maxLate = 2 * time.Second

func newFleet(clock clockwork.Clock, dc model.DataCentreID, workers int, capacity model.Resources) *fleetFake {
	f := &fleetFake{clock: clock, hosts: make(map[string]*host), started: make(map[model.AttemptID]bool), runTime: 10 * time.Second}
	f.peak = func(ports.StartRequest) model.Resources { return model.Resources{} }
	f.add(dc, workers, capacity)
	return f
}

func (f *fleetFake) add(dc model.DataCentreID, workers int, capacity model.Resources) {
	for range workers {
		i := len(f.hosts)
		id := workerName(i)
		f.hosts[string(id)] = &host{
			id: id, dc: dc, rack: model.RackID(string(dc) + "-r" + strconv.Itoa(i/8)), capacity: capacity, boot: 1,
			booted: f.clock.Now(), tasks: make(map[model.AttemptID]*run), cutFrom: make(map[model.InstanceID]bool),
		}
	}
}

// List implements ports.Lister.
func (f *fleetFake) List(context.Context) ([]ports.Instance, error) {
	out := make([]ports.Instance, 0, len(f.hosts))
	for address, h := range f.hosts {
		out = append(out, ports.Instance{
			ID: string(h.id), Role: ports.RoleWorker, DataCentre: h.dc, Rack: h.rack, Address: address,
			Presence: ports.PresenceLive, Capacity: h.capacity,
		})
	}
	return out, nil
}

func (h *host) bootID() model.BootID { return model.BootID(strconv.Itoa(h.boot)) }

// settle ends attempts whose run time or lease is over.
func (f *fleetFake) settle(h *host) {
	now := f.clock.Now()
	for id, r := range h.tasks {
		if r.ended {
			continue
		}
		if !now.Before(r.lapses) {
			delete(h.tasks, id) // A lapsed attempt is stopped; its end is never reported.
			continue
		}
		left := f.runTime - r.req.Resume.Std()
		if !r.req.Service && now.Sub(r.started) >= left {
			r.ended, r.outcome, r.stopped = true, model.OutcomeSucceeded, f.runTime
			if h.fails {
				r.outcome = model.OutcomeFailed
			}
		}
	}
}

func (f *fleetFake) settleAll() {
	for _, h := range f.hosts {
		f.settle(h)
	}
}

func (f *fleetFake) command(address string, token model.Token, effect func(*host) error) error {
	h := f.hosts[address]
	f.interrupt()
	if h.cut || h.cutFrom[f.caller] {
		return ports.ErrUnreachable
	}
	if h.slow {
		sent := f.clock.Now()
		h.late = append(h.late, func() {
			// The margin of the loss protocol covers commands that are this late; renewals may be later.
			if f.clock.Since(sent) <= maxLate {
				_ = f.effect(h, token, effect)
			}
		})
		return ports.ErrUnreachable
	}
	return f.effect(h, token, effect)
}

func (f *fleetFake) effect(h *host, token model.Token, effect func(*host) error) error {
	f.settle(h)
	if token != h.token {
		return ports.ErrStaleToken
	}
	if err := effect(h); err != nil {
		return err
	}
	if h.mute {
		return ports.ErrUnreachable
	}
	return nil
}

// Lease implements ports.Worker.
func (f *fleetFake) Lease(_ context.Context, address string, req ports.LeaseRequest) (ports.WorkerReport, error) {
	h := f.hosts[address]
	f.interrupt()
	if h.cut || h.cutFrom[f.caller] {
		return ports.WorkerReport{}, ports.ErrUnreachable
	}
	if h.slow {
		h.late = append(h.late, func() { _, _ = f.lease(h, req) })
		return ports.WorkerReport{}, ports.ErrUnreachable
	}
	report, err := f.lease(h, req)
	f.interrupt()
	return report, err
}

func (f *fleetFake) lease(h *host, req ports.LeaseRequest) (ports.WorkerReport, error) {
	now := f.clock.Now()
	f.settle(h)
	switch {
	case req.Token == 0 && now.Before(h.expires) && h.holder != req.Holder:
		return ports.WorkerReport{}, ports.ErrLeaseHeld
	case req.Token == 0:
		h.token, h.holder = h.token+1, req.Holder
	case req.Token != h.token:
		return ports.WorkerReport{}, ports.ErrStaleToken
	}
	h.expires = now.Add(req.TTL.Std())
	if req.TaskTTL > 0 {
		lapses := h.booted.Add(req.Basis.Std()).Add(req.TaskTTL.Std())
		for _, r := range h.tasks {
			if lapses.After(r.lapses) {
				r.lapses = lapses
			}
		}
	}
	if h.mute {
		return ports.WorkerReport{}, ports.ErrUnreachable
	}
	return f.report(h), nil
}

func (f *fleetFake) report(h *host) ports.WorkerReport {
	now := f.clock.Now()
	out := ports.WorkerReport{
		Worker: h.id, Boot: h.bootID(), DataCentre: h.dc, Rack: h.rack, Capacity: h.capacity, Token: h.token,
		Clock: model.Duration(now.Sub(h.booted)),
	}
	for id, r := range h.tasks {
		t := ports.TaskReport{
			Attempt: id, Phase: ports.PhaseRunning, Checkpoint: model.Duration(r.checkpoint), Throttle: r.throttle,
			Usage: model.Usage{Peak: f.peak(r.req), RunTime: model.Duration(now.Sub(r.started))},
		}
		if r.ended {
			t.Phase, t.Outcome, t.Usage.RunTime = ports.PhaseEnded, r.outcome, model.Duration(r.stopped)
		}
		out.Tasks = append(out.Tasks, t)
	}
	return out
}

// Release implements ports.Worker.
func (f *fleetFake) Release(_ context.Context, address string, token model.Token) error {
	return f.command(address, token, func(h *host) error {
		h.expires = f.clock.Now()
		return nil
	})
}

// Start implements ports.Worker.
func (f *fleetFake) Start(_ context.Context, address string, token model.Token, starts []ports.StartRequest) error {
	return f.command(address, token, func(h *host) error {
		for _, req := range starts {
			if h.tasks[req.Attempt] == nil {
				f.start(h, req)
			}
		}
		return nil
	})
}

func (f *fleetFake) start(h *host, req ports.StartRequest) {
	f.settleAll()
	used := req.Reservation
	for _, other := range f.hosts {
		for id, r := range other.tasks {
			if r.ended {
				continue
			}
			if id.Task == req.Attempt.Task {
				f.doubles++
			}
			if other == h {
				used = used.Plus(r.req.Reservation)
			}
		}
	}
	if !used.Fits(h.capacity) {
		f.over++
	}
	if f.started[req.Attempt] {
		f.doubles++
	}
	f.started[req.Attempt] = true
	f.ran++
	h.tasks[req.Attempt] = &run{req: req, started: f.clock.Now(), lapses: f.clock.Now().Add(req.TaskTTL.Std())}
}

// Stop implements ports.Worker.
func (f *fleetFake) Stop(_ context.Context, address string, token model.Token, outcome model.Outcome, attempts []model.AttemptID) error {
	return f.command(address, token, func(h *host) error {
		for _, id := range attempts {
			r := h.tasks[id]
			if r == nil {
				h.tasks[id] = &run{ended: true, outcome: model.OutcomeNeverStarted}
			} else if !r.ended {
				h.stops++
				r.ended, r.outcome, r.stopped = true, outcome, f.clock.Since(r.started)
			}
		}
		return nil
	})
}

// Checkpoint implements ports.Worker.
func (f *fleetFake) Checkpoint(_ context.Context, address string, token model.Token, id model.AttemptID) error {
	return f.command(address, token, func(h *host) error {
		r := h.tasks[id]
		if r == nil || r.ended {
			return ports.ErrUnknownTask
		}
		r.checkpoint = f.clock.Since(r.started)
		return nil
	})
}

// Throttle implements ports.Worker.
func (f *fleetFake) Throttle(_ context.Context, address string, token model.Token, id model.AttemptID, fraction float64) error {
	return f.command(address, token, func(h *host) error {
		if r := h.tasks[id]; r != nil {
			r.throttle = fraction
		}
		return nil
	})
}

// Acknowledge implements ports.Worker.
func (f *fleetFake) Acknowledge(_ context.Context, address string, token model.Token, attempts []model.AttemptID) error {
	return f.command(address, token, func(h *host) error {
		for _, id := range attempts {
			if r := h.tasks[id]; r != nil && r.ended {
				delete(h.tasks, id)
			}
		}
		return nil
	})
}

// reboot restarts a worker: what it ran and knew is gone.
func (f *fleetFake) reboot(h *host) {
	h.boot++
	h.booted, h.tasks, h.expires = f.clock.Now(), make(map[model.AttemptID]*run), time.Time{}
	h.token += 100
}

func (f *fleetFake) running(prefix string) int {
	n := 0
	for _, h := range f.hosts {
		f.settle(h)
		for id, r := range h.tasks {
			if !r.ended && strings.HasPrefix(string(id.Task.Job), prefix) {
				n++
			}
		}
	}
	return n
}
