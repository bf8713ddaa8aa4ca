package forwarding

import (
	"context"
	"fmt"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus"
	dto "github.com/prometheus/client_model/go"
	"google.golang.org/protobuf/proto"

	wirev1 "cobaltramp.example/cobaltramp/api/wire/v1"
	"cobaltramp.example/cobaltramp/internal/app/result"
	"cobaltramp.example/cobaltramp/internal/cluster/peers"
	"cobaltramp.example/cobaltramp/internal/transport/rpc"
)

// fault is what happens to the calls from one node to another.
type fault uint8

const (
	faultNone fault = iota
	// faultRefused means that no connection can be made.
	faultRefused
	// faultSilent means that requests are lost and nothing is answered or reset.
	faultSilent
	// faultRepliesLost means that requests arrive and replies are lost.
	faultRepliesLost
)

// faultyTransport is a Transport whose paths to some addresses are faulty.
type faultyTransport struct {
	*rpc.Pool
	mutex  sync.Mutex
	faults map[string]fault
	// calls counts the calls to an address except probes, whether or not they are sent.
	calls map[string]int
	// inFlight are the calls in progress to storage nodes, and mostInFlight their maximum.
	inFlight, mostInFlight int
}

func (t *faultyTransport) set(kind fault, addresses ...string) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	for _, address := range addresses {
		t.faults[address] = kind
	}
}

func (t *faultyTransport) count(address string) int {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.calls[address]
}

func (t *faultyTransport) most() int {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.mostInFlight
}

func (t *faultyTransport) fault(address string) fault {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.faults[address]
}

func (t *faultyTransport) CallEncoded(ctx context.Context, address string, class rpc.Class, method wirev1.Method, request []byte) ([]byte, bool, error) {
	if method != wirev1.Method_METHOD_FORWARD {
		t.begin(address)
		defer t.end()
	}
	switch t.fault(address) {
	case faultRefused:
		return nil, false, result.New(result.PeerUnreachable, "connection refused")
	case faultSilent:
		<-ctx.Done()
		return nil, true, ctx.Err()
	}
	reply, sent, err := t.Pool.CallEncoded(ctx, address, class, method, request)
	if t.fault(address) == faultRepliesLost {
		<-ctx.Done()
		return nil, sent, ctx.Err()
	}
	return reply, sent, err
}

func (t *faultyTransport) begin(address string) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.calls[address]++
	t.inFlight++
	t.mostInFlight = max(t.mostInFlight, t.inFlight)
}

func (t *faultyTransport) end() {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.inFlight--
}

func (t *faultyTransport) Connect(ctx context.Context, address string, class rpc.Class) error {
	switch t.fault(address) {
	case faultRefused:
		return result.New(result.PeerUnreachable, "connection refused")
	case faultSilent:
		<-ctx.Done()
		return ctx.Err()
	}
	return t.Pool.Connect(ctx, address, class)
}

func (t *faultyTransport) NotifyAll(addresses []string, class rpc.Class, method wirev1.Method, message proto.Message) {
	for _, address := range addresses {
		if t.fault(address) == faultNone {
			t.Pool.NotifyAll([]string{address}, class, method, message)
		}
	}
}

// member is a node of a test fleet.
type member struct {
	*Caller
	server    *rpc.Server
	listener  net.Listener
	forwarder *Forwarder
	transport *faultyTransport
	address   string
	record    *wirev1.NodeRecord
	registry  *prometheus.Registry
	// notices receives the notices of requests at runners, as "sender: payload".
	notices chan string
}

// fleet is a set of nodes on the loopback interface that know each other.
type fleet struct {
	edges, disks []*member
}

// startFleet starts nodes. serve handles the calls of the storage nodes; the first old
// edges do not forward calls, as nodes of the previous version.
func startFleet(t testing.TB, edges, disks, old int, serve map[wirev1.Method]rpc.StreamHandler) *fleet {
	t.Helper()
	f := &fleet{}
	for i := range edges + disks {
		node := &member{record: &wirev1.NodeRecord{NodeId: fmt.Sprintf("edge-%02d", i), Zone: "z", Incarnation: 1}, notices: make(chan string, 64)}
		if i >= edges {
			node.record.NodeId, node.record.DiskId = fmt.Sprintf("storage-%02d", i), fmt.Sprintf("disk-%02d", i)
		}
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		node.listener, node.address, node.record.Address = listener, listener.Addr().String(), listener.Addr().String()
		if i < edges {
			f.edges = append(f.edges, node)
		} else {
			f.disks = append(f.disks, node)
		}
	}
	for i, node := range append(append([]*member(nil), f.edges...), f.disks...) {
		f.start(t, node, i >= old, serve)
	}
	return f
}

