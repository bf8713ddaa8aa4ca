package relay

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	wirev1 "cobaltramp.example/cobaltramp/api/wire/v1"
	"cobaltramp.example/cobaltramp/internal/app/pause"
	"cobaltramp.example/cobaltramp/internal/app/result"
	"cobaltramp.example/cobaltramp/internal/cluster/ports"
	"cobaltramp.example/cobaltramp/internal/cluster/subset"
	"cobaltramp.example/cobaltramp/internal/transport/rpc"
)

// Source passes a mirror on.
type Source struct {
	Mirror *Mirror
	// Lost reports whether the store does not answer this node.
	Lost func() bool
	// UsesRelay reports whether this node follows others itself; in a fleet that is
	// not large it is no source then, so that no two nodes follow each other. Nil
	// stands for never.
	UsesRelay func() bool
	// Level is how many hops from the store this node takes its changes in a large
	// fleet (see Follower); nil stands for 0.
	Level func() uint32
	// Timing of heartbeats.
	Timing FollowTiming

	followers atomic.Int64
}

// Followers returns how many nodes follow this one at present.
func (s *Source) Followers() int64 { return s.followers.Load() }

// Serve answers METHOD_FOLLOW until the asker leaves.
func (s *Source) Serve(ctx context.Context, stream *rpc.ServerStream) error {
	var request wirev1.FollowRequest
	if err := stream.DecodeRequest(&request); err != nil {
		return err
	}
	if s.Mirror == nil {
		return result.New(result.NotReady, "this node does not follow the store")
	}
	s.followers.Add(1)
	defer s.followers.Add(-1)
	after, view := request.After, viewOf(&request)
	ticker := time.NewTicker(s.Timing.orDefault().Heartbeat)
	defer ticker.Stop()
	for {
		if err := s.refusal(&request); err != nil {
			return err
		}
		update, changed := s.Mirror.After(after, view)
		reply := encode(update)
		reply.Lost = s.Lost()
		if err := stream.Send(reply); err != nil {
			return err
		}
		if update != nil {
			after = update.Revision
		}
		if !s.wait(ctx, changed, ticker.C, request.Level) {
			return ctx.Err()
		}
	}
}

// refusal says why this node is no source for a follower.
func (s *Source) refusal(request *wirev1.FollowRequest) error {
	if request.Level == 0 {
		if s.UsesRelay != nil && s.UsesRelay() {
			return result.New(result.NotReady, "this node does not follow the store at present")
		}
		return nil
	}
	if s.Level != nil && s.Level() >= request.Level {
		return result.New(result.NotReady, "this node takes the store's changes at level %d, the asker at %d", s.Level(), request.Level)
	}
	// Who holds a selection may pass it on to a node that knows nothing while the store
	// does not answer; to any other it would be a loss.
	if s.Mirror.Partial() && !(s.Lost() && request.After < 0) {
		return result.New(result.NotReady, "this node does not hold all that the store holds")
	}
	return nil
}

// wait returns when something has changed or a heartbeat is due. It reports
// false when the asker has left.
func (s *Source) wait(ctx context.Context, changed <-chan struct{}, heartbeat <-chan time.Time, level uint32) bool {
	select {
	case <-ctx.Done():
		return false
	case <-heartbeat:
		return true
	case <-changed:
	}
	if level == 0 {
		return true
	}
	// What changes next goes with it: changes that come from the store are coalesced, but
	// those that this node takes from several sources are not.
	pause.For(ctx, followerCoalescing)
	return ctx.Err() == nil
}

// followerCoalescing is how long changes are coalesced for a follower in a large fleet.
const followerCoalescing = 20 * time.Millisecond

func viewOf(request *wirev1.FollowRequest) *FollowerView {
	if request.Interest == nil {
		return nil
	}
	return &FollowerView{Interest: subset.Interest{
		Node: request.Interest.Node, Zone: request.Interest.Zone, Near: int(request.Interest.Near), Far: int(request.Interest.Far),
	}}
}

func encode(update *Update) *wirev1.FollowReply {
	reply := &wirev1.FollowReply{}
	if update == nil {
		return reply
	}
	reply.Whole, reply.Revision = update.Whole, update.Revision
	reply.Items = encodeValues(update.Values)
	if update.Selection != nil {
		reply.Selection, reply.Selected = true, encodeValues(update.Selection.Values)
		reply.Totals = encodeTotals(update.Selection.Totals)
		reply.Added = update.Selection.Kept != nil
	}
	for _, event := range update.Events {
		reply.Items = append(reply.Items, &wirev1.StoredItem{
			Key: event.Value.Key, Value: event.Value.Value, Revision: event.Value.Revision, Gone: event.Deleted,
		})
	}
	return reply
}

func encodeValues(values []ports.Value) []*wirev1.StoredItem {
	items := make([]*wirev1.StoredItem, 0, len(values))
	for _, value := range values {
		items = append(items, &wirev1.StoredItem{Key: value.Key, Value: value.Value, Revision: value.Revision})
	}
	return items
}

func decodeValues(items []*wirev1.StoredItem) []ports.Value {
	values := make([]ports.Value, 0, len(items))
	for _, item := range items {
		values = append(values, ports.Value{Key: item.Key, Value: item.Value, Revision: item.Revision})
	}
	return values
}

func encodeTotals(totals subset.Totals) []*wirev1.RunnerTotal {
	var list []*wirev1.RunnerTotal
	for place, count := range totals {
		list = append(list, &wirev1.RunnerTotal{Service: place.Service, Zone: place.Zone, Count: uint32(count)})
	}
	return list
}

func totalsOf(reply *wirev1.FollowReply) subset.Totals {
	totals := subset.Totals{}
	for _, total := range reply.Totals {
		totals[subset.ServiceZone{Service: total.Service, Zone: total.Zone}] = int(total.Count)
	}
	return totals
}

func decodeEvents(items []*wirev1.StoredItem) []ports.WatchEvent {
	events := make([]ports.WatchEvent, 0, len(items))
	for _, item := range items {
		value := ports.Value{Key: item.Key, Value: item.Value, Revision: item.Revision}
		events = append(events, ports.WatchEvent{Value: value, Deleted: item.Gone})
	}
	return events
}

// deliver hands a reply to a merge. Interest is in the runners that were asked for; its
// zero value stands for all.
func deliver(reply *wirev1.FollowReply, merger *Merger, interest subset.Interest) {
	selective := interest != (subset.Interest{})
	selection := Selection{Values: decodeValues(reply.Selected), Totals: totalsOf(reply)}
	if reply.Added {
		selection.Kept = subset.Compute(interest, selection.Totals)
	}
	switch {
	case reply.Whole && selective:
		merger.ResetToSelection(decodeValues(reply.Items), selection, reply.Revision)
	case reply.Whole:
		merger.Reset(decodeValues(reply.Items), reply.Revision)
	case reply.Selection:
		merger.Select(selection, decodeEvents(reply.Items), reply.Revision)
	case reply.Revision == 0: // only a heartbeat
	case selective:
		merger.ApplySelected(decodeEvents(reply.Items), reply.Revision)
	default:
		merger.Apply(decodeEvents(reply.Items), reply.Revision)
	}
}

// errLost: the store does not answer the node that passes its changes on.
var errLost = errors.New("the store does not answer the source")
