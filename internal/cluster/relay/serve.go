package relay

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	wirev1 "cobaltramp.example/cobaltramp/api/wire/v1"
	"cobaltramp.example/cobaltramp/internal/app/boottime"
	"cobaltramp.example/cobaltramp/internal/app/pause"
	"cobaltramp.example/cobaltramp/internal/app/result"
	"cobaltramp.example/cobaltramp/internal/cluster/ports"
	"cobaltramp.example/cobaltramp/internal/cluster/subset"
	"cobaltramp.example/cobaltramp/internal/transport/rpc"
)

// Source sends the contents and changes of a mirror to followers.
type Source struct {
	// Mirror is nil on a node without a disk, which refuses all followers.
	Mirror *Mirror
	// Lost reports whether this node has lost contact with the store (see Follower.Lost).
	Lost func() bool
	// Age returns the time since this node last knew that it held all that the store held. Nil
	// means that it always knows.
	Age func() time.Duration
	// UsesRelay reports whether this node relies on other nodes instead of watching the
	// store. It then refuses requests of level 0, which come from nodes of a fleet that is
	// not large and from nodes at level 0 of a large one. Nil means that it never relies
	// on others.
	UsesRelay func() bool
	// Level returns this node's level in the tree of a large fleet (see Follower). Nil
	// means level 0.
	Level func() uint32
	// Timing holds the heartbeat interval; the zero value stands for TimingWithin(0).
	Timing FollowTiming

	followers atomic.Int64
}

// Followers returns the current number of followers.
func (s *Source) Followers() int64 { return s.followers.Load() }

// Serve handles METHOD_FOLLOW: it sends updates and heartbeats until the follower
// disconnects or this node has to refuse it (see refusalError).
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
	after, view := request.After, viewFromRequest(&request)
	ticker := time.NewTicker(s.Timing.orDefault().Heartbeat)
	defer ticker.Stop()
	for {
		if err := s.refusalError(&request); err != nil {
			return err
		}
		update, changed := s.Mirror.After(after, view)
		reply := encodeUpdate(update)
		reply.ClockMs = clockMilliseconds() // before the age, which then seems older if this node stands still here
		reply.Lost, reply.AgeMs = s.Lost(), s.ageMilliseconds()
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

// clockMilliseconds returns this node's clock for FollowReply.
func clockMilliseconds() uint64 { return uint64(boottime.Now().UnixMilli()) }

// ageMilliseconds returns Age, rounded up to milliseconds.
func (s *Source) ageMilliseconds() uint64 {
	if s.Age == nil {
		return 0
	}
	return uint64((s.Age() + time.Millisecond - 1) / time.Millisecond)
}

// refusalError returns the error with which this node refuses a follower, or nil if it
// accepts the follower.
func (s *Source) refusalError(request *wirev1.FollowRequest) error {
	if request.Level == 0 {
		if s.UsesRelay != nil && s.UsesRelay() {
			return result.New(result.NotReady, "this node does not follow the store at present")
		}
		return nil
	}
	if s.Level != nil && s.Level() >= request.Level {
		return result.New(result.NotReady, "this node takes the store's changes at level %d, the asker at %d", s.Level(), request.Level)
	}
	// A node that holds a selection and has no contact with the store sends the selection
	// to an empty node. Any other follower would lose runners by it.
	if s.Mirror.Partial() && !(s.Lost() && request.After < 0) {
		return result.New(result.NotReady, "this node does not hold all that the store holds")
	}
	return nil
}

// wait returns when the mirror has changed or a heartbeat is due. For a follower above
// level 0, it returns followerCoalescing after the change. It returns false if the
// follower has disconnected.
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
	// The follower receives the changes of this pause in the same update. Changes read
	// from the store are coalesced already, but changes that this node receives from
	// several sources are not.
	pause.For(ctx, followerCoalescing)
	return ctx.Err() == nil
}

// followerCoalescing is how long a source coalesces changes for a follower in a large
// fleet.
const followerCoalescing = 20 * time.Millisecond

// viewFromRequest returns the view of a follower; nil if the follower requests all
// runners.
func viewFromRequest(request *wirev1.FollowRequest) *FollowerView {
	if request.Interest == nil {
		return nil
	}
	return &FollowerView{Interest: subset.Interest{
		Node: request.Interest.Node, Zone: request.Interest.Zone, Near: int(request.Interest.Near), Far: int(request.Interest.Far),
	}}
}

// encodeUpdate returns the reply that contains an update; for nil it returns a heartbeat.
func encodeUpdate(update *Update) *wirev1.FollowReply {
	reply := &wirev1.FollowReply{}
	if update == nil {
		return reply
	}
	reply.Whole, reply.Revision = update.Whole, update.Revision
	reply.Items = encodeValues(update.Values)
	if update.Selection != nil {
		reply.Selection, reply.Selected = true, encodeValues(update.Selection.Values)
		reply.Totals = encodeTotals(update.Selection.Totals)
		reply.Added = update.Selection.Retained != nil
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
	for serviceZone, count := range totals {
		list = append(list, &wirev1.RunnerTotal{Service: serviceZone.Service, Zone: serviceZone.Zone, Count: uint32(count)})
	}
	return list
}

func totalsFromReply(reply *wirev1.FollowReply) subset.Totals {
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

// applyReply passes a source's reply to a merger. The interest is the one that was sent
// in the request; the zero value stands for all runners.
func applyReply(reply *wirev1.FollowReply, merger *Merger, interest subset.Interest) {
	selective := interest != (subset.Interest{})
	selection := Selection{Values: decodeValues(reply.Selected), Totals: totalsFromReply(reply)}
	if reply.Added {
		selection.Retained = subset.Compute(interest, selection.Totals)
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

// errStoreLost ends a stream whose source has lost contact with the store.
var errStoreLost = errors.New("the store does not answer the source")
