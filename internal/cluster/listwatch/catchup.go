package listwatch

import (
	"context"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"cobaltramp.example/cobaltramp/internal/app/pause"
)

const (
	// catchUpInterval is the shortest time from one read for CatchUp to the next. It limits the load on
	// the store when many callers wait.
	catchUpInterval = 50 * time.Millisecond
	// catchUpCheckInterval is the interval at which the arrival of the changes is checked, and
	// catchUpTimeout limits the wait for them.
	catchUpCheckInterval = 2 * time.Millisecond
	catchUpTimeout       = time.Second
)

// catchUps are the calls of CatchUp that wait.
type catchUps struct {
	mutex sync.Mutex
	// next is closed when the read that has not begun yet has ended; nil if nobody waits for it.
	next chan struct{}
	// wanted receives a value when next is created, and behind when the coalescing of changes is to
	// end, because a read has shown that the node lacks changes.
	wanted, behind chan struct{}
}

func newCatchUps() catchUps {
	return catchUps{wanted: make(chan struct{}, 1), behind: make(chan struct{}, 1)}
}

// join returns the channel that is closed when the next read has ended.
func (c *catchUps) join() <-chan struct{} {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.next == nil {
		c.next = make(chan struct{})
		c.wanted <- struct{}{} // has room: the read takes the value before it takes next
	}
	return c.next
}

// take returns the channel of the read that begins now.
func (c *catchUps) take() chan struct{} {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	next := c.next
	c.next = nil
	return next
}

// CatchUp returns when this node holds all that the store held at some time after the call, which the
// contact then shows, or when the context ends or the store does not tell. Calls at the same time
// share one read of the store. While the contact is lost, it returns at once.
func (r *Reflector) CatchUp(ctx context.Context) {
	if r.Contact.Lost() {
		return
	}
	select {
	case <-r.catchUps.join():
	case <-ctx.Done():
	}
}

// runCatchUps makes the reads for CatchUp until the context ends.
func (r *Reflector) runCatchUps(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-r.catchUps.wanted:
		}
		done := r.catchUps.take()
		began := time.Now()
		r.catchUpOnce(ctx)
		close(done)
		pause.For(ctx, catchUpInterval-time.Since(began))
	}
}

// catchUpOnce reads the revision of the store, waits until the node holds its changes, and renews the
// contact.
func (r *Reflector) catchUpOnce(ctx context.Context) {
	asked := time.Now()
	revision, err := r.probeOnce(ctx)
	if err != nil || revision == 0 {
		klog.InfoS("store did not tell its revision", "ms", time.Since(asked).Milliseconds(), "err", err)
		return
	}
	if r.renewIfHeld(revision, asked) {
		return
	}
	select {
	case r.catchUps.behind <- struct{}{}:
	default:
	}
	for ctx.Err() == nil && time.Since(asked) < catchUpTimeout {
		pause.For(ctx, catchUpCheckInterval)
		if r.renewIfHeld(revision, asked) {
			return
		}
	}
	klog.InfoS("changes of the store did not arrive in time", "revision", r.Merger.Revision(), "storeRevision", revision)
}

// coalesce pauses after changes, until the interval has passed or a caller of CatchUp waits for
// further changes.
func (r *Reflector) coalesce(ctx context.Context, interval time.Duration) {
	timer := time.NewTimer(interval)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-r.catchUps.behind:
	}
}
