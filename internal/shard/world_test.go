package shard

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"pgregory.net/rapid"

	"arbutuswing.example/internal/agent"
	"arbutuswing.example/internal/model"
	"arbutuswing.example/internal/work"
)

const (
	worldLeaseMax = 10 * time.Second
	worldGrace    = 400 * time.Millisecond
	worldAlone    = 3 * time.Second
)

// present is a run on a simulated worker; it counts towards the worker's room until it has ended.
type present struct {
	key      runKey
	size     model.Resources
	gang     bool
	stopping bool
	stopAt   time.Duration
	// waits is when a member of a gang began to wait for the others, by its worker's clock; negative once all were present.
	waits time.Duration
}

// sim is a simulated worker, by what the platform promises of workers.
type sim struct {
	id       model.WorkerID
	up       bool
	cut      bool
	draining bool
	born     int64
	rate     float64
	clock    time.Duration
	token    int64
	leaseEnd time.Duration
	runs     map[runKey]*present
	refused  map[work.TaskRef]int
	ends     []agent.EndedRun
	last     int64
	// void is the last end before the lease last lapsed: by the platform's terms such an end isn't taken note of.
	void int64
}

// late is an order that is carried out after newer ones, by the life of the worker that received it.
type late struct {
	at    time.Duration
	to    *sim
	born  int64
	start *StartOrder
	stop  *StopOrder
}

// world is the oracle: simulated workers, a store that loses nothing, and the promises checked at each step.
type world struct {
	t        *rapid.T
	now      time.Duration
	wall     time.Time
	sims     []*sim
	late     []late
	shard    *Shard
	token    int64
	jobs     map[model.JobID]work.Job
	progress map[model.JobID]work.Progress
	cancels  map[model.JobID]bool
	// done holds tasks with a success that was acknowledged, succeeded those with any.
	done      map[work.TaskRef]bool
	succeeded map[work.TaskRef]bool
	failed    map[work.TaskRef]map[int]bool
	// shown holds jobs that clients have seen as completed.
	shown map[model.JobID]bool
	// down tells that the store records nothing.
	down bool
	next int
}

func newWorld(t *rapid.T) *world {
	w := &world{
		t: t, now: time.Minute, wall: time.Unix(1_700_000_000, 0), jobs: make(map[model.JobID]work.Job),
		progress: make(map[model.JobID]work.Progress), cancels: make(map[model.JobID]bool), done: make(map[work.TaskRef]bool),
		succeeded: make(map[work.TaskRef]bool), failed: make(map[work.TaskRef]map[int]bool),
		shown: make(map[model.JobID]bool),
	}
	for i := range 4 {
		w.sims = append(w.sims, &sim{
			id: model.WorkerID(fmt.Sprintf("w%d", i)), up: true, born: 1, rate: 0.98 + 0.01*float64(i%3),
			runs: make(map[runKey]*present), refused: make(map[work.TaskRef]int),
		})
	}
	w.takeOver()
	return w
}

// takeOver lets a new owner start from what is recorded; orders of the former one may still be under way.
func (w *world) takeOver() {
	w.token++
	w.shard = New(Config{
		Token: w.token, Lease: testLease, MaxLease: worldLeaseMax, RenewLimit: 3 * time.Second, KillGrace: worldGrace, GangTimeout: worldAlone,
		Retention: time.Hour,
	})
	w.shard.SetTerms(testTerms())
	r := Restored{Progress: maps.Clone(w.progress)}
	for _, id := range slices.Sorted(maps.Keys(w.jobs)) {
		r.Jobs = append(r.Jobs, w.jobs[id])
	}
	r.Cancelled = slices.Sorted(maps.Keys(w.cancels))
	w.shard.Restore(r, w.now, w.wall)
	w.register()
}

func (w *world) register() {
	var entries []agent.Entry
	for _, s := range w.sims {
		if s.up {
			entries = append(entries, agent.Entry{
				ID: s.id, Pool: testPool, Address: string(s.id), DataCentre: "dc1", Draining: s.draining,
				Capacity: model.Resources{Cores: 4000, Memory: 4000},
			})
		}
	}
	w.shard.Registry(entries)
}

