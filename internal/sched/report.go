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

// ReportReceived applies a worker's report and queues the ends in it for the log.
func (p *Placer) ReportReceived(r lease.Report) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.workerState(r.Worker)
	if s.boot != r.Boot {
		clear(s.stopSentAt)
	}
	s.leaseHeld, s.acquiredAt, s.reportedAt = true, r.Acquired, p.deps.Clock.Now()
	s.boot, s.capacity = r.Boot, r.Capacity
	if s.leaving != r.Leaving {
		s.leaving = r.Leaving
		p.updateInventory(s)
	}
	p.setTasks(s, r.Tasks)
	for _, a := range s.bound {
		// Calls to one worker are sequential, so this report shows the effect of every answered start before it. A
		// start whose answer was lost is sent again if the report lacks the attempt.
		a.startUnconfirmed = false
	}
	p.collectEnds(s, r.Tasks)
	p.applyMemoryUsage(s)
}

// setTasks replaces the tasks that the worker reported, and updates the index of workers by running task.
func (p *Placer) setTasks(s *workerState, tasks []ports.TaskReport) {
	for id := range s.tasks {
		left := slices.DeleteFunc(p.runningOn[id.Task], func(w model.WorkerID) bool { return w == s.id })
		if p.runningOn[id.Task] = left; len(left) == 0 {
			delete(p.runningOn, id.Task)
		}
	}
	clear(s.tasks)
	for _, t := range tasks {
		s.tasks[t.Attempt] = t
		if t.Phase == ports.PhaseRunning {
			p.runningOn[t.Attempt.Task] = append(p.runningOn[t.Attempt.Task], s.id)
		}
	}
}

// collectEnds queues the ends of bound attempts for the log. Attempts that never started come first: if they are in the
// backlog, the state machine would otherwise promote them when another attempt ends.
func (p *Placer) collectEnds(s *workerState, tasks []ports.TaskReport) {
	var ends []record.Ended
	for _, t := range tasks {
		a := s.bound[t.Attempt]
		if a == nil || a.endPending || a.boot != s.boot || t.Phase != ports.PhaseEnded {
			continue
		}
		a.endPending = true
		ends = append(ends, record.Ended{
			Attempt: t.Attempt, Worker: s.id, Outcome: t.Outcome, Usage: t.Usage, Checkpoint: t.Checkpoint,
		})
	}
	if len(ends) == 0 {
		return
	}
	slices.SortStableFunc(ends, func(a, b record.Ended) int {
		if neverStarted := model.OutcomeNeverStarted; (a.Outcome == neverStarted) != (b.Outcome == neverStarted) {
			if a.Outcome == neverStarted {
				return -1
			}
			return 1
		}
		return strings.Compare(a.Attempt.String(), b.Attempt.String())
	})
	p.pendingEnds = append(p.pendingEnds, ends...)
	select {
	case p.endsReady <- struct{}{}:
	default:
	}
}

// LeaseDropped discards what the worker reported, since another lease holder may command it now.
func (p *Placer) LeaseDropped(id model.WorkerID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.workerStates[id]
	if s == nil {
		return
	}
	s.leaseHeld = false
	p.setTasks(s, nil)
	clear(s.stopSentAt)
	s.excess = 0
	p.updateInventory(s)
}

// hasEnded reports whether the state machine holds the attempt's end, or has forgotten it because the whole job has
// ended.
func (p *Placer) hasEnded(s *workerState, id model.AttemptID) bool {
	task, _, ok := p.deps.View.Task(id.Task)
	if !ok {
		return p.fresh(s)
	}
	return task.Attempt > id.Number || (task.Attempt == id.Number && task.Phase != state.PhaseBound)
}

// isCurrent reports whether the state machine has the attempt bound to this boot of the worker now; the events that the
// placer has handled may lag behind it.
func (p *Placer) isCurrent(s *workerState, a *attempt) bool {
	task, _, ok := p.deps.View.Task(a.id.Task)
	return ok && task.Phase == state.PhaseBound && task.Attempt == a.id.Number &&
		task.Worker == s.id && task.Boot == s.boot && !task.Stopping
}

// fresh reports whether the state machine has applied everything that was in the log when the worker's lease was
// acquired. Before that, it may lack ends that the last holder acknowledged and whose attempts the worker has
// forgotten.
func (p *Placer) fresh(s *workerState) bool { return !p.deps.Links.FreshAsOf().Before(s.acquiredAt) }
