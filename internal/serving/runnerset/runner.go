package runnerset

import (
	"sync"
	"sync/atomic"
	"time"

	"cobaltramp.example/cobaltramp/internal/serving/enginemodel"
	"cobaltramp.example/cobaltramp/internal/serving/exchange"
)

// Runner is a listed runner with this node's knowledge about it: this node's own
// requests there, the load that other nodes and the runner itself report, its failures,
// and its speed.
type Runner struct {
	Record

	set *Set
	// model is the latency model of the service's engines.
	model           *enginemodel.EngineModel
	zoneUtilization *zoneUtilization
	// refresh is shared by all runners of the service.
	refresh      *utilizationRefresh
	notAccepting atomic.Bool // leaving, or no longer listed
	// removed is when the runner was removed from the list without having been marked as
	// leaving, as the time since processStart; 0 if that has not happened.
	removed atomic.Int64
	// lastEvent is when this node last received an event of any request from the runner,
	// as the time since processStart; 0 if it has received none.
	lastEvent atomic.Int64
	mutex     sync.Mutex
	// own is this node's load, and peers holds the loads that other nodes report.
	own      NodeLoad
	peers    map[string]peerLoad
	report   runnerReport
	prefixes prefixCache
	ejection ejection
	// waiting holds this node's requests whose first event has not arrived.
	waiting map[*InFlight]bool
	// newestStarted is the latest send time of this node's requests whose first event
	// has arrived.
	newestStarted time.Time
	// slowness is the moving average of the ratio of actual to expected time to the
	// first event; 0 before the first sample.
	slowness float64
}

const (
	// slownessWeight is the weight of a new sample, which is clamped to minSlowness and
	// maxSlowness.
	slownessWeight = 0.2
	minSlowness    = 0.5
	maxSlowness    = 10.0
	// removedRunnerGrace is how long a runner that was removed from the list may be used
	// if there is no other. Live runners can drop out of the list while the store is
	// down, until their next heartbeat. Leaving runners go on serving for longer than
	// this.
	removedRunnerGrace = 800 * time.Millisecond
)

// processStart is the reference for times stored in atomics, so that they use the
// monotonic clock.
var processStart = time.Now()

// AcceptsWork reports whether new requests may be sent to the runner.
func (r *Runner) AcceptsWork() bool { return !r.notAccepting.Load() }

// RecentlyRemoved reports whether the runner was removed from the list within
// removedRunnerGrace without having been marked as leaving.
func (r *Runner) RecentlyRemoved() bool {
	removed := r.removed.Load()
	return removed > 0 && time.Since(processStart)-time.Duration(removed) < removedRunnerGrace
}

func (r *Runner) slots() float64 {
	if r.Slots == 0 {
		return assumedSlots
	}
	return float64(r.Slots)
}

// updateSlowness adds a sample: the ratio of actual to expected time to a first event.
// The caller holds the mutex.
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

// RecordLoad records the load that the runner reported in a response; nil is ignored.
func (r *Runner) RecordLoad(reported *exchange.Load, now time.Time) {
	if reported == nil {
		return
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.report = runnerReport{max(0, float64(reported.Running+reported.Waiting)-float64(r.own.Running)), now}
	r.zoneUtilization.observe(r.report.others/r.slots(), now)
}

// recordPeerReport records a report of another node's load at the runner.
func (r *Runner) recordPeerReport(peer string, report PeerReport, now time.Time) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.peers == nil {
		r.peers = map[string]peerLoad{}
	}
	r.prefixes.touch(report.SharedParts, now)
	if report.Running == 0 && report.Unread == 0 {
		delete(r.peers, peer) // each choice iterates over all entries
		return
	}
	r.peers[peer] = peerLoad{report.NodeLoad, now}
}

// forgetPeer drops the report of a node, and returns whether there was one.
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
		inputs.unreported = r.zoneUtilization.expected(now)
	}
	return estimateLoad(&inputs, now)
}

// longestOverdue returns the longest time that this node has waited for an overdue first
// event at the stalled runner; 0 if there is none. Peers' reports can't show this: they
// are batched, and a runner that always has some prompt to process looks the same as one
// that never processes it. The caller holds the mutex.
func (r *Runner) longestOverdue(now time.Time) time.Duration {
	longest := time.Duration(0)
	for request := range r.waiting {
		waited := now.Sub(request.sent)
		if firstEventOverdue(waited, request.expected) && request.stalled() {
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

// LoadSources are the components of a runner's estimated load, with their ages, for the
// log.
type LoadSources struct {
	// Own is the number of this node's requests, and Peers the number that other nodes
	// report.
	Own, Peers float64
	// OldestPeer is the age of the oldest of the peers' reports; 0 if there is none.
	OldestPeer time.Duration
	// Reported is the number of other nodes' requests by the runner's own report, and
	// ReportAge the age of that report; both are 0 if there is none or it has expired.
	Reported  float64
	ReportAge time.Duration
	// ReceivesReports is set if other nodes report their load at the runner to this
	// node.
	ReceivesReports bool
}

// LogFields returns the keys and values for a log line. The key "told" stands for the
// runner's own report, and "heard" for ReceivesReports.
func (s *LoadSources) LogFields() []any {
	return []any{
		"own", int(s.Own), "peers", int(s.Peers), "peersMs", s.OldestPeer.Milliseconds(),
		"told", int(s.Reported), "toldMs", s.ReportAge.Milliseconds(), "heard", s.ReceivesReports,
	}
}

// loadSources returns the components of the runner's estimated load.
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
		sources.Reported, sources.ReportAge = r.report.others, age
	}
	return sources
}

// RequestCounts are the requests at a runner by the reports of nodes.
type RequestCounts struct {
	// Running is the number of requests of all nodes, and Batch how many of them are
	// batch items.
	Running, Batch float64
	// OwnBatch is the number of this node's batch items.
	OwnBatch int
}

// RequestCounts returns the requests that this node and its peers have at the runner. It
// ignores the runner's own report, which may still include preempted items.
func (r *Runner) RequestCounts(now time.Time) RequestCounts {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	reported := countReported(r.own, r.peers, now)
	return RequestCounts{Running: reported.running, Batch: reported.batch, OwnBatch: r.own.Batch}
}

// BatchHolders returns the nodes that have batch items at the runner, by their reports.
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