func (w *world) sim(id model.WorkerID) *sim {
	return w.sims[slices.IndexFunc(w.sims, func(s *sim) bool { return s.id == id })]
}

func (w *world) stageOf(task work.TaskRef) work.Stage { return w.jobs[task.Job].Stages[task.Stage] }

// pass lets time go by: leases lapse, stopped runs end, late orders arrive.
func (w *world) pass(d time.Duration) {
	w.now += d
	w.wall = w.wall.Add(d)
	for _, s := range w.sims {
		if !s.up {
			continue
		}
		s.clock += time.Duration(float64(d) * s.rate)
		if s.clock > s.leaseEnd {
			s.void = s.last
		}
		for _, p := range s.sorted() {
			switch {
			case s.runs[p.key] != p:
			case s.clock > s.leaseEnd:
				w.end(s, p, agent.OutcomeLeaseExpired)
			case p.stopping && w.now >= p.stopAt:
				w.end(s, p, agent.OutcomeStopped)
			case p.gang && p.waits >= 0 && s.clock-p.waits > worldAlone:
				w.end(s, p, agent.OutcomeGangIncomplete)
			}
		}
	}
	due := w.late
	w.late = nil
	for _, l := range due {
		switch {
		case w.now < l.at:
			w.late = append(w.late, l)
		case l.born != l.to.born:
		case l.start != nil:
			_, _ = w.start(*l.start)
		default:
			_, _ = w.stop(*l.stop)
		}
	}
	w.check()
}

func (s *sim) sorted() []*present {
	list := slices.Collect(maps.Values(s.runs))
	slices.SortFunc(list, func(a, b *present) int {
		if a.key.task != b.key.task {
			return slices.Compare([]byte(a.key.task.String()), []byte(b.key.task.String()))
		}
		return a.key.run - b.key.run
	})
	return list
}

// end removes a run and lists its end; the other members of its gang break.
func (w *world) end(s *sim, p *present, how agent.RunOutcome) {
	delete(s.runs, p.key)
	s.last++
	s.refused[p.key.task] = max(s.refused[p.key.task], p.key.run)
	s.ends = append(s.ends, agent.EndedRun{Number: s.last, Task: p.key.task, Run: p.key.run, Outcome: how})
	if how == agent.OutcomeDone {
		w.succeeded[p.key.task] = true
	}
	if p.gang {
		w.breakGang(p.key, how)
	}
}

func (w *world) breakGang(key runKey, how agent.RunOutcome) {
	if how == agent.OutcomeDone {
		for i := range w.stageOf(key.task).Count {
			member := key.task
			member.Index = i
			w.succeeded[member] = true
		}
	}
	for _, s := range w.sims {
		for _, p := range s.sorted() {
			if p.key.task.Job != key.task.Job || p.key.task.Stage != key.task.Stage || p.key.run != key.run || s.runs[p.key] != p {
				continue
			}
			delete(s.runs, p.key)
			s.last++
			s.refused[p.key.task] = max(s.refused[p.key.task], p.key.run)
			other := agent.OutcomeGangBroken
			if how == agent.OutcomeDone {
				other = agent.OutcomeDone
			}
			s.ends = append(s.ends, agent.EndedRun{Number: s.last, Task: p.key.task, Run: p.key.run, Outcome: other})
		}
	}
}

func (s *sim) describe() string {
	text := fmt.Sprintf("(life %d)", s.born)
	for _, p := range s.sorted() {
		text += fmt.Sprintf(" %v run %d stopping %v", p.key.task, p.key.run, p.stopping)
	}
	return text
}

func (w *worker) describe() string {
	text := fmt.Sprintf("(life %d, used %+v)", w.born, w.used)
	for _, a := range sortedAttempts(w) {
		text += fmt.Sprintf(" %v run %d phase %d settled %v calling %v", a.ref(), a.run, a.phase, a.settled, a.calling)
	}
	return text
}

func (s *sim) seen(token int64) bool {
	if token < s.token {
		return false
	}
	s.token = token
	return true
}

func (s *sim) extend(end time.Duration) {
	s.leaseEnd = max(s.leaseEnd, min(end, s.clock+worldLeaseMax))
}

