package forwarding

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus"
	"google.golang.org/protobuf/proto"

	wirev1 "cobaltramp.example/cobaltramp/api/wire/v1"
	"cobaltramp.example/cobaltramp/internal/app/eventually"
	"cobaltramp.example/cobaltramp/internal/cluster/peers"
	"cobaltramp.example/cobaltramp/internal/transport/rpc"
)

// recordingTransport records the notices that are sent.
type recordingTransport struct {
	Transport
	sent []sentNotice
}

type sentNotice struct {
	addresses []string
	method    wirev1.Method
	message   proto.Message
}

func (r *recordingTransport) NotifyAll(addresses []string, _ rpc.Class, method wirev1.Method, message proto.Message) {
	r.sent = append(r.sent, sentNotice{addresses, method, message})
}

func (r *recordingTransport) CallEncoded(ctx context.Context, _ string, _ rpc.Class, _ wirev1.Method, _ []byte) ([]byte, bool, error) {
	<-ctx.Done()
	return nil, true, ctx.Err()
}

// recordingCaller returns the caller of edge-0, whose paths to the addresses are broken.
func recordingCaller(t *testing.T, broken ...string) (*Caller, *recordingTransport) {
	directory := peers.NewDirectory(node("edge-0", "a", ""))
	for _, record := range []*wirev1.NodeRecord{node("edge-1", "a", ""), node("storage-1", "a", "disk-1"), node("storage-2", "a", "disk-2"), node("storage-3", "a", "disk-3")} {
		record.Incarnation = 1
		directory.Put(record)
	}
	transport := &recordingTransport{}
	caller := NewCaller(directory, transport, prometheus.NewRegistry())
	t.Cleanup(caller.Close)
	for _, address := range broken {
		caller.recordBypassed(&wirev1.NodeRecord{Address: address}, "", time.Now(), time.Now())
	}
	return caller, transport
}

var uses = &wirev1.RunnerUses{Uses: []*wirev1.RunnerUse{{Runner: "r", Running: 3}}}

// Reports go directly to the nodes with a working path, and in one notice to a forwarder for
// all others. Other notices are not forwarded.
func TestReportsForUnreachedNodesGoThroughOneForwarder(t *testing.T) {
	is := is.New(t)
	caller, transport := recordingCaller(t, "storage-1:1", "storage-3:1")
	all := []string{"edge-1:1", "storage-1:1", "storage-2:1", "storage-3:1"}
	caller.NotifyAll(all, rpc.ClassControl, wirev1.Method_METHOD_RUNNER_USE, uses)
	is.Equal(len(transport.sent), 2)
	is.Equal(transport.sent[0].addresses, []string{"edge-1:1", "storage-2:1"})
	is.Equal(transport.sent[1].addresses, []string{"edge-1:1"})
	is.Equal(transport.sent[1].method, wirev1.Method_METHOD_FORWARD_NOTICE)
	is.Equal(transport.sent[1].message.(*wirev1.ForwardedNotice).Addresses, []string{"storage-1:1", "storage-3:1"})

	caller.NotifyAll(all, rpc.ClassControl, wirev1.Method_METHOD_QUARANTINE, uses)
	is.Equal(transport.sent[2].addresses, all)

	before := len(transport.sent)
	for range 1000 {
		caller.NotifyAll([]string{"storage-1:1"}, rpc.ClassControl, wirev1.Method_METHOD_RUNNER_USE, uses)
	}
	is.True(len(transport.sent)-before < 1000) // the rate is limited
}

// A node that no forwarder reaches must not keep the reports from the other nodes.
func TestReportsPassOverNodeThatNoForwarderReaches(t *testing.T) {
	is := is.New(t)
	caller, transport := recordingCaller(t, "storage-1:1", "storage-3:1")
	caller.recordNoForwarder("storage-1:1", time.Now())
	caller.NotifyAll([]string{"storage-1:1", "storage-3:1"}, rpc.ClassControl, wirev1.Method_METHOD_RUNNER_USE, uses)
	is.Equal(len(transport.sent), 1)
	is.Equal(transport.sent[0].addresses, []string{"edge-1:1"})
}

// The broken path to a node that has left the directory must not keep the paths to the other
// nodes from being probed when one of them breaks.
func TestBrokenPathToDepartedNodeIsForgotten(t *testing.T) {
	is := is.New(t)
	caller, _ := recordingCaller(t, "departed-1:1")
	caller.view("storage-1:1", time.Now())
	caller.view("storage-2:1", time.Now())
	caller.paths["departed-1:1"] = &directPath{broken: true} // the node has left after the last new path
	target, _ := caller.directory.DiskAt("storage-1:1")
	now := time.Now()
	caller.recordBypassed(target, "edge-1:1", now, now)
	is.True(!caller.Broken("departed-1:1", now))
	is.Equal(caller.firstBroken, now)
}

