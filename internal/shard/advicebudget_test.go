package shard

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"arbutuswing.example/internal/agent"
	"arbutuswing.example/internal/model"
	"arbutuswing.example/internal/terms"
	"arbutuswing.example/internal/work"
)

// testRequest returns a request of a stage of the given priority that may still take until objective.
func testRequest(priority int, since, serviceTime, objective time.Duration) adviceRequest {
	j := newJob(work.Job{ID: "j", Stages: []work.Stage{tasks(1)}}, terms.Queue{Priority: priority}, 0)
	j.objective = objective
	return adviceRequest{stage: j.stages[0], since: since, serviceTime: serviceTime}
}

// TestNextAdvice guards against advice for a stage while a more urgent one waits, against a stage that waits for good behind
// more urgent ones, and against a call that no node can take.
func TestNextAdvice(t *testing.T) {
	const (
		now  = time.Minute
		call = 100 * time.Millisecond
		late = now
		soon = now + 10*time.Second
	)
	waiting := func(requests ...adviceRequest) []adviceRequest { return requests }
	withTickets := testRequest(1, now, call, soon+time.Second)
	withTickets.stage.ticketsValidUntil = now + time.Second
	lateWithTickets := testRequest(1, now, call, late)
	lateWithTickets.stage.ticketsValidUntil = now + time.Second
	tests := []struct {
		name     string
		credit   time.Duration
		longest  time.Duration
		requests []adviceRequest
		want     int
		overdue  bool
	}{
		{"none", 0, time.Second, nil, -1, false},
		{"no node is free", 0, 0, waiting(testRequest(0, now, call, soon)), -1, false},
		{"only a short call fits", 0, call, waiting(testRequest(0, now, 2*call, soon), testRequest(1, now, call, soon)), 1, false},
		{"priority", 0, time.Second, waiting(testRequest(2, now, call, soon), testRequest(0, now, call, soon)), 1, false},
		{"late ones yield", 0, time.Second, waiting(testRequest(0, now, call, late), testRequest(2, now, call, soon)), 1, false},
		{"earlier objective", 0, time.Second, waiting(testRequest(1, now, call, soon+1), testRequest(1, now, call, soon)), 1, false},
		{"valid tickets", 0, time.Second, waiting(testRequest(1, now, call, soon), withTickets), 1, false},
		{"late with valid tickets", 0, time.Second, waiting(testRequest(1, now, call, soon), lateWithTickets), 1, false},
		{"overdue", 0, time.Second, waiting(testRequest(0, now, call, soon), testRequest(2, 0, call, late)), 1, true},
		{"overdue without credit", -1, time.Second, waiting(testRequest(0, now, call, soon), testRequest(2, 0, call, late)), 0, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			got, overdue := adviceBudget{nodes: 3, credit: test.credit}.next(test.requests, test.longest, now)
			assert.Equal(t, got, test.want)
			assert.Equal(t, overdue, test.overdue)
		})
	}
}

// TestAdviceWaitIsBounded guards against stages that wait for good when urgent calls alone need more service time than the
// nodes have.
func TestAdviceWaitIsBounded(t *testing.T) {
	const (
		backlog    = 350
		longCall   = 600 * time.Millisecond
		urgentCall = 200 * time.Millisecond
	)
	for _, nodes := range []int{1, 3, 30} {
		t.Run(fmt.Sprintf("%d nodes", nodes), func(t *testing.T) {
			budget := adviceBudget{}.withNodes(nodes)
			var requests []adviceRequest
			for range backlog {
				requests = append(requests, testRequest(2, 0, longCall, 0))
			}
			bound := overdueAfter + time.Duration(float64((backlog+2)*longCall)/(overdueShare*float64(nodes)))
			freeAt := make([]time.Duration, nodes)
			now, old, urgentDue := time.Duration(0), backlog, time.Duration(0)
			for ; old > 0 && now <= bound; now += 10 * time.Millisecond {
				// The urgent calls alone would keep all nodes busy.
				for ; urgentDue <= now; urgentDue += urgentCall / time.Duration(nodes) {
					requests = append(requests, testRequest(0, now, urgentCall, now+time.Minute))
				}
				for i := range freeAt {
					if freeAt[i] > now {
						continue
					}
					chosen, overdue := budget.next(requests, time.Hour, now)
					r := requests[chosen]
					requests = append(requests[:chosen], requests[chosen+1:]...)
					budget, freeAt[i] = budget.withServed(r.serviceTime, overdue), now+r.serviceTime
					if r.since == 0 && r.serviceTime == longCall {
						old--
					}
				}
			}
			assert.Equal(t, old, 0, "after %v", bound)
		})
	}
}

