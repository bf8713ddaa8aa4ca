package listwatch

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"cobaltramp.example/cobaltramp/internal/app/boottime"
)

// StoreContact is what a node knows of its contact with the platform's store, direct or
// through the nodes that relay its changes.
//
// Invariant: a probe that is answered renews the age, but only who follows the store
// ends a loss.
type StoreContact struct {
	last  atomic.Int64 // when it was renewed last, after processStart, in nanoseconds
	lost  atomic.Bool
	mutex sync.Mutex
	// answering ends when the store is found not to answer.
	answering    context.Context
	endAnswering context.CancelFunc
}

// processStart anchors the age of a contact to a clock that counts the time in which
// the machine was suspended: keys may have been revoked meanwhile.
var processStart = boottime.Now()

// NewStoreContact returns a contact that was not made yet.
func NewStoreContact() *StoreContact {
	contact := &StoreContact{}
	contact.answering, contact.endAnswering = context.WithCancel(context.Background())
	contact.lost.Store(true)
	return contact
}

// Lost reports whether the node has no contact: the store's last answer due did not
// come, and no other node relays the store's changes.
func (c *StoreContact) Lost() bool { return c.lost.Load() }

// Age returns the time since the contact was renewed last.
func (c *StoreContact) Age() time.Duration {
	return boottime.Since(processStart) - time.Duration(c.last.Load())
}

// Confirm records that the node is up to date with the store.
func (c *StoreContact) Confirm() {
	c.renew()
	c.lost.Store(false)
}

// renew records that the store answered.
func (c *StoreContact) renew() { c.last.Store(int64(boottime.Since(processStart))) }

// lose records that neither the store nor a relay keeps this node up to date.
func (c *StoreContact) lose() { c.lost.Store(true) }

// fail records that the store did not answer, and ends the calls that wait.
func (c *StoreContact) fail() {
	c.lost.Store(true)
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.endAnswering()
	c.answering, c.endAnswering = context.WithCancel(context.Background())
}

// untilFailure returns a context that ends when the store is found not to answer.
func (c *StoreContact) untilFailure(parent context.Context) (context.Context, context.CancelFunc) {
	c.mutex.Lock()
	answering := c.answering
	c.mutex.Unlock()
	ctx, cancel := context.WithCancel(parent)
	detach := context.AfterFunc(answering, cancel)
	return ctx, func() {
		detach()
		cancel()
	}
}
