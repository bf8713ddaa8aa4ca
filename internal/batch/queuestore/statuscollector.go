package queuestore

import (
	"cmp"
	"context"
	"fmt"
	"slices"
	"sync"

	"google.golang.org/protobuf/proto"

	wirev1 "cobaltramp.example/cobaltramp/api/wire/v1"
	"cobaltramp.example/cobaltramp/internal/app/tasks"
	"cobaltramp.example/cobaltramp/internal/app/textlog"
	"cobaltramp.example/cobaltramp/internal/batch/shardstatus"
	"cobaltramp.example/cobaltramp/internal/cluster/peers"
	"cobaltramp.example/cobaltramp/internal/transport/rpc"
)

// StatusCollector collects the status of a shard from its members. Edges and storage nodes
// use it.
type StatusCollector struct {
	Directory *peers.Directory
	Layouts   *Layouts
	Sender    StatusSender
	Contact   StoreContact
	// Local returns the status of this node's replica; nil on a node without a disk.
	Local func(ctx context.Context, shard uint32) *wirev1.ReplicaStatus
}

// StatusSender calls other nodes.
type StatusSender interface {
	Call(ctx context.Context, address string, class rpc.Class, method wirev1.Method, request, reply proto.Message) error
}

// Serve handles a request for the status of a shard.
func (c *StatusCollector) Serve(ctx context.Context, stream *rpc.ServerStream) error {
	var request wirev1.QueueStatusRequest
	if err := stream.DecodeRequest(&request); err != nil {
		return err
	}
	return stream.Send(c.Collect(ctx, &request))
}

// Collect returns the status of the replicas of a shard. Unless the request asks for this
// node only, it calls the members of the newest known member set, and the members that the
// replicas themselves name, so that the members of two generations are found.
func (c *StatusCollector) Collect(ctx context.Context, request *wirev1.QueueStatusRequest) *wirev1.QueueStatusReply {
	reply := &wirev1.QueueStatusReply{Node: c.Directory.Self().NodeId, Stored: storedMemberSet(c.Layouts, request.Shard, c.Contact.Lost())}
	asked := map[string]bool{}
	if c.Local != nil {
		local := c.Local(ctx, request.Shard)
		asked[local.Disk] = true
		if local.State != wirev1.ServingState_SERVING_STATE_NOT_STARTED || request.Local || slices.Contains(reply.Stored.GetMembers(), local.Disk) {
			reply.Replicas = append(reply.Replicas, local)
		}
	}
	if request.Local {
		return reply
	}
	for range 2 { // the second time for members that only replicas know
		c.ask(ctx, request.Shard, reply, asked)
	}
	slices.SortFunc(reply.Replicas, func(a, b *wirev1.ReplicaStatus) int { return cmp.Compare(a.Node, b.Node) })
	return reply
}

// ask calls all members that the reply names and that have not been asked.
func (c *StatusCollector) ask(ctx context.Context, shard uint32, reply *wirev1.QueueStatusReply, asked map[string]bool) {
	var mutex sync.Mutex
	var calls tasks.Group
	for _, disk := range namedDisks(reply) {
		if asked[disk] {
			continue
		}
		asked[disk] = true
		record, known := c.Directory.Disk(disk)
		if !known {
			reply.Failures = append(reply.Failures, &wirev1.MemberFailure{Disk: disk, Error: c.unknownDiskText(disk)})
			continue
		}
		calls.Go(func() {
			status, err := c.call(ctx, record.Address, shard)
			mutex.Lock()
			defer mutex.Unlock()
			if err != nil {
				reply.Failures = append(reply.Failures, &wirev1.MemberFailure{Disk: disk, Node: record.NodeId, Address: record.Address, Error: textlog.OneLine(err)})
				return
			}
			reply.Replicas = append(reply.Replicas, status.Replicas...)
		})
	}
	calls.Wait()
}

// unknownDiskText says what is known of a disk without a node.
func (c *StatusCollector) unknownDiskText(disk string) string {
	if c.Directory.DiskLost(disk) {
		return "disk lost: its node has another disk now"
	}
	return "no node with this disk is known"
}

func (c *StatusCollector) call(ctx context.Context, address string, shard uint32) (*wirev1.QueueStatusReply, error) {
	ctx, cancel := context.WithTimeout(ctx, 2*statusTimeout)
	defer cancel()
	reply := &wirev1.QueueStatusReply{}
	err := c.Sender.Call(ctx, address, rpc.ClassControl, wirev1.Method_METHOD_QUEUE_STATUS, &wirev1.QueueStatusRequest{Shard: shard, Local: true}, reply)
	return reply, err
}

// namedDisks returns the members of the stored member set and of those that replicas hold,
// and the senders of messages of other generations.
func namedDisks(reply *wirev1.QueueStatusReply) []string {
	disks := slices.Clone(reply.Stored.GetMembers())
	for _, status := range reply.Replicas {
		for _, member := range status.Members {
			disks = append(disks, member.Disk)
		}
		disks = append(disks, status.Stored.GetMembers()...)
		if status.Foreign != nil {
			disks = append(disks, status.Foreign.Disk)
		}
	}
	slices.Sort(disks)
	return slices.Compact(disks)
}

// memberName returns the node of a member, or its disk if the node is not known.
func memberName(node, disk string) string { return cmp.Or(node, disk) }

func diskStateText(member *wirev1.MemberStatus) string {
	return shardstatus.DiskStateName(member.DiskState)
}

func writeText(write *wirev1.MemberSetWrite) string {
	return fmt.Sprintf("generation=%d attempt=%d committed=%t ago=%s err=%s", write.Generation, write.Attempt, write.Committed, shardstatus.Age(write.AgoMs), write.Error)
}
