package fleet

import (
	"fmt"
	"slices"
	"strconv"
	"time"

	"arbutuswing.example/internal/model"
	"arbutuswing.example/internal/ports"
	"arbutuswing.example/standin/internal/audit"
)

// failAfter is how long attempts run on a worker with the fault that fails all of them.
const failAfter = 50 * time.Millisecond

// worker is one worker; the fleet's lock guards it.
type worker struct {
	fleet  *Fleet
	spec   Spec
	bootID model.BootID
	booted time.Time
	// token rises with each acquisition of the lease and never falls, not even at a reboot.
	token       model.Token
	holder      string
	leaseExpiry time.Time
	// attempts holds the running attempts and the ended ones that are not acknowledged; reportOrder holds them in the order
	// in which they became known.
	attempts    map[model.AttemptID]*attempt
	reportOrder []*attempt
	reserved    model.Resources
}

func (w *worker) boot(now time.Time) {
	w.fleet.bootCount++
	w.bootID = model.BootID(string(w.spec.ID) + "-boot-" + strconv.FormatInt(now.UnixNano(), 36) + "-" +
		strconv.Itoa(w.fleet.bootCount))
	w.booted = now
	w.holder = ""
	w.leaseExpiry = time.Time{}
	w.attempts = make(map[model.AttemptID]*attempt)
	w.reportOrder = nil
	w.reserved = model.Resources{}
}

// crash ends all running attempts with the outcome "lost".
func (w *worker) crash(now time.Time) {
	for _, a := range w.reportOrder {
		if a.phase == ports.PhaseRunning {
			a.end(now, model.OutcomeLost)
		}
	}
}

func (w *worker) lease(now time.Time, req ports.LeaseRequest) error {
	if req.Holder == "" || req.TTL <= 0 {
		return fmt.Errorf("%w: a lease needs a holder and a duration", ErrBadRequest)
	}
	live := now.Before(w.leaseExpiry)
	switch {
	case req.Token == 0 && live && w.holder != req.Holder:
		return fmt.Errorf("%w: %s", ports.ErrLeaseHeld, w.holder)
	case req.Token == 0:
		w.token++
		w.holder = req.Holder
	case req.Token != w.token || !live || w.holder != req.Holder:
		return fmt.Errorf("%w: %d, worker is at %d", ports.ErrStaleToken, req.Token, w.token)
	}
	w.leaseExpiry = now.Add(req.TTL.Std())
	if req.TaskTTL > 0 {
		w.extendTaskLeases(now, req.Basis.Std(), req.TaskTTL.Std())
	}
	return nil
}

// leaseEnd returns when a task lease expires that lasts until basis plus ttl on the worker's clock, which starts at its
// boot. A basis in the future can only come from an earlier boot and is taken as now.
func (w *worker) leaseEnd(now time.Time, basis, ttl time.Duration) time.Time {
	return w.booted.Add(min(basis, now.Sub(w.booted)) + ttl)
}

// extendTaskLeases extends the task leases of running attempts; it never shortens one.
func (w *worker) extendTaskLeases(now time.Time, basis, ttl time.Duration) {
	until := w.leaseEnd(now, basis, ttl)
	for _, a := range w.reportOrder {
		if a.phase == ports.PhaseRunning && until.After(a.leaseExpiry) {
			a.leaseExpiry = until
		}
	}
}

func (w *worker) start(now time.Time, req ports.StartRequest) {
	if _, known := w.attempts[req.Attempt]; known {
		return
	}
	lease := w.leaseEnd(now, req.Basis.Std(), req.TaskTTL.Std())
	if !lease.After(now) {
		// The holder considers this attempt's lease expired, so another worker may already run the task.
		return
	}
	a := w.newAttempt(now, lease, req)
	w.attempts[req.Attempt] = a
	w.reportOrder = append(w.reportOrder, a)
	w.reserved = w.reserved.Plus(req.Reservation)
	w.fleet.auditor.RecordStart(now, audit.Start{
		Attempt: req.Attempt, Team: req.Team, Worker: w.spec.ID, DataCentre: w.spec.DataCentre,
		Reservation: req.Reservation, TotalReserved: w.reserved, Capacity: w.spec.Capacity,
	})
	w.fleet.scheduleEnd(a)
}

func (w *worker) stop(now time.Time, id model.AttemptID, outcome model.Outcome) {
	a, known := w.attempts[id]
	switch {
	case !known:
		a = &attempt{id: id, worker: w, phase: ports.PhaseEnded, outcome: model.OutcomeNeverStarted}
		w.attempts[id] = a
		w.reportOrder = append(w.reportOrder, a)
	case a.phase == ports.PhaseRunning:
		a.end(now, outcome)
	}
}

func (w *worker) acknowledge(id model.AttemptID) {
	a, known := w.attempts[id]
	if !known || a.phase != ports.PhaseEnded {
		return
	}
	delete(w.attempts, id)
	w.reportOrder = slices.DeleteFunc(w.reportOrder, func(other *attempt) bool { return other == a })
	w.fleet.auditor.RecordAcknowledgement(id, a.outcome)
}

func (w *worker) report(now time.Time) ports.WorkerReport {
	report := ports.WorkerReport{
		Worker: w.spec.ID, Boot: w.bootID, DataCentre: w.spec.DataCentre, Rack: w.spec.Rack, Capacity: w.spec.Capacity,
		Token: w.token, Clock: model.Duration(now.Sub(w.booted)), Tasks: make([]ports.TaskReport, 0, len(w.reportOrder)),
	}
	for _, a := range w.reportOrder {
		report.Tasks = append(report.Tasks, a.report(now))
	}
	return report
}
