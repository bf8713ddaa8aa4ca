// Package pause waits between the iterations of a loop.
package pause

import (
	"context"
	"time"
)

// For returns after the interval, or earlier if the context ends.
func For(ctx context.Context, interval time.Duration) {
	timer := time.NewTimer(interval)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
