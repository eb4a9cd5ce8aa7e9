package fleet

import (
	"encoding/json"
	"hash/fnv"
	"math"
	"math/rand/v2"
	"time"

	"arbutuswing.example/internal/model"
	"arbutuswing.example/internal/ports"
)

// attempt is one attempt on one worker; the fleet's lock guards it.
type attempt struct {
	id          model.AttemptID
	worker      *worker
	reservation model.Resources
	service     bool

	phase       ports.TaskPhase
	outcome     model.Outcome
	started     time.Time
	ended       time.Time
	leaseExpiry time.Time

	// runTime is the real run time at full speed, including the part that a resumed checkpoint covers.
	runTime time.Duration
	// baseProgress is the part of runTime that was done at rateSetAt; since then, progress has grown at rate.
	baseProgress   time.Duration
	rateSetAt      time.Time
	rate           float64
	checkpoint     time.Duration
	plannedOutcome model.Outcome
	peak           model.Resources

	// queuedEnd is the time of the attempt's earliest event in the end queue; zero if there is none.
	queuedEnd time.Time
}

// payloadOverride is a payload in JSON with which tests set the real run time, peak and outcome of a task.
type payloadOverride struct {
	RunTime model.Duration   `json:"run-time"`
	Peak    *model.Resources `json:"peak"`
	Outcome model.Outcome    `json:"outcome"`
}

func (w *worker) newAttempt(now, lease time.Time, req ports.StartRequest) *attempt {
	cfg := w.fleet.cfg
	a := &attempt{
		id: req.Attempt, worker: w, reservation: req.Reservation, service: req.Service,
		phase: ports.PhaseRunning, started: now, leaseExpiry: lease,
		baseProgress: req.Resume.Std(), rateSetAt: now, rate: 1, checkpoint: req.Resume.Std(),
		plannedOutcome: model.OutcomeSucceeded,
	}
	task := req.Attempt.Task
	factor := cfg.RunTime.drawFactor(cfg.Seed, "run-time "+task.String())
	a.runTime = time.Duration(float64(req.DeclaredRunTime) * factor * cfg.Scale)
	a.peak = scaled(w.fleet.baseSize(task.Job, req), cfg.Peak.drawFactor(cfg.Seed, "peak "+task.String()))
	a.applyPayload(req.Payload)
	if cfg.Faults.FailsAllAttempts(w.spec.ID) {
		a.plannedOutcome = model.OutcomeFailed
		a.service = false
		a.runTime = a.baseProgress + failAfter
	}
	return a
}

// applyPayload applies a payload that is a payloadOverride in JSON; any other payload is ignored.
func (a *attempt) applyPayload(payload string) {
	var requested payloadOverride
	if payload == "" || json.Unmarshal([]byte(payload), &requested) != nil {
		return
	}
	if requested.RunTime > 0 {
		a.runTime = requested.RunTime.Std()
	}
	if requested.Peak != nil {
		a.peak = *requested.Peak
	}
	if requested.Outcome == model.OutcomeFailed {
		a.plannedOutcome = requested.Outcome
	}
}

// baseSize returns the size from which the real peak is derived: the declared size, or without one the reservation of the
// job's first attempt. It must not follow the scheduler's learned reservations: they are learned from the peaks, so that
// both would grow without bound.
func (f *Fleet) baseSize(job model.JobID, req ports.StartRequest) model.Resources {
	if !req.Size.Zero() {
		return req.Size
	}
	if first, ok := f.baseSizes[job]; ok {
		return first
	}
	f.baseSizes[job] = req.Reservation
	return req.Reservation
}

// drawFactor draws a log-uniform factor from the range; the same seed and key always give the same factor.
func (r FactorRange) drawFactor(seed int64, key string) float64 {
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(key))
	random := rand.New(rand.NewPCG(uint64(seed), hash.Sum64()))
	low, high := math.Log(r.Min), math.Log(r.Max)
	return math.Exp(low + random.Float64()*(high-low))
}

func scaled(r model.Resources, factor float64) model.Resources {
	return model.Resources{
		Cores:        model.MilliCores(math.Ceil(float64(r.Cores) * factor)),
		Memory:       model.Mebibytes(math.Ceil(float64(r.Memory) * factor)),
		Accelerators: r.Accelerators,
	}
}

// progress returns how much of the run time is done at now.
func (a *attempt) progress(now time.Time) time.Duration {
	covered := a.baseProgress + time.Duration(float64(now.Sub(a.rateSetAt))*a.rate)
	if a.service {
		return covered
	}
	return min(covered, max(a.runTime, a.baseProgress))
}

func (a *attempt) setRate(now time.Time, rate float64) {
	a.baseProgress, a.rateSetAt, a.rate = a.progress(now), now, rate
}

// nextEnd returns the time and outcome of the attempt's end if nothing changes until then. An attempt whose lease
// expires reports the outcome "lost", so that a task that may not be rerun isn't.
func (a *attempt) nextEnd() (time.Time, model.Outcome) {
	if a.service {
		return a.leaseExpiry, model.OutcomeLost
	}
	left := time.Duration(float64(max(0, a.runTime-a.baseProgress)) / a.rate)
	if finish := a.rateSetAt.Add(left); !finish.After(a.leaseExpiry) {
		return finish, a.plannedOutcome
	}
	return a.leaseExpiry, model.OutcomeLost
}

func (a *attempt) end(now time.Time, outcome model.Outcome) {
	a.phase, a.outcome, a.ended = ports.PhaseEnded, outcome, now
	a.worker.reserved = a.worker.reserved.Minus(a.reservation)
	a.worker.fleet.auditor.RecordEnd(now, a.id, a.worker.spec.ID, outcome)
}

// report describes the attempt; the usage of a running attempt is delayed by the configured lag.
func (a *attempt) report(now time.Time) ports.TaskReport {
	report := ports.TaskReport{
		Attempt: a.id, Phase: a.phase, Outcome: a.outcome, Checkpoint: model.Duration(a.checkpoint), Throttle: a.rate,
	}
	switch {
	case a.started.IsZero():
	case a.phase == ports.PhaseEnded:
		report.Usage = model.Usage{Peak: a.peak, RunTime: model.Duration(a.ended.Sub(a.started))}
	default:
		if seen := now.Sub(a.started) - a.worker.fleet.cfg.UsageLag; seen > 0 {
			report.Usage = model.Usage{Peak: a.peak, RunTime: model.Duration(seen)}
		}
	}
	return report
}
