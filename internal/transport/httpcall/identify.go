package httpcall

import (
	"io"
	"time"

	"github.com/valyala/fasthttp"
	"k8s.io/klog/v2"
)

// A server that fails may send more than the responses that are due. What is read first after a
// request is therefore not always the response to it: it may belong to an earlier request on the
// connection, or to none.

// namedRequest is the request that a response names.
type namedRequest string

const (
	namesThisRequest  namedRequest = "this"
	namesOtherRequest namedRequest = "other"
	namesNoRequest    namedRequest = "none"
)

// namedBy returns which request a response on a connection names. A response that need not name its
// request is taken for that to this one, unless it names an earlier one.
func (r *Request) namedBy(header *fasthttp.ResponseHeader, connection *conn) namedRequest {
	if r.ResponseID == nil {
		return namesThisRequest
	}
	id := r.ResponseID(header)
	switch {
	case id != "" && id == r.ID:
		return namesThisRequest
	case connection.hasCarried(id):
		return namesOtherRequest
	case !r.RequireID:
		return namesThisRequest
	case id == "":
		return namesNoRequest
	default:
		return namesOtherRequest
	}
}

// Provenance tells how a response came, for logs.
type Provenance struct {
	ConnectionUse
	// Dropped is the number of responses that were dropped before this one because they did not
	// name the request.
	Dropped int
	// After is the time from the start of the exchange to the header of the response.
	After time.Duration
}

// maxDroppedResponses is the number of responses to other requests that may precede the response
// to a request.
const maxDroppedResponses = 2

// readResponse reads the header of the response to this request. It drops responses that do not
// name the request; the connection is then not reused. It returns ErrUnmatchedResponse if it can't
// drop one, or after more than maxDroppedResponses.
func (c *Client) readResponse(connection *conn, request *Request) (*Response, error) {
	for dropped := range maxDroppedResponses + 1 {
		response, err := c.readHeader(connection)
		if err != nil {
			return nil, err
		}
		response.Provenance = Provenance{ConnectionUse: connection.use(), Dropped: dropped, After: time.Since(connection.exchangeBegan)}
		named := request.namedBy(response.Header, connection)
		if named == namesThisRequest {
			response.reusable = response.reusable && dropped == 0
			return response, nil
		}
		mayDrop := response.mayDrop(named)
		klog.InfoS("response does not name its request", "address", connection.key, "id", request.ID, "status", response.Status, "names", string(named),
			"connection", response.Provenance.LocalAddress, "exchange", connection.exchanges, "afterMs", response.Provenance.After.Milliseconds(), "dropped", mayDrop)
		if !mayDrop {
			break
		}
		if _, err := io.Copy(io.Discard, asReader(response)); err != nil {
			return nil, err
		}
	}
	return nil, ErrUnmatchedResponse
}

// mayDrop reports whether the response to the request may follow a response that does not name it.
// The first response on a connection belongs to no earlier request, so that one that names no
// request is all that the server sends. A response must be short to be dropped.
func (r *Response) mayDrop(named namedRequest) bool {
	if named == namesNoRequest && r.Provenance.Exchange == 1 {
		return false
	}
	length := r.Header.ContentLength()
	return length >= 0 && length <= maxDiscardBytes
}
