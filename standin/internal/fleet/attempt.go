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

	phase   ports.TaskPhase
	outcome model.Outcome
	started time.Time
	ended   time.Time
	lease   time.Time

	// total is the real run time at full speed, with the part that a resumed checkpoint covers.
	total time.Duration
	// done is the part of it that was covered at the time since; from then on it grows at rate.
	done       time.Duration
	since      time.Time
	rate       float64
	checkpoint time.Duration
	natural    model.Outcome
	peak       model.Resources

	// scheduled is the time of the attempt's earliest entry in the agenda.
	scheduled time.Time
}

// reality is the JSON form of a payload with which tests choose what a task really does.
type reality struct {
	RunTime model.Duration   `json:"run-time"`
	Peak    *model.Resources `json:"peak"`
	Outcome model.Outcome    `json:"outcome"`
}

func (w *worker) newAttempt(now, lease time.Time, req ports.StartRequest) *attempt {
	cfg := w.fleet.cfg
	a := &attempt{
		id: req.Attempt, worker: w, reservation: req.Reservation, service: req.Service,
		phase: ports.PhaseRunning, started: now, lease: lease,
		done: req.Resume.Std(), since: now, rate: 1, checkpoint: req.Resume.Std(), natural: model.OutcomeSucceeded,
	}
	task := req.Attempt.Task
	factor := cfg.RunTime.factor(cfg.Seed, "run-time "+task.String())
	a.total = time.Duration(float64(req.DeclaredRunTime) * factor * cfg.Scale)
	a.peak = scaled(w.fleet.base(task.Job, req), cfg.Peak.factor(cfg.Seed, "peak "+task.String()))
	a.override(req.Payload)
	if cfg.Rules.Failing(w.spec.ID) {
		a.natural = model.OutcomeFailed
		a.service = false
		a.total = a.done + failAfter
	}
	return a
}

// override applies a payload that is a JSON object of the known form; any other payload means nothing here.
func (a *attempt) override(payload string) {
	var wanted reality
	if payload == "" || json.Unmarshal([]byte(payload), &wanted) != nil {
		return
	}
	if wanted.RunTime > 0 {
		a.total = wanted.RunTime.Std()
	}
	if wanted.Peak != nil {
		a.peak = *wanted.Peak
	}
	if wanted.Outcome == model.OutcomeFailed {
		a.natural = wanted.Outcome
	}
}

// base returns the declared size, or the first reservation that was seen for the job. It must not follow learned
// reservations: they would grow with the peaks that are derived from it.
func (f *Fleet) base(job model.JobID, req ports.StartRequest) model.Resources {
	if !req.Size.Zero() {
		return req.Size
	}
	if first, ok := f.bases[job]; ok {
		return first
	}
	f.bases[job] = req.Reservation
	return req.Reservation
}

// factor draws from the range, evenly in its logarithm; the same task always gets the same factor.
func (r Range) factor(seed int64, key string) float64 {
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

// progress returns the run time covered by now.
func (a *attempt) progress(now time.Time) time.Duration {
	covered := a.done + time.Duration(float64(now.Sub(a.since))*a.rate)
	if a.service {
		return covered
	}
	return min(covered, max(a.total, a.done))
}

func (a *attempt) setRate(now time.Time, rate float64) {
	a.done, a.since, a.rate = a.progress(now), now, rate
}

// due returns when the attempt ends if nothing changes, and how. A task that loses its lease reports the outcome
// "lost", so that a task that may not be rerun isn't.
func (a *attempt) due() (time.Time, model.Outcome) {
	if a.service {
		return a.lease, model.OutcomeLost
	}
	left := time.Duration(float64(max(0, a.total-a.done)) / a.rate)
	if finish := a.since.Add(left); !finish.After(a.lease) {
		return finish, a.natural
	}
	return a.lease, model.OutcomeLost
}

func (a *attempt) end(now time.Time, outcome model.Outcome) {
	a.phase, a.outcome, a.ended = ports.PhaseEnded, outcome, now
	a.worker.reserved = a.worker.reserved.Minus(a.reservation)
	a.worker.fleet.ledger.Ended(now, a.id, a.worker.spec.ID, outcome)
}

// report describes the attempt; the usage of a running one is as old as the configured lag.
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
