package health

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Each consecutive failure doubles the ejection up to its maximum; a success resets it.
func TestEjectionDoublesUntilSuccess(t *testing.T) {
	is := is.New(t)
	var failures Failures
	now := time.Unix(1000, 0)
	is.True(!failures.EjectedUntil().After(now)) // no failures yet
	for _, seconds := range []float64{0.25, 0.5, 1, 2, 4, 8, 15, 15, 15} {
		failures.RecordFailure(now)
		is.Equal(failures.EjectedUntil().Sub(now).Seconds(), seconds)
	}
	failures.RecordSuccess()
	is.True(!failures.EjectedUntil().After(now))
	failures.RecordFailure(now)
	is.Equal(failures.EjectedUntil().Sub(now), 250*time.Millisecond) // the duration starts at the minimum again
}
