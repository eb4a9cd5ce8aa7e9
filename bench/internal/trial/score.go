package trial

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"arbutuswing.example/bench/internal/fleet"
	"arbutuswing.example/bench/internal/mixes"
	"arbutuswing.example/internal/model"
	"arbutuswing.example/internal/state"
)

const (
	maxWait           = int64(trialLength)
	significantDigits = 3
	// maxFailures is the number of failed attempts after which both schedulers give up a task.
	maxFailures = state.DefaultMaxFailures
)

// score collects the measurements of one run. unfinished counts the remaining tasks of each job; waitingSize sums the
// declared sizes of the waiting tasks of each team.
type score struct {
	t            *trial
	waits        map[model.ClassID]*hdrhistogram.Histogram
	startedOnce  map[model.TaskID]bool
	arrivedTasks map[model.ClassID]int
	unfinished   map[model.JobID]int
	waitingSize  map[model.TeamID]model.Resources
	shares       *shares

	startsOutOfService, runningAtPowerOff, preempted, failed, abandoned int
	starts, done                                                        int
	planning                                                            planningScore
	packing                                                             ratio
	// usefulAtReference, usefulAtOut and usefulAtReturn are the useful core-seconds so far at the start of the
	// reference period, at outOfServiceAt and at backInServiceAt.
	usefulAtReference, usefulAtOut, usefulAtReturn float64
	doneWork                                       float64
	// usefulAtArrivalEnd is the useful core-seconds up to the end of the arrivals.
	usefulAtArrivalEnd float64
	failures           map[model.TaskID]int
}

// planningScore counts the planning jobs: all, those done by their deadline and those done at all; last is when the
// last one was done.
type planningScore struct {
	jobs, inTime, done int
	last               time.Duration
}

// ratio sums up a part and the whole.
type ratio struct{ part, whole float64 }

func (r ratio) value() float64 {
	if r.whole == 0 {
		return 0
	}
	return r.part / r.whole
}

func newScore(t *trial) *score {
	s := &score{
		t: t, waits: make(map[model.ClassID]*hdrhistogram.Histogram), startedOnce: make(map[model.TaskID]bool),
		arrivedTasks: make(map[model.ClassID]int), unfinished: make(map[model.JobID]int),
		waitingSize: make(map[model.TeamID]model.Resources),
		failures:    make(map[model.TaskID]int),
	}
	for _, class := range mixes.Classes {
		s.waits[class] = hdrhistogram.New(1, maxWait, significantDigits)
	}
	s.shares = newShares(t)
	return s
}

func (s *score) arrived(job *mixes.Job) {
	spec := job.Spec
	s.arrivedTasks[spec.Class] += spec.Tasks
	s.unfinished[spec.ID] = spec.Tasks
	s.waitingSize[spec.Team] = s.waitingSize[spec.Team].Plus(spec.Size.Times(spec.Tasks))
	if spec.Class == mixes.Planning {
		s.planning.jobs++
	}
}

func (s *score) started(now time.Duration, job *mixes.Job, r *fleet.Run) {
	s.starts++
	s.waitingSize[r.Team] = s.waitingSize[r.Team].Minus(job.Spec.Size)
	if task := r.Attempt.Task; !s.startedOnce[task] {
		s.startedOnce[task] = true
		_ = s.waits[r.Class].RecordValue(int64(now - job.Arrival))
	}
}

// ended counts the end of a run; a task that did not succeed waits again, unless it is given up.
func (s *score) ended(r *fleet.Run) {
	job := s.t.jobs[r.Attempt.Task.Job]
	switch r.Outcome {
	case model.OutcomeSucceeded:
		s.succeeded(job, r)
		return
	case model.OutcomeFailed:
		s.failed++
		if s.failures[r.Attempt.Task]++; s.failures[r.Attempt.Task] >= maxFailures {
			s.abandoned++
			return
		}
	default:
		s.preempted++
	}
	s.waitingSize[r.Team] = s.waitingSize[r.Team].Plus(job.Spec.Size)
}

func (s *score) succeeded(job *mixes.Job, r *fleet.Run) {
	s.done++
	s.doneWork += r.Actual.CoreSeconds()
	s.unfinished[job.Spec.ID]--
	if s.unfinished[job.Spec.ID] > 0 || job.Spec.Class != mixes.Planning {
		return
	}
	s.planning.done++
	s.planning.last = s.t.now
	if s.t.now <= mixes.PlanningDeadline {
		s.planning.inTime++
	}
}

// sample takes the measurements of one second; it is called once per second.
func (s *score) sample(now time.Duration) {
	useful := s.t.fleet.UsefulCoreSeconds - s.t.fleet.LostCoreSeconds
	switch now {
	case outOfServiceAt - referencePeriod:
		s.usefulAtReference = useful
	case outOfServiceAt:
		s.usefulAtOut = useful
	case backInServiceAt:
		s.usefulAtReturn = useful
	case mixes.ArrivalPeriod:
		s.usefulAtArrivalEnd = useful
	}
	full := s.shares.sample(now)
	if full {
		s.packing.whole += s.shares.cores()
		s.packing.part += s.usedCores()
	}
}

// usedCores sums the cores that runs use, at most the capacity of each worker.
func (s *score) usedCores() float64 {
	sum := 0.0
	for _, w := range s.t.fleet.Workers {
		cores := 0.0
		for _, r := range w.Runs {
			if !r.Ended {
				cores += float64(r.Actual.Peak.Cores) / 1000
			}
		}
		sum += min(cores, float64(fleet.Capacity.Cores)/1000)
	}
	return sum
}

// workDuringChange returns the useful work done while the data centre was out of service: as a fraction of the
// core-seconds of the remaining workers, and relative to that fraction of the whole fleet in the reference period
// before.
func (s *score) workDuringChange() (absolute, relative float64) {
	all := s.t.fleet.Cores("")
	remaining := s.t.fleet.Cores(changedDataCentre)
	absolute = (s.usefulAtReturn - s.usefulAtOut) / (remaining * (backInServiceAt - outOfServiceAt).Seconds())
	reference := (s.usefulAtOut - s.usefulAtReference) / (all * referencePeriod.Seconds())
	if reference == 0 {
		return absolute, 0
	}
	return absolute, absolute / reference
}
