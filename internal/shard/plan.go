package shard

import (
	"cmp"
	"slices"
	"time"

	"arbutuswing.example/internal/model"
)

// candidate is a worker with the number of a stage's tasks that fit on it now.
type candidate struct {
	worker       *worker
	slots        int
	freeCapacity model.Resources
	ticket       string
}

// plan places the waiting stages, the most urgent first. It considers the maxStagesPerPlan most urgent of those that are not
// blocked. Of the blocked stages, and of those that come after, each pass considers a few in turn, so that a stage that can
// start does so whatever the number of stages that can't.
func (s *Shard) plan(now time.Duration, wall time.Time) {
	waiting := s.waitingStages(now, wall)
	if !s.replan {
		return
	}
	s.replan = false
	s.noteFreedCapacity(waiting)
	s.startsUnderWay = s.countStartsUnderWay()
	var blocked, later []*stage
	placeable, tried, gangsAhead := 0, 0, 0
	for _, st := range waiting {
		switch due := st.retry || st.shouldRetry(gangsAhead, now); {
		case !due:
		case st.blocked() && !st.retry:
			blocked = append(blocked, st)
		case max(placeable, tried) >= maxStagesPerPlan:
			later = append(later, st)
		default:
			tried++
			s.tryStage(st, now)
		}
		if st.blocked() {
			continue
		}
		placeable++
		if st.spec.Gang {
			gangsAhead++
		}
	}
	s.tryInTurn(later, now)
	s.tryInTurn(blocked, now)
}

// tryInTurn considers the stages that were last considered longest ago, at most maxInTurnPerPlan of them.
func (s *Shard) tryInTurn(list []*stage, now time.Duration) {
	slices.SortStableFunc(list, func(a, b *stage) int { return cmp.Compare(a.triedAt, b.triedAt) })
	for _, st := range list[:min(len(list), maxInTurnPerPlan)] {
		s.tryStage(st, now)
	}
}

func (s *Shard) tryStage(st *stage, now time.Duration) {
	st.retry, st.capacityFreed, st.triedAt = false, false, now
	s.placeStage(st, now)
}

// blocked reports whether the stage could not start when it was last considered, whatever capacity had been free.
func (st *stage) blocked() bool { return st.waitsFor == waitTeamLimit || st.waitsFor == waitWorker }

// noteFreedCapacity marks the stages that might start on a worker that has gained free capacity. Each worker knows the
// stages that it is permitted to run, so that the effort doesn't grow with the number of stages that wait.
func (s *Shard) noteFreedCapacity(waiting []*stage) {
	for w := range s.freedWorkers {
		for st := range w.permittedFor {
			switch {
			case st.left == 0 || !st.job.open() || !st.answers[w.id].permitted:
				delete(w.permittedFor, st)
			case !st.capacityFreed:
				st.capacityFreed = s.hasCapacity(st, w)
			}
		}
	}
	for _, st := range waiting {
		if st.job.queue.Advice != nil {
			continue
		}
		for w := range s.freedWorkers {
			st.capacityFreed = st.capacityFreed || s.hasCapacity(st, w)
		}
	}
	clear(s.freedWorkers)
}

// shouldRetry reports whether a stage should be considered again: a worker that the advice permits has gained free
// capacity, or the stage has waited for capacity for lateRetryDelay. Without this check each plan would consider hundreds
// of stages in vain. A gang waits the longer, the more gangs are ahead of it, because an attempt to place one looks at all
// its eligible workers, but at most maxGangRetryDelay.
func (st *stage) shouldRetry(gangsAhead int, now time.Duration) bool {
	sinceTried := now - st.triedAt
	gangPause := gangRetryDelay + time.Duration(gangsAhead)*gangRetryDelay/gangsPerRetryDelay
	if st.spec.Gang && sinceTried < min(gangPause, maxGangRetryDelay) {
		return false
	}
	if st.missesObjective(now) && sinceTried < lateRetryDelay {
		return false
	}
	switch {
	case st.capacityFreed:
		return true
	case st.advicePending:
		return false
	case st.waitsFor == waitCapacity:
		return sinceTried >= lateRetryDelay
	case st.waitsFor == waitWorker:
		return sinceTried >= noWorkerRetryDelay
	default:
		return false
	}
}

