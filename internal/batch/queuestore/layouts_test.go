package queuestore

import (
	"context"
	"encoding/json"
	"fmt"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	wirev1 "cobaltramp.example/cobaltramp/api/wire/v1"
	"cobaltramp.example/cobaltramp/internal/batch/replica"
	"cobaltramp.example/cobaltramp/internal/cluster/peers"
	"cobaltramp.example/cobaltramp/internal/cluster/ports"
)

// testLayout returns a layout with the given number of shards of five members each.
func testLayout(shards int) *Layout {
	layout := &Layout{}
	for id := range shards {
		memberSet := replica.MemberSet{Generation: 1, Copies: 3}
		for member := range 5 {
			memberSet.Members = append(memberSet.Members, fmt.Sprintf("disk-%016x", id*7+member))
		}
		layout.Shards = append(layout.Shards, memberSet)
	}
	return layout
}

// countingStore counts the bytes in commits and the commits that were not stored.
type countingStore struct {
	testStore
	bytes, refused int
}

func (s *countingStore) Commit(ctx context.Context, conditions []ports.Condition, puts []ports.Put) (bool, error) {
	for _, put := range puts {
		s.bytes += len(put.Value)
	}
	done, err := s.testStore.Commit(ctx, conditions, puts)
	if !done {
		s.refused++
	}
	return done, err
}

// The size of a member set change does not depend on the number of shards, and concurrent
// changes of different shards do not conflict.
func TestShardChangesDoNotConflict(t *testing.T) {
	is := is.New(t)
	bytesPerChange := map[int]int{}
	for _, shards := range []int{10, 150, 300} {
		store := &countingStore{}
		var nodes []*StorageNode
		for range 3 { // the store sends all changes to each of them
			layouts := NewLayouts()
			store.watchers = append(store.watchers, layouts)
			nodes = append(nodes, &StorageNode{NodeOptions: NodeOptions{Layouts: layouts, Store: store, Directory: peers.NewDirectory(&wirev1.NodeRecord{NodeId: "n"})}})
		}
		ctx := context.Background()
		committed, err := nodes[0].commitInitialLayout(ctx, testLayout(shards))
		is.NoErr(err)
		is.True(committed)
		initialBytes := store.bytes
		before := nodes[0].Layouts.Current()
		for id := range shards {
			after := before.Shards[id]
			after.Generation++
			committed, err := nodes[id%3].swapMemberSet(ctx, uint32(id), before.Shards[id], after)
			is.NoErr(err)
			is.True(committed)
		}
		is.Equal(store.refused, 0)
		bytesPerChange[shards] = (store.bytes - initialBytes) / shards
		t.Logf("%d shards: %d bytes per change, %d for the initial layout", shards, bytesPerChange[shards], initialBytes)
		for _, memberSet := range nodes[1].Layouts.Current().Shards {
			is.Equal(memberSet.Generation, uint64(2))
		}
	}
	is.True(bytesPerChange[300] <= bytesPerChange[10]+10)
}

// Of two concurrent changes of the same shard only the first succeeds, and the node whose change
// fails learns the stored member set.
func TestOneConcurrentShardChangeWins(t *testing.T) {
	is := is.New(t)
	store := &countingStore{}
	slow, quick := NewLayouts(), NewLayouts()
	store.watchers = []*Layouts{quick}
	node := func(layouts *Layouts) *StorageNode {
		return &StorageNode{NodeOptions: NodeOptions{Layouts: layouts, Store: store, Directory: peers.NewDirectory(&wirev1.NodeRecord{NodeId: "n"})}}
	}
	ctx := context.Background()
	_, err := node(quick).commitInitialLayout(ctx, testLayout(3))
	is.NoErr(err)
	store.sendAll(slow)
	before := quick.Current().Shards[1]
	winner, loser := before, before
	winner.Generation, loser.Attempt = 2, 1
	committed, err := node(quick).swapMemberSet(ctx, 1, before, winner)
	is.NoErr(err)
	is.True(committed)
	committed, err = node(slow).swapMemberSet(ctx, 1, before, loser)
	is.NoErr(err)
	is.True(!committed)
	is.Equal(slow.Current().Shards[1].Generation, uint64(2))
}

// Two Layouts that receive the same values in different orders end with the newest member set of
// each shard and the same digest, and never replace a member set by an older one.
func TestLayoutsConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		text, err := json.Marshal(testLayout(4))
		if err != nil {
			t.Fatal(err)
		}
		items := []ports.Value{{Key: LayoutKey, Value: text, Revision: 1}}
		newest := map[int]uint64{}
		for change := range rapid.IntRange(0, 12).Draw(t, "changes") {
			id := rapid.IntRange(0, 3).Draw(t, "shard")
			text, _ := json.Marshal(replica.MemberSet{Generation: uint64(change + 2), Members: []string{"d"}})
			items = append(items, ports.Value{Key: shardKey(uint32(id)), Value: text, Revision: int64(change + 2)})
			newest[id] = uint64(change + 2)
		}
		holders := []*Layouts{NewLayouts(), NewLayouts()}
		for _, holder := range holders {
			seen := map[int]uint64{}
			for _, item := range rapid.Permutation(items).Draw(t, "order") {
				holder.UpdateIfNewer(item.Key, item.Value, item.Revision, "test")
				if layout := holder.Current(); layout != nil {
					for id, memberSet := range layout.Shards {
						if memberSet.Generation < seen[id] {
							t.Fatalf("shard %d was replaced by an older generation", id)
						}
						seen[id] = memberSet.Generation
					}
				}
			}
		}
		if holders[0].Digest() != holders[1].Digest() {
			t.Fatal("holders of the same values have different digests")
		}
		for id, generation := range newest {
			if held := holders[0].Current().Shards[id].Generation; held != generation {
				t.Fatalf("shard %d is at generation %d, want %d", id, held, generation)
			}
		}
	})
}
