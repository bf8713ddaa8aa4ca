package loadshare

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	wirev1 "cobaltramp.example/cobaltramp/api/wire/v1"
	_ "cobaltramp.example/cobaltramp/internal/app/fixedseed"
	"cobaltramp.example/cobaltramp/internal/cluster/peers"
	"cobaltramp.example/cobaltramp/internal/serving/runnerset"
	"cobaltramp.example/cobaltramp/internal/transport/rpc"
)

// mailbox records notices by receiver.
type mailbox struct {
	mutex sync.Mutex
	sent  map[string][]*wirev1.RunnerUses
}

func (m *mailbox) NotifyAll(addresses []string, _ rpc.Class, _ wirev1.Method, message proto.Message) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	for _, address := range addresses {
		m.sent[address] = append(m.sent[address], proto.Clone(message).(*wirev1.RunnerUses))
	}
}

func (m *mailbox) count() int {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	count := 0
	for _, messages := range m.sent {
		count += len(messages)
	}
	return count
}

// fleet describes a number of edges, storage nodes and runners, spread evenly over zones.
type fleet struct{ edges, disks, runners, zones int }

func (f fleet) records() []*wirev1.NodeRecord {
	var records []*wirev1.NodeRecord
	for i := range f.edges {
		records = append(records, &wirev1.NodeRecord{NodeId: fmt.Sprint("edge-", i), Address: fmt.Sprint("e", i), Zone: fmt.Sprint("z", i%f.zones), Incarnation: 1})
	}
	for i := range f.disks {
		records = append(records, &wirev1.NodeRecord{NodeId: fmt.Sprint("disk-", i), Address: fmt.Sprint("d", i), Zone: fmt.Sprint("z", i%f.zones), DiskId: fmt.Sprint("disk", i), Incarnation: 1})
	}
	return records
}

// node returns the reporter, runners and mailbox of one node.
func (f fleet) node(self int) (*Reporter, *runnerset.Set, *mailbox) {
	records := f.records()
	directory := peers.NewDirectory(records[self])
	for _, record := range records {
		directory.Put(record)
	}
	runners := runnerset.New()
	var listed []runnerset.Record
	for i := range f.runners {
		listed = append(listed, runnerset.Record{ID: fmt.Sprint("runner-", i), Service: "s", Zone: fmt.Sprint("z", i%f.zones), Slots: 8})
	}
	runners.Replace(listed, 1, time.Now())
	box := &mailbox{sent: map[string][]*wirev1.RunnerUses{}}
	return New(directory, runners, box, prometheus.NewRegistry()), runners, box
}

// The number of notices that a request causes does not grow with the fleet.
func TestNoticesOfARequestDoNotGrowWithTheFleet(t *testing.T) {
	const bound = 3*minEdges + 2*maxStorageNodesForAll // three changes, reported to edges at once and to storage nodes in two rounds
	for _, size := range []int{10, 100, 1000} {
		is := is.New(t)
		f := fleet{edges: size * 85 / 100, disks: size * 15 / 100, runners: size * 45 / 100, zones: 5}
		reporter, runners, box := f.node(0)
		most := 0
		for _, runner := range runners.Service("s") {
			before := box.count()
			use := runners.Begin(runner, runnerset.Prompt{Tokens: 100}, false, time.Now())
			use.RecordFirstEvent(time.Now())
			reporter.flush()
			use.End()
			reporter.flush()
			most = max(most, box.count()-before)
		}
		t.Logf("%d nodes: at most %d notices a request", size, most)
		is.True(most <= bound)
	}
}

// All nodes compute the same audience of a runner, and every audience contains enough
// storage nodes.
func TestNodesAgreeOnAudiences(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := fleet{
			edges: rapid.IntRange(1, 120).Draw(t, "edges"), disks: rapid.IntRange(1, 40).Draw(t, "disks"),
			runners: rapid.IntRange(5, 60).Draw(t, "runners"), zones: rapid.IntRange(1, 5).Draw(t, "zones"),
		}
		sender, runners, _ := f.node(0)
		received := map[int]int{}
		for self := range f.edges + f.disks {
			reporter, set, _ := f.node(self)
			for _, runner := range set.Service("s") {
				if reporter.receivesReports(runner) {
					received[self]++
				}
			}
		}
		total := 0
		for _, runner := range runners.Service("s") {
			receivers := sender.audiences.of(runner)
			total += len(receivers.edges) + len(receivers.storage)
			if f.disks > 0 && len(receivers.storage) == 0 {
				t.Fatalf("no storage node receives reports of %s", runner.ID)
			}
		}
		sum := 0
		for _, count := range received {
			sum += count
		}
		if sum != total {
			t.Fatalf("nodes receive reports of %d runners in all, node 0 would send %d", sum, total)
		}
		if f.disks <= maxStorageNodesForAll {
			for disk := f.edges; disk < f.edges+f.disks; disk++ {
				if received[disk] != f.runners {
					t.Fatalf("storage node %d of %d receives reports of %d of %d runners", disk-f.edges, f.disks, received[disk], f.runners)
				}
			}
		}
	})
}

