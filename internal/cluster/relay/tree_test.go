package relay

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	wirev1 "cobaltramp.example/cobaltramp/api/wire/v1"
	"cobaltramp.example/cobaltramp/internal/cluster/peers"
	"cobaltramp.example/cobaltramp/internal/cluster/subset"
)

// largeFleet holds the followers of all nodes of a large fleet, each with the state that
// it has after it has probed the nodes that it watches.
type largeFleet struct {
	records   map[string]*wirev1.NodeRecord // by address
	followers map[string]*Follower          // by address
	dead      map[string]bool               // by address
}

func newLargeFleet(zones, edges, disks int) *largeFleet {
	f := &largeFleet{records: map[string]*wirev1.NodeRecord{}, followers: map[string]*Follower{}, dead: map[string]bool{}}
	add := func(kind string, number int, disk string) {
		name := fmt.Sprint(kind, "-", number)
		f.records[name] = &wirev1.NodeRecord{NodeId: name, Address: name, Zone: fmt.Sprint("z", number%zones), DiskId: disk, Incarnation: 1}
	}
	for number := range edges {
		add("edge", number, "")
	}
	for number := range disks {
		add("disk", number, fmt.Sprint("d", number))
	}
	return f
}

// follower returns the follower of one node.
func (f *largeFleet) follower(address string) *Follower {
	if existing := f.followers[address]; existing != nil {
		return existing
	}
	directory := peers.NewDirectory(f.records[address])
	directory.MarkLarge()
	for _, record := range f.records {
		directory.Put(record)
	}
	created := &Follower{Nodes: directory, Timing: FollowTiming{Heartbeat: time.Second, HeartbeatTimeout: time.Minute, AliveTimeout: time.Nanosecond}}
	f.followers[address] = created
	return created
}

// probeUntilStable lets a node probe the nodes that NodesToProbe returns until their list
// no longer changes. It returns the largest number of nodes probed in one round.
func (f *largeFleet) probeUntilStable(address string) int {
	follower := f.follower(address)
	directory := follower.Nodes.(*peers.Directory)
	largestRound := 0
	for range 1 + len(f.records) {
		toProbe := follower.NodesToProbe()
		largestRound = max(largestRound, len(toProbe))
		found := false
		for _, node := range toProbe {
			if f.dead[node.Address] && !directory.Unresponsive(node.NodeId) {
				directory.RecordUnresponsive(node.Address, time.Now())
				found = true
			}
		}
		if !found {
			break
		}
	}
	return largestRound
}

// source returns the address of the node that a node follows after trying its candidates
// in order. It is empty if the node watches the store, and "nobody" if no candidate
// accepts.
func (f *largeFleet) source(address string) string {
	follower := f.follower(address)
	level := follower.Level()
	if level == 0 {
		return ""
	}
	for range len(f.records) {
		chosen := follower.chooseSource(0)
		if chosen == "" {
			return "nobody"
		}
		if !f.dead[chosen] && f.follower(chosen).Level() < level {
			return chosen
		}
		follower.dropSource(0, chosen, true)
	}
	return "nobody"
}

func (f *largeFleet) alive() []string {
	var list []string
	for address := range f.records {
		if !f.dead[address] {
			list = append(list, address)
		}
	}
	slices.Sort(list)
	return list
}

// Whichever nodes fail, each living node is at most two hops from a node that watches the
// store, and at most one node of each zone watches it.
func TestEachNodeReachesTheStoreInTwoHops(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		zones := rapid.IntRange(1, 4).Draw(t, "zones")
		f := newLargeFleet(zones, rapid.IntRange(0, 60).Draw(t, "edges"), rapid.IntRange(zones, 30).Draw(t, "disks"))
		share := rapid.IntRange(0, 90).Draw(t, "lost of 100")
		for _, address := range f.alive() {
			f.dead[address] = rapid.IntRange(1, 100).Draw(t, "draw") <= share
		}
		alive := f.alive()
		for _, address := range alive {
			f.probeUntilStable(address)
		}
		first := map[string]string{}
		for _, address := range alive {
			if f.records[address].DiskId != "" && f.follower(address).Level() == 0 {
				if other := first[f.records[address].Zone]; other != "" {
					t.Fatalf("%s and %s both watch the store for one zone", other, address)
				}
				first[f.records[address].Zone] = address
			}
		}
		if len(first) == 0 {
			return // no node with a disk is alive: each node watches the store itself after a timeout
		}
		for _, address := range alive {
			at := address
			for hops := 0; f.follower(at).Level() > 0; hops++ {
				at = f.source(at)
				if at == "nobody" || hops == 2 {
					t.Fatalf("%s does not reach the store in two hops", address)
				}
			}
		}
	})
}

// The number of followers of a node and the number of nodes that it probes do not grow
// with the fleet, and all nodes except those at level 0 have a source in their own zone.
func TestFanOutDoesNotGrowWithFleetSize(t *testing.T) {
	const zones = 5
	for _, times := range []int{1, 2} {
		is := is.New(t)
		f := newLargeFleet(zones, 835*times, 150*times)
		followers, probed, far := map[string]int{}, 0, 0
		for _, address := range f.alive() {
			probed = max(probed, f.probeUntilStable(address))
			source := f.source(address)
			if source == "" {
				continue
			}
			followers[source]++
			if f.records[source].Zone != f.records[address].Zone {
				far++
			}
		}
		maxFollowers := 0
		for _, count := range followers {
			maxFollowers = max(maxFollowers, count)
		}
		t.Logf("%d nodes: %d sources, the busiest with %d followers, %d followers with a source in another zone; a node probes at most %d others", len(f.records), len(followers), maxFollowers, far, probed)
		is.True(maxFollowers <= 2*fanOut) // sources are chosen by a hash, so the numbers vary
		is.True(probed <= maxProbed)
		is.Equal(far, 0)
	}
}

// A node at level 0 that has lost the store follows the level-0 node of another zone,
// until the store answers again.
func TestLevelZeroNodeFollowsAnotherZoneWhileItsStoreIsUnavailable(t *testing.T) {
	is := is.New(t)
	f := newLargeFleet(3, 20, 12)
	var firsts []string
	for _, address := range f.alive() {
		f.probeUntilStable(address)
		if f.follower(address).Level() == 0 {
			firsts = append(firsts, address)
		}
	}
	is.Equal(len(firsts), 3)
	lost := false
	first := f.follower(firsts[0])
	first.Lost = func() bool { return lost }
	is.True(!first.needsSource(0))
	lost = true
	is.True(first.needsSource(0))
	chosen := first.chooseSource(0)
	is.True(slices.Contains(firsts[1:], chosen))
	request, _ := (&Follower{Nodes: first.Nodes, Merger: NewMerger(nil), Lost: first.Lost}).request()
	is.Equal((&Source{Mirror: NewMirror(nil), Level: f.follower(chosen).Level}).refusalError(request), nil)
	is.True(!first.requestOutdated(request, subset.Interest{}))
	lost = false
	is.True(first.requestOutdated(request, subset.Interest{}))
}
