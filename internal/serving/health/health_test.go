package health

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Each failure in a row doubles the ejection up to its bound; a success ends it.
func TestEjectionDoublesUntilASuccess(t *testing.T) {
	is := is.New(t)
	var failures Failures
	now := time.Unix(1000, 0)
	is.True(!failures.EjectedUntil().After(now)) // nothing has failed
	for _, seconds := range []float64{0.25, 0.5, 1, 2, 4, 8, 15, 15, 15} {
		failures.RecordFailure(now)
		is.Equal(failures.EjectedUntil().Sub(now).Seconds(), seconds)
	}
	failures.RecordSuccess()
	is.True(!failures.EjectedUntil().After(now))
	failures.RecordFailure(now)
	is.Equal(failures.EjectedUntil().Sub(now), 250*time.Millisecond) // the row begins anew
}
