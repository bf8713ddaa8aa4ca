package streamorigin

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus"

	wirev1 "cobaltramp.example/cobaltramp/api/wire/v1"
	"cobaltramp.example/cobaltramp/internal/app/eventually"
	"cobaltramp.example/cobaltramp/internal/app/result"
	"cobaltramp.example/cobaltramp/internal/cluster/peers"
	"cobaltramp.example/cobaltramp/internal/serving/runnerset"
	"cobaltramp.example/cobaltramp/internal/transport/rpc"
)

// testNode is a node with a tracker that listens on a free port.
type testNode struct {
	*Tracker
	directory *peers.Directory
	runners   *runnerset.Set
	// contact is the contact of the node with the store, which is always current unless the test sets
	// it before run.
	contact *listContact
	// run starts the node, and stop ends it.
	run, stop func()
}

func startNode(t *testing.T, name, disk string) *testNode {
	t.Helper()
	node := newNode(t, name, disk)
	node.run()
	return node
}

// startNodeInContact starts a node whose contact with the store the test may end.
func startNodeInContact(t *testing.T, name, disk string) *testNode {
	t.Helper()
	node := newNode(t, name, disk)
	node.runners.SetContact(node.contact, 0)
	node.run()
	return node
}

// newNode returns a node that has not started.
func newNode(t *testing.T, name, disk string) *testNode {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	pool, server := rpc.NewPool(name, "c", nil, &rpc.Counters{}), rpc.NewServer(name, "c", &rpc.Counters{})
	node := &testNode{runners: runnerset.New(), contact: &listContact{}, directory: peers.NewDirectory(&wirev1.NodeRecord{
		NodeId: name, Address: listener.Addr().String(), Zone: name, DiskId: disk, Incarnation: 1, RecordsStreamOrigins: true,
	})}
	node.Tracker = New(node.directory, pool, node.runners.Versions(), node.contact, prometheus.NewRegistry())
	server.Handle(wirev1.Method_METHOD_STREAM_ORIGIN_RECORD, node.ServeRecord)
	server.Handle(wirev1.Method_METHOD_STREAM_ORIGIN_FIND, node.ServeFind)
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	node.run = func() {
		go func() { _ = server.Serve(listener, nil) }()
		go func() {
			defer close(ended)
			node.Run(ctx)
		}()
	}
	stopped := false
	node.stop = func() {
		if stopped {
			return
		}
		stopped = true
		cancel()
		<-ended
		_ = listener.Close()
		pool.Close()
		server.Close()
	}
	t.Cleanup(node.stop)
	return node
}

// startFleet starts two edges and three storage nodes that know each other, whose lists have
// runners of two versions.
func startFleet(t *testing.T) (edges, disks []*testNode) {
	t.Helper()
	for _, name := range []string{"a", "b"} {
		edges = append(edges, startNodeInContact(t, "edge-"+name, ""))
	}
	for _, name := range []string{"a", "b", "c"} {
		disks = append(disks, startNodeInContact(t, "disk-"+name, "disk-"+name))
	}
	all := append(append([]*testNode{}, edges...), disks...)
	for _, node := range all {
		for _, other := range all {
			node.directory.Put(other.directory.Self())
		}
		node.runners.Replace(node.runnersOfTwoVersions())
	}
	return edges, disks
}

// runnersOfTwoVersions returns the arguments of runnerset.Set.Replace for two runners.
func (*testNode) runnersOfTwoVersions() (records []runnerset.Record, revision int64, now time.Time) {
	return []runnerset.Record{{ID: "a", Service: "s", Version: "v1"}, {ID: "b", Service: "s", Version: "v2"}}, 1, time.Now()
}

const testContent = 7

// list replaces the list of a node.
func list(node *testNode, records ...runnerset.Record) {
	node.runners.Replace(records, node.nextRevision(), time.Now())
}

func (n *testNode) nextRevision() int64 {
	revision, _ := n.runners.Revision()
	return revision + 1
}

// begin records a stream that is sent to oldRunner, as beginAt does.
func begin(node *testNode, attempt, version string, sequence uint32) (confirmed bool) {
	return beginAt(node, attempt, Record{Origin: Origin{"s", version}, Sequence: sequence, Runner: oldRunner.ID})
}

// beginAt records a stream at an edge and waits until all calls have ended; on a busy machine, that is
// later than Await returns. It reports whether a holder has confirmed the record.
func beginAt(node *testNode, attempt string, record Record) (confirmed bool) {
	stream := Stream{Key: KeyOf(testContent, attempt), ID: attempt, Window: minWindow}
	recording := node.Record(context.Background(), stream, record)
	recording.Await(context.Background())
	<-recording.ended
	select {
	case <-recording.confirmed:
		return true
	default:
		return false
	}
}

