package quarantine

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

// maxSuspects and maxHolds are the maximum numbers of entries of a table; at the maximum
// the oldest entry is evicted. A suspect takes about 200 bytes, a hold about 100.
const (
	maxSuspects = 4096
	maxHolds    = 1024
)

// suspect is the state of a request with endings.
type suspect struct {
	// endings contains the endings by runner.
	endings map[string]observedEnding
	// lastEnding is the time at which the latest ending was recorded.
	lastEnding time.Time
	// local is set if this node observed an ending of the request, even if that ending
	// has expired since.
	local bool
}

// EndingOutcome is the result of recording an ending.
type EndingOutcome struct {
	// Counted is set if the ending was recorded. It is not recorded if it is already
	// known or is attributed to another request only.
	Counted bool
	// Hold is the hold that the ending caused; nil if it caused none.
	Hold *Hold
	// Local is set together with Hold if this node observed an ending of the request.
	Local bool
}

// SuspectTable contains the suspects and holds known to one node. It is safe for
// concurrent use.
//
// Invariants: a hold is replaced only by a hold that supersedes it. The endings that
// led to a hold count against another request only if this request may be their cause
// as well (mayBeCause).
type SuspectTable struct {
	// background weighs the endings.
	background *background

	mutex    sync.Mutex
	suspects map[Fingerprint]*suspect
	holds    map[Fingerprint]Hold
	// attributed contains the runners whose endings are attributed to a held request,
	// and the time of the attribution. When a hold is decided, entries older than
	// endingTTL are removed.
	attributed map[string]time.Time
	// publishedHolds is an immutable copy of holds, and suspectedFingerprints contains
	// the keys of suspects. Checks of a request read them without locking the mutex.
	publishedHolds        atomic.Pointer[map[Fingerprint]Hold]
	suspectedFingerprints sync.Map
}

// NewSuspectTable returns an empty table in which all endings count in full.
func NewSuspectTable() *SuspectTable { return newSuspectTable(newBackground()) }

// newSuspectTable returns an empty table.
func newSuspectTable(background *background) *SuspectTable {
	t := &SuspectTable{background: background, suspects: map[Fingerprint]*suspect{}, holds: map[Fingerprint]Hold{}, attributed: map[string]time.Time{}}
	t.publish()
	return t
}

// publish updates publishedHolds. The caller holds the mutex or is the only user of the
// table.
func (t *SuspectTable) publish() {
	holds := maps.Clone(t.holds)
	t.publishedHolds.Store(&holds)
}

// Held reports whether a request is held. If it is, the duration is the time until the
// hold expires.
func (t *SuspectTable) Held(fingerprint Fingerprint, now time.Time) (time.Duration, bool) {
	_, remaining := t.activeHold(fingerprint, now)
	return remaining, remaining > 0
}

// activeHold returns the hold of a request or a part, and the time until it expires, which is
// not positive if there is no active hold.
func (t *SuspectTable) activeHold(fingerprint Fingerprint, now time.Time) (Hold, time.Duration) {
	hold := t.holdOf(fingerprint)
	return hold, time.Duration(hold.Until-now.UnixMilli()) * time.Millisecond
}

// holdOf returns the last hold of a request or a part; the zero Hold if there was none.
func (t *SuspectTable) holdOf(fingerprint Fingerprint) Hold {
	return (*t.publishedHolds.Load())[fingerprint]
}

// Suspected reports whether the table contains endings or a hold of a request, also if
// these have expired or the hold was lifted.
func (t *SuspectTable) Suspected(fingerprint Fingerprint) bool {
	if _, suspected := t.suspectedFingerprints.Load(fingerprint); suspected {
		return true
	}
	_, held := (*t.publishedHolds.Load())[fingerprint]
	return held
}

