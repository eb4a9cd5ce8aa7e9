package fleet

import (
	"container/heap"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"arbutuswing.example/internal/model"
	"arbutuswing.example/internal/ports"
	"arbutuswing.example/standin/internal/audit"
)

var (
	// ErrUnknownWorker reports a worker that the fleet doesn't have.
	ErrUnknownWorker = errors.New("unknown worker")
	// ErrBadRequest reports a malformed command.
	ErrBadRequest = errors.New("bad command")
)

// Spec describes one worker.
type Spec struct {
	ID         model.WorkerID
	DataCentre model.DataCentreID
	Rack       model.RackID
	Capacity   model.Resources
}

// FactorRange bounds a random factor that is derived from a seed.
type FactorRange struct {
	Min float64 `json:"min"`
	Max float64 `json:"max"`
}

// Faults tells the fleet which faults are in force.
type Faults interface {
	audit.Declarations
	// FailsAllAttempts reports whether every attempt that starts on the worker fails.
	FailsAllAttempts(worker model.WorkerID) bool
}

// Config describes a fleet.
type Config struct {
	Clock clockwork.Clock
	Seed  int64
	// RunTime bounds the ratio of real to declared run times.
	RunTime FactorRange
	// Peak bounds the ratio of real peaks to declared sizes.
	Peak FactorRange
	// Scale multiplies the run times derived from declared ones, so that a demo can be short.
	Scale float64
	// UsageLag is the age of the usage in reports on running attempts.
	UsageLag time.Duration
	Workers  []Spec
	Faults   Faults
}

// Fleet holds all workers. One lock guards them all, so that counts across workers are exact.
type Fleet struct {
	cfg Config

	mu        sync.Mutex
	workers   map[model.WorkerID]*worker
	auditor   *audit.Auditor
	endQueue  endQueue
	bootCount int
	// baseSizes holds the reservation of each job's first attempt, for jobs without a declared size.
	baseSizes map[model.JobID]model.Resources
}

// New returns a fleet whose workers have just booted.
func New(cfg Config) *Fleet {
	f := &Fleet{
		cfg: cfg, workers: make(map[model.WorkerID]*worker, len(cfg.Workers)),
		auditor: audit.NewAuditor(cfg.Faults), baseSizes: make(map[model.JobID]model.Resources),
	}
	for _, spec := range cfg.Workers {
		w := &worker{fleet: f, spec: spec}
		w.boot(cfg.Clock.Now())
		f.workers[spec.ID] = w
	}
	return f
}

// Spec returns the description of a worker.
func (f *Fleet) Spec(id model.WorkerID) (Spec, error) {
	w, ok := f.workers[id]
	if !ok {
		return Spec{}, fmt.Errorf("%w: %q", ErrUnknownWorker, id)
	}
	return w.spec, nil
}

// withWorker runs a command on one worker, after ending all attempts that were due by now.
func (f *Fleet) withWorker(id model.WorkerID, command func(w *worker, now time.Time) error) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.endDueAttempts()
	w, ok := f.workers[id]
	if !ok {
		return fmt.Errorf("%w: %q", ErrUnknownWorker, id)
	}
	return command(w, now)
}

// Lease acquires a worker's lease, or renews it if the request has a token; it returns ports.ErrLeaseHeld or
// ports.ErrStaleToken.
func (f *Fleet) Lease(id model.WorkerID, req ports.LeaseRequest) (ports.WorkerReport, error) {
	var report ports.WorkerReport
	err := f.withWorker(id, func(w *worker, now time.Time) error {
		if err := w.lease(now, req); err != nil {
			return err
		}
		report = w.report(now)
		return nil
	})
	return report, err
}

// Inspect returns a worker's report; it needs no lease.
func (f *Fleet) Inspect(id model.WorkerID) (ports.WorkerReport, error) {
	var report ports.WorkerReport
	err := f.withWorker(id, func(w *worker, now time.Time) error {
		report = w.report(now)
		return nil
	})
	return report, err
}

// Release ends a worker's lease; it returns ports.ErrStaleToken.
func (f *Fleet) Release(id model.WorkerID, token model.Token) error {
	return f.withLease(id, token, func(w *worker, _ time.Time) error {
		w.leaseExpiry = time.Time{}
		return nil
	})
}

// Start starts attempts; it returns ports.ErrStaleToken, or ErrBadRequest without effect for an attempt without a task
// lease.
func (f *Fleet) Start(id model.WorkerID, token model.Token, starts []ports.StartRequest) error {
	return f.withLease(id, token, func(w *worker, now time.Time) error {
		for _, start := range starts {
			if start.TaskTTL <= 0 {
				return fmt.Errorf("%w: %s has no task lease", ErrBadRequest, start.Attempt)
			}
		}
		for _, start := range starts {
			w.start(now, start)
		}
		return nil
	})
}

