package rpc

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	wirev1 "cobaltramp.example/cobaltramp/api/wire/v1"
	"cobaltramp.example/cobaltramp/internal/app/eventually"
	"cobaltramp.example/cobaltramp/lab/tcpproxy"
)

// startProxiedServer starts a server that answers each call, a proxy in front of it, and a
// pool.
func startProxiedServer(t *testing.T) (*tcpproxy.Proxy, *Pool) {
	t.Helper()
	address, pool := startServer(t, func(s *Server) {
		s.Handle(method, func(_ context.Context, stream *ServerStream) error { return stream.Send(event(1)) })
	})
	proxy, err := tcpproxy.Start("127.0.0.1:0", address)
	is.New(t).NoErr(err)
	t.Cleanup(proxy.Close)
	return proxy, pool
}

// answered reports whether a call is answered within a short timeout.
func answered(pool *Pool, address string) bool {
	ctx, cancel := context.WithTimeout(context.Background(), 200*time.Millisecond)
	defer cancel()
	var reply wirev1.DispatchEvent
	return pool.Call(ctx, address, ClassControl, method, &wirev1.DispatchRequest{RequestId: "x"}, &reply) == nil
}

// Calls must be answered again although the link in the pool has gone silent without an error
// and the calls themselves keep it in use.
func TestSilentLinkIsReplaced(t *testing.T) {
	is := is.New(t)
	proxy, pool := startProxiedServer(t)
	eventually.Require(t, "the first answer", func() bool { return answered(pool, proxy.Address()) })
	for range 2 {
		is.Equal(proxy.Silence(), 1)
		eventually.Require(t, "an answer over a new link", func() bool { return answered(pool, proxy.Address()) })
	}
}
