package fleet

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"arbutuswing.example/internal/decl"
	"arbutuswing.example/internal/model"
	"arbutuswing.example/internal/ports"
	"arbutuswing.example/standin/internal/audit"
)

// fakeFaults holds the faults that a test sets; its zero value has none.
type fakeFaults struct {
	outOfService map[model.DataCentreID]time.Time
	limit        decl.Limit
	fails        bool
}

func (f *fakeFaults) OutOfServiceSince(dc model.DataCentreID, _ time.Time) (time.Time, bool) {
	since, ok := f.outOfService[dc]
	return since, ok
}

func (f *fakeFaults) Limit(model.TeamID, time.Time) (decl.Limit, bool) {
	return f.limit, f.limit != decl.Limit{}
}

func (f *fakeFaults) FailsAllAttempts(model.WorkerID) bool { return f.fails }

var small = model.Resources{Cores: 4000, Memory: 4000}

func newFleet(clock clockwork.Clock, faults *fakeFaults) *Fleet {
	return New(Config{
		Clock: clock, RunTime: FactorRange{1, 1}, Peak: FactorRange{0.25, 0.25}, Scale: 1, UsageLag: 2 * time.Second,
		Faults:  faults,
		Workers: []Spec{{ID: "w0", DataCentre: "dc-a", Capacity: small}, {ID: "w1", DataCentre: "dc-b", Capacity: small}},
	})
}

func attemptID(task, number int) model.AttemptID {
	return model.AttemptID{Task: model.TaskID{Job: "j", Index: task}, Number: number}
}

const (
	leaseTTL = model.Duration(3 * time.Second)
	taskTTL  = model.Duration(20 * time.Second)
)

// oracle is a simple model of the state that a worker must keep. Times are those since the test began.
type oracle struct {
	token       model.Token
	holder      string
	leaseExpiry time.Duration
	boot        time.Duration
	attempts    map[model.AttemptID]*expectedAttempt
}

type expectedAttempt struct {
	ended       bool
	outcome     model.Outcome
	finish      time.Duration
	leaseExpiry time.Duration
}

func (o *oracle) endDueAttempts(now time.Duration) {
	for _, a := range o.attempts {
		switch {
		case a.ended:
		case a.finish <= a.leaseExpiry && a.finish <= now:
			a.ended, a.outcome = true, model.OutcomeSucceeded
		case a.leaseExpiry <= now:
			a.ended, a.outcome = true, model.OutcomeLost
		}
	}
}

func (o *oracle) holdsLease(token model.Token, now time.Duration) bool {
	return token == o.token && now < o.leaseExpiry
}

// machine runs the same commands on one worker and on its oracle.
type machine struct {
	clock  *clockwork.FakeClock
	origin time.Time
	fleet  *Fleet
	oracle oracle
}

func (m *machine) now() time.Duration { return m.clock.Now().Sub(m.origin) }

// TestLeaseRules guards against a worker that accepts a stale token, grants a lease that another holder still has, shortens
// or wrongly extends a task lease, runs an attempt twice or loses the end of one.
func TestLeaseRules(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		clock := clockwork.NewFakeClock()
		m := &machine{clock: clock, origin: clock.Now(), fleet: newFleet(clock, &fakeFaults{})}
		m.oracle.attempts = make(map[model.AttemptID]*expectedAttempt)
		t.Repeat(map[string]func(*rapid.T){
			"":        m.check,
			"advance": m.advance,
			"acquire": m.acquire,
			"renew":   m.renew,
			"release": m.release,
			"start":   m.start,
			"stop":    m.stop,
			"ack":     m.acknowledge,
			"reboot":  m.reboot,
		})
	})
}

func (m *machine) advance(t *rapid.T) {
	step := rapid.SampledFrom([]time.Duration{time.Millisecond, time.Second, 3 * time.Second, 19 * time.Second}).Draw(t, "step")
	m.clock.Advance(step)
	m.oracle.endDueAttempts(m.now())
}

