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

// rawServer runs serve on each accepted connection and returns the server's URL.
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
	_ = cancel // the timeout ends the context
	return NewClient(nil).Do(ctx, &Request{Method: "GET", URL: url})
}

func TestErrorsSayWhetherRequestWasSent(t *testing.T) {
	closing := rawServer(t, func(conn net.Conn) {
		readRequest(bufio.NewReader(conn))
		_ = conn.Close()
	})
	cases := []struct {
		name string
		url  string
		sent bool
	}{
		{"no listener", "http://127.0.0.1:1/", false},
		{"bad address", "http://", false},
		{"connection closed without a response", closing, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			_, err := get(c.url)
			var notSent *NotSentError
			var noResponse *NoResponseError
			is.Equal(errors.As(err, &notSent), !c.sent)
			is.Equal(errors.As(err, &noResponse), c.sent)
		})
	}
}

func TestTruncatedBodiesAreErrors(t *testing.T) {
	rawResponses := map[string]string{
		"content length": "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\n12345",
		"chunked":        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\n12345\r\n",
	}
	for name, rawResponse := range rawResponses {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			url := rawServer(t, func(conn net.Conn) {
				readRequest(bufio.NewReader(conn))
				_, _ = io.WriteString(conn, rawResponse)
				_ = conn.Close()
			})
			response, err := get(url)
			is.NoErr(err)
			_, err = response.ReadAll(100)
			is.True(err != nil) // a truncated body is not returned as complete
		})
	}
}

// An idle connection that the server has closed is not reused.
func TestStaleConnectionsAreNotReused(t *testing.T) {
	is := is.New(t)
	var conns atomic.Int32
	url := rawServer(t, func(conn net.Conn) {
		conns.Add(1)
		if readRequest(bufio.NewReader(conn)) {
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
		}
		_ = conn.Close() // the response did not announce the close
	})
	client := NewClient(nil)
	for range 3 {
		response, err := client.Do(context.Background(), &Request{Method: "GET", URL: url})
		is.NoErr(err)
		body, err := response.ReadAll(10)
		is.NoErr(err)
		is.Equal(string(body), "ok")
		time.Sleep(20 * time.Millisecond) // until the client's socket has received the close
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

// If a server responds before it has read a long body, the connection is not reused, and
// the server reads nothing but the body from it.
func TestResponseBeforeBodyIsRead(t *testing.T) {
	is := is.New(t)
	body := strings.Repeat("x", 32<<20) // more than the buffers of both sockets hold
	var connections atomic.Int64
	var foreign atomic.Bool
	responded := make(chan struct{})
	ended := make(chan struct{})
	url := rawServer(t, func(conn net.Conn) {
		reader := bufio.NewReader(conn)
		if !readRequest(reader) {
			return
		}
		_, _ = io.WriteString(conn, "HTTP/1.1 413 Too Large\r\nContent-Length: 2\r\n\r\nno")
		if connections.Add(1) > 1 {
			<-ended // stays open without reading, as the first connection does
			return
		}
		<-responded // start reading the body after the client has both responses
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
		text, err := response.ReadAll(10)
		is.NoErr(err)
		is.Equal(string(text), "no")
	}
	close(responded)
	<-ended
	is.Equal(connections.Load(), int64(2))
	is.True(!foreign.Load())
}

// If a server responds early and the whole body was nevertheless written, the connection
// may be reused. The next request then starts right after the complete body.
func TestConnectionReuseAfterEarlyResponse(t *testing.T) {
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
					return // the client closed the connection
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
		text, err := response.ReadAll(10)
		is.NoErr(err)
		is.Equal(string(text), "no")
	}
	is.True(!foreign.Load())
}

// ConnectionRefused is true only if the machine refuses the connection. A successful
// connection is kept for reuse.
func TestConnectionRefused(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	address := "http://" + listener.Addr().String() + "/"
	client := NewClient(nil)
	is.True(!client.ConnectionRefused(t.Context(), address))
	is.Equal(len(client.idle["http://"+listener.Addr().String()]), 1)
	ended, cancel := context.WithCancel(t.Context())
	cancel()
	is.True(!client.ConnectionRefused(ended, address)) // a canceled dial is not a refusal
	client.CloseIdle()
	is.NoErr(listener.Close())
	is.True(client.ConnectionRefused(t.Context(), address))
	is.True(!client.ConnectionRefused(t.Context(), "http://"))
}

// Guards against a process that counts as alive because the machine still accepts a connection while
// it closes the sockets of the process (review/2). A live process that resets one connection is alive.
func TestConnectionThatIsClosedAtOnceIsDialledAgain(t *testing.T) {
	for _, test := range []struct {
		name string
		ends bool
	}{{"the process ends", true}, {"the process resets one connection", false}} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			is.NoErr(err)
			defer func() { _ = listener.Close() }()
			go func() {
				first, err := listener.Accept()
				if err != nil {
					return
				}
				if test.ends {
					_ = listener.Close()
				}
				_ = first.(*net.TCPConn).SetLinger(0)
				_ = first.Close()
			}()
			client := NewClient(nil)
			defer client.CloseIdle()
			is.Equal(client.ConnectionRefused(t.Context(), "http://"+listener.Addr().String()+"/"), test.ends)
		})
	}
}
