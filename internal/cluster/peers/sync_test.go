package peers

import (
	"context"
	"fmt"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	wirev1 "cobaltramp.example/cobaltramp/api/wire/v1"
	"cobaltramp.example/cobaltramp/internal/transport/rpc"
)

// noDocuments is a Documents without documents.
type noDocuments struct{}

func (noDocuments) FillRequest(*wirev1.PeerStateRequest)                       {}
func (noDocuments) FillReply(*wirev1.PeerStateRequest, *wirev1.PeerStateReply) {}
func (noDocuments) ApplyReply(*wirev1.PeerStateReply, string)                  {}
func (noDocuments) Stale() bool                                                { return false }
func (noDocuments) Empty() bool                                                { return false }

// testTimeout is long enough that no call times out on a busy machine.
const testTimeout = time.Minute

// testPeer is a node that exchanges records over the loopback interface.
type testPeer struct {
	*Syncer
	counters *rpc.Counters
	address  string
}

func startPeer(t *testing.T, name, disk string, incarnation uint64) *testPeer {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	p := &testPeer{counters: &rpc.Counters{}, address: listener.Addr().String()}
	directory := NewDirectory(&wirev1.NodeRecord{NodeId: name, Address: p.address, DiskId: disk, Incarnation: incarnation})
	p.Syncer = &Syncer{Directory: directory, Documents: noDocuments{}, Pool: rpc.NewPool(name, "c", nil, p.counters), timeout: testTimeout}
	server := rpc.NewServer(name, "c", &rpc.Counters{})
	server.Handle(wirev1.Method_METHOD_PEER_STATE, p.Serve)
	go func() { _ = server.Serve(listener, nil) }()
	t.Cleanup(func() {
		_ = listener.Close()
		p.Pool.Close()
		server.Close()
	})
	return p
}

func fleetRecord(number int, incarnation uint64) *wirev1.NodeRecord {
	return &wirev1.NodeRecord{NodeId: fmt.Sprint("edge-some-zone-", number), Address: fmt.Sprintf("10.0.%d.%d:7720", number/250, number%250), Zone: "some-zone", Region: "region", Incarnation: incarnation}
}

// After a single record has changed, a sync transfers only the part that contains it, not
// all records.
func TestOnlyDifferingPartsAreSent(t *testing.T) {
	is := is.New(t)
	const nodes = 300
	first, second := startPeer(t, "one", "", 1), startPeer(t, "other", "", 1)
	for number := range nodes {
		first.Directory.Put(fleetRecord(number, 1))
		second.Directory.Put(fleetRecord(number, 1))
	}
	ctx := context.Background()
	first.syncWith(ctx, second.address)
	second.syncWith(ctx, first.address)
	first.syncWith(ctx, second.address)
	is.Equal(first.Directory.Digest(), second.Directory.Digest())
	before := first.counters.BytesReceived.Load()
	for round := range 10 {
		second.Directory.Put(fleetRecord(round*7, uint64(2+round)))
		first.syncWith(ctx, second.address)
		is.Equal(first.Directory.Digest(), second.Directory.Digest())
	}
	each := (first.counters.BytesReceived.Load() - before) / 10
	t.Logf("%d bytes per sync with one changed record of %d", each, nodes)
	is.True(each < 3000)
}

// One sync in each direction brings two nodes to the newest version of every record,
// whatever each knew before.
func TestExchangeConvergesToNewestRecords(t *testing.T) {
	first, second := startPeer(t, "one", "", 1), startPeer(t, "other", "", 1)
	incarnation := uint64(1)
	rapid.Check(t, func(t *rapid.T) {
		incarnation++
		for range rapid.IntRange(0, 40).Draw(t, "changes") {
			record := fleetRecord(rapid.IntRange(0, 60).Draw(t, "node"), incarnation)
			if rapid.Bool().Draw(t, "at one") {
				first.Directory.Put(record)
			} else {
				second.Directory.Put(record)
			}
		}
		ctx := context.Background()
		first.syncWith(ctx, second.address)
		second.syncWith(ctx, first.address)
		if first.Directory.Digest() != second.Directory.Digest() {
			t.Fatalf("%d and %d records", first.Directory.Count(), second.Directory.Count())
		}
	})
}

// A probe returns the node's record if its incarnation has changed, so that the prober
// learns of a replaced disk.
func TestProbeFindsReplacedDisk(t *testing.T) {
	is := is.New(t)
	prober, probed := startPeer(t, "asker", "d1", 1), startPeer(t, "asked", "new", 2)
	prober.Directory.Put(&wirev1.NodeRecord{NodeId: "asked", Address: probed.address, DiskId: "old", Incarnation: 1})
	for _, record := range prober.Directory.Disks() {
		if record.NodeId == "asked" {
			prober.probe(context.Background(), record)
		}
	}
	is.True(prober.Directory.DiskLost("old"))
	_, known := prober.Directory.Disk("new")
	is.True(known)
}

// recordedReachability is a Reachability that reports its own IDs and records those received.
type recordedReachability struct {
	mutex    sync.Mutex
	own      []string
	received map[string][]string // by address
}

func (r *recordedReachability) ReachableDisks(time.Time) []string { return r.own }

func (r *recordedReachability) RecordReachable(address string, nodes []string, _ time.Time) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.received[address] = nodes
}

// Two nodes learn from one call which storage nodes the other reaches. A node that does not
// exchange them sends none.
func TestReachableDisksAreExchanged(t *testing.T) {
	is := is.New(t)
	a, b, previous := startPeer(t, "a", "", 1), startPeer(t, "b", "", 1), startPeer(t, "c", "", 1)
	reachable := map[*testPeer]*recordedReachability{}
	for peer, own := range map[*testPeer][]string{a: {"storage-1"}, b: {"storage-2", "storage-3"}} {
		reachable[peer] = &recordedReachability{own: own, received: map[string][]string{}}
		peer.Reachability = reachable[peer]
	}
	a.syncWith(context.Background(), b.address)
	a.syncWith(context.Background(), previous.address)
	previous.syncWith(context.Background(), a.address)
	is.Equal(reachable[a].received, map[string][]string{b.address: {"storage-2", "storage-3"}})
	is.Equal(reachable[b].received, map[string][]string{a.address: {"storage-1"}})
}

// Only nodes with disks are found by DiskAt.
func TestDiskAt(t *testing.T) {
	is := is.New(t)
	directory := NewDirectory(&wirev1.NodeRecord{NodeId: "a", Address: "a:1"})
	directory.Put(&wirev1.NodeRecord{NodeId: "s", Address: "s:1", DiskId: "d", Incarnation: 1})
	record, found := directory.DiskAt("s:1")
	is.True(found)
	is.Equal(record.NodeId, "s")
	for _, address := range []string{"a:1", "unknown:1"} {
		_, found = directory.DiskAt(address)
		is.True(!found)
	}
}
