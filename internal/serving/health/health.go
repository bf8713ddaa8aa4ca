// Package health implements outlier ejection: after a failure, a runner or an owner node
// is avoided for a time, the ejection. Its duration doubles with each consecutive failure
// up to a maximum, and one success ends it. The router and the owner of a model's runners
// use the package. It does no I/O, reads no clock, and is not safe for concurrent use.
package health

import "time"

const (
	// firstEjection is the duration of the ejection after the first failure.
	firstEjection = 250 * time.Millisecond
	maxEjection   = 15 * time.Second
	// maxDoublings is the number of consecutive failures after which each further
	// failure ejects the target for maxEjection.
	maxDoublings = 6
)

// Failures counts the consecutive failures of one target (a runner or an owner node) and
// holds the end of its ejection. The zero value is a target without failures.
type Failures struct {
	consecutive  int
	ejectedUntil time.Time
}

// RecordFailure records a failure and starts a new ejection at the given time.
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

// EjectedUntil returns the end of the latest ejection, which may have passed; the zero
// time if the target has not failed since its last success.
func (f *Failures) EjectedUntil() time.Time { return f.ejectedUntil }
