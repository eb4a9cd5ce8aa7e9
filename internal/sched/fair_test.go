package sched

import (
	"fmt"
	"math"
	"strings"
	"testing"
	"time"

	"arbutuswing.example/internal/decl"
	"arbutuswing.example/internal/model"
)

// submitFromSixTeams queues jobs of six teams with tasks of 1 to 32 cores: first of one team alone, after 10 s of all
// six. owner returns the team under which a team's jobs are submitted.
func submitFromSixTeams(c *testCluster, owner func(int) model.TeamID) {
	submit := func(team, part int) {
		size := 1 << team
		spec := job(model.JobID(fmt.Sprintf("t%d-%d", team, part)), owner(team), "patient", 3*640/size, cores(size))
		spec.RunTime = model.Duration(c.fleet.runTime)
		c.log.accept(spec)
	}
	submit(2, 0)
	c.advance(10 * time.Second)
	for part := 1; part < 3; part++ {
		for team := range 6 {
			submit(team, part)
		}
	}
}

// worstShareDeviation returns the largest difference between a team's fraction of the fleet over a minute and the sixth
// that it is due.
func worstShareDeviation(c *testCluster) float64 {
	used := make(map[string]int)
	const steps = 60
	for range steps {
		c.advance(time.Second)
		for _, w := range c.fleet.workers {
			for id, a := range w.tasks {
				if name, _, _ := strings.Cut(string(id.Task.Job), "-"); !a.ended {
					used[name] += int(a.req.Reservation.Cores)
				}
			}
		}
	}
	worst := 0.0
	for team := range 6 {
		part := float64(used[fmt.Sprint("t", team)]) / (steps * 640_000)
		worst = max(worst, math.Abs(part-1.0/6))
	}
	return worst
}

// BenchmarkShareDistance measures how far teams are from their due shares of a full fleet in the second minute after
// all of them have work. It compares fair shares, with and without preemption, with first-come first-fit order.
func BenchmarkShareDistance(b *testing.B) {
	for _, runTime := range []time.Duration{20 * time.Second, time.Hour} {
		for _, order := range []string{"shares", "shares-without-preemption", "first-come"} {
			b.Run(fmt.Sprintf("%s/%s", order, runTime), func(b *testing.B) {
				worst := 0.0
				for b.Loop() {
					c := newTestCluster(b, 10, cores(64))
					set := testDeclarations(testDataCentre)
					for team := range 6 {
						set.Teams = append(set.Teams, decl.Team{Name: model.TeamID(fmt.Sprint("t", team)), Share: 1, Keys: []model.KeyHash{testKey}})
					}
					c.log.declare(set)
					c.fleet.runTime = runTime
					if order == "shares-without-preemption" {
						c.nodes[0].placer.cfg.PreemptionDelay = 1000 * time.Hour
					}
					submitFromSixTeams(c, func(team int) model.TeamID {
						if order == "first-come" {
							return "a"
						}
						return model.TeamID(fmt.Sprint("t", team))
					})
					c.advance(time.Minute)
					worst = worstShareDeviation(c)
				}
				b.ReportMetric(100*worst, "%off")
			})
		}
	}
}
