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
	step = 250 * time.Millisecond
	// outAt, offAt and inAt are when the last data centre is taken out of service, switched off, and both undone.
	outAt = 75 * time.Minute
	offAt = outAt + 2*time.Minute
	inAt  = outAt + 40*time.Minute
	// before is how long before outAt the reference for the work during the change is taken.
	before = 20 * time.Minute
	length = 4 * time.Hour
)

var (
	centres = []model.DataCentreID{"dc1", "dc2", "dc3"}
	workers = []int{17, 17, 16}
)

const leaving = model.DataCentreID("dc3")

// scheduler decides; time passes in steps.
type scheduler interface {
	// arrive queues jobs.
	arrive(now time.Duration, jobs []*mixes.Job) error
	// step makes decisions and acts on them.
	step(now time.Duration) error
	// service takes a data centre out of service or puts it back.
	service(now time.Duration, dc model.DataCentreID, in bool) error
	// lost tells of runs that vanished with their workers.
	lost(runs []*fleet.Run)
	// violations returns how often an invariant was violated, where invariants are checked.
	violations() int
}

// trial is one run of a mix.
type trial struct {
	mix   mixes.Mix
	fleet *fleet.Fleet
	jobs  map[model.JobID]*mixes.Job
	sched scheduler
	score *score
	next  int
	now   time.Duration
	// out holds the data centres out of service.
	out map[model.DataCentreID]bool
}

func newTrial(mix mixes.Mix) *trial {
	t := &trial{
		mix: mix, fleet: fleet.New(centres, workers), jobs: make(map[model.JobID]*mixes.Job, len(mix.Jobs)),
		out: make(map[model.DataCentreID]bool),
	}
	for i := range mix.Jobs {
		t.jobs[mix.Jobs[i].Spec.ID] = &mix.Jobs[i]
	}
	t.score = newScore(t)
	t.fleet.Ended = t.score.ended
	return t
}

// launch starts a run on a worker and scores its first start.
func (t *trial) launch(now time.Duration, w *fleet.Worker, r *fleet.Run) {
	job := t.jobs[r.Attempt.Task.Job]
	r.Team, r.Class, r.Need = job.Spec.Team, job.Spec.Class, job.Tasks[r.Attempt.Task.Index]
	if t.out[w.Centre] {
		t.score.startedOut++
	}
	w.Start(r, now)
	t.score.started(now, job, r)
}

// run plays the whole mix.
func (t *trial) run() error {
	for now := step; now <= length; now += step {
		t.now = now
		t.fleet.Step(step)
		if err := t.change(now); err != nil {
			return err
		}
		if err := t.arrivals(now); err != nil {
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

func (t *trial) arrivals(now time.Duration) error {
	var jobs []*mixes.Job
	for ; t.next < len(t.mix.Jobs) && t.mix.Jobs[t.next].Arrives <= now; t.next++ {
		jobs = append(jobs, &t.mix.Jobs[t.next])
		t.score.arrived(&t.mix.Jobs[t.next])
	}
	if len(jobs) == 0 {
		return nil
	}
	return t.sched.arrive(now, jobs)
}

// change takes the last data centre out and puts it back.
func (t *trial) change(now time.Duration) error {
	switch now {
	case outAt:
		t.out[leaving] = true
		return t.sched.service(now, leaving, false)
	case offAt:
		runs := t.fleet.SwitchOff(leaving, true)
		t.score.switchedOff = len(runs)
		t.sched.lost(runs)
	case inAt:
		t.fleet.SwitchOff(leaving, false)
		delete(t.out, leaving)
		return t.sched.service(now, leaving, true)
	}
	return nil
}

// serviceOf returns the declaration of a data centre's service.
func serviceOf(in bool) decl.ServiceState {
	if in {
		return decl.InService
	}
	return decl.OutOfService
}
