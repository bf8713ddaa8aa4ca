package catalog

import (
	"sync"
	"sync/atomic"
	"time"
)

// Holder holds the version in force.
//
// Invariant: the version never falls within the life of the process.
type Holder struct {
	current atomic.Pointer[entry]
	mutex   sync.Mutex
	changed chan struct{}
}

type entry struct {
	catalog  *Catalog
	document []byte
	revision int64
	since    time.Time
}

// NewHolder returns a holder without a version.
func NewHolder() *Holder { return &Holder{changed: make(chan struct{})} }

// Current returns the version in force, nil before the first.
func (h *Holder) Current() *Catalog {
	if held := h.current.Load(); held != nil {
		return held.catalog
	}
	return nil
}

// Age returns how long the version has been in force.
func (h *Holder) Age(now time.Time) time.Duration {
	if held := h.current.Load(); held != nil {
		return now.Sub(held.since)
	}
	return 0
}

// Document returns the version's source and its revision, for peers.
func (h *Holder) Document() ([]byte, int64) {
	if held := h.current.Load(); held != nil {
		return held.document, held.revision
	}
	return nil, 0
}

// UpdateIfNewer puts a version in force if it is newer than the one in force.
func (h *Holder) UpdateIfNewer(next *Catalog, document []byte, revision int64, now time.Time) bool {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if held := h.current.Load(); held != nil && held.catalog.Version >= next.Version {
		return false
	}
	h.current.Store(&entry{next, document, revision, now})
	close(h.changed)
	h.changed = make(chan struct{})
	return true
}

// Changed returns a channel that closes when the next version is in force.
func (h *Holder) Changed() <-chan struct{} {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return h.changed
}
