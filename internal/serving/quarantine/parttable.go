package quarantine

import (
	"maps"
	"slices"
	"sync"
	"time"
)

const (
	// maxPartSuspects is the maximum number of parts with endings; at the maximum, the part
	// whose latest ending is the oldest is evicted.
	maxPartSuspects = 1024
	// maxPartEndings is the maximum number of endings that are kept for one part, and
	// maxRequestsPerEnding that of the requests with the part at one runner.
	maxPartEndings       = 256
	maxRequestsPerEnding = 16
)

// partSuspect is the state of a part with endings.
type partSuspect struct {
	part Part
	// endings contains the endings by the runner's start.
	endings  map[string]observedEnding
	failures []failure
	// requests contains the requests with the part that ran at the runners that ended, by the
	// runner's start; at most maxRequestsPerEnding of them.
	requests map[string][]Fingerprint
	// lastEnding is the time at which the latest ending was recorded.
	lastEnding time.Time
	// local is set if this node observed an ending under the part.
	local bool
}

// PartTable contains the parts of prompts under which runners ended, and the completions that
// are evidence for parts. It is safe for concurrent use.
type PartTable struct {
	completions *completionLog
	// background weighs the endings.
	background *background

	mutex    sync.Mutex
	suspects map[Fingerprint]*partSuspect
	// suspected contains the keys of suspects, for checks without the mutex.
	suspected sync.Map
	evicted   uint64
}

// newPartTable returns an empty table.
func newPartTable(background *background) *PartTable {
	return &PartTable{completions: newCompletionLog(), background: background, suspects: map[Fingerprint]*partSuspect{}}
}

// Suspected reports whether runners ended under the part since its last completion.
func (t *PartTable) Suspected(part Fingerprint) bool {
	_, suspected := t.suspected.Load(part)
	return suspected
}

// Counts returns the number of parts with endings, and how many were evicted.
func (t *PartTable) Counts() (suspects int, evicted uint64) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return len(t.suspects), t.evicted
}

// RecordEnding records that a runner ended while it ran work with the part. It returns
// false if the ending is already known, or if the part was completed since the run began.
// Local states that this node observed the ending itself.
func (t *PartTable) RecordEnding(part Part, run Run, work *Work, local bool, now time.Time) bool {
	environment := Environment{work.Service, run.Version}
	completed, known := t.completions.last(part.Fingerprint, environment, now)
	if known && completed.After(run.Began) {
		return false
	}
	t.mutex.Lock()
	defer t.mutex.Unlock()
	entry := t.suspects[part.Fingerprint]
	if entry == nil {
		t.evictOldest()
		entry = &partSuspect{part: part, endings: map[string]observedEnding{}, requests: map[string][]Fingerprint{}}
		t.suspects[part.Fingerprint] = entry
		t.suspected.Store(part.Fingerprint, true)
	}
	entry.local = entry.local || local
	if entry.part.Name == "" {
		entry.part.Name = part.Name
	}
	counted := entry.recordEnding(run, environment, now)
	entry.recordRequest(run.Start, work.Fingerprint)
	return counted
}

// recordRequest records a request that ran at a runner that ended.
func (s *partSuspect) recordRequest(start string, request Fingerprint) {
	known := s.requests[start]
	if _, counted := s.endings[start]; counted && len(known) < maxRequestsPerEnding && !slices.Contains(known, request) {
		s.requests[start] = append(known, request)
	}
}

// explainedByRequest reports whether a single held request ran at each of the runners that ended, so
// that it explains the endings.
func (s *partSuspect) explainedByRequest(held func(Fingerprint) bool) bool {
	var candidates []Fingerprint
	first := true
	for start := range s.endings {
		if first {
			candidates, first = slices.Clone(s.requests[start]), false
			continue
		}
		candidates = slices.DeleteFunc(candidates, func(request Fingerprint) bool { return !slices.Contains(s.requests[start], request) })
	}
	return slices.ContainsFunc(candidates, func(request Fingerprint) bool { return request != 0 && held(request) })
}

