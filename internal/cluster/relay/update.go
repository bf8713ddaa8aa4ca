package relay

import (
	"sort"

	"cobaltramp.example/cobaltramp/internal/cluster/ports"
	"cobaltramp.example/cobaltramp/internal/cluster/subset"
)

// Update is what is new after a revision.
type Update struct {
	// Whole: Values are all there is. Else Events are what changed.
	Whole    bool
	Values   []ports.Value
	Events   []ports.WatchEvent
	Revision int64
	// Selection is what is selected of the runners; nil if that is what it was but for
	// the events. Whole values hold no runners if there is one.
	Selection *Selection
}

// FollowerView is what one follower gets: of the runners, those of its interest.
type FollowerView struct {
	Interest subset.Interest
	subset   *subset.Subset // as it was sent last; nil before
}

// After returns what is new after a revision, negative for none; nil if nothing
// is. The channel closes with the next change. A nil view gets everything.
func (m *Mirror) After(revision int64, view *FollowerView) (*Update, <-chan struct{}) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if m.values == nil || revision > m.revision {
		return nil, m.changed
	}
	draw, before, redrawn := m.redraw(view)
	if revision == m.revision && !redrawn {
		return nil, m.changed
	}
	update := &Update{Revision: m.revision}
	if revision < m.forgotten {
		update.Whole = true
		update.Values = m.wholeBeside(view)
		if view != nil {
			update.Selection = m.selected(draw, nil)
		}
		return update, m.changed
	}
	if redrawn {
		update.Selection = m.selected(draw, before)
	}
	update.Events = m.eventsAfter(revision, draw)
	return update, m.changed
}

// redraw works out the draw of a view, and the one before it if that is another; nil
// for none. The mutex is held.
func (m *Mirror) redraw(view *FollowerView) (draw, before *subset.Subset, redrawn bool) {
	if view == nil {
		return nil, nil, false
	}
	draw, before = subset.Compute(view.Interest, m.runners.Totals()), view.subset
	if draw.Equal(before) {
		return draw, nil, false
	}
	view.subset = draw
	return draw, before, true
}

// selected returns the runners of a draw that the one before it did not know. The
// mutex is held.
func (m *Mirror) selected(draw, before *subset.Subset) *Selection {
	if m.partial { // all that there is, to a node that knows nothing
		return &Selection{Values: m.runnerValues(), Totals: m.totals}
	}
	selection := &Selection{Totals: m.runners.Totals()}
	if before != nil {
		selection.Kept = draw
	}
	for _, entry := range m.runners.Select(draw) {
		if before == nil || !before.Contains(entry.ServiceZone, subset.PositionOf(entry.ID)) {
			selection.Values = append(selection.Values, m.values[entry.Value])
		}
	}
	return selection
}

// runnerValues returns the values of all runners that are held. The mutex is held.
func (m *Mirror) runnerValues() []ports.Value {
	var values []ports.Value
	for _, value := range m.values {
		if _, _, isRunner := m.classify(value); isRunner {
			values = append(values, value)
		}
	}
	return values
}

// wholeBeside returns all values; without those of runners for a view. The mutex is
// held.
func (m *Mirror) wholeBeside(view *FollowerView) []ports.Value {
	var values []ports.Value
	for _, value := range m.values {
		if _, _, isRunner := m.classify(value); !isRunner || view == nil {
			values = append(values, value)
		}
	}
	return values
}

// eventsAfter lists what changed after a revision, of each key the last change, in
// order. The mutex is held.
func (m *Mirror) eventsAfter(revision int64, draw *subset.Subset) []ports.WatchEvent {
	from := sort.Search(len(m.log), func(i int) bool { return m.log[i].revision > revision })
	var events []ports.WatchEvent
	for _, one := range m.log[from:] {
		if !m.valid(one) || one.revision > m.revision {
			continue
		}
		if value, held := m.values[one.key]; held {
			if id, place, isRunner := m.classify(value); draw == nil || !isRunner || draw.Contains(place, subset.PositionOf(id)) {
				events = append(events, ports.WatchEvent{Value: value})
			}
			continue
		}
		if end := m.gone[one.key]; draw == nil || end.runner == "" || draw.Contains(end.place, subset.PositionOf(end.runner)) {
			events = append(events, ports.WatchEvent{Value: ports.Value{Key: one.key, Revision: one.revision}, Deleted: true})
		}
	}
	return events
}
