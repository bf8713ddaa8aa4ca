package relay

import (
	"sort"

	"cobaltramp.example/cobaltramp/internal/cluster/ports"
	"cobaltramp.example/cobaltramp/internal/cluster/subset"
)

// Update contains the changes after a revision.
type Update struct {
	// Whole is true if Values are the complete contents, except for runners if Selection
	// is set. Otherwise Events are the changes, and Values is empty.
	Whole    bool
	Values   []ports.Value
	Events   []ports.WatchEvent
	Revision int64
	// Selection replaces the follower's selection of the runners. It is nil if the
	// selection does not change or the follower receives all runners.
	Selection *Selection
}

// FollowerView determines which runners one follower receives.
type FollowerView struct {
	Interest subset.Interest
	subset   *subset.Subset // the subset sent last; nil before the first update
}

// After returns the update after a revision, and a channel that closes with the next
// change. The update is nil if the mirror is empty, if the revision is newer than the
// mirror's, or if neither the contents nor the view's subset have changed. A negative
// revision stands for a follower without contents. A nil view stands for a follower that
// receives all runners.
func (m *Mirror) After(revision int64, view *FollowerView) (*Update, <-chan struct{}) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if m.values == nil || revision > m.revision {
		return nil, m.changed
	}
	current, previous, subsetChanged := m.refreshSubset(view)
	if revision == m.revision && !subsetChanged {
		return nil, m.changed
	}
	update := &Update{Revision: m.revision}
	if m.needsWhole(revision, view) {
		update.Whole = true
		update.Values = m.fullValues(view)
		if view != nil {
			update.Selection = m.newSelection(current, nil)
		}
		return update, m.changed
	}
	if subsetChanged {
		update.Selection = m.newSelection(current, previous)
	}
	update.Events = m.eventsAfter(revision, current)
	return update, m.changed
}

// refreshSubset computes the current subset of a view and stores it in the view. It also
// returns the previous subset if the subset has changed; previous is nil for the first
// subset. Both are nil for a nil view. The mutex is held.
func (m *Mirror) refreshSubset(view *FollowerView) (current, previous *subset.Subset, subsetChanged bool) {
	if view == nil {
		return nil, nil, false
	}
	current, previous = subset.Compute(view.Interest, m.runners.Totals()), view.subset
	if current.Equal(previous) {
		return current, nil, false
	}
	view.subset = current
	return current, previous, true
}

// newSelection returns a selection with the runners of the current subset that are not in
// the previous one, if there is one. If the mirror holds a selection itself, newSelection
// returns that selection. The mutex is held.
func (m *Mirror) newSelection(current, previous *subset.Subset) *Selection {
	if m.partial { // the follower is empty and receives the mirror's own selection
		return &Selection{Values: m.runnerValues(), Totals: m.totals}
	}
	selection := &Selection{Totals: m.runners.Totals()}
	if previous != nil {
		selection.Retained = current
	}
	for _, entry := range m.runners.Select(current) {
		if previous == nil || !previous.Contains(entry.ServiceZone, subset.PositionOf(entry.ID)) {
			selection.Values = append(selection.Values, m.values[entry.Value].Value)
		}
	}
	return selection
}

// runnerValues returns the entries of all runners in the mirror. The mutex is held.
func (m *Mirror) runnerValues() []ports.Value {
	var values []ports.Value
	for _, value := range m.values {
		if value.isRunner() {
			values = append(values, value.Value)
		}
	}
	return values
}

// fullValues returns all values. With a view, it leaves out the runners' entries. The
// mutex is held.
func (m *Mirror) fullValues(view *FollowerView) []ports.Value {
	var values []ports.Value
	for _, value := range m.values {
		if view == nil || !value.isRunner() {
			values = append(values, value.Value)
		}
	}
	return values
}

// eventsAfter returns the last change of each key after a revision, in ascending order of
// revision. It leaves out changes that are newer than the mirror's revision. Of the runners
// that are not in the current subset, it returns only deletions of those that a follower at
// the revision may hold; a nil subset stands for all runners. The mutex is held.
func (m *Mirror) eventsAfter(revision int64, current *subset.Subset) []ports.WatchEvent {
	from := sort.Search(len(m.log), func(i int) bool { return m.log[i].revision > revision })
	var events []ports.WatchEvent
	for _, entry := range m.log[from:] {
		if !m.isLatest(entry) || entry.revision > m.revision {
			continue
		}
		value, held := m.values[entry.key]
		place := m.tombstones[entry.key].placement
		if held {
			place = value.placement
		}
		selected := current == nil || !place.isRunner() || current.Contains(place.serviceZone, subset.PositionOf(place.runnerID))
		switch {
		case held && selected:
			events = append(events, ports.WatchEvent{Value: value.Value})
		case selected || m.relocated[entry.key] > revision:
			events = append(events, ports.WatchEvent{Value: ports.Value{Key: entry.key, Revision: entry.revision}, Deleted: true})
		}
	}
	return events
}
