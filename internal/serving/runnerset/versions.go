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
	// maxContactAge is the longest time for which the list of runners may be behind while the contact
	// with the store counts as uninterrupted.
	maxContactAge = 2500 * time.Millisecond
	// versionSlack is how much sooner or later this node may have listed a version than another node
	// whose contact is not interrupted has used it. A removed runner is used for removedGrace.
	versionSlack = maxContactAge + removedGrace + 200*time.Millisecond
	// MaxVersionWindow is the longest window that a VersionHistory can be asked about.
	MaxVersionWindow = time.Minute
)

// VersionHistory holds which software versions the listed runners of each service recently
// had. It is safe for concurrent use.
//
// Nodes compare their histories to conclude at which version a stream began. Two things are
// distinguished: which versions were listed (Seen), which a node knows up to the last moment at which
// its list was current as long as no change of the list was skipped, also after an outage of the store
// or a restart; and when they were first listed (Established), which it knows only of times in which it
// was in contact with the store.
type VersionHistory struct {
	mutex sync.Mutex
	// contactAge returns the time since the applied contents were known to be all that the store
	// held; nil stands for an uninterrupted contact.
	contactAge func() time.Duration
	// begun is set by the first list.
	begun bool
	// gaplessSince is since when this node has received every change of the list, at once or
	// later; zero if that includes the changes in an earlier run of this node.
	gaplessSince time.Time
	// contactSince is since when the contact with the store was not interrupted, and currentAt is the
	// last moment at which the list was known to be current; both are zero before the first contact.
	// An interrupted contact begins anew with the next moment at which the list is current.
	contactSince, currentAt time.Time
	services                map[string]*serviceVersions
	changes                 versionChanges
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
	h := &VersionHistory{services: map[string]*serviceVersions{}, changes: newVersionChanges()}
	h.sole.Store(&map[string]time.Time{})
	return h
}

// Versions returns the history of the runners' software versions.
func (s *Set) Versions() *VersionHistory { return s.versions }

// setContact sets the contact with the store. It must be called before the first list.
func (h *VersionHistory) setContact(contact StoreContact) { h.contactAge = contact.HeldAge }

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
	h.begun, h.gaplessSince = true, time.Time{}
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

// age returns the time since the list was last known to be current.
func (h *VersionHistory) age() time.Duration {
	if h.contactAge == nil {
		return 0
	}
	return h.contactAge()
}

// Refresh checks the contact with the store, and forgets versions that were not listed for longer than
// Knowledge can be asked about. It is called several times a second.
func (h *VersionHistory) Refresh(now time.Time) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.noteContact(now)
	h.changes.forget(now.Add(-MaxVersionWindow - versionSlack))
	for name, service := range h.services {
		for version, span := range service.spans {
			if !span.listed && now.Sub(span.last) > MaxVersionWindow+versionSlack {
				delete(service.spans, version)
			}
		}
		if len(service.spans) == 0 {
			delete(h.services, name)
		}
	}
	h.publishSole()
}

// notePut notes a runner that is listed, and the runner that was listed under its ID before; nil if there
// was none.
func (h *VersionHistory) notePut(record *Record, before *Runner, now time.Time) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	listed := ""
	if before != nil {
		listed = before.SoftwareVersion()
	}
	h.changes.noteListed(record, listed, now)
}

// noteRemoved notes a runner that is removed from the list.
func (h *VersionHistory) noteRemoved(record *Record, now time.Time) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.changes.noteRemoved(record, now)
}

// noteContact notes up to when the list is current, and whether the contact was interrupted before. The
// mutex is held.
func (h *VersionHistory) noteContact(now time.Time) {
	age := h.age()
	if age > MaxVersionWindow {
		return // longer than any history, or there was no contact yet
	}
	currentAt := now.Add(-age)
	if !currentAt.After(h.currentAt) {
		return
	}
	if h.contactSince.IsZero() || h.contactAge != nil && now.Sub(h.currentAt) > maxContactAge {
		h.contactSince = currentAt
	}
	h.currentAt = currentAt
}

// record adds the listed runners. totals are the rounded numbers of all runners; nil if all
// are listed.
func (h *VersionHistory) record(runners map[string]*Runner, totals *subset.Totals, now time.Time) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.noteContact(now)
	if !h.begun {
		h.begun, h.gaplessSince = true, now
	}
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
		if since, found := service.soleSince(); found && !h.contactSince.IsZero() {
			sole[name] = latest(since, h.contactSince)
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

// SoleFor reports whether this node is in contact with the store, and has listed the same version of
// all runners of the service for so long that no node can have used another one in the window. It does
// not lock.
func (h *VersionHistory) SoleFor(service string, window time.Duration, now time.Time) bool {
	since, found := (*h.sole.Load())[service]
	return found && now.Sub(since) >= window+versionSlack && h.age() <= maxContactAge
}

// VersionKnowledge is what a node knows about the versions of a service in a window.
type VersionKnowledge struct {
	// Known is set if the node knows all versions that another node may have used in the window, up
	// to Age ago.
	Known bool
	// Seen are these versions, in alphabetical order.
	Seen []string
	// InContact is set if the node was in contact with the store when the window began, and lists all
	// runners of the service.
	InContact bool
	// Established are the versions of Seen that other nodes may have listed before the window
	// began; empty if InContact is not set.
	Established []string
	// ChangedRunners are the IDs of the runners that were listed with several versions in the window.
	// What they wrote in it may be of any of them.
	ChangedRunners []string
	// Age is the time since the node's list was last known to be current.
	Age time.Duration
}

// Knowledge returns what this node knows about the versions of a service in the window that
// ends now.
func (h *VersionHistory) Knowledge(service string, window time.Duration, now time.Time) VersionKnowledge {
	age := h.age() // before the versions are read, which are then as new at least
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.noteContact(now)
	versions := h.services[service]
	if versions == nil {
		return VersionKnowledge{Age: age}
	}
	start := now.Add(-window)
	earliest := start.Add(-versionSlack)
	listsAll := !versions.partial && !versions.partialAt.After(earliest)
	known := VersionKnowledge{
		Known: listsAll && !h.gaplessSince.After(earliest), InContact: listsAll && h.inContactAt(start), Age: age,
		ChangedRunners: h.changes.since(service, earliest),
	}
	for version, span := range versions.spans {
		if !span.listed && span.last.Before(earliest) {
			continue
		}
		known.Seen = append(known.Seen, version)
		if known.InContact && !span.first.After(start.Add(versionSlack)) {
			known.Established = append(known.Established, version)
		}
	}
	slices.Sort(known.Seen)
	slices.Sort(known.Established)
	return known
}

// inContactAt reports whether the contact with the store was not interrupted at a time and for
// versionSlack after it. The mutex is held.
func (h *VersionHistory) inContactAt(at time.Time) bool {
	return !h.contactSince.IsZero() && !h.contactSince.After(at) && !h.currentAt.Before(at.Add(versionSlack))
}
