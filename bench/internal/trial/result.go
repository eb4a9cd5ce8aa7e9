package trial

import (
	"fmt"
	"time"

	"arbutuswing.example/bench/internal/mixes"
	"arbutuswing.example/internal/model"
)

// Wait is the time from arrival to first start of the tasks of a class, in seconds.
type Wait struct {
	P50 float64 `json:"p50-s"`
	P99 float64 `json:"p99-s"`
	Max float64 `json:"max-s"`
	// Started and Arrived count tasks.
	Started int64 `json:"started"`
	Arrived int   `json:"arrived"`
}

// Result is what one run gave.
type Result struct {
	Name  string                 `json:"name"`
	Seed  uint64                 `json:"seed"`
	Load  float64                `json:"load"`
	Waits map[model.ClassID]Wait `json:"waits"`

	PlanningJobs   int     `json:"planning-jobs"`
	PlanningInTime int     `json:"planning-in-time"`
	PlanningDone   int     `json:"planning-done"`
	PlanningLast   float64 `json:"planning-last-done-s"`

	Packing     float64 `json:"packing"`
	DoneWork    float64 `json:"done-work-part"`
	LostWork    float64 `json:"lost-work-part"`
	Killed      int     `json:"killed-for-memory"`
	Preempted   int     `json:"preempted"`
	OverMemory  float64 `json:"worker-seconds-over-memory"`
	Starts      int     `json:"starts"`
	SharePoints float64 `json:"largest-share-distance"`
	ShareMean   float64 `json:"mean-share-distance"`
	ShareRel    float64 `json:"largest-relative-share-distance"`
	ShareWithin float64 `json:"team-minutes-within-5-percent"`
	ShareWorst  string  `json:"largest-share-distance-at"`
	NightUse    float64 `json:"useful-work-in-the-night"`
	GaveUp      int     `json:"tasks-given-up"`
	FullMinutes int     `json:"full-minutes"`

	ChangeAbsolute float64 `json:"change-work-part-of-remaining"`
	ChangeRelative float64 `json:"change-work-relative-to-before"`
	StartedOut     int     `json:"started-out-of-service"`
	SwitchedOff    int     `json:"running-when-switched-off"`

	Violations int     `json:"invariant-violations"`
	Took       float64 `json:"run-time-s"`
}

func (t *trial) result(name string, cfg Config, took time.Duration) Result {
	s := t.score
	r := Result{
		Name: name, Seed: cfg.Seed, Load: cfg.Load, Waits: make(map[model.ClassID]Wait),
		PlanningJobs: s.planning.jobs, PlanningInTime: s.planning.inTime, PlanningDone: s.planning.done,
		PlanningLast: s.planning.last.Seconds(), Packing: s.packing.value(), DoneWork: s.doneWork / t.mix.Work,
		LostWork: t.fleet.Lost / t.mix.Work, Killed: t.fleet.Killed, Preempted: s.preempted, OverMemory: t.fleet.Over,
		Starts: s.starts, SharePoints: s.shares.points, ShareMean: s.shares.meanPoints.value(), ShareRel: s.shares.relative,
		ShareWithin: s.shares.within.value(), FullMinutes: s.shares.fullMinutes, StartedOut: s.startedOut,
		ShareWorst: s.shares.worst, GaveUp: s.gaveUp,
		NightUse:    s.usefulNight / (t.fleet.Cores("") * mixes.Night.Seconds()),
		SwitchedOff: s.switchedOff, Violations: t.sched.violations(), Took: took.Seconds(),
	}
	r.ChangeAbsolute, r.ChangeRelative = s.throughChange()
	for class, h := range s.waits {
		r.Waits[class] = Wait{
			P50: seconds(h.ValueAtQuantile(50)), P99: seconds(h.ValueAtQuantile(99)), Max: seconds(h.Max()),
			Started: h.TotalCount(), Arrived: s.arrives[class],
		}
	}
	return r
}

