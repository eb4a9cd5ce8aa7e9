package owner

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"

	"arbutuswing.example/internal/agent"
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
	// out and back are how long the command and its answer take.
	out, back time.Duration
	// notSent tells that the command isn't sent, lost that it is lost, and unanswered that its answer is lost.
	notSent, lost, unanswered bool
	// late is how long a command takes that counts as unanswered, or zero. lateInSilence is the same for one that a silent worker
	// doesn't receive.
	late, lateInSilence time.Duration
}

// fate draws what happens to the next command of this name to a worker.
func (f *simFleet) fate(name string, to agent.Target) simFate {
	f.counts[name]++
	random := f.draws.rand(name, f.counts[name])
	short := func() time.Duration { return time.Millisecond + time.Duration(random.Int63n(int64(time.Millisecond))) }
	long := func() time.Duration { return 2*time.Second + time.Duration(random.Int63n(int64(10*time.Second))) }
	fate := simFate{out: short(), back: short()}
	if random.Float64() < f.faults.silentLate {
		fate.lateInSilence = long()
	}
	lateShare := f.faults.late
	if f.storms[to.ID] > f.at {
		lateShare = 0.7
	}
	start := strings.HasPrefix(name, "start")
	if start {
		lateShare += f.faults.lateStarts
	}
	at := random.Float64()
	for _, chance := range []struct {
		share float64
		set   func()
	}{
		{lateShare, func() { fate.late = long() }},
		{f.faults.lost, func() { fate.lost = true }},
		{f.faults.lost / 4, func() { fate.notSent = true }},
		{f.faults.unanswered, func() { fate.unanswered = true }},
		{f.faults.slow, func() { fate.out = time.Duration(random.Int63n(int64(simCommandTimeout))) }},
		{f.faults.slow, func() { fate.back = time.Duration(random.Int63n(int64(simCommandTimeout))) }},
	} {
		if at < chance.share {
			chance.set()
			break
		}
		at -= chance.share
	}
	if start && fate.late > 0 && random.Float64() < f.faults.restartsAtLateStarts {
		f.restartAtLateStart(to.ID, fate.late, random)
	}
	return fate
}