// start carries a start out and checks what the promises say of it.
func (w *world) start(o StartOrder) (time.Duration, error) {
	s := w.sim(o.Target.ID)
	key := runKey{o.Start.Task, o.Start.Run}
	switch {
	case !s.up:
		return 0, agent.ErrNoAnswer
	case !s.seen(o.Start.Token):
		return s.clock, agent.ErrFenced
	case s.runs[key] != nil:
		return s.clock, nil
	case o.Start.Run <= s.refused[key.task]:
		return s.clock, agent.ErrRunSuperseded
	case o.Start.LeaseEnd <= s.clock:
		return s.clock, agent.ErrDeadlinePassed
	}
	s.extend(o.Start.LeaseEnd)
	stage := w.stageOf(key.task)
	s.runs[key] = &present{key: key, size: stage.Size, gang: stage.Gang, waits: s.clock}
	w.gather(key, stage)
	w.checkStart(key)
	return s.clock, nil
}

// members returns the present members of a gang's run.
func (w *world) members(key runKey) []*present {
	var list []*present
	for _, s := range w.sims {
		for _, p := range s.sorted() {
			if p.gang && p.key.task.Job == key.task.Job && p.key.task.Stage == key.task.Stage && p.key.run == key.run {
				list = append(list, p)
			}
		}
	}
	return list
}

// gather lets a gang work once all its members are present.
func (w *world) gather(key runKey, stage work.Stage) {
	if members := w.members(key); len(members) == stage.Count {
		for _, p := range members {
			p.waits = -1
		}
	}
}

func (w *world) checkStart(key runKey) {
	job := w.jobs[key.task.Job]
	for _, earlier := range job.Stages[key.task.Stage].After {
		for i := range job.Stages[earlier].Count {
			if !w.succeeded[work.TaskRef{Job: key.task.Job, Stage: earlier, Index: i}] {
				w.t.Fatalf("%v run %d started before stage %d was done", key.task, key.run, earlier)
			}
		}
	}
	if w.shown[key.task.Job] {
		w.t.Fatalf("%v run %d started after its job was shown as completed", key.task, key.run)
	}
	if w.done[key.task] {
		w.t.Fatalf("%v run %d started after an acknowledged success", key.task, key.run)
	}
	if len(w.failed[key.task]) >= 2 {
		w.t.Fatalf("%v run %d started after %d acknowledged failures", key.task, key.run, len(w.failed[key.task]))
	}
}

func (w *world) stop(o StopOrder) (time.Duration, error) {
	s := w.sim(o.Target.ID)
	switch {
	case !s.up:
		return 0, agent.ErrNoAnswer
	case !s.seen(o.Stop.Token):
		return s.clock, agent.ErrFenced
	}
	s.refused[o.Stop.Task] = max(s.refused[o.Stop.Task], o.Stop.Run)
	if p := s.runs[runKey{o.Stop.Task, o.Stop.Run}]; p != nil && !p.stopping {
		p.stopping, p.stopAt = true, w.now+worldGrace
	}
	return s.clock, nil
}

// hold exchanges a hold and its report.
func (w *world) hold(s *sim) {
	hold, ok := w.shard.HoldFor(s.id, w.now, true)
	if !ok || !s.up || s.cut {
		return
	}
	if !s.seen(hold.Token) {
		w.t.Fatalf("%s has seen a token above the owner's", s.id)
	}
	s.extend(hold.LeaseEnd)
	s.ends = slices.DeleteFunc(s.ends, func(e agent.EndedRun) bool {
		if e.Number > hold.Acked {
			return false
		}
		if e.Number > s.void {
			w.acknowledged(e)
		}
		return true
	})
	s.clock += time.Millisecond
	report := agent.Report{Clock: s.clock, Incarnation: s.born, Ended: slices.Clone(s.ends)}
	for _, p := range s.sorted() {
		report.Running = append(report.Running, agent.ActiveRun{Task: p.key.task, Run: p.key.run, Percent: int(w.now / time.Second)})
	}
	w.shard.Reported(s.id, report, w.now)
}

