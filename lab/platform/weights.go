package platform

import (
	"bufio"
	"strconv"
	"time"

	"github.com/gofiber/fiber/v3"
	"github.com/valyala/fasthttp"
)

// serveWeights streams zero bytes at the rate of the weight store, which all clients
// share.
func (p *Platform) serveWeights(c fiber.Ctx) error {
	total, err := strconv.ParseInt(c.Query("bytes"), 10, 64)
	if err != nil {
		return c.SendStatus(fiber.StatusBadRequest)
	}
	c.RequestCtx().SetBodyStreamWriter(fasthttp.StreamWriter(func(writer *bufio.Writer) {
		chunk := make([]byte, weightChunkBytes)
		for sent := int64(0); sent < total; {
			size := min(int64(len(chunk)), total-sent)
			reservation := p.weightLimiter.ReserveN(time.Now(), int(size))
			time.Sleep(reservation.Delay())
			if _, err := writer.Write(chunk[:size]); err != nil || writer.Flush() != nil {
				return
			}
			sent += size
		}
	}))
	return nil
}
