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

// runnerKeys are those of runners in these tests: runner/ZONE/ID.
const runnerKeys = "runner/"

func classifyTest(value ports.Value) (string, subset.ServiceZone, bool) {
	zone, _, isRunner := strings.Cut(strings.TrimPrefix(value.Key, runnerKeys), "/")
	return value.Key, subset.ServiceZone{Service: "s", Zone: zone}, isRunner && strings.HasPrefix(value.Key, runnerKeys)
}

func runnerKey(number int) string { return fmt.Sprintf("%sz%d/i-%d", runnerKeys, number%5, number) }

// selected is a sink that holds what it gets, as a node does.
type selected struct {
	values   map[string]int64
	revision int64
	partial  bool
	// wasPartial: a selection was taken since the last Reset.
	wasPartial bool
}

func (s *selected) Reset(values []ports.Value, revision int64) {
	s.values, s.partial, s.wasPartial, s.revision = map[string]int64{}, false, false, revision
	for _, value := range values {
		s.values[value.Key] = value.Revision
	}
}

func (s *selected) Apply(events []ports.WatchEvent, revision int64) {
	s.revision = max(s.revision, revision)
	for _, event := range events {
		if event.Deleted {
			delete(s.values, event.Value.Key)
		} else {
			s.values[event.Value.Key] = event.Value.Revision
		}
	}
}

func (s *selected) Select(selection Selection, revision int64) {
	s.partial, s.revision = true, revision
	for key := range s.values {
		if strings.HasPrefix(key, runnerKeys) && !(s.wasPartial && selection.Keeps(ports.Value{Key: key}, classifyTest)) {
			delete(s.values, key)
		}
	}
	s.wasPartial = true
	for _, value := range selection.Values {
		s.values[value.Key] = value.Revision
	}
}

// treeModel is a store, two mirrors that follow it, and a node that takes a selection
// from either, one at a time.
type treeModel struct {
	storeModel
	interest subset.Interest
	from     int           // whose stream the node reads
	view     *FollowerView // of that stream
	after    int64
	node     *selected
}

func (m *treeModel) begin(from int) {
	m.from, m.view, m.after = from, &FollowerView{Interest: m.interest}, m.merge.Revision()
}

func (m *treeModel) passToNode() {
	update, _ := m.mirrors[m.from].After(m.after, m.view)
	if update == nil {
		return
	}
	deliver(encode(update), m.merge, m.view.Interest)
	m.after = update.Revision
}

// A node that gets a selection knows of the runners just those of its draw and of
// all else everything, as of the revision it holds, whichever source it takes it from
// and however far behind that is; what it holds never goes back.
func TestSelectionsFollowTheStore(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &treeModel{storeModel: storeModel{values: map[string]int64{}, mirrors: [2]*Mirror{NewMirror(classifyTest), NewMirror(classifyTest)}}}
		m.interest = subset.Interest{Node: "edge", Zone: "z0", Near: 16, Far: 4}
		m.node = &selected{values: map[string]int64{}}
		m.merge = NewMerger(m.node)
		for _, mirror := range m.mirrors {
			m.list(mirror)
		}
		m.begin(0)
		next, which := 0, rapid.IntRange(0, 1)
		held := int64(-1)
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
			"passed on":          func(*rapid.T) { m.passToNode() },
			"another source":     func(t *rapid.T) { m.begin(which.Draw(t, "mirror")) },
			"wants": func(t *rapid.T) {
				m.interest.Near = rapid.IntRange(4, 64).Draw(t, "near")
				m.begin(m.from)
			},
			"": func(t *rapid.T) {
				if m.merge.Revision() < held {
					t.Fatalf("went back from %d to %d", held, m.merge.Revision())
				}
				held = m.merge.Revision()
			},
		})
		m.catchUp(m.mirrors[m.from], m.revision)
		m.passToNode()
		index := subset.NewIndex[int64]()
		want := map[string]int64{}
		for key, revision := range m.values {
			if id, place, isRunner := classifyTest(ports.Value{Key: key}); isRunner {
				index.Put(subset.ListedRunner[int64]{ID: id, ServiceZone: place, Value: revision})
			} else {
				want[key] = revision
			}
		}
		for _, entry := range index.Select(subset.Compute(m.interest, index.Totals())) {
			want[entry.ID] = entry.Value
		}
		if !maps.Equal(m.node.values, want) {
			t.Fatalf("%d values are known, %d are to be, at %d of %d", len(m.node.values), len(want), m.node.revision, m.revision)
		}
	})
}

