package retryafter

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// The timeout of first attempts on a route is the longest timeout of the last two periods.
func TestCallerTimeoutsReturnLongestRecentTimeout(t *testing.T) {
	is := is.New(t)
	var timeouts CallerTimeouts
	now := time.Now()
	is.Equal(timeouts.Record("a", 4*time.Second, now), 4*time.Second)
	is.Equal(timeouts.Record("a", time.Second, now), 4*time.Second)
	is.Equal(timeouts.Record("b", time.Second, now), time.Second)
	is.Equal(timeouts.Record("a", time.Second, now.Add(timeoutPeriod+1)), 4*time.Second)
	is.Equal(timeouts.Record("a", time.Second, now.Add(2*timeoutPeriod+3)), time.Second) // the longer timeout has expired
}
