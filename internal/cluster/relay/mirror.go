// Package relay lets few nodes follow the platform's store and pass on what it holds
// to the others, so that the calls to the store do not grow with the fleet.
//
// A node with a disk keeps a Mirror of what it follows, serves it (Source) and keeps it
// on its disk (DiskCache). Other nodes hold a Follower. In a fleet of some hundred nodes
// it takes the changes of two such nodes at once: one of them may fail and nothing is
// missed meanwhile. In a larger one nodes form a tree of three levels, see Follower, and
// get those runners only that they work with, see FollowerView.
//
// It owns the mirror, its file on the disk and the choice of sources. It relies on the
// node records of peers, on subset for who works with which runners, and on the streams
// of rpc. It runs on edges and storage nodes.
package relay

import (
	"slices"
	"sort"
	"sync"

	"cobaltramp.example/cobaltramp/internal/cluster/ports"
	"cobaltramp.example/cobaltramp/internal/cluster/subset"
)

// maxEnds bounds how many ends of values a mirror can pass on one by one, at some 100
// bytes each; who misses more gets everything. A value that stands is passed on by its
// own revision however old it is. A release of half of the runners of a fleet with
// 30,000 ends as many.
const maxEnds = 16384

// Mirror holds what a node knows of the store, for others. It implements
// SelectiveSink. What changed after a revision costs as much as it is.
//
// Invariant: its revision never falls; log holds the revision of each value and of
// each end that is kept, in order.
type Mirror struct {
	classify Classifier

	mutex    sync.Mutex
	values   map[string]ports.Value
	revision int64
	// partial: of the runners the mirror holds a selection, of so many.
	partial bool
	totals  subset.Totals
	runners *subset.Index[string] // the keys of runners' values
	log     []logged
	// unsorted: the log is to be put in order before it is read.
	unsorted bool
	gone     map[string]ended
	// forgotten is the revision up to which ends of values are not known any more.
	forgotten int64
	changed   chan struct{}
}

// logged says that a key had a change at a revision, which may be outdated.
type logged struct {
	revision int64
	key      string
}

// ended is the end of a value.
type ended struct {
	revision int64
	runner   string // empty if it was none
	place    subset.ServiceZone
}

// NewMirror returns a mirror that knows nothing yet. Without a classifier no value
// is a runner's.
func NewMirror(classify Classifier) *Mirror {
	if classify == nil {
		classify = func(ports.Value) (string, subset.ServiceZone, bool) { return "", subset.ServiceZone{}, false }
	}
	return &Mirror{
		classify: classify, revision: -1, runners: subset.NewIndex[string](), gone: map[string]ended{},
		changed: make(chan struct{}),
	}
}

var _ SelectiveSink = (*Mirror)(nil)

// Reset implements Sink.
func (m *Mirror) Reset(values []ports.Value, revision int64) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if revision < m.revision {
		return
	}
	if m.values == nil || m.partial {
		m.values, m.runners = map[string]ports.Value{}, subset.NewIndex[string]()
		m.log, m.gone, m.forgotten = nil, map[string]ended{}, revision
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
			m.end(key, revision)
		}
	}
	m.partial, m.totals = false, nil
	m.sortLog()
	m.move(revision)
}

// Apply implements Sink.
func (m *Mirror) Apply(events []ports.WatchEvent, revision int64) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if m.values == nil || revision < m.revision {
		return
	}
	for _, event := range events {
		if event.Deleted {
			m.end(event.Value.Key, event.Value.Revision)
		} else {
			m.put(event.Value)
		}
	}
	m.sortLog()
	m.move(revision)
}

// Select implements SelectiveSink.
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
		if id, place, isRunner := m.classify(value); isRunner && !selected[key] && !selection.keeps(id, place) {
			m.end(key, revision)
		}
	}
	m.partial, m.totals = true, selection.Totals
	m.sortLog()
	m.move(revision)
}

// Partial reports whether the mirror holds a selection of the runners only.
func (m *Mirror) Partial() bool {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.partial
}

// put takes a value unless a newer one is held: the pages of a list are no snapshot,
// so a list may hold what later changes bring. The mutex is held.
func (m *Mirror) put(value ports.Value) {
	if held, known := m.values[value.Key]; known && held.Revision >= value.Revision {
		return
	}
	m.values[value.Key] = value
	delete(m.gone, value.Key)
	m.note(value.Revision, value.Key)
	if id, place, isRunner := m.classify(value); isRunner {
		m.runners.Put(subset.ListedRunner[string]{ID: id, ServiceZone: place, Value: value.Key})
	}
}

// end takes the end of a value. The mutex is held.
func (m *Mirror) end(key string, revision int64) {
	value, held := m.values[key]
	if !held || value.Revision > revision {
		return
	}
	one := ended{revision: revision}
	if id, place, isRunner := m.classify(value); isRunner {
		one.runner, one.place = id, place
		m.runners.Remove(id)
	}
	delete(m.values, key)
	m.gone[key] = one
	m.note(revision, key)
}

// move takes a revision and wakes who waits. The mutex is held.
func (m *Mirror) move(revision int64) {
	m.revision = revision
	close(m.changed)
	m.changed = make(chan struct{})
}
