package relay

import (
	"fmt"
	"maps"
	"testing"

	"pgregory.net/rapid"

	"cobaltramp.example/cobaltramp/internal/cluster/ports"
	"cobaltramp.example/cobaltramp/internal/cluster/subset"

	_ "cobaltramp.example/cobaltramp/internal/app/fixedseed"
)

// contents is a sink that holds what it gets, and sees that no change comes
// twice or in the wrong order.
type contents struct {
	values   map[string]int64
	revision int64
	// atRevision are the keys whose changes came with the newest revision: a list ends
	// several values at once.
	atRevision map[string]bool
	fail       func(string, ...any)
}

// Select implements SelectiveSink; these streams have no selections.
func (c *contents) Select(Selection, int64) { c.fail("a selection came") }

func (c *contents) Reset(values []ports.Value, revision int64) {
	c.values = map[string]int64{}
	for _, value := range values {
		c.values[value.Key] = value.Revision
	}
	c.revision, c.atRevision = revision, nil
}

func (c *contents) Apply(events []ports.WatchEvent, revision int64) {
	for _, event := range events {
		if event.Value.Revision > c.revision {
			c.atRevision = map[string]bool{}
		}
		if event.Value.Revision < c.revision || c.atRevision == nil || c.atRevision[event.Value.Key] {
			c.fail("change %d of %s came after %d", event.Value.Revision, event.Value.Key, c.revision)
		}
		c.atRevision[event.Value.Key] = true
		c.revision = event.Value.Revision
		if event.Deleted {
			delete(c.values, event.Value.Key)
		} else {
			c.values[event.Value.Key] = event.Value.Revision
		}
	}
	c.revision = max(c.revision, revision)
}

// storeModel is the platform's store with two mirrors that follow it, at times
// far behind, at times having lost its history.
type storeModel struct {
	values   map[string]int64
	events   []ports.WatchEvent
	revision int64
	mirrors  [2]*Mirror
	streams  [2]int64 // up to where the follower has got the changes of each mirror
	merge    *Merger
	taken    *contents
}

func (m *storeModel) change(key string, gone bool) {
	m.revision++
	event := ports.WatchEvent{Value: ports.Value{Key: key, Revision: m.revision}, Deleted: gone}
	m.events = append(m.events, event)
	if gone {
		delete(m.values, key)
	} else {
		m.values[key] = m.revision
	}
}

// catchUp lets a mirror follow up to a revision, as watches do.
func (m *storeModel) catchUp(mirror *Mirror, upTo int64) {
	var events []ports.WatchEvent
	for _, event := range m.events {
		if event.Value.Revision > mirror.revision && event.Value.Revision <= upTo {
			events = append(events, event)
		}
	}
	if len(events) > 0 {
		mirror.Apply(events, upTo)
	}
}

func (m *storeModel) list(mirror *Mirror) {
	var values []ports.Value
	for key, revision := range m.values {
		values = append(values, ports.Value{Key: key, Revision: revision})
	}
	mirror.Reset(values, m.revision)
}

// pass passes on what a mirror has, as its stream does.
func (m *storeModel) pass(index int) {
	update, _ := m.mirrors[index].After(m.streams[index], nil)
	if update == nil {
		return
	}
	deliver(encode(update), m.merge, subset.Interest{})
	m.streams[index] = update.Revision
}

// A follower of two nodes that follow the store comes to hold what the store
// holds, gets each change once and in order, and never goes back, however far
// behind either is, and whichever stream breaks and begins anew.
func TestFollowersHoldWhatTheStoreHolds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &storeModel{values: map[string]int64{}, mirrors: [2]*Mirror{NewMirror(nil), NewMirror(nil)}, streams: [2]int64{-1, -1}}
		m.taken = &contents{values: map[string]int64{}, fail: t.Fatalf}
		m.merge = NewMerger(m.taken)
		for _, mirror := range m.mirrors {
			m.list(mirror)
		}
		which := rapid.IntRange(0, 1)
		t.Repeat(map[string]func(*rapid.T){
			"change": func(t *rapid.T) {
				for range rapid.IntRange(1, 170).Draw(t, "changes") {
					m.change(fmt.Sprint("k", rapid.IntRange(0, 4).Draw(t, "key")), rapid.IntRange(0, 3).Draw(t, "gone") == 0)
				}
			},
			"mirror follows": func(t *rapid.T) {
				mirror := m.mirrors[which.Draw(t, "mirror")]
				m.catchUp(mirror, mirror.revision+rapid.Int64Range(0, m.revision-mirror.revision).Draw(t, "by"))
			},
			"mirror lists again": func(t *rapid.T) { m.list(m.mirrors[which.Draw(t, "mirror")]) },
			"passed on":          func(t *rapid.T) { m.pass(which.Draw(t, "mirror")) },
			"stream begins anew": func(t *rapid.T) { m.streams[which.Draw(t, "mirror")] = m.merge.Revision() },
		})
		for index, mirror := range m.mirrors {
			m.catchUp(mirror, m.revision)
			m.pass(index)
		}
		if m.merge.Revision() != m.revision || !maps.Equal(m.taken.values, m.values) {
			t.Fatalf("held %v at %d, the store has %v at %d", m.taken.values, m.merge.Revision(), m.values, m.revision)
		}
	})
}

// What a mirror keeps of changes is bounded: of each value the newest form only, and
// so many ends. Who misses more gets all there is, which is as large as the store.
func TestChangesKeptAreBounded(t *testing.T) {
	mirror := NewMirror(nil)
	mirror.Reset(nil, 1)
	large := make([]byte, 1<<20)
	for revision := int64(2); revision < 5000; revision++ {
		mirror.Apply([]ports.WatchEvent{{Value: ports.Value{Key: "k", Value: large, Revision: revision}}}, revision)
		if len(mirror.log) > 2+2*compactSlack || len(mirror.values) > 1 {
			t.Fatalf("%d changes of %d values are kept", len(mirror.log), len(mirror.values))
		}
	}
	update, _ := mirror.After(1, nil)
	if update.Whole || len(update.Events) != 1 || update.Revision != 4999 {
		t.Fatalf("whole: %v, %d changes at %d", update.Whole, len(update.Events), update.Revision)
	}
	for key := range int64(3 * maxEnds) {
		revision := 5000 + 2*key
		value := ports.Value{Key: fmt.Sprint("gone-", key), Revision: revision}
		mirror.Apply([]ports.WatchEvent{{Value: value}, {Value: ports.Value{Key: value.Key, Revision: revision + 1}, Deleted: true}}, revision+1)
		if len(mirror.gone) > maxEnds+compactSlack+1 {
			t.Fatalf("%d ends are kept", len(mirror.gone))
		}
	}
	if update, _ := mirror.After(5001, nil); !update.Whole || len(update.Values) != 1 {
		t.Fatalf("whole: %v, %d values", update.Whole, len(update.Values))
	}
	newest := mirror.revision
	if update, _ := mirror.After(newest-4, nil); update.Whole || len(update.Events) != 2 {
		t.Fatalf("whole: %v, %d changes", update.Whole, len(update.Events))
	}
}
