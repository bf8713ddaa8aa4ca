package rpc

import (
	"bufio"
	"context"
	"sync"
	"time"

	"github.com/sourcegraph/conc/panics"
	"google.golang.org/protobuf/proto"
	"k8s.io/klog/v2"

	wirev1 "cobaltramp.example/cobaltramp/api/wire/v1"
	"cobaltramp.example/cobaltramp/internal/app/result"
)

// serverLink serves the streams of an accepted link.
type serverLink struct {
	server *Server
	link   *link
	peer   string
	ctx    context.Context

	mutex   sync.Mutex
	streams map[uint64]context.CancelFunc
}

func (l *serverLink) readLoop(reader *bufio.Reader) {
	var frame wirev1.Frame
	for ReadFrame(reader, &frame) == nil {
		l.server.counters.FramesReceived.Add(1)
		l.server.counters.BytesReceived.Add(uint64(proto.Size(&frame) + lengthBytes))
		if !l.link.handleKeepalive(&frame) {
			l.handleFrame(&frame)
		}
	}
}

func (l *serverLink) handleFrame(frame *wirev1.Frame) {
	switch frame.Kind {
	case wirev1.FrameKind_FRAME_KIND_OPEN:
		l.open(frame)
	case wirev1.FrameKind_FRAME_KIND_CANCEL:
		l.cancel(frame.Stream)
	case wirev1.FrameKind_FRAME_KIND_NOTIFY:
		if handler := l.server.noticeHandlers[frame.Method]; handler != nil {
			handler(l.peer, frame.Payload)
		}
	}
}

func (l *serverLink) open(frame *wirev1.Frame) {
	handler := l.server.handlers[frame.Method]
	stream := &ServerStream{link: l.link, id: frame.Stream, method: frame.Method, request: frame.Payload, Peer: l.peer}
	if handler == nil {
		stream.end(result.New(result.InvalidRequest, "method %v is not served here", frame.Method))
		return
	}
	ctx, cancel := l.streamContext(frame.TimeoutMs)
	l.mutex.Lock()
	l.streams[frame.Stream] = cancel
	l.mutex.Unlock()
	l.server.streams.Go(func() {
		defer l.cancel(stream.id)
		stream.end(runHandler(ctx, stream, handler))
	})
}

// runHandler calls the handler and converts a panic into an Internal error, which ends
// only this stream.
func runHandler(ctx context.Context, stream *ServerStream, handler StreamHandler) error {
	var err error
	if recovered := panics.Try(func() { err = handler(ctx, stream) }); recovered != nil {
		klog.ErrorS(recovered.AsError(), "stream handler panicked", "peer", stream.Peer)
		return result.New(result.Internal, "handler failed: %v", recovered.Value)
	}
	return err
}

func (l *serverLink) streamContext(timeoutMs uint64) (context.Context, context.CancelFunc) {
	if timeoutMs == 0 {
		return context.WithCancel(l.ctx)
	}
	return context.WithTimeout(l.ctx, time.Duration(timeoutMs)*time.Millisecond)
}

func (l *serverLink) cancel(id uint64) {
	l.mutex.Lock()
	cancel := l.streams[id]
	delete(l.streams, id)
	l.mutex.Unlock()
	if cancel != nil {
		cancel()
	}
}