func (w *world) acknowledged(e agent.EndedRun) {
	switch e.Outcome {
	case agent.OutcomeDone:
		w.done[e.Task] = true
	case agent.OutcomeFailed:
		if w.failed[e.Task] == nil {
			w.failed[e.Task] = make(map[int]bool)
		}
		w.failed[e.Task][e.Run] = true
	case agent.OutcomeStopped, agent.OutcomeLeaseExpired, agent.OutcomeGangBroken, agent.OutcomeGangIncomplete:
	}
}

func (w *world) commit() {
	if w.down {
		return
	}
	c := w.shard.TakeCommit(w.now)
	if c.Empty() {
		return
	}
	for _, p := range c.Progress {
		w.progress[model.JobID(p.ID)] = p.Progress
	}
	w.shard.Committed(c.Batch)
}

// send carries out what the owner decided; answered tells for each order how it goes.
func (w *world) send(answered func() string) {
	w.shard.Tick(w.now, w.wall)
	w.commit()
	o := w.shard.TakeOrders(w.now)
	for _, start := range o.Starts {
		clock, err := w.deliver(answered(), w.sim(start.Target.ID), late{start: &start})
		w.shard.Started(start, clock, err, w.now)
	}
	for _, stop := range o.Stops {
		clock, err := w.deliver(answered(), w.sim(stop.Target.ID), late{stop: &stop})
		w.shard.Stopped(stop, clock, err, w.now)
	}
	for _, ask := range o.Asks {
		advice := agent.Advice{Tickets: make(map[model.WorkerID]string), Valid: model.Duration(2 * time.Second)}
		for i, id := range ask.Question.Workers {
			if (i+len(ask.Question.Stage.Job))%3 > 0 || i == 0 {
				advice.Tickets[id] = "ticket"
			}
		}
		w.shard.Advised(ask, advice, nil, w.now)
	}
	w.check()
}

func (w *world) deliver(how string, s *sim, l late) (time.Duration, error) {
	if s.cut {
		return 0, agent.ErrNoAnswer
	}
	switch how {
	case "lost":
		return 0, agent.ErrNoAnswer
	case "late":
		l.at, l.to, l.born = w.now+3*time.Second, s, s.born
		w.late = append(w.late, l)
		return 0, agent.ErrNoAnswer
	}
	clock, err := time.Duration(0), error(nil)
	if l.start != nil {
		clock, err = w.start(*l.start)
	} else {
		clock, err = w.stop(*l.stop)
	}
	if how == "unanswered" {
		return 0, agent.ErrNoAnswer
	}
	return clock, err
}

// check fails if a promise about what runs at this moment is broken.
func (w *world) check() {
	where := make(map[work.TaskRef]model.WorkerID)
	usage := make(map[model.TeamID]model.Resources)
	for _, s := range w.sims {
		used := model.Resources{}
		for _, p := range s.sorted() {
			if other, twice := where[p.key.task]; twice {
				w.t.Fatalf("%v runs on %s and %s", p.key.task, other, s.id)
			}
			where[p.key.task] = s.id
			used = used.Plus(p.size)
			team := w.jobs[p.key.task.Job].Team
			usage[team] = usage[team].Plus(p.size)
		}
		if !used.Fits(model.Resources{Cores: 4000, Memory: 4000}) {
			w.t.Fatalf("%s is over its capacity: %+v, runs %v, owner's view %+v", s.id, used, s.describe(), w.shard.workers[s.id].describe())
		}
	}
	if usage["capped"].Cores > 2000 {
		w.t.Fatalf("a team is over its limit: %+v", usage["capped"])
	}
	for id, job := range w.jobs {
		if state, _ := w.shard.State(id); state == work.StateCompleted {
			w.shown[id] = true
			w.checkCompleted(job)
		}
	}
}

func (w *world) checkCompleted(job work.Job) {
	for st, stage := range job.Stages {
		for i := range stage.Count {
			if task := (work.TaskRef{Job: job.ID, Stage: st, Index: i}); !w.succeeded[task] {
				w.t.Fatalf("%s is completed though %v has not succeeded", job.ID, task)
			}
		}
	}
}
