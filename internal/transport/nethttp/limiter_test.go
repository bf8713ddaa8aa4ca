package nethttp

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"
)

// limitedServer starts a server with at most maxConns connections. Requests for /wait wait
// until release is closed.
func limitedServer(t *testing.T) (address string, release chan struct{}, closed chan CloseReason) {
	t.Helper()
	release, closed = make(chan struct{}), make(chan CloseReason, 10)
	limiter := &ConnectionLimiter{Maximum: maxConns, OnClose: func(reason CloseReason) { closed <- reason }}
	server, err := Start(context.Background(), "127.0.0.1:0", http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		if request.URL.Path == "/wait" {
			<-release
		}
		_, _ = io.WriteString(writer, "ok")
	}), RequestLimits{Connections: limiter})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(server.Close)
	return server.Address(), release, closed
}

const maxConns = 4

// expectClosed waits until the server reports that it has closed a connection.
func expectClosed(t *testing.T, closed chan CloseReason, want CloseReason) {
	t.Helper()
	select {
	case reason := <-closed:
		if reason != want {
			t.Fatalf("closed as %s, want %s", reason, want)
		}
	case <-time.After(5 * time.Second):
		t.Fatal("no connection was closed")
	}
}

type testConn struct {
	net.Conn
	reader *bufio.Reader
}

func dial(t *testing.T, address string) *testConn {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	_ = conn.SetDeadline(time.Now().Add(5 * time.Second))
	return &testConn{conn, bufio.NewReader(conn)}
}

func (c *testConn) send(path string) {
	_, _ = io.WriteString(c, "GET "+path+" HTTP/1.1\r\nHost: x\r\n\r\n")
}

func (c *testConn) response(t *testing.T) *http.Response {
	t.Helper()
	response, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		t.Fatal(err)
	}
	_, _ = io.ReadAll(response.Body)
	return response
}

// At the limit, the connection that has been idle for longest makes room, and clients are told
// to close their connections before.
func TestIdleConnectionMakesRoom(t *testing.T) {
	is := is.New(t)
	address, _, closed := limitedServer(t)
	first := dial(t, address)
	first.send("/")
	is.True(!first.response(t).Close)
	for range maxConns - 1 {
		dial(t, address)
	}
	time.Sleep(2 * minIdleTime)
	next := dial(t, address)
	next.send("/")
	is.True(next.response(t).Close) // the limit is near
	expectClosed(t, closed, CloseIdle)
	_, err := first.reader.ReadByte()
	is.True(err != nil)
}

// Without an idle connection, a new one is closed unread, and requests in progress complete.
func TestConnectionBeyondTheLimitIsClosedUnread(t *testing.T) {
	is := is.New(t)
	address, release, closed := limitedServer(t)
	var conns []*testConn
	for range maxConns {
		conn := dial(t, address)
		conn.send("/wait")
		conns = append(conns, conn)
	}
	time.Sleep(2 * minIdleTime)
	_, err := dial(t, address).reader.ReadByte()
	is.True(err != nil)
	expectClosed(t, closed, CloseUnread)
	close(release)
	for _, conn := range conns {
		is.Equal(conn.response(t).StatusCode, http.StatusOK)
	}
}

// A request that arrives while its connection is being closed is not passed on.
func TestRequestOnEvictedConnectionIsNotServed(t *testing.T) {
	is := is.New(t)
	limiter := &ConnectionLimiter{Maximum: 1}
	admitted, _ := limiter.admit(&net.TCPConn{}, time.Now().Add(-2*minIdleTime))
	conn := admitted.(*limitedConn)
	next, evicted := limiter.admit(&net.TCPConn{}, time.Now())
	is.True(next != nil && evicted != nil)
	is.True(!conn.begin())
	is.Equal(limiter.open, 1)
}