func (m *machine) acquire(t *rapid.T) {
	holder := rapid.SampledFrom([]string{"e1", "e2"}).Draw(t, "holder")
	report, err := m.fleet.Lease("w0", ports.LeaseRequest{Holder: holder, TTL: leaseTTL})
	if m.now() < m.oracle.leaseExpiry && holder != m.oracle.holder {
		requireError(t, err, ports.ErrLeaseHeld)
		return
	}
	requireError(t, err, nil)
	if report.Token <= m.oracle.token {
		t.Fatalf("token %d is not above the previous token %d", report.Token, m.oracle.token)
	}
	m.oracle.token, m.oracle.holder, m.oracle.leaseExpiry = report.Token, holder, m.now()+leaseTTL.Std()
}

func (m *machine) drawToken(t *rapid.T) model.Token {
	return m.oracle.token - model.Token(rapid.IntRange(0, 1).Draw(t, "behind"))
}

func (m *machine) renew(t *rapid.T) {
	token := m.drawToken(t)
	// A request with a token of zero acquires the lease.
	if token <= 0 {
		return
	}
	holder := rapid.SampledFrom([]string{"e1", "e2"}).Draw(t, "holder")
	basis := time.Duration(rapid.IntRange(0, 60).Draw(t, "basis")) * time.Second
	_, err := m.fleet.Lease("w0", ports.LeaseRequest{
		Holder: holder, Token: token, TTL: leaseTTL, TaskTTL: taskTTL, Basis: model.Duration(basis),
	})
	if !m.oracle.holdsLease(token, m.now()) || holder != m.oracle.holder {
		requireError(t, err, ports.ErrStaleToken)
		return
	}
	requireError(t, err, nil)
	m.oracle.leaseExpiry = m.now() + leaseTTL.Std()
	until := min(m.oracle.boot+basis, m.now()) + taskTTL.Std()
	for _, a := range m.oracle.attempts {
		if !a.ended {
			a.leaseExpiry = max(a.leaseExpiry, until)
		}
	}
}

func (m *machine) release(t *rapid.T) {
	token := m.drawToken(t)
	if m.command(t, token, m.fleet.Release("w0", token)) {
		m.oracle.leaseExpiry = 0
	}
}

// command checks a command's error and reports whether it took effect.
func (m *machine) command(t *rapid.T, token model.Token, err error) bool {
	if !m.oracle.holdsLease(token, m.now()) {
		requireError(t, err, ports.ErrStaleToken)
		return false
	}
	requireError(t, err, nil)
	return true
}

func drawAttempt(t *rapid.T) model.AttemptID {
	return attemptID(rapid.IntRange(0, 2).Draw(t, "task"), rapid.IntRange(1, 2).Draw(t, "number"))
}

func (m *machine) start(t *rapid.T) {
	token, id := m.drawToken(t), drawAttempt(t)
	declared := rapid.SampledFrom([]time.Duration{time.Second, 15 * time.Second, time.Hour}).Draw(t, "declared")
	basis := time.Duration(rapid.IntRange(0, 60).Draw(t, "basis")) * time.Second
	err := m.fleet.Start("w0", token, []ports.StartRequest{{
		Attempt: id, Reservation: model.Resources{Cores: 1}, DeclaredRunTime: model.Duration(declared), TaskTTL: taskTTL,
		Basis: model.Duration(basis),
	}})
	lease := min(m.oracle.boot+basis, m.now()) + taskTTL.Std()
	if _, known := m.oracle.attempts[id]; m.command(t, token, err) && !known && lease > m.now() {
		m.oracle.attempts[id] = &expectedAttempt{finish: m.now() + declared, leaseExpiry: lease}
	}
}

func (m *machine) stop(t *rapid.T) {
	token, id := m.drawToken(t), drawAttempt(t)
	if !m.command(t, token, m.fleet.Stop("w0", token, model.OutcomePreempted, []model.AttemptID{id})) {
		return
	}
	if a, known := m.oracle.attempts[id]; !known {
		m.oracle.attempts[id] = &expectedAttempt{ended: true, outcome: model.OutcomeNeverStarted}
	} else if !a.ended {
		a.ended, a.outcome = true, model.OutcomePreempted
	}
}

