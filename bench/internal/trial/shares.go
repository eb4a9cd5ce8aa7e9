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
	// fullWaiting is the part of the fleet that waiting work must be worth for the fleet to count as full.
	fullWaiting = 0.25
	// fullReserved is the part of the fleet that must be reserved for it to count as full.
	fullReserved = 0.80
	// smallShare leaves teams out of the relative distance whose due share is tiny.
	smallShare = 0.01
	perMinute  = 60
	// tolerance is the target: the distance from the due share in parts of it.
	tolerance = 0.05
	// bisections finds a level of shares to within a billionth.
	bisections = 40
)

// shares compares what teams have with what they are due, by the minute and only while the fleet is full.
type shares struct {
	t     *trial
	usage map[model.TeamID]float64
	// plain and ahead hold the due shares: by weight alone, and with work that has a deadline going ahead of the shares.
	plain, ahead distances
	// seconds counts the samples of the minute in which the fleet was full.
	seconds, fullMinutes int
}

// distances rates teams against one kind of due shares.
type distances struct {
	due map[model.TeamID]float64
	// points is the largest distance in parts of the fleet, relative the largest in parts of the due share.
	points, relative float64
	// worst names the team and the minute of the largest distance.
	worst string
	mean  ratio
	// within counts the teams and minutes within 5% of the due share.
	within ratio
}

func newShares(t *trial) *shares {
	return &shares{
		t: t, usage: make(map[model.TeamID]float64), plain: distances{due: make(map[model.TeamID]float64)},
		ahead: distances{due: make(map[model.TeamID]float64)},
	}
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
	reserved, urgent := s.reserved()
	sum, waiting := model.Resources{}, model.Resources{}
	teams := make([]claimant, 0, len(s.t.mix.Set.Teams))
	for _, team := range s.t.mix.Set.Teams {
		left := s.t.score.waiting[team.Name]
		waiting, sum = waiting.Plus(left), sum.Plus(reserved[team.Name])
		teams = append(teams, claimant{
			team: team.Name, weight: team.Share, used: reserved[team.Name].DominantShare(total),
			floor: urgent[team.Name].DominantShare(total), demand: reserved[team.Name].Plus(left).DominantShare(total),
		})
	}
	full := waiting.DominantShare(total) >= fullWaiting && sum.DominantShare(total) >= fullReserved
	if full {
		s.seconds++
		s.add(teams)
	}
	if now%time.Minute == 0 {
		s.close(now)
	}
	return full
}

// reserved sums the reservations of running attempts by team: of all, and of those with a deadline.
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

// claimant is a team with its weight; used, floor and demand are dominant shares of the fleet.
type claimant struct {
	team                        model.TeamID
	weight, used, floor, demand float64
}

// add adds the usage of one second and the due shares, which sum up to the same.
func (s *shares) add(teams []claimant) {
	all := 0.0
	for _, c := range teams {
		s.usage[c.team] += c.used / perMinute
		all += c.used
	}
	for i, due := range dueShares(all, teams, false) {
		s.plain.due[teams[i].team] += due / perMinute
	}
	for i, due := range dueShares(all, teams, true) {
		s.ahead.due[teams[i].team] += due / perMinute
	}
}

// dueShares divides total by weight; no team gets more than it demands, nor less than its floor if floors count. The
// level of the shares is found by bisection.
func dueShares(total float64, teams []claimant, floors bool) []float64 {
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

// close rates the minute if the fleet was full all along, and begins the next one.
func (s *shares) close(now time.Duration) {
	if s.seconds == perMinute {
		s.fullMinutes++
		s.plain.rate(s.usage, now)
		s.ahead.rate(s.usage, now)
	}
	s.seconds = 0
	clear(s.usage)
	clear(s.plain.due)
	clear(s.ahead.due)
}

func (d *distances) rate(usage map[model.TeamID]float64, now time.Duration) {
	for team, due := range d.due {
		distance := math.Abs(usage[team] - due)
		if distance > d.points {
			d.points = distance
			d.worst = fmt.Sprintf("%s at %s: has %.1f%%, is due %.1f%%", team, now, 100*usage[team], 100*due)
		}
		d.mean.part += distance
		d.mean.whole++
		if due < smallShare {
			continue
		}
		d.relative = max(d.relative, distance/due)
		d.within.whole++
		if distance <= tolerance*due {
			d.within.part++
		}
	}
}
