package allotment

import (
	"fmt"
	"time"

	"pgregory.net/rapid"
)

var tolerance = Tolerance{Window: 5 * time.Second, Overrun: 0.1, Slack: 20}

const testTenant = "tenant"

// fleet models nodes with allowances and a sequence of keepers. Messages may be lost or
// delayed; nodes may be partitioned, stall between acquiring a credit and sending, or
// restart.
type fleet struct {
	now    time.Time
	limit  RateLimit
	keeper *Keeper
	nodes  []*modelNode
	// sent holds the times at which requests reached a runner.
	sent []time.Time
	// requests counts incoming requests, refused those that were not sent.
	requests, refused int
	// requestCount selects the node of the next request.
	requestCount int
}

type modelNode struct {
	holder      HolderID
	number      uint64
	allowance   *Allowance
	partitioned bool
	// late holds claims that have not reached the keeper yet.
	late []lateClaim
	// pending holds acquired credits whose requests are not sent yet.
	pending []Credit
	stalled bool
}

type lateClaim struct {
	holder HolderID
	number uint64
	claim  Claim
}

func newFleet(nodes int, limit RateLimit) *fleet {
	f := &fleet{now: time.Unix(1000, 0), limit: limit}
	f.keeper = NewKeeper(f.now, tolerance)
	for i := range nodes {
		f.nodes = append(f.nodes, &modelNode{holder: HolderID{fmt.Sprint("n", i), 1}, allowance: NewAllowance(f.now, tolerance)})
	}
	return f
}

// renew sends a claim; the request or the reply may be lost.
func (f *fleet) renew(n *modelNode, lostRequest, lostReply bool) {
	n.number++
	claim := n.allowance.Claim(f.now, testTenant, f.limit)
	if n.partitioned || lostRequest {
		n.late = append(n.late, lateClaim{n.holder, n.number, claim})
		return
	}
	grant, valid := f.keeper.Renew(f.now, n.holder, n.number, f.limit, claim)
	if valid && !lostReply {
		n.allowance.ApplyGrant(f.now, f.now, f.limit, grant)
	}
}

// deliverLate delivers delayed claims to the keeper; the replies are lost.
func (f *fleet) deliverLate(n *modelNode) {
	for _, late := range n.late {
		f.keeper.Renew(f.now, late.holder, late.number, f.limit, late.claim)
	}
	n.late = nil
}

// request sends a request to a node.
func (f *fleet) request(n *modelNode, slow bool) {
	f.requests++
	n.allowance.RecordRequest(f.now)
	credit, ok := n.allowance.AcquireCredit(f.now, f.limit)
	if _, empty := n.allowance.PoolEmpty(f.now); !ok && !n.partitioned && !empty {
		given, wait := f.keeper.Credits(f.now, testTenant, f.limit, 1)
		n.allowance.AddPoolCredits(f.now, given)
		if given == 0 {
			n.allowance.RecordPoolEmpty(f.now, wait)
		}
		credit, ok = n.allowance.AcquireCredit(f.now, f.limit)
	}
	if !ok && n.partitioned {
		credit, ok = n.allowance.AcquireSpare(f.now)
	}
	if !ok {
		f.refused++
		return
	}
	if slow || n.stalled {
		n.pending = append(n.pending, credit)
		return
	}
	f.send(credit)
}

// send passes a request to a runner if its credit is still valid.
func (f *fleet) send(credit Credit) {
	if credit.Valid(f.now) {
		f.sent = append(f.sent, f.now)
	}
}

func (f *fleet) sendPending(n *modelNode) {
	for _, credit := range n.pending {
		f.send(credit)
	}
	n.pending = nil
}

func (f *fleet) restart(n *modelNode) {
	n.holder.Incarnation++
	n.number, n.allowance, n.pending, n.stalled = 0, NewAllowance(f.now, tolerance), nil, false
}

// maxInWindow returns the largest number of requests in any window.
func (f *fleet) maxInWindow() int {
	most, first := 0, 0
	for i, at := range f.sent {
		for at.Sub(f.sent[first]) >= tolerance.Window {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

func (f *fleet) allowedInWindow(limit RateLimit) float64 {
	return (limit.Rate*tolerance.Window.Seconds()+limit.Burst)*(1+tolerance.Overrun) + float64(tolerance.Slack)
}

// checkLeases checks that shares stay within maxSharedPart and their leases, and that spare
// requests stay within the slack.
func (f *fleet) checkLeases() string {
	shares, spares := 0.0, 0
	for _, n := range f.nodes {
		n.allowance.fill(f.now, f.limit)
		shares += n.allowance.share
		if n.allowance.spare {
			spares++
		}
		if n.allowance.share > 0 && n.allowance.shareExpires.After(f.now.Add(LeaseTTL)) {
			return "a share lasts longer than its lease"
		}
		if n.allowance.bucket.level > n.allowance.share*f.limit.Burst+1e-9 {
			return "a share has more credit than its burst"
		}
	}
	switch {
	case shares > maxSharedPart+1e-9:
		return fmt.Sprintf("shares of %.3f are in use", shares)
	case spares > tolerance.maxSpares():
		return fmt.Sprintf("%d spare requests are granted", spares)
	}
	return ""
}

func (f *fleet) step(rt *rapid.T) {
	n := f.nodes[rapid.IntRange(0, len(f.nodes)-1).Draw(rt, "node")]
	switch rapid.IntRange(0, 8).Draw(rt, "event") {
	case 0:
		f.keeper = NewKeeper(f.now, tolerance)
	case 1:
		f.restart(n)
	case 2:
		n.partitioned = !n.partitioned
	case 3:
		f.deliverLate(n)
	case 4:
		f.renew(n, false, true)
	case 5:
		f.renew(n, true, false)
	case 6:
		n.stalled = !n.stalled
	case 7:
		for _, node := range f.nodes { // power failure of all nodes
			f.restart(node)
		}
		f.keeper = NewKeeper(f.now, tolerance)
	}
}

// runSecond simulates a second in which each node renews and requests arrive at the first
// nodes.
func (f *fleet) runSecond(load float64, activeNodes int) {
	const steps = 50
	for i := range steps {
		f.now = f.now.Add(time.Second / steps)
		for at, n := range f.nodes {
			if at%steps == i {
				f.renew(n, false, false)
			}
		}
		count := int(load*f.limit.Rate/steps*float64(i+1)) - int(load*f.limit.Rate/steps*float64(i))
		for range count {
			f.requestCount++
			f.request(f.nodes[f.requestCount%activeNodes], f.requestCount%5 == 0)
		}
		if i%10 == 9 {
			for _, n := range f.nodes {
				if !n.stalled {
					f.sendPending(n)
				}
			}
		}
	}
}

// run simulates seconds of load on the first nodes and returns the fraction of requests that
// were refused.
func (f *fleet) run(seconds int, load float64, activeNodes int) float64 {
	f.requests, f.refused = 0, 0
	for range seconds {
		f.runSecond(load, activeNodes)
	}
	return float64(f.refused) / float64(max(1, f.requests))
}

// settledFleet returns a fleet whose keeper has run for longer than LeaseTTL.
func settledFleet(nodes int, limit RateLimit) *fleet {
	f := newFleet(nodes, limit)
	f.now = f.now.Add(2 * LeaseTTL)
	return f
}
