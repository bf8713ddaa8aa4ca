package queueclient

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus"
	"google.golang.org/protobuf/proto"

	wirev1 "cobaltramp.example/cobaltramp/api/wire/v1"
	"cobaltramp.example/cobaltramp/internal/app/result"
	"cobaltramp.example/cobaltramp/internal/cluster/forwarding"
	"cobaltramp.example/cobaltramp/internal/cluster/peers"
	"cobaltramp.example/cobaltramp/internal/transport/rpc"
)

// partitionedTransport is a forwarding.Transport that loses calls to the storage nodes.
type partitionedTransport struct {
	*rpc.Pool
	lost map[string]bool
}

func (p *partitionedTransport) CallEncoded(ctx context.Context, address string, class rpc.Class, method wirev1.Method, request []byte) ([]byte, bool, error) {
	if p.lost[address] {
		<-ctx.Done()
		return nil, true, ctx.Err()
	}
	return p.Pool.CallEncoded(ctx, address, class, method, request)
}

func (p *partitionedTransport) Call(context.Context, string, rpc.Class, wirev1.Method, proto.Message, proto.Message) error {
	return result.New(result.PeerUnreachable, "all calls to storage nodes are forwarded")
}

// startForwarder starts an edge that reaches all nodes of the client's directory.
func startForwarder(t *testing.T, client *ShardClient) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	record := &wirev1.NodeRecord{NodeId: "forwarder", Address: listener.Addr().String(), Incarnation: 1}
	directory := peers.NewDirectory(record)
	for _, known := range client.Directory.Records() {
		directory.Put(known)
	}
	client.Directory.Put(record)
	pool := rpc.NewPool("forwarder", "c", nil, &rpc.Counters{})
	caller := forwarding.NewCaller(directory, pool, prometheus.NewRegistry())
	server := rpc.NewServer("forwarder", "c", &rpc.Counters{})
	forwarding.NewForwarder(caller, func(string, []byte) {}, prometheus.NewRegistry()).Handle(server)
	go func() { _ = server.Serve(listener, nil) }()
	t.Cleanup(func() {
		_ = listener.Close()
		caller.Close()
		pool.Close()
		server.Close()
	})
}

// partition makes the client lose all direct calls to its storage nodes.
func partition(t *testing.T, client *ShardClient, addresses ...string) *forwarding.Caller {
	transport := &partitionedTransport{Pool: client.Sender.(*rpc.Pool), lost: map[string]bool{}}
	for _, address := range addresses {
		transport.lost[address] = true
	}
	caller := forwarding.NewCaller(client.Directory, transport, prometheus.NewRegistry())
	t.Cleanup(caller.Close)
	client.Sender = caller
	return caller
}

// A leader that is reached only through a peer stays the first candidate, and jobs are sent to
// it once.
func TestLeaderIsCalledThroughPeer(t *testing.T) {
	is := is.New(t)
	follower, leader := &shardNode{}, &shardNode{}
	leader.leads.Store(true)
	leader.confirms.Store(true)
	addresses := []string{follower.serve(t), leader.serve(t)}
	client := clientOf(t, addresses...)
	startForwarder(t, client)
	caller := partition(t, client, addresses...)
	_, err := submitTo(client, 20*time.Second)
	is.NoErr(err)
	is.Equal(leader.submissions.Load(), int64(1))
	is.Equal(follower.submissions.Load(), int64(0))
	is.True(caller.Broken(addresses[1], time.Now()))
	is.Equal(client.candidates("j")[0], addresses[1])
	is.Equal(len(client.unresponsive), 0)
}

// Without a usable peer, the error of a job says that it may have been accepted only if it was
// sent to a storage node.
func TestJobWithoutUsablePeerIsNotAccepted(t *testing.T) {
	is := is.New(t)
	leader := &shardNode{}
	leader.leads.Store(true)
	leader.confirms.Store(true)
	address := leader.serve(t)
	client := clientOf(t, address)
	partition(t, client, address)
	_, err := submitTo(client, 300*time.Millisecond)
	is.Equal(result.CodeOf(err).Entry().Ran, result.RanNo)
	is.Equal(leader.submissions.Load(), int64(0))
}