// slotsOn returns how many tasks of the stage fit into the worker's free capacity, at most n.
func (st *stage) slotsOn(w *worker, n int) int {
	return st.limitPerWorker(w, st.fits(w.freeFor(st), n))
}

// hasCapacity reports whether a task of the stage fits into the worker's free capacity.
func (s *Shard) hasCapacity(st *stage, w *worker) bool {
	return w.suits(st) && st.fits(w.freeFor(st), 1) > 0
}

// suits reports whether the worker is in the pool that the stage's queue names and has the label that the stage requires.
func (w *worker) suits(st *stage) bool {
	return w.entry.Pool == st.job.queue.Pool && (st.spec.Label == "" || slices.Contains(w.entry.Labels, st.spec.Label))
}

// fitsEmpty reports whether a task of the stage fits on the worker without its runs.
func (st *stage) fitsEmpty(w *worker) bool {
	return st.fits(w.entry.Capacity, 1) > 0
}

// fitsEmptyWorker reports whether a task of the stage fits on an eligible worker without runs. For a stage that needs advice,
// these are the workers that are permitted so far.
func (s *Shard) fitsEmptyWorker(st *stage, now time.Duration) bool {
	fits := func(w *worker) bool { return s.meetsConstraints(st, w, now) && st.fitsEmpty(w) }
	if st.job.queue.Advice == nil {
		return slices.ContainsFunc(s.workersByID, fits)
	}
	for id, advice := range st.answers {
		if w := s.workers[id]; advice.permitted && w != nil && fits(w) {
			return true
		}
	}
	return false
}

// waitingStages returns the stages with tasks to start, the most urgent first.
func (s *Shard) waitingStages(now time.Duration, wall time.Time) []*stage {
	var waiting []*stage
	for _, st := range s.activeStages {
		if len(st.reserved) > 0 && now > st.reservedUntil && !st.adviceSent {
			s.releaseReservation(st)
			st.retry, s.replan = true, true
		}
		if st.left == 0 || !st.job.open() || !st.ready(wall) {
			continue
		}
		if st.hasWaitingTasks() {
			waiting = append(waiting, st)
			if st.lateStartsDueAt > 0 && now >= st.lateStartsDueAt {
				st.lateStartsDueAt, st.retry = 0, true
			}
			if !st.advicePending && st.nextAdviceAt > 0 && now >= st.nextAdviceAt {
				st.retry = true
			}
			s.replan = s.replan || st.retry || now-st.triedAt >= lateRetryDelay
		}
	}
	slices.SortStableFunc(waiting, func(a, b *stage) int {
		return cmp.Or(a.urgency(now).Compare(b.urgency(now)), cmp.Compare(a.job.spec.ID, b.job.spec.ID),
			cmp.Compare(a.occurrence, b.occurrence), cmp.Compare(a.index, b.index))
	})
	return waiting
}

// compareBool sorts false before true.
func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	default:
		return 1
	}
}

// placeStage binds as many waiting tasks of the stage as fit, or for a gang all or none. For the rest it requests
// advice, preempts other runs or reserves capacity.
func (s *Shard) placeStage(st *stage, now time.Duration) {
	allowedStarts := s.startsAllowed(st, now)
	if s.lagging() || allowedStarts == 0 {
		// Advice about workers obtained now is useful later, but tickets would expire before a start could be recorded.
		if st.job.queue.Advice != nil && len(st.answers) == 0 {
			s.requestAdvice(st, len(st.waitingTasks()), now)
		}
		st.waitsFor, st.retry = waitStarts, true
		return
	}
	waiting := slices.DeleteFunc(st.waitingTasks(), func(index int) bool { return !s.mayStart(st, index, now) })
	st.lateStartsDueAt = s.nextLateStart(st, now)
	if len(waiting) == 0 || (st.spec.Gang && len(waiting) < st.spec.Count) {
		st.waitsFor = waitLateStart
		return
	}
	st.onlyAvoidedLeft = s.hasOnlyAvoidedLeft(st, len(waiting), now)
	allowedByLimit := s.teamLimitSlots(st, len(waiting))
	if allowedByLimit == 0 || (st.spec.Gang && allowedByLimit < len(waiting)) {
		st.waitsFor = waitTeamLimit
		s.releaseReservation(st)
		return
	}
	limited := allowedByLimit < len(waiting)
	waiting = waiting[:allowedByLimit]
	if allowedStarts < len(waiting) {
		waiting = waiting[:allowedStarts]
		st.retry = true
	}
	chosen := s.chooseWorkers(st, s.candidates(st, now, true), len(waiting))
	if len(chosen) == len(waiting) || !st.spec.Gang {
		run := st.nextRun(waiting[0])
		for i, c := range chosen {
			if !st.spec.Gang {
				run = st.nextRun(waiting[i])
			}
			s.bind(st, waiting[i], run, c, now)
		}
		waiting = waiting[len(chosen):]
	}
	if len(waiting) == 0 {
		s.releaseReservation(st)
		if limited {
			st.waitsFor = waitTeamLimit
		}
		return
	}
	if st.spec.Gang {
		s.prepareGang(st, len(waiting), now)
		return
	}
	if s.requestAdvice(st, len(waiting), now) {
		st.waitsFor = waitAdvice
		return
	}
	if !s.fitsEmptyWorker(st, now) {
		st.waitsFor = waitWorker
		return
	}
	st.waitsFor = waitCapacity
	s.preempt(st, len(waiting), now)
}

