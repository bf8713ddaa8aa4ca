// Package relay lets a few nodes watch the platform's store and pass its contents on to
// the other nodes, so that the number of calls to the store does not grow with the fleet.
//
// A node with a disk keeps a copy of the store in a Mirror, sends the contents and
// changes of the Mirror to other nodes (Source), and saves them on its disk (DiskCache).
// Nodes receive the changes through a Follower. In a fleet of a few hundred nodes, a node
// follows two sources at once, so that it misses nothing if one of them fails. In a
// larger fleet the nodes form a tree of three levels (see Follower), and most nodes
// receive only the runners that they work with (see FollowerView).
//
// The package owns the mirror, the contents of the disk cache and the choice of sources.
// It relies on package peers for the node records, on package subset for which node works
// with which runners, and on package rpc for streams. It runs on edges and storage nodes.
package relay

import (
	"slices"
	"sort"
	"sync"

	"cobaltramp.example/cobaltramp/internal/cluster/ports"
	"cobaltramp.example/cobaltramp/internal/cluster/subset"
)

// maxTombstones is the number of tombstones, of some 100 bytes each, that compaction of a
// mirror's log leaves; up to compactSlack more may accumulate until then. A follower that
// needs older tombstones receives the complete contents instead. A release that replaces
// half of 30,000 runners stays within the limit.
const maxTombstones = 16384

// Mirror holds a copy of the store for the node's followers. It implements SelectiveSink.
// The cost of sending an update depends on the number of changes, not on the size of the
// store.
//
// Invariant: the revision never decreases. While the mutex is free, the log holds the
// revision of each value and of each tombstone, in ascending order.
type Mirror struct {
	classify Classifier

	mutex    sync.Mutex
	values   map[string]placedValue // nil before the first Reset
	revision int64
	// partial is true while the mirror holds a selection of the runners. totals then
	// holds the rounded numbers of all runners; otherwise it is nil.
	partial bool
	totals  subset.Totals
	runners *subset.Index[string] // the keys of the runners' entries
	log     []logEntry
	// unsorted is true if the log has to be sorted before it is read.
	unsorted   bool
	tombstones map[string]tombstone
	// relocated holds the last revision at which the placement of a value changed, by key. A
	// follower at an older revision may hold the value although it is no longer in its subset.
	relocated map[string]int64
	// compactedRevision is the newest revision whose tombstones have been removed. A
	// follower at an older revision needs the complete contents.
	compactedRevision int64
	// gaps are the ranges of revisions that lists have skipped, in ascending order.
	gaps    []revisionGap
	changed chan struct{} // closed and replaced by each change
}

// logEntry records that a key changed at a revision. It is outdated once the key has
// changed again.
type logEntry struct {
	revision int64
	key      string
}

// tombstone records that a value was deleted.
type tombstone struct {
	revision int64
	placement
}

// placement determines which followers of a selection hold a value.
type placement struct {
	runnerID    string // empty if the value is not a runner's entry, or is unreadable
	serviceZone subset.ServiceZone
}

// isRunner reports whether the value is the readable entry of a runner.
func (p placement) isRunner() bool { return p.runnerID != "" }

// placedValue is a value with its placement. The placement is computed once for each change,
// because a mirror reads it for each of its followers.
type placedValue struct {
	ports.Value
	placement
}

// NewMirror returns an empty mirror. If classify is nil, the mirror treats no value as a
// runner's entry.
func NewMirror(classify Classifier) *Mirror {
	if classify == nil {
		classify = func(ports.Value) (string, subset.ServiceZone, bool) { return "", subset.ServiceZone{}, false }
	}
	return &Mirror{
		classify: classify, revision: -1, runners: subset.NewIndex[string](), tombstones: map[string]tombstone{},
		relocated: map[string]int64{}, changed: make(chan struct{}),
	}
}

var _ SelectiveSink = (*Mirror)(nil)

