package trial

import (
	"fmt"
	"math"
	"time"

	"arbutuswing.example/bench/internal/fleet"
	"arbutuswing.example/bench/internal/mixes"
	"arbutuswing.example/internal/model"
)

const (
	// The fleet counts as full if the declared sizes of the waiting tasks add up to at least minWaitingFraction of it, and
	// at least minReservedFraction of it is reserved.
	minWaitingFraction  = 0.25
	minReservedFraction = 0.80
	// minRelativeShare is the due share below which a team is left out of the relative distance.
	minRelativeShare = 0.01
	samplesPerMinute = 60
	// tolerance is the target: the largest distance from the due share, as a fraction of it.
	tolerance = 0.05
	// bisections is the number of steps in which dueShares finds the level to within a billionth.
	bisections = 40
)

// shares compares the teams' usage with their due shares, per minute and only while the fleet is full.
type shares struct {
	t     *trial
	usage map[model.TeamID]float64
	// byWeight holds the due shares by weight alone; in besideDeadlines, a team is due at least what the active runs of its
	// classes with a target have reserved.
	byWeight, besideDeadlines shareDistances
	// fullSeconds counts the seconds of the current minute in which the fleet was full.
	fullSeconds, fullMinutes int
}

// shareDistances measures the distances from one kind of due shares.
type shareDistances struct {
	due map[model.TeamID]float64
	// largest is the largest distance as a fraction of the fleet, relative the largest as a fraction of the due share.
	largest, relative float64
	// worst describes the team and the minute of the largest distance.
	worst string
	mean  ratio
	// within counts the pairs of team and minute whose distance is within tolerance.
	within ratio
}

func newShares(t *trial) *shares {
	return &shares{
		t: t, usage: make(map[model.TeamID]float64), byWeight: shareDistances{due: make(map[model.TeamID]float64)},
		besideDeadlines: shareDistances{due: make(map[model.TeamID]float64)},
	}
}

// cores returns the number of cores in the data centres that are in service.
func (s *shares) cores() float64 {
	cores := 0.0
	for _, w := range s.t.fleet.Workers {
		if !s.t.outOfService[w.DataCentre] {
			cores += float64(fleet.Capacity.Cores) / 1000
		}
	}
	return cores
}

// total returns the capacity of the workers in the data centres that are in service.
func (s *shares) total() model.Resources {
	return fleet.Capacity.Times(int(s.cores() * 1000 / float64(fleet.Capacity.Cores)))
}

// sample records one second and reports whether the fleet was full in it.
func (s *shares) sample(now time.Duration) bool {
	total := s.total()
	reserved, urgent := s.reserved()
	sum, waiting := model.Resources{}, model.Resources{}
	teams := make([]teamDemand, 0, len(s.t.mix.Set.Teams))
	for _, team := range s.t.mix.Set.Teams {
		left := s.t.score.waitingSize[team.Name]
		waiting, sum = waiting.Plus(left), sum.Plus(reserved[team.Name])
		teams = append(teams, teamDemand{
			team: team.Name, weight: team.Share, used: reserved[team.Name].DominantShare(total),
			floor: urgent[team.Name].DominantShare(total), demand: reserved[team.Name].Plus(left).DominantShare(total),
		})
	}
	full := waiting.DominantShare(total) >= minWaitingFraction && sum.DominantShare(total) >= minReservedFraction
	if full {
		s.fullSeconds++
		s.addSecond(teams)
	}
	if now%time.Minute == 0 {
		s.close(now)
	}
	return full
}

// reserved sums the reservations of active runs by team: of all of them, and of those whose class has a target.
func (s *shares) reserved() (all, urgent map[model.TeamID]model.Resources) {
	all, urgent = make(map[model.TeamID]model.Resources), make(map[model.TeamID]model.Resources)
	for _, w := range s.t.fleet.Workers {
		for _, r := range w.Runs {
			if r.Ended {
				continue
			}
			all[r.Team] = all[r.Team].Plus(r.Reservation)
			if r.Class != mixes.Simulation && r.Class != mixes.Scoring {
				urgent[r.Team] = urgent[r.Team].Plus(r.Reservation)
			}
		}
	}
	return all, urgent
}

// teamDemand is a team with its weight. The other fields are dominant shares of the fleet: used is reserved, floor is
// reserved for classes with a target, and demand also includes the waiting tasks.
type teamDemand struct {
	team                        model.TeamID
	weight, used, floor, demand float64
}

// addSecond adds the usage of one second and the due shares, whose sum is the same.
func (s *shares) addSecond(teams []teamDemand) {
	all := 0.0
	for _, c := range teams {
		s.usage[c.team] += c.used / samplesPerMinute
		all += c.used
	}
	for i, due := range dueShares(all, teams, false) {
		s.byWeight.due[teams[i].team] += due / samplesPerMinute
	}
	for i, due := range dueShares(all, teams, true) {
		s.besideDeadlines.due[teams[i].team] += due / samplesPerMinute
	}
}

// dueShares divides total by weight: each team gets the same level times its weight, but no more than its demand and, with
// floors, no less than its floor. The level is found by bisection.
func dueShares(total float64, teams []teamDemand, floors bool) []float64 {
	out := make([]float64, len(teams))
	low, high := 0.0, 1.0
	for _, c := range teams {
		high = max(high, c.demand/c.weight)
	}
	for range bisections {
		level, sum := (low+high)/2, 0.0
		for i, c := range teams {
			out[i] = min(c.demand, level*c.weight)
			if floors {
				out[i] = max(c.floor, out[i])
			}
			sum += out[i]
		}
		if sum > total {
			high = level
		} else {
			low = level
		}
	}
	return out
}

// close records the distances of the minute if the fleet was full throughout, and begins the next one.
func (s *shares) close(now time.Duration) {
	if s.fullSeconds == samplesPerMinute {
		s.fullMinutes++
		s.byWeight.addMinute(s.usage, now)
		s.besideDeadlines.addMinute(s.usage, now)
	}
	s.fullSeconds = 0
	clear(s.usage)
	clear(s.byWeight.due)
	clear(s.besideDeadlines.due)
}

func (d *shareDistances) addMinute(usage map[model.TeamID]float64, now time.Duration) {
	for team, due := range d.due {
		distance := math.Abs(usage[team] - due)
		if distance > d.largest {
			d.largest = distance
			d.worst = fmt.Sprintf("%s at %s: has %.1f%%, is due %.1f%%", team, now, 100*usage[team], 100*due)
		}
		d.mean.part += distance
		d.mean.whole++
		if due < minRelativeShare {
			continue
		}
		d.relative = max(d.relative, distance/due)
		d.within.whole++
		if distance <= tolerance*due {
			d.within.part++
		}
	}
}
