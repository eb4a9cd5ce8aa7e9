package policy

import (
	"flag"
	"fmt"
	"os"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"arbutuswing.example/internal/decl"
	"arbutuswing.example/internal/model"
	"arbutuswing.example/internal/state"
)

// TestMain fixes the seed, so that a run in CI can be repeated.
func TestMain(m *testing.M) {
	flag.Parse()
	if seed := flag.Lookup("rapid.seed"); seed != nil && seed.Value.String() == "0" {
		if err := flag.Set("rapid.seed", "20261204"); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// estimates is a learned usage for every job, or none.
type estimates struct {
	estimate state.Estimate
	known    bool
}

func (e estimates) Estimate(model.JobSpec) (state.Estimate, bool) { return e.estimate, e.known }

// noon is a time at which the nightly deadline is six hours away.
var noon = time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC)

func testSet() decl.Set {
	return decl.Set{
		Teams: []decl.Team{{Name: "a", Share: 1}, {Name: "b", Share: 1}, {Name: "c", Share: 2}},
		Classes: []decl.Class{
			{Name: "patient"},
			{Name: "urgent", Target: decl.Target{StartedWithin: model.Duration(4 * time.Second)}},
			{Name: "soon", Target: decl.Target{StartedWithin: model.Duration(time.Second)}},
			{Name: "nightly", Target: decl.Target{DoneBy: &decl.DoneBy{Time: "06:00", Zone: "UTC"}}},
		},
	}
}

func newTestQueue() *Queue {
	q := NewQueue(Config{}, NewLearner(Config{}, estimates{}))
	q.SetDeclarations(testSet())
	q.SetFleetCapacity(model.Resources{Cores: 100_000, Memory: 100_000})
	return q
}

func put(q *Queue, id model.JobID, team model.TeamID, class model.ClassID, at, runTime time.Duration) {
	spec := model.JobSpec{
		ID: id, Team: team, Class: class, Kind: model.KindBatch, Tasks: 1, Size: model.Resources{Cores: 10_000, Memory: 1},
		RunTime: model.Duration(runTime),
	}
	q.Put(state.Task{ID: model.TaskID{Job: id}, QueuedAt: noon.Add(at).UnixNano()}, spec, 0)
}

// drain takes everything in order, and charges each team for what it got.
func drain(q *Queue, now time.Time) []model.JobID {
	var out []model.JobID
	for {
		r := q.BeginRound(now)
		c, ok := r.Next()
		if !ok {
			return out
		}
		q.Remove(c.Tasks[0].ID)
		q.AddUsage(c.Spec.Team, c.Spec.Size, 1)
		r.Close()
		out = append(out, c.Spec.ID)
	}
}

// Guards against an order of work other than that of docs/design.md, section 7.
func TestOrder(t *testing.T) {
	tests := []struct {
		name string
		fill func(q *Queue)
		now  time.Duration
		want []model.JobID
	}{
		{"urgent work by slack, before all other", func(q *Queue) {
			put(q, "patient", "a", "patient", 0, time.Hour)
			put(q, "late", "a", "urgent", 2*time.Second, time.Hour)
			put(q, "early", "b", "urgent", 0, time.Hour)
			put(q, "short", "b", "soon", time.Second, time.Hour)
		}, 3 * time.Second, []model.JobID{"short", "early", "late", "patient"}},
		{"teams by dominant share", func(q *Queue) {
			put(q, "a1", "a", "patient", 0, time.Hour)
			put(q, "a2", "a", "patient", 1, time.Hour)
			put(q, "b1", "b", "patient", 2, time.Hour)
			put(q, "b2", "b", "patient", 3, time.Hour)
		}, 0, []model.JobID{"a1", "b1", "a2", "b2"}},
		{"shares are weighted", func(q *Queue) {
			for i := range 2 {
				put(q, model.JobID(fmt.Sprint("a", i)), "a", "patient", 0, time.Hour)
			}
			for i := range 4 {
				put(q, model.JobID(fmt.Sprint("c", i)), "c", "patient", 0, time.Hour)
			}
		}, 0, []model.JobID{"a0", "c0", "c1", "a1", "c2", "c3"}},
		{"due work waits for its team's share while it has slack", func(q *Queue) {
			q.AddUsage("b", model.Resources{Cores: 50_000}, 1)
			put(q, "nightly", "b", "nightly", 0, time.Hour)
			put(q, "patient", "a", "patient", 0, time.Hour)
		}, 0, []model.JobID{"patient", "nightly"}},
		{"due work without slack goes first", func(q *Queue) {
			q.AddUsage("b", model.Resources{Cores: 50_000}, 1)
			put(q, "nightly", "b", "nightly", 0, time.Hour)
			put(q, "patient", "a", "patient", 0, time.Hour)
		}, 5 * time.Hour, []model.JobID{"nightly", "patient"}},
		{"due work of many tasks rises earlier", func(q *Queue) {
			q.SetLocalCapacity(model.Resources{Cores: 40_000})
			q.AddUsage("b", model.Resources{Cores: 50_000}, 1)
			for i := range 3 { // Each takes an hour on a quarter of the data centre, and the last one an hour more.
				spec := model.JobSpec{ID: "many", Team: "b", Class: "nightly", Size: model.Resources{Cores: 10_000}, RunTime: model.Duration(time.Hour)}
				q.Put(state.Task{ID: model.TaskID{Job: "many", Index: i}, QueuedAt: noon.UnixNano()}, spec, 0)
			}
			put(q, "patient", "a", "patient", 0, time.Hour)
		}, 2 * time.Hour, []model.JobID{"many", "patient", "many", "many"}},
		{"longer due work first", func(q *Queue) {
			put(q, "short", "a", "nightly", 0, time.Hour)
			put(q, "long", "b", "nightly", 0, 3*time.Hour)
		}, 5*time.Hour + 30*time.Minute, []model.JobID{"long", "short"}},
	}
	for _, tt := range tests {
		q := newTestQueue()
		tt.fill(q)
		assert.DeepEqual(t, drain(q, noon.Add(tt.now)), tt.want)
	}
}

// Guards against deadlines in the wrong zone or on the wrong day.
func TestDoneByIsTheNextTimeOfDay(t *testing.T) {
	tests := []struct {
		zone   string
		queued time.Time
		want   time.Time
	}{
		{"UTC", noon, noon.Add(6 * time.Hour)},
		{"UTC", noon.Add(6 * time.Hour), noon.Add(30 * time.Hour)},
		{"Asia/Kolkata", noon, noon.Add(30 * time.Minute)},
	}
	for _, tt := range tests {
		got := nextTime(decl.DoneBy{Time: "06:00", Zone: tt.zone}, tt.queued)
		assert.Assert(t, got.Equal(tt.want), "%s: %s", tt.zone, got)
	}
}

// Guards against an index that orders teams differently than their shares, loses tasks or repeats them.
func TestQueueAgainstOracle(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := newTestQueue()
		queued := make(map[model.TaskID]model.TeamID)
		jobs := 0
		t.Repeat(map[string]func(*rapid.T){
			"put": func(t *rapid.T) {
				jobs++
				team := rapid.SampledFrom([]model.TeamID{"a", "b", "c", "undeclared"}).Draw(t, "team")
				id := model.JobID(fmt.Sprint("j", jobs))
				put(q, id, team, "patient", time.Duration(jobs), time.Hour)
				queued[model.TaskID{Job: id}] = team
			},
			"charge": func(t *rapid.T) {
				team := rapid.SampledFrom([]model.TeamID{"a", "b", "c"}).Draw(t, "team")
				q.AddUsage(team, model.Resources{Cores: model.MilliCores(rapid.IntRange(-9, 9).Draw(t, "cores"))}, 0)
			},
			"take": func(t *rapid.T) {
				r := q.BeginRound(noon)
				for range rapid.IntRange(0, 5).Draw(t, "skips") {
					if c, ok := r.Next(); ok {
						r.Skip(c)
					}
				}
				r.Close()
				r = q.BeginRound(noon)
				c, ok := r.Next()
				assert.Equal(t, ok, len(queued) > 0)
				if ok {
					for _, team := range queued {
						assert.Assert(t, q.Share(c.Spec.Team) <= q.Share(team))
					}
					q.Remove(c.Tasks[0].ID)
					delete(queued, c.Tasks[0].ID)
				}
				r.Close()
			},
			"": func(t *rapid.T) { assert.Equal(t, q.Len(), len(queued)) },
		})
	})
}

