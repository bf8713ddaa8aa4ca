package httpcall

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
)

// rawServer answers each connection by a script.
func rawServer(t *testing.T, serve func(net.Conn)) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go serve(conn)
		}
	}()
	return "http://" + listener.Addr().String() + "/"
}

// readRequest reads one request without a body.
func readRequest(reader *bufio.Reader) bool {
	for {
		line, err := reader.ReadString('\n')
		if err != nil {
			return false
		}
		if line == "\r\n" {
			return true
		}
	}
}

func get(url string) (*Response, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	_ = cancel // ends with the test
	return NewClient(nil).Do(ctx, &Request{Method: "GET", URL: url})
}

func TestFateOfARequestIsKnown(t *testing.T) {
	closing := rawServer(t, func(conn net.Conn) {
		readRequest(bufio.NewReader(conn))
		_ = conn.Close()
	})
	cases := []struct {
		name string
		url  string
		sent bool
	}{
		{"nobody listens", "http://127.0.0.1:1/", false},
		{"bad address", "http://", false},
		{"closed without an answer", closing, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			_, err := get(c.url)
			var notSent *NotSentError
			var unanswered *UnansweredError
			is.Equal(errors.As(err, &notSent), !c.sent)
			is.Equal(errors.As(err, &unanswered), c.sent)
		})
	}
}

func TestTruncatedBodiesAreErrors(t *testing.T) {
	answers := map[string]string{
		"content length": "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\n12345",
		"chunked":        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\n12345\r\n",
	}
	for name, answer := range answers {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			url := rawServer(t, func(conn net.Conn) {
				readRequest(bufio.NewReader(conn))
				_, _ = io.WriteString(conn, answer)
				_ = conn.Close()
			})
			response, err := get(url)
			is.NoErr(err)
			_, err = response.ReadAll(100)
			is.True(err != nil) // a short body is never taken for a whole one
		})
	}
}

// A kept connection that the server has closed meanwhile is noticed before it
// is used, and fresh requests never use one.
func TestStaleConnectionsAreNotReused(t *testing.T) {
	is := is.New(t)
	var conns atomic.Int32
	url := rawServer(t, func(conn net.Conn) {
		conns.Add(1)
		if readRequest(bufio.NewReader(conn)) {
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
		}
		_ = conn.Close() // though it looked kept alive
	})
	client := NewClient(nil)
	for range 3 {
		response, err := client.Do(context.Background(), &Request{Method: "GET", URL: url})
		is.NoErr(err)
		body, err := response.ReadAll(10)
		is.NoErr(err)
		is.Equal(string(body), "ok")
		time.Sleep(20 * time.Millisecond) // the close arrives
	}
	is.Equal(conns.Load(), int32(3))
}

func TestKeptConnectionIsReusedUnlessFresh(t *testing.T) {
	is := is.New(t)
	var conns atomic.Int32
	url := rawServer(t, func(conn net.Conn) {
		conns.Add(1)
		reader := bufio.NewReader(conn)
		for readRequest(reader) {
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n")
		}
	})
	client := NewClient(nil)
	for _, fresh := range []bool{false, false, true} {
		response, err := client.Do(context.Background(), &Request{Method: "GET", URL: url, FreshConnection: fresh})
		is.NoErr(err)
		_, err = response.ReadAll(10)
		is.NoErr(err)
	}
	is.Equal(conns.Load(), int32(2))
}

func TestContextEndsAStreamingRead(t *testing.T) {
	is := is.New(t)
	url := rawServer(t, func(conn net.Conn) {
		readRequest(bufio.NewReader(conn))
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n")
	})
	ctx, cancel := context.WithCancel(context.Background())
	response, err := NewClient(nil).Do(ctx, &Request{Method: "GET", URL: url})
	is.NoErr(err)
	cancel()
	_, err = response.ReadAll(100)
	is.True(err != nil && !strings.Contains(err.Error(), "exceeds"))
}

// A server may answer before it has read a long body and read on later: the
// connection is not used again, and nothing but the body comes on it.
func TestAnswerBeforeTheBodyIsRead(t *testing.T) {
	is := is.New(t)
	body := strings.Repeat("x", 32<<20) // more than the buffers of both sockets hold
	var connections atomic.Int64
	var foreign atomic.Bool
	answered := make(chan struct{})
	ended := make(chan struct{})
	url := rawServer(t, func(conn net.Conn) {
		reader := bufio.NewReader(conn)
		if !readRequest(reader) {
			return
		}
		_, _ = io.WriteString(conn, "HTTP/1.1 413 Too Large\r\nContent-Length: 2\r\n\r\nno")
		if connections.Add(1) > 1 {
			<-ended // stays open without reading, as the first one does
			return
		}
		<-answered // not a byte of the body is read before the client has both answers
		for {
			data, err := reader.ReadByte()
			if err != nil {
				close(ended)
				return
			}
			if data != 'x' {
				foreign.Store(true)
			}
		}
	})
	client := NewClient(nil)
	for range 2 {
		response, err := client.Do(context.Background(), &Request{Method: "POST", URL: url, Body: []byte(body)})
		is.NoErr(err)
		is.Equal(response.Status, 413)
		answer, err := response.ReadAll(10)
		is.NoErr(err)
		is.Equal(string(answer), "no")
	}
	close(answered)
	<-ended
	is.Equal(connections.Load(), int64(2))
	is.True(!foreign.Load())
}

// A server that answers early and has the whole body before the client reads
// the answer may be sent the next request on the same connection; each request
// then begins right behind the whole body of the one before.
func TestAnswerBeforeTheBodyIsReadWholeBodySent(t *testing.T) {
	is := is.New(t)
	const length = 1 << 20
	body := strings.Repeat("x", length)
	var foreign atomic.Bool
	url := rawServer(t, func(conn net.Conn) {
		reader := bufio.NewReader(conn)
		for readRequest(reader) {
			_, _ = io.WriteString(conn, "HTTP/1.1 413 Too Large\r\nContent-Length: 2\r\n\r\nno")
			for range length {
				data, err := reader.ReadByte()
				if err != nil {
					return // the client closed it: nothing more comes
				}
				if data != 'x' {
					foreign.Store(true)
				}
			}
		}
	})
	client := NewClient(nil)
	for range 20 {
		response, err := client.Do(context.Background(), &Request{Method: "POST", URL: url, Body: []byte(body)})
		is.NoErr(err)
		is.Equal(response.Status, 413)
		answer, err := response.ReadAll(10)
		is.NoErr(err)
		is.Equal(string(answer), "no")
	}
	is.True(!foreign.Load())
}

// Only a machine that says that nothing listens there counts as a refusal; a
// connection that comes up is kept for the next call.
func TestRefused(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	address := "http://" + listener.Addr().String() + "/"
	client := NewClient(nil)
	is.True(!client.ConnectionRefused(t.Context(), address))
	is.Equal(len(client.idle["http://"+listener.Addr().String()]), 1)
	ended, cancel := context.WithCancel(t.Context())
	cancel()
	is.True(!client.ConnectionRefused(ended, address)) // no answer says nothing
	client.CloseIdle()
	is.NoErr(listener.Close())
	is.True(client.ConnectionRefused(t.Context(), address))
	is.True(!client.ConnectionRefused(t.Context(), "http://"))
}
