// Package subset decides which runners each node of a large fleet works with.
//
// Every runner has a position on a circle, by a hash of its id, and every node an
// arc of the circle, by a hash of its own; the node knows the runners whose
// positions lie on its arc. An arc is as long as it takes to hold the number of
// runners that the node wants. So what a node knows costs the same whatever the size
// of the fleet; a runner or node that comes or goes changes nobody else's draw; an
// arc that grows keeps all it had; and who knows a runner can be worked out by
// anybody from the node's id and the number of runners.
//
// It owns no state of the node and does no I/O: relay uses it to select what a node
// gets, informer for what a node asks for, loadshare and queuestore for who knows a
// runner. It runs on edges and storage nodes.
package subset

import (
	"maps"
	"math"
	"math/bits"

	"github.com/cespare/xxhash/v2"
)

// ServiceZone stands for the runners of one service in one zone.
type ServiceZone struct{ Service, Zone string }

// Totals are how many runners there are in each place, rounded (see Round).
type Totals map[ServiceZone]int

// AllKnown is up to how many runners of a service every node knows all. A runner
// costs a node about a kilobyte, and a choice reads each of them: a choice among 512
// takes 0.2 ms of a core, among 10,000 4.5 ms (BenchmarkPick in runnerset). It is far
// above the runners that a single node can keep busy.
const AllKnown = 512

// Interest is what a node wants to know; the zero value is everything. It is
// comparable.
type Interest struct {
	Node string
	Zone string
	// Near and Far are the least numbers of runners of a service that the node wants, in
	// its zone and in all others. It knows up to twice as many.
	Near, Far int
}

// How many runners a node wants to know. An edge chooses well among a few dozen: of
// the best of 64 fresh figures about all have a free slot as long as one runner in
// ten has. A node with a disk places the items of whole jobs, up to 200, at once.
const (
	edgeNear = 64
	diskNear = 256
	farKnown = 16
)

// DefaultInterest returns the interest of a node as long as its choices find free slots.
func DefaultInterest(node, zone string, hasDisk bool) Interest {
	interest := Interest{Node: node, Zone: zone, Near: edgeNear, Far: farKnown}
	if hasDisk {
		interest.Near = diskNear
	}
	return interest
}

// Widened returns the interest in so many times as many runners.
func (i Interest) Widened(factor int) Interest {
	i.Near *= factor
	i.Far *= factor
	return i
}

// Round rounds a number of runners down to a power of two: arcs then change with a
// doubling, not with each runner.
func Round(count int) int {
	if count <= 0 {
		return 0
	}
	return 1 << (bits.Len(uint(count)) - 1)
}

// PositionOf returns where on the circle a runner lies.
func PositionOf(runner string) uint64 { return xxhash.Sum64String(runner) }

// arc is a part of the circle; what lies length or more after the start is outside.
type arc struct {
	start, length uint64
	// all: the whole circle.
	all bool
}

// arcOf returns the arc that holds a share of all positions.
func arcOf(start uint64, share float64) arc {
	if share >= 1 {
		return arc{all: true}
	}
	return arc{start: start, length: uint64(share * math.MaxUint64)}
}

func (a arc) has(position uint64) bool { return a.all || position-a.start < a.length }

// Subset is which runners a node knows.
type Subset struct {
	arcs map[ServiceZone]arc
}

// Compute works out a draw from the numbers of runners.
func Compute(interest Interest, totals Totals) *Subset {
	d := &Subset{arcs: make(map[ServiceZone]arc, len(totals))}
	near, far := xxhash.Sum64String(interest.Node), xxhash.Sum64String(interest.Node+"/far")
	for service, sum := range byService(totals) {
		own := totals[ServiceZone{service, interest.Zone}]
		// What is missing in the node's zone is made up for from others.
		wantedFar := interest.Far + max(0, interest.Near-own)
		for place, count := range totals {
			switch {
			case place.Service != service:
			case sum <= AllKnown, interest == Interest{}:
				d.arcs[place] = arc{all: true}
			case place.Zone == interest.Zone:
				d.arcs[place] = arcOf(near, share(interest.Near, count))
			default:
				d.arcs[place] = arcOf(far, share(wantedFar, sum-own))
			}
		}
	}
	return d
}

func byService(totals Totals) map[string]int {
	sums := map[string]int{}
	for place, count := range totals {
		sums[place.Service] += count
	}
	return sums
}

func share(wanted, of int) float64 {
	if of <= 0 {
		return 1
	}
	return float64(wanted) / float64(of)
}

// Counted returns the sum of the runners of a service.
func (t Totals) Counted(service string) int {
	sum := 0
	for place, count := range t {
		if place.Service == service {
			sum += count
		}
	}
	return sum
}

// Contains reports whether the node knows a runner. All know the runners of a place
// that has not been counted yet.
func (d *Subset) Contains(place ServiceZone, position uint64) bool {
	known, counted := d.arcs[place]
	return !counted || known.has(position)
}

// Equal reports whether two draws are the same.
func (d *Subset) Equal(other *Subset) bool { return other != nil && maps.Equal(d.arcs, other.arcs) }
