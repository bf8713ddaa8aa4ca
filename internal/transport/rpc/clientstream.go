package rpc

import (
	"context"
	"sync"

	"github.com/gravitational/trace"
	"google.golang.org/protobuf/proto"

	wirev1 "cobaltramp.example/cobaltramp/api/wire/v1"
)

// ClientStream is the client's end of one stream. Its queue of received messages is
// unbounded, so a slow reader does not block the other streams of the link.
type ClientStream struct {
	owner *clientLink
	id    uint64
	ready chan struct{}
	// receivedBefore is the link's receivedBytes when the stream was opened.
	receivedBefore uint64

	mutex    sync.Mutex
	messages [][]byte
	endError error
}

func (s *ClientStream) push(payload []byte) {
	if payload == nil {
		payload = []byte{} // an empty message; pop returns nil if there is no message
	}
	s.mutex.Lock()
	s.messages = append(s.messages, payload)
	s.mutex.Unlock()
	s.signal()
}

func (s *ClientStream) finish(reason error) {
	s.mutex.Lock()
	if s.endError == nil {
		s.endError = reason
	}
	s.mutex.Unlock()
	s.signal()
}

func (s *ClientStream) signal() {
	select {
	case s.ready <- struct{}{}:
	default:
	}
}

// Receive waits for the next message and decodes it. After the last message it returns one
// of these errors:
//
//   - io.EOF if the server ended the stream without an error,
//   - a *result.Error if the server ended the stream with an error,
//   - ErrLinkLost if the link closed before the stream ended.
//
// If the context ends while Receive waits, it returns the error of the context. It also
// fails if the message or the status at the end of the stream cannot be decoded. After
// Close, the end of the stream is not received, so Receive may wait for the context.
func (s *ClientStream) Receive(ctx context.Context, message proto.Message) error {
	payload, err := s.receiveEncoded(ctx)
	if err != nil {
		return err
	}
	return trace.Wrap(proto.Unmarshal(payload, message))
}

func (s *ClientStream) pop() ([]byte, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if len(s.messages) > 0 {
		payload := s.messages[0]
		s.messages = s.messages[1:]
		return payload, nil
	}
	return nil, s.endError
}

// Close cancels the stream at the server unless the stream has ended. The cancellation is
// not sent if the send queue of the link is full.
func (s *ClientStream) Close() {
	if s.owner.remove(s.id) == nil {
		return
	}
	if s.owner.link.receivedBytes.Load() == s.receivedBefore {
		s.owner.link.counters.Unanswered.Add(1)
	}
	s.owner.link.trySend(&wirev1.Frame{Stream: s.id, Kind: wirev1.FrameKind_FRAME_KIND_CANCEL})
}
