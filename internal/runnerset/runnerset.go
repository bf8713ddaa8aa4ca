// Package runnerset holds the runners the platform lists, what this node knows
// of each (own requests in flight, the load it told, failures, speed), and the
// choice among them. Readers use an atomically swapped snapshot.
package runnerset

import (
	"sort"
	"sync"
	"sync/atomic"
	"time"

	"cobaltramp.example/cobaltramp/internal/exchange"
)

// Record is a runner as the platform lists it. Each start of a runner is a new
// record with a new ID.
type Record struct {
	ID      string
	Service string
	Address string
	Zone    string
	Slots   int
	// Leaving, as it was when the runner was first listed; see Runner.Takes.
	Leaving bool
	// ColdUntil is when the runner is at full speed.
	ColdUntil time.Time
}

// Runner is a listed runner with what this node knows of it.
type Runner struct {
	Record

	gone    atomic.Bool // leaving, or no longer listed
	online  atomic.Int64
	batch   atomic.Int64
	mutex   sync.Mutex
	others  float64 // requests of other callers, as of reportAt
	report  time.Time
	strikes int
	aside   time.Time
	first   float64 // moving average of the time to a first event, seconds
}

// Takes reports whether the runner may be sent new work.
func (r *Runner) Takes() bool { return !r.gone.Load() }

// InFlight returns this node's own requests at the runner.
func (r *Runner) InFlight() (online, batch int64) { return r.online.Load(), r.batch.Load() }

// BeginOnline and BeginBatch count a request; the returned function ends it.
func (r *Runner) BeginOnline() func() { return begin(&r.online) }

// BeginBatch counts an item.
func (r *Runner) BeginBatch() func() { return begin(&r.batch) }

func begin(counter *atomic.Int64) func() {
	counter.Add(1)
	var once sync.Once
	return func() { once.Do(func() { counter.Add(-1) }) }
}

// NoteLoad takes the load that the runner told in an answer. own says that the
// answer's own request is still counted in flight here and there.
func (r *Runner) NoteLoad(load *exchange.Load, now time.Time) {
	if load == nil {
		return
	}
	mine := float64(r.online.Load() + r.batch.Load())
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.others = max(0, float64(load.Running+load.Waiting)-mine)
	r.report = now
}

const (
	// reportLife is how long a told load counts; it fades linearly.
	reportLife = 2 * time.Second
	// asideFirst and asideMost bound how long a failing runner is set aside.
	asideFirst = 400 * time.Millisecond
	asideMost  = 6 * time.Second
	// firstWeight is the weight of a new sample of the time to a first event.
	firstWeight = 0.2
)

// Load estimates the requests at the runner, of all callers.
func (r *Runner) Load(now time.Time) float64 {
	mine := float64(r.online.Load() + r.batch.Load())
	r.mutex.Lock()
	defer r.mutex.Unlock()
	age := now.Sub(r.report)
	if age >= reportLife {
		return mine
	}
	return mine + r.others*(1-float64(age)/float64(reportLife))
}

// NoteGood records an answer that came as it should, after a time to its first
// event; 0 says nothing of the time.
func (r *Runner) NoteGood(first time.Duration) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.strikes = 0
	r.aside = time.Time{}
	if first > 0 {
		if r.first == 0 {
			r.first = first.Seconds()
		}
		r.first += firstWeight * (first.Seconds() - r.first)
	}
}

// NoteBad records a failure that speaks against the runner; it is set aside
// for a time that doubles with each failure in a row.
func (r *Runner) NoteBad(now time.Time) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.strikes++
	wait := asideFirst << min(r.strikes-1, 4)
	r.aside = now.Add(min(wait, asideMost))
}

// NoteSlow records that a runner let a request wait that long without a first
// event.
func (r *Runner) NoteSlow(waited time.Duration) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.first = max(r.first, r.first+firstWeight*(waited.Seconds()-r.first))
}

func (r *Runner) isAside(now time.Time) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return now.Before(r.aside)
}

func (r *Runner) firstSeconds() float64 {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.first
}

// Set is the list of runners.
//
// Invariant: its revision never falls; a list of an older revision changes
// nothing.
type Set struct {
	mutex    sync.Mutex
	revision int64
	byID     map[string]*Runner
	snapshot atomic.Pointer[snapshot]
	changed  chan struct{}
}

type snapshot struct {
	services map[string][]*Runner
	revision int64
	at       time.Time
}

// New returns an empty set.
func New() *Set {
	s := &Set{byID: map[string]*Runner{}, changed: make(chan struct{})}
	s.snapshot.Store(&snapshot{services: map[string][]*Runner{}})
	return s
}

// Revision returns the revision of the list and since when it is held.
func (s *Set) Revision() (int64, time.Time) {
	current := s.snapshot.Load()
	return current.revision, current.at
}

// Replace takes a whole list of a revision.
func (s *Set) Replace(records []Record, revision int64, now time.Time) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if revision <= s.revision && s.revision > 0 {
		return false
	}
	listed := map[string]bool{}
	for _, record := range records {
		listed[record.ID] = true
		s.put(record)
	}
	for id := range s.byID {
		if !listed[id] {
			s.remove(id)
		}
	}
	s.publish(revision, now)
	return true
}

// Change takes changes of a revision: records put, and ids removed.
func (s *Set) Change(put []Record, removed []string, revision int64, now time.Time) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if revision <= s.revision {
		return
	}
	for _, record := range put {
		s.put(record)
	}
	for _, id := range removed {
		s.remove(id)
	}
	s.publish(revision, now)
}

func (s *Set) put(record Record) {
	known := s.byID[record.ID]
	if known != nil && known.same(record) {
		known.gone.Store(record.Leaving)
		return
	}
	if known != nil {
		known.gone.Store(true)
	}
	next := &Runner{Record: record}
	next.gone.Store(record.Leaving)
	s.byID[record.ID] = next
}

// same reports whether a record differs at most in what changes with time.
func (r *Runner) same(record Record) bool {
	return r.Address == record.Address && r.Service == record.Service && r.Zone == record.Zone && r.Slots == record.Slots
}

func (s *Set) remove(id string) {
	if known := s.byID[id]; known != nil {
		known.gone.Store(true)
		delete(s.byID, id)
	}
}

func (s *Set) publish(revision int64, now time.Time) {
	s.revision = revision
	next := &snapshot{services: map[string][]*Runner{}, revision: revision, at: now}
	for _, runner := range s.byID {
		next.services[runner.Service] = append(next.services[runner.Service], runner)
	}
	for _, list := range next.services {
		sort.Slice(list, func(i, j int) bool { return list[i].ID < list[j].ID })
	}
	s.snapshot.Store(next)
	close(s.changed)
	s.changed = make(chan struct{})
}

// Changed returns a channel that closes with the next change.
func (s *Set) Changed() <-chan struct{} {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.changed
}

// Service lists the runners of a service; the list must not be changed.
func (s *Set) Service(name string) []*Runner { return s.snapshot.Load().services[name] }

// Count returns how many runners are listed and how many take work.
func (s *Set) Count() (listed, taking int) {
	for _, list := range s.snapshot.Load().services {
		listed += len(list)
		for _, runner := range list {
			if runner.Takes() {
				taking++
			}
		}
	}
	return listed, taking
}
