package informer

import (
	"errors"
	"fmt"
	"slices"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	wirev1 "cobaltramp.example/cobaltramp/api/wire/v1"
	_ "cobaltramp.example/cobaltramp/internal/app/fixedseed"
	"cobaltramp.example/cobaltramp/internal/cluster/ports"
	"cobaltramp.example/cobaltramp/internal/cluster/relay"
	"cobaltramp.example/cobaltramp/internal/cluster/subset"
	"cobaltramp.example/cobaltramp/internal/serving/runnerset"
)

const damaged = `{"Service":"s"`

// entryOf returns an entry of testSchema; a damaged one can't be decoded.
func entryOf(id string, revision int64, isDamaged bool) ports.Value {
	text := `{"Service":"s","Address":"10.0.0.9:1","Zone":"z","Slots":4}`
	if isDamaged {
		text = damaged
	}
	return ports.Value{Key: testSchema.RunnersPrefix + id, Value: []byte(text), Revision: revision}
}

func newTestCache() *runnerCache {
	return newRunnerCache(testSchema, runnerset.New(), subset.Interest{})
}

// acceptingIDs returns the runners to which requests may be sent, in order.
func acceptingIDs(cache *runnerCache) []string {
	var ids []string
	for _, runner := range cache.set.Service("s") {
		if runner.AcceptsWork() {
			ids = append(ids, runner.ID)
		}
	}
	return ids
}

// An entry that becomes unreadable names no runner until it is repaired, whether the node
// learns of it by a change or by a list. Other entries stay valid.
func TestUnreadableEntryIsHandledAsDeleted(t *testing.T) {
	change := func(cache *runnerCache, value ports.Value) {
		cache.Apply([]ports.WatchEvent{{Value: value}}, value.Revision)
	}
	list := func(cache *runnerCache, value ports.Value) {
		cache.Reset([]ports.Value{value, entryOf("b", 2, false)}, value.Revision)
	}
	for name, learn := range map[string]func(*runnerCache, ports.Value){"change": change, "list": list} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			cache := newTestCache()
			cache.Reset([]ports.Value{entryOf("a", 1, false), entryOf("b", 2, false)}, 2)
			learn(cache, entryOf("a", 3, true))
			is.Equal(acceptingIDs(cache), []string{"b"})
			is.Equal(cache.unreadableCount(), 1)
			learn(cache, entryOf("a", 4, false))
			is.Equal(acceptingIDs(cache), []string{"a", "b"})
			is.Equal(cache.unreadableCount(), 0)
			learn(cache, entryOf("a", 5, true))
			cache.Apply([]ports.WatchEvent{{Value: entryOf("a", 6, false), Deleted: true}}, 6)
			is.Equal(acceptingIDs(cache), []string{"b"})
			is.Equal(cache.unreadableCount(), 0)
		})
	}
}

// A peer that gets the entries from this node handles the same entries as unreadable.
func TestPeersAgreeOnUnreadableEntries(t *testing.T) {
	is := is.New(t)
	cache, peer := newTestCache(), newTestCache()
	cache.Reset([]ports.Value{entryOf("a", 1, false), entryOf("b", 2, false)}, 2)
	exchange := func() {
		entries, revision, found := cache.newerThan(peer.currentRevision())
		is.True(found)
		peer.replace(valuesOf(entries), revision, "peer")
	}
	exchange()
	is.Equal(acceptingIDs(peer), []string{"a", "b"})
	cache.Apply([]ports.WatchEvent{{Value: entryOf("a", 3, true)}}, 3)
	exchange()
	is.Equal(acceptingIDs(peer), []string{"b"})
	is.Equal(peer.unreadableCount(), 1)
	cache.Apply([]ports.WatchEvent{{Value: entryOf("a", 4, false)}}, 4)
	exchange()
	is.Equal(acceptingIDs(peer), []string{"a", "b"})
	is.Equal(peer.unreadableCount(), 0)
}

