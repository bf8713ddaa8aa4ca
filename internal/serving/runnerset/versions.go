package runnerset

import (
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
// Nodes compare their histories to conclude at which version a stream began. A node that was
// out of contact with the store may have missed a version, so its history begins anew when
// the contact returns.
type VersionHistory struct {
	mutex sync.Mutex
	// contactAge returns the time since the last contact with the store; nil stands for an
	// uninterrupted contact.
	contactAge func() time.Duration
	// since is when the history began; zero before the first list.
	since    time.Time
	services map[string]*serviceVersions
	// sole is a copy for readers on the path of requests: the time since which all runners of
	// a service have had the same version. It lacks the services with several versions.
	sole atomic.Pointer[map[string]time.Time]
}

// serviceVersions are the versions of one service.
type serviceVersions struct {
	spans map[string]*versionSpan
	// partialAt is when this node last listed only a part of the service's runners; zero if
	// it never did.
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

// SetContactAge sets the function that returns the time since the last contact with the store.
// It must be called before the first list.
func (h *VersionHistory) SetContactAge(contactAge func() time.Duration) { h.contactAge = contactAge }

// Refresh checks the contact with the store, and forgets versions that were not listed for
// MaxVersionWindow. It is called several times a second.
func (h *VersionHistory) Refresh(now time.Time) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.checkContact(now)
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
	for name, count := range serviceTotals(totals) {
		if service := h.services[name]; service != nil && count > subset.FullListLimit {
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
	service := h.services[runner.Service]
	if service == nil {
		service = &serviceVersions{spans: map[string]*versionSpan{}}
		h.services[runner.Service] = service
	}
	version := runner.SoftwareVersion()
	span := service.spans[version]
	if span == nil {
		span = &versionSpan{first: now}
		service.spans[version] = span
	}
	span.last, span.listed = now, true
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
	return since, listed == 1
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
	// Known is set if the node knew all runners of the service during the whole window.
	Known bool
	// Seen are the versions that were listed in the window, in alphabetical order.
	Seen []string
	// Established are the versions among them that other nodes may have listed before the
	// window began.
	Established []string
}

// Knowledge returns what this node knows about the versions of a service in the window that
// ends now.
func (h *VersionHistory) Knowledge(service string, window time.Duration, now time.Time) VersionKnowledge {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.checkContact(now)
	start := now.Add(-window)
	versions := h.services[service]
	if versions == nil {
		return VersionKnowledge{}
	}
	known := VersionKnowledge{Known: !h.since.After(start) && !versions.partialAt.After(start)}
	for version, span := range versions.spans {
		if !span.listed && span.last.Before(start) {
			continue
		}
		known.Seen = append(known.Seen, version)
		if !span.first.After(start.Add(versionSlack)) {
			known.Established = append(known.Established, version)
		}
	}
	slices.Sort(known.Seen)
	slices.Sort(known.Established)
	return known
}
