package queuestore

import (
	wirev1 "cobaltramp.example/cobaltramp/api/wire/v1"
	"cobaltramp.example/cobaltramp/internal/batch/shardhost"
	"cobaltramp.example/cobaltramp/internal/transport/rpc"
)

// sendReplica sends a message to another replica. It drops the message if the disk of the
// other replica is unknown, and messages may also be lost on the way. All messages use the
// same connection class, so that a heartbeat does not overtake earlier entries.
// Acknowledgments of entries also report the free space of this node's disk, plus one, since
// 0 stands for unknown in the message.
func (n *StorageNode) sendReplica(message *wirev1.ReplicaMessage) {
	record, known := n.Directory.Disk(message.To)
	if !known {
		return
	}
	if message.Kind == wirev1.ReplicaKind_REPLICA_KIND_ACCEPTED {
		message.Room = n.freeBytes() + 1
	}
	batch := &wirev1.ReplicaBatch{Messages: []*wirev1.ReplicaMessage{message}}
	n.Pool.Notify(record.Address, rpc.ClassBulk, wirev1.Method_METHOD_REPLICA, batch)
}

// peer returns the node that has the given disk, and false if the disk is unknown.
func (n *StorageNode) peer(disk string) (shardhost.Peer, bool) {
	record, known := n.Directory.Disk(disk)
	if !known {
		return shardhost.Peer{}, false
	}
	return shardhost.Peer{Node: record.NodeId, Address: record.Address}, true
}
