package runnerset

import (
	"sync"
	"sync/atomic"
	"time"

	"cobaltramp.example/cobaltramp/internal/serving/enginemodel"
	"cobaltramp.example/cobaltramp/internal/serving/exchange"
)

// Runner is a listed runner with what this node knows of it: its own requests,
// those that other nodes report, the load that the runner reports, failures and
// speed.
type Runner struct {
	Record

	set *Set
	// model is of the service's engines.
	model         *enginemodel.EngineModel
	neighbourhood *neighbourhood
	// refresh is of the service's neighbourhoods.
	refresh *neighbourhoodRefresh
	gone    atomic.Bool // leaving, or no longer listed
	// removed is when the runner was removed from the list without having said that
	// it leaves, as time since processStart; 0 if it was not.
	removed atomic.Int64
	// lastEvent is when an event of any request last came to this node, as time
	// since processStart; 0 if none has.
	lastEvent atomic.Int64
	mutex     sync.Mutex
	// own are this node's requests, peers those that other nodes report.
	own      NodeLoad
	peers    map[string]peerLoad
	report   runnerReport
	kept     keptParts
	ejection ejection
	// waiting are this node's requests whose first event has not come.
	waiting map[*InFlight]bool
	// newestAnswered is when the newest of this node's requests was sent whose first
	// event has come.
	newestAnswered time.Time
	// slowness is a moving average of how many times longer than expected the first
	// event took; 0 before the first.
	slowness float64
}

const (
	// slownessWeight is the weight of a new sample, which is bounded.
	slownessWeight = 0.2
	minSlowness    = 0.5
	maxSlowness    = 10.0
	// lastResortTime is how long a runner that was removed from the list is still used
	// when there is no other: it is well within the time that leaving runners serve
	// on. Entries of runners that live are lost at times while the store is down, and
	// come back with their next heartbeat.
	lastResortTime = 800 * time.Millisecond
)

// processStart anchors times kept in atomics to the monotonic clock.
var processStart = time.Now()

// AcceptsWork reports whether the runner may be sent new work.
func (r *Runner) AcceptsWork() bool { return !r.gone.Load() }

// StillServes reports whether the runner was removed from the list only lately,
// without having said that it leaves.
func (r *Runner) StillServes() bool {
	removed := r.removed.Load()
	return removed > 0 && time.Since(processStart)-time.Duration(removed) < lastResortTime
}

func (r *Runner) slots() float64 {
	if r.Slots == 0 {
		return assumedSlots
	}
	return float64(r.Slots)
}

// noteSlowness takes how many times longer than expected a first event took.
func (r *Runner) noteSlowness(sample float64) {
	sample = min(max(sample, minSlowness), maxSlowness)
	if r.slowness == 0 {
		r.slowness = 1
	}
	r.slowness += slownessWeight * (sample - r.slowness)
}

// RecordFailure records a failure of the runner, which ejects it for a while.
func (r *Runner) RecordFailure(now time.Time) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.ejection.fail(now)
}

// RecordLoad takes the load that the runner reported in an answer; nil if none.
func (r *Runner) RecordLoad(reported *exchange.Load, now time.Time) {
	if reported == nil {
		return
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.report = runnerReport{max(0, float64(reported.Running+reported.Waiting)-float64(r.own.Running)), now}
	r.neighbourhood.observe(r.report.others/r.slots(), now)
}

// recordPeerReport takes a report of another node's requests at the runner.
func (r *Runner) recordPeerReport(peer string, report PeerReport, now time.Time) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.peers == nil {
		r.peers = map[string]peerLoad{}
	}
	r.kept.touch(report.SharedParts, now)
	if report.Running == 0 && report.Unread == 0 {
		delete(r.peers, peer) // every choice reads all of them
		return
	}
	r.peers[peer] = peerLoad{report.NodeLoad, now}
}

// forgetPeer drops what a node reported of the runner, and reports whether it had
// requests there.
func (r *Runner) forgetPeer(peer string) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	_, had := r.peers[peer]
	delete(r.peers, peer)
	return had
}

// estimate returns the estimated load of the runner. The mutex is held.
func (r *Runner) estimate(now time.Time) load {
	inputs := loadInputs{own: r.own, reported: countReported(r.own, r.peers, now), report: r.report, slots: r.slots()}
	if !r.set.receivesReports(r) {
		inputs.unreported = r.neighbourhood.expected(now)
	}
	return estimateLoad(&inputs, now)
}

// longestOverdue returns how long this node has waited for a first event at the
// runner, if it is overdue by the runner's fault; else 0. What peers report is not
// enough for it: reports are batched, and a runner that always has some prompt to
// read looks the same as one that never reads it. The mutex is held.
func (r *Runner) longestOverdue(now time.Time) time.Duration {
	longest := time.Duration(0)
	for request := range r.waiting {
		waited := now.Sub(request.sent)
		if firstEventOverdue(waited, request.expected) && request.passedOver() {
			longest = max(longest, waited)
		}
	}
	return longest
}

// lastEventTime returns when the runner last sent this node an event; zero if never.
func (r *Runner) lastEventTime() time.Time {
	last := r.lastEvent.Load()
	if last == 0 {
		return time.Time{}
	}
	return processStart.Add(time.Duration(last))
}

// LoadSources are the parts of the estimated load of a runner, each with its age,
// for the log.
type LoadSources struct {
	// Own are this node's requests there, Peers those that other nodes report.
	Own, Peers float64
	// OldestPeer is the age of the oldest of these reports; 0 if there is none.
	OldestPeer time.Duration
	// Reported is how many requests of others the runner reported, ReportAge ago; 0
	// and 0 if it has reported nothing that still counts.
	Reported  float64
	ReportAge time.Duration
	// ReceivesReports: other nodes report their requests there to this one.
	ReceivesReports bool
}

// LogFields returns the keys and values of a log line, under the keys that
// docs/OPERATIONS.md explains: told is the runner's report, heard that others report.
func (s *LoadSources) LogFields() []any {
	return []any{
		"own", int(s.Own), "peers", int(s.Peers), "peersMs", s.OldestPeer.Milliseconds(),
		"told", int(s.Reported), "toldMs", s.ReportAge.Milliseconds(), "heard", s.ReceivesReports,
	}
}

// loadSources returns the parts of the runner's load.
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

// RequestCounts are the requests at a runner that nodes report.
type RequestCounts struct {
	// Running are those of all nodes, Batch how many of them are batch items.
	Running, Batch float64
	// OwnBatch are this node's batch items.
	OwnBatch int
}

// RequestCounts returns the requests that this node and its peers have at the
// runner. What the runner reported is left out: it may still count preempted items.
func (r *Runner) RequestCounts(now time.Time) RequestCounts {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	reported := countReported(r.own, r.peers, now)
	return RequestCounts{Running: reported.running, Batch: reported.batch, OwnBatch: r.own.Batch}
}

// BatchHolders lists the nodes that have batch items at the runner.
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

// OwnLoad returns this node's requests at the runner now.
func (r *Runner) OwnLoad() NodeLoad {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.own
}
