package runnerset

import (
	"math"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"cobaltramp.example/cobaltramp/internal/serving/enginemodel"
	"cobaltramp.example/cobaltramp/internal/serving/exchange"
)

// Runner is a runner that is listed or was listed, with this node's knowledge about it:
// this node's own requests there, the load that other nodes and the runner itself report,
// its failures, and its speed. It is safe for concurrent use.
type Runner struct {
	Record

	set *Set
	// model is the latency model of the service's engines.
	model           *enginemodel.EngineModel
	zoneUtilization *zoneUtilization
	// refresh is shared by all runners of the service.
	refresh      *utilizationRefresh
	notAccepting atomic.Bool // leaving, removed from the list, or replaced in it
	// afterRemoval and afterLeaving limit the use of the runner after it was removed from the
	// list, or listed as leaving, while it accepted work.
	afterRemoval, afterLeaving lastUse
	// lastEvent is when this node last received an event of any request from the runner,
	// in nanoseconds since processStart; 0 if it has received none.
	lastEvent atomic.Int64
	// mutex guards the fields below.
	mutex sync.Mutex
	// own is this node's load, and peers holds the last report of each other node that
	// has requests at the runner, by the ID of the node.
	own    NodeLoad
	peers  map[string]peerLoad
	report runnerReport
	// ownTokens is the memory that this node's requests need; see Set.memoryTokens.
	ownTokens int
	prefixes  prefixCache
	ejection  ejection
	// waiting holds this node's requests whose first event has not arrived.
	waiting map[*InFlight]bool
	// newestStarted is the latest send time of this node's requests whose first event
	// has arrived.
	newestStarted time.Time
	// slowness is the moving average of the actual time to the first event, divided by
	// the expected time; 0 before the first sample.
	slowness   float64
	contention contentionState
}

const (
	// slownessWeight is the weight of a new sample of slowness. Samples are clamped to
	// minSlowness and maxSlowness.
	slownessWeight = 0.2
	minSlowness    = 0.5
	maxSlowness    = 10.0
)

// processStart is the reference for times that are stored in atomic integers. Differences
// from it use the monotonic clock.
var processStart = time.Now()

// AcceptsWork reports whether the runner is listed and not leaving, so that new requests
// may be sent to it.
func (r *Runner) AcceptsWork() bool { return !r.notAccepting.Load() }

// Listed reports whether the runner is listed; a leaving runner is.
func (r *Runner) Listed() bool {
	r.set.mutex.Lock()
	defer r.set.mutex.Unlock()
	return r.set.byID[r.ID] == r
}

// RecentlyRemoved reports whether the runner was removed from the list while it accepted
// work, and may still be used; see withdrawal.
func (r *Runner) RecentlyRemoved() bool { return r.afterRemoval.allowed() }

// RecentlyWithdrawn reports whether the runner accepted work until it was removed from the
// list, or listed as leaving, and may still be used; see withdrawal.
func (r *Runner) RecentlyWithdrawn() bool { return r.RecentlyRemoved() || r.afterLeaving.allowed() }

// UsableFor returns for how long the runner may still be used after its withdrawal, as by
// RecentlyWithdrawn; 0 or less if it may not.
func (r *Runner) UsableFor() time.Duration {
	return max(r.afterRemoval.remaining(), r.afterLeaving.remaining())
}

// SlotCount returns the runner's number of slots, or assumedSlots if it is not stated.
func (r *Runner) SlotCount() int { return int(r.slots()) }

// slots returns the runner's number of slots, or assumedSlots if it is not stated.
func (r *Runner) slots() float64 {
	if r.Slots == 0 {
		return assumedSlots
	}
	return float64(r.Slots)
}

// updateSlowness adds a sample: the actual time to a first event, divided by the expected
// time. The caller holds the mutex.
func (r *Runner) updateSlowness(sample float64) {
	sample = min(max(sample, minSlowness), maxSlowness)
	if r.slowness == 0 {
		r.slowness = 1
	}
	r.slowness += slownessWeight * (sample - r.slowness)
}

