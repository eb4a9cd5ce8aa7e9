package policy

import (
	"cmp"
	"slices"
	"time"

	"arbutuswing.example/internal/model"
)

// RunningAttempt is a running attempt that may be preempted.
type RunningAttempt struct {
	Attempt     model.AttemptID
	Team        model.TeamID
	Reservation model.Resources
	// Loss is the run time that preemption would lose, which is the time since the last checkpoint.
	Loss time.Duration
}

// Victims chooses the attempts of one worker to stop so that need fits into its free capacity, and returns them with
// their total loss. It prefers attempts with little loss and returns no attempt that isn't needed; ok is false if
// stopping all of them would not suffice.
func Victims(need, free model.Resources, running []RunningAttempt) (victims []RunningAttempt, loss time.Duration, ok bool) {
	if need.Fits(free) {
		return nil, 0, true
	}
	sorted := slices.Clone(running)
	slices.SortFunc(sorted, func(a, b RunningAttempt) int {
		return cmp.Or(cmp.Compare(a.Loss, b.Loss), cmp.Compare(a.Attempt.String(), b.Attempt.String()))
	})
	for _, r := range sorted {
		if !addsMissing(r.Reservation, need, free) {
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
	victims = dropUnneeded(need, free, victims)
	for _, v := range victims {
		loss += v.Loss
	}
	return victims, loss, true
}

// addsMissing reports whether the reservation would free some of a dimension in which need exceeds free.
func addsMissing(reservation, need, free model.Resources) bool {
	return need.Cores > free.Cores && reservation.Cores > 0 ||
		need.Memory > free.Memory && reservation.Memory > 0 ||
		need.Accelerators > free.Accelerators && reservation.Accelerators > 0
}

// dropUnneeded removes victims without which need still fits into free, which counts the victims' reservations. It
// tries those with the most loss first.
func dropUnneeded(need, free model.Resources, victims []RunningAttempt) []RunningAttempt {
	for i := len(victims) - 1; i >= 0; i-- {
		if without := free.Minus(victims[i].Reservation); need.Fits(without) {
			free = without
			victims = slices.Delete(victims, i, i+1)
		}
	}
	return victims
}
