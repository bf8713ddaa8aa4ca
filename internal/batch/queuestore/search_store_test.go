package queuestore

import (
	"context"
	"sync"
	"time"

	"cobaltramp.example/cobaltramp/internal/cluster/ports"
)

// commitFate is what happens to a commit in a searchStore.
type commitFate int

const (
	// fateAnswered: the store does the write and answers.
	fateAnswered commitFate = iota
	// fateAnswerLost: the store does the write at once, and the answer is lost.
	fateAnswerLost
	// fateLate: the answer is lost, and the store does the write after lateWrite if the
	// condition still holds.
	fateLate
	// fateRefused: the store is busy and does nothing.
	fateRefused
	commitFates
)

// lateWrite is the delay of a write with fateLate.
const lateWrite = 2200 * time.Millisecond

// searchStore is the platform's store of a searchWorld: a linearizable register for each key
// whose answers to single nodes may be late, lost or stale.
type searchStore struct {
	world *searchWorld

	mutex    sync.Mutex
	values   map[string]ports.Value
	history  []storedVersion
	revision int64

	// allAway is set while no node reaches the store, and away holds the nodes that do not.
	// hanging makes calls that fail wait until their context ends.
	allAway bool
	away    map[string]bool
	hanging bool
	// delay is the time of an answer, fate that of commits, and staleness the age of the
	// contents that a read may return.
	delay     time.Duration
	fate      commitFate
	staleness time.Duration
}

type storedVersion struct {
	value ports.Value
	at    time.Time
}

func newSearchStore(world *searchWorld) *searchStore {
	return &searchStore{world: world, values: map[string]ports.Value{}, away: map[string]bool{}}
}

// whole reports whether the store answers all nodes at once.
func (s *searchStore) whole() bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return !s.allAway && len(s.away) == 0 && s.delay == 0 && s.fate == fateAnswered && s.staleness == 0
}

// heal ends all faults of the store.
func (s *searchStore) heal() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.allAway, s.hanging = false, false
	clear(s.away)
	s.delay, s.fate, s.staleness = 0, fateAnswered, 0
}

// set changes the store's faults under its mutex.
func (s *searchStore) set(change func()) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	change()
}

func (s *searchStore) reaches(node string) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return !s.allAway && !s.away[node]
}

// commit does a write if its condition holds.
func (s *searchStore) commit(condition ports.Condition, put ports.Put) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.values[condition.Key].Revision != condition.Revision {
		return false
	}
	s.revision++
	value := ports.Value{Key: put.Key, Value: put.Value, Revision: s.revision}
	s.values[put.Key] = value
	s.history = append(s.history, storedVersion{value, time.Now()})
	s.world.logf("stored %s rev %d: %s", put.Key, s.revision, put.Value)
	return true
}

// all returns the newest values.
func (s *searchStore) all() []ports.Value {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	var list []ports.Value
	for _, value := range s.values {
		list = append(list, value)
	}
	return list
}

// read returns a value that was the newest one at some time within staleness.
func (s *searchStore) read(key string) (ports.Value, bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.staleness == 0 {
		value, found := s.values[key]
		return value, found
	}
	var value ports.Value
	found := false
	for _, version := range s.history {
		if version.value.Key == key && time.Since(version.at) >= s.staleness {
			value, found = version.value, true
		}
	}
	return value, found
}

// nodeStore is the store as one run of a node sees it.
type nodeStore struct {
	store *searchStore
	run   *nodeRun
}

// enter waits for the delay of an answer, and returns an error if the node does not reach the
// store.
func (s nodeStore) enter(ctx context.Context) error {
	s.run.waitWhileSuspended(ctx)
	s.store.mutex.Lock()
	delay, hanging := s.store.delay, s.store.hanging
	s.store.mutex.Unlock()
	if delay == 0 {
		delay = time.Millisecond
	}
	if !s.store.reaches(s.run.node.name) && hanging {
		<-ctx.Done()
	}
	select {
	case <-ctx.Done():
		return ports.ErrUnavailable
	case <-time.After(delay):
	}
	if !s.store.reaches(s.run.node.name) || s.run.dead.Load() {
		return ports.ErrUnavailable
	}
	return nil
}

// Get implements ports.KeyValueStore.
func (s nodeStore) Get(ctx context.Context, key string) (ports.Value, bool, error) {
	if err := s.enter(ctx); err != nil {
		return ports.Value{}, false, err
	}
	value, found := s.store.read(key)
	return value, found, nil
}

// List implements ports.KeyValueStore.
func (nodeStore) List(context.Context, string) ([]ports.Value, int64, error) {
	return nil, 0, ports.ErrUnavailable
}

// Watch implements ports.KeyValueStore.
func (nodeStore) Watch(context.Context, string, int64, func(ports.WatchEvent)) error {
	return ports.ErrUnavailable
}

// Commit implements ports.KeyValueStore.
func (s nodeStore) Commit(ctx context.Context, conditions []ports.Condition, puts []ports.Put) (bool, error) {
	s.store.world.observe(stepBeforeCommit, s.run)
	if err := s.enter(ctx); err != nil {
		return false, err
	}
	s.store.mutex.Lock()
	fate := s.store.fate
	s.store.mutex.Unlock()
	switch fate {
	case fateRefused:
		return false, ports.ErrUnavailable
	case fateLate:
		s.store.world.tasks.Go(func() {
			time.Sleep(lateWrite)
			s.store.commit(conditions[0], puts[0])
		})
		return false, ports.ErrOutcomeUnknown
	}
	done := s.store.commit(conditions[0], puts[0])
	s.store.world.observe(stepStored, s.run)
	if fate == fateAnswerLost || s.run.dead.Load() {
		return false, ports.ErrOutcomeUnknown
	}
	return done, nil
}

// Lost implements StoreContact.
func (s nodeStore) Lost() bool { return !s.run.inContact.Load() }

// Report implements Retirement.
func (s nodeStore) Report(_ context.Context, node string, done bool) {
	s.store.world.recordRetired(node, done)
}
