// Package platform emulates the services that a plain node uses: the key-value service
// (the JSON gateway of etcd v3), the lists of machines and runners (the JSON format of
// Prometheus HTTP service discovery, with a delay), and a weight store with a rate limit.
// It can be unavailable or slow, and lose the response to a transaction that took effect.
// Package standin emulates the other store, which the roles edge and storage use.
package platform

import (
	"sort"
	"strings"
	"sync"
)

// keyValue is a stored key with its value and revisions.
type keyValue struct {
	Key            []byte `json:"key"`
	Value          []byte `json:"value"`
	ModRevision    int64  `json:"mod_revision,string"`
	CreateRevision int64  `json:"create_revision,string"`
	Version        int64  `json:"version,string"`
}

// change is the new value of a key at a revision.
type change struct {
	revision int64
	kv       keyValue
}

// store is a map with revisions, and a history for watches.
type store struct {
	mutex    sync.Mutex
	revision int64
	values   map[string]keyValue
	history  []change
	changed  chan struct{}
}

func newStore() *store {
	return &store{values: map[string]keyValue{}, changed: make(chan struct{}), revision: 1}
}

// scan returns the entries in the range and the revision. The range is [from, to) in
// key order; an empty to selects the key from alone, and "\x00" all keys from there on.
func (s *store) scan(from, to string) ([]keyValue, int64) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	var found []keyValue
	for key, value := range s.values {
		if inRange(key, from, to) {
			found = append(found, value)
		}
	}
	sort.Slice(found, func(i, j int) bool { return string(found[i].Key) < string(found[j].Key) })
	return found, s.revision
}

func inRange(key, from, to string) bool {
	if to == "" {
		return key == from
	}
	return key >= from && (to == "\x00" || strings.Compare(key, to) < 0)
}

// comparison requires that a key has a revision; 0 stands for an absent key.
type comparison struct {
	key      string
	revision int64
}

type write struct {
	key   string
	value []byte
}

// commit applies all writes if all comparisons match. It reports whether they match,
// and the revision.
func (s *store) commit(comparisons []comparison, writes []write) (bool, int64) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for _, compared := range comparisons {
		if s.values[compared.key].ModRevision != compared.revision {
			return false, s.revision
		}
	}
	if len(writes) == 0 {
		return true, s.revision
	}
	s.revision++
	for _, w := range writes {
		s.put(w)
	}
	close(s.changed)
	s.changed = make(chan struct{})
	return true, s.revision
}

// put writes a key at the current revision. The caller holds the mutex.
func (s *store) put(w write) {
	kv := s.values[w.key]
	if kv.CreateRevision == 0 {
		kv.CreateRevision = s.revision
	}
	kv.Key, kv.Value, kv.ModRevision = []byte(w.key), w.value, s.revision
	kv.Version++
	s.values[w.key] = kv
	s.history = append(s.history, change{s.revision, kv})
}

// changesSince returns the changes in [from, to) at or after a revision, the current
// revision, and a channel that is closed at the next change.
func (s *store) changesSince(revision int64, from, to string) ([]keyValue, int64, chan struct{}) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	start := sort.Search(len(s.history), func(i int) bool { return s.history[i].revision >= revision })
	var found []keyValue
	for _, item := range s.history[start:] {
		if inRange(string(item.kv.Key), from, to) {
			found = append(found, item.kv)
		}
	}
	return found, s.revision, s.changed
}