// A receiver ends up with the sender's current use of a runner, including the end of a
// request.
func TestReceiverAppliesReportedUse(t *testing.T) {
	is := is.New(t)
	f := fleet{edges: 3, disks: 2, runners: 2, zones: 1}
	reporter, runners, box := f.node(0)
	runner := runners.Service("s")[0]
	use := runners.Begin(runner, runnerset.Prompt{Tokens: 100, SharedParts: []runnerset.PromptPart{{ID: 7, Tokens: 60}}}, false, time.Now())
	reporter.flush()
	receiver, other, _ := f.node(1)
	deliver := func(box *mailbox, address, from string, to *Reporter) {
		for _, message := range box.sent[address] {
			payload, err := proto.Marshal(message)
			is.NoErr(err)
			to.ReceiveNotice(from, payload)
		}
	}
	deliver(box, "e1", "edge-0", receiver)
	is.Equal(other.Service("s")[0].RequestCounts(time.Now()).Running, 1.0)
	use.End()
	deliver(box, "e1", "edge-0", receiver)
	is.Equal(other.Service("s")[0].RequestCounts(time.Now()).Running, 0.0)
	disk, atDisk, _ := f.node(3)
	deliver(box, "d0", "edge-0", disk)
	is.Equal(atDisk.Service("s")[0].RequestCounts(time.Now()).Running, 1.0) // reported before the request ended
	reporter.flush()
	deliver(box, "d0", "edge-0", disk)
	is.Equal(atDisk.Service("s")[0].RequestCounts(time.Now()).Running, 0.0)
	disk.ReceiveNotice("edge-0", []byte{0xff}) // an undecodable notice is ignored
}

// A node with batch items at a nearly full runner receives a report of online work there at
// once, even outside the runner's audience.
func TestBatchHoldersOfNearlyFullRunnersGetReportsAtOnce(t *testing.T) {
	is := is.New(t)
	f := fleet{edges: 2, disks: 40, runners: 100, zones: 1}
	reporter, runners, box := f.node(0)
	runner := runners.Service("s")[0]
	outside := ""
	members := map[string]bool{}
	for _, node := range reporter.audiences.of(runner).storage {
		members[node] = true
	}
	for i := range f.disks {
		if !members[fmt.Sprint("disk-", i)] {
			outside = fmt.Sprint("disk-", i)
		}
	}
	is.True(outside != "")
	runners.RecordPeerReport(outside, runner.ID, runnerset.PeerReport{NodeLoad: runnerset.NodeLoad{Running: 7, Batch: 7}}, time.Now())
	runners.Begin(runner, runnerset.Prompt{Tokens: 10}, false, time.Now())
	is.Equal(len(box.sent["d"+outside[len("disk-"):]]), 1)
}

// A node that joins receives reports, and a node with a newer record receives them at its
// new address.
func TestAudienceFollowsTheDirectory(t *testing.T) {
	is := is.New(t)
	directory := peers.NewDirectory(&wirev1.NodeRecord{NodeId: "a", Address: "a1", Zone: "z", Incarnation: 1})
	runners := runnerset.New()
	runners.Replace([]runnerset.Record{{ID: "r", Service: "s", Zone: "z", Slots: 8}}, 1, time.Now())
	reporter := New(directory, runners, &mailbox{sent: map[string][]*wirev1.RunnerUses{}}, prometheus.NewRegistry())
	runner := runners.Service("s")[0]
	edges := func() []string { return reporter.audiences.addresses(reporter.audiences.of(runner).edges) }
	is.Equal(len(edges()), 0)
	directory.Put(&wirev1.NodeRecord{NodeId: "b", Address: "b1", Zone: "z", Incarnation: 1})
	is.Equal(edges(), []string{"b1"})
	directory.Put(&wirev1.NodeRecord{NodeId: "b", Address: "b2", Zone: "z", Incarnation: 2})
	is.Equal(edges(), []string{"b2"})
}

// A runner's ranking stays cached when other runners change or nodes restart.
func TestAudiencesAreCached(t *testing.T) {
	is := is.New(t)
	f := fleet{edges: 100, disks: 20, runners: 40, zones: 2}
	reporter, runners, _ := f.node(0)
	ranking := func() *ranking { return reporter.audiences.table().ranking(runners.Service("s")[0]) }
	before := ranking()
	runners.ApplyChanges([]runnerset.Record{{ID: "runner-new", Service: "s", Zone: "z0", Slots: 8}}, []string{"runner-5"}, 2, time.Now())
	is.True(ranking() == before)
	directory := reporter.directory.(*peers.Directory)
	is.True(directory.Put(&wirev1.NodeRecord{NodeId: "edge-4", Address: "e4", Zone: "z0", Incarnation: 2}))
	is.True(ranking() == before)
	is.True(directory.Put(&wirev1.NodeRecord{NodeId: "edge-100", Address: "e100", Zone: "z0", Incarnation: 1}))
	is.True(ranking() != before) // the new node may belong to the audience
}

