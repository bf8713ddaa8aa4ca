package subset

import (
	"cmp"
	"slices"
)

// ListedRunner is a listed runner. Value is what else is kept of it.
type ListedRunner[V any] struct {
	ID          string
	ServiceZone ServiceZone
	Value       V
}

// Index holds listed runners so that those of a draw are found without reading the
// others. An entry that comes or goes costs a search in the runners of its place.
type Index[V any] struct {
	byID  map[string]ListedRunner[V]
	rings map[ServiceZone][]located
}

// located is a runner's place on the circle; rings are ordered by it.
type located struct {
	position uint64
	id       string
}

func compareLocated(a, b located) int {
	if order := cmp.Compare(a.position, b.position); order != 0 {
		return order
	}
	return cmp.Compare(a.id, b.id)
}

// NewIndex returns an empty index.
func NewIndex[V any]() *Index[V] {
	return &Index[V]{byID: map[string]ListedRunner[V]{}, rings: map[ServiceZone][]located{}}
}

// Len returns how many runners are listed.
func (i *Index[V]) Len() int { return len(i.byID) }

// Get returns an entry.
func (i *Index[V]) Get(id string) (ListedRunner[V], bool) {
	entry, known := i.byID[id]
	return entry, known
}

// Put takes an entry in the place of the one of the same id.
func (i *Index[V]) Put(entry ListedRunner[V]) {
	if known, listed := i.byID[entry.ID]; listed && known.ServiceZone != entry.ServiceZone {
		i.Remove(entry.ID)
	}
	if _, listed := i.byID[entry.ID]; !listed {
		at := located{PositionOf(entry.ID), entry.ID}
		ring := i.rings[entry.ServiceZone]
		where, _ := slices.BinarySearchFunc(ring, at, compareLocated)
		i.rings[entry.ServiceZone] = slices.Insert(ring, where, at)
	}
	i.byID[entry.ID] = entry
}

// Remove drops an entry.
func (i *Index[V]) Remove(id string) {
	entry, listed := i.byID[id]
	if !listed {
		return
	}
	delete(i.byID, id)
	ring := i.rings[entry.ServiceZone]
	where, _ := slices.BinarySearchFunc(ring, located{PositionOf(id), id}, compareLocated)
	i.rings[entry.ServiceZone] = slices.Delete(ring, where, where+1)
	if len(i.rings[entry.ServiceZone]) == 0 {
		delete(i.rings, entry.ServiceZone)
	}
}

// Totals returns how many runners there are, rounded.
func (i *Index[V]) Totals() Totals {
	totals := make(Totals, len(i.rings))
	for place, ring := range i.rings {
		totals[place] = Round(len(ring))
	}
	return totals
}

// Select lists the entries of a draw, in no order that means anything.
func (i *Index[V]) Select(draw *Subset) []ListedRunner[V] {
	var list []ListedRunner[V]
	for place, ring := range i.rings {
		for _, at := range within(ring, draw, place) {
			list = append(list, i.byID[at.id])
		}
	}
	return list
}

// within returns the runners of a ring that a draw knows.
func within(ring []located, draw *Subset, place ServiceZone) []located {
	known, counted := draw.arcs[place]
	if !counted || known.all {
		return ring
	}
	from := firstAt(ring, known.start)
	end := known.start + known.length
	to := firstAt(ring, end)
	if end >= known.start {
		return ring[from:to]
	}
	return append(slices.Clone(ring[from:]), ring[:to]...) // the arc passes the end of the numbers
}

// firstAt returns the first of a ring that lies at a position or after it.
func firstAt(ring []located, position uint64) int {
	where, _ := slices.BinarySearchFunc(ring, position, func(at located, wanted uint64) int { return cmp.Compare(at.position, wanted) })
	return where
}
