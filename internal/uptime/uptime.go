package uptime

import (
	"fmt"
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time since the machine was started, including the time for which it was suspended. The monotonic clock of
// time.Now doesn't include that. It panics if the kernel has no such clock.
func Now() time.Duration {
	var now unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &now); err != nil {
		panic(fmt.Sprintf("reading the clock CLOCK_BOOTTIME: %v", err))
	}
	return time.Duration(now.Nano())
}
