package quarantine

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

// maxSuspects and maxHolds bound the memory of a table: a suspect takes about 200
// bytes, a hold about 100. The oldest entries are evicted.
const (
	maxSuspects = 4096
	maxHolds    = 1024
)

// suspect is a request that one or more runners were running when they ended.
type suspect struct {
	// endings contains the time of each ending, by runner.
	endings map[string]time.Time
	// last is the time when the latest ending was recorded.
	last time.Time
	// local is set if this node observed one of the endings.
	local bool
}

// EndingOutcome is the result of recording an ending.
type EndingOutcome struct {
	// Counted is set if the ending was new and counts against the request.
	Counted bool
	// Hold is the hold that the ending caused; nil if it caused none.
	Hold *Hold
	// Local is set if this node observed one of the endings that led to the hold.
	Local bool
}

// SuspectTable contains the suspects and holds known to one node. It is safe for
// concurrent use.
//
// Invariants: a hold is replaced only by one that supersedes it; once a request is
// held, the endings that led to the hold count against another request only if that
// one may be their cause as well (mayBeCause).
type SuspectTable struct {
	mutex    sync.Mutex
	suspects map[Fingerprint]*suspect
	holds    map[Fingerprint]Hold
	// attributed contains the runners whose end is attributed to a held request, with
	// the time of that decision.
	attributed map[string]time.Time
	// held is an immutable copy of holds, and suspected contains the keys of suspects.
	// Checks of a request read these without locking the mutex.
	held      atomic.Pointer[map[Fingerprint]Hold]
	suspected sync.Map
}

// NewSuspectTable returns an empty table.
func NewSuspectTable() *SuspectTable {
	t := &SuspectTable{suspects: map[Fingerprint]*suspect{}, holds: map[Fingerprint]Hold{}, attributed: map[string]time.Time{}}
	t.publish()
	return t
}

// publish copies the holds for readers. The caller holds the mutex or is the only
// user of the table.
func (t *SuspectTable) publish() {
	holds := maps.Clone(t.holds)
	t.held.Store(&holds)
}

// Held reports whether a request is held, and for how much longer.
func (t *SuspectTable) Held(fingerprint Fingerprint, now time.Time) (time.Duration, bool) {
	hold, known := (*t.held.Load())[fingerprint]
	if !known {
		return 0, false
	}
	left := time.Duration(hold.Until-now.UnixMilli()) * time.Millisecond
	return left, left > 0
}

// Suspected reports whether a request has recorded endings or a hold. The completion
// of such a request has to be reported to other nodes (Clear).
func (t *SuspectTable) Suspected(fingerprint Fingerprint) bool {
	if _, suspected := t.suspected.Load(fingerprint); suspected {
		return true
	}
	_, held := (*t.held.Load())[fingerprint]
	return held
}

// RecordEnding records that a runner ended while it ran a request; local states that
// this node observed it.
func (t *SuspectTable) RecordEnding(fingerprint Fingerprint, runner string, local bool, now time.Time) EndingOutcome {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	known := t.suspects[fingerprint]
	if _, attributed := t.attributed[runner]; attributed && !known.mayBeCause() {
		return EndingOutcome{}
	}
	if known == nil {
		t.evictOldest()
		known = &suspect{endings: map[string]time.Time{}}
		t.suspects[fingerprint] = known
		t.suspected.Store(fingerprint, true)
	}
	maps.DeleteFunc(known.endings, func(_ string, at time.Time) bool { return now.Sub(at) > endingTTL })
	if _, counted := known.endings[runner]; counted {
		return EndingOutcome{}
	}
	known.endings[runner], known.last = now, now
	known.local = known.local || local
	last := t.holds[fingerprint]
	if !mustHold(len(known.endings), last, now) {
		return EndingOutcome{Counted: true}
	}
	hold := nextHold(fingerprint, last, now)
	t.putHold(hold)
	t.publish()
	t.attribute(known.endings, now)
	return EndingOutcome{Counted: true, Hold: &hold, Local: known.local}
}

