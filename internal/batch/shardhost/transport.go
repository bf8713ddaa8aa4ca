package shardhost

import (
	"context"

	"google.golang.org/protobuf/proto"
	"k8s.io/klog/v2"

	wirev1 "cobaltramp.example/cobaltramp/api/wire/v1"
	"cobaltramp.example/cobaltramp/internal/batch/replica"
	"cobaltramp.example/cobaltramp/internal/transport/rpc"
)

// Handle registers the calls between replicas.
func (h *Host[Command, Result]) Handle(server *rpc.Server) {
	server.HandleNotice(wirev1.Method_METHOD_REPLICA, h.receive)
	server.Handle(wirev1.Method_METHOD_SNAPSHOT, h.ServeSnapshot)
}

// receive passes messages to their shards. A learner's first message makes its
// replica.
func (h *Host[Command, Result]) receive(_ string, payload []byte) {
	var batch wirev1.ReplicaBatch
	if proto.Unmarshal(payload, &batch) != nil {
		return // as if lost: the sender tries again
	}
	for _, message := range batch.Messages {
		if message.To != h.options.DB.DiskID() {
			continue // meant for a disk that stood here before
		}
		s := h.Shard(message.Shard)
		if s == nil && message.Learner {
			s = h.startLearner(message)
		}
		if s == nil {
			continue
		}
		select {
		case s.messages <- message:
		default: // the sender tries again
		}
	}
}

func (h *Host[Command, Result]) startLearner(message *wirev1.ReplicaMessage) *Shard[Command, Result] {
	config := replica.MemberSet{Generation: message.Generation}
	if err := h.Start(message.Shard, &config); err != nil {
		keys := append([]any{}, h.options.LogKeys...)
		klog.ErrorS(err, "learner cannot be started", append(keys, "shard", message.Shard)...)
		return nil
	}
	return h.Shard(message.Shard)
}

// runWhileRunning is RunInLoop for the host's own tasks: a shard that has stopped needs no
// answer any more.
func (s *Shard[Command, Result]) runWhileRunning(call func()) {
	_ = s.RunInLoop(context.Background(), call) // fails only when the shard has stopped
}
