package queuestore

import (
	"context"
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	wirev1 "cobaltramp.example/cobaltramp/api/wire/v1"
	_ "cobaltramp.example/cobaltramp/internal/app/fixedseed"
	"cobaltramp.example/cobaltramp/internal/app/result"
	"cobaltramp.example/cobaltramp/internal/batch/replica"
	"cobaltramp.example/cobaltramp/internal/cluster/peers"
	"cobaltramp.example/cobaltramp/internal/cluster/subset"
)

// Jobs lie in shards on all disks. The limit of waiting tokens holds over all
// shards, also right after the node is lost that keeps it; with a disk lost
// every job runs to its end.
func TestJobsAreSpreadOverAllDisks(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, "a", "b", "c", "d", "e", "f")
	c.executor.setHold(true)
	const jobs, limit = 6, 60
	taken := map[uint32]bool{}
	for i := range jobs {
		id := fmt.Sprintf("job-%d", i)
		c.eventually(id+" is taken", func() bool { return c.trySubmit(id, 1, limit) == nil })
		taken[ShardOf(id, len(c.layouts.Current().Shards))] = true
	}
	is.Equal(len(c.layouts.Current().Shards), 6)
	is.True(len(taken) > 1)
	full := func() bool { return result.Is(c.trySubmit("one-too-many", 1, limit), result.TenantTokens) }
	c.eventually("the limit is reached", full)
	keeper := c.leader()
	c.wipe(keeper)
	for range 3 {
		err := c.trySubmit("one-too-many", 1, limit)
		is.True(err != nil) // refused, or not known yet whether it fits
	}
	c.start(keeper)
	c.eventually("the limit is reached again", full)
	c.executor.setHold(false)
	for i := range jobs {
		c.finished(fmt.Sprintf("job-%d", i), 1)
	}
	c.eventually("there is room again", func() bool { return c.trySubmit("one-too-many", 1, limit) == nil })
	c.finished("one-too-many", 1)
}

// However many disks there are in however many zones, each shard has as many
// members as wanted, of as many zones as there are, and no disk holds many more
// shards than another.
func TestShardsAreSpreadEvenly(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		zones := rapid.IntRange(1, 7).Draw(t, "zones")
		perZone := rapid.IntRange(1, 8).Draw(t, "disks in a zone")
		losses := rapid.IntRange(1, 2).Draw(t, "losses")
		n := &StorageNode{NodeOptions: NodeOptions{DiskLosses: losses, Directory: peers.NewDirectory(&wirev1.NodeRecord{NodeId: "self"})}}
		var disks []*wirev1.NodeRecord
		zoneOf := map[string]string{}
		for i := range zones * perZone {
			record := &wirev1.NodeRecord{NodeId: fmt.Sprint("n", i), DiskId: fmt.Sprint("disk-", i), Zone: fmt.Sprint("z", i%zones), Incarnation: 1}
			n.Directory.Put(record)
			disks = append(disks, record)
			zoneOf[record.DiskId] = record.Zone
		}
		layout := n.firstLayout(disks)
		for _, config := range layout.Shards {
			in := map[string]int{}
			for _, member := range config.Members {
				in[zoneOf[member]]++
			}
			want := min(len(disks), n.membersWanted())
			if len(config.Members) != want {
				t.Fatalf("shard of %v has %d members, want %d", config.Members, len(config.Members), want)
			}
			// A lost zone takes no more members along than may be lost, or than it
			// must where there are few zones; and no more zones are used than that needs.
			for zone, count := range in {
				if most := max(min(losses, perZone), (want+zones-1)/zones); count > most {
					t.Fatalf("%d members of %v lie in %s, at most %d may", count, config.Members, zone, most)
				}
			}
			if fewest := min(zones, (want+min(losses, perZone)-1)/min(losses, perZone)); len(in) != fewest {
				t.Fatalf("shard of %v lies in %d zones, want %d", config.Members, len(in), fewest)
			}
		}
		held := layout.held()
		least, most := len(layout.Shards), 0
		for _, disk := range disks {
			least, most = min(least, held[disk.DiskId]), max(most, held[disk.DiskId])
		}
		if len(layout.Shards) > 1 && most-least > 2 {
			t.Fatalf("disks hold %d to %d shards of %d", least, most, len(layout.Shards))
		}
	})
}

