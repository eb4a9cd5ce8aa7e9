package shard

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"arbutuswing.example/internal/work"
)

// taskCount returns the number of tasks of all stages and occurrences.
func (j *job) taskCount() int {
	if len(j.stages) == 0 {
		return 0
	}
	last := j.stages[len(j.stages)-1]
	return last.firstTask + len(last.tasks)
}

// split reports whether the job's tasks are recorded in parts.
func (s *Shard) split(j *job) bool { return j.taskCount() > s.cfg.TasksPerRecord }

// partOf returns the part of the job's tasks that a task belongs to, counted from 1, or 0 if the job isn't split.
func (s *Shard) partOf(st *stage, index int) int {
	if !s.split(st.job) {
		return 0
	}
	return (st.firstTask+index)/s.cfg.TasksPerRecord + 1
}

// markTaskDirty adds the record that holds a task to the next commit.
func (s *Shard) markTaskDirty(st *stage, index int) {
	s.markDirty(st.job)
	if part := s.partOf(st, index); part > 0 {
		st.job.dirtyParts[part] = true
	}
}

// markRunDirty adds the records that change with a run to the next commit: the end of one member of a gang may change all.
func (s *Shard) markRunDirty(a *attempt) {
	if !a.stage.spec.Gang {
		s.markTaskDirty(a.stage, a.index)
		return
	}
	for i := range a.stage.tasks {
		s.markTaskDirty(a.stage, i)
	}
}

// markPartsDirty adds the main record and all recorded parts of a job to the next commit.
func (s *Shard) markPartsDirty(j *job) {
	s.markDirty(j)
	for part := range j.recordedParts {
		j.dirtyParts[part] = true
	}
}

// progressRecords returns the records of a job that have to be written, in an order in which a new owner may find only the
// first of them: the main record comes last, but before the parts that are deleted because the job is final.
func (s *Shard) progressRecords(j *job, now time.Duration) []JobProgress {
	id := string(j.spec.ID)
	if !s.split(j) {
		return []JobProgress{{ID: id, Progress: s.progress(j, now)}}
	}
	main := JobProgress{ID: id, Progress: work.Progress{Final: j.final, Begun: j.started, Split: true}}
	var records []JobProgress
	if j.final != "" {
		records = append(records, main)
	}
	for _, part := range slices.Sorted(maps.Keys(j.dirtyParts)) {
		first := (part - 1) * s.cfg.TasksPerRecord
		r := JobProgress{ID: id, Part: part, Progress: work.Progress{Tasks: s.taskProgress(j, first, first+s.cfg.TasksPerRecord, now)}}
		if r.Deleted() && !j.recordedParts[part] {
			continue
		}
		delete(j.recordedParts, part)
		if !r.Deleted() {
			j.recordedParts[part] = true
		}
		records = append(records, r)
	}
	clear(j.dirtyParts)
	if j.final == "" {
		records = append(records, main)
	}
	return records
}

// progress returns the whole progress of the job.
func (s *Shard) progress(j *job, now time.Duration) work.Progress {
	return work.Progress{Final: j.final, Begun: j.started, Tasks: s.taskProgress(j, 0, j.taskCount(), now)}
}

// taskProgress returns the progress of the tasks from number first to before number end, which count all stages in order. It
// omits tasks without progress.
func (s *Shard) taskProgress(j *job, first, end int, now time.Duration) []work.TaskProgress {
	var list []work.TaskProgress
	at, found := slices.BinarySearchFunc(j.stages, first, func(st *stage, first int) int { return cmp.Compare(st.firstTask, first) })
	if !found {
		at = max(at-1, 0)
	}
	for _, st := range j.stages[at:] {
		if st.firstTask >= end {
			break
		}
		for i := max(first-st.firstTask, 0); i < min(end-st.firstTask, len(st.tasks)); i++ {
			if tp, ok := st.taskProgress(i); ok {
				s.noteLateStarts(&tp, st, now)
				list = append(list, tp)
			}
		}
	}
	return list
}

// taskProgress returns the progress of a task, or false if there is nothing to record.
func (st *stage) taskProgress(index int) (work.TaskProgress, bool) {
	t, j := &st.tasks[index], st.job
	if t.lastRun == 0 && !t.done {
		return work.TaskProgress{}, false
	}
	tp := work.TaskProgress{
		Occurrence: st.occurrence, Stage: st.index, Index: index, Done: t.done, LastRun: t.lastRun,
		FailedRuns: slices.Clone(t.failedRuns),
	}
	if !t.done && j.open() {
		tp.Checkpoint = t.checkpoint
	}
	for _, a := range t.attempts {
		tp.Bindings = append(tp.Bindings, work.Binding{Run: a.run, Worker: a.worker.id, Incarnation: a.worker.incarnation})
	}
	return tp, j.final == "" || len(tp.Bindings) > 0
}
