package rpc

import (
	"google.golang.org/protobuf/proto"

	wirev1 "cobaltramp.example/cobaltramp/api/wire/v1"
	"cobaltramp.example/cobaltramp/internal/app/result"
)

// ServerStream is the server's end of one stream.
type ServerStream struct {
	// Peer is the node ID that the client sent in its Hello.
	Peer    string
	link    *link
	id      uint64
	method  wirev1.Method
	request []byte
}

// DecodeRequest decodes the request that opened the stream.
func (s *ServerStream) DecodeRequest(message proto.Message) error {
	if err := proto.Unmarshal(s.request, message); err != nil {
		return result.New(result.InvalidRequest, "decoding request: %v", err)
	}
	return nil
}

// Send queues one message for the client. It blocks while the send queue of the link is
// full, and fails if the link is closed or the message exceeds MaxFrameBytes.
func (s *ServerStream) Send(message proto.Message) error {
	return s.link.sendMessage(s.id, s.method, wirev1.FrameKind_FRAME_KIND_DATA, message)
}

func (s *ServerStream) end(err error) {
	status := &wirev1.Status{}
	if err != nil {
		failure := result.FromError(err)
		status.Code = uint32(failure.Code)
		status.Message = failure.Message
		status.RetryAfterMs = uint32(failure.RetryAfter.Milliseconds())
	}
	// If the link is closed, the client's stream ends with ErrLinkLost instead.
	_ = s.link.sendMessage(s.id, s.method, wirev1.FrameKind_FRAME_KIND_END, status)
}
