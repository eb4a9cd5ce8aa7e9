package owner

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"maps"
	"math/rand"
	"slices"
	"strings"
	"sync"
	"time"

	"arbutuswing.example/internal/agent"
	"arbutuswing.example/internal/ledger"
	"arbutuswing.example/internal/model"
	"arbutuswing.example/internal/pause"
	"arbutuswing.example/internal/work"
)

const (
	simLease    = 7 * time.Second
	simMaxLease = 10 * time.Second
)

// simRun identifies a run of a task.
type simRun struct {
	task work.TaskRef
	run  int
}

// simFleet is a fleet of workers that notes what breaks a rule: two runs of a task at the same time, or a start after an
// acknowledged success.
type simFleet struct {
	mu       sync.Mutex
	workers  map[model.WorkerID]*simWorker
	succeeds map[work.TaskRef]time.Duration
	// done holds the tasks whose success has been acknowledged, finished also those whose worker lapsed before, and restarted
	// those that were started after a success that isn't acknowledged.
	done, finished, restarted map[work.TaskRef]bool
	violations                []string
	// starts counts the starts that were carried out, and lapsed the runs that ended with their lease.
	starts, lapsed int
}

// simWorker is a worker whose clock may be slow and which may be silent while its tasks go on.
type simWorker struct {
	id         model.WorkerID
	begun      time.Time
	rate       float64
	token      int64
	leaseEnd   time.Duration
	running    map[simRun]time.Duration
	superseded map[work.TaskRef]int
	ended      []agent.EndedRun
	numbers    int64
	// lapsedNumber is the number of the last end before the worker's lease lapsed.
	lapsedNumber int64
	silentUntil  time.Time
}

func newSimFleet(count int) *simFleet {
	f := &simFleet{
		workers: make(map[model.WorkerID]*simWorker), succeeds: make(map[work.TaskRef]time.Duration), done: make(map[work.TaskRef]bool),
		finished: make(map[work.TaskRef]bool), restarted: make(map[work.TaskRef]bool),
	}
	for i := range count {
		id := model.WorkerID(fmt.Sprintf("w%d", i))
		f.workers[id] = &simWorker{
			id: id, begun: time.Now().Add(-time.Minute), rate: 1 - 0.02*float64(i%2), running: make(map[simRun]time.Duration),
			superseded: make(map[work.TaskRef]int),
		}
	}
	return f
}

func (f *simFleet) entries() []agent.Entry {
	entries := make([]agent.Entry, 0, len(f.workers))
	for _, id := range slices.Sorted(maps.Keys(f.workers)) {
		entries = append(entries, agent.Entry{
			ID: id, Pool: "pool", Address: string(id), Capacity: model.Resources{Cores: 4, Memory: 1000},
		})
	}
	return entries
}

func (f *simFleet) silence(id model.WorkerID, d time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.workers[id].silentUntil = time.Now().Add(d)
}

func (f *simFleet) violation(format string, args ...any) {
	f.violations = append(f.violations, fmt.Sprintf("%v: ", time.Now().UTC().Format("04:05.000"))+fmt.Sprintf(format, args...))
}

// advance ends the runs whose time or lease is over and returns the worker's clock; the lock is held.
func (f *simFleet) advance(w *simWorker) time.Duration {
	clock := time.Duration(float64(time.Since(w.begun)) * w.rate)
	lapses := w.leaseEnd > 0 && clock > w.leaseEnd
	for _, key := range slices.SortedFunc(maps.Keys(w.running), func(a, b simRun) int { return int(w.running[a] - w.running[b]) }) {
		switch end := w.running[key]; {
		case end <= clock && (!lapses || end <= w.leaseEnd):
			f.end(w, key, agent.OutcomeDone)
		case lapses:
			f.lapsed++
			f.end(w, key, agent.OutcomeLeaseExpired)
		}
	}
	if lapses {
		// A success from before a lapse doesn't count, unless it had been acknowledged.
		w.lapsedNumber = w.numbers
	}
	return clock
}

func (f *simFleet) end(w *simWorker, key simRun, outcome agent.RunOutcome) {
	delete(w.running, key)
	w.superseded[key.task] = max(w.superseded[key.task], key.run)
	w.numbers++
	w.ended = append(w.ended, agent.EndedRun{Number: w.numbers, Task: key.task, Run: key.run, Outcome: outcome})
}

func (f *simFleet) succeeded(task work.TaskRef) bool {
	for _, w := range f.workers {
		for _, end := range w.ended {
			if end.Task == task && end.Outcome == agent.OutcomeDone && end.Number > w.lapsedNumber {
				return true
			}
		}
	}
	return false
}

// carryOut carries out a command unless the worker is silent or has seen a higher token.
func (f *simFleet) carryOut(to agent.Target, token int64, command func(*simWorker, time.Duration) error) (time.Duration, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	w := f.workers[to.ID]
	if time.Now().Before(w.silentUntil) {
		return 0, agent.ErrNoAnswer
	}
	clock := f.advance(w)
	if token < w.token {
		return clock, agent.ErrFenced
	}
	w.token = token
	return clock, command(w, clock)
}

