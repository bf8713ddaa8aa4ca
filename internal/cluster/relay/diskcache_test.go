package relay

import (
	"context"
	"fmt"
	"maps"
	"sync"
	"testing"

	"github.com/matryer/is"

	wirev1 "cobaltramp.example/cobaltramp/api/wire/v1"
	"cobaltramp.example/cobaltramp/internal/app/eventually"
	"cobaltramp.example/cobaltramp/internal/cluster/ports"
	"cobaltramp.example/cobaltramp/internal/cluster/subset"
)

// memoryCache is a DiskCache in memory.
type memoryCache struct {
	mutex    sync.Mutex
	values   map[string]ports.Value
	revision int64
}

func (k *memoryCache) SaveDocuments(whole bool, values []ports.Value, deletedKeys []string, revision int64) error {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	if whole || k.values == nil {
		k.values = map[string]ports.Value{}
	}
	for _, key := range deletedKeys {
		delete(k.values, key)
	}
	for _, value := range values {
		k.values[value.Key] = value
	}
	k.revision = revision
	return nil
}

func (k *memoryCache) LoadDocuments() ([]ports.Value, int64, error) {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	var values []ports.Value
	for value := range maps.Values(k.values) {
		values = append(values, value)
	}
	return values, k.revision, nil
}

func (k *memoryCache) Fits(int) bool { return true }

// holdsSelection reports whether the cache holds a selection of the runners.
func (k *memoryCache) holdsSelection() bool {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	_, found := k.values[selectionKey]
	return found
}

func (k *memoryCache) savedRevision() int64 {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	return k.revision
}

// extraTest is a document that has no meaning to the tests.
var extraTest = ExtraDocument{Key: "kept/test", Encode: func() []byte { return []byte("extra") }, Restore: func([]byte) {}}

// The extra document is restored after the store's contents, to its receiver only.
func TestExtraDocumentIsRestored(t *testing.T) {
	is := is.New(t)
	cache := &memoryCache{revision: -1}
	mirror := NewMirror(classifyTest)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go Persist(ctx, cache, mirror, extraTest)
	mirror.Reset([]ports.Value{{Key: "config", Revision: 4}}, 4)
	eventually.Require(t, "the contents are cached", func() bool { return cache.savedRevision() == 4 })
	node := &recordingSink{values: map[string]int64{}}
	restored := ""
	extra := extraTest
	extra.Restore = func(value []byte) { restored = fmt.Sprint(string(value), " after ", len(node.values)) }
	Restore(cache, classifyTest, NewMerger(node), extra)
	is.Equal(node.values, map[string]int64{"config": 4})
	is.Equal(restored, "extra after 1")
}

// A restored selection is still a selection with the total numbers of runners, so that a
// node does not serve it as the complete store. Complete contents are restored as
// complete.
func TestRestoredSelectionIsStillASelection(t *testing.T) {
	is := is.New(t)
	cache := &memoryCache{revision: -1}
	mirror := NewMirror(classifyTest)
	merger := NewMerger(mirror)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go Persist(ctx, cache, mirror, extraTest)
	totals := subset.Totals{{Service: "s", Zone: "z1"}: 2048}
	config := ports.Value{Key: "config", Revision: 3}
	merger.ResetToSelection([]ports.Value{config}, Selection{Values: []ports.Value{{Key: runnerKey(1), Revision: 4}}, Totals: totals}, 4)
	eventually.Require(t, "the selection is cached", func() bool { return cache.savedRevision() == 4 && cache.holdsSelection() })

	node := &recordingSink{values: map[string]int64{}}
	restored := NewMerger(node)
	Restore(cache, classifyTest, restored, extraTest)
	is.True(restored.Partial())
	is.True(node.partial)
	is.Equal(node.values, map[string]int64{"config": 3, runnerKey(1): 4})
	other := NewMirror(classifyTest)
	Restore(cache, classifyTest, NewMerger(other), extraTest)
	is.True(other.Partial())
	is.Equal(other.totals, totals)

	merger.Reset([]ports.Value{config, {Key: runnerKey(1), Revision: 4}, {Key: runnerKey(2), Revision: 5}}, 5)
	eventually.Require(t, "the complete contents are cached", func() bool { return cache.savedRevision() == 5 })
	Restore(cache, classifyTest, restored, extraTest)
	is.True(!restored.Partial())
	is.Equal(len(node.values), 3)
}

// A selection of the same revision as contents that are already cached is cached too.
// Otherwise a restarted node would serve its selection as the complete store.
func TestSelectionAfterCachedContentsIsCached(t *testing.T) {
	cache := &memoryCache{revision: -1}
	mirror := NewMirror(classifyTest)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go Persist(ctx, cache, mirror, extraTest)
	mirror.Reset([]ports.Value{{Key: runnerKey(1), Revision: 4}}, 4)
	eventually.Require(t, "the contents are cached", func() bool { return cache.savedRevision() == 4 })
	mirror.Select(Selection{Values: []ports.Value{{Key: runnerKey(1), Revision: 4}}}, 4)
	eventually.Require(t, "the selection is cached", cache.holdsSelection)
	restored := NewMirror(classifyTest)
	Restore(cache, classifyTest, NewMerger(restored), extraTest)
	is.New(t).True(restored.Partial())
}

// While the store does not answer, a node sends its own selection with the total numbers
// of runners to an empty node, and refuses any other follower, which would lose runners
// by it.
func TestSelectionIsSentOnlyToEmptyNodesDuringAnOutage(t *testing.T) {
	is := is.New(t)
	mirror := NewMirror(classifyTest)
	totals := subset.Totals{{Service: "s", Zone: "z1"}: 2048, {Service: "s", Zone: "z2"}: 2048}
	var own []ports.Value
	for number := range 600 {
		own = append(own, ports.Value{Key: runnerKey(number), Revision: 4})
	}
	NewMerger(mirror).ResetToSelection([]ports.Value{{Key: "config", Revision: 3}}, Selection{Values: own, Totals: totals}, 4)
	server := &Source{Mirror: mirror, Lost: func() bool { return true }, Level: func() uint32 { return 1 }}
	request := func(after int64) error {
		return server.refusalError(&wirev1.FollowRequest{After: after, Level: leafLevel, Interest: &wirev1.RunnerInterest{}})
	}
	is.NoErr(request(-1))
	is.True(request(4) != nil)
	server.Lost = func() bool { return false }
	is.True(request(-1) != nil)
	update, _ := mirror.After(-1, edgeFollowerView(3))
	is.Equal(len(update.Selection.Values), len(own))
	is.Equal(update.Selection.Totals, totals)
}
