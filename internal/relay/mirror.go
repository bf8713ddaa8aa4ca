// Package relay lets few nodes follow the platform's store and pass on what it
// says to the others, so that the calls to the store do not grow with the fleet.
//
// A node with a disk keeps a Mirror of what it follows and serves it. Other
// nodes hold a Follower, which takes the changes of two such nodes at once: one
// of them may fall silent and nothing is missed meanwhile. Where none is left, a
// node follows the store itself, from the revision it holds.
package relay

import (
	"sync"

	"cobaltramp.example/cobaltramp/internal/platform"
)

// Sink takes what lies in the store.
type Sink interface {
	// Reset takes everything, as of a revision.
	Reset(values []platform.Value, revision int64)
	// Apply takes changes up to a revision.
	Apply(events []platform.Event, revision int64)
}

// keptEvents and keptBytes bound the changes that a mirror can tell one by one;
// who lacks more gets everything.
const (
	keptEvents = 512
	keptBytes  = 4 << 20
)

// Mirror holds what a node knows of the store, for others. It implements Sink.
//
// Invariant: its revision never falls; events are the newest, in order, without
// a gap after eventsAfter.
type Mirror struct {
	mutex       sync.Mutex
	values      map[string]platform.Value
	revision    int64
	events      []platform.Event
	eventBytes  int
	eventsAfter int64
	changed     chan struct{}
}

// NewMirror returns a mirror that knows nothing yet.
func NewMirror() *Mirror { return &Mirror{revision: -1, changed: make(chan struct{})} }

var _ Sink = (*Mirror)(nil)

// Reset implements Sink.
func (m *Mirror) Reset(values []platform.Value, revision int64) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if revision < m.revision {
		return
	}
	m.values = make(map[string]platform.Value, len(values))
	for _, value := range values {
		m.values[value.Key] = value
	}
	m.events, m.eventBytes, m.eventsAfter = nil, 0, revision
	m.move(revision)
}

// Apply implements Sink.
func (m *Mirror) Apply(events []platform.Event, revision int64) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if m.values == nil || revision < m.revision {
		return
	}
	for _, event := range events {
		if event.Deleted {
			delete(m.values, event.Value.Key)
		} else {
			m.values[event.Value.Key] = event.Value
		}
		m.events = append(m.events, event)
		m.eventBytes += len(event.Value.Value)
	}
	m.forgetOld()
	m.move(revision)
}

// forgetOld drops the oldest changes beyond what is kept. The mutex is held.
func (m *Mirror) forgetOld() {
	over := 0
	for over < len(m.events) && (len(m.events)-over > keptEvents || m.eventBytes > keptBytes) {
		m.eventBytes -= len(m.events[over].Value.Value)
		m.eventsAfter = m.events[over].Value.Revision
		over++
	}
	if over > 0 {
		m.events = append([]platform.Event(nil), m.events[over:]...)
	}
}

// move takes a revision and wakes who waits. The mutex is held.
func (m *Mirror) move(revision int64) {
	m.revision = revision
	close(m.changed)
	m.changed = make(chan struct{})
}

// Update is what is new after a revision.
type Update struct {
	// Whole: Values are all there is. Else Events are what changed.
	Whole    bool
	Values   []platform.Value
	Events   []platform.Event
	Revision int64
}

// After returns what is new after a revision, negative for none; nil if nothing
// is. The channel closes with the next change.
func (m *Mirror) After(revision int64) (*Update, <-chan struct{}) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if m.values == nil || revision >= m.revision {
		return nil, m.changed
	}
	update := &Update{Revision: m.revision}
	if revision < m.eventsAfter {
		update.Whole = true
		for _, value := range m.values {
			update.Values = append(update.Values, value)
		}
		return update, m.changed
	}
	for _, event := range m.events {
		if event.Value.Revision > revision {
			update.Events = append(update.Events, event)
		}
	}
	return update, m.changed
}
