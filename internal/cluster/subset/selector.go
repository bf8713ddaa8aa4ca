package subset

// Selector filters the list of all runners down to the subset of one node. It is not
// safe for concurrent use.
type Selector[V any] struct {
	interest Interest
	index    *Index[V]
	subset   *Subset
}

// Change describes an update of the runners that a node knows.
type Change[V any] struct {
	// Full marks a change whose Put is the complete new subset and replaces the old one.
	Full bool
	// Put lists the inserted or replaced runners.
	Put []ListedRunner[V]
	// Removed lists the ids of removed runners. Some may not have been in the subset.
	Removed []string
}

// NewSelector returns a selector without runners for a node with the given interest.
func NewSelector[V any](interest Interest) *Selector[V] {
	return &Selector[V]{interest: interest, index: NewIndex[V]()}
}

// Reset replaces the list of all runners and returns the node's new subset.
func (s *Selector[V]) Reset(entries []ListedRunner[V]) Change[V] {
	s.index = NewIndex[V]()
	for _, entry := range entries {
		s.index.Put(entry)
	}
	return s.recompute()
}

// Apply inserts or replaces the put entries, then removes the runners with the removed ids.
// It returns the resulting change of the node's subset, which is full if an arc of the node
// changed or no subset was computed before.
func (s *Selector[V]) Apply(put []ListedRunner[V], removed []string) Change[V] {
	for _, entry := range put {
		s.index.Put(entry)
	}
	for _, id := range removed {
		s.index.Remove(id)
	}
	if s.subset == nil || !Compute(s.interest, s.index.Totals()).Equal(s.subset) {
		return s.recompute()
	}
	change := Change[V]{Removed: removed}
	for _, entry := range put {
		if s.subset.Contains(entry.ServiceZone, PositionOf(entry.ID)) {
			change.Put = append(change.Put, entry)
		}
	}
	return change
}

// SetInterest replaces the node's interest and returns the new subset as a full change. If
// the interest is unchanged, it returns an empty change and false.
func (s *Selector[V]) SetInterest(interest Interest) (Change[V], bool) {
	if interest == s.interest {
		return Change[V]{}, false
	}
	s.interest = interest
	return s.recompute(), true
}

// Totals returns the rounded number of all runners per service and zone.
func (s *Selector[V]) Totals() Totals { return s.index.Totals() }

// recompute determines the subset anew from the current interest and totals.
func (s *Selector[V]) recompute() Change[V] {
	s.subset = Compute(s.interest, s.index.Totals())
	return Change[V]{Full: true, Put: s.index.Select(s.subset)}
}
