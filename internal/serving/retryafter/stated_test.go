package retryafter

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// The usual timeout of a route is the longest one of the last two periods.
func TestCallerTimeoutsKeepTheLongest(t *testing.T) {
	is := is.New(t)
	var stated CallerTimeouts
	now := time.Now()
	is.Equal(stated.Record("a", 4*time.Second, now), 4*time.Second)
	is.Equal(stated.Record("a", time.Second, now), 4*time.Second)
	is.Equal(stated.Record("b", time.Second, now), time.Second)
	is.Equal(stated.Record("a", time.Second, now.Add(timeoutPeriod+1)), 4*time.Second)
	is.Equal(stated.Record("a", time.Second, now.Add(2*timeoutPeriod+3)), time.Second) // the longer timeout has expired
}
