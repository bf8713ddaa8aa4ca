package listwatch

import (
	"context"
	"errors"
	"math"
	"sync"
	"sync/atomic"
	"time"

	"cobaltramp.example/cobaltramp/internal/app/boottime"
)

// StoreContact records whether a node is in contact with the platform's store, either
// directly or through relays (nodes that pass on its changes), and since when the copy of
// the store may be outdated.
//
// Invariant: a successful list or watch renews the contact as of the time at which it was sent, since
// its response may have been read late, and ends the loss of contact. An up-to-date
// relay renews it as of the time at which the relay's contents were known to be all that the
// store held, and ends its loss. A probe renews the contact only if the node holds all changes
// up to the revision that the probe has read; it does not end a loss.
type StoreContact struct {
	renewedAt atomic.Int64 // time of the last renewal, in nanoseconds after processStart
	// heldAt is renewedAt without the response that Update is passing on, in the same unit;
	// neverHeld before the first renewal.
	heldAt atomic.Int64
	lost   atomic.Bool
	// storeRevision is the newest revision of the store that a probe has read.
	storeRevision atomic.Int64
	mutex         sync.Mutex
	// callsContext ends at the next endCalls, which thereby ends the waiting watch. The
	// mutex protects callsContext and cancelCalls.
	callsContext context.Context
	cancelCalls  context.CancelCauseFunc
}

// processStart is the origin of renewedAt. Its clock includes the time during which the
// machine was suspended, because keys may have been revoked in that time.
var processStart = boottime.Now()

// neverHeld is the value of heldAt before the first renewal: contents that this node has until then,
// from another node or from its disk, may be of any age.
const neverHeld = math.MinInt64 / 2

// NewStoreContact returns a StoreContact whose contact counts as lost until Confirm is
// called.
func NewStoreContact() *StoreContact {
	contact := &StoreContact{}
	contact.heldAt.Store(neverHeld)
	contact.callsContext, contact.cancelCalls = context.WithCancelCause(context.Background())
	contact.lost.Store(true)
	return contact
}

// Lost reports whether the node is not in contact with the store: since the last call of
// Confirm, a probe, list or watch has failed (compacted history does not count as a
// failure) or the node has begun to wait for a relay; or Confirm was never called.
func (c *StoreContact) Lost() bool { return c.lost.Load() }

// Age returns the time since the contact was last renewed; before the first renewal, it is
// the time since the process started.
func (c *StoreContact) Age() time.Duration {
	return boottime.Since(processStart) - time.Duration(c.renewedAt.Load())
}

// HeldAge returns the time since the contents that this node held before the update that it is
// applying, if any, were known to be all that the store held. A change in that update is no older.
// Before the first renewal it is longer than any uptime.
func (c *StoreContact) HeldAge() time.Duration {
	return boottime.Since(processStart) - time.Duration(c.heldAt.Load())
}

// StoreRevision returns the newest revision of the store that a probe has read; 0 before the
// first probe.
func (c *StoreContact) StoreRevision() int64 { return c.storeRevision.Load() }

// Confirm records that the node is up to date with the store and in contact with it.
func (c *StoreContact) Confirm() { c.Update(boottime.Now(), func() {}) }

// Update records, as Confirm does, that the store has answered a call with all that this node lacked,
// and calls apply, which passes the answer on. HeldAge counts it only after that. sent is when the
// call was sent, by boottime.Now: the answer may have lain unread for any time after it.
func (c *StoreContact) Update(sent time.Time, apply func()) {
	asOf := int64(sent.Sub(processStart))
	raise(&c.renewedAt, asOf)
	c.lost.Store(false)
	apply()
	raise(&c.heldAt, asOf)
}

// RenewAsOf records that this node holds all that the store held the given time ago, without
// ending a loss of contact.
func (c *StoreContact) RenewAsOf(age time.Duration) {
	at := int64(boottime.Since(processStart) - age)
	raise(&c.renewedAt, at)
	raise(&c.heldAt, at)
}

// raise sets a value that is lower than next to next.
func raise(value *atomic.Int64, next int64) {
	for previous := value.Load(); next > previous; previous = value.Load() {
		if value.CompareAndSwap(previous, next) {
			return
		}
	}
}

// regain records that relays keep this node up to date.
func (c *StoreContact) regain() { c.lost.Store(false) }

// markLost records that neither the store nor a relay keeps this node up to date. Waiting
// calls continue.
func (c *StoreContact) markLost() { c.lost.Store(true) }

// errContactLost ends the calls that wait when another call of the store has failed.
var errContactLost = errors.New("another call of the store has failed")

// recordFailure records that a call of the store failed, and ends the waiting calls.
func (c *StoreContact) recordFailure() {
	c.lost.Store(true)
	c.endCalls(errContactLost)
}

// endCalls ends the contexts that callContext returned, with the given cause.
func (c *StoreContact) endCalls(cause error) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.cancelCalls(cause)
	c.callsContext, c.cancelCalls = context.WithCancelCause(context.Background())
}

// callContext returns a child of parent that also ends at the next endCalls.
func (c *StoreContact) callContext(parent context.Context) (context.Context, context.CancelFunc) {
	c.mutex.Lock()
	callsContext := c.callsContext
	c.mutex.Unlock()
	ctx, cancel := context.WithCancelCause(parent)
	detach := context.AfterFunc(callsContext, func() { cancel(context.Cause(callsContext)) })
	return ctx, func() {
		detach()
		cancel(nil)
	}
}