// recordEnding implements PartTable.RecordEnding for one part.
func (s *partSuspect) recordEnding(run Run, environment Environment, now time.Time) bool {
	s.expire(now)
	if _, counted := s.endings[run.Start]; counted || len(s.endings) >= maxPartEndings {
		return false
	}
	ending := run.endedAt(now, environment.Service)
	s.endings[run.Start], s.lastEnding = ending, now
	if len(s.failures) == 0 || !run.Began.Before(s.failures[len(s.failures)-1].at) {
		s.failures = append(s.failures, failure{ending, environment})
	}
	return true
}

// expire removes the endings that are older than partEndingTTL.
func (s *partSuspect) expire(now time.Time) {
	maps.DeleteFunc(s.endings, func(_ string, ending observedEnding) bool { return now.Sub(ending.at) > partEndingTTL })
	maps.DeleteFunc(s.requests, func(start string, _ []Fingerprint) bool { return !s.has(start) })
	s.failures = slices.DeleteFunc(s.failures, func(s failure) bool { return now.Sub(s.at) > partEndingTTL })
}

// evictOldest makes room for a part. The caller holds the mutex.
func (t *PartTable) evictOldest() {
	if len(t.suspects) < maxPartSuspects {
		return
	}
	var oldest *partSuspect
	for _, entry := range t.suspects {
		if oldest == nil || entry.lastEnding.Before(oldest.lastEnding) {
			oldest = entry
		}
	}
	t.evicted++
	t.remove(oldest.part.Fingerprint)
}

// remove removes a part. The caller holds the mutex.
func (t *PartTable) remove(part Fingerprint) {
	delete(t.suspects, part)
	t.suspected.Delete(part)
}

// RecordCompletion records that a run of a request with the part was completed in the
// environment at the given time. Earlier endings there no longer count.
func (t *PartTable) RecordCompletion(part Fingerprint, environment Environment, at time.Time) {
	t.completions.record(part, environment, at)
	if !t.Suspected(part) {
		return
	}
	t.mutex.Lock()
	defer t.mutex.Unlock()
	entry := t.suspects[part]
	if entry == nil {
		return
	}
	entry.failures = slices.DeleteFunc(entry.failures, func(s failure) bool { return s.environment == environment && !s.at.After(at) })
	if len(entry.failures) == 0 {
		t.remove(part)
	}
}

// LastCompletion returns when the part was last completed in the environment, and whether
// that is known.
func (t *PartTable) LastCompletion(part Fingerprint, environment Environment, now time.Time) (time.Time, bool) {
	return t.completions.last(part, environment, now)
}

// ReduceFailures keeps so few failures of a part whose hold was lifted, and no other endings, that
// it is held again after one more failure.
func (t *PartTable) ReduceFailures(part Fingerprint) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	entry := t.suspects[part]
	if entry == nil {
		return
	}
	entry.failures = entry.failures[:min(len(entry.failures), failuresToHold-1)]
	clear(entry.endings)
	for i := range entry.failures {
		entry.endings[entry.failures[i].runner] = entry.failures[i].observedEnding
	}
}

// EndingsOf returns the starts of the runners that ended under a part.
func (t *PartTable) EndingsOf(part Fingerprint) []string {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	entry := t.suspects[part]
	if entry == nil {
		return nil
	}
	return slices.Sorted(maps.Keys(entry.endings))
}

// Weight returns the weight of an ending under a part.
func (t *PartTable) Weight(part Fingerprint, ending *observedEnding) float64 {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	entry := t.suspects[part]
	return t.background.weight(ending, entry.has, ending.at)
}

// endingsUnder returns a copy of the endings under a part, by runner.
func (t *PartTable) endingsUnder(part Fingerprint) map[string]observedEnding {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if entry := t.suspects[part]; entry != nil {
		return maps.Clone(entry.endings)
	}
	return nil
}

// has reports whether a runner ended under the part; false if the receiver is nil.
func (s *partSuspect) has(start string) bool {
	if s == nil {
		return false
	}
	_, found := s.endings[start]
	return found
}