// beginConfirmed records a stream until a holder has confirmed it.
func beginConfirmed(t *testing.T, node *testNode, attempt, version string, sequence uint32) {
	t.Helper()
	eventually.Require(t, "a confirmation", func() bool { return begin(node, attempt, version, sequence) })
}

// beginConfirmedAt records a stream that is sent to a runner until a holder has confirmed it.
func beginConfirmedAt(t *testing.T, node *testNode, attempt, version, runner string) {
	t.Helper()
	record := Record{Origin: Origin{"s", version}, Sequence: 1, Runner: runner}
	eventually.Require(t, "a confirmation", func() bool { return beginAt(node, attempt, record) })
}

// resolveKnown resolves a stream whose origin is known. As a caller does, it tries again when no holder
// has answered in time.
func resolveKnown(t *testing.T, node *testNode, attempt string) Origin {
	t.Helper()
	var origin Origin
	eventually.Require(t, "the origin of "+attempt, func() bool {
		var err error
		origin, err = resolve(node, attempt, testContent)
		return err == nil
	})
	return origin
}

func resolve(node *testNode, attempt string, content uint64) (Origin, error) {
	origin, _, err := node.Resolve(context.Background(), &Resumption{ID: "later", Attempt: attempt, Content: content, Service: "s", Window: minWindow})
	return origin, err
}

// A stream that began at a node which has ended since is resumed at its version by another node,
// also if one of the holders is down; the attempt of another request tells nothing.
func TestOriginIsKnownAfterTheLossOfItsNode(t *testing.T) {
	is := is.New(t)
	edges, disks := startFleet(t)
	beginConfirmed(t, edges[0], "first", "v2", 1)
	beginConfirmed(t, edges[0], "second", "v2", 1)
	beginConfirmed(t, edges[0], "second", "v1", 2) // a retry before the first event
	edges[0].stop()
	is.Equal(resolveKnown(t, edges[1], "first"), Origin{"s", "v2"})
	disks[0].stop()
	for attempt, version := range map[string]string{"first": "v2", "second": "v1"} {
		is.Equal(resolveKnown(t, edges[1], attempt), Origin{"s", version})
	}
	for _, unknown := range []string{"", "third"} {
		_, err := resolve(edges[1], unknown, testContent)
		is.Equal(result.CodeOf(err), result.StreamNotResumed)
	}
	_, err := resolve(edges[1], "first", testContent+1)
	is.Equal(result.CodeOf(err), result.StreamNotResumed)
	is.True(result.FromError(err).RetryAfter > 0)
}

// The node that began a stream knows its version without the storage nodes.
func TestOwnStreamsNeedNoHolder(t *testing.T) {
	is := is.New(t)
	edges, disks := startFleet(t)
	for _, disk := range disks {
		disk.stop()
	}
	is.True(!begin(edges[0], "first", "v2", 1))
	origin, err := resolve(edges[0], "first", testContent)
	is.NoErr(err)
	is.Equal(origin, Origin{"s", "v2"})
	_, err = resolve(edges[1], "first", testContent)
	is.Equal(result.CodeOf(err), result.StreamNotResumed)
}

// If a preferred holder refuses a record, the remaining holder gets it.
func TestRefusedRecordGoesToAnotherHolder(t *testing.T) {
	is := is.New(t)
	edges, disks := startFleet(t)
	preferred := holdersOf(edges[0].directory.Disks(), KeyOf(testContent, "first"))[:copies]
	for _, disk := range disks {
		for _, holder := range preferred {
			if disk.directory.Self().NodeId == holder.NodeId {
				disk.table.limit = 0
			}
		}
	}
	beginConfirmed(t, edges[0], "first", "v1", 1)
	edges[0].stop()
	is.Equal(resolveKnown(t, edges[1], "first"), Origin{"s", "v1"})
}

// No record is sent while all runners have had one version for the whole window.
func TestSoleVersionNeedsNoRecord(t *testing.T) {
	is := is.New(t)
	node := startNode(t, "edge", "")
	node.runners.Replace([]runnerset.Record{{ID: "a", Service: "s", Version: "v1"}}, 1, time.Now().Add(-2*minWindow))
	stream := Stream{Key: KeyOf(testContent, "first"), Window: minWindow}
	is.True(node.Record(t.Context(), stream, Record{Origin: Origin{"s", "v1"}, Sequence: 1}) == nil)
	origin, err := resolve(node, "first", testContent)
	is.NoErr(err)
	is.Equal(origin, Origin{"s", "v1"})
}
