package boottime

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"golang.org/x/sys/unix"
)

// Now must read CLOCK_BOOTTIME, which continues during a suspension.
func TestNowReadsBootTimeClock(t *testing.T) {
	is := is.New(t)
	var before, after unix.Timespec
	is.NoErr(unix.ClockGettime(unix.CLOCK_BOOTTIME, &before))
	now := Now()
	is.NoErr(unix.ClockGettime(unix.CLOCK_BOOTTIME, &after))
	is.True(!now.Before(time.Unix(before.Unix())))
	is.True(!now.After(time.Unix(after.Unix())))
	is.True(Since(now) >= 0)
}

// Only time that the monotonic clock missed counts as a suspension.
func TestSuspension(t *testing.T) {
	is := is.New(t)
	is.Equal(suspension(time.Second, time.Second+minSuspension/2), time.Duration(0))
	is.Equal(suspension(time.Second, 4*time.Second), 3*time.Second)
	is.Equal(suspension(4*time.Second, 4*time.Second), time.Duration(0)) // a late check, no suspension
}
