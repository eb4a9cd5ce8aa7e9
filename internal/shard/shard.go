package shard

import (
	"cmp"
	"slices"
	"time"

	"arbutuswing.example/internal/agent"
	"arbutuswing.example/internal/model"
	"arbutuswing.example/internal/terms"
	"arbutuswing.example/internal/work"
)

// Shard is the state of one ownership; it isn't safe for concurrent use.
type Shard struct {
	cfg     Config
	terms   terms.Terms
	jobs    map[model.JobID]*job
	workers map[model.WorkerID]*worker
	// byID holds the same workers in the order of their identifiers, so that equal inputs give equal decisions.
	byID  []*worker
	usage map[model.TeamID]model.Resources
	rates map[model.TeamID]*bucket
	// active lists the stages with tasks that have not succeeded, of jobs that are not final.
	active []*stage
	// cancelled remembers cancellations that came before their job.
	cancelled map[model.JobID]bool

	asks []Ask
	// goodShares holds, for each queue, the share of workers that its tasks may run on.
	goodShares map[string]float64

	dirty []*job
	// urgent tells that a start or a client waits for the next commit; dirtySince is when the first change was made that
	// isn't part of one, and droppedAt when submissions were last dropped.
	urgent     bool
	dirtySince time.Duration
	droppedAt  time.Duration

	dropped   []model.JobID
	finals    []*job
	next      uint64
	committed uint64
	stopped   bool
	// clock is the moment of the last tick.
	clock  time.Duration
	replan bool
	// commitAt is when the commit under way was taken, or zero; commitLag is how long the last one took.
	commitAt  time.Duration
	commitLag time.Duration
	// freed holds the workers whose room has grown since the last plan, and stallsAt is when stalled runs were last sought.
	freed    map[*worker]bool
	stallsAt time.Duration
}

// bucket counts a team's jobs against the rate up to which its work is owed.
type bucket struct {
	tokens float64
	at     time.Duration
}

// New returns a shard without jobs or workers.
func New(cfg Config) *Shard {
	return &Shard{
		cfg: cfg, jobs: make(map[model.JobID]*job), workers: make(map[model.WorkerID]*worker),
		usage: make(map[model.TeamID]model.Resources), rates: make(map[model.TeamID]*bucket),
		cancelled: make(map[model.JobID]bool), goodShares: make(map[string]float64), next: 1,
		freed: make(map[*worker]bool),
	}
}

func (s *Shard) event(name, jobID, task string, w *worker, detail string, value int64) {
	if s.cfg.Events == nil {
		return
	}
	e := Event{Name: name, Job: jobID, Task: task, Detail: detail, Value: value}
	if w != nil {
		e.Worker = string(w.id)
	}
	s.cfg.Events(e)
}

// SetTerms puts a configuration in force; jobs of queues that it no longer has keep their queue's last terms.
func (s *Shard) SetTerms(t terms.Terms) {
	s.terms = t
	for _, j := range s.jobs {
		if queue, ok := t.Queue(j.spec.Queue); ok {
			j.queue = queue
		}
	}
	s.retryAll()
}

// retryAll makes the next plan try all waiting stages.
func (s *Shard) retryAll() {
	for _, st := range s.active {
		st.retry = true
	}
	s.replan = true
}

// Submit takes a job in; a repeated identifier changes nothing.
func (s *Shard) Submit(spec work.Job, now time.Duration) {
	if known, ok := s.jobs[spec.ID]; ok {
		if known.final != "" && known.finalBatch <= s.committed {
			s.dropped = append(s.dropped, spec.ID)
		}
		return
	}
	queue, _ := s.terms.Queue(spec.Queue)
	j := newJob(spec, queue, now)
	j.surplus = s.isSurplus(spec.Team, now)
	s.add(j)
	s.event("job-taken", string(spec.ID), "", nil, spec.Queue, int64(len(s.active)))
	if s.cancelled[spec.ID] {
		s.Cancel(spec.ID, now)
	}
}

func (s *Shard) add(j *job) {
	s.jobs[j.spec.ID] = j
	s.active = append(s.active, j.stages...)
	s.replan = true
}

// isSurplus reports whether a team has handed in more than its share of jobs a second.
func (s *Shard) isSurplus(team model.TeamID, now time.Duration) bool {
	rate := s.terms.Teams[team].Share
	if rate <= 0 {
		return false
	}
	burst := max(rate, minSurplusBurst)
	b, ok := s.rates[team]
	if !ok {
		b = &bucket{tokens: burst, at: now}
		s.rates[team] = b
	}
	b.tokens = min(burst, b.tokens+rate*(now-b.at).Seconds())
	b.at = now
	if b.tokens < 1 {
		return true
	}
	b.tokens--
	return false
}

// Cancel ends a job: nothing more of it starts, and what runs is stopped.
func (s *Shard) Cancel(id model.JobID, now time.Duration) {
	s.cancelled[id] = true
	j, ok := s.jobs[id]
	if !ok || j.final != "" {
		return
	}
	j.cancelled = true
	s.event("job-cancelled", string(id), "", nil, "", 0)
	s.finish(j, work.StateCancelled, now)
}

// finish makes a job final and stops what may still run of it.
func (s *Shard) finish(j *job, state work.State, now time.Duration) {
	j.final, j.finalBatch, j.finalAt = state, s.next, now
	s.urgent = true
	s.touch(j)
	s.finals = append(s.finals, j)
	s.dropped = append(s.dropped, j.spec.ID)
	j.live(func(a *attempt) { s.stop(a, now) })
	for _, st := range j.stages {
		s.release(st)
	}
	s.active = slices.DeleteFunc(s.active, func(st *stage) bool { return st.job == j })
	s.replan = true
	s.event("job-"+string(state), string(j.spec.ID), "", nil, j.spec.Queue, (now - j.received).Milliseconds())
}