// TestExpectedSlots guards against calls that name too few workers to be of use, and more than needed.
func TestExpectedSlots(t *testing.T) {
	tests := []struct {
		needed, slots, want int
		permitted           float64
	}{
		{1, 1, 1, 1},
		{16, 3, 6, 1},
		{1, 1, 9, 0.4},
		{16, 3, 33, 0.3},
		{100, 1, 118, 0.9},
	}
	for _, test := range tests {
		t.Run(fmt.Sprintf("%d tasks, %d slots", test.needed, test.slots), func(t *testing.T) {
			expected, workers := expectedSlots{}, 0
			for !expected.suffices(test.needed) {
				expected = expected.with(test.slots, test.permitted)
				workers++
			}
			assert.Equal(t, workers, test.want)
		})
	}
}

// fewNodes is a fleet whose advice goes through few nodes; each answers one call at a time.
type fewNodes struct {
	*harness
	nodes int
	calls map[int]AdviceCall
	ends  map[int]time.Duration
	// serviceTime is the sum of the service times of the calls made.
	serviceTime time.Duration
}

// step lets a short time pass: it answers the calls that are due, starts what can start and sends the next calls.
func (f *fewNodes) step() {
	f.advance(5 * time.Millisecond)
	for _, id := range f.workers {
		f.shard.ApplyReport(id, agent.Report{Clock: f.now, Incarnation: 1, Incomplete: true}, f.now)
	}
	for node, call := range f.calls {
		if f.now < f.ends[node] {
			continue
		}
		delete(f.calls, node)
		advice := agent.Advice{Tickets: make(map[model.WorkerID]string), Valid: model.Duration(2 * time.Second)}
		for i, id := range call.Request.Workers {
			if i%3 == 0 {
				advice.Tickets[id] = "ticket"
			}
		}
		f.shard.ApplyAdvice(call, advice, nil, f.now)
	}
	f.confirmStarts()
	for node := range f.nodes {
		if _, busy := f.calls[node]; busy {
			continue
		}
		call, ok := f.shard.NextAdviceCall(AdviceNodes{Count: f.nodes, LongestCall: time.Hour}, f.now)
		if !ok {
			return
		}
		f.calls[node], f.ends[node] = call, f.now+call.ServiceTime
		f.serviceTime += call.ServiceTime
	}
}

// TestBacklogOfAdviceDrains guards against calls that name more workers than a stage needs, or stages that can't start, while
// hundreds of stages wait for the advice of few nodes.
func TestBacklogOfAdviceDrains(t *testing.T) {
	const stages = 350
	workers := make([]model.WorkerID, 300)
	for i := range workers {
		workers[i] = model.WorkerID(fmt.Sprintf("w%03d", i))
	}
	h := newHarness(t, workers...)
	for i := range stages {
		stage := sized(4, 100, time.Hour)
		stage.Gang = i%2 == 0
		h.submitAs(model.JobID(fmt.Sprintf("waiting-%03d", i)), "advised", stage)
		// No worker could hold one of these, nor could all of them hold one of those.
		h.submitAs(model.JobID(fmt.Sprintf("large-%03d", i)), "advised", sized(1, 5000, time.Hour))
		gang := sized(600, 3000, time.Hour)
		gang.Gang = true
		h.submitAs(model.JobID(fmt.Sprintf("wide-%03d", i)), "advised", gang)
	}
	f := &fewNodes{harness: h, nodes: 3, calls: make(map[int]AdviceCall), ends: make(map[int]time.Duration)}
	// A call that names the fewest workers takes 18 ms.
	const fewest = 18 * time.Millisecond
	started := func() int {
		n := 0
		for i := range stages {
			if h.shard.jobs[model.JobID(fmt.Sprintf("waiting-%03d", i))].started {
				n++
			}
		}
		return n
	}
	for began := h.now; started() < stages && h.now-began < time.Minute; {
		f.step()
	}
	assert.Equal(t, started(), stages)
	assert.Assert(t, f.serviceTime <= 2*stages*fewest, "%v for %d stages", f.serviceTime, stages)
}

