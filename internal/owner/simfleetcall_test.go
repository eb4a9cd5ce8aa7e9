package owner

import (
	"context"
	"errors"
	"fmt"
	"math/rand"
	"slices"
	"strings"
	"time"

	"arbutuswing.example/internal/agent"
	"arbutuswing.example/internal/ledger"
	"arbutuswing.example/internal/model"
	"arbutuswing.example/internal/pause"
	"arbutuswing.example/internal/work"
)

const (
	simTicketValidity      = 2 * time.Second
	simAdviceTime          = 20 * time.Millisecond
	simAdviceTimePerWorker = time.Millisecond
	// simWakeInterval bounds the time after which a heartbeat that waits looks for an end.
	simWakeInterval = 250 * time.Millisecond
	// simRegistryInterval is the interval at which a node reads the registry.
	simRegistryInterval = 200 * time.Millisecond
)

// simPath is a node's way to an address, and simMute the way of a worker's answers to a node.
type (
	simPath struct {
		connection *simConnection
		address    string
	}
	simMute struct {
		connection *simConnection
		worker     model.WorkerID
	}
)

// simOpenConnection is a connection for heartbeats to an incarnation of a worker.
type simOpenConnection struct {
	number uint64
	worker model.WorkerID
	boot   int
}

// simWorkers is a node's connection to the fleet. Commands and answers wait while the node's process stands still.
type simWorkers struct {
	fleet      *simFleet
	connection *simConnection
}

// simFate is what happens to a command.
type simFate struct {
	fate
	// notSent tells that the command isn't sent. late is how long a command takes that counts as unanswered, or zero, and
	// lateInSilence the same for one that a silent worker doesn't receive.
	notSent             bool
	late, lateInSilence time.Duration
}

// drawFate draws what happens to a command to a worker.
func (f *simFleet) drawFate(r *rand.Rand, to agent.Target, start bool) simFate {
	long := func() time.Duration { return simDuration(r, 2*time.Second, 12*time.Second) }
	drawn := simFate{fate: fate{way: simWorkerWay(r), back: simWorkerWay(r), executed: true, answered: true}}
	if r.Float64() < f.faults.silentLate {
		drawn.lateInSilence = long()
	}
	lateShare := f.faults.late
	if f.storms[to.ID] > f.at {
		lateShare = 0.7
	}
	if start {
		lateShare += f.faults.lateStarts
	}
	at := r.Float64()
	for _, chance := range []struct {
		share float64
		set   func()
	}{
		{lateShare, func() { drawn.late = long() }},
		{f.faults.lost, func() { drawn.executed = false }},
		{f.faults.lost / 4, func() { drawn.notSent = true }},
		{f.faults.unanswered, func() { drawn.answered = false }},
		{f.faults.slow, func() { drawn.way = simDuration(r, 1, simCommandTimeout) }},
		{f.faults.slow, func() { drawn.back = simDuration(r, 1, simCommandTimeout) }},
	} {
		if at < chance.share {
			chance.set()
			break
		}
		at -= chance.share
	}
	if start && drawn.late > 0 && r.Float64() < f.faults.restartsAtLateStarts {
		f.restartAtLateStart(to.ID, drawn.late, r)
	}
	return drawn
}

// simWorkerWay draws how long a command or its answer is on its way.
func simWorkerWay(r *rand.Rand) time.Duration {
	return simDuration(r, 500*time.Microsecond, 1500*time.Microsecond)
}

// simCommand is a command on its way.
type simCommand struct {
	to   agent.Target
	name string
	// task is the task of a start or stop.
	task work.TaskRef
	// connection is the connection that carries it, or empty for any one.
	connection simOpenConnection
	// wait is how long the worker may delay its answer.
	wait time.Duration
	// execute carries out the command on a worker, which arrives the given time after it was sent; the fleet's lock is held.
	execute func(w *simWorker, late time.Duration) simAnswer
}

// exchange sends a command and waits for the answer.
func (s simWorkers) exchange(ctx context.Context, call simCommand) simAnswer {
	f, c := s.fleet, s.connection
	c.thawFor(ctx, call.name)
	if ctx.Err() != nil {
		return simAnswer{err: agent.ErrNotSent}
	}
	c.mu.Lock()
	cut, killed := c.cutWorkers[call.to.ID], c.killed
	c.mu.Unlock()
	r := c.next(call.name)
	f.mu.Lock()
	f.settle()
	drawn := f.drawFate(r, call.to, strings.HasPrefix(call.name, "start"))
	sentTo := call.connection.boot
	if w, err := f.process(call.to); err == nil && call.connection.number == 0 {
		sentTo = w.boot
	}
	f.mu.Unlock()
	switch {
	case killed:
		drawn.executed = false
	case drawn.notSent:
		return simAnswer{err: agent.ErrNotSent}
	case cut:
		f.carryOutLate(call, drawn.lateInSilence)
		drawn.executed = false
	case drawn.late > 0:
		f.carryOutLate(call, drawn.late)
		drawn.executed = false
	}
	answer, err := deliver(ctx, drawn.fate, simCommandTimeout+call.wait, func() (simAnswer, error) {
		answer := f.deliver(ctx, call, sentTo, drawn.lateInSilence)
		if errors.Is(answer.err, agent.ErrNoAnswer) || s.muted(call.to.ID) {
			return simAnswer{}, ledger.ErrNoAnswer
		}
		return answer, nil
	})
	if err != nil {
		answer = simAnswer{err: agent.ErrNoAnswer}
	}
	c.thawFor(ctx, call.name)
	return answer
}

