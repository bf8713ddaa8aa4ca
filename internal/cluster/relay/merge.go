package relay

import (
	"slices"
	"sync"

	"cobaltramp.example/cobaltramp/internal/cluster/ports"
)

// Merger hands to a sink what several sources send of the same store. A source
// sends all that changed after a revision the merge had reached when the source
// began; or it sends a selection of the runners, and all that changes of it. While
// a selection is held only its source counts, and while all is held no source of a
// selection does: neither knows what the other has sent.
//
// Invariant: its revision never falls, and the sink gets each change once.
type Merger struct {
	mutex    sync.Mutex
	sink     SelectiveSink
	revision int64
	// partial: of the runners a selection is held.
	partial bool
}

// NewMerger returns a merge that has reached no revision.
func NewMerger(sink SelectiveSink) *Merger { return &Merger{sink: sink, revision: -1} }

var _ Sink = (*Merger)(nil)

// Partial reports whether a selection of the runners is held, and not all.
func (m *Merger) Partial() bool {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.partial
}

// Select takes a selection with what else has changed; an older one changes nothing.
// Selections come from one source at a time.
func (m *Merger) Select(selection Selection, events []ports.WatchEvent, revision int64) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if m.revision < 0 || revision < m.revision || selection.Kept != nil && !m.partial {
		return // what it adds to is not held
	}
	m.apply(events, revision)
	m.sink.Select(selection, revision)
	m.partial = true
}

// ResetToSelection takes everything but the runners that are not selected.
func (m *Merger) ResetToSelection(values []ports.Value, selection Selection, revision int64) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if revision < m.revision {
		return
	}
	m.sink.Reset(append(slices.Clone(values), selection.Values...), revision)
	m.sink.Select(selection, revision)
	m.revision, m.partial = revision, true
}

// ApplySelected takes changes from the source of a selection.
func (m *Merger) ApplySelected(events []ports.WatchEvent, revision int64) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if m.partial {
		m.apply(events, revision)
	}
}

// Revision returns the revision reached; negative before the first.
func (m *Merger) Revision() int64 {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.revision
}

// Reset implements Sink; an older whole changes nothing.
func (m *Merger) Reset(values []ports.Value, revision int64) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if revision < m.revision {
		return
	}
	m.sink.Reset(values, revision)
	m.revision, m.partial = revision, false
}

// Apply implements Sink; changes that were taken already are left out.
func (m *Merger) Apply(events []ports.WatchEvent, revision int64) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if m.revision >= 0 && !m.partial {
		m.apply(events, revision)
	}
}

// apply takes changes. The mutex is held.
func (m *Merger) apply(events []ports.WatchEvent, revision int64) {
	fresh := make([]ports.WatchEvent, 0, len(events))
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
