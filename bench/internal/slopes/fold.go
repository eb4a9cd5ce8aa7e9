package slopes

import (
	"fmt"
	"time"

	"arbutuswing.example/bench/internal/fits"
	"arbutuswing.example/bench/internal/meter"
	"arbutuswing.example/bench/internal/rigs"
)

// foldRuns is the number of envelopes folded at each size.
const foldRuns = 60

// fold measures the time and the allocated bytes of folding one envelope, by its operations and by the state's size.
func fold(Config) ([]fits.Series, error) {
	var out []fits.Series
	var bySize []fits.Point
	for _, part := range []int{10, 4, 1} {
		size := rigs.Planned.Part(part)
		r, err := rigs.New(size)
		if err != nil {
			return nil, err
		}
		var took, bytes []fits.Point
		for _, tasks := range []int{1, 10, 25, 50, 100} {
			t, b, err := foldOnce(r, tasks)
			if err != nil {
				return nil, err
			}
			x := float64(2 * tasks)
			took, bytes = append(took, fits.Point{X: x, Y: t}), append(bytes, fits.Point{X: x, Y: b})
		}
		where := fmt.Sprintf(" (%d workers, %d bound)", size.Workers, size.Bound)
		made := fits.New("folding an envelope"+where, "operation", "us", took)
		out = append(out, made, fits.New("allocation to fold an envelope"+where, "operation", "bytes", bytes))
		bySize = append(bySize, fits.Point{X: float64(size.Bound), Y: made.Line.Slope})
	}
	return append(out, fits.New("folding one operation", "bound task in the state", "us", bySize)), nil
}

// foldOnce returns the median time in microseconds and the mean allocation of folding one envelope that ends and binds
// the given number of tasks.
func foldOnce(r *rigs.Rig, tasks int) (float64, float64, error) {
	var times []time.Duration
	var bytes float64
	for i := range foldRuns {
		env := r.Envelope(r.Turnover(i*tasks, tasks)...)
		r.Offset++
		before := meter.Allocated()
		began := time.Now()
		applied := r.Machine.Apply(r.Offset, env)
		times = append(times, time.Since(began))
		bytes += (meter.Allocated() - before) / foldRuns
		for _, err := range applied.Results {
			if err != nil {
				return 0, 0, fmt.Errorf("folding a turnover of %d tasks: %w", tasks, err)
			}
		}
	}
	return micros(median(times)), bytes, nil
}