// Reset implements Sink. It ignores contents whose revision is older than the mirror's.
func (m *Mirror) Reset(values []ports.Value, revision int64) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if revision < m.revision {
		return
	}
	if m.values == nil || m.partial {
		m.values, m.runners = map[string]placedValue{}, subset.NewIndex[string]()
		m.log, m.tombstones, m.compactedRevision = nil, map[string]tombstone{}, revision
		m.relocated, m.gaps = map[string]int64{}, nil
	} else {
		m.addGap(m.revision, revision)
	}
	listed := make(map[string]bool, len(values))
	values = slices.Clone(values)
	sort.Slice(values, func(i, j int) bool { return values[i].Revision < values[j].Revision })
	for _, value := range values {
		listed[value.Key] = true
		m.put(value)
	}
	for key := range m.values {
		if !listed[key] {
			m.remove(key, revision)
		}
	}
	m.partial, m.totals = false, nil
	m.sortLog()
	m.advance(revision)
}

// Apply implements Sink. It ignores changes before the first Reset, and changes up to a
// revision that is older than the mirror's.
func (m *Mirror) Apply(events []ports.WatchEvent, revision int64) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if m.values == nil || revision < m.revision {
		return
	}
	for _, event := range events {
		if event.Deleted {
			m.remove(event.Value.Key, event.Value.Revision)
		} else {
			m.put(event.Value)
		}
	}
	m.sortLog()
	m.advance(revision)
}

// Select implements SelectiveSink. It ignores a selection before the first Reset, and one
// whose revision is older than the mirror's.
func (m *Mirror) Select(selection Selection, revision int64) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if m.values == nil || revision < m.revision {
		return
	}
	selected := make(map[string]bool, len(selection.Values))
	for _, value := range selection.Values {
		selected[value.Key] = true
		m.put(value)
	}
	for key, value := range m.values {
		if value.isRunner() && !selected[key] && !selection.retains(value.runnerID, value.serviceZone) {
			m.remove(key, revision)
		}
	}
	m.partial, m.totals = true, selection.Totals
	m.sortLog()
	m.advance(revision)
}

// Partial reports whether the mirror holds a selection of the runners, not all of them.
func (m *Mirror) Partial() bool {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.partial
}

// put stores a value unless the mirror holds a value of the same or a newer revision. The
// pages of a list are not read from one snapshot, so a list may contain values that later
// changes repeat. The mutex is held.
func (m *Mirror) put(value ports.Value) {
	held, known := m.values[value.Key]
	if known && held.Revision >= value.Revision {
		return
	}
	deleted, isDeleted := m.tombstones[value.Key]
	previous, next := deleted.placement, m.placementOf(value)
	if known {
		previous = held.placement
	}
	if (known || isDeleted) && previous != next {
		m.relocated[value.Key] = value.Revision
	}
	m.values[value.Key] = placedValue{value, next}
	delete(m.tombstones, value.Key)
	m.appendLog(value.Revision, value.Key)
	if next.isRunner() {
		m.runners.Put(subset.ListedRunner[string]{ID: next.runnerID, ServiceZone: next.serviceZone, Value: value.Key})
	} else if previous.isRunner() {
		m.runners.Remove(previous.runnerID) // the entry has become unreadable
	}
}

// placementOf decodes a value and returns its placement.
func (m *Mirror) placementOf(value ports.Value) placement {
	id, serviceZone, isRunner := m.classify(value)
	if !isRunner {
		return placement{}
	}
	return placement{id, serviceZone}
}

// remove deletes a value and records a tombstone of the given revision. It does nothing
// if the mirror has no value of the key, or one that is newer than the revision. The mutex
// is held.
func (m *Mirror) remove(key string, revision int64) {
	value, held := m.values[key]
	if !held || value.Revision > revision {
		return
	}
	deleted := tombstone{revision, value.placement}
	if deleted.isRunner() {
		m.runners.Remove(deleted.runnerID)
	}
	delete(m.values, key)
	m.tombstones[key] = deleted
	m.appendLog(revision, key)
}

// advance sets the revision and wakes the waiting followers. The mutex is held.
func (m *Mirror) advance(revision int64) {
	m.revision = revision
	close(m.changed)
	m.changed = make(chan struct{})
}
