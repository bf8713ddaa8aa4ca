package httpcall

import (
	"bufio"
	"errors"
	"io"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"
)

// statusLines are first lines of a response, and the status that the client reads; 0 if it reads none.
var statusLines = []struct {
	line   string
	status int
}{
	{"HTTP/1.1 200 OK", 200},
	{"HTTP/1.1 200", 200},
	{"HTTP/1.1 200 ", 200},
	{"HTTP/1.1 599 Odd", 599},
	{"HTTP/1.0 200 OK", 200},
	{"HTTP/1.1 000 Zero", 0},
	{"HTTP/1.1 000", 0},
	{"HTTP/1.1 099 Low", 0},
	{"HTTP/1.1 600 High", 0},
	{"HTTP/1.1 999 High", 0},
	{"HTTP/1.1 101 Switching Protocols", 0},
	{"HTTP/1.1 20 Short", 0},
	{"HTTP/1.1 2000 Long", 0},
	{"HTTP/1.1 2x0 Letter", 0},
	{"HTTP/1.1 -20 Sign", 0},
	{"HTTP/1.1  200 Two spaces", 0},
	{"HTTP/1.1\t200 Tab", 0},
	{"HTTP/1.1200 OK", 0},
	{"HTTP/1.2 200 OK", 0},
	{"HTTP/2.0 200 OK", 0},
	{"HTTP/0.9 200 OK", 0},
	{"http/1.1 200 OK", 0},
	{"HTTP/1.1 ", 0},
	{"garbage", 0},
}

// TestOnlyStatusLinesBeginResponses guards against bytes that are no response being read as one: the status
// 000 was read as 200, and callers got a success.
func TestOnlyStatusLinesBeginResponses(t *testing.T) {
	for _, test := range statusLines {
		for _, part := range []int{1, len(test.line) + 1, 1 << 10} {
			t.Run(test.line, func(t *testing.T) {
				is := is.New(t)
				url := rawServer(t, func(conn net.Conn) {
					readRequest(bufio.NewReader(conn))
					writeInParts(conn, test.line+"\r\nContent-Length: 2\r\n\r\nok", part)
				})
				response, err := get(url)
				if test.status == 0 {
					is.True(errors.As(err, new(*StatusLineError)))
					is.True(errors.As(err, new(*NoResponseError))) // the outcome is unknown
					return
				}
				is.NoErr(err)
				is.Equal(response.Status, test.status)
				body, err := response.ReadAll(10)
				is.NoErr(err)
				is.Equal(string(body), "ok")
			})
		}
	}
}

// TestStatusLineOfAnInterimResponseIsChecked guards against a status of 000 behind interim responses.
func TestStatusLineOfAnInterimResponseIsChecked(t *testing.T) {
	is := is.New(t)
	url := rawServer(t, func(conn net.Conn) {
		readRequest(bufio.NewReader(conn))
		_, _ = io.WriteString(conn, "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 000 Zero\r\nContent-Length: 2\r\n\r\nok")
	})
	_, err := get(url)
	is.True(errors.As(err, new(*StatusLineError)))
}

// writeInParts writes a text in parts of a number of bytes, each in a packet of its own.
func writeInParts(conn net.Conn, text string, size int) {
	for len(text) > 0 {
		part := min(size, len(text))
		if _, err := io.WriteString(conn, text[:part]); err != nil {
			return
		}
		text = text[part:]
		if len(text) > 0 {
			time.Sleep(time.Millisecond)
		}
	}
}

// TestResponseWithoutContentEndsWithItsHeader guards against a wait for the body of a response that has
// none: it lasted until the server closed the connection.
func TestResponseWithoutContentEndsWithItsHeader(t *testing.T) {
	for _, statusLine := range []string{"HTTP/1.1 204 No Content", "HTTP/1.1 304 Not Modified"} {
		t.Run(statusLine, func(t *testing.T) {
			is := is.New(t)
			ended := make(chan struct{})
			defer close(ended)
			url := rawServer(t, func(conn net.Conn) {
				readRequest(bufio.NewReader(conn))
				_, _ = io.WriteString(conn, statusLine+"\r\n\r\n")
				<-ended // the connection stays open
			})
			began := time.Now()
			response, err := get(url)
			is.NoErr(err)
			body, err := response.ReadAll(10)
			is.NoErr(err)
			is.Equal(len(body), 0)
			is.True(!response.EndsWithConnection())
			is.True(time.Since(began) < 4*time.Second) // the context of the call ends after 5 s
		})
	}
}
