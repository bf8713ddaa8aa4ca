package relay

import (
	"sync"

	"cobaltramp.example/cobaltramp/internal/platform"
)

// Merge hands to a sink what several sources tell of the same store. Each
// source tells all that changed after a revision the merge had reached when the
// source began.
//
// Invariant: its revision never falls, and the sink gets each change once.
type Merge struct {
	mutex    sync.Mutex
	sink     Sink
	revision int64
}

// NewMerge returns a merge that has reached no revision.
func NewMerge(sink Sink) *Merge { return &Merge{sink: sink, revision: -1} }

var _ Sink = (*Merge)(nil)

// Revision returns the revision reached; negative before the first.
func (m *Merge) Revision() int64 {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.revision
}

// Reset implements Sink; an older whole changes nothing.
func (m *Merge) Reset(values []platform.Value, revision int64) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if revision < m.revision {
		return
	}
	m.sink.Reset(values, revision)
	m.revision = revision
}

// Apply implements Sink; changes that were taken already are left out.
func (m *Merge) Apply(events []platform.Event, revision int64) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if m.revision < 0 {
		return
	}
	fresh := make([]platform.Event, 0, len(events))
	for _, event := range events {
		if event.Value.Revision > m.revision {
			fresh = append(fresh, event)
		}
	}
	if len(fresh) > 0 {
		m.sink.Apply(fresh, max(revision, m.revision))
	}
	m.revision = max(m.revision, revision)
}
