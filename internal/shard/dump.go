package shard

import (
	"maps"
	"slices"
	"time"

	"arbutuswing.example/internal/model"
)

// Load summarises the shard's work and workers.
type Load struct {
	// Jobs counts the jobs that are not final. WaitingStages counts the stages with tasks to start, and LateStages
	// those of them that are past their objective.
	Jobs          int `json:"jobs"`
	WaitingStages int `json:"waiting-stages"`
	LateStages    int `json:"late-stages"`
	// AtTeamLimit, WaitingForAdvice, WaitingForCapacity and WaitingForWorker count the waiting stages by what they lacked
	// when they were last considered.
	AtTeamLimit        int `json:"at-team-limit"`
	WaitingForAdvice   int `json:"for-advice"`
	WaitingForCapacity int `json:"for-room"`
	WaitingForWorker   int `json:"for-worker"`
	// AdviceNodes is the number of nodes that can make advice calls; each gives a second of service time per second.
	AdviceNodes int `json:"advice-nodes"`
	// AdviceWaiting counts the advice calls that wait for a node, AdviceBacklog is their service time, AdviceDrainTime how long
	// the nodes need for it, and LongestAdviceWait the time since the first of them was wanted.
	AdviceWaiting     int            `json:"advice-waiting"`
	AdviceBacklog     model.Duration `json:"advice-backlog"`
	AdviceDrainTime   model.Duration `json:"advice-drain-time"`
	LongestAdviceWait model.Duration `json:"longest-advice-wait"`
	// Runs counts the runs that may be on workers. UsableWorkers counts the workers that may get new tasks; Used and
	// Capacity are sums over these.
	Runs int `json:"runs"`
	// StartsToRecord counts the runs whose binding is not recorded yet, StartsToSend those whose start waits for the next
	// decision, and StartsInFlight those whose start has not been answered.
	StartsToRecord int `json:"starts-to-record"`
	StartsToSend   int `json:"starts-to-send"`
	StartsInFlight int `json:"starts-in-flight"`
	// CommitTime is how long the last commit took to be recorded.
	CommitTime    model.Duration  `json:"commit-time"`
	UsableWorkers int             `json:"usable-workers"`
	Workers       int             `json:"workers"`
	Used          model.Resources `json:"used"`
	Capacity      model.Resources `json:"capacity"`
}

// Load returns the current load.
func (s *Shard) Load(now time.Duration, wall time.Time) Load {
	l := Load{
		Workers: len(s.workers), CommitTime: model.Duration(s.commitLatency), AdviceNodes: s.adviceBudget.nodes,
		AdviceWaiting: len(s.adviceRequests), AdviceBacklog: model.Duration(s.adviceBudget.backlog),
		AdviceDrainTime: model.Duration(s.adviceBudget.drainTime()),
	}
	for _, r := range s.adviceRequests {
		l.LongestAdviceWait = max(l.LongestAdviceWait, model.Duration(now-r.since))
	}
	for _, j := range s.jobs {
		if j.final == "" {
			l.Jobs++
		}
	}
	for _, st := range s.activeStages {
		if st.left > 0 && st.ready(wall) && len(st.waitingTasks()) > 0 {
			l.WaitingStages++
			if now > st.job.objective {
				l.LateStages++
			}
			switch st.waitsFor {
			case waitTeamLimit:
				l.AtTeamLimit++
			case waitAdvice:
				l.WaitingForAdvice++
			case waitCapacity:
				l.WaitingForCapacity++
			case waitWorker:
				l.WaitingForWorker++
			}
		}
	}
	for _, w := range s.workersByID {
		l.Runs += len(w.attempts)
		for _, a := range w.attempts {
			switch {
			case a.phase != phaseBound || a.visibleSince >= 0:
			case a.commitNumber > s.lastCommitted:
				l.StartsToRecord++
			case a.commandPending:
				l.StartsInFlight++
			default:
				l.StartsToSend++
			}
		}
		if w.usable(now) && !s.configuration.OutOfService(w.entry.DataCentre) {
			l.UsableWorkers++
			l.Capacity = l.Capacity.Plus(w.entry.Capacity)
			l.Used = l.Used.Plus(w.used)
		}
	}
	return l
}

// WorkerDump is a worker in the state dump.
type WorkerDump struct {
	Worker      model.WorkerID  `json:"worker"`
	Incarnation int64           `json:"born"`
	Listed      bool            `json:"listed"`
	Usable      bool            `json:"usable"`
	SilentFor   model.Duration  `json:"silent"`
	Runs        int             `json:"runs"`
	Used        model.Resources `json:"used"`
	UnknownRuns int             `json:"unknown-runs"`
	// Generation is the generation of the worker's fencing tokens, and CommandsInDoubt the number of commands that are under way
	// or may still be carried out late.
	Generation      int64 `json:"generation"`
	CommandsInDoubt int   `json:"commands-in-doubt"`
}

// JobDump is a job in the state dump that is not final.
type JobDump struct {
	Job           model.JobID    `json:"job"`
	Queue         string         `json:"queue"`
	Team          model.TeamID   `json:"team"`
	Age           model.Duration `json:"age"`
	ObjectiveIn   model.Duration `json:"objective-in"`
	TasksLeft     int            `json:"tasks-left"`
	Runs          int            `json:"runs"`
	AdvicePending bool           `json:"asking"`
	// AdviceWait is how long the job's stages have waited for a node that can make their advice call, at most.
	AdviceWait model.Duration `json:"advice-wait"`
	// WaitsFor is what the job's first waiting stage lacks: team-limit, advice, room, worker, starts or late-start.
	WaitsFor string `json:"waits-for,omitempty"`
}

// Dump is the state dump of a shard.
type Dump struct {
	Committed uint64       `json:"committed"`
	Load      Load         `json:"load"`
	Workers   []WorkerDump `json:"workers"`
	Jobs      []JobDump    `json:"jobs"`
}

// Dump returns the shard's state in a form for operators.
func (s *Shard) Dump(now time.Duration, wall time.Time) Dump {
	d := Dump{Committed: s.lastCommitted, Load: s.Load(now, wall)}
	for _, w := range s.workersByID {
		d.Workers = append(d.Workers, WorkerDump{
			Worker: w.id, Incarnation: w.incarnation, Listed: w.listed, Usable: w.usable(now),
			SilentFor: model.Duration(now - w.lastReportAt),
			Runs:      len(w.attempts), Used: w.used, UnknownRuns: len(w.unknownRuns),
			Generation: w.generation, CommandsInDoubt: len(w.grants),
		})
	}
	adviceWaits := make(map[*job]time.Duration)
	for _, r := range s.adviceRequests {
		adviceWaits[r.stage.job] = max(adviceWaits[r.stage.job], now-r.since)
	}
	for _, id := range slices.Sorted(maps.Keys(s.jobs)) {
		j := s.jobs[id]
		if j.final != "" {
			continue
		}
		dump := JobDump{
			Job: id, Queue: j.spec.Queue, Team: j.spec.Team, Age: model.Duration(now - j.received),
			ObjectiveIn: model.Duration(j.objective - now), AdviceWait: model.Duration(adviceWaits[j]),
		}
		for _, st := range j.stages {
			dump.TasksLeft += st.left
			dump.AdvicePending = dump.AdvicePending || st.advicePending
			if dump.WaitsFor == "" && st.left > 0 && st.ready(wall) && len(st.waitingTasks()) > 0 {
				dump.WaitsFor = string(st.waitsFor)
			}
		}
		j.eachAttempt(func(*attempt) { dump.Runs++ })
		d.Jobs = append(d.Jobs, dump)
	}
	return d
}
