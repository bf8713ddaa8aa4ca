package placement

import (
	"fmt"
	"slices"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	_ "cobaltramp.example/cobaltramp/internal/app/fixedseed"
)

// Kept members stay, in order; the others are different disks, spread evenly over the
// zones as far as the kept ones allow; nodes that list the disks in another order
// choose the same.
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
		known := func(disk string) (string, bool) { zone, ok := zoneOf[disk]; return zone, ok }
		rule := Rule{MemberCount: rapid.IntRange(1, 5).Draw(t, "members"), ZoneRank: FewestFirst}
		shard := rapid.Uint32().Draw(t, "shard")
		kept := []string{"disk-gone"}[:rapid.IntRange(0, 1).Draw(t, "kept")]
		chosen := rule.Choose(shard, disks, kept, known)

		if !slices.Equal(chosen[:len(kept)], kept) {
			t.Fatalf("%v does not begin with %v", chosen, kept)
		}
		if want := max(len(kept), min(rule.MemberCount, len(kept)+len(disks))); len(chosen) != want {
			t.Fatalf("%v has %d members, want %d", chosen, len(chosen), want)
		}
		if unique := slices.Compact(slices.Sorted(slices.Values(chosen))); len(unique) != len(chosen) {
			t.Fatalf("%v has a member twice", chosen)
		}
		in := map[string]int{}
		for _, member := range chosen[len(kept):] {
			in[zoneOf[member]]++
		}
		for _, disk := range disks { // a zone with a disk left over has no member less than another
			for _, count := range in {
				if !slices.Contains(chosen, disk.ID) && in[disk.Zone] < count-1 {
					t.Fatalf("%v of %v: %s could have been taken", chosen, disks, disk.ID)
				}
			}
		}
		slices.Reverse(disks)
		if again := rule.Choose(shard, disks, kept, known); !slices.Equal(again, chosen) {
			t.Fatalf("%v, in another order %v", chosen, again)
		}
	})
}

// Weights decide where shards lie and which shard a job falls to: they never change.
func TestWeightsStay(t *testing.T) {
	is := is.New(t)
	is.Equal(Weight(0, "job-1"), uint64(6878543372071759679))
	is.Equal(Weight(7, "disk-7852727576314e55"), uint64(14105168027055400718))
}

func TestSets(t *testing.T) {
	is := is.New(t)
	is.True(SameMembers([]string{"a", "b"}, []string{"b", "a"}))
	is.True(!SameMembers([]string{"a", "b"}, []string{"a", "b", "c"}))
	is.True(!SameMembers([]string{"a", "b"}, []string{"a", "c"}))
	is.Equal(Without([]string{"a", "b", "c"}, []string{"b"}), []string{"a", "c"})
}
