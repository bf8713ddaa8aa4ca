// Package runnerset holds the runners that the platform lists, what this node knows
// of each, and the choice among them: the runner where the first event is expected
// soonest. Edges and storage nodes run it.
//
// It owns the list in force, this node's counts of its requests, the reports of
// peers and runners, and which runners are ejected; all of it is in memory and
// learnt again after a start. It relies on the platform's adapter for the list, on
// loadshare for the reports of peers, and on enginemodel for what is learnt of
// engines. Readers of the list use an atomically swapped snapshot.
//
// The rules, each without I/O or clock: load.go (how many requests are at a
// runner), neighbourhood.go (where nobody reports), ejection.go (which runner is
// avoided), cost.go (which one is chosen). The others keep the state that these read.
package runnerset

import (
	"maps"
	"slices"
	"sort"
	"sync"
	"sync/atomic"
	"time"

	"cobaltramp.example/cobaltramp/internal/cluster/subset"
	"cobaltramp.example/cobaltramp/internal/serving/enginemodel"
)

// Set is the list of runners.
//
// Invariant: its revision never falls; a list of an older revision changes
// nothing.
type Set struct {
	mutex    sync.Mutex
	revision int64
	byID     map[string]*Runner
	// departed are runners removed lately; see Runner.StillServes.
	departed []*Runner
	snapshot atomic.Pointer[snapshot]
	changed  chan struct{}
	// models are what is learnt of each service's engines.
	models map[string]*enginemodel.EngineModel
	// neighbourhoods are all that a runner was ever listed in.
	neighbourhoods map[subset.ServiceZone]*neighbourhood
	refreshes      map[string]*neighbourhoodRefresh // by service
	reporting      atomic.Pointer[func(runner *Runner) bool]
	onOwnLoad      atomic.Pointer[func(runner *Runner, shared []PromptPart)]
	onPeerLoad     atomic.Pointer[func(runner *Runner)]
	// totals are how many runners there are where a part of them is listed here.
	totals atomic.Pointer[subset.Totals]
	// fullChoices counts choices that found no free slot; see TakeFullChoices.
	fullChoices atomic.Int64
}

type snapshot struct {
	services map[string][]*Runner
	counts   *Counts
	revision int64
	at       time.Time
}

// New returns an empty set.
func New() *Set {
	s := &Set{
		byID: map[string]*Runner{}, models: map[string]*enginemodel.EngineModel{}, changed: make(chan struct{}),
		neighbourhoods: map[subset.ServiceZone]*neighbourhood{}, refreshes: map[string]*neighbourhoodRefresh{},
	}
	s.snapshot.Store(&snapshot{services: map[string][]*Runner{}, counts: newCounts()})
	return s
}

// Counts are how many runners are listed; its maps must not be changed.
type Counts struct {
	Places   map[subset.ServiceZone]int
	Services map[string]int
}

func newCounts() *Counts {
	return &Counts{Places: map[subset.ServiceZone]int{}, Services: map[string]int{}}
}

// Counts returns how many runners are listed.
func (s *Set) Counts() *Counts { return s.snapshot.Load().counts }

// Totals returns how many runners there are, rounded; nil if that is not known. The
// pointer is the same as long as the totals are.
func (s *Set) Totals() *subset.Totals { return s.totals.Load() }

// Total returns how many runners there are of all services, those that are not
// listed here included, rounded.
func (s *Set) Total() int {
	totals := s.totals.Load()
	if totals == nil {
		return 0
	}
	sum := 0
	for _, count := range *totals {
		sum += count
	}
	return sum
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
	s.replace(records, revision, now)
	return true
}

// Select takes the part of a list of a revision that this node is to know, and how
// many runners there are; a part of the same revision replaces the one held.
func (s *Set) Select(records []Record, totals subset.Totals, revision int64, now time.Time) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if revision < s.revision {
		return false
	}
	if held := s.totals.Load(); held == nil || !maps.Equal(*held, totals) {
		s.totals.Store(&totals)
	}
	s.replace(records, revision, now)
	return true
}

// replace takes a list. The mutex is held.
func (s *Set) replace(records []Record, revision int64, now time.Time) {
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
}

// ApplyChanges takes changes of a revision: records put, and ids removed.
func (s *Set) ApplyChanges(put []Record, removed []string, revision int64, now time.Time) {
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
	if known != nil && known.sameRunner(record) {
		known.gone.Store(record.Leaving)
		return
	}
	if known != nil {
		known.gone.Store(true)
	}
	next := &Runner{
		Record: record, set: s, model: s.modelOf(record.Service),
		neighbourhood: s.neighbourhoodOf(subset.ServiceZone{Service: record.Service, Zone: record.Zone}),
		refresh:       s.refreshOf(record.Service),
	}
	next.gone.Store(record.Leaving)
	s.byID[record.ID] = next
}

// neighbourhoodOf returns the neighbourhood of a place. The mutex is held.
func (s *Set) neighbourhoodOf(place subset.ServiceZone) *neighbourhood {
	known := s.neighbourhoods[place]
	if known == nil {
		known = &neighbourhood{}
		s.neighbourhoods[place] = known
	}
	return known
}

// refreshOf returns the state of a service's neighbourhoods. The mutex is held.
func (s *Set) refreshOf(service string) *neighbourhoodRefresh {
	if s.refreshes[service] == nil {
		s.refreshes[service] = &neighbourhoodRefresh{}
	}
	return s.refreshes[service]
}

// modelOf returns the model of a service's engines. The mutex is held.
func (s *Set) modelOf(service string) *enginemodel.EngineModel {
	model := s.models[service]
	if model == nil {
		model = enginemodel.New()
		s.models[service] = model
	}
	return model
}

func (s *Set) remove(id string) {
	known := s.byID[id]
	if known == nil {
		return
	}
	if known.AcceptsWork() {
		known.removed.Store(int64(time.Since(processStart)))
		s.departed = append(s.departed, known)
	}
	known.gone.Store(true)
	delete(s.byID, id)
}

func (s *Set) publish(revision int64, now time.Time) {
	s.revision = revision
	next := &snapshot{services: map[string][]*Runner{}, counts: newCounts(), revision: revision, at: now}
	for _, runner := range s.byID {
		next.counts.Places[subset.ServiceZone{Service: runner.Service, Zone: runner.Zone}]++
		next.counts.Services[runner.Service]++
		next.services[runner.Service] = append(next.services[runner.Service], runner)
	}
	s.departed = slices.DeleteFunc(s.departed, func(runner *Runner) bool { return !runner.StillServes() || s.byID[runner.ID] != nil })
	for _, runner := range s.departed {
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

// Count returns how many runners are known and how many take work.
func (s *Set) Count() (listed, taking int) {
	for _, list := range s.snapshot.Load().services {
		listed += len(list)
		for _, runner := range list {
			if runner.AcceptsWork() {
				taking++
			}
		}
	}
	return listed, taking
}
