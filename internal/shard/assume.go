package shard

import (
	"slices"
	"time"

	"arbutuswing.example/internal/agent"
	"arbutuswing.example/internal/model"
)

// outcomeWait is how long the outcome of a run is waited for whose worker doesn't answer: longer than links are usually cut.
const outcomeWait = 15 * time.Second

// assumedRun is a run that was taken as gone because time has proved it; its worker may still report that it had failed.
type assumedRun struct {
	index  int
	run    int
	worker model.WorkerID
	until  time.Duration
}

// assumeGone ends a run that no worker has reported as ended.
func (s *Shard) assumeGone(a *attempt, how agent.RunOutcome, now time.Duration) {
	a.stage.assumed = append(a.stage.assumed, assumedRun{a.index, a.run, a.worker.id, now + outcomeWait})
	a.worker.assumed = true
	s.ended(a, how, "", now)
}

// settleAssumed forgets what was assumed of a worker that has reported all its ends.
func (s *Shard) settleAssumed(w *worker) {
	if !w.assumed {
		return
	}
	w.assumed = false
	for _, st := range s.active {
		if len(st.assumed) > 0 {
			st.assumed = slices.DeleteFunc(st.assumed, func(r assumedRun) bool { return r.worker == w.id })
			st.retry = true
		}
	}
}

// mayStart reports whether a task may be started: not while a failure that a silent worker has yet to report might be its
// last one.
func (st *stage) mayStart(index int, now time.Duration) bool {
	st.assumed = slices.DeleteFunc(st.assumed, func(r assumedRun) bool { return now > r.until })
	if len(st.assumed) == 0 || st.spec.Service || st.spec.Speculative {
		return true
	}
	failed := make(map[int]bool)
	for i := range st.tasks {
		if i != index && !st.spec.Gang {
			continue
		}
		for _, run := range st.tasks[i].failedRuns {
			failed[run] = true
		}
	}
	for _, r := range st.assumed {
		if r.index == index || st.spec.Gang {
			failed[r.run] = true
		}
	}
	return len(failed) < max(st.job.queue.Attempts, 1)
}
