package rpc

import (
	"context"

	wirev1 "cobaltramp.example/cobaltramp/api/wire/v1"
	"cobaltramp.example/cobaltramp/internal/app/result"
)

// CallEncoded is Call for a request and a reply that are passed on in their encoded form.
// If sent is false, the request was not sent and will not be sent. If sent is true, err is
// one of the errors of ClientStream.Receive, and the request may have been delivered unless
// err says otherwise.
func (p *Pool) CallEncoded(
	ctx context.Context, address string, class Class, method wirev1.Method, request []byte,
) (reply []byte, sent bool, err error) {
	stream, err := p.openEncoded(ctx, address, class, method, request)
	if err != nil {
		return nil, false, err
	}
	defer stream.Close()
	reply, err = stream.receiveEncoded(ctx)
	return reply, true, err
}

// Connect dials the address unless there is an open link to it.
func (p *Pool) Connect(ctx context.Context, address string, class Class) error {
	if _, err := p.link(ctx, address, class); err != nil {
		return result.New(result.PeerUnreachable, "node %s: %v", address, err)
	}
	return nil
}

// receiveEncoded waits for the next message and returns it without decoding it. Its errors
// are those of Receive.
func (s *ClientStream) receiveEncoded(ctx context.Context) ([]byte, error) {
	for {
		payload, err := s.pop()
		if err != nil || payload != nil {
			return payload, err
		}
		select {
		case <-s.ready:
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}
