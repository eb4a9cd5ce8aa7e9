package sched

import (
	"slices"
	"strings"

	"arbutuswing.example/internal/lease"
	"arbutuswing.example/internal/model"
	"arbutuswing.example/internal/ports"
	"arbutuswing.example/internal/record"
	"arbutuswing.example/internal/state"
)

// Reported takes over a worker's report and gathers the ends in it.
func (p *Placer) Reported(r lease.Report) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.session(r.Worker)
	if s.boot != r.Boot {
		clear(s.stopped)
	}
	s.held, s.acquired, s.reported = true, r.Acquired, p.deps.Clock.Now()
	s.boot, s.capacity = r.Boot, r.Capacity
	if s.leaving != r.Leaving {
		s.leaving = r.Leaving
		p.setBook(s)
	}
	p.setTasks(s, r.Tasks)
	for _, a := range s.bound {
		// Calls to one worker are in sequence, so this report shows the effect of every start before it that was
		// answered. One whose answer was lost is tried again if the report lacks it.
		a.unknown = false
	}
	p.gatherEnds(s, r.Tasks)
	p.limitUsage(s)
}

// setTasks replaces what the worker reported, and keeps the index of the workers on which a task was seen running.
func (p *Placer) setTasks(s *session, tasks []ports.TaskReport) {
	for id := range s.tasks {
		left := slices.DeleteFunc(p.seenOn[id.Task], func(w model.WorkerID) bool { return w == s.id })
		if p.seenOn[id.Task] = left; len(left) == 0 {
			delete(p.seenOn, id.Task)
		}
	}
	clear(s.tasks)
	for _, t := range tasks {
		s.tasks[t.Attempt] = t
		if t.Phase == ports.PhaseRunning {
			p.seenOn[t.Attempt.Task] = append(p.seenOn[t.Attempt.Task], s.id)
		}
	}
}

// gatherEnds queues the ends of bound attempts for the log; attempts that never started come first, because the fold
// promotes waiting ones when the others end.
func (p *Placer) gatherEnds(s *session, tasks []ports.TaskReport) {
	var ends []record.Ended
	for _, t := range tasks {
		a := s.bound[t.Attempt]
		if a == nil || a.ending || a.boot != s.boot || t.Phase != ports.PhaseEnded {
			continue
		}
		a.ending = true
		ends = append(ends, record.Ended{
			Attempt: t.Attempt, Worker: s.id, Outcome: t.Outcome, Usage: t.Usage, Checkpoint: t.Checkpoint,
		})
	}
	if len(ends) == 0 {
		return
	}
	slices.SortStableFunc(ends, func(a, b record.Ended) int {
		if never := model.OutcomeNeverStarted; (a.Outcome == never) != (b.Outcome == never) {
			if a.Outcome == never {
				return -1
			}
			return 1
		}
		return strings.Compare(a.Attempt.String(), b.Attempt.String())
	})
	p.ends = append(p.ends, ends...)
	select {
	case p.wakeEnds <- struct{}{}:
	default:
	}
}

// Dropped forgets what the worker reported, since another holder may command it now.
func (p *Placer) Dropped(id model.WorkerID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.sessions[id]
	if s == nil {
		return
	}
	s.held = false
	p.setTasks(s, nil)
	clear(s.stopped)
	s.excess = 0
	p.setBook(s)
}

// over reports whether the fold holds the attempt's end, or forgot it because its whole job has ended.
func (p *Placer) over(s *session, id model.AttemptID) bool {
	task, _, ok := p.deps.View.Task(id.Task)
	if !ok {
		return p.fresh(s)
	}
	return task.Attempt > id.Number || (task.Attempt == id.Number && task.Phase != state.PhaseBound)
}

// isCurrent reports whether the fold has the attempt bound to the worker's boot now; the events that the placer has seen
// may lag behind the fold.
func (p *Placer) isCurrent(s *session, a *attempt) bool {
	task, _, ok := p.deps.View.Task(a.id.Task)
	return ok && task.Phase == state.PhaseBound && task.Attempt == a.id.Number &&
		task.Worker == s.id && task.Boot == s.boot && !task.Stopping
}

// fresh reports whether the fold holds everything that was in the log when the worker's lease was acquired. Before that
// the fold may lack ends that the last holder acknowledged, whose attempts the worker has forgotten.
func (p *Placer) fresh(s *session) bool { return !p.deps.Links.FreshAt().Before(s.acquired) }
