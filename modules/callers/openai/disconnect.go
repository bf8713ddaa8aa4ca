package openai

import (
	"context"
	"errors"
	"net"
	"syscall"
	"time"

	"github.com/gofiber/fiber/v3"
	"golang.org/x/sys/unix"

	"cobaltramp.example/cobaltramp/internal/result"
)

// hangUpPoll is how often a waiting request looks whether its caller is still
// there. fasthttp does not tell a running handler that the caller hung up.
const hangUpPoll = 250 * time.Millisecond

// callerContext returns a context that ends at the timeout or when the caller
// hangs up, whichever is first. stop must be called.
func callerContext(c fiber.Ctx, timeout time.Duration) (context.Context, func()) {
	ctx, cancelTimeout := context.WithTimeout(context.Background(), timeout)
	ctx, cancel := context.WithCancelCause(ctx)
	raw := rawConn(c.RequestCtx().Conn())
	if raw != nil {
		go watchHangUp(ctx, raw, cancel)
	}
	return ctx, func() {
		cancel(nil)
		cancelTimeout()
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
			if hungUp(raw) {
				cancel(result.New(result.CallerGone, "the caller hung up"))
				return
			}
		}
	}
}

type unwrapper interface{ NetConn() net.Conn }

// rawConn finds the socket beneath TLS and tracking layers.
func rawConn(conn net.Conn) syscall.RawConn {
	for {
		if socket, ok := conn.(syscall.Conn); ok {
			raw, err := socket.SyscallConn()
			if err != nil {
				return nil
			}
			return raw
		}
		wrapped, ok := conn.(unwrapper)
		if !ok {
			return nil
		}
		conn = wrapped.NetConn()
	}
}

// hungUp peeks at the socket: an end of stream or an error means the caller is
// gone; bytes or nothing mean it is there.
func hungUp(raw syscall.RawConn) bool {
	gone := false
	err := raw.Control(func(descriptor uintptr) {
		var buffer [1]byte
		n, _, err := unix.Recvfrom(int(descriptor), buffer[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		waiting := errors.Is(err, unix.EAGAIN) || errors.Is(err, unix.EINTR)
		gone = (err != nil && !waiting) || (err == nil && n == 0)
	})
	return gone || err != nil
}