// RecordFailure records a failure of the runner, which ejects it temporarily.
func (r *Runner) RecordFailure(now time.Time) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.ejection.fail(now)
}

// RecordEnding records that another node saw that the runner with the given start has ended
// (Record.StartID). It counts as a failure of the runner.
func (s *Set) RecordEnding(start string, now time.Time) {
	id, _, _ := strings.Cut(start, startSeparator)
	s.mutex.Lock()
	runner := s.byID[id]
	s.mutex.Unlock()
	if runner != nil && runner.StartID() == start {
		runner.RecordFailure(now)
	}
}

// Knows reports whether the list has, or lately had, the runner with the given start, or an earlier
// or later start of it.
func (s *Set) Knows(start string) bool {
	id, _, _ := strings.Cut(start, startSeparator)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.byID[id] != nil
}

// ServiceSize returns the number of runners that Service returns.
func (s *Set) ServiceSize(service string) int { return len(s.Service(service)) }

// RecordItemError records that the runner responded to a batch item with an error; item
// identifies the item's content. It has no effect if too many other runners are ejected.
func (r *Runner) RecordItemError(item string, now time.Time) {
	if !r.set.mayEjectForItems(r, now) {
		return
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.ejection.failItem(item, now)
}

// mayEjectForItems reports whether the runner may be ejected for errors of batch items: it
// already is, or few enough other runners of its service are ejected. One runner always may
// be. The caller does not hold the mutex of a runner.
func (s *Set) mayEjectForItems(runner *Runner, now time.Time) bool {
	if runner.ejected(now) {
		return true
	}
	list := s.Service(runner.Service)
	ejected := 0
	for _, other := range list {
		if other.ejected(now) {
			ejected++
		}
	}
	return ejected < max(1, len(list)/minRunnersPerItemEjection)
}

// ejected reports whether the runner is ejected at the given time.
func (r *Runner) ejected(now time.Time) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.ejection.active(now)
}

// RecordLoad records the load that the runner reported in a response, without this node's
// requests, and its contention if it reported any; nil is ignored.
func (r *Runner) RecordLoad(reported *exchange.Load, now time.Time) {
	if reported == nil {
		return
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.report = runnerReport{max(0, float64(reported.Running+reported.Waiting)-float64(r.own.Running)), now}
	r.zoneUtilization.observe(r.report.otherRequests/r.slots(), now)
	if reported.Contention > 0 {
		r.contention.recordReceived(reported.Contention, now)
	}
}

// recordPeerReport records the report of another node, peer, of its load at the runner.
// It replaces the previous report of that node; a report without requests removes it. It
// returns the increase of the node's online requests.
func (r *Runner) recordPeerReport(peer string, report PeerReport, now time.Time) int {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	previous := r.peers[peer]
	started := max(0, report.online()-previous.online())
	if r.peers == nil {
		r.peers = map[string]peerLoad{}
	}
	r.prefixes.touch(report.SharedParts, now)
	if report.Contention.Value > 0 {
		r.contention.record(report.Contention.Value, now.Add(-max(0, report.Contention.Age)))
	}
	if report.Running == 0 && report.Unread == 0 {
		delete(r.peers, peer) // each choice iterates over all entries
		return started
	}
	r.peers[peer] = peerLoad{report.NodeLoad, now}
	return started
}

// forgetPeer drops the report of another node, and returns whether there was a report.
func (r *Runner) forgetPeer(peer string) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	_, had := r.peers[peer]
	delete(r.peers, peer)
	return had
}

// estimate returns the estimated load of the runner. The caller holds the mutex.
func (r *Runner) estimate(now time.Time) load {
	inputs := loadInputs{own: r.own, reported: countReported(r.own, r.peers, now), report: r.report, slots: r.slots()}
	if !r.set.receivesReports(r) {
		inputs.unreportedUtilization = r.zoneUtilization.expected(now)
	}
	return estimateLoad(&inputs, now)
}