// teamLimitSlots returns how many of n tasks the team's upper limit allows.
func (s *Shard) teamLimitSlots(st *stage, n int) int {
	limit, used := s.configuration.Teams[st.job.spec.Team].Limit, s.teamUsage[st.job.spec.Team]
	return min(n, fitCount(limit, used, st.spec.Size, n))
}

// fitCount returns how many times size fits between used and limit, at most n. A dimension in which limit is zero is
// unlimited.
func fitCount(limit, used, size model.Resources, n int) int {
	dims := [][3]int64{
		{int64(limit.Cores), int64(used.Cores), int64(size.Cores)},
		{int64(limit.Memory), int64(used.Memory), int64(size.Memory)},
		{limit.Accelerators, used.Accelerators, size.Accelerators},
	}
	for _, d := range dims {
		if d[0] > 0 && d[2] > 0 {
			n = min(n, int(max(d[0]-d[1], 0)/d[2]))
		}
	}
	return n
}

// slots returns how many tasks of the given size fit into free, at most n.
func slots(free, size model.Resources, n int) int {
	if free.Negative() {
		return 0
	}
	dims := [][2]int64{
		{int64(free.Cores), int64(size.Cores)}, {int64(free.Memory), int64(size.Memory)}, {free.Accelerators, size.Accelerators},
	}
	for _, d := range dims {
		if d[1] > 0 {
			n = min(n, int(d[0]/d[1]))
		}
	}
	return n
}

// meetsConstraints reports whether the worker is usable and meets the stage's placement constraints, regardless of free
// capacity and advice.
func (s *Shard) meetsConstraints(st *stage, w *worker, now time.Duration) bool {
	return w.usable(now) && w.suits(st) && !s.configuration.OutOfService(w.entry.DataCentre) &&
		!s.configuration.Standby(w.entry.Pool) && now >= w.quarantinedUntil && !st.avoids(w, now)
}

// candidates returns the workers that meet the constraints, have free capacity and are permitted by the advice service.
// With tickets set, it leaves out workers whose ticket doesn't remain valid for long enough to start the stage now.
func (s *Shard) candidates(st *stage, now time.Duration, tickets bool) []candidate {
	var list []candidate
	consider := func(w *worker, ticket string) {
		if w == nil || !s.meetsConstraints(st, w, now) {
			return
		}
		if n := st.slotsOn(w, st.spec.Count); n > 0 {
			list = append(list, candidate{w, n, w.freeFor(st), ticket})
		}
	}
	if st.job.queue.Advice == nil {
		for _, w := range s.workersByID {
			consider(w, "")
		}
	} else {
		for id, advice := range st.answers {
			if advice.permitted && (!tickets || now+s.minTicketValidity() < advice.expires) {
				consider(s.workers[id], advice.ticket)
			}
		}
	}
	slices.SortFunc(list, func(a, b candidate) int { return s.compareCandidates(st, a, b) })
	return list
}

