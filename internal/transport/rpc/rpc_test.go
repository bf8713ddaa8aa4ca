package rpc

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	wirev1 "cobaltramp.example/cobaltramp/api/wire/v1"
	"cobaltramp.example/cobaltramp/internal/app/eventually"
	_ "cobaltramp.example/cobaltramp/internal/app/fixedseed"
	"cobaltramp.example/cobaltramp/internal/app/result"
)

func TestFrameRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var wire []byte
		var sent []*wirev1.Frame
		for range rapid.IntRange(1, 8).Draw(t, "frames") {
			frame := &wirev1.Frame{
				Stream: rapid.Uint64().Draw(t, "stream"), Kind: wirev1.FrameKind_FRAME_KIND_DATA,
				Payload: rapid.SliceOfN(rapid.Byte(), 0, 300).Draw(t, "payload"),
			}
			var err error
			if wire, err = AppendFrame(wire, frame); err != nil {
				t.Fatalf("append: %v", err)
			}
			sent = append(sent, frame)
		}
		cut := rapid.IntRange(0, len(wire)).Draw(t, "cut")
		reader := bufio.NewReader(bytes.NewReader(wire[:cut]))
		for _, frame := range sent {
			var got wirev1.Frame
			if err := ReadFrame(reader, &got); err != nil {
				if cut == len(wire) {
					t.Fatalf("reading complete input: %v", err)
				}
				return // truncated input causes an error, never a wrong frame
			}
			if !proto.Equal(frame, &got) {
				t.Fatalf("sent %v, got %v", frame, &got)
			}
		}
	})
}

func FuzzReadFrame(f *testing.F) {
	good, _ := AppendFrame(nil, &wirev1.Frame{Stream: 1, Payload: []byte("x")})
	f.Add(good)
	f.Add([]byte{0xff, 0xff, 0xff, 0xff})
	f.Add([]byte{0, 0, 0, 2, 1})
	f.Fuzz(func(t *testing.T, wire []byte) {
		reader := bufio.NewReader(bytes.NewReader(wire))
		var frame wirev1.Frame
		for ReadFrame(reader, &frame) == nil {
			if proto.Size(&frame) > MaxFrameBytes {
				t.Fatal("frame exceeds MaxFrameBytes")
			}
		}
	})
}

// startServer starts a server with the handlers that prepare registers. It returns the
// server's address and a pool.
func startServer(t *testing.T, prepare func(*Server)) (string, *Pool) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	server := NewServer("server", "cluster", &Counters{})
	prepare(server)
	go func() { _ = server.Serve(listener, nil) }()
	pool := NewPool("client", "cluster", nil, &Counters{})
	t.Cleanup(func() {
		_ = listener.Close()
		pool.Close()
		server.Close()
	})
	return listener.Addr().String(), pool
}

const method = wirev1.Method_METHOD_DISPATCH

func event(index uint32) *wirev1.DispatchEvent { return &wirev1.DispatchEvent{Index: index} }

func TestStreamsKeepTheirOwnOrder(t *testing.T) {
	is := is.New(t)
	address, pool := startServer(t, func(s *Server) {
		s.Handle(method, func(_ context.Context, stream *ServerStream) error {
			var request wirev1.DispatchRequest
			if err := stream.DecodeRequest(&request); err != nil {
				return err
			}
			for i := range uint32(50) {
				if err := stream.Send(&wirev1.DispatchEvent{RequestId: request.RequestId, Index: i}); err != nil {
					return err
				}
			}
			return result.New(result.Saturated, "full").WithRetryAfter(time.Second)
		})
	})
	var streams []*ClientStream
	ids := []string{"a", "b", "c"}
	for _, id := range ids {
		stream, err := pool.Open(context.Background(), address, ClassOnline, method, &wirev1.DispatchRequest{RequestId: id})
		is.NoErr(err)
		streams = append(streams, stream)
	}
	for i, stream := range streams {
		for index := range uint32(50) {
			var got wirev1.DispatchEvent
			is.NoErr(stream.Receive(context.Background(), &got))
			is.Equal(got.RequestId, ids[i])
			is.Equal(got.Index, index)
		}
		err := stream.Receive(context.Background(), event(0))
		is.Equal(result.CodeOf(err), result.Saturated) // the result code reaches the client
		is.Equal(result.FromError(err).RetryAfter, time.Second)
	}
}

