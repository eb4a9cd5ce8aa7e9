package trial

import (
	"time"

	"arbutuswing.example/bench/internal/fleet"
	"arbutuswing.example/internal/lease"
	"arbutuswing.example/internal/model"
	"arbutuswing.example/internal/ports"
)

const (
	boot = model.BootID("boot-1")
	// usageDelay is the time after the start of a run during which a worker's report lacks its usage.
	usageDelay = 2 * time.Second
)

// callWorkers calls the workers that a placer has commands for.
func (s *system) callWorkers(now time.Duration) {
	for _, w := range s.t.fleet.Workers {
		if s.needsCall[w.ID] {
			delete(s.needsCall, w.ID)
			s.renew(now, w)
		}
	}
}

// renew passes a report of the worker to its placer and carries out the placer's commands.
func (s *system) renew(now time.Duration, w *fleet.Worker) {
	if s.t.fleet.PoweredOff[w.DataCentre] {
		return
	}
	p := s.placerOf(w.DataCentre)
	p.placer.ReportReceived(lease.Report{Acquired: s.clock.Now().Add(-now), WorkerReport: report(now, w)})
	for _, c := range p.placer.Commands(w.ID) {
		p.placer.CommandSent(w.ID, c, s.command(now, w, c))
	}
}

func (s *system) placerOf(dc model.DataCentreID) *dataCentrePlacer {
	for _, p := range s.placers {
		if p.dc == dc {
			return p
		}
	}
	return nil
}

func report(now time.Duration, w *fleet.Worker) ports.WorkerReport {
	out := ports.WorkerReport{
		Worker: w.ID, Boot: boot, DataCentre: w.DataCentre, Rack: w.Rack, Capacity: fleet.Capacity, Token: 1,
		Clock: model.Duration(now),
	}
	for _, r := range w.Runs {
		task := ports.TaskReport{
			Attempt: r.Attempt, Phase: ports.PhaseRunning, Checkpoint: model.Duration(r.Checkpointed), Throttle: r.Throttle,
			Usage: model.Usage{RunTime: model.Duration(r.Progress - r.ResumedFrom)},
		}
		if now-r.Started >= usageDelay || r.Ended {
			task.Usage.Peak = r.Actual.Peak
		}
		if r.Ended {
			task.Phase, task.Outcome = ports.PhaseEnded, r.Outcome
			if r.Outcome == model.OutcomeSucceeded {
				task.Usage.RunTime = model.Duration(r.Progress)
			}
		}
		out.Tasks = append(out.Tasks, task)
	}
	return out
}

func (s *system) command(now time.Duration, w *fleet.Worker, c lease.Command) error {
	switch c := c.(type) {
	case lease.Start:
		for _, req := range c.Requests {
			if w.Find(req.Attempt) == nil {
				s.t.startRun(now, w,
					&fleet.Run{Attempt: req.Attempt, Reservation: req.Reservation, ResumedFrom: req.Resume.Std()})
			}
		}
	case lease.Stop:
		for _, id := range c.Attempts {
			s.stop(w, id, c.Outcome)
		}
	case lease.Checkpoint:
		r := w.Find(c.Attempt)
		if r == nil || r.Ended {
			return ports.ErrUnknownTask
		}
		r.Checkpointed = r.Progress
	case lease.Throttle:
		if r := w.Find(c.Attempt); r != nil {
			r.Throttle = c.Fraction
		}
	case lease.Acknowledge:
		w.RemoveEnded(c.Attempts)
	}
	return nil
}

// stop ends a run. An attempt that the worker does not know is recorded as never started.
func (s *system) stop(w *fleet.Worker, id model.AttemptID, outcome model.Outcome) {
	r := w.Find(id)
	if r == nil {
		w.Runs = append(w.Runs, &fleet.Run{Attempt: id, Ended: true, Outcome: model.OutcomeNeverStarted})
		return
	}
	if !r.Ended {
		s.t.fleet.End(r, outcome)
	}
}
