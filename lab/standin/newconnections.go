package standin

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"time"
)

// ReadOutcome is the outcome of a request on a new connection.
type ReadOutcome int

// The outcomes of a request on a new connection.
const (
	// Unread means that the connection was refused, or closed without any byte of a response.
	Unread ReadOutcome = iota
	// Served means that the whole stream of the request came.
	Served
	// Failed means that any other response came, or a part of one.
	Failed
)

// NewConnectionClient sends each request on a new connection, which it keeps open afterwards.
type NewConnectionClient struct {
	Host, Path string
	// Body is the body of all requests.
	Body []byte
	// Linger is how long connections stay open after the response.
	Linger time.Duration
}

// Send sends a request to an address and returns its outcome and the time to the end of the
// response. The connection stays open for Linger, until the context ends.
func (c *NewConnectionClient) Send(ctx context.Context, address, id string) (ReadOutcome, time.Duration) {
	began := time.Now()
	conn, err := net.DialTimeout("tcp", address, dialTimeout)
	if err != nil {
		return Unread, time.Since(began)
	}
	outcome := c.exchange(conn, address, id)
	took := time.Since(began)
	closeConn := func() { _ = conn.Close() }
	context.AfterFunc(ctx, closeConn)
	time.AfterFunc(c.Linger, closeConn)
	return outcome, took
}

func (c *NewConnectionClient) exchange(conn net.Conn, address, id string) ReadOutcome {
	request, err := http.NewRequest(http.MethodPost, "http://"+address+c.Path, bytes.NewReader(c.Body))
	if err != nil {
		return Failed
	}
	request.Host = c.Host
	setRequestHeaders(request, id)
	_ = conn.SetDeadline(time.Now().Add(RequestTimeout)) // an error shows in the write
	if err := request.Write(conn); err != nil {
		return Unread
	}
	reader := bufio.NewReader(conn)
	if _, err := reader.Peek(1); err != nil {
		return Unread
	}
	response, err := http.ReadResponse(reader, request)
	if err != nil {
		return Failed
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	if err != nil || response.StatusCode != http.StatusOK || string(text) != expectedStream(id) {
		return Failed
	}
	return Served
}
