package fairshare

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
)

var start = time.Unix(1000, 0)

// A request is in flight until its end, and an arrival for the length of the window.
func TestCounterWindow(t *testing.T) {
	is := is.New(t)
	counter := NewCounter(start)
	key := keyOf("s", "t", 0)
	end := counter.begin(key)
	counter.begin(key)()
	is.Equal(counter.inFlight(key), 1)
	now := start
	for _, rate := range []float64{8, 4, 0} { // the first interval has no previous one
		now = now.Add(reportInterval)
		loads := counter.advance(now)
		is.Equal(len(loads), 1)
		is.Equal(loads[0].InFlight, uint32(1))
		is.Equal(loads[0].ArrivalsPerSecond, rate)
	}
	end()
	is.Equal(len(counter.advance(now.Add(reportInterval))), 0)
	is.Equal(len(counter.entries), 0) // idle tenants are dropped
}

// An interval that is longer than usual, since the node had no processor time, does not raise
// the rate.
func TestLateAdvanceKeepsRate(t *testing.T) {
	is := is.New(t)
	counter := NewCounter(start)
	for range 100 {
		counter.begin(keyOf("s", "t", 0))()
	}
	is.Equal(counter.advance(start.Add(10 * time.Second))[0].ArrivalsPerSecond, 10.0)
}

// The memory use is limited; requests of further tenants are counted together.
func TestCounterIsBounded(t *testing.T) {
	is := is.New(t)
	counter := NewCounter(start)
	for i := range 3 * maxCounted {
		counter.begin(keyOf("s", fmt.Sprint("t", i), 0))
	}
	is.True(len(counter.entries) <= maxCounted+1)
	is.Equal(counter.inFlight(keyOf("s", "", 0)), 2*maxCounted)
}

// No end of a request is lost while reports are made and idle tenants are dropped.
func TestCounterIsSafeForConcurrentUse(t *testing.T) {
	is := is.New(t)
	counter := NewCounter(start)
	var running sync.WaitGroup
	for i := range 8 {
		running.Go(func() {
			for range 200 {
				end := counter.begin(keyOf("s", fmt.Sprint("t", i%3), 0))
				counter.advance(time.Now())
				end()
			}
		})
	}
	running.Wait()
	for i := range 3 {
		is.Equal(counter.inFlight(keyOf("s", fmt.Sprint("t", i), 0)), 0)
	}
}