// simCall is a command on its way.
type simCall struct {
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
func (s simWorkers) exchange(ctx context.Context, call simCall) simAnswer {
	f := s.fleet
	s.connection.thaw(ctx)
	if ctx.Err() != nil {
		return simAnswer{err: agent.ErrNotSent}
	}
	s.connection.mu.Lock()
	cut := s.connection.cutWorkers[call.to.ID]
	s.connection.mu.Unlock()
	f.mu.Lock()
	f.settle()
	fate := f.fate(call.name, call.to)
	sentTo := call.connection.boot
	if w, err := f.process(call.to); err == nil && call.connection.number == 0 {
		sentTo = w.boot
	}
	f.mu.Unlock()
	answers := make(chan simAnswer, 1)
	switch {
	case fate.notSent:
		return simAnswer{err: agent.ErrNotSent}
	case cut:
		f.carryOutLate(call, fate.lateInSilence)
	case fate.late > 0:
		f.carryOutLate(call, fate.late)
	case !fate.lost:
		time.AfterFunc(fate.out, func() {
			answer := f.deliver(ctx, call, sentTo, fate)
			if !errors.Is(answer.err, agent.ErrNoAnswer) && !fate.unanswered && !s.muted(call.to.ID) {
				time.AfterFunc(fate.back, func() { answers <- answer })
			}
		})
	}
	timeout := time.NewTimer(simCommandTimeout + call.wait)
	defer timeout.Stop()
	answer := simAnswer{err: agent.ErrNoAnswer}
	select {
	case answer = <-answers:
	case <-ctx.Done():
	case <-timeout.C:
		select {
		case answer = <-answers:
		default:
		}
	}
	s.connection.thaw(ctx)
	if call.task != noTask {
		s.noteCall(call, answer.err)
	}
	return answer
}

// noteCall adds the outcome of a start or stop to the trace.
func (s simWorkers) noteCall(call simCall, err error) {
	f := s.fleet
	f.mu.Lock()
	defer f.mu.Unlock()
	f.settle()
	f.note(f.workers[call.to.ID], call.task, "%s returns %v", call.name, err)
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
func (f *simFleet) deliver(ctx context.Context, call simCall, sentTo int, fate simFate) simAnswer {
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
		f.carryOutLate(call, fate.lateInSilence)
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
func (f *simFleet) carryOutLate(call simCall, late time.Duration) {
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
	answer := s.exchange(ctx, simCall{
		to: to, name: fmt.Sprintf("start of run %d of %v under %d", cmd.Run, cmd.Task, simEpoch(cmd.Token)), task: cmd.Task,
		execute: func(w *simWorker, late time.Duration) simAnswer { return s.fleet.start(w, cmd, late) },
	})
	return answer.clock, answer.err
}

func (s simWorkers) Stop(ctx context.Context, to agent.Target, cmd agent.Stop) (time.Duration, error) {
	answer := s.exchange(ctx, simCall{
		to: to, name: fmt.Sprintf("stop of run %d of %v on %s under %d", cmd.Run, cmd.Task, to.ID, simEpoch(cmd.Token)), task: cmd.Task,
		execute: func(w *simWorker, _ time.Duration) simAnswer { return s.fleet.stop(w, cmd) },
	})
	return answer.clock, answer.err
}

func (s simWorkers) Heartbeat(ctx context.Context, to agent.Target, cmd agent.Heartbeat) (agent.Report, error) {
	s.connection.thaw(ctx)
	open := s.connect(to)
	if open.number != cmd.ReportConnection {
		cmd.LeaseEnd, cmd.Acked, cmd.Wait = 0, 0, 0
	}
	answer := s.exchange(ctx, simCall{
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
	name       string
	changed    func([]agent.Entry)
}

func (r simRegistry) Run(ctx context.Context) error {
	f := r.fleet
	var known []agent.Entry
	for first := true; ctx.Err() == nil; first = false {
		entries := f.entries()
		if first || !slices.EqualFunc(entries, known, sameEntry) {
			f.mu.Lock()
			f.counts[r.name]++
			lag := f.draws.rand(r.name, f.counts[r.name]).Float64() * f.faults.registryLag
			f.mu.Unlock()
			pause.For(ctx, time.Duration(lag*float64(time.Second)))
			r.connection.thaw(ctx)
			r.changed(entries)
			known = entries
		}
		pause.For(ctx, simRegistryInterval)
	}
	return nil
}

// sameEntry compares the fields of an entry that change.
func sameEntry(a, b agent.Entry) bool {
	return a.ID == b.ID && a.Address == b.Address && a.Capacity == b.Capacity && a.Draining == b.Draining && a.Incarnation == b.Incarnation
}

// registry returns a node's registry.
func (f *simFleet) registry(connection *simConnection, node string, changed func([]agent.Entry)) Runner {
	return simRegistry{f, connection, "registry of " + node, changed}
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
	a.connection.thaw(ctx)
	pause.For(ctx, simAdviceTime+time.Duration(len(req.Workers))*simAdviceTimePerWorker)
	stage := fmt.Sprintf("%s.%d", req.Stage.Job, req.Stage.Stage)
	f.mu.Lock()
	f.settle()
	f.counts["advice "+stage]++
	refused := f.draws.rand("advice "+stage, f.counts["advice "+stage]).Float64() < f.faults.lost
	advice := agent.Advice{Tickets: make(map[model.WorkerID]string), Valid: model.Duration(simTicketValidity)}
	for _, id := range req.Workers {
		if w := f.workers[id]; w != nil && f.draws.rand("permission "+stage+string(id), 0).Float64() < 0.6 {
			advice.Tickets[id] = fmt.Sprintf("%s %s %d %d", stage, id, w.boot, w.clock(f.at))
		}
	}
	f.mu.Unlock()
	a.connection.thaw(ctx)
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
