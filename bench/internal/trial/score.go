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
	slowest   = int64(length)
	precision = 3
	// maxFailures is the number of failed attempts after which both schedulers give a task up.
	maxFailures = state.DefaultMaxFailures
)

// score counts what users measure.
type score struct {
	t       *trial
	waits   map[model.ClassID]*hdrhistogram.Histogram
	begun   map[model.TaskID]bool
	arrives map[model.ClassID]int
	left    map[model.JobID]int
	waiting map[model.TeamID]model.Resources
	shares  *shares

	startedOut, switchedOff, preempted, failed, gaveUp int
	starts, done                                       int
	planning                                           planning
	packing                                            ratio
	// usefulBefore, usefulOut and usefulIn are the useful core-seconds at the start of the reference, at outAt and at inAt.
	usefulBefore, usefulOut, usefulIn float64
	doneWork                          float64
	// usefulNight is the useful core-seconds while work arrived.
	usefulNight float64
	failures    map[model.TaskID]int
}

// planning is the outcome of the overnight jobs.
type planning struct {
	jobs, inTime, done int
	last               time.Duration
}

// ratio sums parts of a whole.
type ratio struct{ part, whole float64 }

func (r ratio) value() float64 {
	if r.whole == 0 {
		return 0
	}
	return r.part / r.whole
}

func newScore(t *trial) *score {
	s := &score{
		t: t, waits: make(map[model.ClassID]*hdrhistogram.Histogram), begun: make(map[model.TaskID]bool),
		arrives: make(map[model.ClassID]int), left: make(map[model.JobID]int), waiting: make(map[model.TeamID]model.Resources),
		failures: make(map[model.TaskID]int),
	}
	for _, class := range mixes.Classes {
		s.waits[class] = hdrhistogram.New(1, slowest, precision)
	}
	s.shares = newShares(t)
	return s
}

func (s *score) arrived(job *mixes.Job) {
	spec := job.Spec
	s.arrives[spec.Class] += spec.Tasks
	s.left[spec.ID] = spec.Tasks
	s.waiting[spec.Team] = s.waiting[spec.Team].Plus(spec.Size.Times(spec.Tasks))
	if spec.Class == mixes.Planning {
		s.planning.jobs++
	}
}

func (s *score) started(now time.Duration, job *mixes.Job, r *fleet.Run) {
	s.starts++
	s.waiting[r.Team] = s.waiting[r.Team].Minus(job.Spec.Size)
	if task := r.Attempt.Task; !s.begun[task] {
		s.begun[task] = true
		_ = s.waits[r.Class].RecordValue(int64(now - job.Arrives))
	}
}

// ended counts the end of a run; one without success waits again.
func (s *score) ended(r *fleet.Run) {
	job := s.t.jobs[r.Attempt.Task.Job]
	switch r.Outcome {
	case model.OutcomeSucceeded:
		s.succeeded(job, r)
		return
	case model.OutcomeFailed:
		s.failed++
		if s.failures[r.Attempt.Task]++; s.failures[r.Attempt.Task] >= maxFailures {
			s.gaveUp++
			return
		}
	default:
		s.preempted++
	}
	s.waiting[r.Team] = s.waiting[r.Team].Plus(job.Spec.Size)
}

func (s *score) succeeded(job *mixes.Job, r *fleet.Run) {
	s.done++
	s.doneWork += r.Need.Work()
	s.left[job.Spec.ID]--
	if s.left[job.Spec.ID] > 0 || job.Spec.Class != mixes.Planning {
		return
	}
	s.planning.done++
	s.planning.last = s.t.now
	if s.t.now <= mixes.DoneBy {
		s.planning.inTime++
	}
}

// sample is called once a second.
func (s *score) sample(now time.Duration) {
	useful := s.t.fleet.Useful - s.t.fleet.Lost
	switch now {
	case outAt - before:
		s.usefulBefore = useful
	case outAt:
		s.usefulOut = useful
	case inAt:
		s.usefulIn = useful
	case mixes.Night:
		s.usefulNight = useful
	}
	full := s.shares.sample(now)
	if full {
		s.packing.whole += s.shares.cores()
		s.packing.part += s.used()
	}
}

// used sums the cores that running tasks make use of, at most those of each worker.
func (s *score) used() float64 {
	sum := 0.0
	for _, w := range s.t.fleet.Workers {
		cores := 0.0
		for _, r := range w.Runs {
			if !r.Ended {
				cores += float64(r.Need.Peak.Cores) / 1000
			}
		}
		sum += min(cores, float64(fleet.Capacity.Cores)/1000)
	}
	return sum
}

// throughChange returns the useful work while the data centre was out, as a part of the remaining cores' time, and of
// what the remaining cores would have done as well used as just before.
func (s *score) throughChange() (absolute, relative float64) {
	all := s.t.fleet.Cores("")
	remaining := s.t.fleet.Cores(leaving)
	absolute = (s.usefulIn - s.usefulOut) / (remaining * (inAt - outAt).Seconds())
	reference := (s.usefulOut - s.usefulBefore) / (all * before.Seconds())
	if reference == 0 {
		return absolute, 0
	}
	return absolute, absolute / reference
}
