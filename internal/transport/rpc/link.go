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
	// maxQueuedFrames bounds the frames that are queued on one link.
	maxQueuedFrames = 2048
	// readBufferBytes is the size of the read buffer that each link holds. Most frames
	// are far smaller. The body of a larger frame is read directly into its own slice.
	readBufferBytes = 4 << 10
	// writeBufferBytes is the size of a write buffer. A link holds a write buffer only
	// while it writes.
	writeBufferBytes = 64 << 10
	// linkWriteTimeout bounds the time for writing the frames that were queued together.
	// If it expires because the peer does not read, the link is closed.
	linkWriteTimeout = 20 * time.Second
)

// link is one TCP connection with a queue of encoded frames. A writer goroutine
// empties the queue and flushes once the queue is empty, so that frames queued in a
// burst share a system call.
type link struct {
	conn      net.Conn
	queue     *sendQueue
	closed    chan struct{}
	closeOnce sync.Once
	counters  *Counters
	// receivedBytes is the number of bytes that were read from the connection.
	receivedBytes atomic.Uint64
	// sentFrames is the number of frames that were queued, without those of the keepalive.
	// writtenFrames is the number of all frames that were written.
	sentFrames, writtenFrames atomic.Uint64
	// peerAnswersPing is set after the handshake if the peer replies to a PING.
	peerAnswersPing atomic.Bool
	// keepalive is used only by checkAlive.
	keepalive keepalive
}

// Read implements io.Reader. It reads from the connection and counts the bytes.
func (l *link) Read(buffer []byte) (int, error) {
	n, err := l.conn.Read(buffer)
	l.receivedBytes.Add(uint64(n))
	return n, err
}

func newLink(conn net.Conn, counters *Counters) *link {
	counters.Links.Add(1)
	return &link{
		conn:     conn,
		queue:    newSendQueue(),
		closed:   make(chan struct{}),
		counters: counters,
	}
}

func (l *link) close() {
	l.closeOnce.Do(func() {
		l.counters.Links.Add(-1)
		close(l.closed)
		l.queue.close()
		_ = l.conn.Close()
	})
}

// send queues the frame. It blocks while the queue is full, and fails if the link is
// closed or the frame exceeds MaxFrameBytes.
func (l *link) send(frame *wirev1.Frame) error {
	encoded, err := AppendFrame(nil, frame)
	if err != nil {
		return trace.Wrap(err)
	}
	l.sentFrames.Add(1)
	if !l.queue.put(encoded) {
		return trace.ConnectionProblem(nil, "link closed")
	}
	return nil
}

// trySend queues the frame and reports whether it could be queued. It does not wait
// if the queue is full.
func (l *link) trySend(frame *wirev1.Frame) bool {
	encoded, err := AppendFrame(nil, frame)
	if err != nil {
		return false
	}
	return l.tryQueue(encoded)
}

// tryQueue queues an encoded frame unless the queue is full or closed. The link does
// not modify the bytes, so several links may share them.
func (l *link) tryQueue(encoded []byte) bool {
	l.sentFrames.Add(1)
	return l.queue.tryPut(encoded)
}

// sendMessage encodes the message into a frame of the given stream and sends the frame.
// The message is counted for the method, also if sending fails.
func (l *link) sendMessage(stream uint64, method wirev1.Method, kind wirev1.FrameKind, message proto.Message) error {
	payload, err := proto.Marshal(message)
	if err != nil {
		return trace.Wrap(err, "encoding message")
	}
	l.counters.recordSent(method, len(payload))
	return l.send(&wirev1.Frame{Stream: stream, Kind: kind, Payload: payload})
}

// writerPool holds the write buffers for all links.
var writerPool = sync.Pool{New: func() any { return bufio.NewWriterSize(nil, writeBufferBytes) }}

func (l *link) writeLoop() {
	defer l.close()
	for {
		select {
		case <-l.closed:
			return
		case <-l.queue.ready:
			if !l.writeQueued() {
				return
			}
		}
	}
}

// writeQueued writes queued frames until the queue is empty, then flushes the writer.
// It reports whether all writes succeeded.
func (l *link) writeQueued() bool {
	writer := writerPool.Get().(*bufio.Writer)
	writer.Reset(l.conn)
	defer func() {
		writer.Reset(nil)
		writerPool.Put(writer)
	}()
	written := uint64(0)
	for frames := l.queue.takeAll(); frames != nil; frames = l.queue.takeAll() {
		_ = l.conn.SetWriteDeadline(time.Now().Add(linkWriteTimeout))
		for _, encoded := range frames {
			if _, err := writer.Write(encoded); err != nil {
				return false
			}
			l.counters.FramesSent.Add(1)
			l.counters.BytesSent.Add(uint64(len(encoded)))
			written++
		}
	}
	if writer.Flush() != nil {
		return false
	}
	l.writtenFrames.Add(written)
	return true
}
