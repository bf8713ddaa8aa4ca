package relay

import (
	"fmt"
	"maps"
	"strings"
	"testing"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"cobaltramp.example/cobaltramp/internal/cluster/ports"
	"cobaltramp.example/cobaltramp/internal/cluster/subset"
)

// runnerKeys is the prefix of the runners' keys in these tests: runner/ZONE/ID.
const runnerKeys = "runner/"

func classifyTest(value ports.Value) (string, subset.ServiceZone, bool) {
	zone, _, isRunner := strings.Cut(strings.TrimPrefix(value.Key, runnerKeys), "/")
	return value.Key, subset.ServiceZone{Service: "s", Zone: zone}, isRunner && strings.HasPrefix(value.Key, runnerKeys)
}

func runnerKey(number int) string { return fmt.Sprintf("%sz%d/i-%d", runnerKeys, number%5, number) }

// recordingSink is a sink that holds the revisions of its values.
type recordingSink struct {
	values   map[string]int64
	revision int64
	partial  bool
	// wasPartial is true if a selection has arrived since the last Reset.
	wasPartial bool
}

func (s *recordingSink) Reset(values []ports.Value, revision int64) {
	s.values, s.partial, s.wasPartial, s.revision = map[string]int64{}, false, false, revision
	for _, value := range values {
		s.values[value.Key] = value.Revision
	}
}

func (s *recordingSink) Apply(events []ports.WatchEvent, revision int64) {
	s.revision = max(s.revision, revision)
	for _, event := range events {
		if event.Deleted {
			delete(s.values, event.Value.Key)
		} else {
			s.values[event.Value.Key] = event.Value.Revision
		}
	}
}

func (s *recordingSink) Select(selection Selection, revision int64) {
	s.partial, s.revision = true, revision
	for key := range s.values {
		if strings.HasPrefix(key, runnerKeys) && !(s.wasPartial && selection.Retains(ports.Value{Key: key}, classifyTest)) {
			delete(s.values, key)
		}
	}
	s.wasPartial = true
	for _, value := range selection.Values {
		s.values[value.Key] = value.Revision
	}
}

// treeModel is a store, two mirrors that watch it, and a node that receives a selection
// from one of them at a time.
type treeModel struct {
	storeModel
	interest subset.Interest
	source   int           // index of the mirror that the node follows
	view     *FollowerView // of the current stream
	after    int64
	node     *recordingSink
}

func (m *treeModel) openStream(source int) {
	m.source, m.view, m.after = source, &FollowerView{Interest: m.interest}, m.merger.Revision()
}

func (m *treeModel) sendUpdateToNode() {
	update, _ := m.mirrors[m.source].After(m.after, m.view)
	if update == nil {
		return
	}
	applyReply(encodeUpdate(update), m.merger, m.view.Interest)
	m.after = update.Revision
}