func valuesOf(entries []*wirev1.KeyValue) []ports.Value {
	var values []ports.Value
	for _, entry := range entries {
		values = append(values, ports.Value{Key: string(entry.Key), Value: entry.Value})
	}
	return values
}

// A selection retains the unreadable entries, which relays send as changes, and replaces
// one that has been repaired.
func TestSelectionKeepsTrackOfUnreadableEntries(t *testing.T) {
	is := is.New(t)
	cache := newTestCache()
	cache.Reset([]ports.Value{entryOf("a", 1, true), entryOf("b", 2, true)}, 3)
	cache.Select(relay.Selection{Values: []ports.Value{entryOf("c", 3, false)}}, 3)
	is.Equal(cache.unreadableCount(), 2)
	is.Equal(acceptingIDs(cache), []string{"c"})
	cache.Select(relay.Selection{Values: []ports.Value{entryOf("a", 4, false), entryOf("c", 3, false)}}, 4)
	is.Equal(cache.unreadableCount(), 1)
	is.Equal(acceptingIDs(cache), []string{"a", "c"})
	cache.Apply([]ports.WatchEvent{{Value: entryOf("c", 5, true)}}, 5)
	is.Equal(acceptingIDs(cache), []string{"a"})
	is.Equal(cache.unreadableCount(), 2)
}

// A node that takes the store's contents directly and one that follows a relay's mirror have
// the same runners, whatever is written.
func TestRelayedNodeHasTheSameRunners(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		direct, relayed := newTestCache(), newTestCache()
		mirror := relay.NewMirror(testSchema.Classify)
		merger := relay.NewMerger(relayed)
		values := map[string]ports.Value{}
		direct.Reset(nil, 1)
		mirror.Reset(nil, 1)
		merger.Reset(nil, 1)
		after := int64(1)
		for step := range rapid.IntRange(1, 30).Draw(t, "steps") {
			revision := int64(step + 2)
			value := entryOf(fmt.Sprint("r", rapid.IntRange(0, 3).Draw(t, "runner")), revision, rapid.Bool().Draw(t, "damaged"))
			event := ports.WatchEvent{Value: value, Deleted: rapid.IntRange(0, 4).Draw(t, "deleted") == 0}
			values[value.Key] = value
			if event.Deleted {
				delete(values, value.Key)
			}
			direct.Apply([]ports.WatchEvent{event}, revision)
			if rapid.Bool().Draw(t, "listed") {
				mirror.Reset(listed(values), revision)
			} else {
				mirror.Apply([]ports.WatchEvent{event}, revision)
			}
			if rapid.Bool().Draw(t, "waits") {
				continue // the next update has several changes
			}
			update, _ := mirror.After(after, nil)
			merger.Apply(update.Events, update.Revision)
			after = update.Revision
			if !slices.Equal(acceptingIDs(direct), acceptingIDs(relayed)) || direct.unreadableCount() != relayed.unreadableCount() {
				t.Fatalf("runners %v, relayed %v", acceptingIDs(direct), acceptingIDs(relayed))
			}
		}
	})
}

func listed(values map[string]ports.Value) []ports.Value {
	var list []ports.Value
	for _, value := range values {
		list = append(list, value)
	}
	return list
}

// Lists repeat an unreadable entry; it is logged once for each change.
func TestUnreadableEntryIsLoggedOnceForEachChange(t *testing.T) {
	is := is.New(t)
	entries, err := unreadableEntries{}, errors.New("damaged")
	is.True(entries.add(ports.Value{Key: "k", Value: []byte("{")}, err, entries))
	is.True(!entries.add(ports.Value{Key: "k", Value: []byte("{")}, err, entries))
	is.True(entries.add(ports.Value{Key: "k", Value: []byte("[")}, err, entries))
	next := unreadableEntries{}
	is.True(!next.add(ports.Value{Key: "k", Value: []byte("[")}, err, entries))
	entries.removeMissing(unreadableEntries{})
	is.Equal(len(entries), 0)
}