// compareCandidates sorts workers in the rack with the stage's data first and workers with reservations for other
// stages after those without. Gangs prefer the emptiest workers, so that few workers are involved; other stages prefer
// the fullest, so that large free capacity remains for gangs.
func (s *Shard) compareCandidates(st *stage, a, b candidate) int {
	near := 0
	if st.spec.NearRack != "" {
		near = compareBool(a.worker.entry.Rack != st.spec.NearRack, b.worker.entry.Rack != st.spec.NearRack)
	}
	byFree := cmp.Compare(a.freeCapacity.Cores, b.freeCapacity.Cores)
	if st.spec.Gang {
		byFree = -byFree
	}
	return cmp.Or(near, compareBool(a.worker.reservedForOther(st), b.worker.reservedForOther(st)), byFree,
		cmp.Compare(a.worker.id, b.worker.id))
}

// chooseWorkers assigns up to n tasks to the candidates in order. A gang that asks for one rack gets the first rack that
// holds all of it, or any workers if there is none.
func (s *Shard) chooseWorkers(st *stage, list []candidate, n int) []candidate {
	if st.spec.Gang && st.spec.OneRack {
		var racks []string
		byRack := make(map[string][]candidate)
		for _, c := range list {
			rack := c.worker.entry.Rack
			if byRack[rack] == nil {
				racks = append(racks, rack)
			}
			byRack[rack] = append(byRack[rack], c)
		}
		for _, rack := range racks {
			if chosen := fillSlots(byRack[rack], n); len(chosen) == n {
				return chosen
			}
		}
	}
	return fillSlots(list, n)
}

// fillSlots returns the first n slots of the candidates, with one entry per slot.
func fillSlots(list []candidate, n int) []candidate {
	var chosen []candidate
	for _, c := range list {
		for range c.slots {
			if len(chosen) == n {
				return chosen
			}
			chosen = append(chosen, c)
		}
	}
	return chosen
}

// runsOn returns how many runs of the stage are on the worker.
func (st *stage) runsOn(w *worker) int {
	n := 0
	for i := range st.tasks {
		for _, a := range st.tasks[i].attempts {
			if a.worker == w {
				n++
			}
		}
	}
	return n
}

// bind binds a run of a task to a worker; its start may be sent once the binding is recorded.
func (s *Shard) bind(st *stage, index, run int, c candidate, now time.Duration) {
	t, w := &st.tasks[index], c.worker
	t.lastRun = run
	a := &attempt{
		stage: st, index: index, run: run, worker: w, commitNumber: s.nextCommit, ticket: c.ticket, visibleSince: -1,
		ticketValidUntil: st.answers[w.id].validUntil,
		checkpoint:       st.startCheckpoint(index), progressAt: now, savedAt: now,
	}
	s.attach(a)
	s.startsUnderWay++
	s.commitUrgent = true
	s.markTaskDirty(st, index)
	s.emit("run-bound", string(st.job.spec.ID), a.ref().String(), w, "", int64(run))
}

// attach adds a run to its worker, its task and the usage of its team.
func (s *Shard) attach(a *attempt) {
	a.worker.attempts[a.key()] = a
	s.toCommand[a.worker], s.freeCoresChanged = true, true

	a.worker.used = a.worker.used.Plus(a.size())
	team := a.stage.job.spec.Team
	s.teamUsage[team] = s.teamUsage[team].Plus(a.stage.spec.Size)
	t := a.task()
	t.attempts = append(t.attempts, a)
}

// eligibleWorkers returns the workers that meet the stage's constraints and are permitted by the advice service, with
// or without free capacity.
func (s *Shard) eligibleWorkers(st *stage, now time.Duration) []*worker {
	var list []*worker
	if st.job.queue.Advice == nil {
		for _, w := range s.workersByID {
			if s.meetsConstraints(st, w, now) {
				list = append(list, w)
			}
		}
		return list
	}
	for id, advice := range st.answers {
		if w := s.workers[id]; advice.permitted && w != nil && s.meetsConstraints(st, w, now) {
			list = append(list, w)
		}
	}
	slices.SortFunc(list, func(a, b *worker) int { return cmp.Compare(a.id, b.id) })
	return list
}

// expireTicket makes the next start on the worker request a new ticket.
func (st *stage) expireTicket(id model.WorkerID) {
	if advice, ok := st.answers[id]; ok {
		advice.expires = 0
		st.answers[id] = advice
	}
}
