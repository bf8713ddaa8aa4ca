package relay

import (
	"fmt"
	"maps"
	"strings"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"cobaltramp.example/cobaltramp/internal/cluster/ports"
	"cobaltramp.example/cobaltramp/internal/cluster/subset"
)

// classifyByValue treats the value of a runner's key as its zone, and the value unreadable
// as an unreadable entry.
func classifyByValue(value ports.Value) (string, subset.ServiceZone, bool) {
	isRunner := strings.HasPrefix(value.Key, runnerKeys) && string(value.Value) != unreadable
	return value.Key, subset.ServiceZone{Service: "s", Zone: string(value.Value)}, isRunner
}

const unreadable = "unreadable"

// entrySink holds the readable entries that a node receives: an unreadable entry counts as
// deleted.
type entrySink struct{ zones map[string]string }

func (s *entrySink) put(value ports.Value) {
	delete(s.zones, value.Key)
	if _, _, isRunner := classifyByValue(value); isRunner {
		s.zones[value.Key] = string(value.Value)
	}
}

func (s *entrySink) Reset(values []ports.Value, _ int64) {
	s.zones = map[string]string{}
	for _, value := range values {
		s.put(value)
	}
}

func (s *entrySink) Apply(events []ports.WatchEvent, _ int64) {
	for _, event := range events {
		if event.Deleted {
			delete(s.zones, event.Value.Key)
		} else {
			s.put(event.Value)
		}
	}
}

func (s *entrySink) Select(selection Selection, _ int64) {
	maps.DeleteFunc(s.zones, func(key, zone string) bool {
		return !selection.Retains(ports.Value{Key: key, Value: []byte(zone)}, classifyByValue)
	})
	for _, value := range selection.Values {
		s.put(value)
	}
}

// relocationModel is a store, a mirror that watches it, and a node that receives a selection
// from the mirror.
type relocationModel struct {
	values   map[string]ports.Value
	revision int64
	mirror   *Mirror
	view     *FollowerView
	merger   *Merger
	node     *entrySink
	after    int64
}

func newRelocationModel(runners int) *relocationModel {
	m := &relocationModel{values: map[string]ports.Value{}, mirror: NewMirror(classifyByValue), node: &entrySink{zones: map[string]string{}}}
	m.merger = NewMerger(m.node)
	for number := range runners {
		m.write(fmt.Sprint(runnerKeys, "i-", number), fmt.Sprint("z", number%5))
	}
	m.list()
	m.openStream(16)
	return m
}

func (m *relocationModel) write(key, text string) ports.Value {
	m.revision++
	m.values[key] = ports.Value{Key: key, Value: []byte(text), Revision: m.revision}
	return m.values[key]
}

func (m *relocationModel) put(key, text string) {
	m.mirror.Apply([]ports.WatchEvent{{Value: m.write(key, text)}}, m.revision)
}

func (m *relocationModel) delete(key string) {
	m.revision++
	delete(m.values, key)
	m.mirror.Apply([]ports.WatchEvent{{Value: ports.Value{Key: key, Revision: m.revision}, Deleted: true}}, m.revision)
}

func (m *relocationModel) list() {
	var values []ports.Value
	for _, value := range m.values {
		values = append(values, value)
	}
	m.mirror.Reset(values, m.revision)
}

func (m *relocationModel) openStream(near int) {
	m.view = &FollowerView{Interest: subset.Interest{Node: "edge", Zone: "z0", Near: near, Far: 4}}
	m.after = m.merger.Revision()
}

func (m *relocationModel) sendUpdate() {
	if update, _ := m.mirror.After(m.after, m.view); update != nil {
		applyReply(encodeUpdate(update), m.merger, m.view.Interest)
		m.after = update.Revision
	}
}

// wanted returns the zones of the runners that the node has to hold.
func (m *relocationModel) wanted() map[string]string {
	index := subset.NewIndex[string]()
	for _, value := range m.values {
		if id, serviceZone, isRunner := classifyByValue(value); isRunner {
			index.Put(subset.ListedRunner[string]{ID: id, ServiceZone: serviceZone})
		}
	}
	zones := map[string]string{}
	for _, entry := range index.Select(subset.Compute(m.view.Interest, index.Totals())) {
		zones[entry.ID] = entry.ServiceZone.Zone
	}
	return zones
}

// A node that follows a selection holds the readable entries of its subset, although entries
// become unreadable and readable again, and runners restart in other zones under their ids.
func TestSelectionFollowsUnreadableAndMovedEntries(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newRelocationModel(700) // more than a node receives as a whole
		key := rapid.Custom(func(t *rapid.T) string { return fmt.Sprint(runnerKeys, "i-", rapid.IntRange(0, 40).Draw(t, "runner")) })
		text := rapid.SampledFrom([]string{"z0", "z1", "z2", unreadable, unreadable})
		t.Repeat(map[string]func(*rapid.T){
			"entries change": func(t *rapid.T) {
				for range rapid.IntRange(1, 20).Draw(t, "changes") {
					m.put(key.Draw(t, "key"), text.Draw(t, "text"))
				}
			},
			"entry is deleted": func(t *rapid.T) { m.delete(key.Draw(t, "key")) },
			"missed change": func(t *rapid.T) {
				m.write(key.Draw(t, "key"), text.Draw(t, "text"))
				m.list()
			},
			"update":     func(*rapid.T) { m.sendUpdate() },
			"new stream": func(t *rapid.T) { m.openStream(rapid.IntRange(4, 64).Draw(t, "near")) },
		})
		m.sendUpdate()
		if want := m.wanted(); !maps.Equal(m.node.zones, want) {
			for key, zone := range want {
				if m.node.zones[key] != zone {
					t.Fatalf("%s is in zone %s, the node holds zone %q", key, zone, m.node.zones[key])
				}
			}
			t.Fatalf("the node holds %d runners instead of %d", len(m.node.zones), len(want))
		}
	})
}

// An unreadable entry does not count as a runner of its zone, and a selection contains no
// value for it.
func TestUnreadableEntriesAreNotSelected(t *testing.T) {
	is := is.New(t)
	mirror := NewMirror(classifyByValue)
	key := runnerKeys + "i-1"
	mirror.Reset([]ports.Value{{Key: key, Value: []byte("z0"), Revision: 1}, {Key: runnerKeys + "i-2", Value: []byte("z0"), Revision: 2}}, 2)
	mirror.Apply([]ports.WatchEvent{{Value: ports.Value{Key: key, Value: []byte(unreadable), Revision: 3}}}, 3)
	is.Equal(mirror.runners.Len(), 1)
	mirror.Apply([]ports.WatchEvent{{Value: ports.Value{Key: key, Revision: 4}, Deleted: true}}, 4)
	update, _ := mirror.After(-1, edgeFollowerView(1))
	is.Equal(len(update.Selection.Values), 1)
	is.Equal(update.Selection.Values[0].Key, runnerKeys+"i-2")
	mirror.Apply([]ports.WatchEvent{{Value: ports.Value{Key: key, Value: []byte("z0"), Revision: 5}}}, 5)
	is.Equal(mirror.runners.Len(), 2)
}
