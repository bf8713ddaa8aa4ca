package httpcall

import (
	"errors"
	"fmt"
	"io"
	"net/http/httputil"
	"strings"
	"time"

	"github.com/valyala/fasthttp"
)

// Response is the response to a request. Its body is read from the connection by Read.
// The caller must call Close, ReadAll or Discard.
type Response struct {
	Status int
	Header *fasthttp.ResponseHeader
	// Provenance tells how the response came.
	Provenance Provenance

	client  *Client
	conn    *conn
	body    io.Reader
	chunked bool
	// endsWithConnection is set if only the end of the connection ends the body.
	endsWithConnection bool
	reusable           bool
	finished           bool
	stopContextWatch   func() bool
}

// maxInterimResponses is the number of interim responses (status 1xx) that may precede a response.
const maxInterimResponses = 8

// readHeader reads the header of the next response that is not an interim one.
func (c *Client) readHeader(connection *conn) (*Response, error) {
	header := &fasthttp.ResponseHeader{}
	for range maxInterimResponses + 1 {
		if err := checkStatusLine(connection.reader); err != nil {
			return nil, err
		}
		if err := header.Read(connection.reader); err != nil {
			return nil, err
		}
		if header.StatusCode() >= fasthttp.StatusOK {
			return c.newResponse(connection, header), nil
		}
	}
	return nil, ErrTooManyInterimResponses
}

// newResponse returns the response with a header that was read from a connection.
func (c *Client) newResponse(connection *conn, header *fasthttp.ResponseHeader) *Response {
	response := &Response{Status: header.StatusCode(), Header: header, client: c, conn: connection}
	length := header.ContentLength()
	switch {
	case response.Status == fasthttp.StatusNoContent || response.Status == fasthttp.StatusNotModified:
		response.body = strings.NewReader("") // these have no body, whatever their headers say (RFC 9112, 6.3)
		response.reusable = !header.ConnectionClose()
	case length >= 0:
		response.body = io.LimitReader(connection.reader, int64(length))
		response.reusable = !header.ConnectionClose()
	case length == -1:
		response.body = httputil.NewChunkedReader(connection.reader)
		response.chunked = true
		response.reusable = !header.ConnectionClose()
	default:
		response.body = connection.reader
		response.endsWithConnection = true
	}
	return response
}

// EndsWithConnection reports whether the response has a body with neither a length nor chunks, which
// ends when the server closes the connection.
func (r *Response) EndsWithConnection() bool { return r.endsWithConnection }

// Read reads the body. It returns io.EOF only at the end of the body, and an error if the
// connection closes before the declared end. A body without a declared length ends when
// the server closes the connection.
func (r *Response) Read(buffer []byte) (int, error) {
	n, err := r.body.Read(buffer)
	if errors.Is(err, io.EOF) {
		limited, ok := r.body.(*io.LimitedReader)
		if ok && limited.N > 0 {
			return n, io.ErrUnexpectedEOF
		}
		r.finished = true
	}
	return n, err
}

// ReadAll reads the body and closes the response. It fails if the body exceeds limit
// bytes.
func (r *Response) ReadAll(limit int64) ([]byte, error) {
	defer r.Close()
	body, err := io.ReadAll(io.LimitReader(asReader(r), limit+1))
	if err != nil {
		return nil, err
	}
	if int64(len(body)) > limit {
		return nil, fmt.Errorf("answer exceeds %d bytes", limit)
	}
	return body, nil
}

func asReader(r *Response) io.Reader { return r }

// Close keeps the connection for reuse if the body was read to its end, the context has not
// ended, and the server keeps the connection open. Otherwise it closes the connection.
// Further calls have no effect.
func (r *Response) Close() {
	if r.conn == nil {
		return
	}
	connection := r.conn
	r.conn = nil
	contextActive := r.stopContextWatch == nil || r.stopContextWatch()
	if !contextActive && !r.finished {
		r.client.recordAbandoned(connection, time.Now())
	}
	if !contextActive || !r.finished || !r.reusable || !r.skipTrailer(connection) {
		connection.closeAndWait()
		return
	}
	if connection.reader.Buffered() > 0 {
		connection.closeAndWait() // unexpected bytes after the response
		return
	}
	connection.idleLimit = serverIdleTimeout(r.Header)
	r.client.putIdle(connection)
}

// trailerTimeout bounds the wait for the empty line after the last chunk.
const trailerTimeout = 100 * time.Millisecond

// skipTrailer reads the line after the last chunk of a chunked body, and reports whether
// that line is empty, as it is if there are no trailer fields.
func (r *Response) skipTrailer(connection *conn) bool {
	if !r.chunked {
		return true
	}
	_ = connection.SetReadDeadline(time.Now().Add(trailerTimeout))
	line, err := connection.reader.ReadSlice('\n') // fails on a line that exceeds the buffer
	_ = connection.SetReadDeadline(time.Time{})
	return err == nil && string(line) == "\r\n"
}

// maxDiscardBytes bounds a body that is read only so that its connection can be reused.
const maxDiscardBytes = 64 << 10

// discardTimeout bounds the time for such a body.
const discardTimeout = 100 * time.Millisecond

// Discard closes the response. If the response declares a Content-Length of at most
// maxDiscardBytes, Discard reads the body first, for discardTimeout at the most, so that the
// connection can be reused.
func (r *Response) Discard() {
	length := r.Header.ContentLength()
	if length >= 0 && length <= maxDiscardBytes {
		_ = r.conn.SetReadDeadline(time.Now().Add(discardTimeout))
		_, _ = io.Copy(io.Discard, asReader(r))
		_ = r.conn.SetReadDeadline(time.Time{})
	}
	r.Close()
}
