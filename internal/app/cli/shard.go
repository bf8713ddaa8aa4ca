package cli

import (
	"context"
	"encoding/json"
	"os"

	"github.com/gravitational/trace"
	"google.golang.org/protobuf/encoding/protojson"

	wirev1 "cobaltramp.example/cobaltramp/api/wire/v1"
	"cobaltramp.example/cobaltramp/internal/batch/shardstatus"
	"cobaltramp.example/cobaltramp/internal/transport/rpc"
)

// shardCommand shows the status of a queue shard. The asked node, an edge or a storage node,
// collects it from the shard's members.
type shardCommand struct {
	Node    string `short:"n" long:"node" env:"COBALTRAMP_PEER" required:"true" description:"address (IP:port) at which other nodes reach any edge or storage node"`
	Cluster string `long:"cluster" default:"cobaltramp" description:"name of the cluster, as in the node's settings"`
	Shard   uint32 `long:"shard" default:"0" description:"number of the queue shard"`
	Local   bool   `long:"local" description:"show the replica of the asked node only"`
}

// Execute implements flags.Commander.
func (s *shardCommand) Execute([]string) error {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	pool := rpc.NewPool(clientNodeID, s.Cluster, nil, &rpc.Counters{})
	defer pool.Close()
	request := &wirev1.QueueStatusRequest{Shard: s.Shard, Local: s.Local}
	reply := &wirev1.QueueStatusReply{}
	if err := pool.Call(ctx, s.Node, rpc.ClassControl, wirev1.Method_METHOD_QUEUE_STATUS, request, reply); err != nil {
		return trace.ConnectionProblem(err, "node %s did not answer; give the address for other nodes of a running edge or storage node by --node, and its cluster by --cluster", s.Node)
	}
	encoded, err := protojson.MarshalOptions{UseProtoNames: true, EmitDefaultValues: true}.Marshal(reply)
	if err != nil {
		return trace.Wrap(err, "encoding the status")
	}
	return output.print(json.RawMessage(encoded), func() { shardstatus.Print(os.Stdout, s.Shard, reply) })
}
