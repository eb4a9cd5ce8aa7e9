package state

import (
	"cmp"
	"slices"

	"arbutuswing.example/internal/decl"
	"arbutuswing.example/internal/model"
)

// JobFilter selects jobs; an empty field matches all jobs.
type JobFilter struct {
	Team  model.TeamID
	Class model.ClassID
	// Unfinished excludes finished jobs.
	Unfinished bool
}

func (f JobFilter) matches(j *job) bool {
	return (f.Team == "" || f.Team == j.Spec.Team) && (f.Class == "" || f.Class == j.Spec.Class) &&
		(!f.Unfinished || !j.Finished())
}

// Offset returns the offset of the last envelope applied, or model.NoOffset.
func (m *Machine) Offset() model.Offset { return model.Offset(m.current.Load().offset.Load()) }

// Declarations returns the declarations in force and the offset of the change that brought them into force.
func (m *Machine) Declarations() (decl.Set, model.Offset) { return m.current.Load().decls.inForce() }

// Proposals returns the changes that wait for approval, in the order in which they were recorded.
func (m *Machine) Proposals() []Proposal { return m.current.Load().decls.list() }

// list copies the proposals, in the order in which they were recorded.
func (d *declarations) list() []Proposal {
	d.mu.RLock()
	defer d.mu.RUnlock()
	out := make([]Proposal, 0, len(d.proposals))
	for _, id := range sortedKeys(d.proposals) {
		out = append(out, d.proposals[id].Proposal)
	}
	slices.SortStableFunc(out, func(a, b Proposal) int { return cmp.Compare(a.Recorded, b.Recorded) })
	return out
}

// Members returns the recorded members in name order and the offset of the latest change to them.
func (m *Machine) Members() ([]Member, model.Offset) { return m.current.Load().members.list() }

// Job returns a job. An old finished job has only its ID and outcome.
func (m *Machine) Job(id model.JobID) (Job, bool) {
	d := m.current.Load()
	var out Job
	if d.jobs.rows.view(id, func(j *job) { out = j.clone() }) {
		return out, true
	}
	ok := d.jobs.archivedByID.view(id, func(row archivedJob) {
		out = Job{Spec: model.JobSpec{ID: row.ID}, Outcome: row.Outcome}
	})
	return out, ok
}

// Jobs returns the jobs kept in full that match the filter, in order of acceptance.
func (m *Machine) Jobs(filter JobFilter) []Job {
	type numbered struct {
		number int64
		job    Job
	}
	var rows []numbered
	m.current.Load().jobs.rows.each(func(_ model.JobID, j *job) {
		if filter.matches(j) {
			rows = append(rows, numbered{j.Number, j.clone()})
		}
	})
	slices.SortFunc(rows, func(a, b numbered) int { return cmp.Compare(a.number, b.number) })
	out := make([]Job, 0, len(rows))
	for _, row := range rows {
		out = append(out, row.job)
	}
	return out
}

// Task returns a task and its job's specification.
func (m *Machine) Task(id model.TaskID) (Task, model.JobSpec, bool) {
	var task Task
	var spec model.JobSpec
	found := false
	m.current.Load().jobs.rows.view(id.Job, func(j *job) {
		if id.Index >= 0 && id.Index < len(j.Tasks) {
			task, spec, found = j.Tasks[id.Index], j.Spec, true
		}
	})
	return task, spec, found
}

// Queued returns up to limit queued tasks of the team's jobs in the class, in order of acceptance.
func (m *Machine) Queued(team model.TeamID, class model.ClassID, limit int) []Task {
	d := m.current.Load()
	var out []Task
	for _, id := range d.jobs.queues.first(queueKeyOf(team, class), limit) {
		d.jobs.rows.view(id, func(j *job) {
			for i := 0; i < len(j.Tasks) && len(out) < limit; i++ {
				if j.Tasks[i].Phase == PhaseQueued {
					out = append(out, j.Tasks[i])
				}
			}
		})
	}
	return out
}

// Worker returns a worker.
func (m *Machine) Worker(id model.WorkerID) (Worker, bool) {
	var out Worker
	ok := m.current.Load().workers.rows.view(id, func(w *worker) { out = w.clone() })
	return out, ok
}

// Workers returns the workers of a data centre, or of all for an empty name, in name order.
func (m *Machine) Workers(dc model.DataCentreID) []Worker { return m.current.Load().workers.list(dc) }

// Usage returns what each team's bound and pulled tasks reserve.
func (m *Machine) Usage() map[model.TeamID]Usage { return m.current.Load().usages.list() }

// Estimate returns an estimate from succeeded attempts of jobs of the same team, class and profile; ok is false if
// there were none.
func (m *Machine) Estimate(spec model.JobSpec) (Estimate, bool) {
	return m.current.Load().profiles.estimate(spec)
}

// StateEvents returns events that describe the whole state, as Restore does: members, declarations, workers, and the
// tasks that are not done, in order of acceptance.
func (m *Machine) StateEvents() []Event {
	m.applyMu.Lock()
	defer m.applyMu.Unlock()
	return m.current.Load().stateEvents()
}

func (d *stateData) stateEvents() []Event {
	var out []Event
	list, changed := d.members.list()
	out = append(out, MembersChanged{Offset: changed, Members: list})
	set, offset := d.decls.inForce()
	out = append(out, DeclarationsChanged{Offset: offset, Set: set})
	for _, w := range d.workers.list("") {
		out = append(out, WorkerChanged{Worker: w})
	}
	for _, j := range d.jobs.ordered() {
		for i := range j.Tasks {
			out = append(out, taskEvents(j.Tasks[i], j.Spec)...)
		}
	}
	return out
}

// ordered returns the jobs kept in full in order of acceptance. The caller must hold Machine.applyMu.
func (s *jobs) ordered() []*job {
	var out []*job
	s.rows.each(func(_ model.JobID, j *job) { out = append(out, j) })
	slices.SortFunc(out, func(a, b *job) int { return cmp.Compare(a.Number, b.Number) })
	return out
}

func taskEvents(t Task, spec model.JobSpec) []Event {
	var out []Event
	switch t.Phase {
	case PhaseQueued:
		out = append(out, TaskQueued{Task: t, Spec: spec})
	case PhaseBound:
		out = append(out, TaskBound{Task: t, Spec: spec})
	case PhasePulled:
		out = append(out, TaskPulled{Task: t})
	}
	if t.Stopping {
		out = append(out, TaskStopping{Task: t})
	}
	return out
}
