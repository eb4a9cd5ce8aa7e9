package shard

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"arbutuswing.example/internal/agent"
	"arbutuswing.example/internal/model"
	"arbutuswing.example/internal/work"
)

// collectEvents returns a list to which the shard adds its events of the given names from now on.
func (h *harness) collectEvents(names ...string) *[]Event {
	var events []Event
	h.shard.cfg.Events = func(e Event) {
		for _, name := range names {
			if e.Name == name {
				events = append(events, e)
			}
		}
	}
	return &events
}

// silence lets time pass, on the workers' clocks too, until the shard counts the run of the test's job as gone. It returns the
// event.
func (h *harness) silence(limit time.Duration) Event {
	h.t.Helper()
	gone := h.collectEvents("run-gone")
	for begun := h.now; h.now-begun < limit; {
		h.advance(50 * time.Millisecond)
		for id := range h.clock {
			h.clock[id] += 50 * time.Millisecond
		}
		h.shard.Tick(h.now, h.wall)
		if len(*gone) > 0 {
			return (*gone)[0]
		}
	}
	h.t.Fatalf("no run counts as gone after %v", limit)
	return Event{}
}

// runningReport and lapsedReport return reports that list the started run.
func runningReport(cmd StartCommand) agent.Report {
	return agent.Report{Running: []agent.ActiveRun{{Task: cmd.Start.Task, Run: cmd.Start.Run}}}
}

func lapsedReport(cmd StartCommand) agent.Report {
	return agent.Report{Ended: []agent.EndedRun{firstEnd(cmd, agent.OutcomeLeaseExpired)}}
}

// requireWords requires that the event's detail holds these words.
func requireWords(t *testing.T, e Event, words ...string) {
	t.Helper()
	for _, word := range words {
		assert.Assert(t, strings.Contains(" "+e.Detail+" ", " "+word+" "), "%q lacks %q", e.Detail, word)
	}
}

// TestReportAfterPresumedEnd guards against presumed ends that a later report refutes or confirms without a trace in the log.
func TestReportAfterPresumedEnd(t *testing.T) {
	type report func(start StartCommand) agent.Report
	ended := func(outcome agent.RunOutcome) report {
		return func(cmd StartCommand) agent.Report {
			return agent.Report{Ended: []agent.EndedRun{firstEnd(cmd, outcome)}}
		}
	}
	lapse := func(h *harness) { assert.Equal(h.t, h.silence(30*time.Second).Detail, string(goneLease)) }
	notListed := func(h *harness) {
		gone := h.collectEvents("run-gone")
		h.report("w1", agent.Report{})
		assert.Equal(h.t, len(*gone), 1)
		assert.Equal(h.t, (*gone)[0].Detail, string(goneNotListed))
	}
	restart := func(h *harness) {
		gone := h.collectEvents("run-gone")
		h.restart("w1")
		h.report("w1", agent.Report{})
		assert.Equal(h.t, len(*gone), 1)
		assert.Equal(h.t, (*gone)[0].Detail, string(goneIncarnation))
	}
	tests := []struct {
		name    string
		presume func(*harness)
		// restarts tells that the worker restarts before it reports.
		restarts bool
		report   report
		want     string
		words    []string
	}{
		{
			"alive after its lease", lapse, false, runningReport, EventPresumedEndRefuted,
			[]string{"proof=lease-expired", "bound=own-lease", "run=1", "inherited=false", "seen=running"},
		},
		{"lapsed", lapse, false, lapsedReport, EventPresumedEndsConfirmed, []string{"bound=own-lease", "runs=1"}},
		{"done while silent", lapse, false, ended(agent.OutcomeDone), EventPresumedEndsConfirmed, []string{"bound=own-lease", "runs=1"}},
		{
			"alive after a restart", lapse, true, runningReport, EventPresumedEndRefuted,
			[]string{"proof=lease-expired", "seen=running", "restarted=true"},
		},
		{
			"alive though not listed before", notListed, false, runningReport, EventPresumedEndRefuted,
			[]string{"proof=not-listed", "bound=none", "seen=running"},
		},
		{
			"ended though not listed before", notListed, false, ended(agent.OutcomeDone), EventPresumedEndRefuted,
			[]string{"proof=not-listed", "seen=done"},
		},
		{
			"on the next incarnation", restart, false, runningReport, EventPresumedEndRefuted,
			[]string{"proof=worker-restarted", "seen=running"},
		},
		{"not seen again", lapse, false, func(StartCommand) agent.Report { return agent.Report{} }, "", nil},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			h := newAgedHarness(t, "w1")
			h.submitJob(tasks(1))
			starts := h.confirmStarts()
			assert.Equal(t, len(starts), 1)
			h.report("w1", runningReport(starts[0]))
			tt.presume(h)
			presumedAt := h.now
			events := h.collectEvents(EventPresumedEndRefuted, EventPresumedEndsConfirmed)
			if tt.restarts {
				h.restart("w1")
			}
			h.advance(time.Second)
			h.clock["w1"] += time.Second
			report := tt.report(starts[0])
			h.report("w1", report)
			if tt.want == "" {
				assert.Equal(t, len(*events), 0)
				return
			}
			assert.Equal(t, len(*events), 1)
			got := (*events)[0]
			assert.Equal(t, got.Name, tt.want)
			assert.Equal(t, got.Worker, "w1")
			requireWords(t, got, tt.words...)
			if got.Name == EventPresumedEndRefuted {
				assert.Equal(t, got.Task, starts[0].Start.Task.String())
				assert.Equal(t, got.Value, (h.now - presumedAt).Milliseconds())
			}
			// Each case is reported once.
			h.report("w1", report)
			assert.Equal(t, len(*events), 1)
		})
	}
}

