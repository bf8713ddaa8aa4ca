package loadshare

import (
	"fmt"
	"slices"
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
	"cobaltramp.example/cobaltramp/internal/cluster/subset"
	"cobaltramp.example/cobaltramp/internal/serving/runnerset"
	"cobaltramp.example/cobaltramp/internal/transport/rpc"
)

// mailbox keeps notices by receiver.
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

// fleet is a number of edges, nodes with disks and runners, evenly in zones.
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

// node returns one node's reporter, runners and mailbox.
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

// What one request makes a node send does not grow with the fleet.
func TestNoticesOfARequestDoNotGrowWithTheFleet(t *testing.T) {
	const bound = 3*minEdges + 2*fewStorageNodes // three changes, reported to edges at once and to storage nodes in two rounds
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

// Every node works out the same audience of a runner, whoever it is itself; each
// runner has one, and each node receives reports of enough runners to choose among.
func TestAudiencesAgreeAndAreEven(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := fleet{
			edges: rapid.IntRange(1, 120).Draw(t, "edges"), disks: rapid.IntRange(1, 40).Draw(t, "disks"),
			runners: rapid.IntRange(5, 60).Draw(t, "runners"), zones: rapid.IntRange(1, 5).Draw(t, "zones"),
		}
		one, runners, _ := f.node(0)
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
			receivers := one.audiences.of(runner)
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
		if f.disks <= fewStorageNodes {
			for disk := f.edges; disk < f.edges+f.disks; disk++ {
				if received[disk] != f.runners {
					t.Fatalf("storage node %d of %d receives reports of %d of %d runners", disk-f.edges, f.disks, received[disk], f.runners)
				}
			}
		}
	})
}

// A node that receives reports arrives at the use that the sender has, whatever the
// order of later notices; what ends is reported as well.
func TestUseArrives(t *testing.T) {
	is := is.New(t)
	f := fleet{edges: 3, disks: 2, runners: 2, zones: 1}
	reporter, runners, box := f.node(0)
	runner := runners.Service("s")[0]
	use := runners.Begin(runner, runnerset.Prompt{Tokens: 100, SharedParts: []runnerset.PromptPart{{ID: 7, Tokens: 60}}}, false, time.Now())
	reporter.flush()
	taker, other, _ := f.node(1)
	deliver := func(box *mailbox, address, from string, to *Reporter) {
		for _, message := range box.sent[address] {
			payload, err := proto.Marshal(message)
			is.NoErr(err)
			to.ReceiveNotice(from, payload)
		}
	}
	deliver(box, "e1", "edge-0", taker)
	is.Equal(other.Service("s")[0].RequestCounts(time.Now()).Running, 1.0)
	use.End()
	deliver(box, "e1", "edge-0", taker)
	is.Equal(other.Service("s")[0].RequestCounts(time.Now()).Running, 0.0)
	disk, atDisk, _ := f.node(3)
	deliver(box, "d0", "edge-0", disk)
	is.Equal(atDisk.Service("s")[0].RequestCounts(time.Now()).Running, 1.0) // reported before the request ended
	reporter.flush()
	deliver(box, "d0", "edge-0", disk)
	is.Equal(atDisk.Service("s")[0].RequestCounts(time.Now()).Running, 0.0)
	disk.ReceiveNotice("edge-0", []byte{0xff}) // what is no notice changes nothing
}

// The node whose items fill a runner receives a report of online work there at once,
// whether it belongs to the runner's audience or not.
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