// A node that follows a selective source finally holds the runners of its subset and all
// other values at the source's revision, and never goes back to an older revision.
// Sources may be behind, and the node may change to another source.
func TestSelectionConvergesToTheStore(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &treeModel{storeModel: storeModel{values: map[string]int64{}, mirrors: [2]*Mirror{NewMirror(classifyTest), NewMirror(classifyTest)}}}
		m.interest = subset.Interest{Node: "edge", Zone: "z0", Near: 16, Far: 4}
		m.node = &recordingSink{values: map[string]int64{}}
		m.merger = NewMerger(m.node)
		for _, mirror := range m.mirrors {
			m.list(mirror)
		}
		m.openStream(0)
		next, which := 0, rapid.IntRange(0, 1)
		previousRevision := int64(-1)
		t.Repeat(map[string]func(*rapid.T){
			"runners start": func(t *rapid.T) {
				for range rapid.IntRange(1, 600).Draw(t, "count") {
					m.change(runnerKey(next), false)
					next++
				}
			},
			"a runner changes": func(t *rapid.T) {
				if next > 0 {
					m.change(runnerKey(rapid.IntRange(0, next-1).Draw(t, "runner")), rapid.Bool().Draw(t, "gone"))
				}
			},
			"many runners end": func(t *rapid.T) {
				for runner := range next / 2 {
					m.change(runnerKey(runner), true)
				}
			},
			"configuration": func(t *rapid.T) { m.change("config", false) },
			"mirror follows": func(t *rapid.T) {
				mirror := m.mirrors[which.Draw(t, "mirror")]
				m.catchUp(mirror, mirror.revision+rapid.Int64Range(0, m.revision-mirror.revision).Draw(t, "by"))
			},
			"mirror lists again": func(t *rapid.T) { m.list(m.mirrors[which.Draw(t, "mirror")]) },
			"passed on":          func(*rapid.T) { m.sendUpdateToNode() },
			"another source":     func(t *rapid.T) { m.openStream(which.Draw(t, "mirror")) },
			"wants": func(t *rapid.T) {
				m.interest.Near = rapid.IntRange(4, 64).Draw(t, "near")
				m.openStream(m.source)
			},
			"": func(t *rapid.T) {
				if m.merger.Revision() < previousRevision {
					t.Fatalf("the revision went back from %d to %d", previousRevision, m.merger.Revision())
				}
				previousRevision = m.merger.Revision()
			},
		})
		m.catchUp(m.mirrors[m.source], m.revision)
		m.sendUpdateToNode()
		index := subset.NewIndex[int64]()
		want := map[string]int64{}
		for key, revision := range m.values {
			if id, serviceZone, isRunner := classifyTest(ports.Value{Key: key}); isRunner {
				index.Put(subset.ListedRunner[int64]{ID: id, ServiceZone: serviceZone, Value: revision})
			} else {
				want[key] = revision
			}
		}
		for _, entry := range index.Select(subset.Compute(m.interest, index.Totals())) {
			want[entry.ID] = entry.Value
		}
		if !maps.Equal(m.node.values, want) {
			t.Fatalf("the node holds %d values instead of %d, at revision %d of %d", len(m.node.values), len(want), m.node.revision, m.revision)
		}
	})
}

// A merger that holds all runners ignores changes from the source of a selection, and a
// merger that holds a selection ignores changes from a source of all runners.
func TestFullAndSelectiveSourcesDoNotMix(t *testing.T) {
	is := is.New(t)
	node := &recordingSink{values: map[string]int64{}}
	merger := NewMerger(node)
	merger.Reset([]ports.Value{{Key: runnerKey(1), Revision: 1}, {Key: runnerKey(2), Revision: 2}}, 2)
	merger.ApplySelected([]ports.WatchEvent{{Value: ports.Value{Key: runnerKey(1), Revision: 4}, Deleted: true}}, 4)
	is.Equal(merger.Revision(), int64(2)) // otherwise the change at 3 would be ignored as old
	merger.Apply([]ports.WatchEvent{{Value: ports.Value{Key: runnerKey(2), Revision: 3}, Deleted: true}}, 4)
	is.Equal(len(node.values), 1)
	merger.Select(Selection{Values: []ports.Value{{Key: runnerKey(1), Revision: 1}}}, nil, 4)
	merger.Apply([]ports.WatchEvent{{Value: ports.Value{Key: runnerKey(9), Revision: 5}}}, 5)
	is.Equal(merger.Revision(), int64(4)) // no source would send the deletion of that runner
	is.Equal(len(node.values), 1)
	merger.ApplySelected([]ports.WatchEvent{{Value: ports.Value{Key: runnerKey(1), Revision: 5}, Deleted: true}}, 5)
	is.Equal(len(node.values), 0)
}

// newFleetMirror returns a mirror with the given number of runners and one other value.
func newFleetMirror(runners int) *Mirror {
	mirror := NewMirror(classifyTest)
	values := []ports.Value{{Key: "config", Value: make([]byte, 20_000), Revision: 1}}
	for number := range runners {
		values = append(values, ports.Value{Key: runnerKey(number), Value: make([]byte, 180), Revision: int64(number + 2)})
	}
	mirror.Reset(values, int64(runners+2))
	return mirror
}

