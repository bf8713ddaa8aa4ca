package loadshare

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	wirev1 "cobaltramp.example/cobaltramp/api/wire/v1"
	"cobaltramp.example/cobaltramp/internal/serving/runnerset"
)

// restarted lists runner-0 of a fleet with one zone with another start.
func restarted(runners *runnerset.Set, startedAt, revision int64) {
	record := runnerset.Record{ID: "runner-0", Service: "s", Zone: "z0", Slots: 8, StartedAt: startedAt}
	runners.ApplyChanges([]runnerset.Record{record}, nil, revision, time.Now())
}

// Reports state the start of the runner, also for requests that still run at an earlier
// one, and receivers count them for that start only.
func TestReportsStateTheStartOfTheRunner(t *testing.T) {
	is := is.New(t)
	f := fleet{edges: 2, disks: 0, runners: 1, zones: 1}
	_, runners, box := f.node(0)
	receiver, received, _ := f.node(1)
	for _, set := range []*runnerset.Set{runners, received} {
		restarted(set, 1000, 2)
	}
	running := func() float64 { return received.Service("s")[0].RequestCounts(time.Now()).Running }
	deliver := func() {
		for _, uses := range box.sent["e1"] {
			payload, err := proto.Marshal(uses)
			is.NoErr(err)
			receiver.ReceiveNotice("edge-0", payload)
		}
		box.sent = map[string][]*wirev1.RunnerUses{}
	}
	request := runners.Begin(runners.Service("s")[0], runnerset.Prompt{Tokens: 10}, false, time.Now())
	is.Equal(box.sent["e1"][0].Uses[0].RunnerStartedUnixMs, int64(1000))
	deliver()
	is.Equal(running(), 1.0)
	request.RecordFirstEvent(time.Now()) // reported, but in flight while the runner restarts
	restarted(received, 2000, 3)
	deliver()
	is.Equal(running(), 0.0)
	restarted(runners, 2000, 3)
	runners.Begin(runners.Service("s")[0], runnerset.Prompt{Tokens: 10}, false, time.Now())
	request.End() // a report of no requests at the earlier start
	deliver()
	is.Equal(running(), 1.0)
}

// A report of a node of the previous version, which states no start, counts as before.
func TestReportsWithoutStartCount(t *testing.T) {
	is := is.New(t)
	f := fleet{edges: 2, disks: 0, runners: 1, zones: 1}
	receiver, received, _ := f.node(1)
	restarted(received, 2000, 2)
	payload, err := proto.Marshal(&wirev1.RunnerUses{Incarnation: 1, Uses: []*wirev1.RunnerUse{{Runner: "runner-0", Running: 3}}})
	is.NoErr(err)
	receiver.ReceiveNotice("edge-0", payload)
	is.Equal(received.Service("s")[0].RequestCounts(time.Now()).Running, 3.0)
}

// A runner that restarts in another zone gets the audience of that zone.
func TestAudienceFollowsTheZoneOfARestartedRunner(t *testing.T) {
	is := is.New(t)
	f := fleet{edges: 4, disks: 0, runners: 4, zones: 2}
	reporter, runners, _ := f.node(0)
	edges := func() []string { return reporter.audiences.of(runners.Service("s")[0]).edges }
	before := edges()
	record := runnerset.Record{ID: "runner-0", Service: "s", Zone: "z1", Slots: 8, StartedAt: 2000}
	runners.ApplyChanges([]runnerset.Record{record}, nil, 2, time.Now())
	is.Equal(len(edges()), len(before))
	for _, edge := range edges() {
		is.True(edge == "edge-1" || edge == "edge-3")
	}
}