func (s *Shard) release(st *stage) {
	for w := range st.reserved {
		w.unreserve(st)
		s.freed[w] = true
	}
	st.reserved = nil
}

func (s *Shard) touch(j *job) {
	if len(s.dirty) == 0 {
		s.dirtySince = s.clock
	}
	if !j.dirty {
		j.dirty = true
		s.dirty = append(s.dirty, j)
	}
}

// Registry replaces what is known of the workers' entries.
func (s *Shard) Registry(entries []agent.Entry) {
	listed := make(map[model.WorkerID]bool, len(entries))
	for _, entry := range entries {
		listed[entry.ID] = true
		w := s.worker(entry.ID)
		if w.entry.Draining != entry.Draining {
			s.event("worker-draining", "", "", w, "", entry.MinTimeLeft.Milliseconds())
		}
		if !w.listed || w.entry.Draining != entry.Draining {
			s.freed[w] = true
		}
		w.entry, w.listed = entry, true
	}
	for id, w := range s.workers {
		if listed[id] {
			continue
		}
		if w.listed {
			s.event("worker-unlisted", "", "", w, "", int64(len(w.attempts)))
		}
		w.listed = false
		if len(w.attempts) == 0 {
			delete(s.workers, id)
			s.byID = slices.DeleteFunc(s.byID, func(other *worker) bool { return other == w })
			s.forgetWorker(id)
		}
	}
	s.replan = true
}

// worker returns the worker of that identifier and adds it if it isn't known.
func (s *Shard) worker(id model.WorkerID) *worker {
	if w := s.workers[id]; w != nil {
		return w
	}
	w := newWorker(id)
	s.workers[id] = w
	at, _ := slices.BinarySearchFunc(s.byID, id, func(w *worker, id model.WorkerID) int { return cmp.Compare(w.id, id) })
	s.byID = slices.Insert(s.byID, at, w)
	return w
}

func (s *Shard) forgetWorker(id model.WorkerID) {
	for _, st := range s.active {
		delete(st.verdicts, id)
	}
}

// Targets returns the workers that have to be held, with their addresses.
func (s *Shard) Targets() []agent.Target {
	targets := make([]agent.Target, 0, len(s.workers))
	for _, w := range s.byID {
		if w.entry.Address != "" {
			targets = append(targets, agent.Target{ID: w.id, Address: w.entry.Address})
		}
	}
	return targets
}

// State returns the recorded state of a job, or false if the job is unknown.
func (s *Shard) State(id model.JobID) (work.State, bool) {
	j, ok := s.jobs[id]
	switch {
	case !ok:
		return "", false
	case j.final != "" && j.finalBatch <= s.committed:
		return j.final, true
	case j.begun:
		return work.StateRunning, true
	default:
		return work.StateQueued, true
	}
}

// Pending returns how many accepted jobs of a queue have not begun.
func (s *Shard) Pending(queue string) int {
	n := 0
	for _, j := range s.jobs {
		if j.spec.Queue == queue && j.final == "" && !j.begun {
			n++
		}
	}
	return n
}

// Stop ends the ownership; no more orders come out.
func (s *Shard) Stop() { s.stopped = true }

// Tick applies what the passing of time proves and plans new starts; wall is the time of day.
func (s *Shard) Tick(now time.Duration, wall time.Time) {
	if s.stopped {
		return
	}
	s.clock = now
	s.lapse(now)
	s.findStalls(now)
	s.plan(now, wall)
}

// lapse ends the runs on workers whose leases have lapsed for certain and that gave no report since.
func (s *Shard) lapse(now time.Duration) {
	for _, w := range s.byID {
		if len(w.attempts) == 0 || now-w.answered < suspectAfter {
			continue
		}
		for _, a := range sortedAttempts(w) {
			if a.goneAt > 0 && now > a.goneAt {
				s.assumeGone(a, agent.OutcomeGangBroken, now)
			}
		}
		if now <= w.leaseEnd {
			continue
		}
		s.event("worker-lapsed", "", "", w, "", (now - w.answered).Milliseconds())
		for _, a := range sortedAttempts(w) {
			s.assumeGone(a, agent.OutcomeLeaseExpired, now)
		}
	}
}

// findStalls stops runs that show no progress.
func (s *Shard) findStalls(now time.Duration) {
	if now-s.stallsAt < stallEvery {
		return
	}
	s.stallsAt = now
	for _, w := range s.byID {
		if now-w.answered > suspectAfter {
			continue
		}
		for _, a := range sortedAttempts(w) {
			if a.phase != phaseStarted || a.stage.spec.Service || now-a.changedAt < stallAfter || a.stage.spec.Gang {
				continue
			}
			a.stage.job.avoid[w.id] = true
			w.quarantinedUntil = now + quarantineTime
			s.event("run-stalled", string(a.stage.job.spec.ID), a.ref().String(), w, "", int64(a.percent))
			s.stop(a, now)
		}
	}
}

func sortedAttempts(w *worker) []*attempt {
	list := make([]*attempt, 0, len(w.attempts))
	for _, a := range w.attempts {
		list = append(list, a)
	}
	slices.SortFunc(list, func(a, b *attempt) int {
		x, y := a.ref(), b.ref()
		return cmp.Or(cmp.Compare(x.Job, y.Job), cmp.Compare(x.Occurrence, y.Occurrence), cmp.Compare(x.Stage, y.Stage),
			cmp.Compare(x.Index, y.Index), cmp.Compare(a.run, b.run))
	})
	return list
}