// muted reports whether a worker's answers don't reach the node.
func (s simWorkers) muted(id model.WorkerID) bool {
	f := s.fleet
	f.mu.Lock()
	defer f.mu.Unlock()
	f.settle()
	return f.workers[id].muteUntil > f.at || f.mutes[simMute{s.connection, id}] > f.at
}

// deliver carries out a command that has arrived, unless its worker has restarted since it was sent or is silent, and lets a
// heartbeat wait for an end.
func (f *simFleet) deliver(ctx context.Context, call simCommand, sentTo int, lateInSilence time.Duration) simAnswer {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.settle()
	w, err := f.process(call.to)
	switch {
	case err != nil:
		return simAnswer{err: err}
	case w.boot != sentTo:
		return simAnswer{err: agent.ErrNoAnswer}
	case w.silentUntil > f.at:
		f.carryOutLate(call, lateInSilence)
		return simAnswer{err: agent.ErrNoAnswer}
	}
	answer := call.execute(w, 0)
	for deadline := f.at + call.wait; answer.err == nil && f.at < deadline && len(w.ended) == 0; f.settle() {
		woken, left := w.woken, min(deadline-f.at, simWakeInterval)
		f.mu.Unlock()
		pause.UntilWoken(ctx, left, woken)
		f.mu.Lock()
		if ctx.Err() != nil || !w.up || w.boot != sentTo {
			return simAnswer{err: agent.ErrNoAnswer}
		}
	}
	answer.report = f.report(w)
	return answer
}

// carryOutLate carries out a command after newer ones, unless the time is zero.
func (f *simFleet) carryOutLate(call simCommand, late time.Duration) {
	if late == 0 {
		return
	}
	time.AfterFunc(late, func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.settle()
		to := call.to
		if w := f.workers[to.ID]; f.faults.lateFollows && w.up {
			to.Address = w.address
		}
		// A worker that falls silent may have received the command before.
		w, err := f.process(to)
		if err != nil {
			return
		}
		if len(w.running) > 0 {
			f.met["late commands that met a run"]++
		}
		answer := call.execute(w, late)
		f.note(w, call.task, "%s, sent %v before, is carried out late: %v", call.name, late, answer.err)
	})
}

// simEpoch returns the epoch of a fencing token.
func simEpoch(token int64) int64 { return token >> 20 }

func (s simWorkers) Start(ctx context.Context, to agent.Target, cmd agent.Start) (time.Duration, error) {
	answer := s.exchange(ctx, simCommand{
		to: to, name: fmt.Sprintf("start of run %d of %v under %d", cmd.Run, cmd.Task, simEpoch(cmd.Token)), task: cmd.Task,
		execute: func(w *simWorker, late time.Duration) simAnswer { return s.fleet.start(w, cmd, late) },
	})
	return answer.clock, answer.err
}

func (s simWorkers) Stop(ctx context.Context, to agent.Target, cmd agent.Stop) (time.Duration, error) {
	answer := s.exchange(ctx, simCommand{
		to: to, name: fmt.Sprintf("stop of run %d of %v on %s under %d", cmd.Run, cmd.Task, to.ID, simEpoch(cmd.Token)), task: cmd.Task,
		execute: func(w *simWorker, _ time.Duration) simAnswer { return s.fleet.stop(w, cmd) },
	})
	return answer.clock, answer.err
}

func (s simWorkers) Heartbeat(ctx context.Context, to agent.Target, cmd agent.Heartbeat) (agent.Report, error) {
	s.connection.thawFor(ctx, "connection to "+to.Address)
	open := s.connect(to)
	if open.number != cmd.ReportConnection {
		cmd.LeaseEnd, cmd.Acked, cmd.Wait = 0, 0, 0
	}
	answer := s.exchange(ctx, simCommand{
		to: to, name: fmt.Sprintf("heartbeat to %s under %d", to.ID, simEpoch(cmd.Token)), connection: open, wait: cmd.Wait,
		execute: func(w *simWorker, late time.Duration) simAnswer { return s.fleet.heartbeat(w, cmd, late) },
	})
	if errors.Is(answer.err, agent.ErrNoAnswer) || errors.Is(answer.err, agent.ErrNotSent) {
		s.disconnect(to, open.number)
	}
	answer.report.Connection = open.number
	return answer.report, answer.err
}

