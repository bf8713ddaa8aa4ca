// Package httpcall makes single HTTP/1.1 exchanges whose fate is known: an
// error says whether any byte of the request left the process.
//
// It uses fasthttp's request and response codecs on connections it owns and
// never retries. fasthttp's own client is not used because it may resend a
// request on a stale keep-alive connection, which at-most-once work forbids.
//
// Every program uses it: towards runners, the platform's services and other
// programs' own HTTP interfaces. It owns its connections.
package httpcall

import (
	"bufio"
	"context"
	"crypto/tls"
	"fmt"
	"net/url"
	"sync"

	"github.com/valyala/fasthttp"
)

// Client keeps idle connections per address.
type Client struct {
	tls *tls.Config

	mutex sync.Mutex
	idle  map[string][]*conn
}

// NewClient returns a client; tlsConfig serves https addresses and may be nil.
func NewClient(tlsConfig *tls.Config) *Client {
	return &Client{tls: tlsConfig, idle: map[string][]*conn{}}
}

// Request is one exchange.
type Request struct {
	Method string
	// URL is absolute.
	URL     string
	Headers [][2]string
	Body    []byte
	// FreshConnection forbids a kept connection, so a stale one cannot blur the outcome.
	FreshConnection bool
	// Target is the request target exactly as it is to be written; empty takes
	// the URL's.
	Target string
	// Host replaces the address in the Host header; empty keeps the address.
	Host string
	// Matches tells an answer to this request from one that came too late for an
	// earlier one, which is read and dropped; nil takes any.
	Matches func(*fasthttp.ResponseHeader) bool
	// Proceed is asked once a connection is there, right before the first byte
	// is written; false ends the call as not sent. nil asks nothing.
	Proceed func() bool
}

// Do sends the request and reads the answer's header. When the context ends
// the connection is closed, which also ends reads of the body.
func (c *Client) Do(ctx context.Context, request *Request) (*Response, error) {
	parsed, err := url.Parse(request.URL)
	if err != nil || parsed.Host == "" {
		return nil, &NotSentError{fmt.Errorf("bad URL %q", request.URL)}
	}
	connection, err := c.connect(ctx, parsed, request.FreshConnection)
	if err != nil {
		return nil, &NotSentError{err}
	}
	unwatch := context.AfterFunc(ctx, func() { _ = connection.Close() })
	response, err := c.exchange(connection, parsed, request)
	if err != nil {
		unwatch()
		connection.end()
		return nil, classify(ctx, connection, err)
	}
	response.unwatch = unwatch
	return response, nil
}

func classify(ctx context.Context, connection *conn, err error) error {
	if ctx.Err() != nil {
		err = ctx.Err()
	}
	if connection.written.Load() == 0 {
		return &NotSentError{err}
	}
	return &UnansweredError{err}
}

func (c *Client) exchange(connection *conn, target *url.URL, request *Request) (*Response, error) {
	connection.written.Store(0)
	if request.Proceed != nil && !request.Proceed() {
		return nil, ErrWithdrawn
	}
	wire := fasthttp.AcquireRequest()
	wire.Header.SetMethod(request.Method)
	wire.Header.SetNoDefaultContentType(true)
	wire.SetRequestURI(target.RequestURI())
	if request.Target != "" {
		wire.SetRequestURI(request.Target)
	}
	wire.Header.SetHost(target.Host)
	if request.Host != "" {
		wire.Header.SetHost(request.Host)
		wire.UseHostHeader = true
	}
	for _, header := range request.Headers {
		wire.Header.Set(header[0], header[1])
	}
	if request.Body != nil {
		wire.SetBodyRaw(request.Body)
	}
	if len(request.Body) <= bufferBytes {
		defer fasthttp.ReleaseRequest(wire)
		if err := writeRequest(connection, wire); err != nil {
			return nil, err
		}
		return c.readAnswer(connection, request)
	}
	return c.exchangeLong(connection, wire, request)
}

func writeRequest(connection *conn, wire *fasthttp.Request) error {
	writer := bufio.NewWriterSize(connection, bufferBytes)
	if err := wire.Write(writer); err != nil {
		return err
	}
	return writer.Flush()
}

// exchangeLong writes a long body while it waits for the answer, which a
// server may give before it has read the body. Such a connection is not used
// again: the rest of the body is still due on it.
func (c *Client) exchangeLong(connection *conn, wire *fasthttp.Request, request *Request) (*Response, error) {
	written := make(chan error, 1)
	connection.writing.Go(func() {
		defer fasthttp.ReleaseRequest(wire)
		written <- writeRequest(connection, wire)
	})
	response, err := c.readAnswer(connection, request)
	if err != nil {
		return nil, err
	}
	select {
	case writeErr := <-written:
		response.reusable = response.reusable && writeErr == nil
	default:
		response.reusable = false
	}
	return response, nil
}
