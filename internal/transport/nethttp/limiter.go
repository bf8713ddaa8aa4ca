package nethttp

import (
	"container/list"
	"context"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	// minIdleTime is how long a connection must have been idle to be closed for a new one. It
	// covers the rest of the last response, and the first request of a new connection.
	minIdleTime = 500 * time.Millisecond
	// crowdedShare is the share of the maximum number of connections from which on responses
	// ask clients to close their connections.
	crowdedShare = 0.75
)

// ConnectionLimiter limits the number of open connections of an endpoint. At the limit it
// closes the connection that has been idle for longest. If none has been idle for minIdleTime,
// it closes the new connection before anything is read from it, so that its client can retry
// at another node. A connection with a request in progress is never closed.
//
// The limiter guards against the loss of requests that were read: without descriptors for
// connections to runners, or without memory, a node cannot serve them.
type ConnectionLimiter struct {
	// Maximum is the maximum number of open connections; 0 means no limit.
	Maximum int
	// Overload admits new connections while the process is overloaded; nil admits all.
	Overload *OverloadGate
	// OnClose is called for each connection that is closed, and for each that is closed
	// unread; nil ignores them.
	OnClose func(reason CloseReason)

	mutex sync.Mutex
	open  int
	// idle contains the *limitedConn without a request in progress, the one that became idle
	// first at the front.
	idle list.List
}

// CloseReason is why a ConnectionLimiter closed a connection.
type CloseReason string

// The reasons for closing a connection.
const (
	// CloseIdle means that an idle connection made room for a new one.
	CloseIdle CloseReason = "idle"
	// CloseUnread means that there was no room for a new connection.
	CloseUnread CloseReason = "unread"
	// CloseOverload means that a new connection was not admitted by the OverloadGate.
	CloseOverload CloseReason = "overload"
)

// limitedListener is a listener whose connections a limiter admits.
type limitedListener struct {
	net.Listener
	limiter *ConnectionLimiter
}

// Accept implements net.Listener.
func (l *limitedListener) Accept() (net.Conn, error) {
	for {
		raw, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if !l.limiter.Overload.Admit() {
			l.limiter.close(raw, CloseOverload)
			continue
		}
		conn, evicted := l.limiter.admit(raw, time.Now())
		l.limiter.close(evicted, CloseIdle)
		if conn != nil {
			return conn, nil
		}
		l.limiter.close(raw, CloseUnread)
	}
}

// close closes a connection, if there is one, and reports it.
func (l *ConnectionLimiter) close(conn net.Conn, reason CloseReason) {
	if conn == nil {
		return
	}
	_ = conn.Close() // the connection is given up in any case
	if l.OnClose != nil {
		l.OnClose(reason)
	}
}

// admit returns the limited form of a new connection, or nil if there is no room for it. If
// another connection has to be closed, it is returned as evicted.
func (l *ConnectionLimiter) admit(raw net.Conn, now time.Time) (admitted, evicted net.Conn) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.Maximum > 0 && l.open >= l.Maximum {
		oldest := l.idle.Front()
		if oldest == nil || now.Sub(oldest.Value.(*limitedConn).idleSince) < minIdleTime {
			return nil, nil
		}
		victim := oldest.Value.(*limitedConn)
		l.forget(victim)
		evicted = victim.Conn
	}
	conn := &limitedConn{Conn: raw, limiter: l, idleSince: now}
	conn.element = l.idle.PushBack(conn)
	l.open++
	return conn, evicted
}

// forget removes a connection from the count. The caller holds the mutex.
func (l *ConnectionLimiter) forget(conn *limitedConn) {
	if conn.forgotten {
		return
	}
	conn.forgotten = true
	l.open--
	if conn.element != nil {
		l.idle.Remove(conn.element)
		conn.element = nil
	}
}

// crowded reports whether clients should close their connections after a response.
func (l *ConnectionLimiter) crowded() bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.Maximum > 0 && float64(l.open) >= crowdedShare*float64(l.Maximum)
}

// connKey is the context key of the connection of a request.
type connKey struct{}

// connContext adds a connection to the context of its requests; see http.Server.ConnContext.
func connContext(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, conn)
}

// handler returns a handler that marks connections as busy while next serves a request. It
// aborts a request that arrived while its connection was being closed.
func (l *ConnectionLimiter) handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		conn, limited := request.Context().Value(connKey{}).(*limitedConn)
		if limited {
			if !conn.begin() {
				panic(http.ErrAbortHandler)
			}
			defer conn.end()
		}
		if l.crowded() {
			writer.Header().Set("Connection", "close")
		}
		next.ServeHTTP(writer, request)
	})
}

// limitedConn is a connection that a limiter has admitted. The limiter's mutex guards its
// fields.
type limitedConn struct {
	net.Conn
	limiter   *ConnectionLimiter
	element   *list.Element // its place in the limiter's idle list; nil while it is busy
	idleSince time.Time
	forgotten bool // closed, or about to be
}

// begin marks the connection as busy. It returns false if the connection is being closed.
func (c *limitedConn) begin() bool {
	c.limiter.mutex.Lock()
	defer c.limiter.mutex.Unlock()
	if c.forgotten {
		return false
	}
	c.limiter.idle.Remove(c.element)
	c.element = nil
	return true
}

// end marks the connection as idle.
func (c *limitedConn) end() {
	c.limiter.mutex.Lock()
	defer c.limiter.mutex.Unlock()
	if c.forgotten {
		return
	}
	c.idleSince = time.Now()
	c.element = c.limiter.idle.PushBack(c)
}

// Close implements net.Conn.
func (c *limitedConn) Close() error {
	c.limiter.mutex.Lock()
	c.limiter.forget(c)
	c.limiter.mutex.Unlock()
	return c.Conn.Close()
}

// NetConn returns the underlying connection, whose socket package sockets can check.
func (c *limitedConn) NetConn() net.Conn { return c.Conn }
