// Package spread decides how a new revision of the configuration bundle reaches every
// node. A few nodes of each region watch the platform's service. Each node that learns of
// a new revision notifies a few random nodes once, which fetch the revision and do the
// same. Such push gossip reaches n nodes in about log(n) rounds (Karp and others 2000).
// Membership messages also carry the revision, so that a node that lost a notice learns
// of it later. The package keeps no state. It runs on plain nodes.
package spread

import (
	"math/rand/v2"

	"github.com/cespare/xxhash/v2"

	"cobaltramp.example/cobaltramp/internal/cluster/ownership"
)

const (
	// WatchersPerRegion is the maximum number of nodes of a region that watch the
	// platform's service.
	WatchersPerRegion = 3
	// Fanout is the number of nodes that a node notifies of a new revision. The notices
	// miss a node with a probability of about e^-Fanout; membership messages reach it
	// later.
	Fanout = 4
)

// IsWatcher reports whether a node is one of the nodes of its region that watch the
// platform's service: fewer than WatchersPerRegion of the candidates in its region have a
// higher watchWeight.
func IsWatcher(self ownership.Node, candidates []ownership.Node) bool {
	higher := 0
	own := watchWeight(self.ID)
	for _, candidate := range candidates {
		if candidate.Region == self.Region && candidate.ID != self.ID && watchWeight(candidate.ID) > own {
			higher++
		}
	}
	return higher < WatchersPerRegion
}

// watchWeight returns the hash by which nodes are ranked as watchers.
func watchWeight(id string) uint64 { return xxhash.Sum64String("bundle-watch\x00" + id) }

// DigestFanout is the number of nodes of its zone to which a node sends a digest of its
// load every second. Nodes that send it requests also receive its load with each response.
const DigestFanout = 4

// Targets returns the ids of up to Fanout random candidates other than self, which are to
// be notified of a new revision.
func Targets(self string, candidates []ownership.Node, random *rand.Rand) []string {
	return Sample(self, candidates, Fanout, random)
}

// Sample returns the ids of up to count random candidates other than self, in random
// order.
func Sample(self string, candidates []ownership.Node, count int, random *rand.Rand) []string {
	others := make([]string, 0, len(candidates))
	for _, candidate := range candidates {
		if candidate.ID != self {
			others = append(others, candidate.ID)
		}
	}
	count = min(len(others), count)
	for i := range count {
		j := i + random.IntN(len(others)-i)
		others[i], others[j] = others[j], others[i]
	}
	return others[:count]
}