// While a node holds all runners, what the source of a selection sends changes
// nothing, and the other way round: neither knows what the other has sent.
func TestSourcesOfAllAndOfSomeDoNotMix(t *testing.T) {
	is := is.New(t)
	node := &selected{values: map[string]int64{}}
	merge := NewMerger(node)
	merge.Reset([]ports.Value{{Key: runnerKey(1), Revision: 1}, {Key: runnerKey(2), Revision: 2}}, 2)
	merge.ApplySelected([]ports.WatchEvent{{Value: ports.Value{Key: runnerKey(1), Revision: 4}, Deleted: true}}, 4)
	is.Equal(merge.Revision(), int64(2)) // else the change at 3 would be taken for old
	merge.Apply([]ports.WatchEvent{{Value: ports.Value{Key: runnerKey(2), Revision: 3}, Deleted: true}}, 4)
	is.Equal(len(node.values), 1)
	merge.Select(Selection{Values: []ports.Value{{Key: runnerKey(1), Revision: 1}}}, nil, 4)
	merge.Apply([]ports.WatchEvent{{Value: ports.Value{Key: runnerKey(9), Revision: 5}}}, 5)
	is.Equal(merge.Revision(), int64(4)) // its end would be passed on by nobody
	is.Equal(len(node.values), 1)
	merge.ApplySelected([]ports.WatchEvent{{Value: ports.Value{Key: runnerKey(1), Revision: 5}, Deleted: true}}, 5)
	is.Equal(len(node.values), 0)
}

// fleetMirror holds the entries of so many runners, and what else a store holds.
func fleetMirror(runners int) *Mirror {
	mirror := NewMirror(classifyTest)
	values := []ports.Value{{Key: "config", Value: make([]byte, 20_000), Revision: 1}}
	for number := range runners {
		values = append(values, ports.Value{Key: runnerKey(number), Value: make([]byte, 180), Revision: int64(number + 2)})
	}
	mirror.Reset(values, int64(runners+2))
	return mirror
}

func edgeView(edge int) *FollowerView {
	return &FollowerView{Interest: subset.DefaultInterest(fmt.Sprint("edge-", edge), fmt.Sprint("z", edge%5), false)}
}

// What a node gets when it starts, and when half of all runners are released, does
// not grow with the runners, but for those that it works with.
func TestBytesToldDoNotGrowWithTheRunners(t *testing.T) {
	bytesAt := map[int][2]int{}
	for _, size := range []int{1000, 10_000, 20_000} {
		mirror, view := fleetMirror(size), edgeView(7)
		update, _ := mirror.After(-1, view)
		start := proto.Size(encode(update))
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
		bytesAt[size] = [2]int{start, proto.Size(encode(update))}
		t.Logf("%d runners: %d bytes at the start, %d for the release of half", size, bytesAt[size][0], bytesAt[size][1])
	}
	is := is.New(t)
	for kind := range 2 {
		is.True(bytesAt[20_000][kind] < 2*bytesAt[1000][kind])
	}
	is.True(bytesAt[20_000][0] < 80_000)
	whole, _ := fleetMirror(10_000).After(-1, nil)
	t.Logf("the whole list of 10000: %d bytes", proto.Size(encode(whole)))
}

// While the runners of a fleet start, a node's draw of them shrinks with each doubling
// of a zone's; what it gets in all of that does not grow with the fleet.
func TestBytesOfAStartingFleet(t *testing.T) {
	sent := map[int]int{}
	for _, size := range []int{2500, 10_000, 20_000} {
		mirror, view := fleetMirror(0), edgeView(7)
		update, _ := mirror.After(-1, view)
		sent[size] = proto.Size(encode(update))
		const step = 430 // runners that start between two words of the store
		for from := 0; from < size; from += step {
			var events []ports.WatchEvent
			for number := from; number < min(size, from+step); number++ {
				events = append(events, ports.WatchEvent{Value: ports.Value{Key: runnerKey(number), Value: make([]byte, 180), Revision: int64(number + 10)}})
			}
			mirror.Apply(events, int64(from+step+10))
			next, _ := mirror.After(update.Revision, view)
			sent[size] += proto.Size(encode(next))
			update = next
		}
		t.Logf("%d runners start: %d bytes to a node", size, sent[size])
	}
	if sent[20_000] > 2*sent[2500] {
		t.Fatal("it grows with the runners")
	}
}

// Who was away gets what has changed since, not all there is.
func TestCatchingUpCostsWhatChanged(t *testing.T) {
	is := is.New(t)
	mirror := fleetMirror(10_000)
	before := mirror.revision
	for number := range 3000 { // more than any number of single changes that are kept
		mirror.Apply([]ports.WatchEvent{{Value: ports.Value{Key: runnerKey(number % 30), Value: make([]byte, 180), Revision: before + int64(number) + 1}}}, before+int64(number)+1)
	}
	update, _ := mirror.After(before, nil)
	is.True(!update.Whole)
	is.Equal(len(update.Events), 30)
}

// BenchmarkAfter is what a follower that starts costs a relay.
func BenchmarkAfter(b *testing.B) {
	for _, size := range []int{1000, 10_000, 20_000} {
		mirror := fleetMirror(size)
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			for i := 0; b.Loop(); i++ {
				mirror.After(mirror.forgotten, edgeView(i))
			}
		})
	}
}
