package forwarding

import (
	"time"

	wirev1 "cobaltramp.example/cobaltramp/api/wire/v1"
)

const (
	// reportLifetime is how long a peer's report of the disks that it reaches counts.
	reportLifetime = 3 * time.Second
	// forwardedLifetime is how long a peer is preferred after it forwarded a call.
	forwardedLifetime = 10 * time.Second
	// unreachableLifetime is how long a forwarder is not used for a target that it could not
	// reach, or for any target if the forwarder could not be reached.
	unreachableLifetime = 2 * time.Second
	// busyLifetime is how long a forwarder at its limits is not used.
	busyLifetime = 100 * time.Millisecond
	// unsupportedLifetime is how long a node that does not forward calls is not used.
	unsupportedLifetime = 30 * time.Second
)

// peerState is what this node knows about a peer as a forwarder.
type peerState struct {
	// reported holds the IDs of the nodes that the peer reached at the time reportedAt.
	reported   map[string]bool
	reportedAt time.Time
	// unusableUntil applies to all targets, unreachableUntil and forwardedAt to the target
	// with an address.
	unusableUntil    time.Time
	unreachableUntil map[string]time.Time
	forwardedAt      map[string]time.Time
}

func newPeerState() *peerState {
	return &peerState{unreachableUntil: map[string]time.Time{}, forwardedAt: map[string]time.Time{}}
}

// usable reports whether calls to the target may be sent through the peer.
func (p *peerState) usable(target *wirev1.NodeRecord, now time.Time) bool {
	return p == nil || !now.Before(p.unusableUntil) && !now.Before(p.unreachableUntil[target.Address])
}

// reaches reports whether the peer recently had contact with the target.
func (p *peerState) reaches(target *wirev1.NodeRecord, now time.Time) bool {
	if p == nil {
		return false
	}
	reported := p.reported[target.NodeId] && now.Sub(p.reportedAt) < reportLifetime
	forwarded, found := p.forwardedAt[target.Address]
	return reported || found && now.Sub(forwarded) < forwardedLifetime
}

// forwarderRank orders the candidates for a call; the lowest rank comes first.
func forwarderRank(sameZone, reaches bool) int {
	switch {
	case sameZone && reaches:
		return 0
	case sameZone:
		return 1
	case reaches:
		return 2
	default:
		return 3
	}
}

// choice is the input of chooseForwarder.
type choice struct {
	target, self *wirev1.NodeRecord
	// nodes are the known nodes, and used the addresses that the call has used already.
	nodes []*wirev1.NodeRecord
	used  map[string]bool
	peers map[string]*peerState // by address
	now   time.Time
	// random returns a number below its argument.
	random func(int) int
}

// chooseForwarder returns the address of the node through which the target is called, or ""
// if no node is usable. It chooses at random among equal candidates.
func chooseForwarder(c choice) string {
	best, bestRank, equal := "", 0, 0
	for _, node := range c.nodes {
		if node.NodeId == c.self.NodeId || node.DiskId != "" || node.Leaving || c.used[node.Address] {
			continue
		}
		peer := c.peers[node.Address]
		if !peer.usable(c.target, c.now) {
			continue
		}
		rank := forwarderRank(node.Zone == c.self.Zone, peer.reaches(c.target, c.now))
		if best == "" || rank < bestRank {
			best, bestRank, equal = node.Address, rank, 1
			continue
		}
		if rank == bestRank {
			equal++
			if c.random(equal) == 0 {
				best = node.Address
			}
		}
	}
	return best
}
