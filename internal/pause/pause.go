package pause

import (
	"context"
	"time"
)

// For waits for d or until ctx ends. It returns at once if d is not positive.
func For(ctx context.Context, d time.Duration) { UntilWoken(ctx, d, nil) }

// UntilWoken waits for d, until ctx ends, or until a value is received from wake or wake is closed. It returns at once if
// d is not positive.
func UntilWoken(ctx context.Context, d time.Duration, wake <-chan struct{}) {
	if d <= 0 {
		return
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-wake:
	}
}
