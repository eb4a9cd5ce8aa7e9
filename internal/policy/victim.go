package policy

import (
	"cmp"
	"slices"
	"time"

	"arbutuswing.example/internal/model"
)

// RunningAttempt is a running attempt that may give way.
type RunningAttempt struct {
	Attempt     model.AttemptID
	Team        model.TeamID
	Reservation model.Resources
	// Loss is the run time since the last checkpoint.
	Loss time.Duration
}

// Victims returns the attempts of one worker to stop so that need fits, those with the least loss first and none more
// than needed; ok is false if stopping all of them would not suffice.
func Victims(need, free model.Resources, running []RunningAttempt) (victims []RunningAttempt, loss time.Duration, ok bool) {
	if need.Fits(free) {
		return nil, 0, true
	}
	sorted := slices.Clone(running)
	slices.SortFunc(sorted, func(a, b RunningAttempt) int {
		return cmp.Or(cmp.Compare(a.Loss, b.Loss), cmp.Compare(a.Attempt.String(), b.Attempt.String()))
	})
	for _, r := range sorted {
		if !helps(r.Reservation, need, free) {
			continue
		}
		victims = append(victims, r)
		free = free.Plus(r.Reservation)
		if need.Fits(free) {
			break
		}
	}
	if !need.Fits(free) {
		return nil, 0, false
	}
	victims = spare(need, free, victims)
	for _, v := range victims {
		loss += v.Loss
	}
	return victims, loss, true
}

// helps reports whether the reservation has some of a dimension that is still short.
func helps(reservation, need, free model.Resources) bool {
	return need.Cores > free.Cores && reservation.Cores > 0 ||
		need.Memory > free.Memory && reservation.Memory > 0 ||
		need.Accelerators > free.Accelerators && reservation.Accelerators > 0
}

// spare drops victims that a later one made needless, those with the most loss first.
func spare(need, free model.Resources, victims []RunningAttempt) []RunningAttempt {
	for i := len(victims) - 1; i >= 0; i-- {
		if without := free.Minus(victims[i].Reservation); need.Fits(without) {
			free = without
			victims = slices.Delete(victims, i, i+1)
		}
	}
	return victims
}
