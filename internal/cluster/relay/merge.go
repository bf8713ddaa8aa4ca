package relay

import (
	"slices"
	"sync"

	"cobaltramp.example/cobaltramp/internal/cluster/ports"
)

// Merger combines the changes that several sources send of the same store and passes them
// to a sink. A source sends either all changes after the revision that the merger had
// reached when the stream began, or a selection of the runners and the changes of that
// selection. While the merger holds a selection it ignores Apply; while it holds all
// runners it ignores ApplySelected and a Select with retained runners. A source of one
// kind does not know which changes a source of the other kind has sent. Reset,
// ResetToSelection and a Select that retains none switch between the two.
//
// Another node's list of all runners (ReplaceRunners) is newer than the sources' contents.
// Until a source has reached its revision, the merger ignores selections: the sink would
// lose the list, and the merger alone decides what the sink holds.
//
// Invariant: the revision never decreases, and a change is passed to the sink's Apply only
// if it is newer than the revision. Reset and Select may repeat values.
type Merger struct {
	mutex    sync.Mutex
	sink     SelectiveSink
	revision int64
	// runnersRevision is the revision of the list that ReplaceRunners took last; -1 before
	// the first.
	runnersRevision int64
	// partial is true while the merger holds a selection of the runners.
	partial bool
}

// NewMerger returns a merger without contents; its revision is negative.
func NewMerger(sink SelectiveSink) *Merger {
	return &Merger{sink: sink, revision: -1, runnersRevision: -1}
}

var _ Sink = (*Merger)(nil)

// Partial reports whether the merger holds a selection of the runners, not all of them.
func (m *Merger) Partial() bool {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.partial
}

// ReplaceRunners calls replace, which passes another node's list of all runners to the
// sink's owner, unless the merger holds a selection or its contents are as new as the list.
// It reports whether it called replace.
func (m *Merger) ReplaceRunners(revision int64, replace func()) bool {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if m.partial || revision <= m.newestRunners() {
		return false
	}
	replace()
	m.runnersRevision = revision
	return true
}

// newestRunners returns the newest revision of which the sink holds the runners. The mutex
// is held.
func (m *Merger) newestRunners() int64 { return max(m.revision, m.runnersRevision) }

// Select applies events and then a selection of the same revision. It ignores both if the
// merger has no contents, if the sink holds newer runners, or if the selection
// retains runners and the merger holds no selection. A selection without retained runners
// also replaces all runners; the merger then holds a selection. Only one source may send
// selections at a time.
func (m *Merger) Select(selection Selection, events []ports.WatchEvent, revision int64) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if m.revision < 0 || revision < m.newestRunners() || selection.Retained != nil && !m.partial {
		return
	}
	m.apply(events, revision)
	m.sink.Select(selection, revision)
	m.partial = true
}

// ResetToSelection replaces all contents by the given values and a selection of the
// runners. It ignores them if the sink holds newer runners.
func (m *Merger) ResetToSelection(values []ports.Value, selection Selection, revision int64) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if revision < m.newestRunners() {
		return
	}
	m.sink.Reset(append(slices.Clone(values), selection.Values...), revision)
	m.sink.Select(selection, revision)
	m.revision, m.partial = revision, true
}

// ApplySelected applies changes from the source of the held selection. It skips changes
// that are not newer than the merger's revision, and ignores all if the merger holds no
// selection.
func (m *Merger) ApplySelected(events []ports.WatchEvent, revision int64) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if m.partial {
		m.apply(events, revision)
	}
}

// Revision returns the revision that the merger has reached; it is negative before the
// first contents arrive.
func (m *Merger) Revision() int64 {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.revision
}

// Reset implements Sink. It ignores contents whose revision is older than the merger's.
func (m *Merger) Reset(values []ports.Value, revision int64) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if revision < m.revision {
		return
	}
	m.sink.Reset(values, revision)
	m.revision, m.partial = revision, false
}

// Apply implements Sink. It skips changes that are not newer than the merger's revision,
// and ignores all if the merger has no contents or holds a selection.
func (m *Merger) Apply(events []ports.WatchEvent, revision int64) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if m.revision >= 0 && !m.partial {
		m.apply(events, revision)
	}
}

// apply passes the changes that are newer than the merger's revision to the sink, and
// raises the revision. The mutex is held.
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
