// Package runnerset holds the list of runners and this node's knowledge about each of
// them, and chooses the runner for a request: the runner with the lowest cost, which is
// the expected time to the first event plus surcharges for disadvantages. Edges and
// storage nodes use it.
//
// The package owns the current list, the counts of this node's requests, the reports of
// peers (other nodes that send to the same runners) and runners, and the ejections. All
// of this state is in memory and is learnt again after a restart. The informer provides
// the list, loadshare the reports of peers, and enginemodel the latency model of the
// engines. Readers of the list use an atomically swapped snapshot.
//
// These files hold the rules, without I/O or clock: load.go (load estimates),
// neighbourhood.go (utilization of runners without reports), contention.go (reports of
// contention), ejection.go (outlier ejection), versions.go (history of the software versions),
// and cost.go (comparison of runners). The other files hold the state.
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

// Set is the list of runners. It is safe for concurrent use.
//
// Invariant: its revision never decreases; a list of an older revision has no effect.
type Set struct {
	// mutex guards the fields that are not atomic. ForgetPeer locks the mutexes of
	// runners while it holds this mutex.
	mutex    sync.Mutex
	revision int64
	byID     map[string]*Runner
	// recentlyRemoved are runners that may still be used; see Runner.RecentlyRemoved.
	recentlyRemoved []*Runner
	snapshot        atomic.Pointer[snapshot]
	// changed is closed and replaced at each change of the list.
	changed chan struct{}
	// models holds the latency model of each service's engines.
	models map[string]*enginemodel.EngineModel
	// zoneUtilizations has an entry for every service and zone that a runner was ever
	// listed in.
	zoneUtilizations map[subset.ServiceZone]*zoneUtilization
	refreshes        map[string]*utilizationRefresh // by service
	reporting        atomic.Pointer[func(runner *Runner) bool]
	onOwnLoad        atomic.Pointer[func(runner *Runner, shared []PromptPart)]
	onPeerLoad       atomic.Pointer[func(runner *Runner)]
	onPeerReport     atomic.Pointer[func(peer string, runner *Runner, started int)]
	onRestart        atomic.Pointer[func(earlier *Runner)]
	memory           atomic.Pointer[func(service string) int]
	outputs          outputMeans
	// totals are the rounded numbers of all runners, whether this node lists them or
	// not; nil until the first Select.
	totals   atomic.Pointer[subset.Totals]
	versions *VersionHistory
	// contact is the contact with the store; nil stands for an uninterrupted contact. drain is
	// how long a withdrawn runner goes on serving; 0 if unknown.
	contact StoreContact
	drain   time.Duration
	// fullChoices counts choices that found no free slot; see DrainFullChoices.
	fullChoices atomic.Int64
}

// snapshot is an immutable copy of the list.
type snapshot struct {
	// services holds the runners of each service, ordered by ID, including recently
	// removed ones.
	services map[string][]*Runner
	counts   *Counts
	revision int64
	at       time.Time
}

// New returns an empty set.
func New() *Set {
	s := &Set{
		byID: map[string]*Runner{}, models: map[string]*enginemodel.EngineModel{}, changed: make(chan struct{}),
		zoneUtilizations: map[subset.ServiceZone]*zoneUtilization{}, refreshes: map[string]*utilizationRefresh{},
		outputs: outputMeans{means: map[outputKind]float64{}}, versions: newVersionHistory(),
	}
	s.snapshot.Store(&snapshot{services: map[string][]*Runner{}, counts: newCounts()})
	return s
}

// StoreContact is the contact with the store; see listwatch.StoreContact.
type StoreContact interface {
	Age() time.Duration
	HeldAge() time.Duration
	Lost() bool
}

// SetContact sets the contact with the store, and the time for which a runner goes on serving
// after it was listed as leaving or removed (0 if unknown). It must be called before the first
// list.
func (s *Set) SetContact(contact StoreContact, drain time.Duration) {
	s.contact, s.drain = contact, drain
	s.versions.setContact(contact)
}