func running(id string, cores int, loss time.Duration) RunningAttempt {
	return RunningAttempt{
		Attempt:     model.AttemptID{Task: model.TaskID{Job: model.JobID(id)}, Number: 1},
		Reservation: model.Resources{Cores: model.MilliCores(cores)}, Loss: loss,
	}
}

// Guards against more victims than needed, and against losing more progress than needed.
func TestVictims(t *testing.T) {
	tests := []struct {
		name       string
		need, free int
		running    []RunningAttempt
		want       []string
		ok         bool
	}{
		{"room is there", 4, 4, []RunningAttempt{running("x", 4, 0)}, nil, true},
		{"least loss first", 4, 0, []RunningAttempt{running("x", 4, 9), running("y", 4, 1)}, []string{"y"}, true},
		{"one that a larger one makes needless", 4, 0, []RunningAttempt{running("x", 1, 1), running("y", 4, 2)}, []string{"y"}, true},
		{"several", 4, 1, []RunningAttempt{running("x", 2, 1), running("y", 1, 2), running("z", 8, 9)}, []string{"x", "y"}, true},
		{"not enough", 9, 0, []RunningAttempt{running("x", 4, 1), running("y", 4, 1)}, nil, false},
		{"other dimensions don't help", 4, 0, []RunningAttempt{running("x", 0, 1)}, nil, false},
	}
	for _, tt := range tests {
		victims, _, ok := Victims(model.Resources{Cores: model.MilliCores(tt.need)}, model.Resources{Cores: model.MilliCores(tt.free)}, tt.running)
		var got []string
		for _, v := range victims {
			got = append(got, string(v.Attempt.Task.Job))
		}
		assert.Equal(t, ok, tt.ok, tt.name)
		assert.Assert(t, slices.Equal(got, tt.want), "%s: %v", tt.name, got)
	}
}

