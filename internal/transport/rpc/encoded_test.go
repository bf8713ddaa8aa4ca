package rpc

import (
	"context"
	"errors"
	"testing"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	wirev1 "cobaltramp.example/cobaltramp/api/wire/v1"
	"cobaltramp.example/cobaltramp/internal/app/result"
)

// CallEncoded says whether the request was sent: not if there is no link or the context has
// ended before, and always if it may have been delivered.
func TestCallEncodedSaysWhetherItWasSent(t *testing.T) {
	is := is.New(t)
	received := make(chan struct{}, 1)
	address, pool := startServer(t, func(s *Server) {
		s.Handle(method, func(_ context.Context, stream *ServerStream) error { return stream.Send(event(7)) })
		s.Handle(wirev1.Method_METHOD_PULL, func(ctx context.Context, _ *ServerStream) error {
			received <- struct{}{}
			<-ctx.Done()
			return ctx.Err()
		})
	})
	request, err := proto.Marshal(event(1))
	is.NoErr(err)
	encoded, sent, err := pool.CallEncoded(context.Background(), address, ClassOnline, method, request)
	is.NoErr(err)
	is.True(sent)
	reply := &wirev1.DispatchEvent{}
	is.NoErr(proto.Unmarshal(encoded, reply))
	is.Equal(reply.Index, uint32(7))

	_, sent, err = pool.CallEncoded(context.Background(), address, ClassOnline, wirev1.Method_METHOD_QUOTA, request)
	is.Equal(result.CodeOf(err), result.InvalidRequest) // the server's answer
	is.True(sent)

	ended, cancel := context.WithCancel(context.Background())
	cancel()
	_, sent, err = pool.CallEncoded(ended, address, ClassOnline, method, request)
	is.Equal(result.CodeOf(err), result.PeerUnreachable)
	is.True(!sent)

	_, sent, err = pool.CallEncoded(context.Background(), "127.0.0.1:1", ClassOnline, method, request)
	is.Equal(result.CodeOf(err), result.PeerUnreachable)
	is.True(!sent)
	is.Equal(result.CodeOf(pool.Connect(context.Background(), "127.0.0.1:1", ClassBulk)), result.PeerUnreachable)
	is.NoErr(pool.Connect(context.Background(), address, ClassBulk))

	lost := make(chan error, 1)
	go func() {
		_, sent, err := pool.CallEncoded(context.Background(), address, ClassOnline, wirev1.Method_METHOD_PULL, request)
		if !sent {
			err = errors.New("reported as not sent")
		}
		lost <- err
	}()
	<-received
	pool.CloseLinks(address)
	is.True(errors.Is(<-lost, ErrLinkLost))
}
