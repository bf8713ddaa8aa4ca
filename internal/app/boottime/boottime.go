// Package boottime reads CLOCK_BOOTTIME, a monotonic clock that continues while the machine
// is suspended. The monotonic clock of time.Now stops during a suspension, and the wall clock
// can be set. Leases and ages that must not be exceeded are therefore measured with this
// clock.
package boottime

import (
	"context"
	"time"

	"golang.org/x/sys/unix"
	"k8s.io/klog/v2"
)

// Now returns the time since the machine booted, as an offset from the Unix epoch. It can be
// compared only with other results of Now. If CLOCK_BOOTTIME can't be read, Now uses the
// monotonic clock.
func Now() time.Time {
	var now unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &now); err != nil {
		return time.Unix(0, 0).Add(time.Since(processStart))
	}
	return time.Unix(now.Unix())
}

var processStart = time.Now()

// Since returns the time that has passed since an earlier result of Now.
func Since(then time.Time) time.Duration { return Now().Sub(then) }

const (
	// checkInterval is the interval at which Watch compares the clocks. minSuspension is the
	// shortest difference that counts as a suspension: the process can also be descheduled
	// between reading the two clocks.
	checkInterval = 500 * time.Millisecond
	minSuspension = 200 * time.Millisecond
)

// Watch calls onSuspension after each suspension of the machine, with its duration, until
// the context ends.
func Watch(ctx context.Context, onSuspension func(suspended time.Duration)) {
	ticker := time.NewTicker(checkInterval)
	defer ticker.Stop()
	monotonic, boot := time.Now(), Now()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		nextMonotonic, nextBoot := time.Now(), Now()
		if duration := suspension(nextMonotonic.Sub(monotonic), nextBoot.Sub(boot)); duration > 0 {
			klog.InfoS("machine was suspended", "ms", duration.Milliseconds())
			onSuspension(duration)
		}
		monotonic, boot = nextMonotonic, nextBoot
	}
}

// suspension returns how long the machine was suspended, given the time that passed on the
// monotonic clock and on the boot time clock; 0 if it was not suspended.
func suspension(monotonic, boot time.Duration) time.Duration {
	if duration := boot - monotonic; duration >= minSuspension {
		return duration
	}
	return 0
}