// Without a broken path, the notice is passed on as it is.
func TestReportsToReachedNodesAreUnchanged(t *testing.T) {
	is := is.New(t)
	caller, transport := recordingCaller(t)
	all := []string{"edge-1:1", "storage-1:1"}
	caller.NotifyAll(all, rpc.ClassControl, wirev1.Method_METHOD_RUNNER_USE, uses)
	is.Equal(transport.sent, []sentNotice{{all, wirev1.Method_METHOD_RUNNER_USE, uses}})
}

// A forwarder passes a report on once, with the name of the node that sent it, and only to
// nodes with disks that it reaches.
func TestForwarderPassesReportsOnOnce(t *testing.T) {
	is := is.New(t)
	caller, transport := recordingCaller(t, "storage-2:1")
	var received []string
	forwarder := NewForwarder(caller, func(from string, payload []byte) { received = append(received, from+" "+string(payload)) }, prometheus.NewRegistry())
	notice := func(method wirev1.Method, addresses ...string) []byte {
		payload, err := proto.Marshal(&wirev1.ForwardedNotice{Addresses: addresses, Method: method, Payload: []byte("uses"), From: "edge-7"})
		is.NoErr(err)
		return payload
	}
	forwarder.ReceiveNotice("edge-5", notice(wirev1.Method_METHOD_RUNNER_USE, "storage-1:1", "storage-2:1", "edge-1:1", "unknown:1"))
	is.Equal(len(transport.sent), 1)
	is.Equal(transport.sent[0].addresses, []string{"storage-1:1"})
	passed := transport.sent[0].message.(*wirev1.ForwardedNotice)
	is.Equal(passed.From, "edge-5") // the node that sent it, whatever the notice says
	is.Equal(len(passed.Addresses), 0)
	is.Equal(len(received), 0)

	forwarder.ReceiveNotice("edge-5", notice(wirev1.Method_METHOD_RUNNER_USE))
	is.Equal(received, []string{"edge-7 uses"})
	forwarder.ReceiveNotice("edge-5", notice(wirev1.Method_METHOD_QUARANTINE))
	forwarder.ReceiveNotice("edge-5", notice(wirev1.Method_METHOD_QUARANTINE, "storage-1:1"))
	forwarder.ReceiveNotice("edge-5", []byte{0xff})
	is.Equal(len(received), 1)
	is.Equal(len(transport.sent), 1)
}

// A report of a partitioned edge arrives at the storage nodes.
func TestReportsArriveThroughPeers(t *testing.T) {
	is := is.New(t)
	f := startFleet(t, 3, 2, 0, answering())
	f.cut(faultRefused, f.edges[0])
	for _, disk := range f.disks {
		is.NoErr(f.edges[0].read(disk, longTimeout))
		is.True(f.edges[0].Broken(disk.address, time.Now()))
	}
	f.edges[0].NotifyAll([]string{f.disks[0].address, f.disks[1].address}, rpc.ClassControl, wirev1.Method_METHOD_RUNNER_USE, uses)
	payload, err := proto.Marshal(uses)
	is.NoErr(err)
	for _, disk := range f.disks {
		eventually.Require(t, "the report arrives", func() bool { return len(disk.notices) == 1 }, func() any { return len(disk.notices) })
		is.Equal(<-disk.notices, "edge-00: "+string(payload))
	}
}

// Edges report the storage nodes that answered them and that they reach.
func TestReachableDisks(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	caller, _ := recordingCaller(t)
	caller.recordDirect("storage-1:1", true, true, now)
	caller.recordDirect("storage-2:1", true, true, now)
	caller.recordDirect("storage-2:1", false, false, now)
	is.Equal(caller.ReachableDisks(now), []string{"storage-1"})
	is.Equal(len(caller.ReachableDisks(now.Add(reportLifetime))), 0)
	caller.RecordReachable("edge-1:1", []string{"storage-3"}, now)
	is.True(caller.peers["edge-1:1"].reaches(node("storage-3", "a", "disk-3"), now))
}

// The state of nodes that have left the directory is dropped.
func TestStateIsBoundedByDirectory(t *testing.T) {
	is := is.New(t)
	caller, _ := recordingCaller(t, "departed-1:1", "departed-2:1")
	caller.RecordReachable("departed-3:1", []string{"storage-1"}, time.Now())
	caller.RecordReachable("edge-1:1", []string{"storage-1"}, time.Now())
	caller.recordDirect("storage-1:1", true, true, time.Now())
	caller.mutex.Lock()
	defer caller.mutex.Unlock()
	for address := range caller.paths {
		_, found := caller.directory.DiskAt(address)
		is.True(found)
	}
	is.Equal(len(caller.peers), 1)
	is.True(caller.peers["edge-1:1"] != nil)
}