func (f *simFleet) start(to agent.Target, cmd agent.Start) (time.Duration, error) {
	return f.carryOut(to, cmd.Token, func(w *simWorker, clock time.Duration) error {
		key := simRun{cmd.Task, cmd.Run}
		if _, there := w.running[key]; there {
			return nil
		}
		if cmd.Run <= w.superseded[cmd.Task] {
			return agent.ErrRunSuperseded
		}
		if cmd.LeaseEnd <= clock {
			return agent.ErrDeadlinePassed
		}
		for _, other := range f.workers {
			f.advance(other)
			for running := range other.running {
				if running.task == cmd.Task {
					f.violation("run %d of %v starts on %s under %d while run %d is on %s",
						cmd.Run, cmd.Task, w.id, cmd.Token, running.run, other.id)
				}
			}
		}
		if f.done[cmd.Task] {
			f.violation("run %d of %v starts on %s under %d after its acknowledged success", cmd.Run, cmd.Task, w.id, cmd.Token)
		}
		if f.succeeded(cmd.Task) {
			f.restarted[cmd.Task] = true
		}
		f.starts++
		w.leaseEnd = max(w.leaseEnd, min(cmd.LeaseEnd, clock+simMaxLease))
		w.running[key] = clock + f.succeeds[cmd.Task]
		return nil
	})
}

func (f *simFleet) stop(to agent.Target, cmd agent.Stop) (time.Duration, error) {
	return f.carryOut(to, cmd.Token, func(w *simWorker, _ time.Duration) error {
		if key := (simRun{cmd.Task, cmd.Run}); w.running[key] > 0 {
			f.end(w, key, agent.OutcomeStopped)
		}
		w.superseded[cmd.Task] = max(w.superseded[cmd.Task], cmd.Run)
		return nil
	})
}

func (f *simFleet) heartbeat(to agent.Target, cmd agent.Heartbeat) (report agent.Report, err error) {
	clock, err := f.carryOut(to, cmd.Token, func(w *simWorker, clock time.Duration) error {
		if cmd.LeaseEnd > 0 {
			w.leaseEnd = max(w.leaseEnd, min(cmd.LeaseEnd, clock+simMaxLease))
		}
		for len(w.ended) > 0 && w.ended[0].Number <= cmd.Acked {
			end := w.ended[0]
			f.finished[end.Task] = f.finished[end.Task] || end.Outcome == agent.OutcomeDone
			if end.Outcome == agent.OutcomeDone && end.Number > w.lapsedNumber {
				f.done[end.Task] = true
				if f.restarted[end.Task] {
					f.violation("success of run %d of %v is acknowledged, though the task was started after it", end.Run, end.Task)
				}
			}
			w.ended = w.ended[1:]
		}
		report.Ended = slices.Clone(w.ended)
		runs := slices.SortedFunc(maps.Keys(w.running), func(a, b simRun) int {
			return cmp.Or(strings.Compare(a.task.String(), b.task.String()), cmp.Compare(a.run, b.run))
		})
		for _, key := range runs {
			report.Running = append(report.Running, agent.ActiveRun{Task: key.task, Run: key.run, Percent: int(clock/time.Second) % 100})
		}
		return nil
	})
	report.Clock = clock
	return report, err
}

// simWorkers is a node's connection to the fleet. Commands and answers wait while the node's process stands still.
type simWorkers struct {
	fleet      *simFleet
	connection *simConnection
}

// simAnswer is a worker's answer to a command.
type simAnswer struct {
	clock  time.Duration
	report agent.Report
}

// call sends a command to a worker, which may stand still until its answer for some time of its own.
func (s simWorkers) call(ctx context.Context, to agent.Target, name string, command func() (simAnswer, error)) (simAnswer, error) {
	s.connection.thaw(ctx)
	s.connection.mu.Lock()
	cut := s.connection.cutWorkers[to.ID] || s.connection.killed
	s.connection.mu.Unlock()
	r := s.connection.next(name + " " + to.Address)
	f := fate{way: simWorkerWay(r), back: simWorkerWay(r), executed: !cut, answered: !cut}
	answer, err := deliver(ctx, f, simCallTimeout, command)
	s.connection.thaw(ctx)
	if errors.Is(err, ledger.ErrNoAnswer) {
		err = agent.ErrNoAnswer
	}
	return answer, err
}

// simWorkerWay draws how long a command or its answer is on its way.
func simWorkerWay(r *rand.Rand) time.Duration {
	return simDuration(r, 500*time.Microsecond, 1500*time.Microsecond)
}

func (s simWorkers) Start(ctx context.Context, to agent.Target, cmd agent.Start) (time.Duration, error) {
	a, err := s.call(ctx, to, fmt.Sprintf("start of run %d of %v", cmd.Run, cmd.Task), func() (a simAnswer, err error) {
		a.clock, err = s.fleet.start(to, cmd)
		return a, err
	})
	return a.clock, err
}

func (s simWorkers) Stop(ctx context.Context, to agent.Target, cmd agent.Stop) (time.Duration, error) {
	a, err := s.call(ctx, to, fmt.Sprintf("stop of run %d of %v", cmd.Run, cmd.Task), func() (a simAnswer, err error) {
		a.clock, err = s.fleet.stop(to, cmd)
		return a, err
	})
	return a.clock, err
}

func (s simWorkers) Heartbeat(ctx context.Context, to agent.Target, cmd agent.Heartbeat) (agent.Report, error) {
	if cmd.ReportConnection == 0 {
		cmd.LeaseEnd, cmd.Acked, cmd.Wait = 0, 0, 0
	}
	a, err := s.call(ctx, to, "heartbeat", func() (a simAnswer, err error) {
		a.report, err = s.fleet.heartbeat(to, cmd)
		return a, err
	})
	a.report.Incarnation, a.report.Connection = 1, 1
	if len(a.report.Ended) == 0 {
		pause.For(ctx, min(cmd.Wait, 200*time.Millisecond))
	}
	return a.report, err
}
