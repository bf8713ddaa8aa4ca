// Package sockets configures TCP connections to detect dead peers, and checks the state of
// a connection without reading from it.
package sockets

import (
	"errors"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// State is the state of a socket.
type State uint8

// States of a socket.
const (
	// Idle means that the connection is open and there is nothing to read.
	Idle State = iota
	// Readable means that there are bytes to read.
	Readable
	// Closed means that the peer has closed the connection or that the connection failed.
	Closed
)

// TCP settings that determine how soon the loss of a peer is detected.
const (
	keepAliveIdle     = time.Second
	keepAliveInterval = 500 * time.Millisecond
	keepAliveCount    = 4
	// userTimeout bounds how long sent bytes may stay unacknowledged (TCP_USER_TIMEOUT).
	userTimeout = 2500 * time.Millisecond
)

// Dialer returns a dialer whose connections detect a dead peer within a few seconds,
// whether or not there are unacknowledged bytes.
func Dialer(timeout time.Duration) *net.Dialer {
	return &net.Dialer{Timeout: timeout, KeepAliveConfig: keepAlive(), Control: setUserTimeout}
}

// ListenConfig returns a configuration for listeners whose accepted connections detect a
// dead peer as those of Dialer do.
func ListenConfig() *net.ListenConfig {
	return &net.ListenConfig{KeepAliveConfig: keepAlive(), Control: setUserTimeout}
}

func keepAlive() net.KeepAliveConfig {
	return net.KeepAliveConfig{Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount}
}

// setUserTimeout sets TCP_USER_TIMEOUT. Errors are ignored, since keep-alive probes work
// without the option.
func setUserTimeout(_, _ string, raw syscall.RawConn) error {
	return raw.Control(func(descriptor uintptr) {
		_ = unix.SetsockoptInt(int(descriptor), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout.Milliseconds()))
	})
}

type unwrapper interface{ NetConn() net.Conn }

// Raw returns the socket below connection wrappers such as TLS. It returns nil if there is
// no socket or if the socket cannot be accessed.
func Raw(conn net.Conn) syscall.RawConn {
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

// Peek returns the state of a socket without blocking and without consuming bytes. The read
// deadline of the connection has no effect on it.
func Peek(raw syscall.RawConn) State {
	state := Closed
	err := raw.Control(func(descriptor uintptr) {
		var buffer [1]byte
		n, _, err := unix.Recvfrom(int(descriptor), buffer[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		switch {
		case errors.Is(err, unix.EAGAIN) || errors.Is(err, unix.EINTR):
			state = Idle
		case err == nil && n > 0:
			state = Readable
		}
	})
	if err != nil {
		return Closed
	}
	return state
}
