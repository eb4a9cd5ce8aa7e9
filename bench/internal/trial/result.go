package trial

import (
	"fmt"
	"time"

	"arbutuswing.example/bench/internal/mixes"
	"arbutuswing.example/internal/model"
)

// Wait describes the time from the arrival to the first start of the tasks of a class, in seconds.
type Wait struct {
	P50 float64 `json:"p50-s"`
	P99 float64 `json:"p99-s"`
	Max float64 `json:"max-s"`
	// Started and Arrived are numbers of tasks.
	Started int64 `json:"started"`
	Arrived int   `json:"arrived"`
}

// Result holds the measurements of one run.
type Result struct {
	Name  string                 `json:"name"`
	Seed  uint64                 `json:"seed"`
	Load  float64                `json:"load"`
	Waits map[model.ClassID]Wait `json:"waits"`

	PlanningJobs     int     `json:"planning-jobs"`
	PlanningInTime   int     `json:"planning-in-time"`
	PlanningDone     int     `json:"planning-done"`
	PlanningLastDone float64 `json:"planning-last-done-s"`

	// Packing is the fraction of the cores in use while the fleet is full. DoneWork and LostWork are fractions of the work
	// of the whole workload.
	Packing    float64 `json:"packing"`
	DoneWork   float64 `json:"done-work-part"`
	LostWork   float64 `json:"lost-work-part"`
	Killed     int     `json:"killed-for-memory"`
	Preempted  int     `json:"preempted"`
	OverMemory float64 `json:"worker-seconds-over-memory"`
	Starts     int     `json:"starts"`
	// SharesByWeight holds distances from due shares by weight alone, SharesBesideDeadlines those from due shares in which a
	// team is due at least what the active runs of its classes with a target have reserved.
	SharesByWeight        Shares `json:"share-distance"`
	SharesBesideDeadlines Shares `json:"share-distance-beside-deadlines"`

	// UsefulWork is the useful work until the end of the arrivals, as a fraction of what all cores could do.
	UsefulWork     float64 `json:"useful-work-in-the-night"`
	AbandonedTasks int     `json:"tasks-given-up"`
	FullMinutes    int     `json:"full-minutes"`

	// WorkDuringChange and WorkDuringChangeRelative are the results of workDuringChange.
	WorkDuringChange         float64 `json:"change-work-part-of-remaining"`
	WorkDuringChangeRelative float64 `json:"change-work-relative-to-before"`
	StartsOutOfService       int     `json:"started-out-of-service"`
	RunningAtPowerOff        int     `json:"running-when-switched-off"`

	Violations int `json:"invariant-violations"`
	// RunTime is the duration of the simulation in real time.
	RunTime float64 `json:"run-time-s"`
}

func (t *trial) result(name string, cfg Config, took time.Duration) Result {
	s := t.score
	r := Result{
		Name: name, Seed: cfg.Seed, Load: cfg.Load, Waits: make(map[model.ClassID]Wait),
		PlanningJobs: s.planning.jobs, PlanningInTime: s.planning.inTime, PlanningDone: s.planning.done,
		PlanningLastDone: s.planning.last.Seconds(), Packing: s.packing.value(), DoneWork: s.doneWork / t.mix.CoreSeconds,
		LostWork: t.fleet.LostCoreSeconds / t.mix.CoreSeconds, Killed: t.fleet.OOMKills, Preempted: s.preempted,
		OverMemory: t.fleet.OverMemorySeconds, Starts: s.starts,
		SharesByWeight: s.shares.byWeight.result(), SharesBesideDeadlines: s.shares.besideDeadlines.result(),
		FullMinutes: s.shares.fullMinutes, StartsOutOfService: s.startsOutOfService,
		AbandonedTasks:    s.abandoned,
		UsefulWork:        s.usefulAtArrivalEnd / (t.fleet.Cores("") * mixes.ArrivalPeriod.Seconds()),
		RunningAtPowerOff: s.runningAtPowerOff, Violations: t.sched.violations(), RunTime: took.Seconds(),
	}
	r.WorkDuringChange, r.WorkDuringChangeRelative = s.workDuringChange()
	for class, h := range s.waits {
		r.Waits[class] = Wait{
			P50: seconds(h.ValueAtQuantile(50)), P99: seconds(h.ValueAtQuantile(99)), Max: seconds(h.Max()),
			Started: h.TotalCount(), Arrived: s.arrivedTasks[class],
		}
	}
	return r
}

func seconds(nanos int64) float64 { return float64(nanos) / float64(time.Second) }

// Shares describes the teams' distances from their due shares, taken per minute while the fleet is full.
type Shares struct {
	Largest  float64 `json:"largest"`
	Mean     float64 `json:"mean"`
	Relative float64 `json:"largest-relative"`
	Within   float64 `json:"team-minutes-within-5-percent"`
	Worst    string  `json:"largest-at"`
}

func (d shareDistances) result() Shares {
	return Shares{Largest: d.largest, Mean: d.mean.value(), Relative: d.relative, Within: d.within.value(), Worst: d.worst}
}

// tableRow is one row of the printed table; format is the verb for its value.
type tableRow struct {
	name   string
	value  func(r Result) float64
	format string
}

