// Package health ejects a target that fails, a runner or an owner node, from the
// choice for a while (outlier ejection): each failure in a row doubles the time,
// up to a bound, and one success ends it. Plain nodes use it. It does no I/O and
// reads no clock, and is not safe for concurrent use.
package health

import "time"

const (
	// firstEjection is how long a target is ejected at its first failure.
	firstEjection = 250 * time.Millisecond
	maxEjection   = 15 * time.Second
	// doublings is how often the time is doubled before it is maxEjection.
	doublings = 6
)

// Failures are one target's failures in a row. The zero value has none.
type Failures struct {
	inRow        int
	ejectedUntil time.Time
}

// RecordFailure records a failure at a time.
func (f *Failures) RecordFailure(now time.Time) {
	ejection := maxEjection
	if f.inRow < doublings {
		ejection = min(maxEjection, firstEjection<<f.inRow)
	}
	f.inRow++
	f.ejectedUntil = now.Add(ejection)
}

// RecordSuccess ends the row of failures and the ejection.
func (f *Failures) RecordSuccess() { *f = Failures{} }

// EjectedUntil returns the time until which the target is ejected.
func (f *Failures) EjectedUntil() time.Time { return f.ejectedUntil }
