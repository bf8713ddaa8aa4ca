package rpc

import (
	"bufio"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"
	"google.golang.org/protobuf/proto"

	wirev1 "cobaltramp.example/cobaltramp/api/wire/v1"
)

const (
	linkQueueFrames = 2048
	linkBufferBytes = 64 << 10
	// A peer that takes no byte for this long is treated as gone.
	linkWriteTimeout = 20 * time.Second
)

// link is one TCP connection: a writer goroutine drains a queue of encoded
// frames and flushes when the queue is empty, so bursts share a system call.
type link struct {
	conn      net.Conn
	queue     chan []byte
	closed    chan struct{}
	closeOnce sync.Once
	counters  *Counters
}

// Counters counts a node's frames and bytes; all fields are atomics.
type Counters struct {
	BytesSent, BytesReceived   atomic.Uint64
	FramesSent, FramesReceived atomic.Uint64
	Dials, DialFailures        atomic.Uint64
}

func newLink(conn net.Conn, counters *Counters) *link {
	return &link{
		conn:     conn,
		queue:    make(chan []byte, linkQueueFrames),
		closed:   make(chan struct{}),
		counters: counters,
	}
}

func (l *link) close() {
	l.closeOnce.Do(func() {
		close(l.closed)
		_ = l.conn.Close()
	})
}

// send queues the frame; it blocks while the queue is full and fails once the
// link is closed.
func (l *link) send(frame *wirev1.Frame) error {
	encoded, err := AppendFrame(nil, frame)
	if err != nil {
		return trace.Wrap(err)
	}
	select {
	case <-l.closed:
		return trace.ConnectionProblem(nil, "link closed")
	default:
	}
	select {
	case l.queue <- encoded:
		return nil
	case <-l.closed:
		return trace.ConnectionProblem(nil, "link closed")
	}
}

// trySend queues the frame unless the queue is full. One-way notices use it:
// they may be lost by contract.
func (l *link) trySend(frame *wirev1.Frame) bool {
	encoded, err := AppendFrame(nil, frame)
	if err != nil {
		return false
	}
	return l.tryQueue(encoded)
}

// tryQueue queues an encoded frame unless the queue is full. The bytes may be
// shared with other links and are not changed.
func (l *link) tryQueue(encoded []byte) bool {
	select {
	case l.queue <- encoded:
		return true
	default:
		return false
	}
}

// sendMessage wraps a message into a frame of the stream and sends it.
func (l *link) sendMessage(stream uint64, kind wirev1.FrameKind, message proto.Message) error {
	payload, err := proto.Marshal(message)
	if err != nil {
		return trace.Wrap(err, "encoding message")
	}
	return l.send(&wirev1.Frame{Stream: stream, Kind: kind, Payload: payload})
}

func (l *link) writeLoop() {
	defer l.close()
	writer := bufio.NewWriterSize(l.conn, linkBufferBytes)
	for {
		select {
		case <-l.closed:
			return
		case encoded := <-l.queue:
			if !l.writeBurst(writer, encoded) {
				return
			}
		}
	}
}

// writeBurst writes the frame and all that queued behind it, then flushes.
func (l *link) writeBurst(writer *bufio.Writer, encoded []byte) bool {
	_ = l.conn.SetWriteDeadline(time.Now().Add(linkWriteTimeout))
	for {
		if _, err := writer.Write(encoded); err != nil {
			return false
		}
		l.counters.FramesSent.Add(1)
		l.counters.BytesSent.Add(uint64(len(encoded)))
		select {
		case encoded = <-l.queue:
			continue
		default:
		}
		return writer.Flush() == nil
	}
}