// Stop ends running attempts with an outcome. An unknown attempt is recorded as never started, so that a start that
// arrives later has no effect. It returns ports.ErrStaleToken.
func (f *Fleet) Stop(id model.WorkerID, token model.Token, outcome model.Outcome, attempts []model.AttemptID) error {
	return f.withLease(id, token, func(w *worker, now time.Time) error {
		for _, attempt := range attempts {
			w.stop(now, attempt, outcome)
		}
		return nil
	})
}

// Checkpoint saves an attempt's progress; it returns ports.ErrStaleToken or ports.ErrUnknownTask.
func (f *Fleet) Checkpoint(id model.WorkerID, token model.Token, attempt model.AttemptID) error {
	return f.withLease(id, token, func(w *worker, now time.Time) error {
		a, ok := w.attempts[attempt]
		if !ok {
			return fmt.Errorf("%w: %s", ports.ErrUnknownTask, attempt)
		}
		if a.phase == ports.PhaseRunning {
			a.checkpoint = a.progress(now)
		}
		return nil
	})
}

// Throttle sets an attempt's speed to a fraction of full speed, above 0 and at most 1; it returns ports.ErrStaleToken,
// ErrBadRequest or ports.ErrUnknownTask.
func (f *Fleet) Throttle(id model.WorkerID, token model.Token, attempt model.AttemptID, fraction float64) error {
	return f.withLease(id, token, func(w *worker, now time.Time) error {
		if fraction <= 0 || fraction > 1 {
			return fmt.Errorf("%w: throttle %v", ErrBadRequest, fraction)
		}
		a, ok := w.attempts[attempt]
		if !ok {
			return fmt.Errorf("%w: %s", ports.ErrUnknownTask, attempt)
		}
		if a.phase == ports.PhaseRunning {
			a.setRate(now, fraction)
			f.scheduleEnd(a)
		}
		return nil
	})
}

// Acknowledge deletes ended attempts from the worker's report; it returns ports.ErrStaleToken.
func (f *Fleet) Acknowledge(id model.WorkerID, token model.Token, attempts []model.AttemptID) error {
	return f.withLease(id, token, func(w *worker, _ time.Time) error {
		for _, attempt := range attempts {
			w.acknowledge(attempt)
		}
		return nil
	})
}

// withLease runs a command if token is that of the worker's lease and the lease has not expired.
func (f *Fleet) withLease(id model.WorkerID, token model.Token, command func(w *worker, now time.Time) error) error {
	return f.withWorker(id, func(w *worker, now time.Time) error {
		if token != w.token || !now.Before(w.leaseExpiry) {
			return fmt.Errorf("%w: %d, worker is at %d", ports.ErrStaleToken, token, w.token)
		}
		return command(w, now)
	})
}

// Reboot reboots the matching workers and returns their number. Their attempts end with the outcome "lost" and no longer
// appear in reports.
func (f *Fleet) Reboot(matches func(Spec) bool) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.endDueAttempts()
	rebooted := 0
	for _, w := range f.workers {
		if matches(w.spec) {
			w.crash(now)
			w.boot(now)
			rebooted++
		}
	}
	return rebooted
}

// Audit returns the report of the audit as of now.
func (f *Fleet) Audit() audit.Report {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.auditor.Report(f.endDueAttempts())
}

// endDueAttempts ends every attempt that was due by now, in the order of the ends, and returns now.
func (f *Fleet) endDueAttempts() time.Time {
	now := f.cfg.Clock.Now()
	for len(f.endQueue) > 0 && !now.Before(f.endQueue[0].at) {
		item := heap.Pop(&f.endQueue).(endEvent)
		a := item.attempt
		if a.phase != ports.PhaseRunning {
			continue
		}
		if a.queuedEnd.Equal(item.at) {
			a.queuedEnd = time.Time{}
		}
		// The end may have moved since the event was queued. Queuing it again keeps ends in the order of time across workers.
		if due, outcome := a.nextEnd(); due.After(item.at) {
			f.scheduleEnd(a)
		} else {
			a.end(due, outcome)
		}
	}
	return now
}

// scheduleEnd ensures that the queue has an event no later than the attempt's end.
func (f *Fleet) scheduleEnd(a *attempt) {
	due, _ := a.nextEnd()
	if !a.queuedEnd.IsZero() && !due.Before(a.queuedEnd) {
		return
	}
	a.queuedEnd = due
	heap.Push(&f.endQueue, endEvent{at: due, attempt: a})
}
