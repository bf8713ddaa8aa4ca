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

func testLayout(shards int) *Layout {
	layout := &Layout{}
	for id := range shards {
		config := replica.MemberSet{Generation: 1, Copies: 3}
		for member := range 5 {
			config.Members = append(config.Members, fmt.Sprintf("disk-%016x", id*7+member))
		}
		layout.Shards = append(layout.Shards, config)
	}
	return layout
}

// countingStore counts the bytes written and the refused commits.
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
	each := map[int]int{}
	for _, shards := range []int{10, 150, 300} {
		store := &countingStore{}
		var nodes []*StorageNode
		for range 3 { // all are up to date with the store
			layouts := NewLayouts()
			store.followers = append(store.followers, layouts)
			nodes = append(nodes, &StorageNode{NodeOptions: NodeOptions{Layouts: layouts, Store: store, Directory: peers.NewDirectory(&wirev1.NodeRecord{NodeId: "n"})}})
		}
		ctx := context.Background()
		committed, err := nodes[0].commitInitialLayout(ctx, testLayout(shards))
		is.NoErr(err)
		is.True(committed)
		founded := store.bytes
		before := nodes[0].Layouts.Current()
		for id := range shards {
			after := before.Shards[id]
			after.Generation++
			committed, err := nodes[id%3].swapMemberSet(ctx, uint32(id), before.Shards[id], after)
			is.NoErr(err)
			is.True(committed)
		}
		is.Equal(store.refused, 0)
		each[shards] = (store.bytes - founded) / shards
		t.Logf("%d shards: %d bytes per change, %d for the initial layout", shards, each[shards], founded)
		for _, config := range nodes[1].Layouts.Current().Shards {
			is.Equal(config.Generation, uint64(2))
		}
	}
	is.True(each[300] <= each[10]+10)
}

// Of two concurrent changes of the same shard one succeeds, and both nodes learn which.
func TestOneConcurrentShardChangeWins(t *testing.T) {
	is := is.New(t)
	store := &countingStore{}
	slow, quick := NewLayouts(), NewLayouts()
	store.followers = []*Layouts{quick}
	node := func(layouts *Layouts) *StorageNode {
		return &StorageNode{NodeOptions: NodeOptions{Layouts: layouts, Store: store}}
	}
	ctx := context.Background()
	_, err := node(quick).commitInitialLayout(ctx, testLayout(3))
	is.NoErr(err)
	store.sendAll(slow)
	before := quick.Current().Shards[1]
	one, other := before, before
	one.Generation, other.Attempt = 2, 1
	committed, err := node(quick).swapMemberSet(ctx, 1, before, one)
	is.NoErr(err)
	is.True(committed)
	committed, err = node(slow).swapMemberSet(ctx, 1, before, other)
	is.NoErr(err)
	is.True(!committed)
	is.Equal(slow.Current().Shards[1].Generation, uint64(2))
}

// Holders that receive the same values in any order converge to the same layout, and no
// member set is replaced by an older one.
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
					for id, config := range layout.Shards {
						if config.Generation < seen[id] {
							t.Fatalf("shard %d went back", id)
						}
						seen[id] = config.Generation
					}
				}
			}
		}
		if holders[0].Digest() != holders[1].Digest() {
			t.Fatal("holders of the same values have different digests")
		}
		for id, generation := range newest {
			if held := holders[0].Current().Shards[id].Generation; held != generation {
				t.Fatalf("shard %d is at %d, want %d", id, held, generation)
			}
		}
	})
}
