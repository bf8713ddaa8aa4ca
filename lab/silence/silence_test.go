package silence

import (
	"io"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"

	"cobaltramp.example/cobaltramp/internal/app/eventually"
)

// echoServer returns what it receives, and records the ends of connections.
type echoServer struct {
	listener *Listener
	ended    chan struct{}
}

func startEcho(t *testing.T) *echoServer {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	s := &echoServer{listener: Wrap(listener), ended: make(chan struct{}, 10)}
	go func() {
		for {
			conn, err := s.listener.Accept()
			if err != nil {
				return
			}
			go func() {
				_, _ = io.Copy(conn, conn)
				_ = conn.Close()
				s.ended <- struct{}{}
			}()
		}
	}()
	t.Cleanup(func() { _ = s.listener.Close() })
	return s
}

func (s *echoServer) dial(t *testing.T) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", s.listener.Addr().String())
	is.New(t).NoErr(err)
	t.Cleanup(func() { _ = conn.Close() })
	return conn
}

// echoes reports whether text that is sent comes back within the timeout.
func echoes(t *testing.T, conn net.Conn, text string, timeout time.Duration) bool {
	t.Helper()
	_, err := io.WriteString(conn, text)
	is.New(t).NoErr(err)
	_ = conn.SetReadDeadline(time.Now().Add(timeout))
	_, err = io.ReadFull(conn, make([]byte, len(text)))
	return err == nil
}

const (
	answerTimeout = time.Minute
	// silentTimeout is how long a test waits for an answer that does not come.
	silentTimeout = 50 * time.Millisecond
)

// An open connection goes silent without an error at the client, and a new one works.
func TestOpenConnectionsGoSilent(t *testing.T) {
	is := is.New(t)
	server := startEcho(t)
	first, second := server.dial(t), server.dial(t)
	is.True(echoes(t, first, "x", answerTimeout) && echoes(t, second, "x", answerTimeout))
	is.Equal(server.listener.Silence(), 2)
	is.True(!echoes(t, first, "x", silentTimeout) && !echoes(t, second, "x", silentTimeout))
	is.True(echoes(t, server.dial(t), "x", answerTimeout))
	is.Equal(server.listener.Silence(), 1) // silent ones are not counted again
}

// Only the connections from which the server read matching bytes last go silent.
func TestMatchingConnectionsGoSilent(t *testing.T) {
	is := is.New(t)
	server := startEcho(t)
	matching, other := server.dial(t), server.dial(t)
	is.True(echoes(t, matching, "watch", answerTimeout) && echoes(t, other, "read", answerTimeout))
	is.Equal(server.listener.SilenceMatching(func(received []byte) bool { return string(received) == "watch" }), 1)
	is.True(!echoes(t, matching, "watch", silentTimeout))
	is.True(echoes(t, other, "read", answerTimeout))
}

// Neither end of a silent connection learns that the other has closed it.
func TestEndsOfSilentConnectionsAreNotSeen(t *testing.T) {
	is := is.New(t)
	server := startEcho(t)
	silent, healthy := server.dial(t), server.dial(t)
	is.True(echoes(t, silent, "silent", answerTimeout) && echoes(t, healthy, "healthy", answerTimeout))
	server.listener.SilenceMatching(func(received []byte) bool { return string(received) == "silent" })
	is.NoErr(silent.Close())
	is.NoErr(healthy.Close())
	eventually.Require(t, "the end of the healthy connection", func() bool { return len(server.ended) == 1 })
	time.Sleep(silentTimeout)
	is.Equal(len(server.ended), 1)
}