// TestLapseMarginIsTimeAfterLeaseEnd guards against a margin that counts from anything but the end of the worker's lease on the
// worker's clock.
func TestLapseMarginIsTimeAfterLeaseEnd(t *testing.T) {
	tests := []struct {
		name string
		// rate is that of the worker's clock while the worker is silent.
		rate float64
	}{
		{"clock in step", 1},
		{"slow clock", 0.98},
		{"clock slower than allowed", 0.8},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			h := newAgedHarness(t, "w1")
			h.submitJob(tasks(1))
			starts := h.confirmStarts()
			assert.Equal(t, len(starts), 1)
			// The start names the latest lease end.
			leaseEnd, sent, clock := starts[0].Start.LeaseEnd, h.now, h.shard.workers["w1"].clock
			readAt := h.shard.workers["w1"].clockReadAt
			h.silence(30 * time.Second)
			presumedAt := h.now
			// The worker answers at last long after, so that its clock has fallen back far.
			h.advance(30 * time.Second)
			answersAt := h.now + 10*time.Millisecond
			h.clock["w1"] = clock + time.Duration(float64(answersAt-readAt)*tt.rate) - 10*time.Millisecond
			events := h.collectEvents(EventPresumedEndsConfirmed)
			h.report("w1", agent.Report{Ended: []agent.EndedRun{firstEnd(starts[0], agent.OutcomeLeaseExpired)}})
			assert.Equal(t, len(*events), 1)
			requireWords(t, (*events)[0], fmt.Sprintf("clock-rate=%.3f", tt.rate))
			assert.Equal(t, leaseEnd, clock+(sent-readAt)+testLease)
			want := presumedAt - readAt - time.Duration(float64(leaseEnd-clock)/tt.rate)
			assert.Assert(t, (*events)[0].Value-want.Milliseconds() <= 1 && want.Milliseconds()-(*events)[0].Value <= 1,
				"%d ms instead of %v", (*events)[0].Value, want)
		})
	}
}

// TestSlowAnswerHasNoMargin guards against margins that seem short because a busy owner reads an answer late.
func TestSlowAnswerHasNoMargin(t *testing.T) {
	tests := []struct {
		name   string
		answer time.Duration
		want   int
	}{
		{"quick", maxMarginAnswerTime, 1},
		{"slow", maxMarginAnswerTime + time.Millisecond, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			h := newAgedHarness(t, "w1")
			h.submitJob(tasks(1))
			starts := h.confirmStarts()
			assert.Equal(t, len(starts), 1)
			h.silence(30 * time.Second)
			events := h.collectEvents(EventPresumedEndsConfirmed)
			_, ok := h.shard.HeartbeatFor("w1", h.now, true)
			assert.Assert(t, ok)
			h.advance(tt.answer)
			report := lapsedReport(starts[0])
			report.Clock, report.Incarnation = h.clock["w1"]+time.Millisecond, h.incarnation["w1"]
			h.shard.ApplyReport("w1", report, h.now)
			assert.Equal(t, len(*events), tt.want)
		})
	}
}

// TestRunOfFormerOwnerGivenUpTooEarly guards against a log that doesn't tell a run which another owner started from one of this
// owner, and against a margin that counts from a lease which this owner doesn't know.
func TestRunOfFormerOwnerGivenUpTooEarly(t *testing.T) {
	tests := []struct {
		name   string
		report func(StartCommand) agent.Report
		want   int
	}{
		{"alive", runningReport, 1},
		{"lapsed", lapsedReport, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			h := newAgedHarness(t, "w1")
			h.submitJob(tasks(1))
			starts := h.confirmStarts()
			assert.Equal(t, len(starts), 1)
			h.takeOver(RecordedState{
				Jobs:     []work.Job{h.shard.jobs["j"].spec},
				Progress: map[model.JobID]work.Progress{"j": h.progress("j")},
			})
			h.silence(time.Minute)
			events := h.collectEvents(EventPresumedEndRefuted, EventPresumedEndsConfirmed)
			h.report("w1", tt.report(starts[0]))
			assert.Equal(t, len(*events), tt.want)
			for _, e := range *events {
				requireWords(t, e, "bound=former-late-command", "inherited=true")
			}
		})
	}
}

