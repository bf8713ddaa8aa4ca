package runnerset

import (
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"cobaltramp.example/cobaltramp/internal/cluster/subset"
)

const (
	// maxContactAge is the longest time since the last contact with the store after which the
	// list of runners still counts as current.
	maxContactAge = 2500 * time.Millisecond
	// versionSlack is how much later this node may have listed a version than another node,
	// both in contact with the store.
	versionSlack = maxContactAge + 500*time.Millisecond
	// MaxVersionWindow is the longest window that a VersionHistory can be asked about.
	MaxVersionWindow = time.Minute
)

// VersionHistory holds which software versions the listed runners of each service recently
// had. It is safe for concurrent use.
//
// Nodes compare their histories to conclude at which version a stream began. Two things are
// distinguished: which versions were listed (Seen), which a node knows as long as no change of
// the list was skipped, also after an outage of the store or a restart; and when they were first
// listed (Established), which it knows only while it is in contact with the store.
type VersionHistory struct {
	mutex sync.Mutex
	// contactAge returns the time since the applied contents were known to be all that the store
	// held; nil stands for an uninterrupted contact.
	contactAge func() time.Duration
	// connected reports whether the node is in contact with the store; nil stands for a contact
	// that is never lost.
	connected func() bool
	// since is when the history began; zero before the first list.
	since time.Time
	// gaplessSince is since when this node has received every change of the list, at once or
	// later; zero if that includes the changes in an earlier run of this node.
	gaplessSince time.Time
	// connectedAt is when the contact with the store was first seen after its last loss; zero
	// if it is lost.
	connectedAt time.Time
	services    map[string]*serviceVersions
	// sole is a copy for readers on the path of requests: the time since which all runners of
	// a service have had the same version. It lacks the services with several versions.
	sole atomic.Pointer[map[string]time.Time]
}

// serviceVersions are the versions of one service.
type serviceVersions struct {
	spans map[string]*versionSpan
	// partial is set while this node lists only a part of the service's runners, and partialAt
	// is when it last was; zero if it never was.
	partial   bool
	partialAt time.Time
}

// versionSpan is the time in which runners of a version were listed.
type versionSpan struct {
	first, last time.Time
	// listed is set while a runner of the version is listed.
	listed bool
}

func newVersionHistory() *VersionHistory {
	h := &VersionHistory{services: map[string]*serviceVersions{}}
	h.sole.Store(&map[string]time.Time{})
	return h
}

// Versions returns the history of the runners' software versions.
func (s *Set) Versions() *VersionHistory { return s.versions }

// setContact sets the contact with the store. It must be called before the first list.
func (h *VersionHistory) setContact(contact StoreContact) {
	h.contactAge = contact.HeldAge
	h.connected = func() bool { return !contact.Lost() }
}

// Recent returns the versions of each service that were listed lately, for Restore.
func (h *VersionHistory) Recent() map[string][]string {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	recent := map[string][]string{}
	for name, service := range h.services {
		recent[name] = slices.Sorted(maps.Keys(service.spans))
	}
	return recent
}

// Restore continues the history of an earlier run with the versions that it had listed lately. It is
// called after the list of that run was restored.
func (h *VersionHistory) Restore(recent map[string][]string, now time.Time) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	for name, versions := range recent {
		for _, version := range versions {
			h.noteListed(name, version, now)
		}
	}
	h.gaplessSince = time.Time{}
	h.publishSole()
}

// RecordGap records that changes of the list may have been skipped.
func (h *VersionHistory) RecordGap(now time.Time) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.gaplessSince = now
}

// NoteListed adds the version of a runner that was listed for a moment.
func (h *VersionHistory) NoteListed(record *Record, now time.Time) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.noteListed(record.Service, record.SoftwareVersion(), now)
}

// noteListed adds a version that was listed until now at the latest. The mutex is held.
func (h *VersionHistory) noteListed(service, version string, now time.Time) {
	span := h.spanOf(service, version, now)
	span.last = latest(span.last, now)
}

// catchUpTime is how long after the contact with the store is back its changes have surely arrived.
const catchUpTime = 100 * time.Millisecond

// age returns the time since the list was last known to be current.
func (h *VersionHistory) age() time.Duration {
	if h.contactAge == nil {
		return 0
	}
	return h.contactAge()
}

// upToDate reports whether the changes of the list up to now have arrived. The mutex is held.
func (h *VersionHistory) upToDate(now time.Time) bool {
	if h.connected == nil || !h.connected() || h.contactAge() > maxContactAge {
		h.connectedAt = time.Time{}
		return false
	}
	if h.connectedAt.IsZero() {
		h.connectedAt = now
	}
	return now.Sub(h.connectedAt) >= catchUpTime
}

