package trial

import (
	"fmt"
	"time"

	"arbutuswing.example/bench/internal/fleet"
	"arbutuswing.example/bench/internal/mixes"
	"arbutuswing.example/internal/decl"
	"arbutuswing.example/internal/model"
)

const (
	timeStep = 250 * time.Millisecond
	// The last data centre is taken out of service at outOfServiceAt, powered off at poweredOffAt, and back in service
	// at backInServiceAt.
	outOfServiceAt  = 75 * time.Minute
	poweredOffAt    = outOfServiceAt + 2*time.Minute
	backInServiceAt = outOfServiceAt + 40*time.Minute
	// referencePeriod is the time before outOfServiceAt whose work is the reference for the work during the change.
	referencePeriod = 20 * time.Minute
	trialLength     = 4 * time.Hour
)

var (
	centres = []model.DataCentreID{"dc1", "dc2", "dc3"}
	workers = []int{17, 17, 16}
)

const changedDataCentre = model.DataCentreID("dc3")

// scheduler is a scheduler under test; the trial calls it at each step of the simulated time.
type scheduler interface {
	submitJobs(now time.Duration, jobs []*mixes.Job) error
	// step makes scheduling decisions and carries them out.
	step(now time.Duration) error
	// setInService takes a data centre out of service or puts it back.
	setInService(now time.Duration, dc model.DataCentreID, in bool) error
	// runsLost reports runs that ended without a report because their workers were powered off.
	runsLost(runs []*fleet.Run)
	// violations returns the number of invariant violations, or zero if invariants are not checked.
	violations() int
}

// trial is one simulated run of a workload.
type trial struct {
	mix     mixes.Mix
	fleet   *fleet.Fleet
	jobs    map[model.JobID]*mixes.Job
	sched   scheduler
	score   *score
	nextJob int
	now     time.Duration
	// outOfService holds the data centres that are out of service.
	outOfService map[model.DataCentreID]bool
}

func newTrial(mix mixes.Mix) *trial {
	t := &trial{
		mix: mix, fleet: fleet.New(centres, workers), jobs: make(map[model.JobID]*mixes.Job, len(mix.Jobs)),
		outOfService: make(map[model.DataCentreID]bool),
	}
	for i := range mix.Jobs {
		t.jobs[mix.Jobs[i].Spec.ID] = &mix.Jobs[i]
	}
	t.score = newScore(t)
	t.fleet.OnRunEnd = t.score.ended
	return t
}

// startRun starts a run on a worker and records the start.
func (t *trial) startRun(now time.Duration, w *fleet.Worker, r *fleet.Run) {
	job := t.jobs[r.Attempt.Task.Job]
	r.Team, r.Class, r.Actual = job.Spec.Team, job.Spec.Class, job.Tasks[r.Attempt.Task.Index]
	if t.outOfService[w.DataCentre] {
		t.score.startsOutOfService++
	}
	w.Start(r, now)
	t.score.started(now, job, r)
}

// run simulates the whole workload.
func (t *trial) run() error {
	for now := timeStep; now <= trialLength; now += timeStep {
		t.now = now
		t.fleet.Step(timeStep)
		if err := t.changeService(now); err != nil {
			return err
		}
		if err := t.submitArrivals(now); err != nil {
			return err
		}
		if err := t.sched.step(now); err != nil {
			return fmt.Errorf("deciding at %s: %w", now, err)
		}
		if now%time.Second == 0 {
			t.score.sample(now)
		}
	}
	return nil
}

func (t *trial) submitArrivals(now time.Duration) error {
	var jobs []*mixes.Job
	for ; t.nextJob < len(t.mix.Jobs) && t.mix.Jobs[t.nextJob].Arrival <= now; t.nextJob++ {
		jobs = append(jobs, &t.mix.Jobs[t.nextJob])
		t.score.arrived(&t.mix.Jobs[t.nextJob])
	}
	if len(jobs) == 0 {
		return nil
	}
	return t.sched.submitJobs(now, jobs)
}

// changeService takes the last data centre out of service, powers it off and puts it back.
func (t *trial) changeService(now time.Duration) error {
	switch now {
	case outOfServiceAt:
		t.outOfService[changedDataCentre] = true
		return t.sched.setInService(now, changedDataCentre, false)
	case poweredOffAt:
		runs := t.fleet.SetPoweredOff(changedDataCentre, true)
		t.score.runningAtPowerOff = len(runs)
		t.sched.runsLost(runs)
	case backInServiceAt:
		t.fleet.SetPoweredOff(changedDataCentre, false)
		delete(t.outOfService, changedDataCentre)
		return t.sched.setInService(now, changedDataCentre, true)
	}
	return nil
}

// serviceOf returns the declared state of service of a data centre.
func serviceOf(in bool) decl.ServiceState {
	if in {
		return decl.InService
	}
	return decl.OutOfService
}
