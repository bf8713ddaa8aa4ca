package shardhost

import (
	"context"

	"google.golang.org/protobuf/proto"
	"k8s.io/klog/v2"

	wirev1 "cobaltramp.example/cobaltramp/api/wire/v1"
	"cobaltramp.example/cobaltramp/internal/batch/replica"
	"cobaltramp.example/cobaltramp/internal/transport/rpc"
)

// Handle registers the handlers for calls between replicas.
func (h *Host[Command, Result]) Handle(server *rpc.Server) {
	server.HandleNotice(wirev1.Method_METHOD_REPLICA, h.receiveNotice)
	server.Handle(wirev1.Method_METHOD_SNAPSHOT, h.serveSnapshot)
}

// receiveNotice handles a notice with messages of another node's replicas.
func (h *Host[Command, Result]) receiveNotice(_ string, payload []byte) {
	var batch wirev1.ReplicaBatch
	if proto.Unmarshal(payload, &batch) != nil {
		return // treated as lost: the sender retries
	}
	h.Receive(&batch)
}

// Receive passes messages to their shards. It creates the replica of a learner on the first
// message to the learner. It drops a message to another disk, to a shard that does not run
// here, or to a shard whose queue is full.
func (h *Host[Command, Result]) Receive(batch *wirev1.ReplicaBatch) {
	for _, message := range batch.Messages {
		if message.To != h.options.DB.DiskID() {
			continue // addressed to a former disk of this node
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
		default: // the queue is full: the sender retries
		}
	}
}

func (h *Host[Command, Result]) startLearner(message *wirev1.ReplicaMessage) *Shard[Command, Result] {
	memberSet := replica.MemberSet{Generation: message.Generation}
	if err := h.Start(message.Shard, &memberSet); err != nil {
		keys := append([]any{}, h.options.LogKeys...)
		klog.ErrorS(err, "learner could not be started", append(keys, "shard", message.Shard)...)
		return nil
	}
	return h.Shard(message.Shard)
}

// runInLoopUnlessStopped runs a function on the shard's goroutine without a time limit. It
// has no effect if the shard has stopped. It is for the host's background tasks.
func (s *Shard[Command, Result]) runInLoopUnlessStopped(call func()) {
	_ = s.RunInLoop(context.Background(), call) // fails only if the shard has stopped
}
