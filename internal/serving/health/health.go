// Package health implements outlier ejection: a failing runner or owner node is
// temporarily excluded from the choice. Each consecutive failure doubles the duration of
// the ejection up to a maximum, and one success ends it. Plain nodes use the package. It
// does no I/O, reads no clock, and is not safe for concurrent use.
package health

import "time"

const (
	// firstEjection is the duration of the ejection after the first failure.
	firstEjection = 250 * time.Millisecond
	maxEjection   = 15 * time.Second
	// maxDoublings is the number of consecutive failures after which the ejection lasts
	// for maxEjection.
	maxDoublings = 6
)

// Failures counts the consecutive failures of one target. The zero value has none.
type Failures struct {
	consecutive  int
	ejectedUntil time.Time
}

// RecordFailure records a failure at the given time.
func (f *Failures) RecordFailure(now time.Time) {
	ejection := maxEjection
	if f.consecutive < maxDoublings {
		ejection = min(maxEjection, firstEjection<<f.consecutive)
	}
	f.consecutive++
	f.ejectedUntil = now.Add(ejection)
}

// RecordSuccess resets the failures and ends the ejection.
func (f *Failures) RecordSuccess() { *f = Failures{} }

// EjectedUntil returns the end of the last ejection; zero if the target has not failed
// since its last success.
func (f *Failures) EjectedUntil() time.Time { return f.ejectedUntil }