func edgeFollowerView(edge int) *FollowerView {
	return &FollowerView{Interest: subset.DefaultInterest(fmt.Sprint("edge-", edge), fmt.Sprint("z", edge%5), false)}
}

// The size of a node's first update, and of the update after half of the runners are
// replaced, does not grow with the number of runners.
func TestBytesSentDoNotGrowWithRunners(t *testing.T) {
	bytesAt := map[int][2]int{}
	for _, size := range []int{1000, 10_000, 20_000} {
		mirror, view := newFleetMirror(size), edgeFollowerView(7)
		update, _ := mirror.After(-1, view)
		start := proto.Size(encodeUpdate(update))
		var events []ports.WatchEvent
		revision := update.Revision
		for number := 0; number < size; number += 2 { // each is replaced by another
			revision++
			events = append(events, ports.WatchEvent{Value: ports.Value{Key: runnerKey(number), Revision: revision}, Deleted: true})
			revision++
			events = append(events, ports.WatchEvent{Value: ports.Value{Key: runnerKey(size + number), Value: make([]byte, 180), Revision: revision}})
		}
		mirror.Apply(events, revision)
		update, _ = mirror.After(update.Revision, view)
		bytesAt[size] = [2]int{start, proto.Size(encodeUpdate(update))}
		t.Logf("%d runners: %d bytes at the start, %d for the release of half", size, bytesAt[size][0], bytesAt[size][1])
	}
	is := is.New(t)
	for kind := range 2 {
		is.True(bytesAt[20_000][kind] < 2*bytesAt[1000][kind])
	}
	is.True(bytesAt[20_000][0] < 80_000)
	whole, _ := newFleetMirror(10_000).After(-1, nil)
	t.Logf("the whole list of 10000: %d bytes", proto.Size(encodeUpdate(whole)))
}

// While the runners of a fleet start, a node's subset shrinks each time that the number
// of runners of a zone doubles. The bytes sent to the node do not grow with the fleet.
func TestBytesSentWhileAFleetStarts(t *testing.T) {
	sent := map[int]int{}
	for _, size := range []int{2500, 10_000, 20_000} {
		mirror, view := newFleetMirror(0), edgeFollowerView(7)
		update, _ := mirror.After(-1, view)
		sent[size] = proto.Size(encodeUpdate(update))
		const step = 430 // runners that start between two updates
		for from := 0; from < size; from += step {
			var events []ports.WatchEvent
			for number := from; number < min(size, from+step); number++ {
				events = append(events, ports.WatchEvent{Value: ports.Value{Key: runnerKey(number), Value: make([]byte, 180), Revision: int64(number + 10)}})
			}
			mirror.Apply(events, int64(from+step+10))
			next, _ := mirror.After(update.Revision, view)
			sent[size] += proto.Size(encodeUpdate(next))
			update = next
		}
		t.Logf("%d runners start: %d bytes to a node", size, sent[size])
	}
	if sent[20_000] > 2*sent[2500] {
		t.Fatal("the bytes sent grow with the number of runners")
	}
}

// A follower that was disconnected receives the changes since then, not the complete
// contents.
func TestCatchingUpSendsOnlyChanges(t *testing.T) {
	is := is.New(t)
	mirror := newFleetMirror(10_000)
	before := mirror.revision
	for number := range 3000 { // many changes of few keys
		mirror.Apply([]ports.WatchEvent{{Value: ports.Value{Key: runnerKey(number % 30), Value: make([]byte, 180), Revision: before + int64(number) + 1}}}, before+int64(number)+1)
	}
	update, _ := mirror.After(before, nil)
	is.True(!update.Whole)
	is.Equal(len(update.Events), 30)
}

// BenchmarkAfter measures the first update that a relay computes for a follower.
func BenchmarkAfter(b *testing.B) {
	for _, size := range []int{1000, 10_000, 20_000} {
		mirror := newFleetMirror(size)
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			for i := 0; b.Loop(); i++ {
				mirror.After(mirror.compactedRevision, edgeFollowerView(i))
			}
		})
	}
}