func (f *fleet) start(t testing.TB, node *member, forwards bool, serve map[wirev1.Method]rpc.StreamHandler) {
	directory := peers.NewDirectory(node.record)
	for _, other := range append(append([]*member(nil), f.edges...), f.disks...) {
		directory.Put(other.record)
	}
	node.registry = prometheus.NewRegistry()
	node.transport = &faultyTransport{Pool: rpc.NewPool(node.record.NodeId, "c", nil, &rpc.Counters{}), faults: map[string]fault{}, calls: map[string]int{}}
	node.Caller = NewCaller(directory, node.transport, node.registry)
	receive := func(from string, payload []byte) { node.notices <- from + ": " + string(payload) }
	node.forwarder = NewForwarder(node.Caller, receive, node.registry)
	node.forwarder.connectTimeout = longTimeout // long enough on a busy machine
	node.server = rpc.NewServer(node.record.NodeId, "c", &rpc.Counters{})
	if forwards {
		node.forwarder.Handle(node.server)
	}
	if node.record.DiskId != "" {
		for method, handler := range serve {
			node.server.Handle(method, handler)
		}
	}
	go func() { _ = node.server.Serve(node.listener, nil) }()
	t.Cleanup(func() {
		_ = node.listener.Close()
		node.Close()
		node.transport.Close()
		node.server.Close()
	})
}

// cut partitions nodes from all storage nodes.
func (f *fleet) cut(kind fault, nodes ...*member) {
	for _, node := range nodes {
		for _, disk := range f.disks {
			node.transport.set(kind, disk.address)
		}
	}
}

// read sends a read of a job to a storage node.
func (m *member) read(target *member, within time.Duration) error {
	ctx, cancel := context.WithTimeout(context.Background(), within)
	defer cancel()
	return m.Call(ctx, target.address, rpc.ClassOnline, wirev1.Method_METHOD_QUEUE_READ, &wirev1.QueueReadRequest{JobId: "j"}, &wirev1.QueueReadReply{})
}

// submit sends a job to a storage node.
func (m *member) submit(target *member, within time.Duration) error {
	ctx, cancel := context.WithTimeout(context.Background(), within)
	defer cancel()
	return m.Call(ctx, target.address, rpc.ClassOnline, wirev1.Method_METHOD_QUEUE_SUBMIT, &wirev1.QueueSubmitRequest{Job: &wirev1.QueueJob{Id: "j"}}, &wirev1.QueueSubmitReply{})
}

// forwarded returns the calls that a node forwarded with an outcome.
func (m *member) forwarded(outcome string) int {
	var metric dto.Metric
	if err := m.forwarder.outcomes.WithLabelValues(outcome).Write(&metric); err != nil {
		panic(err)
	}
	return int(metric.Counter.GetValue())
}

// answering returns handlers that answer all calls.
func answering() map[wirev1.Method]rpc.StreamHandler {
	return map[wirev1.Method]rpc.StreamHandler{
		wirev1.Method_METHOD_QUEUE_READ: func(_ context.Context, stream *rpc.ServerStream) error {
			return stream.Send(&wirev1.QueueReadReply{Found: true})
		},
		wirev1.Method_METHOD_QUEUE_SUBMIT: func(_ context.Context, stream *rpc.ServerStream) error {
			return stream.Send(&wirev1.QueueSubmitReply{})
		},
	}
}

const (
	// callTimeout is the timeout of calls that may end by their deadline.
	callTimeout = 500 * time.Millisecond
	// longTimeout is the timeout of calls that have to end before it.
	longTimeout = 30 * time.Second
)

// While nothing is broken, calls are sent on the direct path only.
func TestCallsStayOnWorkingPath(t *testing.T) {
	is := is.New(t)
	f := startFleet(t, 3, 2, 0, answering())
	for range 50 {
		is.NoErr(f.edges[0].read(f.disks[0], longTimeout))
		is.NoErr(f.edges[0].submit(f.disks[1], longTimeout))
	}
	is.Equal(f.edges[0].transport.count(f.disks[0].address), 50)
	is.Equal(f.edges[1].forwarded("answered")+f.edges[2].forwarded("answered"), 0)
}