func (m *machine) acknowledge(t *rapid.T) {
	token, id := m.drawToken(t), drawAttempt(t)
	if !m.command(t, token, m.fleet.Acknowledge("w0", token, []model.AttemptID{id})) {
		return
	}
	if a, known := m.oracle.attempts[id]; known && a.ended {
		delete(m.oracle.attempts, id)
	}
}

func (m *machine) reboot(t *rapid.T) {
	before, err := m.fleet.Inspect("w0")
	requireError(t, err, nil)
	m.fleet.Reboot(func(s Spec) bool { return s.ID == "w0" })
	after, err := m.fleet.Inspect("w0")
	requireError(t, err, nil)
	if before.Boot == after.Boot {
		t.Fatalf("boot ID %s did not change", after.Boot)
	}
	m.oracle.attempts = make(map[model.AttemptID]*expectedAttempt)
	m.oracle.boot, m.oracle.leaseExpiry = m.now(), 0
}

func (m *machine) check(t *rapid.T) {
	report, err := m.fleet.Inspect("w0")
	requireError(t, err, nil)
	got := make(map[model.AttemptID]string)
	for _, task := range report.Tasks {
		got[task.Attempt] = fmt.Sprint(task.Phase, task.Outcome)
	}
	want := make(map[model.AttemptID]string)
	running := 0
	for id, a := range m.oracle.attempts {
		if a.ended {
			want[id] = fmt.Sprint(ports.PhaseEnded, a.outcome)
			continue
		}
		want[id] = fmt.Sprint(ports.PhaseRunning)
		running++
	}
	assert.DeepEqual(t, got, want)
	assert.Equal(t, len(report.Tasks), len(want))
	assert.Equal(t, m.fleet.Audit().Running, running)
	assert.Equal(t, report.Clock, model.Duration(m.now()-m.oracle.boot))
}

// TestLateStartHasNoEffect guards against a start command that arrives late and lets the attempt run past the time at which
// the lease holder considers the task lease expired.
func TestLateStartHasNoEffect(t *testing.T) {
	tests := []struct {
		delay time.Duration
		runs  int
	}{{0, 1}, {taskTTL.Std() - time.Second, 1}, {taskTTL.Std(), 0}, {time.Minute, 0}}
	for _, test := range tests {
		clock := clockwork.NewFakeClock()
		fleet := newFleet(clock, &fakeFaults{})
		first, err := fleet.Lease("w0", ports.LeaseRequest{Holder: "e1", TTL: model.Duration(time.Hour)})
		assert.NilError(t, err)
		clock.Advance(test.delay)
		assert.NilError(t, fleet.Start("w0", first.Token, []ports.StartRequest{{
			Attempt: attemptID(0, 1), DeclaredRunTime: model.Duration(time.Hour), TaskTTL: taskTTL, Basis: first.Clock,
		}}))
		report, err := fleet.Inspect("w0")
		assert.NilError(t, err)
		assert.Equal(t, len(report.Tasks), test.runs, "delay %s", test.delay)
		clock.Advance(taskTTL.Std() - test.delay)
		assert.Equal(t, fleet.Audit().Running, 0, "delay %s", test.delay)
	}
}

// TestLateStartOfFormerTokenHasNoEffect guards against a start without an answer that runs its attempt after the attempt's
// end was acknowledged, although the holder has acquired the lease anew.
func TestLateStartOfFormerTokenHasNoEffect(t *testing.T) {
	tests := []struct {
		name    string
		givesUp bool
	}{{"stopped", true}, {"started again", false}}
	for _, test := range tests {
		clock := clockwork.NewFakeClock()
		fleet := newFleet(clock, &fakeFaults{})
		acquire := ports.LeaseRequest{Holder: "e1", TTL: leaseTTL}
		first, err := fleet.Lease("w0", acquire)
		assert.NilError(t, err)
		id := attemptID(0, 1)
		late := []ports.StartRequest{{
			Attempt: id, DeclaredRunTime: model.Duration(time.Second), TaskTTL: taskTTL, Basis: first.Clock,
		}}
		second, err := fleet.Lease("w0", acquire)
		assert.NilError(t, err)
		if test.givesUp {
			assert.NilError(t, fleet.Stop("w0", second.Token, model.OutcomePreempted, []model.AttemptID{id}))
		} else {
			assert.NilError(t, fleet.Start("w0", second.Token, late))
		}
		for range 4 {
			clock.Advance(time.Second)
			_, err = fleet.Lease("w0", ports.LeaseRequest{Holder: "e1", Token: second.Token, TTL: leaseTTL})
			assert.NilError(t, err)
		}
		assert.NilError(t, fleet.Acknowledge("w0", second.Token, []model.AttemptID{id}))
		assert.ErrorIs(t, fleet.Start("w0", first.Token, late), ports.ErrStaleToken, test.name)
		assert.Equal(t, fleet.Audit().Running, 0, test.name)
	}
}