// The log is dropped by the bytes it takes: what stays is at least as much as is
// kept, and entries that a newer leader does not have count no more.
func TestLogSize(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var log logSize
		sizes := map[uint64]uint64{}
		last, base := uint64(0), uint64(0)
		t.Repeat(map[string]func(*rapid.T){
			"write": func(t *rapid.T) {
				bytes := uint64(0)
				for range rapid.IntRange(1, 3).Draw(t, "entries") {
					last++
					sizes[last] = uint64(rapid.IntRange(0, 50).Draw(t, "bytes"))
					bytes += sizes[last]
				}
				log.wrote(last, bytes)
			},
			"drop": func(t *rapid.T) {
				keep := uint64(rapid.IntRange(0, 100).Draw(t, "bytes"))
				index := log.leaving(keep)
				if index <= base {
					return
				}
				left := uint64(0)
				for i := index + 1; i <= last; i++ {
					left += sizes[i]
				}
				if left < keep {
					t.Fatalf("%d bytes stay, %d are to be kept", left, keep)
				}
				log.dropped(index)
				base = index
				if log.total != left {
					t.Fatalf("%d bytes are counted, %d stay", log.total, left)
				}
			},
		})
	})
}

// Nodes that start while the store is down, and know no layout yet, lead what
// their disks hold, and say that they can't keep limits.
func TestLedWithoutALayout(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, "a", "b", "c")
	c.submit("one", 2)
	c.finished("one", 2)
	for _, name := range []string{"a", "b", "c"} {
		c.stop(name)
	}
	c.store.mutex.Lock()
	c.store.down = true
	c.store.mutex.Unlock()
	for _, name := range []string{"a", "b", "c"} {
		c.start(name)
	}
	c.eventually("one leads", func() bool { return c.leader() != "" })
	leader := c.nodes[c.leader()].node
	is.Equal(leader.shardCount(), 0)
	_, err := leader.reserveHere(context.Background(), &wirev1.QueueReserveRequest{Route: "route", Epoch: 1, Number: 1})
	is.True(result.Is(err, result.NotReady) || result.Is(err, result.NotLeader))
	s := leader.shard(ledgerShard)
	started := time.Now()
	c.eventually("the first member was thought of", func() bool {
		thought := false
		_ = s.RunInLoop(context.Background(), func() { thought = s.leader == nil || s.leader.preferred.After(started) })
		return thought
	})
	is.True(c.leader() != "")
}

// Each runner is the home of one live node that holds shards, in its own zone
// where there is one; a node that holds none is nobody's home.
func TestHomesAreOfNodesThatHoldShards(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	nodes := map[string]*StorageNode{}
	layout := &Layout{}
	for i := range 6 {
		layout.Shards = append(layout.Shards, replica.MemberSet{Generation: 1, Members: []string{fmt.Sprint("disk-", i)}})
	}
	text, err := json.Marshal(layout)
	is.NoErr(err)
	for self := range 7 { // the last one joined later
		directory := peers.NewDirectory(&wirev1.NodeRecord{NodeId: fmt.Sprint("n", self), DiskId: fmt.Sprint("disk-", self), Zone: fmt.Sprint("z", self%3), Incarnation: 1})
		for i := range 7 {
			directory.Put(&wirev1.NodeRecord{NodeId: fmt.Sprint("n", i), DiskId: fmt.Sprint("disk-", i), Zone: fmt.Sprint("z", i%3), Incarnation: 1})
			directory.RecordContact(fmt.Sprint("n", i), now)
		}
		layouts := NewLayouts()
		layouts.UpdateIfNewer(LayoutKey, text, 1, "test")
		name := fmt.Sprint("n", self)
		nodes[name] = &StorageNode{NodeOptions: NodeOptions{Node: name, Directory: directory, Layouts: layouts}}
	}
	for runner := range 60 {
		zone := fmt.Sprint("z", runner%4) // the last zone has no node
		var homes []string
		for name, n := range nodes {
			if n.IsHomeOf(fmt.Sprint("r", runner), subset.ServiceZone{Service: "s", Zone: zone}) {
				homes = append(homes, name)
			}
		}
		is.Equal(len(homes), 1)
		is.True(homes[0] != "n6")
		record, _ := nodes["n0"].Directory.Disk("disk-" + homes[0][1:])
		is.True(zone == "z3" || record.Zone == zone)
	}
}
