package peers

import (
	"time"

	wirev1 "cobaltramp.example/cobaltramp/api/wire/v1"
)

// Reachability knows which nodes with disks this node and its peers reach directly.
type Reachability interface {
	// ReachableDisks returns the IDs of the nodes with disks with which this node had direct
	// contact recently.
	ReachableDisks(now time.Time) []string
	// RecordReachable records the IDs of the nodes with disks that the peer at an address
	// reaches.
	RecordReachable(address string, nodes []string, now time.Time)
}

// fillReachable adds this node's reachable disks to a request.
func (s *Syncer) fillReachable(request *wirev1.PeerStateRequest) {
	if s.Reachability != nil {
		request.ReachableDisks = s.Reachability.ReachableDisks(time.Now())
	}
}

// exchangeReachable records the reachable disks in a peer's request and adds this node's to
// the reply.
func (s *Syncer) exchangeReachable(request *wirev1.PeerStateRequest, reply *wirev1.PeerStateReply) {
	if s.Reachability == nil {
		return
	}
	now := time.Now()
	if request.Self != nil {
		s.recordReachable(request.Self.Address, request.ReachableDisks, now)
	}
	reply.ReachableDisks = s.Reachability.ReachableDisks(now)
}

// recordReachable records the reachable disks that the node at an address has sent. An empty
// list has no meaning: nodes of the previous version send none either.
func (s *Syncer) recordReachable(address string, nodes []string, now time.Time) {
	if s.Reachability != nil && len(nodes) > 0 {
		s.Reachability.RecordReachable(address, nodes, now)
	}
}