func requireError(t *rapid.T, got, want error) {
	t.Helper()
	if !errors.Is(got, want) {
		t.Fatalf("got error %v, want %v", got, want)
	}
}

// TestAudit guards against an audit that misses a violation or reports one that did not happen.
func TestAudit(t *testing.T) {
	start := func(task, number int, cores model.MilliCores) ports.StartRequest {
		return ports.StartRequest{
			Attempt: attemptID(task, number), Team: "t", Reservation: model.Resources{Cores: cores},
			DeclaredRunTime: model.Duration(10 * time.Second), TaskTTL: taskTTL,
		}
	}
	type step struct {
		worker model.WorkerID
		start  ports.StartRequest
		after  time.Duration
	}
	tests := []struct {
		name   string
		faults fakeFaults
		steps  []step
		want   audit.Violation
	}{
		{name: "side by side", steps: []step{{worker: "w0", start: start(0, 1, 2000)}, {worker: "w0", start: start(1, 1, 2000)}}},
		{
			name:  "started twice on one worker",
			steps: []step{{worker: "w0", start: start(0, 1, 1)}, {worker: "w0", start: start(0, 1, 1), after: 15 * time.Second}},
		},
		{
			name:  "two attempts at once",
			steps: []step{{worker: "w0", start: start(0, 1, 1)}, {worker: "w1", start: start(0, 2, 1), after: 9 * time.Second}},
			want:  audit.Overlap,
		},
		{
			name:  "one attempt after the other",
			steps: []step{{worker: "w0", start: start(0, 1, 1)}, {worker: "w1", start: start(0, 2, 1), after: 10 * time.Second}},
		},
		{
			name:  "same attempt on another worker",
			steps: []step{{worker: "w0", start: start(0, 1, 1)}, {worker: "w1", start: start(0, 1, 1), after: 11 * time.Second}},
			want:  audit.RepeatedAttempt,
		},
		{
			name:  "overcommitted",
			steps: []step{{worker: "w0", start: start(0, 1, 2000)}, {worker: "w0", start: start(1, 1, 2001)}},
			want:  audit.Overcommitted,
		},
		{
			name:   "above the limit across workers",
			faults: fakeFaults{limit: decl.Limit{Resources: model.Resources{Cores: 3000}}},
			steps:  []step{{worker: "w0", start: start(0, 1, 2000)}, {worker: "w1", start: start(1, 1, 2000)}},
			want:   audit.AboveLimit,
		},
		{
			name:   "within the limit after an end",
			faults: fakeFaults{limit: decl.Limit{Tasks: 1}},
			steps:  []step{{worker: "w0", start: start(0, 1, 2000)}, {worker: "w1", start: start(1, 1, 2000), after: 10 * time.Second}},
		},
		{
			name:   "data centre out",
			faults: fakeFaults{outOfService: map[model.DataCentreID]time.Time{"dc-b": clockwork.NewFakeClock().Now()}},
			steps:  []step{{worker: "w0", start: start(0, 1, 1)}, {worker: "w1", start: start(1, 1, 1)}},
			want:   audit.DataCentreOutOfService,
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			clock := clockwork.NewFakeClock()
			f := newFleet(clock, &test.faults)
			for _, s := range test.steps {
				clock.Advance(s.after)
				report, err := f.Lease(s.worker, ports.LeaseRequest{Holder: "e1", TTL: leaseTTL})
				assert.NilError(t, err)
				assert.NilError(t, f.Start(s.worker, report.Token, []ports.StartRequest{s.start}))
			}
			for name, n := range f.Audit().Violations {
				assert.Equal(t, n > 0, name == test.want, "%s: %d", name, n)
			}
		})
	}
}