// RecordEnding records that a runner ended while it ran a request, and holds the request
// if this was the last ending that a hold requires (mustHold). Local states that this
// node observed the ending itself.
func (t *SuspectTable) RecordEnding(fingerprint Fingerprint, ending observedEnding, local bool) EndingOutcome {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	entry, now := t.suspects[fingerprint], ending.at
	if _, attributed := t.attributed[ending.runner]; attributed && !entry.mayBeCause() {
		return EndingOutcome{}
	}
	if entry == nil {
		t.evictOldest()
		entry = &suspect{endings: map[string]observedEnding{}}
		t.suspects[fingerprint] = entry
		t.suspectedFingerprints.Store(fingerprint, true)
	}
	maps.DeleteFunc(entry.endings, func(_ string, earlier observedEnding) bool { return now.Sub(earlier.at) > endingTTL })
	if _, counted := entry.endings[ending.runner]; counted {
		return EndingOutcome{}
	}
	entry.endings[ending.runner], entry.lastEnding = ending, now
	entry.local = entry.local || local
	previous, evidence := t.holds[fingerprint], t.evidenceOf(entry, now)
	disturbed := t.background.disturbed(ending.service, entry.endings, now)
	hold, decided := previous.confirmedBy(evidence, disturbed, now)
	if !decided && mustHold(evidence, previous, now) {
		hold, decided = nextHold(fingerprint, evidence, previous, disturbed, now), true
	}
	if !decided {
		return EndingOutcome{Counted: true}
	}
	t.putHold(hold)
	t.publish()
	t.attribute(entry.endings, now)
	if !hold.Provisional {
		t.background.explain(slices.Collect(maps.Keys(entry.endings)))
	}
	return EndingOutcome{Counted: true, Hold: &hold, Local: entry.local}
}

// evidenceOf returns the sum of the weights of a suspect's endings. The caller holds the mutex.
func (t *SuspectTable) evidenceOf(entry *suspect, now time.Time) float64 {
	return t.background.evidenceOf(slices.Collect(maps.Values(entry.endings)), now)
}

// Weight returns the weight of an ending that counts against a request.
func (t *SuspectTable) Weight(fingerprint Fingerprint, ending *observedEnding) float64 {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.background.weight(ending, t.suspects[fingerprint].has, ending.at)
}

// mayCause reports whether a request ended almost as many runners as a hold requires, so that it may
// be what ends them.
func (t *SuspectTable) mayCause(fingerprint Fingerprint) bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.suspects[fingerprint].mayBeCause()
}

// endingsUnder returns a copy of the endings under a request, by runner.
func (t *SuspectTable) endingsUnder(fingerprint Fingerprint) map[string]observedEnding {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if entry := t.suspects[fingerprint]; entry != nil {
		return maps.Clone(entry.endings)
	}
	return nil
}

// has reports whether a runner ended under the request; false if the receiver is nil.
func (s *suspect) has(start string) bool {
	if s == nil {
		return false
	}
	_, found := s.endings[start]
	return found
}

// mayBeCause reports whether endings that are attributed to another request count
// against this request too; false if the receiver is nil.
func (s *suspect) mayBeCause() bool { return s != nil && mayBeCause(len(s.endings)) }

// attribute records that the endings are attributed to a held request and removes all
// attributed endings from bystanders. The caller holds the mutex.
func (t *SuspectTable) attribute(endings map[string]observedEnding, now time.Time) {
	maps.DeleteFunc(t.attributed, func(_ string, at time.Time) bool { return now.Sub(at) > endingTTL })
	for runner := range endings {
		t.attributed[runner] = now
	}
	for fingerprint, other := range t.suspects {
		if other.mayBeCause() {
			continue
		}
		maps.DeleteFunc(other.endings, func(runner string, _ observedEnding) bool {
			_, attributed := t.attributed[runner]
			return attributed
		})
		if len(other.endings) == 0 {
			t.removeSuspect(fingerprint)
		}
	}
}

// Explain attributes endings to a held part of prompts. The hold of a request all of whose endings
// are among them is lifted, and if the part's hold is confirmed, the request is no longer
// suspected. This does not concern a request that ended the runner of a trial. Explain returns the lifted holds of requests of which this node observed an ending.
func (t *SuspectTable) Explain(runners []string, confirmed bool, now time.Time) []Hold {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if confirmed {
		t.background.explain(runners)
	}
	explained := map[string]bool{}
	for _, runner := range runners {
		t.attributed[runner], explained[runner] = now, true
	}
	var distributed []Hold
	for fingerprint, entry := range t.suspects {
		if !entry.isExplained(explained) || t.holds[fingerprint].hasFailedTrial(now) {
			continue
		}
		if confirmed {
			t.removeSuspect(fingerprint)
		}
		if lifted := t.lift(fingerprint, now); lifted != nil && entry.local {
			distributed = append(distributed, *lifted)
		}
	}
	return distributed
}

