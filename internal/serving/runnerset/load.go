package runnerset

import "time"

// NodeLoad is the load that one node has at a runner.
type NodeLoad struct {
	Running int
	// Batch is the number of Running requests that are batch items and can be preempted.
	Batch int
	// Unread is the number of prompt tokens in requests whose first event has not
	// arrived.
	Unread int
}

// PeerReport is another node's report of its load at a runner.
type PeerReport struct {
	NodeLoad
	// SharedParts are the leading parts of the prompt that was just sent.
	SharedParts []PromptPart
}

type peerLoad struct {
	NodeLoad
	at time.Time
}

// runnerReport is the load that the runner last reported, without this node's own
// requests.
type runnerReport struct {
	others float64
	at     time.Time
}

// load is the estimated load of a runner by the requests of all nodes.
type load struct {
	running, batch float64 // requests, and how many of them are batch items
	unread         float64 // prompt tokens not yet processed
}

const (
	// runnerReportLifetime is how long a runner's report is used; its weight falls
	// linearly to zero.
	runnerReportLifetime = time.Second
	// peerReportLifetime is how long a peer's report is used. Peers repeat their reports
	// each second (see loadshare), so two may be lost.
	peerReportLifetime = 2500 * time.Millisecond
	// peerUnreadLifetime is how long prompt tokens that a peer reports count as
	// unprocessed.
	peerUnreadLifetime = 700 * time.Millisecond
)

// countReported sums the load of this node at a runner and the loads in peers' reports
// that have not expired.
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
	// report is the last report of the runner itself.
	report runnerReport
	slots  float64
	// unreported is the expected share of the slots that is held by nodes that do not
	// report to this node; 0 at a reported runner.
	unreported float64
}

// estimateLoad estimates the number of requests at a runner as the largest of three
// values: the requests that nodes report; the runner's own report, with a weight that
// falls with its age; and, if nodes do not report to this one, the expected share of the
// slots. Each source can miss requests, but none overstates them for long.
func estimateLoad(inputs *loadInputs, now time.Time) load {
	estimate := inputs.reported
	estimate.running = max(estimate.running, float64(inputs.own.Running)+inputs.unreported*inputs.slots)
	if age := now.Sub(inputs.report.at); age < runnerReportLifetime {
		reported := float64(inputs.own.Running) + inputs.report.others*(1-float64(age)/float64(runnerReportLifetime))
		estimate.running = max(estimate.running, reported)
	}
	return estimate
}
