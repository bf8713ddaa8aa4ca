// Package retry limits retries to a fraction of first attempts, so that retries do not
// overload a failing fleet (a retry budget, see "Handling Overload" in the SRE book). The
// router of a plain node keeps one budget for all its requests; the bundle's policy sets the
// fraction. Retries accumulate up to a maximum, so that all streams of a lost runner can be
// continued at once; a new budget starts with this maximum.
package retry

import "sync"

// maxRetries limits the retries that accumulate while few requests fail.
const maxRetries = 100

// Budget is a retry budget. It is safe for concurrent use.
type Budget struct {
	mutex sync.Mutex
	// retries is the number of available retries. Fractions accumulate to whole retries.
	retries float64
}

// NewBudget returns a budget with maxRetries, since the first runner may be lost before first
// attempts have added many retries.
func NewBudget() *Budget { return &Budget{retries: maxRetries} }

// Deposit adds a fraction of a retry, up to maxRetries in all. The router calls it for each
// first attempt.
func (b *Budget) Deposit(fraction float64) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.retries = min(maxRetries, b.retries+fraction)
}

// TryWithdraw takes one retry from the budget and returns true, or returns false if the
// budget holds less than one retry.
func (b *Budget) TryWithdraw() bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if b.retries < 1 {
		return false
	}
	b.retries--
	return true
}
