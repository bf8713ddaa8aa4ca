package openai

import (
	"io"

	"github.com/gofiber/fiber/v3"

	"cobaltramp.example/cobaltramp/internal/app/result"
)

// readLimited returns a copy of a request's body. If the server provides the body as a
// stream, readLimited returns BodyTooLarge for a stream longer than limit bytes, and
// InvalidRequest if the stream cannot be read to its end. It does not check the length
// of a body that the server has already read.
func readLimited(c fiber.Ctx, limit int) ([]byte, error) {
	stream := c.RequestCtx().RequestBodyStream()
	if stream == nil {
		return append([]byte(nil), c.Request().Body()...), nil
	}
	body, err := io.ReadAll(io.LimitReader(stream, int64(limit)+1))
	if err != nil {
		return nil, result.New(result.InvalidRequest, "the body broke off: %v", err)
	}
	if len(body) > limit {
		return nil, result.New(result.BodyTooLarge, "the body has more than %d bytes", limit)
	}
	return body, nil
}

// maxDiscardedBytes is the maximum number of bytes read from the body of a refused
// request.
const maxDiscardedBytes = 64 << 20

// discardBody reads the rest of a refused request's body, up to maxDiscardedBytes.
// Closing a connection with unread bytes would reset the connection, and a caller that
// is still sending would see the reset instead of the error response.
func discardBody(c fiber.Ctx) {
	if stream := c.RequestCtx().RequestBodyStream(); stream != nil {
		_, _ = io.CopyN(io.Discard, stream, maxDiscardedBytes) // the error response is sent even if this fails
	}
}
