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

func foundedLayout(shards int) *Layout {
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

// countingStore counts the bytes that are written, and what was refused.
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

// A change of a shard's members costs the same, whatever the number of shards, and
// changes of all shards at once do not meet: none is refused for another.
func TestChangesOfShardsDoNotMeet(t *testing.T) {
	is := is.New(t)
	each := map[int]int{}
	for _, shards := range []int{10, 150, 300} {
		store := &countingStore{}
		var nodes []*StorageNode
		for range 3 { // each has followed the store so far
			layouts := NewLayouts()
			store.follow = append(store.follow, layouts)
			nodes = append(nodes, &StorageNode{NodeOptions: NodeOptions{Layouts: layouts, Store: store, Directory: peers.NewDirectory(&wirev1.NodeRecord{NodeId: "n"})}})
		}
		ctx := context.Background()
		committed, err := nodes[0].commitLayout(ctx, foundedLayout(shards))
		is.NoErr(err)
		is.True(committed)
		founded := store.bytes
		before := nodes[0].Layouts.Current()
		for id := range shards {
			after := before.Shards[id]
			after.Generation++
			committed, err := nodes[id%3].swapConfig(ctx, uint32(id), before.Shards[id], after)
			is.NoErr(err)
			is.True(committed)
		}
		is.Equal(store.refused, 0)
		each[shards] = (store.bytes - founded) / shards
		t.Logf("%d shards: %d bytes a change, %d at the founding", shards, each[shards], founded)
		for _, config := range nodes[1].Layouts.Current().Shards {
			is.Equal(config.Generation, uint64(2))
		}
	}
	is.True(each[300] <= each[10]+10)
}

// Two that change the same shard at once: one wins, and both know which.
func TestOneChangeOfAShardWins(t *testing.T) {
	is := is.New(t)
	store := &countingStore{}
	slow, quick := NewLayouts(), NewLayouts()
	store.follow = []*Layouts{quick}
	node := func(layouts *Layouts) *StorageNode {
		return &StorageNode{NodeOptions: NodeOptions{Layouts: layouts, Store: store}}
	}
	ctx := context.Background()
	_, err := node(quick).commitLayout(ctx, foundedLayout(3))
	is.NoErr(err)
	store.tell(slow)
	before := quick.Current().Shards[1]
	one, other := before, before
	one.Generation, other.Attempt = 2, 1
	committed, err := node(quick).swapConfig(ctx, 1, before, one)
	is.NoErr(err)
	is.True(committed)
	committed, err = node(slow).swapConfig(ctx, 1, before, other)
	is.NoErr(err)
	is.True(!committed)
	is.Equal(slow.Current().Shards[1].Generation, uint64(2))
}

// Whatever the order in which values come, and however often, holders that were told
// the same come to the same layout, and none goes back.
func TestLayoutsAgree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		text, err := json.Marshal(foundedLayout(4))
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
			for _, place := range rapid.Permutation(items).Draw(t, "order") {
				holder.UpdateIfNewer(place.Key, place.Value, place.Revision, "test")
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
			t.Fatal("holders of the same values have two digests")
		}
		for id, generation := range newest {
			if held := holders[0].Current().Shards[id].Generation; held != generation {
				t.Fatalf("shard %d is at %d, want %d", id, held, generation)
			}
		}
	})
}
