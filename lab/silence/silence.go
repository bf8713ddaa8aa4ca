// Package silence emulates a network that loses open connections, with or without an error: a
// Listener can reset the connections that it has accepted, or make them silent. What their clients send is
// acknowledged and discarded, their clients receive nothing more, and neither end learns that
// the other has closed the connection. New connections work. The emulated store and runners
// use the package, and tests of connections between nodes.
package silence

import (
	"bytes"
	"errors"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"
)

// Listener is a listener whose open connections can be made silent.
type Listener struct {
	net.Listener

	mutex sync.Mutex
	open  map[*conn]bool
	// silent holds the silent connections, which stay open until the listener is closed.
	silent map[*conn]bool
}

// Wrap returns a Listener that accepts the connections of another listener.
func Wrap(listener net.Listener) *Listener {
	return &Listener{Listener: listener, open: map[*conn]bool{}, silent: map[*conn]bool{}}
}

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	accepted, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &conn{Conn: accepted, listener: l, silenced: make(chan struct{}), closed: make(chan struct{})}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.open[c] = true
	return c, nil
}

// Close implements net.Listener. It also closes the silent connections.
func (l *Listener) Close() error {
	err := l.Listener.Close()
	l.mutex.Lock()
	defer l.mutex.Unlock()
	for c := range l.silent {
		_ = c.Conn.Close() // the connection is not used any more
	}
	clear(l.silent)
	return err
}

// Silence makes all open connections silent, and returns their number.
func (l *Listener) Silence() int { return l.SilenceMatching(func([]byte) bool { return true }) }

// SilenceMatching makes the open connections silent for which match returns true, and returns
// their number. match receives the bytes that the server read last from the client.
func (l *Listener) SilenceMatching(match func(received []byte) bool) int {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	count := 0
	for c := range l.open {
		if match(c.lastReceived) {
			delete(l.open, c)
			l.silent[c] = true
			close(c.silenced)
			count++
		}
	}
	return count
}

// Reset resets all open connections, and returns their number.
func (l *Listener) Reset() int {
	l.mutex.Lock()
	open := l.open
	l.open = map[*conn]bool{}
	l.mutex.Unlock()
	for c := range open {
		c.wasReset.Store(true)
		if transport, ok := c.Conn.(*net.TCPConn); ok {
			_ = transport.SetLinger(0) // a connection that has ended needs no reset
		}
		_ = c.Conn.Close() // the connection is not used any more
	}
	return len(open)
}

// IsLost reports whether a connection that a Listener accepted was reset or has gone silent.
func IsLost(connection net.Conn) bool {
	accepted, ok := connection.(*conn)
	return ok && (accepted.isSilent() || accepted.wasReset.Load())
}

// errSilent is the server's error for writes to a silent connection. A real server gets it
// when its transport gives up.
var errSilent = errors.New("the connection has gone silent")

// conn is the server's end of a connection.
type conn struct {
	net.Conn
	listener *Listener
	// silenced is closed when the connection goes silent, and closed when the server has
	// closed it.
	silenced, closed chan struct{}
	closeOnce        sync.Once
	// wasReset is set if the Listener has reset the connection.
	wasReset atomic.Bool
	// lastReceived holds the bytes of the last read; the listener's mutex protects it.
	lastReceived []byte
}

// Read implements net.Conn. On a silent connection it discards what the client sends, and
// returns when the server closes the connection.
func (c *conn) Read(buffer []byte) (int, error) {
	n, err := c.Conn.Read(buffer)
	if !c.isSilent() {
		c.listener.mutex.Lock()
		c.lastReceived = bytes.Clone(buffer[:n])
		c.listener.mutex.Unlock()
		return n, err
	}
	for err == nil {
		_, err = c.Conn.Read(buffer)
	}
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return 0, err // the server's own deadline, or Close
	}
	<-c.closed
	return 0, net.ErrClosed
}

// Write implements net.Conn.
func (c *conn) Write(data []byte) (int, error) {
	if c.isSilent() {
		return 0, errSilent
	}
	return c.Conn.Write(data)
}

// Close implements net.Conn. The client of a silent connection does not learn of it.
func (c *conn) Close() error {
	c.closeOnce.Do(func() { close(c.closed) })
	c.listener.mutex.Lock()
	delete(c.listener.open, c)
	c.listener.mutex.Unlock()
	if c.isSilent() {
		return c.SetReadDeadline(time.Now()) // ends a pending Read
	}
	return c.Conn.Close()
}

func (c *conn) isSilent() bool {
	select {
	case <-c.silenced:
		return true
	default:
		return false
	}
}