// connect returns the connection to an address, which is a new one after a failed call and if another incarnation is
// there.
func (s simWorkers) connect(to agent.Target) simOpenConnection {
	f, path := s.fleet, simPath{s.connection, to.Address}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.settle()
	wanted := simOpenConnection{}
	for _, id := range f.order {
		if w := f.workers[id]; w.up && w.address == to.Address {
			wanted.worker, wanted.boot = id, w.boot
		}
	}
	open, ok := f.connections[path]
	if wanted.number = open.number; ok && open == wanted {
		return open
	}
	f.opened[path]++
	f.openedAll++
	wanted.number = f.openedAll
	if f.faults.numbersPerAddress {
		wanted.number = f.opened[path]
	}
	f.connections[path] = wanted
	return wanted
}

// disconnect closes the connection with this number.
func (s simWorkers) disconnect(to agent.Target, number uint64) {
	f, path := s.fleet, simPath{s.connection, to.Address}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.connections[path].number == number {
		delete(f.connections, path)
	}
}

// simRegistry follows the entries of the fleet for a node, some time after they change.
type simRegistry struct {
	fleet      *simFleet
	connection *simConnection
	events     RegistryEvents
}

func (r simRegistry) Run(ctx context.Context) error {
	f := r.fleet
	var known []agent.Entry
	for first := true; ctx.Err() == nil; first = false {
		begun, entries := time.Now(), f.entries()
		if first || !slices.EqualFunc(entries, known, sameEntry) {
			lag := r.connection.next("registry").Float64() * f.faults.registryLag
			pause.For(ctx, 1+time.Duration(lag*float64(time.Second)))
			r.connection.thawFor(ctx, "registry")
			r.events.Changed(entries)
			known = entries
		}
		r.events.Read(begun)
		pause.For(ctx, simRegistryInterval)
	}
	return nil
}

// sameEntry compares the fields of an entry that change.
func sameEntry(a, b agent.Entry) bool {
	return a.ID == b.ID && a.Address == b.Address && a.Capacity == b.Capacity && a.Draining == b.Draining && a.Incarnation == b.Incarnation
}

// entries returns the entries of the registry.
func (f *simFleet) entries() []agent.Entry {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.settle()
	entries := make([]agent.Entry, 0, len(f.order))
	for _, id := range f.order {
		w := f.workers[id]
		entry := w.entry()
		if !w.up || f.at < w.entryFrom {
			entry = w.formerEntry
		}
		expired := !w.up && f.at > w.downSince+simEntryExpiry
		if entry.ID != "" && !expired && f.at >= w.unlistedUntil {
			entries = append(entries, entry)
		}
	}
	return entries
}

// entry returns the entry that the worker writes.
func (w *simWorker) entry() agent.Entry {
	return agent.Entry{
		ID: w.id, Pool: "pool", Address: w.address, Capacity: w.capacity, Draining: w.draining, Incarnation: w.born,
	}
}

// simAdvisor is a node's connection to the advice service.
type simAdvisor struct {
	fleet      *simFleet
	connection *simConnection
}

func (a simAdvisor) Advise(ctx context.Context, req agent.AdviceRequest) (agent.Advice, error) {
	f := a.fleet
	stage := fmt.Sprintf("%s.%d", req.Stage.Job, req.Stage.Stage)
	name := "advice " + stage
	a.connection.thawFor(ctx, name)
	r := a.connection.next(name)
	pause.For(ctx, simAdviceTime+time.Duration(len(req.Workers))*simAdviceTimePerWorker+simWorkerWay(r))
	f.mu.Lock()
	f.settle()
	refused := r.Float64() < f.faults.lost
	advice := agent.Advice{Tickets: make(map[model.WorkerID]string), Valid: model.Duration(simTicketValidity)}
	for _, id := range req.Workers {
		if w := f.workers[id]; w != nil && f.draws.rand("permission "+stage+string(id), 0).Float64() < 0.6 {
			advice.Tickets[id] = fmt.Sprintf("%s %s %d %d", stage, id, w.boot, w.clock(f.at))
		}
	}
	f.mu.Unlock()
	a.connection.thawFor(ctx, name)
	if refused {
		return agent.Advice{}, agent.ErrBusy
	}
	return advice, nil
}

// acceptsTicket reports whether a worker accepts the ticket of a start.
func (f *simFleet) acceptsTicket(w *simWorker, cmd agent.Start) bool {
	var stage string
	var id model.WorkerID
	var boot int
	var issued time.Duration
	if _, err := fmt.Sscan(cmd.Ticket, &stage, &id, &boot, (*int64)(&issued)); err != nil {
		return false
	}
	return stage == fmt.Sprintf("%s.%d", cmd.Task.Job, cmd.Task.Stage) && id == w.id && boot == w.boot &&
		w.clock(f.at) <= issued+simTicketValidity
}
