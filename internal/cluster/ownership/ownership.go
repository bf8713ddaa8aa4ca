// Package ownership says which node owns each runner: the highest random
// weight (rendezvous hashing, Thaler and Ravishankar 1998) among the live
// nodes of the runner's zone, or of the nearest zone that has any. It is pure and
// keeps nothing.
//
// Ownership is soft. Two nodes may believe for a short time that they own the same
// runner; that costs efficiency and never a promise, because promises rest on
// engine stream ids, log epochs and claims.
//
// The plain node places runners by it; its weights and rankings also serve the edge
// and the storage node.
package ownership

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Node is a candidate owner: a member that is alive and not leaving.
type Node struct {
	ID     string
	Zone   string
	Region string
}

// Runner is a model back end.
type Runner struct {
	ID     string
	Zone   string
	Region string
}

// Rendezvous finds owners among a fixed set of nodes.
type Rendezvous struct {
	nodes    []Node
	byZone   map[string][]Node
	byRegion map[string][]Node
	// zoneHash identifies the candidates of a zone.
	zoneHash map[string]uint64
}

// NewRendezvous indexes the candidates.
func NewRendezvous(nodes []Node) *Rendezvous {
	p := &Rendezvous{nodes: nodes, byZone: map[string][]Node{}, byRegion: map[string][]Node{}, zoneHash: map[string]uint64{}}
	for _, node := range nodes {
		p.byZone[node.Zone] = append(p.byZone[node.Zone], node)
		p.zoneHash[node.Zone] ^= xxhash.Sum64String(node.ID)
		p.byRegion[node.Region] = append(p.byRegion[node.Region], node)
	}
	return p
}

// SameZone reports whether a zone has the same candidates in another place, so
// that its runners have the same owners. A zone without any is never the same,
// because its owners stand elsewhere.
func (p *Rendezvous) SameZone(other *Rendezvous, zone string) bool {
	hash, has := p.zoneHash[zone]
	return has && other != nil && len(p.byZone[zone]) == len(other.byZone[zone]) && hash == other.zoneHash[zone]
}

// Owner returns the id of the runner's owner, or "" if there is no node.
func (p *Rendezvous) Owner(runner Runner) string {
	candidates := p.byZone[runner.Zone]
	if len(candidates) == 0 {
		candidates = p.byRegion[runner.Region]
	}
	if len(candidates) == 0 {
		candidates = p.nodes
	}
	return highest(runner.ID, candidates)
}

// Zone returns the candidates of a zone.
func (p *Rendezvous) Zone(zone string) []Node { return p.byZone[zone] }

// Ranked returns the nodes of the zone in the order they would own the key.
func (p *Rendezvous) Ranked(key, zone string) []Node {
	return Ranked(key, p.byZone[zone])
}

// Ranked returns nodes in the order they would own the key.
func Ranked(key string, nodes []Node) []Node {
	type weighed struct {
		Node
		weight uint64
	}
	list := make([]weighed, len(nodes))
	for i, node := range nodes {
		list[i] = weighed{node, NodeWeight(key, node.ID)}
	}
	slices.SortFunc(list, func(a, b weighed) int { return cmp.Compare(b.weight, a.weight) })
	ranked := make([]Node, len(list))
	for i := range list {
		ranked[i] = list[i].Node
	}
	return ranked
}

func highest(key string, candidates []Node) string {
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

// NodeWeight is the rendezvous weight of a node for a key; the highest owns it.
func NodeWeight(key, node string) uint64 {
	var digest xxhash.Digest
	digest.Reset()
	_, _ = digest.WriteString(key)
	_, _ = digest.Write([]byte{0})
	_, _ = digest.WriteString(node)
	return digest.Sum64()
}

// Weight returns the weight of a candidate for a prefix hash; the highest is
// the prefix's favourite.
func Weight(prefix uint64, candidate string) uint64 {
	var digest xxhash.Digest
	digest.ResetWithSeed(prefix)
	_, _ = digest.WriteString(candidate)
	return digest.Sum64()
}
