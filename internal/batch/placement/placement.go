// Package placement chooses the disks that hold the replicas of a shard. It is a pure
// decision: no I/O, no clock. Storage nodes (queuestore) and plain nodes
// (modules/batch/store) use it when they make the first member sets and when a member
// is replaced.
package placement

import (
	"slices"
	"sort"

	"github.com/cespare/xxhash/v2"
)

// Disk is one that may hold a replica.
type Disk struct {
	ID, Zone string
	// Shards is how many replicas of other shards it holds.
	Shards int
}

// Rule says how many members a shard has and how they lie in zones.
type Rule struct {
	// MemberCount is how many members are wanted.
	MemberCount int
	// ZoneRank orders zones by how many of the shard's members they have: the next
	// member comes from the zone of the lowest rank.
	ZoneRank func(members int) int
}

// FewestFirst takes the next member from a zone that has the fewest.
func FewestFirst(members int) int { return members }

// Choose returns the members of a shard: those kept, then, one by one up to the number
// wanted, the disk of the zone that ranks lowest; of these the one that holds the
// fewest shards, and of these the one of the highest weight. It returns fewer if there
// are not enough disks. zoneOf tells the zone of a kept member, false if it is not
// known.
func (r Rule) Choose(shard uint32, disks []Disk, kept []string, zoneOf func(disk string) (string, bool)) []string {
	chosen := slices.Clone(kept)
	perZone := map[string]int{}
	for _, member := range kept {
		if zone, known := zoneOf(member); known {
			perZone[zone]++
		}
	}
	ranked := slices.Clone(disks)
	sort.Slice(ranked, func(i, j int) bool { return Weight(shard, ranked[i].ID) > Weight(shard, ranked[j].ID) })
	for len(chosen) < r.MemberCount {
		best, found := r.next(ranked, chosen, perZone)
		if !found {
			break
		}
		perZone[best.Zone]++
		chosen = append(chosen, best.ID)
	}
	return chosen
}

// next returns the best disk that is not chosen yet.
func (r Rule) next(ranked []Disk, chosen []string, perZone map[string]int) (best Disk, found bool) {
	for _, disk := range ranked {
		if slices.Contains(chosen, disk.ID) {
			continue
		}
		if !found || r.better(disk, best, perZone) {
			best, found = disk, true
		}
	}
	return best, found
}

func (r Rule) better(disk, best Disk, perZone map[string]int) bool {
	rank, bestRank := r.ZoneRank(perZone[disk.Zone]), r.ZoneRank(perZone[best.Zone])
	return rank < bestRank || rank == bestRank && disk.Shards < best.Shards
}

// Weight is the rendezvous weight of a name at a shard: nodes that know the same names
// order them alike, and a name that comes or goes moves no other.
func Weight(shard uint32, name string) uint64 {
	var digest xxhash.Digest
	digest.ResetWithSeed(uint64(shard))
	_, _ = digest.WriteString(name) // a digest takes all bytes
	return digest.Sum64()
}

// SameMembers reports whether two member sets have the same members, in any order.
func SameMembers(a, b []string) bool { return len(a) == len(b) && len(Without(a, b)) == 0 }

// Without lists the members of a set that another does not have.
func Without(set, other []string) []string {
	return slices.DeleteFunc(slices.Clone(set), func(member string) bool { return slices.Contains(other, member) })
}