// TestPeakIgnoresLearnedReservations guards against peaks that grow with the reservations that a scheduler learns from them.
func TestPeakIgnoresLearnedReservations(t *testing.T) {
	clock := clockwork.NewFakeClock()
	f := newFleet(clock, &fakeFaults{})
	f.cfg.Peak = FactorRange{Min: 2, Max: 2}
	lease, err := f.Lease("w0", ports.LeaseRequest{Holder: "e1", TTL: taskTTL})
	assert.NilError(t, err)
	for n, start := range []ports.StartRequest{
		{Reservation: model.Resources{Cores: 100}},
		{Reservation: model.Resources{Cores: 200}},
		{Reservation: model.Resources{Cores: 400}, Size: model.Resources{Cores: 100}},
	} {
		start.Attempt, start.TaskTTL = attemptID(n, 1), taskTTL
		assert.NilError(t, f.Start("w0", lease.Token, []ports.StartRequest{start}))
	}
	clock.Advance(time.Second)
	report, err := f.Inspect("w0")
	assert.NilError(t, err)
	for _, task := range report.Tasks {
		assert.Equal(t, task.Usage.Peak.Cores, model.MilliCores(200), task.Attempt.String())
	}
}

// TestProgress guards against a wrong end, usage or checkpoint of throttled, resumed and failing attempts.
func TestProgress(t *testing.T) {
	tests := []struct {
		name       string
		request    ports.StartRequest
		fails      bool
		throttle   float64
		checkpoint time.Duration
		ends       time.Duration
		outcome    model.Outcome
	}{
		{name: "plain", ends: 10 * time.Second, checkpoint: 4 * time.Second, outcome: model.OutcomeSucceeded},
		{name: "throttled", throttle: 0.5, ends: 16 * time.Second, checkpoint: 4 * time.Second, outcome: model.OutcomeSucceeded},
		{
			name: "resumed", request: ports.StartRequest{Resume: model.Duration(3 * time.Second)},
			ends: 7 * time.Second, checkpoint: 7 * time.Second, outcome: model.OutcomeSucceeded,
		},
		{
			name: "set by the payload", request: ports.StartRequest{Payload: `{"run-time":"5s","outcome":"failed"}`},
			ends: 5 * time.Second, checkpoint: 4 * time.Second, outcome: model.OutcomeFailed,
		},
		{name: "service", request: ports.StartRequest{Service: true}, ends: 20 * time.Second, checkpoint: 4 * time.Second, outcome: model.OutcomeLost},
		{name: "failing worker", fails: true, ends: failAfter, outcome: model.OutcomeFailed},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			clock := clockwork.NewFakeClock()
			f := newFleet(clock, &fakeFaults{fails: test.fails})
			lease, err := f.Lease("w0", ports.LeaseRequest{Holder: "e1", TTL: taskTTL})
			assert.NilError(t, err)
			test.request.Attempt = attemptID(0, 1)
			test.request.DeclaredRunTime = model.Duration(10 * time.Second)
			test.request.TaskTTL = taskTTL
			test.request.Reservation = model.Resources{Cores: 1000}
			assert.NilError(t, f.Start("w0", lease.Token, []ports.StartRequest{test.request}))
			clock.Advance(min(4*time.Second, test.ends))
			assert.NilError(t, f.Checkpoint("w0", lease.Token, test.request.Attempt))
			if test.throttle > 0 {
				assert.NilError(t, f.Throttle("w0", lease.Token, test.request.Attempt, test.throttle))
			}
			clock.Advance(time.Hour)
			report, err := f.Inspect("w0")
			assert.NilError(t, err)
			task := report.Tasks[0]
			assert.Equal(t, task.Outcome, test.outcome)
			assert.Equal(t, task.Usage.RunTime.Std(), test.ends)
			assert.Equal(t, task.Usage.Peak, model.Resources{Cores: 250})
			assert.Equal(t, task.Checkpoint.Std(), test.checkpoint)
		})
	}
}
