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

// checkingSink is a sink that fails if a change arrives twice or out of order.
type checkingSink struct {
	values   map[string]int64
	revision int64
	// atRevision holds the keys that changed at the newest revision: a list may delete
	// several values at one revision.
	atRevision map[string]bool
	fail       func(string, ...any)
}

// Select implements SelectiveSink. No stream in these tests sends a selection.
func (c *checkingSink) Select(Selection, int64) { c.fail("a selection arrived") }

func (c *checkingSink) Reset(values []ports.Value, revision int64) {
	c.values = map[string]int64{}
	for _, value := range values {
		c.values[value.Key] = value.Revision
	}
	c.revision, c.atRevision = revision, nil
}

func (c *checkingSink) Apply(events []ports.WatchEvent, revision int64) {
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

// storeModel is the platform's store with two mirrors that watch it. A mirror may be far
// behind or may have lost the store's history.
type storeModel struct {
	values   map[string]int64
	events   []ports.WatchEvent
	revision int64
	mirrors  [2]*Mirror
	streams  [2]int64 // the revision that the stream of each mirror has reached
	merger   *Merger
	sink     *checkingSink
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

// catchUp advances a mirror to a revision, as watches do.
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

// sendUpdate passes an update from a mirror to the merger, as a stream does.
func (m *storeModel) sendUpdate(index int) {
	update, _ := m.mirrors[index].After(m.streams[index], nil)
	if update == nil {
		return
	}
	applyReply(encodeUpdate(update), m.merger, subset.Interest{})
	m.streams[index] = update.Revision
}

// A follower of two sources receives each change once and in order, never goes back to an
// older revision, and finally holds the contents of the store. Sources may be behind, and
// streams may end and start again.
func TestFollowerConvergesToTheStore(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &storeModel{values: map[string]int64{}, mirrors: [2]*Mirror{NewMirror(nil), NewMirror(nil)}, streams: [2]int64{-1, -1}}
		m.sink = &checkingSink{values: map[string]int64{}, fail: t.Fatalf}
		m.merger = NewMerger(m.sink)
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
			"passed on":          func(t *rapid.T) { m.sendUpdate(which.Draw(t, "mirror")) },
			"stream begins anew": func(t *rapid.T) { m.streams[which.Draw(t, "mirror")] = m.merger.Revision() },
		})
		for index, mirror := range m.mirrors {
			m.catchUp(mirror, m.revision)
			m.sendUpdate(index)
		}
		if m.merger.Revision() != m.revision || !maps.Equal(m.sink.values, m.values) {
			t.Fatalf("the follower holds %v at %d, the store holds %v at %d", m.sink.values, m.merger.Revision(), m.values, m.revision)
		}
	})
}

// The mirror keeps only the newest change of each value and a limited number of
// tombstones. A follower that needs older tombstones receives the complete contents.
func TestChangeLogIsBounded(t *testing.T) {
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
	for key := range int64(3 * maxTombstones) {
		revision := 5000 + 2*key
		value := ports.Value{Key: fmt.Sprint("gone-", key), Revision: revision}
		mirror.Apply([]ports.WatchEvent{{Value: value}, {Value: ports.Value{Key: value.Key, Revision: revision + 1}, Deleted: true}}, revision+1)
		if len(mirror.tombstones) > maxTombstones+compactSlack+1 {
			t.Fatalf("%d tombstones are kept", len(mirror.tombstones))
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
