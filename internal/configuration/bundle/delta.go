package bundle

import (
	"encoding/json"
	"fmt"
	"sort"
)

// Delta is the difference from an older generation to Generation, or, if Full is set,
// the complete generation. Digest is the digest of the complete generation.
type Delta struct {
	Generation uint64     `json:"generation"`
	Digest     string     `json:"digest"`
	Full       bool       `json:"full,omitempty"`
	Changed    []Document `json:"changed"`
	Removed    []Key      `json:"removed,omitempty"`
}

// DeltaFrom returns the difference from an older snapshot to this one. The delta is
// full if older is nil.
func (s *Snapshot) DeltaFrom(older *Snapshot) *Delta {
	delta := &Delta{Generation: s.Generation, Digest: s.Digest, Full: older == nil}
	if older == nil {
		delta.Changed = s.Documents()
		return delta
	}
	for bucket := range s.digests {
		if s.digests[bucket] != older.digests[bucket] {
			delta.addChanges(s.documents.buckets[bucket], older.documents.buckets[bucket])
		}
	}
	Sort(delta.Changed)
	sort.Slice(delta.Removed, func(i, j int) bool { return delta.Removed[i].String() < delta.Removed[j].String() })
	return delta
}

func (d *Delta) addChanges(current, previous map[Key]compiledDocument) {
	for key, compiled := range current {
		if old, existed := previous[key]; !existed || old.hash != compiled.hash {
			d.Changed = append(d.Changed, compiled.document)
		}
	}
	for key := range previous {
		if _, exists := current[key]; !exists {
			d.Removed = append(d.Removed, key)
		}
	}
}

// Apply returns the snapshot that results from applying the delta to this snapshot. It
// returns an error if the result is invalid or does not have the delta's digest. A full
// delta replaces the whole content; the receiver may then be nil. A nil receiver counts
// as an empty snapshot.
func (s *Snapshot) Apply(delta *Delta) (*Snapshot, error) {
	base := s
	if delta.Full || base == nil {
		base = newEmptySnapshot()
	}
	next, err := base.Next(delta.Generation, delta.Changed, delta.Removed)
	if err != nil {
		return nil, err
	}
	if next.Digest != delta.Digest {
		return nil, fmt.Errorf("generation %d: content has digest %s, head says %s", delta.Generation, next.Digest, delta.Digest)
	}
	return next, nil
}

// Encode returns the stored form of the delta.
func (d *Delta) Encode() ([]byte, error) { return json.Marshal(d) }

// DecodeDelta decodes a stored delta.
func DecodeDelta(text []byte) (*Delta, error) {
	var delta Delta
	if err := json.Unmarshal(text, &delta); err != nil {
		return nil, fmt.Errorf("decoding bundle delta: %w", err)
	}
	return &delta, nil
}
