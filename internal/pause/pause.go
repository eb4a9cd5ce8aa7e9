package pause

import (
	"context"
	"time"
)

// For waits for d, but not beyond the context's end; it returns at once if d isn't positive.
func For(ctx context.Context, d time.Duration) { UntilWoken(ctx, d, nil) }

// UntilWoken is For, but ends early when wake has something or is closed.
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
