// Package httpserve serves a fiber application over HTTP. A server can be drained, or
// killed with all its connections as if its process had crashed. The plain node and the
// simulated services of the lab use it.
package httpserve

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"sync"
	"time"

	"github.com/gofiber/fiber/v3"
	"github.com/gravitational/trace"
	"k8s.io/klog/v2"

	"cobaltramp.example/cobaltramp/internal/app/tasks"
)

// Server serves one fiber application.
type Server struct {
	App *fiber.App

	listener *trackedListener
	serving  tasks.Group
}

// Listen listens on the address and returns a server; Serve starts serving. If tlsConfig
// is not nil, connections use TLS.
func Listen(address string, app *fiber.App, tlsConfig *tls.Config) (*Server, error) {
	raw, err := net.Listen("tcp", address)
	if err != nil {
		return nil, trace.Wrap(err, "listening on %s", address)
	}
	tracked := &trackedListener{Listener: raw, tls: tlsConfig, conns: map[net.Conn]struct{}{}}
	return &Server{App: app, listener: tracked}, nil
}

// Address returns the IP address and port of the listener.
func (s *Server) Address() string { return s.listener.Addr().String() }

// Serve starts serving in the background.
func (s *Server) Serve() {
	s.serving.Go(func() {
		err := s.App.Listener(s.listener, fiber.ListenConfig{DisableStartupMessage: true})
		if err != nil && !errors.Is(err, net.ErrClosed) {
			klog.ErrorS(err, "HTTP server failed", "address", s.Address())
		}
	})
}

// Shutdown stops accepting connections and waits until all running requests have ended or
// the context ends.
func (s *Server) Shutdown(ctx context.Context) {
	if err := s.App.ShutdownWithContext(ctx); err != nil {
		klog.V(2).InfoS("HTTP server did not shut down cleanly", "address", s.Address(), "err", err)
	}
}

// Kill closes the listener and all connections without waiting for running requests.
func (s *Server) Kill() {
	_ = s.listener.Close()
	s.listener.closeAll()
	ctx, cancel := context.WithTimeout(context.Background(), killTimeout)
	defer cancel()
	_ = s.App.ShutdownWithContext(ctx) // running requests are aborted intentionally
	s.serving.Wait()
}

// killTimeout bounds the shutdown of the fiber application in Kill.
const killTimeout = 50 * time.Millisecond

// trackedListener keeps a list of its open connections, so that Kill can close them.
type trackedListener struct {
	net.Listener
	tls *tls.Config

	mutex  sync.Mutex
	conns  map[net.Conn]struct{}
	killed bool
}

// Accept implements net.Listener.
func (l *trackedListener) Accept() (net.Conn, error) {
	raw, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.killed {
		_ = raw.Close()
		return nil, net.ErrClosed
	}
	tracked := &trackedConn{Conn: raw, listener: l}
	l.conns[tracked] = struct{}{}
	if l.tls != nil {
		return tls.Server(tracked, l.tls), nil
	}
	return tracked, nil
}

func (l *trackedListener) closeAll() {
	l.mutex.Lock()
	l.killed = true
	conns := make([]net.Conn, 0, len(l.conns))
	for conn := range l.conns {
		conns = append(conns, conn)
	}
	l.mutex.Unlock()
	for _, conn := range conns {
		_ = conn.Close()
	}
}

// trackedConn removes itself from its listener's list when it is closed.
type trackedConn struct {
	net.Conn
	listener *trackedListener
}

// Close implements net.Conn.
func (c *trackedConn) Close() error {
	c.listener.mutex.Lock()
	delete(c.listener.conns, c)
	c.listener.mutex.Unlock()
	return c.Conn.Close()
}

// NetConn returns the underlying connection, whose socket package sockets can check.
func (c *trackedConn) NetConn() net.Conn { return c.Conn }