// TestReportFromBeforePresumedEndTellsNothing guards against presumed ends that are said to be refuted, or to have a margin, by an
// answer from before them, which an owner that stood still reads late.
func TestReportFromBeforePresumedEndTellsNothing(t *testing.T) {
	tests := []struct {
		name   string
		report func(StartCommand) agent.Report
		// then is how the next report lists the run.
		then func(StartCommand) agent.Report
		want []string
	}{
		{"running, then running", runningReport, runningReport, []string{EventPresumedEndRefuted}},
		{"running, then lapsed", runningReport, lapsedReport, []string{}},
		{"lapsed", lapsedReport, lapsedReport, []string{}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			h := newAgedHarness(t, "w1")
			h.submitJob(tasks(1))
			starts := h.confirmStarts()
			assert.Equal(t, len(starts), 1)
			_, ok := h.shard.HeartbeatFor("w1", h.now, true)
			assert.Assert(t, ok)
			early := tt.report(starts[0])
			early.Clock, early.Incarnation = h.clock["w1"]+time.Millisecond, h.incarnation["w1"]
			h.silence(time.Minute)
			events := h.collectEvents(EventPresumedEndRefuted, EventPresumedEndsConfirmed)
			h.shard.ApplyReport("w1", early, h.now)
			assert.Equal(t, len(*events), 0)
			h.report("w1", tt.then(starts[0]))
			got := make([]string, 0, len(*events))
			for _, e := range *events {
				got = append(got, e.Name)
			}
			assert.Assert(t, slices.Equal(got, tt.want), "%q", got)
		})
	}
}

// TestSecondRunBesideAdoptedOne guards against two runs of a task that the owner learns of without a trace in the log, and against
// saying so of a run that ended before the other one began.
func TestSecondRunBesideAdoptedOne(t *testing.T) {
	tests := []struct {
		name string
		// then is how the first run's worker lists it after the second run was listed.
		then func(StartCommand) agent.Report
		want int
	}{
		{"still running", runningReport, 1},
		{"ended", func(cmd StartCommand) agent.Report {
			return agent.Report{Ended: []agent.EndedRun{firstEnd(cmd, agent.OutcomeStopped)}}
		}, 0},
		{"not there", func(StartCommand) agent.Report { return agent.Report{} }, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			h := newAgedHarness(t, "w1", "w2")
			h.submitJob(tasks(1))
			starts := h.confirmStarts()
			assert.Equal(t, len(starts), 1)
			first, second := starts[0].Target.ID, model.WorkerID("w1")
			if first == second {
				second = "w2"
			}
			events := h.collectEvents("runs-overlap")
			h.report(second, agent.Report{Running: []agent.ActiveRun{{Task: starts[0].Start.Task, Run: starts[0].Start.Run + 1}}})
			assert.Equal(t, len(*events), 0, "the first run may have ended")
			h.report(first, tt.then(starts[0]))
			h.report(first, tt.then(starts[0]))
			assert.Equal(t, len(*events), tt.want)
			assert.Equal(t, len(h.shard.presumed.overlaps), 0)
			for _, e := range *events {
				assert.Equal(t, e.Worker, string(first))
				assert.Equal(t, e.Detail, string(second))
				assert.Equal(t, e.Value, int64(starts[0].Start.Run+1))
			}
		})
	}
}

// TestPresumedEndsAreBounded guards against presumed ends that are kept for good.
func TestPresumedEndsAreBounded(t *testing.T) {
	key := func(i int) runKey { return runKey{work.TaskRef{Job: "j", Index: i}, 1} }
	tests := []struct {
		name  string
		count int
		step  time.Duration
		// kept is how many are left, the latest ones.
		kept int
	}{
		{"few", 10, time.Second, 10},
		{"many", maxPresumedEnds + 10, 0, maxPresumedEnds},
		{"old", 100, time.Second, int(presumedEndRetention/time.Second) + 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			p := newPresumedEnds()
			for i := range tt.count {
				p.add(key(i), presumedEnd{at: time.Duration(i) * tt.step})
			}
			assert.Equal(t, len(p.byRun), tt.kept)
			assert.Equal(t, len(p.order), tt.kept)
			for i := tt.count - tt.kept; i < tt.count; i++ {
				_, ok := p.byRun[key(i)]
				assert.Assert(t, ok, "%d is missing", i)
			}
		})
	}
}
