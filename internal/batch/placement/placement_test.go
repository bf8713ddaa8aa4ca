package placement

import (
	"fmt"
	"slices"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	_ "cobaltramp.example/cobaltramp/internal/app/fixedseed"
)

// The result begins with the kept members, has no member twice, spreads the added members
// evenly over the zones, and does not depend on the order of the disks.
func TestMembersAreSpreadOverZones(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		zones := rapid.IntRange(1, 4).Draw(t, "zones")
		var disks []Disk
		zoneOf := map[string]string{}
		for i := range rapid.IntRange(1, 12).Draw(t, "disks") {
			disk := Disk{ID: fmt.Sprint("disk-", i), Zone: fmt.Sprint("zone-", i%zones)}
			disks = append(disks, disk)
			zoneOf[disk.ID] = disk.Zone
		}
		zoneOfDisk := func(disk string) (string, bool) { zone, ok := zoneOf[disk]; return zone, ok }
		rule := Rule{MemberCount: rapid.IntRange(1, 5).Draw(t, "members"), ZoneRank: FewestFirst}
		shard := rapid.Uint32().Draw(t, "shard")
		kept := []string{"disk-gone"}[:rapid.IntRange(0, 1).Draw(t, "kept")]
		chosen := rule.Choose(shard, disks, kept, zoneOfDisk)

		if !slices.Equal(chosen[:len(kept)], kept) {
			t.Fatalf("%v does not begin with %v", chosen, kept)
		}
		if want := max(len(kept), min(rule.MemberCount, len(kept)+len(disks))); len(chosen) != want {
			t.Fatalf("%v has %d members, want %d", chosen, len(chosen), want)
		}
		if unique := slices.Compact(slices.Sorted(slices.Values(chosen))); len(unique) != len(chosen) {
			t.Fatalf("%v has a member twice", chosen)
		}
		membersPerZone := map[string]int{}
		for _, member := range chosen[len(kept):] {
			membersPerZone[zoneOf[member]]++
		}
		for _, disk := range disks { // a zone with an unused disk has at most one added member fewer than any other
			for _, count := range membersPerZone {
				if !slices.Contains(chosen, disk.ID) && membersPerZone[disk.Zone] < count-1 {
					t.Fatalf("%v of %v: %s is unused although its zone has fewer members", chosen, disks, disk.ID)
				}
			}
		}
		slices.Reverse(disks)
		if again := rule.Choose(shard, disks, kept, zoneOfDisk); !slices.Equal(again, chosen) {
			t.Fatalf("chose %v, but %v from the reversed disks", chosen, again)
		}
	})
}

// Weights determine the members of shards and the shard of each job, so every version must
// compute the same weights.
func TestWeightsAreStable(t *testing.T) {
	is := is.New(t)
	is.Equal(Weight(0, "job-1"), uint64(6878543372071759679))
	is.Equal(Weight(7, "disk-7852727576314e55"), uint64(14105168027055400718))
}

func TestMemberSetOperations(t *testing.T) {
	is := is.New(t)
	is.True(SameMembers([]string{"a", "b"}, []string{"b", "a"}))
	is.True(!SameMembers([]string{"a", "b"}, []string{"a", "b", "c"}))
	is.True(!SameMembers([]string{"a", "b"}, []string{"a", "c"}))
	is.Equal(Difference([]string{"a", "b", "c"}, []string{"b"}), []string{"a", "c"})
}