// A node that joins receives reports, and one whose record is newer is reached at its new
// address.
func TestAudienceFollowsTheRecords(t *testing.T) {
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

// Runners that come and go, and nodes that start again, leave the audiences of
// other runners as they were: working one out ranks all nodes of a zone.
func TestAudiencesAreWorkedOutOnce(t *testing.T) {
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
	is.True(ranking() != before) // another node may belong to the audience
}

// Rankings of runners that are gone do not pile up, however many come and go while the
// nodes stay.
func TestRankingsOfGoneRunnersAreDropped(t *testing.T) {
	is := is.New(t)
	f := fleet{edges: 10, disks: 3, runners: 20, zones: 2}
	reporter, runners, _ := f.node(0)
	for revision := range 2 * rankingsSpare {
		old, next := fmt.Sprint("one-", revision), fmt.Sprint("one-", revision+1)
		runners.ApplyChanges([]runnerset.Record{{ID: next, Service: "s", Zone: "z0", Slots: 8}}, []string{old}, int64(revision+2), time.Now())
		for _, runner := range runners.Service("s") {
			reporter.receivesReports(runner)
		}
		is.True(reporter.audiences.table().byRunner.count.Load() <= rankingsSpare+2*21+1)
	}
}

// What a process reported ends with it: with its connections, or with the first
// report of the process that takes its place under the same name.
func TestReportsOfALostPeerEndWithIt(t *testing.T) {
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
	is.Equal(load(0), 2.0) // the other's report stands
	reporter.ReceiveNotice("disk-0", report(2, "runner-1", 1))
	is.Equal(load(0), 2.0)
	reporter.ReceiveNotice("disk-0", report(2, "runner-0", 4))
	reporter.ReceiveNotice("disk-0", report(3, "runner-1", 3)) // started again: it has nothing at the first
	is.Equal(load(0), 2.0)
	is.Equal(load(1), 3.0)
}

// What goes on unchanged is reported again, so that a lost notice, or one sent before
// its receiver joined, does no lasting harm; what has ended is not.
func TestStandingUseIsRepeated(t *testing.T) {
	is := is.New(t)
	f := fleet{edges: 2, disks: 1, runners: 1, zones: 1}
	reporter, runners, box := f.node(0)
	use := runners.Begin(runners.Service("s")[0], runnerset.Prompt{Tokens: 10}, true, time.Now())
	reporter.flush()
	before := box.count()
	reporter.repeat(time.Now()) // it was reported just now
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

// Whatever requests begin and end at the same moment, the last report that a
// receiver gets is what the node has: a use that has ended would else be repeated for good.
func TestLastNoticeIsTheLastUse(t *testing.T) {
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
	is.Equal(box.count(), before) // nothing goes on
}

// selectedNode is a node of a large fleet: it knows the records of its zone and of the
// nodes with disks, and of the runners those of its draw.
func (f fleet) selectedNode(self int) (*Reporter, *runnerset.Set, *mailbox) {
	records := f.records()
	directory := peers.NewDirectory(records[self])
	directory.MarkLarge()
	for _, record := range records {
		directory.Put(record)
	}
	index := subset.NewIndex[runnerset.Record]()
	for i := range f.runners {
		record := runnerset.Record{ID: fmt.Sprint("runner-", i), Service: "s", Zone: fmt.Sprint("z", i%f.zones), Slots: 8}
		index.Put(subset.ListedRunner[runnerset.Record]{ID: record.ID, ServiceZone: subset.ServiceZone{Service: "s", Zone: record.Zone}, Value: record})
	}
	interest := subset.DefaultInterest(records[self].NodeId, records[self].Zone, records[self].DiskId != "")
	var known []runnerset.Record
	for _, entry := range index.Select(subset.Compute(interest, index.Totals())) {
		known = append(known, entry.Value)
	}
	runners := runnerset.New()
	runners.Select(known, index.Totals(), 1, time.Now())
	box := &mailbox{sent: map[string][]*wirev1.RunnerUses{}}
	return New(directory, runners, box, prometheus.NewRegistry()), runners, box
}

// In a large fleet a request makes a node notify a bounded number of others, each of
// which knows the runner; a node holds rankings of the runners that it knows only; and
// a node receives reports of nearly all of these that lie in its zone.
func TestNoticesFollowTheDraws(t *testing.T) {
	for _, times := range []int{1, 2} {
		is := is.New(t)
		f := fleet{edges: 835 * times, disks: 150 * times, runners: 10_000 * times, zones: 5}
		reporter, runners, box := f.selectedNode(0)
		most, near, reported := 0, 0, 0
		for _, runner := range runners.Service("s") {
			before := box.count()
			use := runners.Begin(runner, runnerset.Prompt{Tokens: 100}, false, time.Now())
			reporter.flush()
			use.End()
			most = max(most, box.count()-before)
			if runner.Zone == "z0" {
				near++
				if reporter.receivesReports(runner) {
					reported++
				}
			}
		}
		rankings := 0
		reporter.audiences.table().byRunner.Range(func(any, any) bool { rankings++; return true })
		t.Logf("%d nodes, %d runners: at most %d notices for two changes, %d rankings, reports of %d of %d near runners", f.edges+f.disks, f.runners, most, rankings, reported, near)
		is.True(most <= 2*minEdges+minStorageNodes)
		is.Equal(rankings, len(runners.Service("s")))
		is.Equal(reported, near)
		for address := range box.sent {
			other := slices.IndexFunc(f.records(), func(record *wirev1.NodeRecord) bool { return record.Address == address })
			_, theirs, _ := f.selectedNode(other)
			known := map[string]bool{}
			for _, runner := range theirs.Service("s") {
				known[runner.ID] = true
			}
			for _, uses := range box.sent[address] {
				for _, use := range uses.Uses {
					is.True(known[use.Runner])
				}
			}
			break // any one of them
		}
	}
}
