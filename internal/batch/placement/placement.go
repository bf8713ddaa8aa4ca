// Package placement chooses the members of a shard, which are the disks that hold its
// replicas. Its functions do no I/O and read no clock. Packages queuestore and
// modules/batch/store use them to create the initial member sets and to replace members.
package placement

import (
	"slices"
	"sort"

	"github.com/cespare/xxhash/v2"
)

// Disk is a candidate for membership of a shard.
type Disk struct {
	ID, Zone string
	// Shards is the number of replicas of other shards on the disk.
	Shards int
}

// Rule defines the number of members of a shard and their distribution over zones.
type Rule struct {
	// MemberCount is the number of members that a shard should have.
	MemberCount int
	// ZoneRank returns the rank of a zone in which the shard has the given number of
	// members. The next member is taken from the zone with the lowest rank among the
	// zones that have a disk left.
	ZoneRank func(members int) int
}

// FewestFirst is a ZoneRank that prefers the zones with the fewest members.
func FewestFirst(members int) int { return members }

// Choose returns the members of a shard. The result begins with all kept members, even if
// there are more than MemberCount. Choose then adds disks one at a time until MemberCount
// is reached or no disk is left. Each added disk is in a zone with the lowest rank. Among
// several such disks Choose takes the one with the fewest shards, and among equals the one
// with the highest Weight. zoneOf returns the zone of a kept member, and false if the zone
// is unknown; such a member counts for no zone.
func (r Rule) Choose(shard uint32, disks []Disk, kept []string, zoneOf func(disk string) (string, bool)) []string {
	chosen := slices.Clone(kept)
	membersPerZone := map[string]int{}
	for _, member := range kept {
		if zone, known := zoneOf(member); known {
			membersPerZone[zone]++
		}
	}
	ranked := slices.Clone(disks)
	sort.Slice(ranked, func(i, j int) bool { return Weight(shard, ranked[i].ID) > Weight(shard, ranked[j].ID) })
	for len(chosen) < r.MemberCount {
		best, found := r.bestCandidate(ranked, chosen, membersPerZone)
		if !found {
			break
		}
		membersPerZone[best.Zone]++
		chosen = append(chosen, best.ID)
	}
	return chosen
}

// bestCandidate returns the best disk that has not been chosen yet, and false if there is
// none. The disks must be in descending order of weight.
func (r Rule) bestCandidate(ranked []Disk, chosen []string, membersPerZone map[string]int) (best Disk, found bool) {
	for _, disk := range ranked {
		if slices.Contains(chosen, disk.ID) {
			continue
		}
		if !found || r.better(disk, best, membersPerZone) {
			best, found = disk, true
		}
	}
	return best, found
}

// better reports whether a disk is to be preferred to the best one found so far, apart from
// their weights.
func (r Rule) better(disk, best Disk, membersPerZone map[string]int) bool {
	rank, bestRank := r.ZoneRank(membersPerZone[disk.Zone]), r.ZoneRank(membersPerZone[best.Zone])
	return rank < bestRank || rank == bestRank && disk.Shards < best.Shards
}

// Weight returns the rendezvous hashing weight of a name for a shard. Nodes that know the
// same names order them identically by weight, and adding or removing a name does not
// change the order of the others.
func Weight(shard uint32, name string) uint64 {
	var digest xxhash.Digest
	digest.ResetWithSeed(uint64(shard))
	_, _ = digest.WriteString(name) // never fails
	return digest.Sum64()
}

// SameMembers reports whether two member sets have the same members in any order. Neither
// may contain a member twice.
func SameMembers(a, b []string) bool { return len(a) == len(b) && len(Difference(a, b)) == 0 }

// Difference returns the members of a set that are not in the other set.
func Difference(set, other []string) []string {
	return slices.DeleteFunc(slices.Clone(set), func(member string) bool { return slices.Contains(other, member) })
}
