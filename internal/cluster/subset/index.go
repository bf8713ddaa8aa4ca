package subset

import (
	"cmp"
	"slices"
)

// ListedRunner is a runner of the platform's list with a value chosen by the user of the
// package.
type ListedRunner[V any] struct {
	ID          string
	ServiceZone ServiceZone
	Value       V
}

// Index holds runners sorted by position, so that the runners of a subset are found without
// scanning all runners. It is not safe for concurrent use.
type Index[V any] struct {
	byID  map[string]ListedRunner[V]
	rings map[ServiceZone][]ringEntry // without empty rings
}

// ringEntry is a runner's position on the circle. A ring is the list of the runners of one
// service in one zone, sorted by position, then by id.
type ringEntry struct {
	position uint64
	id       string
}

func compareRingEntries(a, b ringEntry) int {
	if order := cmp.Compare(a.position, b.position); order != 0 {
		return order
	}
	return cmp.Compare(a.id, b.id)
}

// NewIndex returns an empty index.
func NewIndex[V any]() *Index[V] {
	return &Index[V]{byID: map[string]ListedRunner[V]{}, rings: map[ServiceZone][]ringEntry{}}
}

// Len returns the number of runners in the index.
func (i *Index[V]) Len() int { return len(i.byID) }

// Get returns the entry with an id, and false if there is none.
func (i *Index[V]) Get(id string) (ListedRunner[V], bool) {
	entry, known := i.byID[id]
	return entry, known
}

// Put inserts an entry, replacing the entry with the same id.
func (i *Index[V]) Put(entry ListedRunner[V]) {
	if current, listed := i.byID[entry.ID]; listed && current.ServiceZone != entry.ServiceZone {
		i.Remove(entry.ID)
	}
	if _, listed := i.byID[entry.ID]; !listed {
		entryOnRing := ringEntry{PositionOf(entry.ID), entry.ID}
		ring := i.rings[entry.ServiceZone]
		index, _ := slices.BinarySearchFunc(ring, entryOnRing, compareRingEntries)
		i.rings[entry.ServiceZone] = slices.Insert(ring, index, entryOnRing)
	}
	i.byID[entry.ID] = entry
}

// Remove deletes the entry with an id, if there is one.
func (i *Index[V]) Remove(id string) {
	entry, listed := i.byID[id]
	if !listed {
		return
	}
	delete(i.byID, id)
	ring := i.rings[entry.ServiceZone]
	index, _ := slices.BinarySearchFunc(ring, ringEntry{PositionOf(id), id}, compareRingEntries)
	i.rings[entry.ServiceZone] = slices.Delete(ring, index, index+1)
	if len(i.rings[entry.ServiceZone]) == 0 {
		delete(i.rings, entry.ServiceZone)
	}
}

// Totals returns the rounded number of runners per service and zone.
func (i *Index[V]) Totals() Totals {
	totals := make(Totals, len(i.rings))
	for key, ring := range i.rings {
		totals[key] = Round(len(ring))
	}
	return totals
}

// Select returns the entries in a subset, in no particular order.
func (i *Index[V]) Select(subset *Subset) []ListedRunner[V] {
	var list []ListedRunner[V]
	for key, ring := range i.rings {
		for _, selected := range selectFromRing(ring, subset, key) {
			list = append(list, i.byID[selected.id])
		}
	}
	return list
}

// selectFromRing returns the entries of a ring that are in a subset. The key is the service
// and zone of the ring. The result may share memory with the ring.
func selectFromRing(ring []ringEntry, subset *Subset, key ServiceZone) []ringEntry {
	nodeArc, counted := subset.arcs[key]
	if !counted || nodeArc.full {
		return ring
	}
	from := indexAtOrAfter(ring, nodeArc.start)
	end := nodeArc.start + nodeArc.length
	to := indexAtOrAfter(ring, end)
	if end >= nodeArc.start {
		return ring[from:to]
	}
	return append(slices.Clone(ring[from:]), ring[:to]...) // the arc wraps around the largest position
}

// indexAtOrAfter returns the index of the first entry of a ring at or after a position, or
// the length of the ring if there is none.
func indexAtOrAfter(ring []ringEntry, position uint64) int {
	index, _ := slices.BinarySearchFunc(ring, position, func(entry ringEntry, wanted uint64) int { return cmp.Compare(entry.position, wanted) })
	return index
}
