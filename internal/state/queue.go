package state

import (
	"cmp"
	"slices"

	"arbutuswing.example/internal/model"
)

// queues indexes the jobs that have queued tasks by team and class, in order of acceptance.
type queues struct {
	rows *table[queueKey, []queuedJob]
}

// queueKey identifies the queue of a team and a class.
type queueKey string

type queuedJob struct {
	number int64
	job    model.JobID
}

func newQueues() *queues { return &queues{rows: newTable[queueKey, []queuedJob]()} }

func queueKeyOf(team model.TeamID, class model.ClassID) queueKey {
	return queueKey(string(team) + "\x00" + string(class))
}

// update adds the job to its queue if it has queued tasks, and removes it if it has none.
func (q *queues) update(j *job) {
	key := queueKeyOf(j.Spec.Team, j.Spec.Class)
	row, _ := q.rows.get(key)
	at, listed := slices.BinarySearchFunc(row, j.Number, func(item queuedJob, number int64) int {
		return cmp.Compare(item.number, number)
	})
	if listed == (j.queued > 0) {
		return
	}
	defer q.rows.lock(key).Unlock()
	rows := q.rows.shard(key).rows
	switch {
	case !listed:
		rows[key] = slices.Insert(row, at, queuedJob{number: j.Number, job: j.Spec.ID})
	case len(row) == 1:
		delete(rows, key)
	default:
		rows[key] = slices.Delete(row, at, at+1)
	}
}

// first returns up to limit jobs with queued tasks, oldest first.
func (q *queues) first(key queueKey, limit int) []model.JobID {
	var out []model.JobID
	q.rows.view(key, func(row []queuedJob) {
		for _, item := range row[:min(limit, len(row))] {
			out = append(out, item.job)
		}
	})
	return out
}
