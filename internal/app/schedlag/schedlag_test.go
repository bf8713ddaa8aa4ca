package schedlag

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// A delay is reported for some periods, and then forgotten.
func TestDelayIsReportedForAWhile(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		monitor := &Monitor{}
		ctx, stop := context.WithCancel(t.Context())
		defer stop()
		go monitor.Run(ctx)
		time.Sleep(3*period + tickInterval/2)
		is.Equal(monitor.Recent(), time.Duration(0)) // the clock of the test stands while code runs
		monitor.record(80 * time.Millisecond)
		time.Sleep((periods - 2) * period)
		is.Equal(monitor.Recent(), 80*time.Millisecond)
		is.Equal(monitor.Sustained(), time.Duration(0))
		time.Sleep(2 * period)
		is.Equal(monitor.Recent(), time.Duration(0))
		is.Equal((*Monitor)(nil).Recent(), time.Duration(0))
	})
}

// Only a process that is delayed in each period is delayed for long.
func TestSustainedDelay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		monitor := &Monitor{}
		ctx, stop := context.WithCancel(t.Context())
		defer stop()
		go monitor.Run(ctx)
		time.Sleep(tickInterval / 2)
		for range 2 * periods {
			monitor.record(50 * time.Millisecond)
			time.Sleep(period)
		}
		is.Equal(monitor.Sustained(), 50*time.Millisecond)
		time.Sleep(2 * period)
		is.Equal(monitor.Sustained(), time.Duration(0))
	})
}

// A delay that is longer than a period is a delay of each of the periods in it.
func TestDelayOverSeveralPeriods(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		monitor := &Monitor{}
		expected := time.Now()
		time.Sleep(3 * period)
		monitor.advance(expected, expected.Add(period/2))
		is.Equal(monitor.longest[0].Load(), int64(3*period))
		is.Equal(monitor.longest[1].Load(), int64(3*period))
		is.Equal(monitor.longest[2].Load(), int64(3*period))
		is.Equal(monitor.longest[3].Load(), int64(0)) // the current one
	})
}
