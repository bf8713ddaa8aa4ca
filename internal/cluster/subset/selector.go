package subset

// Selector picks one node's draw from the entries of all runners. It is not safe for
// concurrent use.
type Selector[V any] struct {
	interest Interest
	index    *Index[V]
	subset   *Subset
}

// DrawChange is what changes in what a node knows.
type DrawChange[V any] struct {
	// Whole: Put is all that the node knows from now on.
	Whole   bool
	Put     []ListedRunner[V]
	Removed []string
}

// NewSelector returns a selector that has no runners yet.
func NewSelector[V any](interest Interest) *Selector[V] {
	return &Selector[V]{interest: interest, index: NewIndex[V]()}
}

// Reset takes the list of all runners.
func (s *Selector[V]) Reset(entries []ListedRunner[V]) DrawChange[V] {
	s.index = NewIndex[V]()
	for _, entry := range entries {
		s.index.Put(entry)
	}
	return s.whole()
}

// Apply takes changes: entries put, and ids removed.
func (s *Selector[V]) Apply(put []ListedRunner[V], removed []string) DrawChange[V] {
	for _, entry := range put {
		s.index.Put(entry)
	}
	for _, id := range removed {
		s.index.Remove(id)
	}
	if s.subset == nil || !Compute(s.interest, s.index.Totals()).Equal(s.subset) {
		return s.whole()
	}
	change := DrawChange[V]{Removed: removed}
	for _, entry := range put {
		if s.subset.Contains(entry.ServiceZone, PositionOf(entry.ID)) {
			change.Put = append(change.Put, entry)
		}
	}
	return change
}

// Want changes how many runners are wanted. It reports false if that is nothing new.
func (s *Selector[V]) Want(interest Interest) (DrawChange[V], bool) {
	if interest == s.interest {
		return DrawChange[V]{}, false
	}
	s.interest = interest
	return s.whole(), true
}

// Totals returns how many runners there are, rounded.
func (s *Selector[V]) Totals() Totals { return s.index.Totals() }

func (s *Selector[V]) whole() DrawChange[V] {
	s.subset = Compute(s.interest, s.index.Totals())
	return DrawChange[V]{Whole: true, Put: s.index.Select(s.subset)}
}
