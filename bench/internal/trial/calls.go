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
	// usageLag is how long a worker's report lacks the usage of a run.
	usageLag = 2 * time.Second
)

// serveKicked calls the workers that a placer has commands for.
func (s *system) serveKicked(now time.Duration) {
	for _, w := range s.t.fleet.Workers {
		if s.kicked[w.ID] {
			delete(s.kicked, w.ID)
			s.renew(now, w)
		}
	}
}

// renew hands a report of the worker to its placer and carries out what that commands.
func (s *system) renew(now time.Duration, w *fleet.Worker) {
	if s.t.fleet.Off[w.Centre] {
		return
	}
	n := s.nodeOf(w.Centre)
	n.placer.ReportReceived(lease.Report{Acquired: s.clock.Now().Add(-now), WorkerReport: report(now, w)})
	for _, c := range n.placer.Commands(w.ID) {
		n.placer.CommandSent(w.ID, c, s.command(now, w, c))
	}
}

func (s *system) nodeOf(dc model.DataCentreID) *node {
	for _, n := range s.nodes {
		if n.dc == dc {
			return n
		}
	}
	return nil
}

func report(now time.Duration, w *fleet.Worker) ports.WorkerReport {
	out := ports.WorkerReport{
		Worker: w.ID, Boot: boot, DataCentre: w.Centre, Rack: w.Rack, Capacity: fleet.Capacity, Token: 1, Clock: model.Duration(now),
	}
	for _, r := range w.Runs {
		task := ports.TaskReport{
			Attempt: r.Attempt, Phase: ports.PhaseRunning, Checkpoint: model.Duration(r.Saved), Throttle: r.Throttle,
			Usage: model.Usage{RunTime: model.Duration(r.Done - r.Resumed)},
		}
		if now-r.Started >= usageLag || r.Ended {
			task.Usage.Peak = r.Need.Peak
		}
		if r.Ended {
			task.Phase, task.Outcome = ports.PhaseEnded, r.Outcome
			if r.Outcome == model.OutcomeSucceeded {
				task.Usage.RunTime = model.Duration(r.Done)
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
				s.t.launch(now, w, &fleet.Run{Attempt: req.Attempt, Reservation: req.Reservation, Resumed: req.Resume.Std()})
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
		r.Saved = r.Done
	case lease.Throttle:
		if r := w.Find(c.Attempt); r != nil {
			r.Throttle = c.Fraction
		}
	case lease.Acknowledge:
		w.Forget(c.Attempts)
	}
	return nil
}

// stop ends a run; one that the worker doesn't know is remembered as never started.
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
