package shard

import (
	"maps"
	"time"

	"arbutuswing.example/internal/model"
)

const (
	// avoidTime is how long a job's tasks stay off a worker on which one has failed or stalled, while others have room.
	avoidTime = 10 * time.Second
	// avoidTimeWithoutOthers is how long they wait after the last such event if no other worker has room. The fault is usually the
	// worker's and over within seconds, and each start uses up one of the task's attempts.
	avoidTimeWithoutOthers = 2 * time.Second
)

// avoidWorker keeps the job's tasks off a worker for a while.
func (j *job) avoidWorker(w *worker, now time.Duration) {
	maps.DeleteFunc(j.avoided, func(_ model.WorkerID, at time.Duration) bool { return now-at >= avoidTime })
	j.avoided[w.id], j.lastAvoidedAt = now, now
}

// avoids reports whether the stage's tasks stay off a worker.
func (st *stage) avoids(w *worker, now time.Duration) bool {
	at, ok := st.job.avoided[w.id]
	if !ok {
		return false
	}
	if st.onlyAvoidedLeft {
		return now-st.job.lastAvoidedAt < avoidTimeWithoutOthers
	}
	return now-at < avoidTime
}

// hasOnlyAvoidedLeft reports whether no worker has room for a task of the stage, or for all n tasks of a gang, but those that its job
// avoids. A worker about which there is no advice yet counts as one that may run the stage.
func (s *Shard) hasOnlyAvoidedLeft(st *stage, n int, now time.Duration) bool {
	if len(st.job.avoided) == 0 {
		return false
	}
	if !st.spec.Gang {
		n = 1
	}
	for _, w := range s.workersByID {
		_, avoided := st.job.avoided[w.id]
		advice, advised := st.answers[w.id]
		permitted := st.job.queue.Advice == nil || !advised || advice.permitted
		if avoided || !permitted || !s.meetsConstraints(st, w, now) {
			continue
		}
		if n -= st.slotsOn(w, n); n <= 0 {
			return false
		}
	}
	return true
}
