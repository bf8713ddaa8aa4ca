package quarantine

import (
	"cmp"
	"slices"
	"time"
)

// Cases are what is known of suspected parts when holds are decided, confirmed or lifted. They are
// computed from the table; partdecision.go contains the rules.

// Decide returns the cases of the parts that have to be held now, in the order in which they
// are held. Held reports whether a part or a request is held already. A node that observed no ending under a
// part decides to hold it only remoteDecisionDelay after the last one: it may lack evidence for
// the part until then, and the nodes that observed one may be gone after it.
func (t *PartTable) Decide(held func(Fingerprint) bool, now time.Time) []*partCase {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	explained := map[string]bool{}
	var open []*partSuspect
	for fingerprint, entry := range t.suspects {
		switch {
		case held(fingerprint):
			markExplained(explained, entry.endings)
		case !entry.explainedByRequest(held):
			open = append(open, entry)
		}
	}
	var decided []*partCase
	for {
		next := nextPartToHold(t.casesOf(open, explained, now))
		if next == nil {
			return decided
		}
		if suspect := t.suspects[next.part.Fingerprint]; suspect.local || now.Sub(suspect.lastEnding) >= remoteDecisionDelay {
			decided = append(decided, next)
		}
		markExplained(explained, next.endings)
		open = slices.DeleteFunc(open, func(entry *partSuspect) bool { return entry.part.Fingerprint == next.part.Fingerprint })
	}
}

// Breadth returns the sum of the weights of all endings under a part, of which this node observed
// any, without those that other held parts explain; 0 if it observed none.
func (t *PartTable) Breadth(part Fingerprint, held func(Fingerprint) bool, now time.Time) float64 {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	entry := t.suspects[part]
	if entry == nil || !entry.local {
		return 0
	}
	explained := map[string]bool{}
	for fingerprint, other := range t.suspects {
		if other != entry && held(fingerprint) {
			markExplained(explained, other.endings)
		}
	}
	return t.breadth(entry, explained, now)
}

// breadth returns the sum of the weights of the endings under a part that are not explained. The
// caller holds the mutex.
func (t *PartTable) breadth(entry *partSuspect, explained map[string]bool, now time.Time) float64 {
	sum := 0.0
	for runner, ending := range entry.endings {
		if !explained[runner] {
			sum += t.background.weight(&ending, entry.has, now)
		}
	}
	return sum
}

// Explained returns a held part whose endings, of which this node observed any, are all
// explained by other held parts, and whether there is one. Of several it returns the one with
// the fewest endings.
func (t *PartTable) Explained(held func(Fingerprint) bool) (Fingerprint, bool) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	var suspects []*partSuspect
	for fingerprint, entry := range t.suspects {
		if held(fingerprint) {
			suspects = append(suspects, entry)
		}
	}
	slices.SortFunc(suspects, func(a, b *partSuspect) int {
		return cmp.Or(cmp.Compare(len(a.endings), len(b.endings)), cmp.Compare(a.part.Fingerprint, b.part.Fingerprint))
	})
	for _, entry := range suspects {
		var others []map[string]observedEnding
		for _, other := range suspects {
			if other != entry {
				others = append(others, other.endings)
			}
		}
		if entry.local && explainedByOthers(entry.endings, others) {
			return entry.part.Fingerprint, true
		}
	}
	return 0, false
}

func markExplained(explained map[string]bool, endings map[string]observedEnding) {
	for runner := range endings {
		explained[runner] = true
	}
}

// casesOf returns the cases of the parts that are not held. The caller holds the mutex.
func (t *PartTable) casesOf(open []*partSuspect, explained map[string]bool, now time.Time) []*partCase {
	cases := make([]*partCase, 0, len(open))
	for _, entry := range open {
		entry.expire(now)
		if len(entry.failures) == 0 {
			continue
		}
		last := entry.failures[len(entry.failures)-1].environment
		_, proven := t.completions.last(entry.part.Fingerprint, last, now)
		found := &partCase{part: entry.part, failures: len(entry.failures), endings: entry.endings, proven: proven, environment: last}
		for i := range entry.failures {
			weight := t.background.weight(&entry.failures[i].observedEnding, entry.has, now)
			found.evidence += weight
			if runner := entry.failures[i].runner; !explained[runner] {
				found.unexplained = append(found.unexplained, runner)
				found.unexplainedEvidence += weight
			}
		}
		found.breadth = t.breadth(entry, explained, now)
		if len(found.unexplained) > 0 {
			cases = append(cases, found)
		}
	}
	return cases
}
