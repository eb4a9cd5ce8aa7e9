package slopes

import (
	"runtime"
	"slices"
	"time"

	"arbutuswing.example/bench/internal/fits"
	"arbutuswing.example/bench/internal/meter"
	"arbutuswing.example/bench/internal/rigs"
	"arbutuswing.example/internal/state"
)

// memory measures the heap that the state uses, one dimension of its size at a time.
func memory(Config) ([]fits.Series, error) {
	base := rigs.Size{Workers: 1000, Teams: 20}
	dimensions := []struct {
		name      string
		values    []int
		withValue func(s rigs.Size, n int) rigs.Size
	}{
		{"worker", []int{1000, 4000, 7500}, func(s rigs.Size, n int) rigs.Size { s.Workers = n; return s }},
		{"bound task", []int{1000, 2500, 5000}, func(s rigs.Size, n int) rigs.Size { s.Bound = n; return s }},
		{"queued task (jobs of 4)", []int{4000, 12000, 32000}, func(s rigs.Size, n int) rigs.Size { s.Queued = n; return s }},
		{"finished job", []int{2000, 8000, 20000}, func(s rigs.Size, n int) rigs.Size { s.Finished = n; return s }},
		{"finished job of which only the outcome is kept", []int{30000, 50000, 80000}, func(s rigs.Size, n int) rigs.Size { s.Finished = n; return s }},
		{"team", []int{20, 100, 280}, func(s rigs.Size, n int) rigs.Size { s.Teams = n; return s }},
	}
	var out []fits.Series
	for _, d := range dimensions {
		var points []fits.Point
		for _, n := range d.values {
			heap, err := stateHeap(d.withValue(base, n))
			if err != nil {
				return nil, err
			}
			points = append(points, fits.Point{X: float64(n), Y: heap})
		}
		out = append(out, fits.New("heap of the folded state", d.name, "bytes", points))
	}
	var whole []fits.Point
	for _, part := range []int{4, 2, 1} {
		heap, err := stateHeap(rigs.Planned.Divided(part))
		if err != nil {
			return nil, err
		}
		whole = append(whole, fits.Point{X: 1 / float64(part), Y: heap})
	}
	return append(out, fits.New("heap of the folded state", "part of the planned size", "bytes", whole)), nil
}

func stateHeap(size rigs.Size) (float64, error) {
	before := meter.HeapInUse()
	r, err := rigs.New(size)
	if err != nil {
		return 0, err
	}
	heap := meter.HeapInUse() - before
	runtime.KeepAlive(r)
	return heap, nil
}

// snapshot measures the size of a snapshot, and the time to encode and to restore it.
func snapshot(Config) ([]fits.Series, error) {
	var size, encode, restore []fits.Point
	for _, part := range []int{4, 2, 1} {
		r, err := rigs.New(rigs.Planned.Divided(part))
		if err != nil {
			return nil, err
		}
		x := 1 / float64(part)
		var data []byte
		took, err := meter.Fastest(3, func() (time.Duration, error) {
			began := time.Now()
			data, err = r.Machine.Snapshot()
			return time.Since(began), err
		})
		if err != nil {
			return nil, err
		}
		encode = append(encode, fits.Point{X: x, Y: milliseconds(took)})
		size = append(size, fits.Point{X: x, Y: float64(len(data))})
		if took, err = meter.Fastest(3, func() (time.Duration, error) { return restoreOnce(data) }); err != nil {
			return nil, err
		}
		restore = append(restore, fits.Point{X: x, Y: milliseconds(took)})
	}
	const per = "part of the planned size"
	return []fits.Series{
		fits.New("snapshot", per, "bytes", size), fits.New("writing a snapshot", per, "ms", encode),
		fits.New("restoring a snapshot", per, "ms", restore),
	}, nil
}

func restoreOnce(data []byte) (time.Duration, error) {
	machine, err := rigs.NewMachine()
	if err != nil {
		return 0, err
	}
	began := time.Now()
	var events []state.Event
	events, err = machine.Restore(data)
	runtime.KeepAlive(events)
	return time.Since(began), err
}

func median(times []time.Duration) time.Duration {
	sorted := slices.Clone(times)
	slices.Sort(sorted)
	return sorted[len(sorted)/2]
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
