package relay

import (
	"context"
	"maps"
	"sync"
	"testing"

	"github.com/matryer/is"

	wirev1 "cobaltramp.example/cobaltramp/api/wire/v1"
	"cobaltramp.example/cobaltramp/internal/app/eventually"
	"cobaltramp.example/cobaltramp/internal/cluster/ports"
	"cobaltramp.example/cobaltramp/internal/cluster/subset"
)

// memoryCache stands in for a disk.
type memoryCache struct {
	mutex    sync.Mutex
	values   map[string]ports.Value
	revision int64
}

func (k *memoryCache) SaveDocuments(whole bool, values []ports.Value, gone []string, revision int64) error {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	if whole || k.values == nil {
		k.values = map[string]ports.Value{}
	}
	for _, key := range gone {
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

func (k *memoryCache) at() int64 {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	return k.revision
}

// What was kept of a selection is a selection after a restart, with the number of
// runners that there are: a node that took it for all that the store holds would pass
// it on to others as that. What was kept as a whole is whole again.
func TestKeptSelectionsStaySelections(t *testing.T) {
	is := is.New(t)
	cache := &memoryCache{revision: -1}
	mirror := NewMirror(classifyTest)
	merge := NewMerger(mirror)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go Persist(ctx, cache, mirror)
	totals := subset.Totals{{Service: "s", Zone: "z1"}: 2048}
	config := ports.Value{Key: "config", Revision: 3}
	merge.ResetToSelection([]ports.Value{config}, Selection{Values: []ports.Value{{Key: runnerKey(1), Revision: 4}}, Totals: totals}, 4)
	eventually.Require(t, "it is kept", func() bool { return cache.at() == 4 })

	node := &selected{values: map[string]int64{}}
	again := NewMerger(node)
	Restore(cache, classifyTest, again)
	is.True(again.Partial())
	is.True(node.partial)
	is.Equal(node.values, map[string]int64{"config": 3, runnerKey(1): 4})
	other := NewMirror(classifyTest)
	Restore(cache, classifyTest, NewMerger(other))
	is.True(other.Partial())
	is.Equal(other.totals, totals)

	merge.Reset([]ports.Value{config, {Key: runnerKey(1), Revision: 4}, {Key: runnerKey(2), Revision: 5}}, 5)
	eventually.Require(t, "the whole is kept", func() bool { return cache.at() == 5 })
	Restore(cache, classifyTest, again)
	is.True(!again.Partial())
	is.Equal(len(node.values), 3)
}

// A node that holds a selection, its own, passes it on to a node that knows nothing while
// the store is away, as it is and with the true number of runners; to one that knows
// something it passes on nothing, which would take from it what it has.
func TestSelectionsAreToldToWhoKnowsNothing(t *testing.T) {
	is := is.New(t)
	mirror := NewMirror(classifyTest)
	totals := subset.Totals{{Service: "s", Zone: "z1"}: 2048, {Service: "s", Zone: "z2"}: 2048}
	var own []ports.Value
	for number := range 600 {
		own = append(own, ports.Value{Key: runnerKey(number), Revision: 4})
	}
	NewMerger(mirror).ResetToSelection([]ports.Value{{Key: "config", Revision: 3}}, Selection{Values: own, Totals: totals}, 4)
	server := &Source{Mirror: mirror, Lost: func() bool { return true }, Level: func() uint32 { return 1 }}
	asks := func(after int64) error {
		return server.refusal(&wirev1.FollowRequest{After: after, Level: leafLevel, Interest: &wirev1.RunnerInterest{}})
	}
	is.NoErr(asks(-1))
	is.True(asks(4) != nil)
	server.Lost = func() bool { return false }
	is.True(asks(-1) != nil)
	update, _ := mirror.After(-1, edgeView(3))
	is.Equal(len(update.Selection.Values), len(own))
	is.Equal(update.Selection.Totals, totals)
}
