// Package subset assigns each node of a large fleet a subset of the runners by
// consistent hashing.
//
// The hash of a runner's id is its position on a circle. Each node has an arc of the same
// circle for each service and zone, and the node's subset consists of the runners on these
// arcs. A hash of the node's id is the start of its arcs for its own zone; another hash is
// the start of its arcs for all other zones. The length of an arc is chosen so that the arc
// contains about as many runners as the node wants. The subsets have these properties:
//
//   - For a service with more than FullListLimit runners, the size of a subset does not
//     depend on the size of the fleet.
//   - Adding or removing a node does not change the subsets of other nodes. Adding or
//     removing a runner concerns only the nodes whose arc contains its position, until
//     the number of runners of a service and zone crosses a power of two (see Round).
//   - A subset computed with larger numbers of wanted runners contains all runners of the
//     smaller subset.
//   - Every process can compute the subset of any node from the node's interest and the
//     rounded numbers of runners.
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

// FullListLimit is the largest number of runners of a service that are all in every subset.
// It is compared with the sum of the rounded totals of the service, so it may apply to almost
// twice as many runners. It limits the memory for known runners, about a kilobyte for each, and the
// time to choose a runner: 0.2 ms of a core among 512 runners, 4.5 ms among 10,000 (BenchmarkPick in
// package runnerset).
const FullListLimit = 512

// Interest describes the subset of runners that a node wants. The zero value selects all
// runners. Interests can be compared with ==.
type Interest struct {
	Node string // id of the node
	Zone string // zone of the node
	// Near and Far are the numbers of runners of each service that the node wants at least,
	// in its own zone and in all other zones together. Runners of other zones make up for
	// missing runners of its own zone. The actual numbers vary with the positions of the
	// runners, and because totals are rounded down, a subset may contain about twice as many.
	Near, Far int
}

// Default values of Interest.Near and Interest.Far. An edge looks for a free slot for one
// request at a time, a node with a disk for up to 200 items of a job at once. Of the best of 64
// runners, nearly all have a free slot as long as one runner in ten has.
const (
	minNearEdge = 64
	minNearDisk = 256
	minFar      = 16
)

// DefaultInterest returns the interest of a node before it is scaled to demand.
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

// arc is the half-open interval [start, start+length) of the circle, or the whole circle if
// full is set. It may wrap around the largest position.
type arc struct {
	start, length uint64
	// full marks an arc that covers the whole circle; start and length are then zero.
	full bool
}

// newArc returns the arc that covers the given fraction of the circle. It is full if the
// fraction is 1 or more.
func newArc(start uint64, fraction float64) arc {
	if fraction >= 1 {
		return arc{full: true}
	}
	return arc{start: start, length: uint64(fraction * math.MaxUint64)}
}

func (a arc) contains(position uint64) bool { return a.full || position-a.start < a.length }

// Subset describes which runners a node knows: those on its arc for their service and zone,
// and all runners of a service and zone without an arc.
type Subset struct {
	arcs map[ServiceZone]arc
}

// Compute returns the subset for an interest, given the rounded numbers of runners.
func Compute(interest Interest, totals Totals) *Subset {
	s := &Subset{arcs: make(map[ServiceZone]arc, len(totals))}
	ownZoneStart, otherZonesStart := xxhash.Sum64String(interest.Node), xxhash.Sum64String(interest.Node+"/far")
	for service, total := range sumByService(totals) {
		ownZoneCount := totals[ServiceZone{service, interest.Zone}]
		// Runners of other zones make up for missing runners of the node's own zone.
		minOthers := interest.Far + max(0, interest.Near-ownZoneCount)
		for key, count := range totals {
			switch {
			case key.Service != service:
			case total <= FullListLimit, interest == Interest{}:
				s.arcs[key] = arc{full: true}
			case key.Zone == interest.Zone:
				s.arcs[key] = newArc(ownZoneStart, fraction(interest.Near, count))
			default:
				s.arcs[key] = newArc(otherZonesStart, fraction(minOthers, total-ownZoneCount))
			}
		}
	}
	return s
}

// sumByService returns the number of runners of each service in all zones.
func sumByService(totals Totals) map[string]int {
	sums := map[string]int{}
	for key, count := range totals {
		sums[key.Service] += count
	}
	return sums
}

// fraction returns the share of a circle with total runners that contains the wanted number
// of runners. It is 1 if there are no runners.
func fraction(wanted, total int) float64 {
	if total <= 0 {
		return 1
	}
	return float64(wanted) / float64(total)
}

// ForService returns the sum of the rounded numbers of runners of a service in all zones.
func (t Totals) ForService(service string) int {
	sum := 0
	for key, count := range t {
		if key.Service == service {
			sum += count
		}
	}
	return sum
}

// Contains reports whether the subset contains a runner with the given service, zone and
// position. It is true if the totals have no entry for the service and zone.
func (s *Subset) Contains(key ServiceZone, position uint64) bool {
	nodeArc, counted := s.arcs[key]
	return !counted || nodeArc.contains(position)
}

// Equal reports whether two subsets have the same arcs. It is false if other is nil.
func (s *Subset) Equal(other *Subset) bool { return other != nil && maps.Equal(s.arcs, other.arcs) }