func TestCancelAndDeadlineReachTheServer(t *testing.T) {
	is := is.New(t)
	ended := make(chan error, 2)
	address, pool := startServer(t, func(s *Server) {
		s.Handle(method, func(ctx context.Context, stream *ServerStream) error {
			_ = stream.Send(event(0))
			<-ctx.Done()
			ended <- ctx.Err()
			return ctx.Err()
		})
	})
	stream, err := pool.Open(context.Background(), address, ClassOnline, method, event(0))
	is.NoErr(err)
	is.NoErr(stream.Receive(context.Background(), event(0)))
	stream.Close()
	is.Equal(<-ended, context.Canceled)

	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	stream, err = pool.Open(ctx, address, ClassOnline, method, event(0))
	is.NoErr(err)
	defer stream.Close()
	is.Equal(<-ended, context.DeadlineExceeded)
}

func TestLostLinkEndsStreamsWithAnError(t *testing.T) {
	is := is.New(t)
	var server *Server
	address, pool := startServer(t, func(s *Server) {
		server = s
		s.Handle(method, func(ctx context.Context, stream *ServerStream) error {
			_ = stream.Send(event(0))
			<-ctx.Done()
			return nil
		})
	})
	stream, err := pool.Open(context.Background(), address, ClassOnline, method, event(0))
	is.NoErr(err)
	is.NoErr(stream.Receive(context.Background(), event(0)))
	go server.Close()
	err = stream.Receive(context.Background(), event(0))
	is.True(errors.Is(err, ErrLinkLost)) // not io.EOF
}

func TestUnreachablePeerReturnsPeerUnreachable(t *testing.T) {
	is := is.New(t)
	pool := NewPool("client", "cluster", nil, &Counters{})
	defer pool.Close()
	_, err := pool.Open(context.Background(), "127.0.0.1:1", ClassOnline, method, event(0))
	is.Equal(result.CodeOf(err), result.PeerUnreachable)
}

func TestOtherClustersAreRejected(t *testing.T) {
	is := is.New(t)
	address, _ := startServer(t, func(*Server) {})
	foreign := NewPool("client", "other", nil, &Counters{})
	defer foreign.Close()
	_, err := foreign.Open(context.Background(), address, ClassOnline, method, event(0))
	is.Equal(result.CodeOf(err), result.PeerUnreachable)
}

func TestHandlerPanicEndsOneStreamOnly(t *testing.T) {
	is := is.New(t)
	address, pool := startServer(t, func(s *Server) {
		s.Handle(method, func(context.Context, *ServerStream) error { panic("defect") })
		s.Handle(wirev1.Method_METHOD_PULL, func(_ context.Context, stream *ServerStream) error { return stream.Send(event(7)) })
	})
	err := pool.Call(context.Background(), address, ClassOnline, method, event(0), event(0))
	is.Equal(result.CodeOf(err), result.Internal)
	got := event(0)
	is.NoErr(pool.Call(context.Background(), address, ClassOnline, wirev1.Method_METHOD_PULL, event(0), got))
	is.Equal(got.Index, uint32(7))
}

func BenchmarkFrame(b *testing.B) {
	frame := &wirev1.Frame{Stream: 9, Kind: wirev1.FrameKind_FRAME_KIND_DATA, Payload: bytes.Repeat([]byte("t"), 40)}
	var buffer []byte
	b.ReportAllocs()
	for b.Loop() {
		buffer, _ = AppendFrame(buffer[:0], frame)
		var got wirev1.Frame
		if err := ReadFrame(bufio.NewReader(bytes.NewReader(buffer)), &got); err != nil && !errors.Is(err, io.EOF) {
			b.Fatal(err)
		}
	}
}

