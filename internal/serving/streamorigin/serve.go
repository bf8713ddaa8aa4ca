package streamorigin

import (
	"context"
	"math"
	"slices"
	"time"

	"k8s.io/klog/v2"

	wirev1 "cobaltramp.example/cobaltramp/api/wire/v1"
	"cobaltramp.example/cobaltramp/internal/app/result"
	"cobaltramp.example/cobaltramp/internal/transport/rpc"
)

// ServeRecord holds the record of another node's stream, and confirms it. It fails with StoreFull
// if there is no room, and with NotReady if this node, which then holds the record as well, would not be
// asked for it: the other node does not know all nodes with disks yet.
func (t *Tracker) ServeRecord(_ context.Context, stream *rpc.ServerStream) error {
	var message wirev1.StreamOriginRecord
	if err := stream.DecodeRequest(&message); err != nil {
		return err
	}
	if err := t.hold(&message); err != nil {
		return err
	}
	return stream.Send(&wirev1.StreamOriginRecordReply{})
}

// hold holds the record of another node's stream. The result is the error of ServeRecord.
func (t *Tracker) hold(message *wirev1.StreamOriginRecord) error {
	lifetime := time.Duration(message.LifetimeMs) * time.Millisecond
	if err := t.table.Put(Key(message.Key), *decodeRecord(message), lifetime, time.Now()); err != nil {
		t.refused.Inc()
		klog.InfoS("record of a stream's origin refused", "held", t.table.Len(), "err", err)
		return result.New(result.StoreFull, "%v", err)
	}
	if !t.isHolder(Key(message.Key)) {
		return result.New(result.NotReady, "other nodes are asked for the record")
	}
	return nil
}

// isHolder reports whether this node is one of the nodes that may hold the record of a stream.
func (t *Tracker) isHolder(key Key) bool {
	self := t.directory.Self().NodeId
	return slices.ContainsFunc(holdersOf(t.directory.Disks(), key), func(holder *wirev1.NodeRecord) bool { return holder.NodeId == self })
}

// holderCatchUpTimeout is how long a holder waits until its list is known to be current. It leaves the
// rest of callTimeout to the call itself.
const holderCatchUpTimeout = callTimeout * 3 / 5

// ServeFind answers with what this node knows about a stream.
func (t *Tracker) ServeFind(ctx context.Context, stream *rpc.ServerStream) error {
	var query wirev1.StreamOriginQuery
	if err := stream.DecodeRequest(&query); err != nil {
		return err
	}
	return stream.Send(t.find(ctx, &query))
}

// find returns the answer to a query, after this node's list has been brought up to date.
func (t *Tracker) find(ctx context.Context, query *wirev1.StreamOriginQuery) *wirev1.StreamOriginReply {
	received := time.Now()
	window := min(time.Duration(query.WindowMs)*time.Millisecond, MaxWindow)
	t.catchUp(ctx, holderCatchUpTimeout)
	known := t.answer(Key(query.Key), query.Service, window, received)
	reply := &wirev1.StreamOriginReply{
		Complete: known.complete,
		Versions: encodeVersions(&known),
	}
	for _, holder := range holdersOf(t.directory.Disks(), Key(query.Key)) {
		reply.Holders = append(reply.Holders, &wirev1.NodeRecord{NodeId: holder.NodeId, Address: holder.Address})
	}
	if known.record != nil {
		reply.Record = encodeRecord(Key(query.Key), known.record, 0)
	}
	return reply
}

func encodeVersions(known *answer) *wirev1.SoftwareVersions {
	versions := &known.versions
	return &wirev1.SoftwareVersions{
		Known: versions.Known, Seen: versions.Seen, InContact: versions.InContact, Established: versions.Established,
		AgeMs: uint32(min(versions.Age.Milliseconds(), math.MaxUint32)), Current: known.current,
		ChangedRunners: versions.ChangedRunners,
	}
}
