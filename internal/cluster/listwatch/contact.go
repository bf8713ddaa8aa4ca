package listwatch

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"cobaltramp.example/cobaltramp/internal/app/boottime"
)

// StoreContact records a node's contact with the platform's store, either direct or
// through the nodes that relay its changes.
//
// Invariant: a successful probe renews the age of the contact, but a lost contact is
// regained only by a list, a watch or a relay.
type StoreContact struct {
	renewedAt atomic.Int64 // time of the last renewal, in nanoseconds after processStart
	lost      atomic.Bool
	mutex     sync.Mutex
	// callsContext ends when the store is found not to answer; calls that wait end with
	// it.
	callsContext context.Context
	cancelCalls  context.CancelFunc
}

// processStart is the origin of renewedAt. Its clock includes the time during which the
// machine was suspended, because keys may have been revoked in that time.
var processStart = boottime.Now()

// NewStoreContact returns a StoreContact without contact.
func NewStoreContact() *StoreContact {
	contact := &StoreContact{}
	contact.callsContext, contact.cancelCalls = context.WithCancel(context.Background())
	contact.lost.Store(true)
	return contact
}

// Lost reports whether the node has no contact: the store did not answer in time, and no
// other node relays its changes.
func (c *StoreContact) Lost() bool { return c.lost.Load() }

// Age returns the time since the contact was last renewed.
func (c *StoreContact) Age() time.Duration {
	return boottime.Since(processStart) - time.Duration(c.renewedAt.Load())
}

// Confirm records that the node is up to date with the store.
func (c *StoreContact) Confirm() {
	c.renew()
	c.lost.Store(false)
}

// renew records that the store answered.
func (c *StoreContact) renew() { c.renewedAt.Store(int64(boottime.Since(processStart))) }

// markLost records that neither the store nor a relay keeps this node up to date.
func (c *StoreContact) markLost() { c.lost.Store(true) }

// recordFailure records that the store did not answer, and cancels the waiting calls.
func (c *StoreContact) recordFailure() {
	c.lost.Store(true)
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.cancelCalls()
	c.callsContext, c.cancelCalls = context.WithCancel(context.Background())
}

// untilFailure returns a context that also ends when the store is found not to answer.
func (c *StoreContact) untilFailure(parent context.Context) (context.Context, context.CancelFunc) {
	c.mutex.Lock()
	callsContext := c.callsContext
	c.mutex.Unlock()
	ctx, cancel := context.WithCancel(parent)
	detach := context.AfterFunc(callsContext, cancel)
	return ctx, func() {
		detach()
		cancel()
	}
}
