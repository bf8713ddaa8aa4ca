package standin

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// StreamExchange is one request for a stream on a connection of its own.
type StreamExchange struct {
	Host, Path, ID string
	// Timeout is how long the caller waits, which the request also states.
	Timeout time.Duration
}

// StreamResponse is what came in response to a request for a stream.
type StreamResponse struct {
	// Status is 0 if no head of a response came.
	Status int
	// Whole is set if the body is complete; Text is what came of it.
	Whole bool
	Text  string
	// Err is why the response is missing or incomplete; nil if it is complete.
	Err error
}

// HasAllEvents reports whether the response is the whole stream of a request.
func (r *StreamResponse) HasAllEvents(id string) bool {
	return r.Status == http.StatusOK && r.Whole && r.Text == expectedStream(id)
}

// Head sends the request and returns the status of the response, without its body; 0 if there is none.
func (e *StreamExchange) Head(connection net.Conn) int {
	response, err := e.send(connection)
	if err != nil {
		return 0
	}
	return response.StatusCode
}

// Do sends the request and reads the whole response.
func (e *StreamExchange) Do(connection net.Conn) StreamResponse {
	response, err := e.send(connection)
	if err != nil {
		return StreamResponse{Err: err}
	}
	text, err := io.ReadAll(response.Body)
	return StreamResponse{Status: response.StatusCode, Whole: err == nil, Text: string(text), Err: err}
}

// send sends the request and reads the head of the response.
func (e *StreamExchange) send(connection net.Conn) (*http.Response, error) {
	_ = connection.SetDeadline(time.Now().Add(e.Timeout))
	request, err := http.NewRequest(http.MethodPost, "http://"+e.Host+e.Path, strings.NewReader(e.ID))
	if err != nil {
		return nil, err
	}
	request.Header.Set(attemptHeader, e.ID)
	request.Header.Set(deadlineHeader, strconv.FormatInt(e.Timeout.Milliseconds(), 10))
	if err := request.Write(connection); err != nil {
		return nil, fmt.Errorf("writing the request: %w", err)
	}
	return http.ReadResponse(bufio.NewReader(connection), request)
}
