// Package membudget bounds the memory that a process holds for responses that it is still reading. A server
// that fails may send bytes without end to many requests at once: each of them is bounded, and so must be
// all of them together. Edges and storage nodes use it.
package membudget

import (
	"errors"
	"sync/atomic"
)

// ErrExhausted means that a response needs more memory than the process has left for all of them.
var ErrExhausted = errors.New("no memory is left for a larger response")

// FreeBytes is the memory that each response may use beside the budget, so that responses of usual sizes
// never depend on others.
const FreeBytes = 16 << 10

// Budget is the memory that all responses together may use beyond their FreeBytes. It is safe for
// concurrent use. A nil Budget has no limit.
type Budget struct {
	limit int64
	used  atomic.Int64
}

// New returns a budget of a number of bytes.
func New(limit int64) *Budget { return &Budget{limit: limit} }

// Reservation is the memory of one response. It is not safe for concurrent use. The caller must Release it.
type Reservation struct {
	budget *Budget
	// held is what the reservation has taken from the budget, in bytes.
	held int64
}

// Reserve returns a reservation that has taken nothing yet.
func (b *Budget) Reserve() *Reservation { return &Reservation{budget: b} }

// GrowTo takes what the response lacks to occupy a number of bytes, and returns ErrExhausted, without a
// change, if the budget does not have it.
func (r *Reservation) GrowTo(bytes int) error {
	missing := int64(bytes) - FreeBytes - r.held
	if r.budget == nil || missing <= 0 {
		return nil
	}
	if r.budget.used.Add(missing) > r.budget.limit {
		r.budget.used.Add(-missing)
		return ErrExhausted
	}
	r.held += missing
	return nil
}

// Release returns the memory to the budget.
func (r *Reservation) Release() {
	if r.budget != nil {
		r.budget.used.Add(-r.held)
	}
	r.held = 0
}
