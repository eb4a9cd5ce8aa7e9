package slopes

import (
	"fmt"
	"time"

	"arbutuswing.example/bench/internal/fits"
	"arbutuswing.example/bench/internal/meter"
	"arbutuswing.example/bench/internal/rigs"
)

// applyRuns is the number of envelopes applied for each measurement.
const applyRuns = 60

// apply measures the time and the allocated bytes of applying one envelope, by the number of its operations and by the
// size of the state.
func apply(Config) ([]fits.Series, error) {
	var out []fits.Series
	var perOperation []fits.Point
	for _, part := range []int{10, 4, 1} {
		size := rigs.Planned.Divided(part)
		r, err := rigs.New(size)
		if err != nil {
			return nil, err
		}
		var durations, bytes []fits.Point
		for _, tasks := range []int{1, 10, 25, 50, 100} {
			t, b, err := measureApply(r, tasks)
			if err != nil {
				return nil, err
			}
			x := float64(2 * tasks)
			durations, bytes = append(durations, fits.Point{X: x, Y: t}), append(bytes, fits.Point{X: x, Y: b})
		}
		sizeNote := fmt.Sprintf(" (%d workers, %d bound)", size.Workers, size.Bound)
		times := fits.New("folding an envelope"+sizeNote, "operation", "us", durations)
		out = append(out, times, fits.New("allocation to fold an envelope"+sizeNote, "operation", "bytes", bytes))
		perOperation = append(perOperation, fits.Point{X: float64(size.Bound), Y: times.Line.Slope})
	}
	return append(out, fits.New("folding one operation", "bound task in the state", "us", perOperation)), nil
}

// measureApply returns the median time in microseconds and the mean allocated bytes of applying one envelope that ends
// and binds the given number of tasks.
func measureApply(r *rigs.Fixture, tasks int) (float64, float64, error) {
	var durations []time.Duration
	var bytes float64
	for i := range applyRuns {
		env := r.Envelope(r.Turnover(i*tasks, tasks)...)
		r.Offset++
		before := meter.AllocatedBytes()
		began := time.Now()
		applied := r.Machine.Apply(r.Offset, env)
		durations = append(durations, time.Since(began))
		bytes += (meter.AllocatedBytes() - before) / applyRuns
		for _, err := range applied.Results {
			if err != nil {
				return 0, 0, fmt.Errorf("applying a turnover of %d tasks: %w", tasks, err)
			}
		}
	}
	return microseconds(median(durations)), bytes, nil
}
