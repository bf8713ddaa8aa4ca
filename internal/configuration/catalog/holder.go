package catalog

import (
	"sync"
	"sync/atomic"
	"time"
)

// Holder keeps the active version of the configuration. Its methods are safe for
// concurrent use.
//
// Invariant: the version number never decreases while the process runs.
type Holder struct {
	active  atomic.Pointer[activeVersion]
	mutex   sync.Mutex    // guards changed and serializes updates of active
	changed chan struct{} // closed and replaced when a version becomes active
}

type activeVersion struct {
	catalog  *Catalog
	document []byte
	revision int64
	since    time.Time
}

// NewHolder returns a Holder without an active version.
func NewHolder() *Holder { return &Holder{changed: make(chan struct{})} }

// Current returns the active version, or nil if there is none yet.
func (h *Holder) Current() *Catalog {
	if current := h.active.Load(); current != nil {
		return current.catalog
	}
	return nil
}

// Age returns how long the active version has been active, or 0 if there is none
// yet.
func (h *Holder) Age(now time.Time) time.Duration {
	if current := h.active.Load(); current != nil {
		return now.Sub(current.since)
	}
	return 0
}

// Document returns the source text of the active version and its revision, or nil
// and 0 if there is none yet. Both are the values given to UpdateIfNewer.
func (h *Holder) Document() ([]byte, int64) {
	if current := h.active.Load(); current != nil {
		return current.document, current.revision
	}
	return nil, 0
}

// UpdateIfNewer activates next if no version is active yet or if its version number
// is higher than that of the active version, and reports whether next was activated.
func (h *Holder) UpdateIfNewer(next *Catalog, document []byte, revision int64, now time.Time) bool {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if current := h.active.Load(); current != nil && current.catalog.Version >= next.Version {
		return false
	}
	h.active.Store(&activeVersion{next, document, revision, now})
	close(h.changed)
	h.changed = make(chan struct{})
	return true
}

// Changed returns a channel that is closed when the next version becomes active.
func (h *Holder) Changed() <-chan struct{} {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return h.changed
}
