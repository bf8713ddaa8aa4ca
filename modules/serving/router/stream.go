package router

import (
	"context"
	"errors"
	"io"
	"time"

	wirev1 "cobaltramp.example/cobaltramp/api/wire/v1"
	"cobaltramp.example/cobaltramp/internal/app/result"
	"cobaltramp.example/cobaltramp/internal/transport/rpc"
)

// reattach re-attaches to the current stream through one node after the other
// (successors), and handles the events up to the end of the response. It tries the next
// node only if a node is unreachable, and returns the error of the last attempt.
func (g *generation) reattach(ctx context.Context) error {
	listed, known := g.module.runnerTables.Table().ByID[g.runner]
	if !known {
		return result.New(result.NoRunner, "runner %s is not listed", g.runner)
	}
	request := &wirev1.ReattachRequest{
		RequestId: g.streamID, Runner: g.runner, Model: g.request.Model.Name,
		Surface: g.request.Surface, LastEvent: int32(g.nextEvent) - 1,
	}
	err := error(result.New(result.NoRunner, "no node can reach runner %s", g.runner))
	for _, next := range g.successors(listed.Zone) {
		request.LastEvent = int32(g.nextEvent) - 1
		err = g.receive(ctx, next, wirev1.Method_METHOD_REATTACH, request)
		if err == nil || ctx.Err() != nil || !isUnreachable(err) {
			return err
		}
	}
	return err
}

// maxSuccessors is the maximum number of nodes of the runner's zone that are tried for
// re-attaching, in addition to this node.
const maxSuccessors = 3

// successors lists the nodes through which to re-attach: the first nodes of the runner's
// zone in the order in which they would own the runner, without the current owner, and
// then this node.
func (g *generation) successors(zone string) []string {
	view := g.module.views.View()
	var nodes []string
	for _, ranked := range view.Rendezvous.Ranked(g.runner, zone) {
		if ranked.ID != g.ownerID && len(nodes) < maxSuccessors {
			nodes = append(nodes, ranked.ID)
		}
	}
	return append(nodes, view.Self.Id)
}

// receive sends a request to a node, which may be this node, and handles the events of the
// response. It returns nil at the end of a complete response.
func (g *generation) receive(ctx context.Context, ownerID string, method wirev1.Method, request any) error {
	if ownerID == g.module.settings.Node.ID {
		return g.receiveLocal(ctx, request)
	}
	address, known := g.module.views.View().Address(ownerID)
	if !known {
		return result.New(result.PeerUnreachable, "node %s is not in the fleet", ownerID)
	}
	stream, err := g.open(ctx, address, method, request)
	if err != nil {
		return err
	}
	defer stream.Close()
	for {
		var event wirev1.DispatchEvent
		if err := stream.Receive(ctx, &event); err != nil {
			if errors.Is(err, io.EOF) {
				return nil
			}
			return err
		}
		if err := g.handleEvent(&event); err != nil {
			return err
		}
	}
}

// open opens a stream to another node.
func (g *generation) open(ctx context.Context, address string, method wirev1.Method, request any) (*rpc.ClientStream, error) {
	switch typed := request.(type) {
	case *wirev1.DispatchRequest:
		return g.module.pool.Open(ctx, address, rpc.ClassOnline, method, typed)
	case *wirev1.ReattachRequest:
		return g.module.pool.Open(ctx, address, rpc.ClassOnline, method, typed)
	default:
		return nil, result.New(result.Internal, "request of type %T", request)
	}
}

// receiveLocal runs a request on this node and handles the events of the response.
func (g *generation) receiveLocal(ctx context.Context, request any) error {
	switch typed := request.(type) {
	case *wirev1.DispatchRequest:
		return g.module.local.Dispatch(ctx, typed, g.handleEvent)
	case *wirev1.ReattachRequest:
		return g.module.local.Reattach(ctx, typed, g.handleEvent)
	default:
		return result.New(result.Internal, "request of type %T", request)
	}
}

// handleEvent handles an event of the current stream. An event with the next index is
// emitted if it contains text or a finish reason. An Assigned event, which has no index,
// only names the runner. A repeated event is ignored. A gap, or an event of another
// stream, such as a late event of an earlier attempt, is an error.
func (g *generation) handleEvent(event *wirev1.DispatchEvent) error {
	if event.RequestId != g.streamID {
		return result.New(result.RunnerLost, "event of stream %s on stream %s", event.RequestId, g.streamID)
	}
	g.module.recordLoad(event.Load)
	g.runner = event.Runner
	if event.Assigned {
		return nil
	}
	if event.Index < g.nextEvent {
		return nil
	}
	if event.Index > g.nextEvent {
		return result.New(result.RunnerLost, "event %d came when %d was next", event.Index, g.nextEvent)
	}
	g.nextEvent++
	if g.firstEvent.IsZero() {
		g.firstEvent = time.Now()
	}
	g.recordSurvival()
	if event.PromptTokens > 0 {
		g.usage = Usage{PromptTokens: int(event.PromptTokens), CompletionTokens: g.tokens}
	}
	if event.Text == "" && event.FinishReason == "" {
		return nil
	}
	g.text = append(g.text, event.Text...)
	if event.Text != "" {
		g.tokens++
	}
	g.finished = g.finished || event.FinishReason != ""
	return g.emit(Chunk{Text: event.Text, FinishReason: event.FinishReason})
}
