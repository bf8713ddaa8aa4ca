// Package httpcall is an HTTP/1.1 client for requests that must run at most once. It
// never retries, and its errors tell whether any byte of the request was sent.
//
// The client uses the request and response codecs of fasthttp on its own connections. It does not
// use fasthttp's own client, which may send a request again when an idle connection turns out to be
// closed: a request that must run at most once could then run twice.
//
// All programs use the package to call runners, services of the platform and the HTTP
// interfaces of other programs.
package httpcall

import (
	"bufio"
	"context"
	"crypto/tls"
	"fmt"
	"net/url"
	"sync"
	"time"

	"github.com/valyala/fasthttp"
)

// Client sends requests and keeps idle connections for reuse.
type Client struct {
	tls *tls.Config

	mutex sync.Mutex
	idle  map[string][]*conn
	// lastSilence is the latest exchange that was ended because the server sent nothing.
	lastSilence silentExchange
}

// NewClient returns a client. It uses tlsConfig, which may be nil, for https URLs.
func NewClient(tlsConfig *tls.Config) *Client {
	return &Client{tls: tlsConfig, idle: map[string][]*conn{}}
}

// Request describes a request for Client.Do.
type Request struct {
	Method string
	// URL must be absolute and contain a port.
	URL     string
	Headers [][2]string
	Body    []byte
	// FreshConnection demands a new connection. A request on an idle connection may fail
	// without a known outcome if the server closes the connection at that moment.
	FreshConnection bool
	// Target is the request target, which is sent unchanged. If empty, the target is
	// taken from the URL.
	Target string
	// Host is the value of the Host header. If empty, the address in the URL is sent.
	Host string
	// ID identifies the request in ResponseID. The request is not sent on a connection that has
	// carried a request with the same ID: a repeated response to the earlier one could not be
	// told from the response to this one. Empty if responses do not name their requests.
	ID string
	// ResponseID returns the ID of the request that a response names; empty if it names none. A
	// response to another request is dropped, and its connection is not reused. If ResponseID is
	// nil, every response is taken for that to this request.
	ResponseID func(*fasthttp.ResponseHeader) string
	// RequireID demands that the response names this request. Otherwise only a response that
	// names an earlier request on the connection belongs to another one.
	RequireID bool
	// BeforeWrite is called when the connection is open, right before the first byte is
	// written. If it returns false, the request is not sent and Do returns a
	// NotSentError with ErrWithdrawn, or with the context's error if the context has
	// ended. It may be nil.
	BeforeWrite func(ConnectionUse) bool
}

// ConnectionUse identifies an exchange on a connection, for logs.
type ConnectionUse struct {
	// LocalAddress identifies the connection, together with the address of the server.
	LocalAddress string
	// Exchange counts the exchanges on the connection, from 1.
	Exchange int
}

// Do sends the request and reads the header of the response. Its errors are of type
// *NotSentError or *NoResponseError. If the context ends before the response is closed,
// the connection is closed, and reads of the body fail.
func (c *Client) Do(ctx context.Context, request *Request) (*Response, error) {
	parsed, err := url.Parse(request.URL)
	if err != nil || parsed.Host == "" {
		return nil, &NotSentError{fmt.Errorf("bad URL %q", request.URL)}
	}
	connection, err := c.connectFor(ctx, parsed, request)
	if err != nil {
		return nil, &NotSentError{err}
	}
	return c.doOn(ctx, connection, parsed, request)
}

// doOn sends the request on a connection, as Do does.
func (c *Client) doOn(ctx context.Context, connection *conn, target *url.URL, request *Request) (*Response, error) {
	stopContextWatch := context.AfterFunc(ctx, func() { _ = connection.Close() })
	response, err := c.exchange(connection, target, request)
	if err != nil {
		stopContextWatch()
		connection.closeAndWait()
		if ctx.Err() != nil {
			c.recordAbandoned(connection, time.Now())
		}
		return nil, classify(ctx, connection, err)
	}
	response.stopContextWatch = stopContextWatch
	return response, nil
}

func classify(ctx context.Context, connection *conn, err error) error {
	if ctx.Err() != nil {
		err = ctx.Err()
	}
	if connection.written.Load() == 0 {
		return &NotSentError{err}
	}
	return &NoResponseError{err}
}

func (c *Client) exchange(connection *conn, target *url.URL, request *Request) (*Response, error) {
	connection.written.Store(0)
	connection.exchangeBegan = time.Now()
	connection.begin(request.ID)
	if request.BeforeWrite != nil && !request.BeforeWrite(connection.use()) {
		return nil, ErrWithdrawn
	}
	outgoing := fasthttp.AcquireRequest()
	outgoing.Header.SetMethod(request.Method)
	outgoing.Header.SetNoDefaultContentType(true)
	outgoing.SetRequestURI(target.RequestURI())
	if request.Target != "" {
		outgoing.SetRequestURI(request.Target)
	}
	outgoing.Header.SetHost(target.Host)
	if request.Host != "" {
		outgoing.Header.SetHost(request.Host)
		outgoing.UseHostHeader = true
	}
	for _, header := range request.Headers {
		outgoing.Header.Set(header[0], header[1])
	}
	if request.Body != nil {
		outgoing.SetBodyRaw(request.Body)
	}
	if len(request.Body) <= bufferBytes {
		defer fasthttp.ReleaseRequest(outgoing)
		if err := writeRequest(connection, outgoing); err != nil {
			return nil, err
		}
		return c.readResponse(connection, request)
	}
	return c.exchangeLongBody(connection, outgoing, request)
}

func writeRequest(connection *conn, outgoing *fasthttp.Request) error {
	writer := bufio.NewWriterSize(connection, bufferBytes)
	if err := outgoing.Write(writer); err != nil {
		return err
	}
	return writer.Flush()
}

// exchangeLongBody writes a long body and reads the response at the same time, since a
// server may respond before it has read the whole body. If the body is not completely
// written when the response arrives, the connection is not reused.
func (c *Client) exchangeLongBody(connection *conn, outgoing *fasthttp.Request, request *Request) (*Response, error) {
	written := make(chan error, 1)
	connection.bodyWrite.Go(func() {
		defer fasthttp.ReleaseRequest(outgoing)
		written <- writeRequest(connection, outgoing)
	})
	response, err := c.readResponse(connection, request)
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