func seconds(nanos int64) float64 { return float64(nanos) / float64(time.Second) }

// row is one line of the table.
type row struct {
	name  string
	value func(r Result) float64
	form  string
}

func rows() []row {
	var out []row
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
			out = append(out, row{
				name: fmt.Sprintf("waiting time of %s, %s", class, q.name), form: "%.2f",
				value: func(r Result) float64 { return q.value(r.Waits[class]) },
			})
		}
	}
	return append(out,
		row{"planning jobs", func(r Result) float64 { return float64(r.PlanningJobs) }, "%.0f"},
		row{"planning jobs done in time", func(r Result) float64 { return float64(r.PlanningInTime) }, "%.0f"},
		row{"planning jobs done by the end", func(r Result) float64 { return float64(r.PlanningDone) }, "%.0f"},
		row{"last planning job done (min from start)", func(r Result) float64 { return r.PlanningLast / 60 }, "%.1f"},
		row{"packing: cores in use while full (%)", func(r Result) float64 { return 100 * r.Packing }, "%.1f"},
		row{"work done by the end (% of the mix)", func(r Result) float64 { return 100 * r.DoneWork }, "%.1f"},
		row{"progress lost (% of the mix)", func(r Result) float64 { return 100 * r.LostWork }, "%.2f"},
		row{"useful work while work arrived (% of the fleet's cores)", func(r Result) float64 { return 100 * r.NightUse }, "%.1f"},
		row{"tasks given up after three kills", func(r Result) float64 { return float64(r.GaveUp) }, "%.0f"},
		row{"attempts killed for memory", func(r Result) float64 { return float64(r.Killed) }, "%.0f"},
		row{"worker-seconds over memory", func(r Result) float64 { return r.OverMemory }, "%.0f"},
		row{"attempts preempted or lost", func(r Result) float64 { return float64(r.Preempted) }, "%.0f"},
		row{"largest distance from the due share (% of the fleet)", func(r Result) float64 { return 100 * r.SharePoints }, "%.1f"},
		row{"mean distance from the due share (% of the fleet)", func(r Result) float64 { return 100 * r.ShareMean }, "%.2f"},
		row{"largest distance, relative to the due share (%)", func(r Result) float64 { return 100 * r.ShareRel }, "%.0f"},
		row{"team-minutes within 5% of the due share (%)", func(r Result) float64 { return 100 * r.ShareWithin }, "%.1f"},
		row{"minutes with a full fleet", func(r Result) float64 { return float64(r.FullMinutes) }, "%.0f"},
		row{"work while a data centre was out (% of the remaining cores)", func(r Result) float64 { return 100 * r.ChangeAbsolute }, "%.1f"},
		row{"the same, relative to the 20 min before (%)", func(r Result) float64 { return 100 * r.ChangeRelative }, "%.1f"},
		row{"starts in a data centre out of service", func(r Result) float64 { return float64(r.StartedOut) }, "%.0f"},
		row{"running when it was switched off", func(r Result) float64 { return float64(r.SwitchedOff) }, "%.0f"},
		row{"invariant violations", func(r Result) float64 { return float64(r.Violations) }, "%.0f"},
		row{"run time of the measurement (s)", func(r Result) float64 { return r.Took }, "%.1f"},
	)
}

// printResults writes a Markdown table with a column for each run and the ratio to the baseline.
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
	for _, row := range rows() {
		line := "| " + row.name + " |"
		for _, r := range results {
			line += " " + fmt.Sprintf(row.form, row.value(r)) + " |"
		}
		if len(results) == 2 {
			line += " " + ratioOf(row.value(results[0]), row.value(results[1])) + " |"
		}
		if _, err := fmt.Fprintln(cfg.Out, line); err != nil {
			return fmt.Errorf("printing the results: %w", err)
		}
	}
	for _, r := range results {
		if _, err := fmt.Fprintf(cfg.Out, "\nlargest distance from the due share, %s: %s\n", r.Name, r.ShareWorst); err != nil {
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
