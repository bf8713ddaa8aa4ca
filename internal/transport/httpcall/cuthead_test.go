package httpcall

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"testing"
	"time"
)

const cutBody = "id: 1\ndata: x\n\n"

// cuttable is a response that a server sends up to a byte.
type cuttable struct{ name, head, body string }

var cuttables = []cuttable{
	{"a length", "HTTP/1.1 200 OK\r\nX-Id: 7\r\nContent-Type: text/event-stream\r\nContent-Length: 15\r\n\r\n", cutBody},
	{"a length of many digits", "HTTP/1.1 200 OK\r\nContent-Length: 1234567\r\n\r\n", cutBody},
	{"an empty body", "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nX-Id: 7\r\n\r\n", ""},
	{"chunks", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nX-Id: 7\r\n\r\n", "f\r\n" + cutBody + "\r\n0\r\n"},
	{"chunks and a trailer", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nTrailer: X-Sum\r\n\r\n", "f\r\n" + cutBody + "\r\n0\r\n"},
	{"a body that ends with the connection", "HTTP/1.1 200 OK\r\nConnection: close\r\nX-Id: 7\r\n\r\n", ""},
	{"line feeds only", "HTTP/1.1 200 OK\nContent-Length: 15\nX-Id: 7\n\n", cutBody},
	{"no content", "HTTP/1.1 204 No Content\r\nX-Id: 7\r\n\r\n", ""},
	{"100 before it", "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 15\r\n\r\n", cutBody},
	{"two 103 before it", "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\nHTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 15\r\n\r\n", cutBody},
	{"empty lines before it", "\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 15\r\n\r\n", cutBody},
}

// cutWay is how a server sends a part of a response and ends the connection.
type cutWay struct {
	reset, kept bool
	// packets is the number of parts in which the bytes are written.
	packets int
}

func (w cutWay) String() string {
	return fmt.Sprintf("reset=%t kept=%t packets=%d", w.reset, w.kept, w.packets)
}

// serve sends a whole response first if the way is that of a kept connection, and then the text.
func (w cutWay) serve(conn net.Conn, text string) {
	reader := bufio.NewReader(conn)
	if w.kept {
		readRequest(reader)
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
	}
	readRequest(reader)
	for part := range w.packets {
		_, _ = io.WriteString(conn, text[len(text)*part/w.packets:len(text)*(part+1)/w.packets])
	}
	if tcp, isTCP := conn.(*net.TCPConn); isTCP && w.reset {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}

// readCut calls the server, and returns the body of the response; the error is that of the call or of
// the body.
func readCut(client *Client, url string, kept bool) ([]byte, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	if kept {
		first, err := client.Do(ctx, &Request{Method: "GET", URL: url})
		if err != nil {
			return nil, fmt.Errorf("the whole response: %w", err)
		}
		if _, err := first.ReadAll(10); err != nil {
			return nil, fmt.Errorf("the whole response: %w", err)
		}
	}
	response, err := client.Do(ctx, &Request{Method: "GET", URL: url})
	if err != nil {
		return nil, err
	}
	return response.ReadAll(1 << 20)
}

// Guards against cut responses that pass as whole: a response whose head or body stops in the middle, in whatever
// packets, is an error that says that the request may have run, and never a shorter response.
func TestResponseThatStopsInTheMiddleIsAnError(t *testing.T) {
	t.Parallel()
	for _, response := range cuttables {
		for _, way := range []cutWay{{false, false, 1}, {true, false, 1}, {false, true, 2}, {true, true, 3}, {false, false, 5}} {
			t.Run(response.name+" "+way.String(), func(t *testing.T) {
				t.Parallel()
				connections := make(chan string, 1)
				url := rawServer(t, func(conn net.Conn) { way.serve(conn, <-connections) })
				whole := response.head + response.body
				for cut := range len(whole) {
					text := whole[:cut]
					connections <- text
					client := NewClient(nil)
					body, err := readCut(client, url, way.kept)
					var noResponse *NoResponseError
					switch {
					case err == nil:
						t.Fatalf("%q is a response with the body %q", text, body)
					case cut < len(response.head) && !errors.As(err, &noResponse):
						t.Fatalf("%q: %v", text, err)
					}
				}
			})
		}
	}
}

// The connection of a response whose trailer stops in the middle is not used again, and the body,
// which ended before the trailer, is whole.
func TestTrailerThatStopsInTheMiddle(t *testing.T) {
	const body = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nTrailer: X-Sum\r\n\r\nf\r\n" + cutBody + "\r\n0\r\n"
	const trailer = "X-Sum: 12\r\n\r\n"
	for cut := range len(trailer) {
		url := rawServer(t, func(conn net.Conn) { cutWay{packets: 1}.serve(conn, body+trailer[:cut]) })
		client := NewClient(nil)
		read, err := readCut(client, url, false)
		if err != nil || string(read) != cutBody {
			t.Errorf("%q: %q, %v", trailer[:cut], read, err)
		}
		client.mutex.Lock()
		if idle := len(client.idle); idle > 0 {
			t.Errorf("%q: the connection is kept", trailer[:cut])
		}
		client.mutex.Unlock()
	}
}
