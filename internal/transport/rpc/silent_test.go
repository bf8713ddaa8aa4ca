package rpc

import (
	"bufio"
	"context"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"

	wirev1 "cobaltramp.example/cobaltramp/api/wire/v1"
	"cobaltramp.example/cobaltramp/internal/app/eventually"
	"cobaltramp.example/cobaltramp/internal/app/result"
	"cobaltramp.example/cobaltramp/lab/silence"
)

// startSilenceableServer starts a server that answers each call, and returns its listener.
func startSilenceableServer(t *testing.T) *silence.Listener {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	wrapped, server := silence.Wrap(listener), NewServer("server", "cluster", &Counters{})
	server.Handle(method, func(_ context.Context, stream *ServerStream) error { return stream.Send(event(1)) })
	go func() { _ = server.Serve(wrapped, nil) }()
	t.Cleanup(func() {
		_ = wrapped.Close()
		server.Close()
	})
	return wrapped
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
	listener := startSilenceableServer(t)
	pool := NewPool("client", "cluster", nil, &Counters{})
	defer pool.Close()
	address := listener.Addr().String()
	eventually.Require(t, "the first answer", func() bool { return answered(pool, address) })
	for range 2 {
		is.Equal(listener.Silence(), 1)
		eventually.Require(t, "an answer over a new link", func() bool { return answered(pool, address) })
	}
}

// A call must end with its context although the peer accepts the connection and does not
// answer the handshake, and must report that the request was not sent.
func TestCallEndsDuringHandshake(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer func() { _ = listener.Close() }()
	pool := NewPool("client", "cluster", nil, &Counters{})
	defer pool.Close()
	for range 3 { // the first call dials, the next ones wait for its handshake
		ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
		began := time.Now()
		_, err := pool.Open(ctx, listener.Addr().String(), ClassControl, method, &wirev1.DispatchRequest{RequestId: "x"})
		cancel()
		is.True(result.Is(err, result.PeerUnreachable))
		is.True(time.Since(began) < handshakeTimeout)
	}
}

// A handshake must complete although the calls that wait for it have ended, so that a slow
// peer gets a link.
func TestHandshakeOutlastsCall(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer func() { _ = listener.Close() }()
	pool := NewPool("client", "cluster", nil, &Counters{})
	defer pool.Close()
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	is.True(pool.Connect(ctx, listener.Addr().String(), ClassControl) != nil)
	conn, err := listener.Accept()
	is.NoErr(err)
	defer func() { _ = conn.Close() }()
	_, err = serverHandshake(conn, bufio.NewReader(conn), newHello("server", "cluster"))
	is.NoErr(err)
	is.NoErr(pool.Connect(context.Background(), listener.Addr().String(), ClassControl))
	is.Equal(pool.counters.Dials.Load(), uint64(1))
}
