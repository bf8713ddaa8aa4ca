package peers

import (
	"context"
	"fmt"
	"net"
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
