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

// largeFleet is the followers of a fleet, as each node sees it once it has asked those
// that it watches.
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

// follower returns what one node makes of the fleet.
func (f *largeFleet) follower(address string) *Follower {
	if known := f.followers[address]; known != nil {
		return known
	}
	directory := peers.NewDirectory(f.records[address])
	directory.MarkLarge()
	for _, record := range f.records {
		directory.Put(record)
	}
	known := &Follower{Nodes: directory, Timing: FollowTiming{Heartbeat: time.Second, HeartbeatTimeout: time.Minute, Alive: time.Nanosecond}}
	f.followers[address] = known
	return known
}

// ask lets a node ask those that it watches, until it watches no others. It returns
// how many it asked in a round at the most.
func (f *largeFleet) ask(address string) int {
	follower := f.follower(address)
	directory := follower.Nodes.(*peers.Directory)
	most := 0
	for range 1 + len(f.records) {
		watched := follower.Watched()
		most = max(most, len(watched))
		found := false
		for _, node := range watched {
			if f.dead[node.Address] && !directory.Unresponsive(node.NodeId) {
				directory.RecordUnresponsive(node.Address, time.Now())
				found = true
			}
		}
		if !found {
			break
		}
	}
	return most
}

// source returns whom a node comes to follow, trying one candidate after the other;
// empty if it follows the store.
func (f *largeFleet) source(address string) string {
	follower := f.follower(address)
	level := follower.Level()
	if level == 0 {
		return ""
	}
	for range len(f.records) {
		chosen := follower.choose(0)
		if chosen == "" {
			return "nobody"
		}
		if !f.dead[chosen] && f.follower(chosen).Level() < level {
			return chosen
		}
		follower.leave(0, chosen, true)
	}
	return "nobody"
}

func (f *largeFleet) living() []string {
	var list []string
	for address := range f.records {
		if !f.dead[address] {
			list = append(list, address)
		}
	}
	slices.Sort(list)
	return list
}

// Whichever nodes are lost, each that lives has a way of two hops at the most to one
// that follows the store, and these are at most one a zone.
func TestEachNodeHasAWayToTheStore(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		zones := rapid.IntRange(1, 4).Draw(t, "zones")
		f := newLargeFleet(zones, rapid.IntRange(0, 60).Draw(t, "edges"), rapid.IntRange(zones, 30).Draw(t, "disks"))
		share := rapid.IntRange(0, 90).Draw(t, "lost of 100")
		for _, address := range f.living() {
			f.dead[address] = rapid.IntRange(1, 100).Draw(t, "draw") <= share
		}
		living := f.living()
		for _, address := range living {
			f.ask(address)
		}
		first := map[string]string{}
		for _, address := range living {
			if f.records[address].DiskId != "" && f.follower(address).Level() == 0 {
				if other := first[f.records[address].Zone]; other != "" {
					t.Fatalf("%s and %s both follow the store for a zone", other, address)
				}
				first[f.records[address].Zone] = address
			}
		}
		if len(first) == 0 {
			return // no disk lives: each node follows the store itself, once it was alone for a while
		}
		for _, address := range living {
			at := address
			for hops := 0; f.follower(at).Level() > 0; hops++ {
				at = f.source(at)
				if at == "nobody" || hops == 2 {
					t.Fatalf("%s has no way to the store of two hops", address)
				}
			}
		}
	})
}

// However large the fleet is, a node passes changes on to about so many others, asks
// of the life of few, and all nodes but one a zone take them from their own zone.
func TestFanOutDoesNotGrowWithTheFleet(t *testing.T) {
	const zones = 5
	for _, times := range []int{1, 2} {
		is := is.New(t)
		f := newLargeFleet(zones, 835*times, 150*times)
		followers, asked, far := map[string]int{}, 0, 0
		for _, address := range f.living() {
			asked = max(asked, f.ask(address))
			source := f.source(address)
			if source == "" {
				continue
			}
			followers[source]++
			if f.records[source].Zone != f.records[address].Zone {
				far++
			}
		}
		most := 0
		for _, count := range followers {
			most = max(most, count)
		}
		t.Logf("%d nodes: %d sources, the busiest of %d nodes, %d of another zone; a node asks %d others at the most", len(f.records), len(followers), most, far, asked)
		is.True(most <= 2*fanOut) // who follows whom is drawn
		is.True(asked <= maxWatched)
		is.Equal(far, 0)
	}
}

// Who follows the store for a zone and is turned away by it takes its changes from who
// does so for another, as long as that lasts.
func TestFirstOfAZoneThatIsTurnedAway(t *testing.T) {
	is := is.New(t)
	f := newLargeFleet(3, 20, 12)
	var firsts []string
	for _, address := range f.living() {
		f.ask(address)
		if f.follower(address).Level() == 0 {
			firsts = append(firsts, address)
		}
	}
	is.Equal(len(firsts), 3)
	lost := false
	first := f.follower(firsts[0])
	first.Lost = func() bool { return lost }
	is.True(!first.wantsSource(0))
	lost = true
	is.True(first.wantsSource(0))
	chosen := first.choose(0)
	is.True(slices.Contains(firsts[1:], chosen))
	request, _ := (&Follower{Nodes: first.Nodes, Merger: NewMerger(nil), Lost: first.Lost}).request()
	is.Equal((&Source{Mirror: NewMirror(nil), Level: f.follower(chosen).Level}).refusal(request), nil)
	is.True(!first.outdated(request, subset.Interest{}))
	lost = false
	is.True(first.outdated(request, subset.Interest{}))
}