// isExplained reports whether all endings of a suspect are among the given ones.
func (s *suspect) isExplained(explained map[string]bool) bool {
	for runner := range s.endings {
		if !explained[runner] {
			return false
		}
	}
	return true
}

// evictOldest makes room for a suspect: if there are maxSuspects, it removes the suspect
// whose latest ending is the oldest. The caller holds the mutex.
func (t *SuspectTable) evictOldest() {
	if len(t.suspects) < maxSuspects {
		return
	}
	var oldest Fingerprint
	var oldestEnding time.Time
	for fingerprint, entry := range t.suspects {
		if oldestEnding.IsZero() || entry.lastEnding.Before(oldestEnding) {
			oldest, oldestEnding = fingerprint, entry.lastEnding
		}
	}
	t.removeSuspect(oldest)
}

// removeSuspect removes a suspect. The caller holds the mutex.
func (t *SuspectTable) removeSuspect(fingerprint Fingerprint) {
	delete(t.suspects, fingerprint)
	t.suspectedFingerprints.Delete(fingerprint)
}

// putHold stores a hold. If there are then more than maxHolds, it evicts the hold that
// was decided first, which may be the new hold, and the hold of a part only if there is no
// other. The caller holds the mutex.
func (t *SuspectTable) putHold(hold Hold) {
	t.holds[hold.Fingerprint] = hold
	if len(t.holds) <= maxHolds {
		return
	}
	oldest := hold
	for _, other := range t.holds {
		if isPart, otherIsPart := oldest.Part != "", other.Part != ""; isPart && !otherIsPart || isPart == otherIsPart && oldest.supersedes(other) {
			oldest = other
		}
	}
	delete(t.holds, oldest.Fingerprint)
}

// ApplyHold stores a hold from another node or from the store. It returns false, and
// stores nothing, if the table has the same hold or one that supersedes it.
func (t *SuspectTable) ApplyHold(hold Hold) bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if current, found := t.holds[hold.Fingerprint]; found && !hold.supersedes(current) {
		return false
	}
	t.putHold(hold)
	t.publish()
	return true
}

// Clear removes the endings of a request that a runner has completed, and lifts the
// request's hold. It returns the lifted hold; nil if there was no hold to lift.
func (t *SuspectTable) Clear(fingerprint Fingerprint, now time.Time) *Hold {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.removeSuspect(fingerprint)
	return t.lift(fingerprint, now)
}

// Lift lifts the hold of a request, even if the hold has expired. It returns the lifted
// hold; nil if there was no hold to lift.
func (t *SuspectTable) Lift(fingerprint Fingerprint, now time.Time) *Hold {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.lift(fingerprint, now)
}

// lift implements Lift. The caller holds the mutex.
func (t *SuspectTable) lift(fingerprint Fingerprint, now time.Time) *Hold {
	lifted, active := liftedHold(t.holds[fingerprint], now)
	if !active {
		return nil
	}
	t.putHold(lifted)
	t.publish()
	return &lifted
}

// Holds lists the active holds and the lifted holds, the latest decided first. It omits
// a lifted hold maxHoldDuration after it was lifted: by then the original hold has expired
// on nodes that did not receive the lifted hold.
func (t *SuspectTable) Holds(now time.Time) []Hold {
	var list []Hold
	for _, hold := range *t.publishedHolds.Load() {
		if hold.Until > now.UnixMilli() || hold.Until == 0 && hold.Decided > now.Add(-maxHoldDuration).UnixMilli() {
			list = append(list, hold)
		}
	}
	slices.SortFunc(list, func(a, b Hold) int {
		return cmp.Or(cmp.Compare(b.Decided, a.Decided), cmp.Compare(a.Fingerprint, b.Fingerprint))
	})
	return list
}

// Counts returns the number of requests with endings and the number of active holds.
func (t *SuspectTable) Counts(now time.Time) (suspected, held int) {
	for _, hold := range *t.publishedHolds.Load() {
		if hold.Until > now.UnixMilli() {
			held++
		}
	}
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return len(t.suspects), held
}
