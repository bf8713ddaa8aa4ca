package relay

import (
	"cobaltramp.example/cobaltramp/internal/cluster/ports"
	"cobaltramp.example/cobaltramp/internal/cluster/subset"
)

// Sink takes what lies in the store.
type Sink interface {
	// Reset takes everything, as of a revision.
	Reset(values []ports.Value, revision int64)
	// Apply takes changes up to a revision.
	Apply(events []ports.WatchEvent, revision int64)
}

// Selection is the part of the runners that a node gets, in place of all.
type Selection struct {
	Values []ports.Value
	// Totals are how many runners there are.
	Totals subset.Totals
	// Kept: of the runners known so far those that this draw knows stay; nil for none.
	// As runners become many the draws of all nodes shrink again and again, and only
	// the totals have to be sent.
	Kept *subset.Subset
}

// keeps reports whether a runner that is known stays so.
func (s *Selection) keeps(id string, place subset.ServiceZone) bool {
	return s.Kept != nil && s.Kept.Contains(place, subset.PositionOf(id))
}

// Keeps reports whether a value that is known stays so, by a classifier.
func (s *Selection) Keeps(value ports.Value, classify Classifier) bool {
	id, place, isRunner := classify(value)
	return isRunner && s.keeps(id, place)
}

// SelectiveSink takes a selection as well: of the runners its values are all that
// is known from now on, until the next Reset.
type SelectiveSink interface {
	Sink
	Select(selection Selection, revision int64)
}

// Classifier reports whether a stored value is a runner's entry, and of which runner
// where.
type Classifier func(value ports.Value) (id string, place subset.ServiceZone, isRunner bool)