// Refresh checks the contact with the store, and forgets versions that were not listed for
// MaxVersionWindow. It is called several times a second.
func (h *VersionHistory) Refresh(now time.Time) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.checkContact(now)
	h.upToDate(now)
	for name, service := range h.services {
		for version, span := range service.spans {
			if !span.listed && now.Sub(span.last) > MaxVersionWindow {
				delete(service.spans, version)
			}
		}
		if len(service.spans) == 0 {
			delete(h.services, name)
		}
	}
	h.publishSole()
}

// checkContact begins the history anew if the node is out of contact with the store. The
// mutex is held.
func (h *VersionHistory) checkContact(now time.Time) {
	if h.since.IsZero() || h.contactAge != nil && h.contactAge() > maxContactAge {
		h.since = now
	}
}

// record adds the listed runners. totals are the rounded numbers of all runners; nil if all
// are listed.
func (h *VersionHistory) record(runners map[string]*Runner, totals *subset.Totals, now time.Time) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.checkContact(now)
	h.closeSpans(now)
	for _, runner := range runners {
		h.addListed(runner, now)
	}
	counts := serviceTotals(totals)
	for name, service := range h.services {
		before := service.partial
		service.partial = counts[name] > subset.FullListLimit
		if before || service.partial {
			service.partialAt = now
		}
	}
	h.publishSole()
}

// closeSpans marks all versions as no longer listed. The mutex is held.
func (h *VersionHistory) closeSpans(now time.Time) {
	for _, service := range h.services {
		for _, span := range service.spans {
			if span.listed {
				span.listed, span.last = false, now
			}
		}
	}
}

// addListed marks the version of a listed runner as listed. The mutex is held.
func (h *VersionHistory) addListed(runner *Runner, now time.Time) {
	span := h.spanOf(runner.Service, runner.SoftwareVersion(), now)
	span.last, span.listed = now, true
}

// spanOf returns the span of a version, and creates it if necessary. The mutex is held.
func (h *VersionHistory) spanOf(name, version string, now time.Time) *versionSpan {
	service := h.services[name]
	if service == nil {
		service = &serviceVersions{spans: map[string]*versionSpan{}}
		h.services[name] = service
	}
	span := service.spans[version]
	if span == nil {
		span = &versionSpan{first: now, last: now}
		service.spans[version] = span
	}
	return span
}

// serviceTotals sums the rounded numbers of runners by service.
func serviceTotals(totals *subset.Totals) map[string]int {
	sums := map[string]int{}
	if totals == nil {
		return sums
	}
	for serviceZone, count := range *totals {
		sums[serviceZone.Service] += count
	}
	return sums
}

// publishSole updates sole. The mutex is held.
func (h *VersionHistory) publishSole() {
	sole := map[string]time.Time{}
	for name, service := range h.services {
		if since, found := service.soleSince(); found {
			sole[name] = latest(since, h.since)
		}
	}
	h.sole.Store(&sole)
}

// soleSince returns since when one version alone has been listed, and whether it is.
func (s *serviceVersions) soleSince() (time.Time, bool) {
	since, listed := s.partialAt, 0
	for _, span := range s.spans {
		if span.listed {
			listed++
			since = latest(since, span.first)
		} else {
			since = latest(since, span.last)
		}
	}
	return since, listed == 1 && !s.partial
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// SoleFor reports whether this node is certain that all runners of the service have had the
// same version, known to all nodes, for at least the window. It does not lock.
func (h *VersionHistory) SoleFor(service string, window time.Duration, now time.Time) bool {
	since, found := (*h.sole.Load())[service]
	return found && now.Sub(since) >= window
}

// VersionKnowledge is what a node knows about the versions of a service in a window.
type VersionKnowledge struct {
	// Known is set if the node knows all versions that were listed in the window.
	Known bool
	// Seen are the versions that were listed in the window, in alphabetical order.
	Seen []string
	// Established are the versions among them that other nodes may have listed before the
	// window began; empty if this node was not in contact with the store during the window.
	Established []string
	// Age is the time since the node's list was last known to be current.
	Age time.Duration
}

// Knowledge returns what this node knows about the versions of a service in the window that
// ends now.
func (h *VersionHistory) Knowledge(service string, window time.Duration, now time.Time) VersionKnowledge {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	age := h.age()
	h.checkContact(now)
	start := now.Add(-window)
	versions := h.services[service]
	if versions == nil {
		return VersionKnowledge{Age: age}
	}
	inContact := !h.since.After(start)
	complete := inContact || !h.gaplessSince.After(start) && h.upToDate(now)
	known := VersionKnowledge{Known: complete && !versions.partial && !versions.partialAt.After(start), Age: age}
	for version, span := range versions.spans {
		if !span.listed && span.last.Before(start) {
			continue
		}
		known.Seen = append(known.Seen, version)
		if inContact && !span.first.After(start.Add(versionSlack)) {
			known.Established = append(known.Established, version)
		}
	}
	slices.Sort(known.Seen)
	slices.Sort(known.Established)
	return known
}
