package trial

import (
	"fmt"
	"math"
	"slices"
	"time"

	"arbutuswing.example/bench/internal/fleet"
	"arbutuswing.example/internal/model"
)

const (
	// fullWaiting is the part of the fleet that waiting work must be worth for the fleet to count as full.
	fullWaiting = 0.25
	// fullReserved is the part of the fleet that must be reserved for it to count as full.
	fullReserved = 0.80
	// smallShare leaves teams out of the relative distance whose due share is tiny.
	smallShare = 0.01
	perMinute  = 60
)

// shares compares what teams have with what they are due, by the minute and only while the fleet is full.
type shares struct {
	t     *trial
	usage map[model.TeamID]float64
	due   map[model.TeamID]float64
	// seconds counts the samples of the minute in which the fleet was full.
	seconds, fullMinutes int
	// points is the largest distance in parts of the fleet, relative the largest in parts of the due share.
	points, relative float64
	// worst names the team and the minute of the largest distance.
	worst      string
	meanPoints ratio
	// within counts the teams and minutes within 5% of the due share.
	within ratio
}

func newShares(t *trial) *shares {
	return &shares{t: t, usage: make(map[model.TeamID]float64), due: make(map[model.TeamID]float64)}
}

func (s *shares) cores() float64 {
	cores := 0.0
	for _, w := range s.t.fleet.Workers {
		if !s.t.out[w.Centre] {
			cores += float64(fleet.Capacity.Cores) / 1000
		}
	}
	return cores
}

func (s *shares) total() model.Resources {
	return fleet.Capacity.Times(int(s.cores() * 1000 / float64(fleet.Capacity.Cores)))
}

// sample adds one second and reports whether the fleet was full in it.
func (s *shares) sample(now time.Duration) bool {
	total := s.total()
	reserved := make(map[model.TeamID]model.Resources)
	sum := model.Resources{}
	for _, w := range s.t.fleet.Workers {
		for _, r := range w.Runs {
			if !r.Ended {
				reserved[r.Team] = reserved[r.Team].Plus(r.Reservation)
				sum = sum.Plus(r.Reservation)
			}
		}
	}
	waiting := model.Resources{}
	demand := make(map[model.TeamID]float64)
	for _, team := range s.t.mix.Set.Teams {
		waiting = waiting.Plus(s.t.score.waiting[team.Name])
		demand[team.Name] = reserved[team.Name].Plus(s.t.score.waiting[team.Name]).Dominant(total)
	}
	full := waiting.Dominant(total) >= fullWaiting && sum.Dominant(total) >= fullReserved
	if full {
		s.seconds++
		s.add(reserved, demand, total)
	}
	if now%time.Minute == 0 {
		s.close(now)
	}
	return full
}

// add adds the usage of one second and the due shares, which sum up to the same.
func (s *shares) add(reserved map[model.TeamID]model.Resources, demand map[model.TeamID]float64, total model.Resources) {
	weights := make(map[model.TeamID]float64)
	all := 0.0
	for _, team := range s.t.mix.Set.Teams {
		weights[team.Name] = team.Share
		used := reserved[team.Name].Dominant(total)
		s.usage[team.Name] += used / perMinute
		all += used
	}
	for team, due := range dueShares(all, weights, demand) {
		s.due[team] += due / perMinute
	}
}

// dueShares divides total by weight; what a team doesn't need goes to the others.
func dueShares(total float64, weights, demand map[model.TeamID]float64) map[model.TeamID]float64 {
	out := make(map[model.TeamID]float64, len(weights))
	open := make([]model.TeamID, 0, len(weights))
	weight := 0.0
	for team, w := range weights {
		open = append(open, team)
		weight += w
	}
	slices.SortFunc(open, func(a, b model.TeamID) int {
		if demand[a]/weights[a] < demand[b]/weights[b] {
			return -1
		}
		return 1
	})
	for _, team := range open {
		due := min(demand[team], total*weights[team]/weight)
		out[team] = due
		total -= due
		weight -= weights[team]
	}
	return out
}

// close rates the minute if the fleet was full all along, and begins the next one.
func (s *shares) close(now time.Duration) {
	if s.seconds == perMinute {
		s.fullMinutes++
		for team, due := range s.due {
			distance := math.Abs(s.usage[team] - due)
			if distance > s.points {
				s.points = distance
				s.worst = fmt.Sprintf("%s at %s: has %.1f%%, is due %.1f%%", team, now, 100*s.usage[team], 100*due)
			}
			s.meanPoints.part += distance
			s.meanPoints.whole++
			if due >= smallShare {
				s.relative = max(s.relative, distance/due)
				s.within.whole++
				if distance <= 0.05*due {
					s.within.part++
				}
			}
		}
	}
	s.seconds = 0
	clear(s.usage)
	clear(s.due)
}
