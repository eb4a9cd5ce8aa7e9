package meter

import (
	"fmt"
	"runtime"
	"syscall"
	"time"
)

// CPU returns the processor time that the process has used so far, in user and kernel mode.
func CPU() (time.Duration, error) {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0, fmt.Errorf("reading the processor time: %w", err)
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano()), nil
}

// HeapInUse returns the bytes of heap that are in use after a full garbage collection.
func HeapInUse() float64 {
	var stats runtime.MemStats
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc)
}

// AllocatedBytes returns the total bytes of heap allocated since the start of the process.
func AllocatedBytes() float64 {
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return float64(stats.TotalAlloc)
}

// Fastest calls run several times and returns its shortest time, because other load on the machine only ever makes a
// run slower.
func Fastest(runs int, run func() (time.Duration, error)) (time.Duration, error) {
	fastest := time.Duration(0)
	for i := range runs {
		duration, err := run()
		if err != nil {
			return 0, err
		}
		if i == 0 || duration < fastest {
			fastest = duration
		}
	}
	return fastest, nil
}
