// Package subset assigns each node of a large fleet a subset of the runners by
// consistent hashing.
//
// The hash of a runner's id is its position on a circle. The hash of a node's id is the
// start of the node's arc on the same circle, and the node's subset consists of the
// runners on its arc. The length of the arc is chosen so that it holds about the number of
// runners that the node wants. This has four consequences:
//
//   - The size of a subset does not depend on the size of the fleet.
//   - Adding or removing a node does not change the subsets of other nodes. Adding or
//     removing a runner concerns only the nodes whose arc contains its position, until
//     the number of runners crosses a power of two (see Round).
//   - A longer arc contains the shorter one, so enlarging a subset keeps all its runners.
//   - Every process can compute the subset of any node from the node's id and the
//     number of runners.
//
// The package does no I/O and holds no state of the node. Package relay uses it to select
// the runners that it sends to a node, package informer to request runners, and packages
// loadshare and queuestore to determine which nodes know a runner. It runs on edges and
// storage nodes.
package subset

import (
	"maps"
	"math"
	"math/bits"

	"github.com/cespare/xxhash/v2"
)

// ServiceZone identifies the runners of one service in one zone.
type ServiceZone struct{ Service, Zone string }

// Totals holds the number of runners of each service and zone, rounded by Round.
type Totals map[ServiceZone]int

// FullListLimit is the largest number of runners of a service that every node knows
// completely. Each known runner costs a node about a kilobyte, and choosing a runner reads
// all known ones.
const FullListLimit = 512

// Interest describes the subset of runners that a node wants. The zero value selects all
// runners. Interests can be compared with ==.
type Interest struct {
	Node string
	Zone string
	// Near and Far are the minimum numbers of runners of each service that the node wants
	// in its own zone and in all other zones together. Because totals are rounded down, a
	// subset may hold up to twice as many.
	Near, Far int
}

// Minimum subset sizes. An edge places single requests: with 64 runners it almost always
// finds a free slot as long as one runner in ten has one. A node with a disk places up to
// 200 items of a job at once.
const (
	minNearEdge = 64
	minNearDisk = 256
	minFar      = 16
)

// DefaultInterest returns the interest of a node that finds enough free slots in its
// subset.
func DefaultInterest(node, zone string, hasDisk bool) Interest {
	interest := Interest{Node: node, Zone: zone, Near: minNearEdge, Far: minFar}
	if hasDisk {
		interest.Near = minNearDisk
	}
	return interest
}

// Scaled returns the interest with the wanted numbers of runners multiplied by factor.
func (i Interest) Scaled(factor int) Interest {
	i.Near *= factor
	i.Far *= factor
	return i
}

// Round rounds a number of runners down to a power of two, so that arcs change only when
// the number of runners crosses a power of two, not with each runner.
func Round(count int) int {
	if count <= 0 {
		return 0
	}
	return 1 << (bits.Len(uint(count)) - 1)
}

// PositionOf returns the position of a runner on the circle.
func PositionOf(runner string) uint64 { return xxhash.Sum64String(runner) }

// arc is the half-open interval [start, start+length) of the circle. It may wrap around
// the largest position.
type arc struct {
	start, length uint64
	// full marks an arc that covers the whole circle.
	full bool
}

// newArc returns the arc that covers the given fraction of the circle.
func newArc(start uint64, fraction float64) arc {
	if fraction >= 1 {
		return arc{full: true}
	}
	return arc{start: start, length: uint64(fraction * math.MaxUint64)}
}

func (a arc) contains(position uint64) bool { return a.full || position-a.start < a.length }

// Subset describes which runners a node knows.
type Subset struct {
	arcs map[ServiceZone]arc
}

// Compute returns the subset for an interest, given the number of runners.
func Compute(interest Interest, totals Totals) *Subset {
	s := &Subset{arcs: make(map[ServiceZone]arc, len(totals))}
	near, far := xxhash.Sum64String(interest.Node), xxhash.Sum64String(interest.Node+"/far")
	for service, sum := range sumByService(totals) {
		own := totals[ServiceZone{service, interest.Zone}]
		// Runners of other zones make up for those that the node's own zone lacks.
		minOthers := interest.Far + max(0, interest.Near-own)
		for key, count := range totals {
			switch {
			case key.Service != service:
			case sum <= FullListLimit, interest == Interest{}:
				s.arcs[key] = arc{full: true}
			case key.Zone == interest.Zone:
				s.arcs[key] = newArc(near, fraction(interest.Near, count))
			default:
				s.arcs[key] = newArc(far, fraction(minOthers, sum-own))
			}
		}
	}
	return s
}

func sumByService(totals Totals) map[string]int {
	sums := map[string]int{}
	for key, count := range totals {
		sums[key.Service] += count
	}
	return sums
}

func fraction(wanted, total int) float64 {
	if total <= 0 {
		return 1
	}
	return float64(wanted) / float64(total)
}

// ForService returns the total number of runners of a service in all zones.
func (t Totals) ForService(service string) int {
	sum := 0
	for key, count := range t {
		if key.Service == service {
			sum += count
		}
	}
	return sum
}

// Contains reports whether the subset contains the runner at a position. Runners of a
// service and zone that the totals lack are in every subset.
func (s *Subset) Contains(key ServiceZone, position uint64) bool {
	nodeArc, counted := s.arcs[key]
	return !counted || nodeArc.contains(position)
}

// Equal reports whether two subsets select the same arcs.
func (s *Subset) Equal(other *Subset) bool { return other != nil && maps.Equal(s.arcs, other.arcs) }