// Guards against workers that fail everything and keep their work, and against workers that lose it without reason.
func TestQuarantine(t *testing.T) {
	fail := func(q *Quarantine, at time.Duration, jobs ...model.JobID) {
		for _, job := range jobs {
			q.AttemptEnded("w", job, model.OutcomeFailed, noon.Add(at))
		}
	}
	allows := func(q *Quarantine, at time.Duration) bool { return q.Allows("w", noon.Add(at)) }

	q := NewQuarantine(Config{})
	fail(q, 0, "x", "x", "x", "y", "y", "x")
	assert.Assert(t, allows(q, 0), "failures of two jobs")
	fail(q, 0, "z")
	assert.Assert(t, !allows(q, 59*time.Second))
	assert.Assert(t, allows(q, time.Minute))
	q.TaskAssigned("w")
	assert.Assert(t, !allows(q, time.Minute), "one trial at a time")
	fail(q, time.Minute, "x")
	assert.Assert(t, !allows(q, 2*time.Minute+59*time.Second), "the second quarantine is twice as long")
	for at := 3 * time.Minute; at < 10*time.Hour; at += 2 * time.Hour {
		q.TaskAssigned("w")
		fail(q, at, "x")
		assert.Assert(t, allows(q, at+time.Hour), "an hour at most")
	}
	q.TaskAssigned("w")
	q.AttemptEnded("w", "x", model.OutcomeSucceeded, noon)
	assert.Assert(t, allows(q, 0) && q.Empty())

	q = NewQuarantine(Config{})
	fail(q, 0, "x", "y", "z", "x")
	q.AttemptEnded("w", "x", model.OutcomeSucceeded, noon)
	fail(q, 0, "x", "y", "z", "x")
	assert.Assert(t, allows(q, 0), "a success between the failures")
}

