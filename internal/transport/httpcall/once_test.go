package httpcall

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/valyala/fasthttp"
)

// nameHeader is a header by which the responses of the tests name their request.
const nameHeader = "Names"

func namedRequest1() *Request {
	return &Request{
		Method: http.MethodPost, ID: "1", RequireID: true,
		ResponseID: func(header *fasthttp.ResponseHeader) string { return string(header.Peek(nameHeader)) },
	}
}

// TestInterimResponseIsNotTheResponse guards against rule TWICE and lost responses: an interim
// response says nothing of the outcome of a request, whatever its headers say. The final one follows.
func TestInterimResponseIsNotTheResponse(t *testing.T) {
	const final = "HTTP/1.1 200 OK\r\nNames: 1\r\nContent-Length: 2\r\n\r\nok"
	for _, interim := range []string{
		"HTTP/1.1 100 Continue\r\n\r\n",
		"HTTP/1.1 102 Processing\r\nNames: 1\r\n\r\n",
		"HTTP/1.1 103 Early Hints\r\nNames: other\r\nContent-Length: 0\r\n\r\n",
		strings.Repeat("HTTP/1.1 103 Early Hints\r\nNames: 1\r\n\r\n", maxInterimResponses),
	} {
		t.Run(fmt.Sprintf("%.20q", interim), func(t *testing.T) {
			is := is.New(t)
			request := namedRequest1()
			request.URL = rawServer(t, func(conn net.Conn) {
				readRequest(bufio.NewReader(conn))
				_, _ = io.WriteString(conn, interim+final)
			})
			response, err := NewClient(nil).Do(context.Background(), request)
			is.NoErr(err)
			is.Equal(response.Status, http.StatusOK)
			body, err := response.ReadAll(10)
			is.NoErr(err)
			is.Equal(string(body), "ok")
		})
	}
}

// Interim responses without end must end the exchange with an unknown outcome.
func TestInterimResponsesWithoutEnd(t *testing.T) {
	is := is.New(t)
	request := namedRequest1()
	request.URL = rawServer(t, func(conn net.Conn) {
		readRequest(bufio.NewReader(conn))
		_, _ = io.WriteString(conn, strings.Repeat("HTTP/1.1 100 Continue\r\n\r\n", maxInterimResponses+1))
	})
	_, err := NewClient(nil).Do(context.Background(), request)
	var unknown *NoResponseError
	is.True(errors.As(err, &unknown))
	is.True(errors.Is(err, ErrTooManyInterimResponses))
}

// slowWriter is a connection whose server receives what is written at once, and ends, before Write
// returns.
type slowWriter struct {
	net.Conn
	received chan struct{}
	delay    time.Duration
}

func (w *slowWriter) Write(data []byte) (int, error) {
	select {
	case <-w.received:
	default:
		close(w.received)
	}
	time.Sleep(w.delay)
	return len(data), nil
}

func (w *slowWriter) Read([]byte) (int, error) {
	<-w.received
	return 0, io.EOF
}

func (w *slowWriter) Close() error { return nil }

// TestRequestThatIsBeingWrittenCountsAsSent guards against rule TWICE: a server receives a part of a
// long body and ends before the write returns. The bytes were not counted yet, and the request was
// reported as not sent.
func TestRequestThatIsBeingWrittenCountsAsSent(t *testing.T) {
	is := is.New(t)
	client := NewClient(nil)
	target, err := url.Parse("http://127.0.0.1:1/")
	is.NoErr(err)
	connection := &conn{Conn: &slowWriter{Conn: &net.TCPConn{}, received: make(chan struct{}), delay: 20 * time.Millisecond}, key: keyOf(target)}
	connection.reader = bufio.NewReader(connection)
	request := namedRequest1()
	request.Body = make([]byte, 100_000)
	_, err = client.doOn(context.Background(), connection, target, request)
	var unknown *NoResponseError
	is.True(errors.As(err, &unknown))
}

// namingServer serves requests by turns with the texts of responses, and returns its URL and the
// number of its connections.
func namingServer(t *testing.T, responses ...string) (url string, connections func() int) {
	accepted := make(chan struct{}, 10)
	next := make(chan string, len(responses))
	for _, response := range responses {
		next <- response
	}
	url = rawServer(t, func(conn net.Conn) {
		accepted <- struct{}{}
		for reader := bufio.NewReader(conn); readRequest(reader); {
			_, _ = io.WriteString(conn, <-next)
		}
	})
	return url, func() int { return len(accepted) }
}

// TestConnectionOfDroppedResponsesIsNotReused guards against rule TWICE: on a connection with a
// response too many, the next one may be too many as well.
func TestConnectionOfDroppedResponsesIsNotReused(t *testing.T) {
	is := is.New(t)
	const named, other = "HTTP/1.1 200 OK\r\nNames: %s\r\nContent-Length: 0\r\n\r\n", "HTTP/1.1 503 Busy\r\nNames: other\r\nContent-Length: 0\r\n\r\n"
	address, connections := namingServer(t, other+fmt.Sprintf(named, "1"), fmt.Sprintf(named, "2"))
	client := NewClient(nil)
	for _, id := range []string{"1", "2"} {
		request := namedRequest1()
		request.URL, request.ID = address, id
		response, err := client.Do(context.Background(), request)
		is.NoErr(err)
		is.Equal(response.Status, http.StatusOK)
		response.Discard()
	}
	is.Equal(connections(), 2)
}

// TestResponseWithoutANameOnANewConnectionEndsTheExchange guards against requests that wait until
// their deadline: nothing earlier can have caused the response, and no other one will follow.
func TestResponseWithoutANameOnANewConnectionEndsTheExchange(t *testing.T) {
	is := is.New(t)
	address, _ := namingServer(t, "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n")
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	request := namedRequest1()
	request.URL = address
	_, err := NewClient(nil).Do(ctx, request)
	var unknown *NoResponseError
	is.True(errors.As(err, &unknown))
	is.True(errors.Is(err, ErrUnmatchedResponse))
}
