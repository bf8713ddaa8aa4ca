package httpcall

import (
	"errors"
	"fmt"
	"io"
	"net/http/httputil"
	"time"

	"github.com/valyala/fasthttp"
)

// Response is an answer whose body is read as it comes. Close must be called.
type Response struct {
	Status int
	Header *fasthttp.ResponseHeader

	client   *Client
	conn     *conn
	body     io.Reader
	chunked  bool
	reusable bool
	finished bool
	unwatch  func() bool
}

// maxStrays bounds the answers to earlier requests that are dropped.
const maxStrays = 2

// readAnswer reads the head of the answer to this request.
func (c *Client) readAnswer(connection *conn, request *Request) (*Response, error) {
	for range maxStrays + 1 {
		response, err := c.readHeader(connection)
		if err != nil {
			return nil, err
		}
		if request.Matches == nil || request.Matches(response.Header) {
			return response, nil
		}
		if response.Header.ContentLength() < 0 {
			break
		}
		if _, err := io.Copy(io.Discard, readerOf(response)); err != nil {
			return nil, err
		}
	}
	return nil, ErrStray
}

func (c *Client) readHeader(connection *conn) (*Response, error) {
	header := &fasthttp.ResponseHeader{}
	if err := header.Read(connection.reader); err != nil {
		return nil, err
	}
	response := &Response{Status: header.StatusCode(), Header: header, client: c, conn: connection}
	length := header.ContentLength()
	switch {
	case length >= 0:
		response.body = io.LimitReader(connection.reader, int64(length))
		response.reusable = !header.ConnectionClose()
	case length == -1:
		response.body = httputil.NewChunkedReader(connection.reader)
		response.chunked = true
		response.reusable = !header.ConnectionClose()
	default:
		response.body = connection.reader
	}
	return response, nil
}

// Read reads the body. io.EOF is returned only at the body's declared end.
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

// ReadAll reads the body up to limit bytes and closes the response.
func (r *Response) ReadAll(limit int64) ([]byte, error) {
	defer r.Close()
	body, err := io.ReadAll(io.LimitReader(readerOf(r), limit+1))
	if err != nil {
		return nil, err
	}
	if int64(len(body)) > limit {
		return nil, fmt.Errorf("answer exceeds %d bytes", limit)
	}
	return body, nil
}

func readerOf(r *Response) io.Reader { return r }

// Close returns the connection for reuse if the body was read to its end, else
// closes it, by which the server learns that the rest is not wanted.
func (r *Response) Close() {
	if r.conn == nil {
		return
	}
	connection := r.conn
	r.conn = nil
	live := r.unwatch == nil || r.unwatch()
	if !live || !r.finished || !r.reusable || !r.skipTrailer(connection) {
		connection.end()
		return
	}
	if connection.reader.Buffered() > 0 {
		connection.end() // bytes that nobody asked for
		return
	}
	connection.life = idleLife(r.Header)
	r.client.keep(connection)
}

// trailerTimeout bounds the wait for the empty line after the last chunk.
const trailerTimeout = 100 * time.Millisecond

// skipTrailer reads the empty line after the last chunk.
func (r *Response) skipTrailer(connection *conn) bool {
	if !r.chunked {
		return true
	}
	_ = connection.SetReadDeadline(time.Now().Add(trailerTimeout))
	line, err := connection.reader.ReadString('\n')
	_ = connection.SetReadDeadline(time.Time{})
	return err == nil && line == "\r\n"
}

// discardBytes bounds a body that is read only to keep its connection.
const discardBytes = 64 << 10

// Discard reads a short body, so that the connection can be kept, and closes
// the response.
func (r *Response) Discard() {
	length := r.Header.ContentLength()
	if length >= 0 && length <= discardBytes {
		_, _ = io.Copy(io.Discard, readerOf(r))
	}
	r.Close()
}