// TestRenewalsDoNotRaisePermittedShare guards against calls that name too few workers because renewals, which name only permitted
// ones, count in the share of permitted workers.
func TestRenewalsDoNotRaisePermittedShare(t *testing.T) {
	workers := make([]model.WorkerID, minWorkersPerCall)
	for i := range workers {
		workers[i] = model.WorkerID(fmt.Sprintf("w%03d", i))
	}
	h := newHarness(t, workers...)
	h.submitAs("full", testQueue, sized(4*minWorkersPerCall, 1000, time.Hour))
	assert.Equal(t, len(h.confirmStarts()), 4*minWorkersPerCall)
	h.submitAs("j", "advised", tasks(1))
	tickets := make(map[model.WorkerID]string)
	for _, id := range workers {
		tickets[id] = "ticket"
	}
	call := AdviceCall{Request: agent.AdviceRequest{Workers: workers}, stage: h.shard.jobs["j"].stages[0]}
	h.shard.ApplyAdvice(call, agent.Advice{Tickets: tickets, Valid: model.Duration(time.Second)}, nil, h.now)
	share := h.shard.permittedShare("advised")
	assert.Assert(t, share > initialPermittedShare)
	h.shard.ApplyAdvice(call, agent.Advice{Tickets: tickets, Valid: model.Duration(time.Second)}, nil, h.now)
	assert.Equal(t, h.shard.permittedShare("advised"), share)
}

// TestLoadTellsAdviceBacklog guards against a lack of advice that operators can't see.
func TestLoadTellsAdviceBacklog(t *testing.T) {
	h := newHarness(t, "w1")
	for i := range 4 {
		h.submitAs(model.JobID(fmt.Sprintf("j%d", i)), "advised", tasks(1))
	}
	h.nextCommands()
	_, ok := h.shard.NextAdviceCall(AdviceNodes{Count: 3, LongestCall: time.Second}, h.now)
	assert.Assert(t, ok)
	h.advance(time.Second)
	l := h.shard.Load(h.now, h.wall)
	// A call about the only worker takes 11 ms.
	assert.Equal(t, l.AdviceNodes, 3)
	assert.Equal(t, l.AdviceWaiting, 3)
	assert.Equal(t, l.AdviceBacklog.Std(), 33*time.Millisecond)
	assert.Equal(t, l.AdviceDrainTime.Std(), 11*time.Millisecond)
	assert.Equal(t, l.LongestAdviceWait.Std(), time.Second+commitDelay)
	assert.Equal(t, h.shard.Dump(h.now, h.wall).Jobs[3].AdviceWait.Std(), time.Second+commitDelay)
}

// TestGangAsksAgainBeforeTicketsExpire guards against a gang that waits, while advice is scarce, until the tickets of its first
// call have expired before it asks about the workers that it lacks.
func TestGangAsksAgainBeforeTicketsExpire(t *testing.T) {
	workers := make([]model.WorkerID, 30)
	for i := range workers {
		workers[i] = model.WorkerID(fmt.Sprintf("w%03d", i))
	}
	h := newHarness(t, workers...)
	h.shard.adviceBudget = adviceBudget{nodes: 1, backlog: 2 * scarceAfter}
	gang := sized(4, 4000, time.Hour)
	gang.Gang = true
	h.submitAs("j", "advised", gang)
	// A job that needs no advice fills two of the permitted workers during the call.
	st := h.shard.jobs["j"].stages[0]
	h.nextCommands()
	assert.Assert(t, st.advicePending)
	call := h.shard.adviceRequests[0].call()
	h.shard.adviceRequests = nil
	tickets := make(map[model.WorkerID]string)
	for i, id := range call.Request.Workers[:4] {
		tickets[id] = "ticket"
		if i < 2 {
			h.shard.workers[id].used = h.shard.workers[id].entry.Capacity
		}
	}
	h.shard.ApplyAdvice(call, agent.Advice{Tickets: tickets, Valid: model.Duration(2 * time.Second)}, nil, h.now)
	h.shard.adviceBudget = adviceBudget{nodes: 1, backlog: 2 * scarceAfter}
	h.nextCommands()
	assert.Assert(t, st.advicePending, "the gang asks again")
}
