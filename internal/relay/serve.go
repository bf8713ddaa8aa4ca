package relay

import (
	"context"
	"errors"
	"time"

	wirev1 "cobaltramp.example/cobaltramp/api/wire/v1"
	"cobaltramp.example/cobaltramp/internal/platform"
	"cobaltramp.example/cobaltramp/internal/result"
	"cobaltramp.example/cobaltramp/internal/rpc"
)

// Contact tells whether the platform's store does not answer this node.
type Contact interface{ Lost() bool }

// Server passes a mirror on.
type Server struct {
	Mirror  *Mirror
	Contact Contact
	// Relieved reports whether this node follows others itself; it is no source
	// then, so that no two nodes follow each other. Nil stands for never.
	Relieved func() bool
}

// lifeInterval is how often a node that passes on says that it lives.
const lifeInterval = 300 * time.Millisecond

// Serve answers METHOD_FOLLOW until the asker leaves.
func (s *Server) Serve(ctx context.Context, stream *rpc.ServerStream) error {
	var request wirev1.FollowRequest
	if err := stream.Request(&request); err != nil {
		return err
	}
	if s.Mirror == nil {
		return result.New(result.NotReady, "this node does not follow the store")
	}
	after := request.After
	relieved := s.Relieved
	if relieved == nil {
		relieved = func() bool { return false }
	}
	ticker := time.NewTicker(lifeInterval)
	defer ticker.Stop()
	for {
		if relieved() {
			return result.New(result.NotReady, "this node does not follow the store at present")
		}
		update, changed := s.Mirror.After(after)
		reply := encode(update)
		reply.Lost = s.Contact.Lost()
		if err := stream.Send(reply); err != nil {
			return err
		}
		if update != nil {
			after = update.Revision
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-changed:
		case <-ticker.C:
		}
	}
}

func encode(update *Update) *wirev1.FollowReply {
	reply := &wirev1.FollowReply{}
	if update == nil {
		return reply
	}
	reply.Whole, reply.Revision = update.Whole, update.Revision
	for _, value := range update.Values {
		reply.Items = append(reply.Items, &wirev1.StoredItem{Key: value.Key, Value: value.Value, Revision: value.Revision})
	}
	for _, event := range update.Events {
		reply.Items = append(reply.Items, &wirev1.StoredItem{
			Key: event.Value.Key, Value: event.Value.Value, Revision: event.Value.Revision, Gone: event.Deleted,
		})
	}
	return reply
}

// deliver hands a reply to a sink.
func deliver(reply *wirev1.FollowReply, sink Sink) {
	if reply.Whole {
		values := make([]platform.Value, 0, len(reply.Items))
		for _, item := range reply.Items {
			values = append(values, platform.Value{Key: item.Key, Value: item.Value, Revision: item.Revision})
		}
		sink.Reset(values, reply.Revision)
		return
	}
	if reply.Revision == 0 {
		return // only a sign of life
	}
	events := make([]platform.Event, 0, len(reply.Items))
	for _, item := range reply.Items {
		events = append(events, platform.Event{Value: platform.Value{Key: item.Key, Value: item.Value, Revision: item.Revision}, Deleted: item.Gone})
	}
	sink.Apply(events, reply.Revision)
}

// errLost: the store does not answer the node that passes its changes on.
var errLost = errors.New("the store does not answer the source")