// mayBeCause reports whether endings that are attributed to another request count
// against this one too.
func (s *suspect) mayBeCause() bool { return s != nil && mayBeCause(len(s.endings)) }

// attribute attributes endings to the request that is held for them and removes them
// from all bystanders. The caller holds the mutex.
func (t *SuspectTable) attribute(endings map[string]time.Time, now time.Time) {
	maps.DeleteFunc(t.attributed, func(_ string, at time.Time) bool { return now.Sub(at) > endingTTL })
	for runner := range endings {
		t.attributed[runner] = now
	}
	for fingerprint, other := range t.suspects {
		if other.mayBeCause() {
			continue
		}
		maps.DeleteFunc(other.endings, func(runner string, _ time.Time) bool {
			_, attributed := t.attributed[runner]
			return attributed
		})
		if len(other.endings) == 0 {
			t.removeSuspect(fingerprint)
		}
	}
}

// evictOldest removes the suspect whose last ending is the oldest if the table is
// full. The caller holds the mutex.
func (t *SuspectTable) evictOldest() {
	if len(t.suspects) < maxSuspects {
		return
	}
	var oldest Fingerprint
	var at time.Time
	for fingerprint, known := range t.suspects {
		if at.IsZero() || known.last.Before(at) {
			oldest, at = fingerprint, known.last
		}
	}
	t.removeSuspect(oldest)
}

// removeSuspect removes a suspect. The caller holds the mutex.
func (t *SuspectTable) removeSuspect(fingerprint Fingerprint) {
	delete(t.suspects, fingerprint)
	t.suspected.Delete(fingerprint)
}

// putHold stores a hold and evicts the one decided first if there are too many. The
// caller holds the mutex.
func (t *SuspectTable) putHold(hold Hold) {
	t.holds[hold.Fingerprint] = hold
	if len(t.holds) <= maxHolds {
		return
	}
	oldest := hold
	for _, other := range t.holds {
		if oldest.supersedes(other) {
			oldest = other
		}
	}
	delete(t.holds, oldest.Fingerprint)
}

// ApplyHold stores a hold that was decided elsewhere and reports whether it is new to
// this table.
func (t *SuspectTable) ApplyHold(hold Hold) bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if known, found := t.holds[hold.Fingerprint]; found && !hold.supersedes(known) {
		return false
	}
	t.putHold(hold)
	t.publish()
	return true
}

// Clear removes the endings of a request that a runner has completed and lifts its
// hold. It returns the lifted hold; nil if there was none.
func (t *SuspectTable) Clear(fingerprint Fingerprint, now time.Time) *Hold {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.removeSuspect(fingerprint)
	return t.lift(fingerprint, now)
}

// Lift ends the hold of a request and returns the lifted hold; nil if there was none.
func (t *SuspectTable) Lift(fingerprint Fingerprint, now time.Time) *Hold {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.lift(fingerprint, now)
}

func (t *SuspectTable) lift(fingerprint Fingerprint, now time.Time) *Hold {
	lifted, active := liftedHold(t.holds[fingerprint], now)
	if !active {
		return nil
	}
	t.putHold(lifted)
	t.publish()
	return &lifted
}

// Holds lists the active holds, the latest decided first. A lifted hold is included
// for as long as another node might still have the hold that it ended.
func (t *SuspectTable) Holds(now time.Time) []Hold {
	var list []Hold
	for _, hold := range *t.held.Load() {
		if hold.Until > now.UnixMilli() || hold.Until == 0 && hold.Decided > now.Add(-maxHoldDuration).UnixMilli() {
			list = append(list, hold)
		}
	}
	slices.SortFunc(list, func(a, b Hold) int {
		return cmp.Or(cmp.Compare(b.Decided, a.Decided), cmp.Compare(a.Fingerprint, b.Fingerprint))
	})
	return list
}

// Counts returns the number of suspects and the number of held requests.
func (t *SuspectTable) Counts(now time.Time) (suspected, held int) {
	for _, hold := range *t.held.Load() {
		if hold.Until > now.UnixMilli() {
			held++
		}
	}
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return len(t.suspects), held
}
