// Package placement chooses the disks that hold the replicas of a shard. Its functions
// are pure: they do no I/O and read no clock. Storage nodes (queuestore) and plain nodes
// (modules/batch/store) use them to create the initial member sets and to replace a
// member.
package placement

import (
	"slices"
	"sort"

	"github.com/cespare/xxhash/v2"
)

// Disk is a candidate for holding a replica.
type Disk struct {
	ID, Zone string
	// Shards is the number of replicas of other shards on the disk.
	Shards int
}

// Rule defines the number of members of a shard and their distribution over zones.
type Rule struct {
	// MemberCount is the target number of members.
	MemberCount int
	// ZoneRank returns the rank of a zone that has the given number of the shard's
	// members. The next member is taken from the zone with the lowest rank.
	ZoneRank func(members int) int
}

// FewestFirst is a ZoneRank that prefers the zones with the fewest members.
func FewestFirst(members int) int { return members }

// Choose returns the members of a shard. It starts with the kept members and adds disks
// one at a time until MemberCount is reached or no disk is left. Each time it picks a
// disk from the zone with the lowest rank, then the disk with the fewest shards, then the
// disk with the highest weight. zoneOf returns the zone of a kept member, and false if
// the zone is unknown.
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
		best, found := r.bestCandidate(ranked, chosen, perZone)
		if !found {
			break
		}
		perZone[best.Zone]++
		chosen = append(chosen, best.ID)
	}
	return chosen
}

// bestCandidate returns the best disk that has not been chosen yet. The disks are
// expected in descending order of weight.
func (r Rule) bestCandidate(ranked []Disk, chosen []string, perZone map[string]int) (best Disk, found bool) {
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

// Weight returns the rendezvous hashing weight of a name for a shard. All nodes that know
// the same names order them identically, and adding or removing a name does not change
// the order of the others.
func Weight(shard uint32, name string) uint64 {
	var digest xxhash.Digest
	digest.ResetWithSeed(uint64(shard))
	_, _ = digest.WriteString(name) // never fails
	return digest.Sum64()
}

// SameMembers reports whether two member sets have the same members in any order.
func SameMembers(a, b []string) bool { return len(a) == len(b) && len(Difference(a, b)) == 0 }

// Difference returns the members of a set that are not in the other set.
func Difference(set, other []string) []string {
	return slices.DeleteFunc(slices.Clone(set), func(member string) bool { return slices.Contains(other, member) })
}
