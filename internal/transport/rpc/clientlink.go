package rpc

import (
	"bufio"
	"context"
	"errors"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"
	"google.golang.org/protobuf/proto"

	wirev1 "cobaltramp.example/cobaltramp/api/wire/v1"
	"cobaltramp.example/cobaltramp/internal/app/result"
)

// ErrLinkLost is returned by a stream whose link closed before the server ended the
// stream.
var ErrLinkLost = errors.New("link lost")

// errIdleClosed is returned for new streams on a link that was closed as idle.
var errIdleClosed = errors.New("link closed as idle")

// clientLink multiplexes the streams of a dialled link.
type clientLink struct {
	link   *link
	lastID atomic.Uint64
	// lastUsed is the time at which the link was dialled, or last used to open a stream
	// or to queue a notice, in nanoseconds since processStart.
	lastUsed atomic.Int64
	// stopPoolWatch unregisters the callback that closes the link together with the pool.
	stopPoolWatch func() bool

	mutex      sync.Mutex
	streams    map[uint64]*ClientStream
	lost       bool
	idleClosed bool
}

// processStart is the time from which lastUsed is measured. The duration since then is
// monotonic and can be stored in an atomic integer.
var processStart = time.Now()

func (l *clientLink) touch() { l.lastUsed.Store(int64(time.Since(processStart))) }

func (l *clientLink) alive() bool {
	select {
	case <-l.link.closed:
		return false
	default:
		return true
	}
}

func (l *clientLink) open(ctx context.Context, method wirev1.Method, payload []byte) (*ClientStream, error) {
	stream := &ClientStream{
		owner: l, id: l.lastID.Add(1), ready: make(chan struct{}, 1), receivedBefore: l.link.receivedBytes.Load(),
	}
	if err := l.add(stream); err != nil {
		return nil, err
	}
	l.link.counters.recordSent(method, len(payload))
	frame := &wirev1.Frame{Stream: stream.id, Kind: wirev1.FrameKind_FRAME_KIND_OPEN, Method: method, Payload: payload, TimeoutMs: remainingMs(ctx)}
	if err := l.link.send(frame); err != nil {
		l.remove(stream.id)
		return nil, result.New(result.PeerUnreachable, "link lost before the request was sent")
	}
	return stream, nil
}

func remainingMs(ctx context.Context) uint64 {
	deadline, bounded := ctx.Deadline()
	if !bounded {
		return 0
	}
	remaining := time.Until(deadline).Milliseconds()
	if remaining < 1 {
		return 1
	}
	return uint64(remaining)
}

func (l *clientLink) add(stream *ClientStream) error {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	switch {
	case l.idleClosed:
		return errIdleClosed
	case l.lost:
		return result.New(result.PeerUnreachable, "link lost before the request was sent")
	}
	l.touch()
	l.streams[stream.id] = stream
	return nil
}

func (l *clientLink) remove(id uint64) *ClientStream {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	stream := l.streams[id]
	delete(l.streams, id)
	return stream
}

// checkAlive checks whether the peer responds.
func (l *clientLink) checkAlive(now time.Time) {
	l.mutex.Lock()
	streams := len(l.streams) > 0
	l.mutex.Unlock()
	l.link.checkAlive(now, streams)
}

func (l *clientLink) find(id uint64) *ClientStream {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.streams[id]
}

func (l *clientLink) readLoop(reader *bufio.Reader) {
	defer l.fail()
	var frame wirev1.Frame
	for {
		if err := ReadFrame(reader, &frame); err != nil {
			return
		}
		l.link.counters.FramesReceived.Add(1)
		l.link.counters.BytesReceived.Add(uint64(proto.Size(&frame) + lengthBytes))
		if !l.link.handleKeepalive(&frame) {
			l.handleFrame(&frame)
		}
	}
}

func (l *clientLink) handleFrame(frame *wirev1.Frame) {
	switch frame.Kind {
	case wirev1.FrameKind_FRAME_KIND_DATA:
		if stream := l.find(frame.Stream); stream != nil {
			stream.push(frame.Payload)
		}
	case wirev1.FrameKind_FRAME_KIND_END:
		if stream := l.remove(frame.Stream); stream != nil {
			stream.finish(decodeStatus(frame.Payload))
		}
	}
}

func decodeStatus(payload []byte) error {
	var status wirev1.Status
	if err := proto.Unmarshal(payload, &status); err != nil {
		return trace.Wrap(err, "decoding status")
	}
	if status.Code == 0 {
		return io.EOF
	}
	return &result.Error{
		Code:       result.Code(status.Code),
		Message:    status.Message,
		RetryAfter: time.Duration(status.RetryAfterMs) * time.Millisecond,
	}
}

// fail closes the link and ends its streams with ErrLinkLost.
func (l *clientLink) fail() {
	l.stopPoolWatch()
	l.link.close()
	l.mutex.Lock()
	l.lost = true
	streams := l.streams
	l.streams = map[uint64]*ClientStream{}
	l.mutex.Unlock()
	for _, stream := range streams {
		stream.finish(ErrLinkLost)
	}
}