// Guards against reservations that ignore what was learned, lack the margin, or exceed every worker.
func TestReserve(t *testing.T) {
	spec := model.JobSpec{Size: model.Resources{Cores: 4000, Memory: 4096, Accelerators: 1}}
	worker := model.Resources{Cores: 8000, Memory: 8192, Accelerators: 2}
	learned := func(cores model.MilliCores, count int) estimates {
		return estimates{state.Estimate{Size: model.Resources{Cores: cores, Memory: 1000}, Count: count}, true}
	}
	tests := []struct {
		name  string
		known estimates
		used  model.Resources
		want  model.Resources
	}{
		{"declared", estimates{}, model.Resources{}, spec.Size},
		{"too few ends", learned(1000, 4), model.Resources{}, spec.Size},
		{"learned with margin", learned(1000, 5), model.Resources{}, model.Resources{Cores: 1100, Memory: 1100, Accelerators: 1}},
		{"not above the largest worker", learned(9000, 5), model.Resources{}, model.Resources{Cores: 8000, Memory: 1100, Accelerators: 1}},
		{
			"at least what the last attempt used", learned(1000, 5),
			model.Resources{Cores: 1000, Memory: 3000},
			model.Resources{Cores: 1100, Memory: 3300, Accelerators: 1},
		},
	}
	for _, tt := range tests {
		l := NewLearner(Config{}, tt.known)
		l.AttemptEnded(model.TaskID{}, model.Resources{Cores: 1000, Memory: 1000}, model.OutcomePreempted, model.Usage{Peak: tt.used})
		assert.Equal(t, l.Reserve(spec, model.TaskID{}, []model.Resources{worker}), tt.want, tt.name)
	}
}

// Guards against gangs that are offered to several data centres, and against a single data centre that gets everything.
func TestRank(t *testing.T) {
	centres := []model.DataCentreID{"x", "y", "z"}
	first := make(map[model.DataCentreID]int)
	for i := range 3000 {
		id := model.TaskID{Job: "j", Index: i}
		first[Rank(id, model.JobSpec{Kind: model.KindBatch}, centres)[0]]++
		gang := Rank(id, model.JobSpec{Kind: model.KindGang}, centres)
		assert.DeepEqual(t, gang, Rank(model.TaskID{Job: "j"}, model.JobSpec{Kind: model.KindGang}, centres))
	}
	for dc, n := range first {
		assert.Assert(t, n > 900 && n < 1100, "%s is first for %d of 3000", dc, n)
	}
	assert.DeepEqual(t, Rank(model.TaskID{}, model.JobSpec{DataCentres: centres[1:2]}, centres), centres[1:2])
}

// Guards against jobs refused while a worker may hold them, and gangs that no data centre can hold.
func TestNever(t *testing.T) {
	sizes := map[model.DataCentreID]map[model.Resources]int{
		"x": {model.Resources{Cores: 8}: 2}, "y": {model.Resources{Cores: 4}: 9}, "empty": {},
	}
	tests := []struct {
		name  string
		spec  model.JobSpec
		cores model.MilliCores
		want  bool
	}{
		{"fits", model.JobSpec{}, 8, false},
		{"too large", model.JobSpec{}, 9, true},
		{"too large where it may run", model.JobSpec{DataCentres: []model.DataCentreID{"y"}}, 8, true},
		{"no worker now", model.JobSpec{DataCentres: []model.DataCentreID{"empty"}}, 9, false},
		{"gang fits", model.JobSpec{Kind: model.KindGang, Tasks: 9}, 4, false},
		{"gang too large", model.JobSpec{Kind: model.KindGang, Tasks: 3}, 8, true},
	}
	for _, tt := range tests {
		n := NewUnschedulableJobs(Config{})
		size := model.Resources{Cores: tt.cores}
		assert.Assert(t, !n.Check(tt.spec, size, sizes, noon), tt.name)
		assert.Equal(t, n.Check(tt.spec, size, sizes, noon.Add(3*time.Minute)), tt.want, tt.name)
	}
}
