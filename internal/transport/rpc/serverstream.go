package rpc

import (
	"google.golang.org/protobuf/proto"

	wirev1 "cobaltramp.example/cobaltramp/api/wire/v1"
	"cobaltramp.example/cobaltramp/internal/app/result"
)

// ServerStream is the serving side of one stream.
type ServerStream struct {
	// Peer is the node id the other side introduced itself with.
	Peer    string
	link    *link
	id      uint64
	method  wirev1.Method
	payload []byte
}

// DecodeRequest decodes the opening message.
func (s *ServerStream) DecodeRequest(message proto.Message) error {
	if err := proto.Unmarshal(s.payload, message); err != nil {
		return result.New(result.InvalidRequest, "decoding request: %v", err)
	}
	return nil
}

// Send sends one message to the caller. An error means the link is gone.
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
	// A caller whose link is gone learns of the end by that.
	_ = s.link.sendMessage(s.id, s.method, wirev1.FrameKind_FRAME_KIND_END, status)
}
