package runnerset

import "time"

// NodeLoad is the load of one node's requests at a runner.
type NodeLoad struct {
	// Running is the number of requests that the node has in flight at the runner.
	Running int
	// Batch is how many of the Running requests are batch items, which can be preempted.
	Batch int
	// Unread is the number of uncached prompt tokens of the requests whose first event
	// has not arrived.
	Unread int
}

// online returns the number of requests that are not batch items.
func (l *NodeLoad) online() int { return l.Running - l.Batch }

// PeerReport is another node's report of its load at a runner.
type PeerReport struct {
	NodeLoad
	// SharedParts are the leading parts of the prompt that the node has just sent; nil
	// if the report has another cause.
	SharedParts []PromptPart
	// Contention is the newest contention that the runner reported to the other node.
	Contention ContentionReport
	// StartedAt is the start of the runner that the report is about, as in
	// Record.StartedAt; 0 if not stated.
	StartedAt int64
}

type peerLoad struct {
	NodeLoad
	at time.Time
}

// runnerReport is the load that the runner last reported. otherRequests is the number of
// its running and waiting requests, without those of this node at that time.
type runnerReport struct {
	otherRequests float64
	at            time.Time
}

// load is the estimated load of a runner by the requests of all nodes.
type load struct {
	running, batch float64 // requests, and how many of them are batch items
	unread         float64 // prompt tokens that the runner has not yet processed
}

const (
	// runnerReportLifetime is how long a runner's report is used; its weight falls
	// linearly to zero.
	runnerReportLifetime = time.Second
	// peerReportLifetime is how long a peer's report is used. Peers repeat their reports
	// each second (see loadshare), so one repetition may be lost.
	peerReportLifetime = 2500 * time.Millisecond
	// peerUnreadLifetime is how long prompt tokens that a peer reports count as
	// unprocessed.
	peerUnreadLifetime = 700 * time.Millisecond
)

// countReported returns the sum of this node's load at a runner and of the loads in the
// peers' reports that have not expired.
func countReported(own NodeLoad, peers map[string]peerLoad, now time.Time) load {
	var others load
	for _, peer := range peers {
		age := now.Sub(peer.at)
		if age < peerReportLifetime {
			others.running += float64(peer.Running)
			others.batch += float64(peer.Batch)
		}
		if age < peerUnreadLifetime {
			others.unread += float64(peer.Unread)
		}
	}
	return load{
		running: float64(own.Running) + others.running, batch: float64(own.Batch) + others.batch,
		unread: float64(own.Unread) + others.unread,
	}
}

// loadInputs are the inputs to the estimate of a runner's load.
type loadInputs struct {
	own NodeLoad
	// reported is the result of countReported.
	reported load
	// report is the last report of the runner itself; zero if there is none.
	report runnerReport
	slots  float64
	// unreportedUtilization is the result of zoneUtilization.expected: the expected
	// number of requests of other nodes per slot; 0 at a reported runner.
	unreportedUtilization float64
}

// estimateLoad estimates the load of a runner. The number of requests is the largest of
// three values: the requests of this node and those that other nodes report; this node's
// requests plus the other requests in the runner's own report, whose weight falls with
// its age; and, at an unreported runner, this node's requests plus the expected requests
// of other nodes. The largest value is used because each source can miss requests. The
// batch items and unprocessed tokens are those that nodes report.
func estimateLoad(inputs *loadInputs, now time.Time) load {
	estimate := inputs.reported
	estimate.running = max(estimate.running, float64(inputs.own.Running)+inputs.unreportedUtilization*inputs.slots)
	if age := now.Sub(inputs.report.at); age < runnerReportLifetime {
		reported := float64(inputs.own.Running) + inputs.report.otherRequests*(1-float64(age)/float64(runnerReportLifetime))
		estimate.running = max(estimate.running, reported)
	}
	return estimate
}
