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

// disconnectPollInterval is the time between two checks whether the caller of a running
// request is still connected. fasthttp does not notify a handler when the caller
// disconnects.
const disconnectPollInterval = 250 * time.Millisecond

// callerContext returns a context that ends after the timeout or when the caller
// disconnects, whichever is first. Disconnects are detected only if the connection's
// socket is accessible. The returned function cancels the context and releases its
// resources; it must be called.
func callerContext(c fiber.Ctx, timeout time.Duration) (context.Context, func()) {
	ctx, cancelTimeout := context.WithTimeout(context.Background(), timeout)
	ctx, cancel := context.WithCancelCause(ctx)
	raw := sockets.Raw(c.RequestCtx().Conn())
	var watching tasks.Group
	if raw != nil {
		watching.Go(func() { watchDisconnect(ctx, raw, cancel) })
	}
	return ctx, func() {
		cancel(nil)
		cancelTimeout()
		watching.Wait()
	}
}

func watchDisconnect(ctx context.Context, raw syscall.RawConn, cancel context.CancelCauseFunc) {
	ticker := time.NewTicker(disconnectPollInterval)
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
