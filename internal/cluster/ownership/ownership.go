// Package ownership assigns runners to nodes by rendezvous hashing (highest random weight,
// Thaler and Ravishankar 1998). The owner of a runner is the node with the highest weight
// among the candidates in the runner's zone. If the zone has no candidates, the owner is
// chosen among those in the runner's region, and if the region has none, among all. The
// package is stateless.
//
// Ownership is only a hint: while views of the fleet differ, two nodes may consider
// themselves the owner of the same runner. That costs efficiency and breaks no promise, because
// promises rest on the engines' stream ids, the epochs of logs, and claims.
//
// The plain node assigns runners with this package. The edge and the storage node use its
// weights and rankings.
package ownership

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Node is a candidate owner. The caller decides which nodes are candidates.
type Node struct {
	ID     string
	Zone   string
	Region string
}

// Runner identifies a runner and its location.
type Runner struct {
	ID     string
	Zone   string
	Region string
}

// Rendezvous finds owners among a fixed set of candidates. It is safe for concurrent use.
type Rendezvous struct {
	nodes    []Node
	byZone   map[string][]Node
	byRegion map[string][]Node
	// zoneHash holds, per zone, a hash of the ids of its candidates.
	zoneHash map[string]uint64
}

// NewRendezvous returns a Rendezvous over the given candidates. The caller must not change
// the slice afterwards.
func NewRendezvous(nodes []Node) *Rendezvous {
	r := &Rendezvous{nodes: nodes, byZone: map[string][]Node{}, byRegion: map[string][]Node{}, zoneHash: map[string]uint64{}}
	for _, node := range nodes {
		r.byZone[node.Zone] = append(r.byZone[node.Zone], node)
		r.zoneHash[node.Zone] ^= xxhash.Sum64String(node.ID)
		r.byRegion[node.Region] = append(r.byRegion[node.Region], node)
	}
	return r
}

// SameCandidates reports whether a zone has the same candidates in r and other, so that its
// runners have the same owners. It compares the number of candidates and a hash of their ids.
// It returns false for a zone without candidates, because the owners of its runners are in
// other zones, and if other is nil.
func (r *Rendezvous) SameCandidates(other *Rendezvous, zone string) bool {
	hash, has := r.zoneHash[zone]
	return has && other != nil && len(r.byZone[zone]) == len(other.byZone[zone]) && hash == other.zoneHash[zone]
}

// Owner returns the id of the runner's owner, or "" if there are no candidates.
func (r *Rendezvous) Owner(runner Runner) string {
	candidates := r.byZone[runner.Zone]
	if len(candidates) == 0 {
		candidates = r.byRegion[runner.Region]
	}
	if len(candidates) == 0 {
		candidates = r.nodes
	}
	return highestWeight(runner.ID, candidates)
}

// NodesInZone returns the candidates in a zone.
func (r *Rendezvous) NodesInZone(zone string) []Node { return r.byZone[zone] }

// Ranked returns the candidates in a zone by descending weight for a key. The first node
// owns the key, and each other node becomes its owner when all nodes before it are lost.
func (r *Rendezvous) Ranked(key, zone string) []Node {
	return Ranked(key, r.byZone[zone])
}

// Ranked returns the nodes by descending weight for a key. The order of nodes with equal
// weights is not specified.
func Ranked(key string, nodes []Node) []Node {
	type weightedNode struct {
		Node
		weight uint64
	}
	list := make([]weightedNode, len(nodes))
	for i, node := range nodes {
		list[i] = weightedNode{node, NodeWeight(key, node.ID)}
	}
	slices.SortFunc(list, func(a, b weightedNode) int { return cmp.Compare(b.weight, a.weight) })
	ranked := make([]Node, len(list))
	for i := range list {
		ranked[i] = list[i].Node
	}
	return ranked
}

// highestWeight returns the id of the candidate with the highest weight for the key. Among
// candidates with equal weights it returns the smallest id, and "" if there are no candidates.
func highestWeight(key string, candidates []Node) string {
	var owner string
	var best uint64
	for _, node := range candidates {
		w := NodeWeight(key, node.ID)
		if owner == "" || w > best || (w == best && node.ID < owner) {
			owner = node.ID
			best = w
		}
	}
	return owner
}

// NodeWeight returns the rendezvous weight of a node for a key. The node with the highest
// weight owns the key.
func NodeWeight(key, node string) uint64 {
	var digest xxhash.Digest
	digest.Reset()
	_, _ = digest.WriteString(key)
	_, _ = digest.Write([]byte{0})
	_, _ = digest.WriteString(node)
	return digest.Sum64()
}

// Weight returns the rendezvous weight of a candidate for the hash of a prompt prefix.
// Requests with the same prefix prefer the candidate with the highest weight.
func Weight(prefix uint64, candidate string) uint64 {
	var digest xxhash.Digest
	digest.ResetWithSeed(prefix)
	_, _ = digest.WriteString(candidate)
	return digest.Sum64()
}