// The server calls OnPeerLost once, when the last link of a peer has closed.
func TestLostPeerIsReportedOnce(t *testing.T) {
	is := is.New(t)
	lost := make(chan string, 4)
	received := make(chan struct{}, 4)
	address, pool := startServer(t, func(server *Server) {
		server.OnPeerLost(func(peer string) { lost <- peer })
		server.HandleNotice(wirev1.Method_METHOD_RUNNER_USE, func(string, []byte) { received <- struct{}{} })
	})
	for _, class := range []Class{ClassControl, ClassBulk} {
		pool.Notify(address, class, wirev1.Method_METHOD_RUNNER_USE, &wirev1.RunnerUses{})
		<-received
	}
	pool.peer(address, ClassBulk).current.Load().link.close()
	pool.Notify(address, ClassBulk, wirev1.Method_METHOD_RUNNER_USE, &wirev1.RunnerUses{})
	<-received // the server has a second link again; the first was open throughout
	is.Equal(len(lost), 0)
	pool.Close()
	is.Equal(<-lost, "client")
	is.Equal(len(lost), 0)
}

// Frames of concurrent senders arrive unchanged and in each sender's order, also when the
// queue is full at times, and the queue never exceeds its bound.
func TestSendQueueKeepsOrderAndBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		queue := newSendQueue()
		const senders = 3
		framesPerSender := rapid.IntRange(1, 2*maxQueuedFrames).Draw(t, "each")
		var group sync.WaitGroup
		for sender := range senders {
			group.Add(1)
			go func() {
				defer group.Done()
				for number := range framesPerSender {
					if !queue.put([]byte{byte(sender), byte(number >> 8), byte(number)}) {
						panic("put failed on an open queue")
					}
				}
			}()
		}
		next := [senders]int{}
		for taken := 0; taken < senders*framesPerSender; {
			<-queue.ready
			frames := queue.takeAll()
			if len(frames) > maxQueuedFrames {
				t.Fatalf("queue held %d frames", len(frames))
			}
			for _, frame := range frames {
				if number := int(frame[1])<<8 | int(frame[2]); number != next[frame[0]] {
					t.Fatalf("received frame %d of sender %d, want %d", number, frame[0], next[frame[0]])
				}
				next[frame[0]]++
				taken++
			}
		}
		group.Wait()
	})
}

// Closing a queue releases callers that wait in put, and a closed queue accepts no frame.
func TestClosingQueueReleasesWaiters(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		queue := newSendQueue()
		for queue.tryPut([]byte{0}) {
		}
		waiting := make(chan bool, 1)
		go func() { waiting <- queue.put([]byte{0}) }()
		synctest.Wait() // put is blocked
		is.Equal(len(waiting), 0)
		queue.close()
		synctest.Wait()
		is.Equal(len(waiting), 1)
		is.True(!<-waiting)
		is.True(!queue.tryPut([]byte{0}))
	})
}

// Close does not wait for a peer that accepted the connection but never replies to the
// handshake.
func TestCloseAbortsHandshakes(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer func() { _ = listener.Close() }()
	pool := NewPool("client", "cluster", nil, &Counters{})
	pool.handshakeTimeout = time.Hour
	pool.Notify(listener.Addr().String(), ClassControl, wirev1.Method_METHOD_MEMBERSHIP, &wirev1.MembershipMessage{})
	unresponsive, err := listener.Accept()
	is.NoErr(err)
	defer func() { _ = unresponsive.Close() }()
	closed := make(chan struct{})
	go func() {
		defer close(closed)
		pool.Close()
	}()
	ended := func() bool {
		select {
		case <-closed:
			return true
		default:
			return false
		}
	}
	eventually.Require(t, "the pool is closed", ended)
}
