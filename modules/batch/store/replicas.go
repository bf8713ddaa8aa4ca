package store

import (
	"time"

	wirev1 "cobaltramp.example/cobaltramp/api/wire/v1"
	"cobaltramp.example/cobaltramp/internal/batch/shardhost"
	"cobaltramp.example/cobaltramp/internal/cluster/fleet"
	"cobaltramp.example/cobaltramp/internal/transport/rpc"
)

// sendReplica sends a message to another replica: messages with log entries on the bulk
// link, all others on the control link. A message may be lost; it is dropped if no live node
// has the disk.
func (m *Module) sendReplica(message *wirev1.ReplicaMessage) {
	record, found := memberWithDisk(m.views.View(), message.To)
	if !found {
		return
	}
	class := rpc.ClassControl
	if len(message.Entries) > 0 {
		class = rpc.ClassBulk
	}
	batch := &wirev1.ReplicaBatch{Messages: []*wirev1.ReplicaMessage{message}}
	m.pool.Notify(record.Address, class, wirev1.Method_METHOD_REPLICA, batch)
}

// peer returns the name and address of the node that has a disk.
func (m *Module) peer(disk string) (shardhost.Peer, bool) {
	record, found := memberWithDisk(m.views.View(), disk)
	if !found {
		return shardhost.Peer{}, false
	}
	return shardhost.Peer{Node: record.Id, Address: record.Address}, true
}

// reportLostLeader notifies the replica if its leader's node is dead, missing or leaving.
// The replica then starts an election without waiting for the election timeout.
func (s *shardReplica) reportLostLeader(now time.Time) {
	leader := s.Replica.Leader()
	if leader == "" || leader == s.Disk {
		return
	}
	record, found := memberWithDisk(s.module.views.View(), leader)
	if !found || record.State == wirev1.MemberState_MEMBER_STATE_LEAVING {
		s.Replica.LeaderLost(now)
	}
}

// aliveDiskFilter returns a function that reports whether the node with a disk is alive and
// not leaving.
func aliveDiskFilter(view *fleet.View) func(disk string) bool {
	return func(disk string) bool {
		record, found := memberWithDisk(view, disk)
		return found && record.State == wirev1.MemberState_MEMBER_STATE_ALIVE
	}
}
