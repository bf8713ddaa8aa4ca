package openai

import (
	"context"
	"syscall"
	"time"

	"github.com/gofiber/fiber/v3"

	"cobaltramp.example/cobaltramp/internal/app/result"
	"cobaltramp.example/cobaltramp/internal/app/tasks"
	"cobaltramp.example/cobaltramp/internal/transport/sockets"
)

// hangUpPoll is how often a waiting request looks whether its caller is still
// there. fasthttp does not notify a running handler that the caller hung up.
const hangUpPoll = 250 * time.Millisecond

// callerContext returns a context that ends at the timeout or when the caller
// hangs up, whichever is first. stop must be called.
func callerContext(c fiber.Ctx, timeout time.Duration) (context.Context, func()) {
	ctx, cancelTimeout := context.WithTimeout(context.Background(), timeout)
	ctx, cancel := context.WithCancelCause(ctx)
	raw := sockets.Raw(c.RequestCtx().Conn())
	var watching tasks.Group
	if raw != nil {
		watching.Go(func() { watchHangUp(ctx, raw, cancel) })
	}
	return ctx, func() {
		cancel(nil)
		cancelTimeout()
		watching.Wait()
	}
}

func watchHangUp(ctx context.Context, raw syscall.RawConn, cancel context.CancelCauseFunc) {
	ticker := time.NewTicker(hangUpPoll)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			if sockets.Peek(raw) == sockets.Closed {
				cancel(result.New(result.CallerGone, "the caller hung up"))
				return
			}
		}
	}
}