func tableRows() []tableRow {
	var out []tableRow
	for _, class := range mixes.Classes {
		for _, q := range []struct {
			name  string
			value func(w Wait) float64
		}{
			{"p50 (s)", func(w Wait) float64 { return w.P50 }},
			{"p99 (s)", func(w Wait) float64 { return w.P99 }},
			{"max (s)", func(w Wait) float64 { return w.Max }},
			{"never started, tasks", func(w Wait) float64 { return float64(int64(w.Arrived) - w.Started) }},
		} {
			out = append(out, tableRow{
				name: fmt.Sprintf("waiting time of %s, %s", class, q.name), format: "%.2f",
				value: func(r Result) float64 { return q.value(r.Waits[class]) },
			})
		}
	}
	out = append(out, shareRows("", func(r Result) Shares { return r.SharesByWeight })...)
	out = append(out, shareRows(" beside work with a deadline", func(r Result) Shares { return r.SharesBesideDeadlines })...)
	return append(out,
		tableRow{"planning jobs", func(r Result) float64 { return float64(r.PlanningJobs) }, "%.0f"},
		tableRow{"planning jobs done in time", func(r Result) float64 { return float64(r.PlanningInTime) }, "%.0f"},
		tableRow{"planning jobs done by the end", func(r Result) float64 { return float64(r.PlanningDone) }, "%.0f"},
		tableRow{"last planning job done (min from start)", func(r Result) float64 { return r.PlanningLastDone / 60 }, "%.1f"},
		tableRow{"packing: cores in use while full (%)", func(r Result) float64 { return 100 * r.Packing }, "%.1f"},
		tableRow{"work done by the end (% of the mix)", func(r Result) float64 { return 100 * r.DoneWork }, "%.1f"},
		tableRow{"progress lost (% of the mix)", func(r Result) float64 { return 100 * r.LostWork }, "%.2f"},
		tableRow{"useful work while work arrived (% of the fleet's cores)", func(r Result) float64 { return 100 * r.UsefulWork }, "%.1f"},
		tableRow{"tasks given up after three kills", func(r Result) float64 { return float64(r.AbandonedTasks) }, "%.0f"},
		tableRow{"attempts killed for memory", func(r Result) float64 { return float64(r.Killed) }, "%.0f"},
		tableRow{"worker-seconds over memory", func(r Result) float64 { return r.OverMemory }, "%.0f"},
		tableRow{"attempts preempted or lost", func(r Result) float64 { return float64(r.Preempted) }, "%.0f"},
		tableRow{"minutes with a full fleet", func(r Result) float64 { return float64(r.FullMinutes) }, "%.0f"},
		tableRow{"work while a data centre was out (% of the remaining cores)", func(r Result) float64 { return 100 * r.WorkDuringChange }, "%.1f"},
		tableRow{"the same, relative to the 20 min before (%)", func(r Result) float64 { return 100 * r.WorkDuringChangeRelative }, "%.1f"},
		tableRow{"starts in a data centre out of service", func(r Result) float64 { return float64(r.StartsOutOfService) }, "%.0f"},
		tableRow{"running when it was switched off", func(r Result) float64 { return float64(r.RunningAtPowerOff) }, "%.0f"},
		tableRow{"invariant violations", func(r Result) float64 { return float64(r.Violations) }, "%.0f"},
		tableRow{"run time of the measurement (s)", func(r Result) float64 { return r.RunTime }, "%.1f"},
	)
}

func shareRows(beside string, of func(r Result) Shares) []tableRow {
	return []tableRow{
		{"largest distance from the due share" + beside + " (% of the fleet)", func(r Result) float64 { return 100 * of(r).Largest }, "%.1f"},
		{"mean distance from the due share" + beside + " (% of the fleet)", func(r Result) float64 { return 100 * of(r).Mean }, "%.2f"},
		{"largest distance, relative to the due share" + beside + " (%)", func(r Result) float64 { return 100 * of(r).Relative }, "%.0f"},
		{"team-minutes within 5% of the due share" + beside + " (%)", func(r Result) float64 { return 100 * of(r).Within }, "%.1f"},
	}
}

// printResults writes a Markdown table with one column per run and, with two runs, their ratio.
func printResults(cfg Config, results []Result) error {
	head, rule := "| what |", "|---|"
	for _, r := range results {
		head, rule = head+" "+r.Name+" |", rule+"---|"
	}
	if len(results) == 2 {
		head, rule = head+" ratio |", rule+"---|"
	}
	if _, err := fmt.Fprintf(cfg.Out, "seed %d, load %g\n\n%s\n%s\n", cfg.Seed, cfg.Load, head, rule); err != nil {
		return fmt.Errorf("printing the results: %w", err)
	}
	for _, row := range tableRows() {
		line := "| " + row.name + " |"
		for _, r := range results {
			line += " " + fmt.Sprintf(row.format, row.value(r)) + " |"
		}
		if len(results) == 2 {
			line += " " + ratioOf(row.value(results[0]), row.value(results[1])) + " |"
		}
		if _, err := fmt.Fprintln(cfg.Out, line); err != nil {
			return fmt.Errorf("printing the results: %w", err)
		}
	}
	for _, r := range results {
		if _, err := fmt.Fprintf(cfg.Out, "\nlargest distance, %s: %s; beside work with a deadline: %s\n",
			r.Name, r.SharesByWeight.Worst, r.SharesBesideDeadlines.Worst); err != nil {
			return fmt.Errorf("printing the results: %w", err)
		}
	}
	return nil
}

func ratioOf(value, base float64) string {
	if base == 0 {
		return "-"
	}
	return fmt.Sprintf("%.3g", value/base)
}
