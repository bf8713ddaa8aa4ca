// Package nethttp runs a net/http server on one address and can drain it, so that running
// requests complete before the server stops. Edges and storage nodes serve callers,
// readiness checks and metrics with it. Plain nodes use package httpserve.
package nethttp

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"github.com/gravitational/trace"
	"k8s.io/klog/v2"

	"cobaltramp.example/cobaltramp/internal/app/tasks"
	"cobaltramp.example/cobaltramp/internal/transport/sockets"
)

// RequestLimits are the limits for requests and connections of clients. A duration of zero
// means no limit, and HeaderBytes of zero means http.DefaultMaxHeaderBytes.
type RequestLimits struct {
	// HeaderTimeout bounds the time for reading the header of a request.
	HeaderTimeout time.Duration
	// IdleTimeout bounds how long a connection may be idle between two requests.
	IdleTimeout time.Duration
	// HeaderBytes bounds the size of the header of a request.
	HeaderBytes int
	// Connections limits the number of connections; nil means no limit.
	Connections *ConnectionLimiter
}

// Endpoint is an HTTP server on one address.
type Endpoint struct {
	http    *http.Server
	address string
	running tasks.Group
}

// Start listens on the address and serves requests in the background until Drain or Close
// is called. The context applies only to opening the listener.
func Start(ctx context.Context, address string, handler http.Handler, limits RequestLimits) (*Endpoint, error) {
	listener, err := sockets.ListenConfig().Listen(ctx, "tcp", address)
	if err != nil {
		return nil, trace.Wrap(err, "listening on %s", address)
	}
	e := &Endpoint{address: listener.Addr().String(), http: &http.Server{
		Handler: handler, ReadHeaderTimeout: limits.HeaderTimeout, IdleTimeout: limits.IdleTimeout, MaxHeaderBytes: limits.HeaderBytes,
	}}
	if limits.Connections != nil {
		listener = &limitedListener{listener, limits.Connections}
		e.http.Handler, e.http.ConnContext = limits.Connections.handler(handler), connContext
	}
	e.running.Go(func() { e.serve(listener) })
	return e, nil
}

func (e *Endpoint) serve(listener net.Listener) {
	if err := e.http.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		klog.ErrorS(err, "HTTP server failed", "address", e.address)
	}
}

// Address returns the address of the listener.
func (e *Endpoint) Address() string { return e.address }

// Drain continues to accept connections and requests until the grace period or the context
// ends. It then closes the listener and waits for the running requests. It returns an error
// if the context ends before all requests have completed.
func (e *Endpoint) Drain(ctx context.Context, gracePeriod time.Duration) error {
	timer := time.NewTimer(gracePeriod)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
	return trace.Wrap(e.http.Shutdown(ctx))
}

// Close closes the listener and all connections, and waits for the server to stop.
func (e *Endpoint) Close() {
	if err := e.http.Close(); err != nil {
		klog.V(1).InfoS("closing the HTTP server failed", "address", e.address, "err", err)
	}
	e.running.Wait()
}
