package runnerset

import "time"

// NodeLoad counts the requests of one node at a runner.
type NodeLoad struct {
	Running int
	// Batch is how many of Running are batch items, which can be preempted.
	Batch int
	// Unread are prompt tokens sent whose first event has not come.
	Unread int
}

// PeerReport is what another node reports of its requests at a runner.
type PeerReport struct {
	NodeLoad
	// SharedParts of the prompt that was just sent.
	SharedParts []PromptPart
}

// peerLoad is the last report of a peer.
type peerLoad struct {
	NodeLoad
	at time.Time
}

// runnerReport is the load of other nodes by the runner's last answer: the requests
// that it counted, less this node's own.
type runnerReport struct {
	others float64
	at     time.Time
}

// load is an estimate of the requests at a runner, of all nodes.
type load struct {
	running, batch float64 // requests, and how many of them are batch items
	unread         float64 // prompt tokens
}

const (
	// runnerReportLifetime is how long a runner's report counts; it fades linearly.
	runnerReportLifetime = time.Second
	// peerReportLifetime is how long a peer's report counts without a new one. A peer
	// repeats it each second (loadshare), and two may be lost.
	peerReportLifetime = 2500 * time.Millisecond
	// peerUnreadLifetime is how long tokens that a peer has sent may take to be read.
	peerUnreadLifetime = 700 * time.Millisecond
)

// countReported adds up this node's requests at a runner and those that peers
// report, as long as their reports count.
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

// loadInputs are what an estimate of a runner's load rests on.
type loadInputs struct {
	own NodeLoad
	// reported is the sum of countReported.
	reported load
	// report is the runner's own.
	report runnerReport
	// slots of the runner.
	slots float64
	// unreported is the share of the slots that other nodes are expected to hold
	// without reporting it to this node; 0 at a runner whose users report.
	unreported float64
}

// estimateLoad estimates the requests at a runner: those that nodes report; if that
// is less, what the runner reported, fading with its age; and where nodes do not
// report to this one, at least the expected share of the slots. The largest
// counts, since each source misses requests and none invents them for long.
func estimateLoad(inputs *loadInputs, now time.Time) load {
	estimate := inputs.reported
	estimate.running = max(estimate.running, float64(inputs.own.Running)+inputs.unreported*inputs.slots)
	if age := now.Sub(inputs.report.at); age < runnerReportLifetime {
		reported := float64(inputs.own.Running) + inputs.report.others*(1-float64(age)/float64(runnerReportLifetime))
		estimate.running = max(estimate.running, reported)
	}
	return estimate
}