// ContentsAge returns the time since the list of runners was last known to be current; 0 if
// no contact with the store was set.
func (s *Set) ContentsAge() time.Duration {
	if s.contact == nil {
		return 0
	}
	return s.contact.Age()
}

// withdrawal returns the withdrawal of a runner by the change that is being applied.
func (s *Set) withdrawal(leaving bool) withdrawal {
	withdrawn := withdrawal{leaving: leaving, drain: s.drain}
	if s.contact != nil {
		withdrawn.contentsAge = s.contact.HeldAge()
	}
	return withdrawn
}

// Counts are the numbers of listed runners; the maps must not be changed.
type Counts struct {
	ByServiceZone map[subset.ServiceZone]int
	ByService     map[string]int
}

func newCounts() *Counts {
	return &Counts{ByServiceZone: map[subset.ServiceZone]int{}, ByService: map[string]int{}}
}

// Counts returns the numbers of listed runners.
func (s *Set) Counts() *Counts { return s.snapshot.Load().counts }

// Totals returns the rounded numbers of runners, including those that this node does not
// list; nil if unknown. The pointer changes only when a number changes.
func (s *Set) Totals() *subset.Totals { return s.totals.Load() }

// Total returns the rounded number of runners of all services, including those that this
// node does not list; 0 if unknown.
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

// Revision returns the revision of the list and when it was applied.
func (s *Set) Revision() (int64, time.Time) {
	current := s.snapshot.Load()
	return current.revision, current.at
}

// Replace replaces the list by a list of a newer revision. It returns false, and changes
// nothing, if the revision is not newer than the current one, unless the current one is
// 0.
func (s *Set) Replace(records []Record, revision int64, now time.Time) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if revision <= s.revision && s.revision > 0 {
		return false
	}
	s.replace(records, revision, now)
	return true
}

// Select replaces the list by this node's subset of all runners, and sets the totals. The
// revision may equal the current one, since the subset can change within a revision.
// Select returns false, and changes nothing, if the revision is older.
func (s *Set) Select(records []Record, totals subset.Totals, revision int64, now time.Time) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if revision < s.revision {
		return false
	}
	if current := s.totals.Load(); current == nil || !maps.Equal(*current, totals) {
		s.totals.Store(&totals)
	}
	s.replace(records, revision, now)
	return true
}

// replace replaces the list. The caller holds the mutex.
func (s *Set) replace(records []Record, revision int64, now time.Time) {
	listed := map[string]bool{}
	for _, record := range records {
		listed[record.ID] = true
		s.put(record, now)
	}
	for id := range s.byID {
		if !listed[id] {
			s.remove(id, now)
		}
	}
	s.publish(revision, now)
}

// ApplyChanges adds or updates the records in put and removes the runners whose IDs are in
// removed. It does nothing if the revision is not newer.
func (s *Set) ApplyChanges(put []Record, removed []string, revision int64, now time.Time) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if revision <= s.revision {
		return
	}
	for _, record := range put {
		s.put(record, now)
	}
	for _, id := range removed {
		s.remove(id, now)
	}
	s.publish(revision, now)
}

// put adds a record, or updates whether its runner accepts work. If the runner is listed
// with other attributes, a new Runner replaces it. The caller holds the mutex.
func (s *Set) put(record Record, now time.Time) {
	known := s.byID[record.ID]
	s.versions.notePut(&record, known, now)
	if known != nil && known.sameRunner(record) {
		if record.Leaving && known.AcceptsWork() {
			known.afterLeaving.allowFor(s.withdrawal(true).usableTime())
		}
		known.notAccepting.Store(record.Leaving)
		return
	}
	if known != nil {
		known.notAccepting.Store(true)
	}
	s.notifyRestart(known, record)
	s.endGraceOfEarlierStart(record)
	next := &Runner{
		Record: record, set: s, model: s.modelOf(record.Service),
		zoneUtilization: s.zoneUtilizationOf(subset.ServiceZone{Service: record.Service, Zone: record.Zone}),
		refresh:         s.refreshOf(record.Service),
	}
	next.notAccepting.Store(record.Leaving)
	s.byID[record.ID] = next
}

