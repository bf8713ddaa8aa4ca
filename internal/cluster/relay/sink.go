package relay

import (
	"cobaltramp.example/cobaltramp/internal/cluster/ports"
	"cobaltramp.example/cobaltramp/internal/cluster/subset"
)

// Sink receives the contents of the store.
type Sink interface {
	// Reset replaces the contents by the given values, as of a revision.
	Reset(values []ports.Value, revision int64)
	// Apply applies the changes up to a revision, in the order of events.
	Apply(events []ports.WatchEvent, revision int64)
}

// Selection contains the runners that one node receives instead of all runners.
type Selection struct {
	// Values holds the entries of the selected runners, without the retained ones.
	Values []ports.Value
	// Totals holds the rounded number of runners of each service and zone, including those
	// that are not selected.
	Totals subset.Totals
	// Retained is the subset whose runners the node keeps if it holds them already; nil
	// if the node keeps none. If the new subset is a part of the old one, a source thus
	// sends only the totals.
	Retained *subset.Subset
}

// retains reports whether the node keeps a runner that it holds already.
func (s *Selection) retains(id string, serviceZone subset.ServiceZone) bool {
	return s.Retained != nil && s.Retained.Contains(serviceZone, subset.PositionOf(id))
}

// Retains reports whether value is the entry of a runner that the node keeps if it holds
// it already.
func (s *Selection) Retains(value ports.Value, classify Classifier) bool {
	id, serviceZone, isRunner := classify(value)
	return isRunner && s.retains(id, serviceZone)
}

// SelectiveSink is a Sink that also accepts selections. After Select the sink holds, of all
// runners, only the selected and the retained runners; Apply may then change them. Reset
// replaces all contents and ends the selection; a Select may follow to begin a new one.
type SelectiveSink interface {
	Sink
	Select(selection Selection, revision int64)
}

// Classifier reports whether a stored value is a runner's entry, and returns the runner's
// id, service and zone.
type Classifier func(value ports.Value) (id string, serviceZone subset.ServiceZone, isRunner bool)