// The cache of rankings stays bounded while runners come and go and the nodes stay.
func TestRankingsOfRemovedRunnersAreDropped(t *testing.T) {
	is := is.New(t)
	f := fleet{edges: 10, disks: 3, runners: 20, zones: 2}
	reporter, runners, _ := f.node(0)
	for revision := range 2 * maxStaleRankings {
		old, next := fmt.Sprint("one-", revision), fmt.Sprint("one-", revision+1)
		runners.ApplyChanges([]runnerset.Record{{ID: next, Service: "s", Zone: "z0", Slots: 8}}, []string{old}, int64(revision+2), time.Now())
		for _, runner := range runners.Service("s") {
			reporter.receivesReports(runner)
		}
		is.True(reporter.audiences.table().byRunner.count.Load() <= maxStaleRankings+2*21+1)
	}
}

// A peer's reports are dropped when its connections end, and when the first report of its
// next process arrives.
func TestReportsOfALostPeerAreDropped(t *testing.T) {
	is := is.New(t)
	f := fleet{edges: 3, disks: 2, runners: 2, zones: 1}
	report := func(incarnation uint64, runner string, running uint32) []byte {
		payload, err := proto.Marshal(&wirev1.RunnerUses{Incarnation: incarnation, Uses: []*wirev1.RunnerUse{{Runner: runner, Running: running, Batch: running}}})
		is.NoErr(err)
		return payload
	}
	reporter, runners, _ := f.node(0)
	load := func(i int) float64 { return runners.Service("s")[i].RequestCounts(time.Now()).Running }
	reporter.ReceiveNotice("disk-0", report(1, "runner-0", 5))
	reporter.ReceiveNotice("disk-1", report(1, "runner-0", 2))
	is.Equal(load(0), 7.0)
	reporter.PeerLost("disk-0")
	is.Equal(load(0), 2.0) // the other peer's report is kept
	reporter.ReceiveNotice("disk-0", report(2, "runner-1", 1))
	is.Equal(load(0), 2.0)
	reporter.ReceiveNotice("disk-0", report(2, "runner-0", 4))
	reporter.ReceiveNotice("disk-0", report(3, "runner-1", 3)) // restarted: the peer has no requests at runner-0
	is.Equal(load(0), 2.0)
	is.Equal(load(1), 3.0)
}

// An unchanged use is reported again, in case a notice was lost or a receiver joined later.
// A use that has ended is not.
func TestUnchangedUseIsRepeated(t *testing.T) {
	is := is.New(t)
	f := fleet{edges: 2, disks: 1, runners: 1, zones: 1}
	reporter, runners, box := f.node(0)
	use := runners.Begin(runners.Service("s")[0], runnerset.Prompt{Tokens: 10}, true, time.Now())
	reporter.flush()
	before := box.count()
	reporter.repeat(time.Now()) // just reported
	is.Equal(box.count(), before)
	later := time.Now().Add(repeatInterval)
	reporter.repeat(later)
	is.Equal(box.count(), before+2)
	is.Equal(box.sent["e1"][len(box.sent["e1"])-1].Uses[0].Running, uint32(1))
	use.End()
	reporter.flush()
	before = box.count()
	reporter.repeat(later)
	is.Equal(box.count(), before)
}

// With concurrent requests, the last report to each receiver is the node's current use. An
// outdated use would otherwise be repeated indefinitely.
func TestLastNoticeHasTheCurrentUse(t *testing.T) {
	is := is.New(t)
	f := fleet{edges: 2, disks: 1, runners: 1, zones: 1}
	reporter, runners, box := f.node(0)
	runner := runners.Service("s")[0]
	var group sync.WaitGroup
	for range 8 {
		group.Add(1)
		go func() {
			defer group.Done()
			for range 200 {
				use := runners.Begin(runner, runnerset.Prompt{Tokens: 10}, false, time.Now())
				use.RecordFirstEvent(time.Now())
				use.End()
			}
		}()
	}
	group.Wait()
	reporter.flush()
	for _, address := range []string{"e1", "d0"} {
		last := box.sent[address][len(box.sent[address])-1]
		is.Equal(last.Uses[0].Running, uint32(0))
		is.Equal(last.Uses[0].UnreadTokens, uint32(0))
	}
	before := box.count()
	reporter.repeat(time.Now().Add(repeatInterval))
	is.Equal(box.count(), before) // no requests are left
}