// longestOverdue returns the longest wait among this node's stalled requests whose first
// event is overdue; 0 if there is no such request. The requests of other nodes do not
// count, since their reports do not say how long a request has waited. The caller holds
// the mutex.
func (r *Runner) longestOverdue(now time.Time) time.Duration {
	longest := time.Duration(0)
	for request := range r.waiting {
		waited := now.Sub(request.sent)
		if firstEventOverdue(waited, request.expectedWhenSent()) && request.stalled() {
			longest = max(longest, waited)
		}
	}
	return longest
}

// lastEventTime returns when the runner last sent this node an event; zero if it has
// sent none.
func (r *Runner) lastEventTime() time.Time {
	last := r.lastEvent.Load()
	if last == 0 {
		return time.Time{}
	}
	return processStart.Add(time.Duration(last))
}

// LoadSources are the numbers from which a runner's load was estimated, and the ages of
// the reports, for the log.
type LoadSources struct {
	// Own is the number of this node's requests, and Peers the sum of the numbers that
	// other nodes report.
	Own, Peers float64
	// OldestPeer is the age of the oldest report in Peers; 0 if there is none.
	OldestPeer time.Duration
	// Reported is the number of other nodes' requests by the runner's own report, and
	// ReportAge is the age of that report; both are 0 if there is no report or the
	// report has expired.
	Reported  float64
	ReportAge time.Duration
	// Contention is the contention that was assumed for the runner, and ContentionAge is
	// the age of the newest report of it; both are 0 if the runner reports none.
	Contention    float64
	ContentionAge time.Duration
	// ReceivesReports is set if other nodes report their load at the runner to this
	// node.
	ReceivesReports bool
}

// LogFields returns the keys and values for a log line, with numbers as integers and the
// contention in percent. The key "told" stands for Reported, "toldMs" for ReportAge, and
// "heard" for ReceivesReports.
func (s *LoadSources) LogFields() []any {
	return []any{
		"own", int(s.Own), "peers", int(s.Peers), "peersMs", s.OldestPeer.Milliseconds(),
		"told", int(s.Reported), "toldMs", s.ReportAge.Milliseconds(), "heard", s.ReceivesReports,
		"contention", int(math.Round(100 * s.Contention)), "contentionMs", s.ContentionAge.Milliseconds(),
	}
}

// loadSources returns the numbers from which the runner's load is estimated at the given
// time.
func (r *Runner) loadSources(now time.Time) LoadSources {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	sources := LoadSources{Own: float64(r.own.Running), ReceivesReports: r.set.receivesReports(r)}
	for _, peer := range r.peers {
		if age := now.Sub(peer.at); age < peerReportLifetime {
			sources.Peers += float64(peer.Running)
			sources.OldestPeer = max(sources.OldestPeer, age)
		}
	}
	if age := now.Sub(r.report.at); age < runnerReportLifetime {
		sources.Reported, sources.ReportAge = r.report.otherRequests, age
	}
	if contention := r.contention.estimate(now); contention.reported {
		sources.Contention, sources.ContentionAge = contention.value, r.contention.age(now)
	}
	return sources
}

// RequestCounts are the numbers of requests at a runner, by this node's own counts and
// the reports of other nodes.
type RequestCounts struct {
	// Running is the number of requests of all nodes, and Batch how many of them are
	// batch items.
	Running, Batch float64
	// OwnBatch is the number of this node's batch items.
	OwnBatch int
}

// RequestCounts returns the numbers of requests that this node and the other nodes have at
// the runner. It ignores the runner's own report, which may still include preempted items.
func (r *Runner) RequestCounts(now time.Time) RequestCounts {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	reported := countReported(r.own, r.peers, now)
	return RequestCounts{Running: reported.running, Batch: reported.batch, OwnBatch: r.own.Batch}
}

// BatchHolders returns the IDs of the other nodes that have batch items at the runner, by
// their reports.
func (r *Runner) BatchHolders(now time.Time) []string {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	var holders []string
	for node, peer := range r.peers {
		if peer.Batch > 0 && now.Sub(peer.at) < peerReportLifetime {
			holders = append(holders, node)
		}
	}
	return holders
}

// OwnLoad returns this node's current load at the runner.
func (r *Runner) OwnLoad() NodeLoad {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.own
}
