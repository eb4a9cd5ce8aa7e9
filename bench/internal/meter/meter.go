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

// Held returns the bytes of heap that are in use after a full collection.
func Held() float64 {
	var stats runtime.MemStats
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc)
}

// Allocated returns the bytes of heap allocated since the start of the process.
func Allocated() float64 {
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return float64(stats.TotalAlloc)
}

// Best returns the shortest time of run in tries; other work on the machine only ever makes it longer.
func Best(tries int, run func() (time.Duration, error)) (time.Duration, error) {
	best := time.Duration(0)
	for i := range tries {
		took, err := run()
		if err != nil {
			return 0, err
		}
		if i == 0 || took < best {
			best = took
		}
	}
	return best, nil
}
