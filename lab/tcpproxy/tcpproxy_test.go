package tcpproxy

import (
	"io"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"

	"cobaltramp.example/cobaltramp/internal/app/eventually"
)

// startEcho starts a server that returns what it receives, and a proxy in front of it.
func startEcho(t *testing.T) *Proxy {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				_, _ = io.Copy(conn, conn)
				_ = conn.Close()
			}()
		}
	}()
	proxy, err := Start("127.0.0.1:0", listener.Addr().String())
	is.New(t).NoErr(err)
	t.Cleanup(func() {
		_ = listener.Close()
		proxy.Close()
	})
	return proxy
}

func dial(t *testing.T, proxy *Proxy) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", proxy.Address())
	is.New(t).NoErr(err)
	t.Cleanup(func() { _ = conn.Close() })
	return conn
}

// echoes reports whether a byte that is sent comes back within the timeout.
func echoes(t *testing.T, conn net.Conn, timeout time.Duration) bool {
	t.Helper()
	_, err := conn.Write([]byte("x"))
	is.New(t).NoErr(err)
	_ = conn.SetReadDeadline(time.Now().Add(timeout))
	_, err = io.ReadFull(conn, make([]byte, 1))
	return err == nil
}

// An open connection becomes silent without an error at either end, and a new one works.
func TestOpenConnectionsBecomeSilent(t *testing.T) {
	is := is.New(t)
	proxy := startEcho(t)
	first, second := dial(t, proxy), dial(t, proxy)
	is.True(echoes(t, first, time.Minute) && echoes(t, second, time.Minute))
	is.Equal(proxy.Silence(), 2)
	is.True(!echoes(t, first, 50*time.Millisecond) && !echoes(t, second, 50*time.Millisecond))
	is.True(echoes(t, dial(t, proxy), time.Minute))
}

// Only the connections whose client sent matching bytes become silent.
func TestMatchingConnectionsBecomeSilent(t *testing.T) {
	is := is.New(t)
	proxy := startEcho(t)
	matching, other := dial(t, proxy), dial(t, proxy)
	is.True(echoes(t, matching, time.Minute))
	_, err := other.Write([]byte("other"))
	is.NoErr(err)
	_, err = io.ReadFull(other, make([]byte, len("other")))
	is.NoErr(err)
	is.Equal(proxy.SilenceMatching(func(sent []byte) bool { return string(sent) == "x" }), 1)
	is.True(!echoes(t, matching, 50*time.Millisecond))
	is.True(echoes(t, other, time.Minute))
}

// The end of a connection reaches the other end, unless the connection is silent.
func TestEndsArePassedOn(t *testing.T) {
	is := is.New(t)
	proxy := startEcho(t)
	conn := dial(t, proxy)
	is.True(echoes(t, conn, time.Minute))
	is.NoErr(conn.(*net.TCPConn).CloseWrite())
	rest, err := io.ReadAll(conn)
	is.NoErr(err)
	is.Equal(len(rest), 0)
	eventually.Require(t, "the proxy has closed the connection", func() bool { return proxy.Open() == 0 })
}