// endGraceOfEarlierStart prevents requests that chose a recently removed runner from being
// sent to another start of it, and calls the callback of OnRestart for the removed one. The
// caller holds the mutex.
func (s *Set) endGraceOfEarlierStart(record Record) {
	for _, runner := range s.recentlyRemoved {
		if runner.ID == record.ID && runner.RecentlyRemoved() && !runner.sameRunner(record) {
			runner.afterRemoval.end()
			s.notifyRestart(runner, record)
		}
	}
}

// zoneUtilizationOf returns the utilization of a service in a zone, and creates it if
// missing. The caller holds the mutex.
func (s *Set) zoneUtilizationOf(zone subset.ServiceZone) *zoneUtilization {
	known := s.zoneUtilizations[zone]
	if known == nil {
		known = &zoneUtilization{}
		s.zoneUtilizations[zone] = known
	}
	return known
}

// refreshOf returns the utilizationRefresh of a service, and creates it if missing. The
// caller holds the mutex.
func (s *Set) refreshOf(service string) *utilizationRefresh {
	if s.refreshes[service] == nil {
		s.refreshes[service] = &utilizationRefresh{}
	}
	return s.refreshes[service]
}

// modelOf returns the latency model of a service's engines, and creates it if missing.
// The caller holds the mutex.
func (s *Set) modelOf(service string) *enginemodel.EngineModel {
	model := s.models[service]
	if model == nil {
		model = enginemodel.New()
		s.models[service] = model
	}
	return model
}

// remove removes a runner from the list. The caller holds the mutex.
func (s *Set) remove(id string, now time.Time) {
	known := s.byID[id]
	if known == nil {
		return
	}
	s.versions.noteRemoved(&known.Record, now)
	if known.AcceptsWork() {
		known.afterRemoval.allowFor(s.withdrawal(false).usableTime())
		s.recentlyRemoved = append(s.recentlyRemoved, known)
	}
	known.notAccepting.Store(true)
	delete(s.byID, id)
}

// publish stores a new snapshot and closes the channel of Changed. The caller holds the
// mutex.
func (s *Set) publish(revision int64, now time.Time) {
	s.revision = revision
	next := &snapshot{services: map[string][]*Runner{}, counts: newCounts(), revision: revision, at: now}
	for _, runner := range s.byID {
		next.counts.ByServiceZone[subset.ServiceZone{Service: runner.Service, Zone: runner.Zone}]++
		next.counts.ByService[runner.Service]++
		next.services[runner.Service] = append(next.services[runner.Service], runner)
	}
	s.recentlyRemoved = slices.DeleteFunc(s.recentlyRemoved, func(runner *Runner) bool { return !runner.RecentlyRemoved() || s.byID[runner.ID] != nil })
	for _, runner := range s.recentlyRemoved {
		next.services[runner.Service] = append(next.services[runner.Service], runner)
	}
	for _, list := range next.services {
		sort.Slice(list, func(i, j int) bool { return list[i].ID < list[j].ID })
	}
	s.snapshot.Store(next)
	s.versions.record(s.byID, s.totals.Load(), now)
	close(s.changed)
	s.changed = make(chan struct{})
}

// Changed returns a channel that is closed at the next change of the list.
func (s *Set) Changed() <-chan struct{} {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.changed
}

// Service returns the runners of a service, ordered by ID. They include runners that were
// recently removed at the last change of the list. The slice must not be changed.
func (s *Set) Service(name string) []*Runner { return s.snapshot.Load().services[name] }

// Count returns the number of runners of all services, including recently removed ones as
// in Service, and how many of them accept work.
func (s *Set) Count() (listed, accepting int) {
	for _, list := range s.snapshot.Load().services {
		listed += len(list)
		for _, runner := range list {
			if runner.AcceptsWork() {
				accepting++
			}
		}
	}
	return listed, accepting
}
