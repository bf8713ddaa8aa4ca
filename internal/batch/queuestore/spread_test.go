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

// Jobs are spread over more than one shard. The limit of waiting tokens applies to all shards
// together, also after the disk of the node that keeps the ledger of waiting tokens is lost,
// and no job is lost with the disk.
func TestJobsAreSpreadOverShards(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, "a", "b", "c", "d", "e", "f")
	c.executor.setFull(true)
	const jobs, limit = 6, 60
	usedShards := map[uint32]bool{}
	for i := range jobs {
		id := fmt.Sprintf("job-%d", i)
		c.eventually(id+" is accepted", func() bool { return c.trySubmit(id, 1, limit) == nil })
		usedShards[ShardOf(id, len(c.layouts.Current().Shards))] = true
	}
	is.Equal(len(c.layouts.Current().Shards), 6)
	is.True(len(usedShards) > 1)
	limitReached := func() bool { return result.Is(c.trySubmit("one-too-many", 1, limit), result.TenantTokens) }
	c.eventually("the limit is reached", limitReached)
	ledgerNode := c.awaitLeader()
	c.wipe(ledgerNode)
	for range 3 {
		err := c.trySubmit("one-too-many", 1, limit)
		is.True(err != nil) // over the limit, or refused because the ledger is unavailable or incomplete
	}
	c.start(ledgerNode)
	c.eventually("the limit is reached again", limitReached)
	c.executor.setFull(false)
	for i := range jobs {
		c.waitFinished(fmt.Sprintf("job-%d", i), 1)
	}
	c.eventually("the job fits within the limit", func() bool { return c.trySubmit("one-too-many", 1, limit) == nil })
	c.waitFinished("one-too-many", 1)
}

// For any number of disks and zones, each shard has the wanted number of members, or all disks if
// there are fewer. If there are enough zones, the shard keeps a quorum when a zone is lost, and
// uses no more zones than this takes. The numbers of shards on two disks differ by at most 2.
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
		layout := n.initialLayout(disks)
		for _, memberSet := range layout.Shards {
			membersPerZone := map[string]int{}
			for _, member := range memberSet.Members {
				membersPerZone[zoneOf[member]]++
			}
			want := min(len(disks), n.wantedMemberCount())
			if len(memberSet.Members) != want {
				t.Fatalf("shard of %v has %d members, want %d", memberSet.Members, len(memberSet.Members), want)
			}
			// A zone has at most as many members as a shard may lose. If there are too few
			// zones for that, it has at most an even part of the members.
			for zone, count := range membersPerZone {
				if maxMembers := max(min(losses, perZone), (want+zones-1)/zones); count > maxMembers {
					t.Fatalf("%d members of %v are in %s, want at most %d", count, memberSet.Members, zone, maxMembers)
				}
			}
			if wantZones := min(zones, (want+min(losses, perZone)-1)/min(losses, perZone)); len(membersPerZone) != wantZones {
				t.Fatalf("shard of %v is in %d zones, want %d", memberSet.Members, len(membersPerZone), wantZones)
			}
		}
		shardsPerDisk := layout.shardsPerDisk()
		minShards, maxShards := len(layout.Shards), 0
		for _, disk := range disks {
			minShards, maxShards = min(minShards, shardsPerDisk[disk.DiskId]), max(maxShards, shardsPerDisk[disk.DiskId])
		}
		if len(layout.Shards) > 1 && maxShards-minShards > 2 {
			t.Fatalf("disks hold %d to %d shards of %d", minShards, maxShards, len(layout.Shards))
		}
	})
}

// Truncation at the returned index leaves at least the given number of bytes, and the counted
// size then equals the size of the remaining entries.
func TestLogSize(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var log logSize
		sizes := map[uint64]uint64{}
		lastIndex, baseIndex := uint64(0), uint64(0)
		t.Repeat(map[string]func(*rapid.T){
			"write": func(t *rapid.T) {
				bytes := uint64(0)
				for range rapid.IntRange(1, 3).Draw(t, "entries") {
					lastIndex++
					sizes[lastIndex] = uint64(rapid.IntRange(0, 50).Draw(t, "bytes"))
					bytes += sizes[lastIndex]
				}
				log.recordWrite(lastIndex, bytes)
			},
			"truncate": func(t *rapid.T) {
				keep := uint64(rapid.IntRange(0, 100).Draw(t, "bytes"))
				index := log.truncationIndex(keep)
				if index <= baseIndex {
					return
				}
				left := uint64(0)
				for i := index + 1; i <= lastIndex; i++ {
					left += sizes[i]
				}
				if left < keep {
					t.Fatalf("%d bytes remain, want at least %d", left, keep)
				}
				log.discardUpTo(index)
				baseIndex = index
				if log.total != left {
					t.Fatalf("counted %d bytes, %d remain", log.total, left)
				}
			},
		})
	})
}

// Nodes that start while the platform's store is down, and so know no layout, lead the shards on
// their disks and refuse requests to the ledger.
func TestShardsAreLedWithoutLayout(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, "a", "b", "c")
	c.submit("one", 2)
	c.waitFinished("one", 2)
	for _, name := range []string{"a", "b", "c"} {
		c.stop(name)
	}
	c.store.mutex.Lock()
	c.store.down = true
	c.store.mutex.Unlock()
	for _, name := range []string{"a", "b", "c"} {
		c.start(name)
	}
	leader := c.nodes[c.awaitLeader()].node
	is.Equal(leader.shardCount(), 0)
	_, err := leader.reserveLocally(context.Background(), &wirev1.QueueReserveRequest{Route: "route", Epoch: 1, Number: 1})
	is.True(result.Is(err, result.NotReady) || result.Is(err, result.NotLeader))
	s := leader.shard(ledgerShard)
	started := time.Now()
	// transferToPreferredLeader must run without a layout.
	c.eventually("the preferred leader was checked", func() bool {
		checked := false
		_ = s.RunInLoop(context.Background(), func() { checked = s.leader == nil || s.leader.preferenceCheckedAt.After(started) })
		return checked
	})
	is.True(c.leader() != "")
}

// Each runner has exactly one home, the node that dispatches items to the runner in preference to
// others. The home holds shards and is in the runner's zone if a node with shards is there.
func TestHomesAreNodesThatHoldShards(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	nodes := map[string]*StorageNode{}
	layout := &Layout{}
	for i := range 6 {
		layout.Shards = append(layout.Shards, replica.MemberSet{Generation: 1, Members: []string{fmt.Sprint("disk-", i)}})
	}
	text, err := json.Marshal(layout)
	is.NoErr(err)
	for self := range 7 { // the last node joined after the layout was created and holds no shards
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
