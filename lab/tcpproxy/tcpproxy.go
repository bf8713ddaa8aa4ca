// Package tcpproxy forwards TCP connections on the loopback interface and can make the open
// ones silent: the proxy keeps reading from them, so that both ends see their bytes
// acknowledged, but forwards nothing more. New connections work. Tests and the soak put it
// in front of the store, of runners and of nodes.
package tcpproxy

import (
	"bytes"
	"errors"
	"io"
	"net"
	"sync"
	"sync/atomic"

	"cobaltramp.example/cobaltramp/internal/app/tasks"
)

// copyBufferBytes is the size of the buffer of each direction of a connection.
const copyBufferBytes = 16 << 10

// Proxy forwards connections to one address.
type Proxy struct {
	target   string
	listener net.Listener
	running  tasks.Group

	mutex       sync.Mutex
	connections map[*connection]bool
	closed      bool
}

// connection is a pair of connections: from the client to the proxy, and from the proxy to
// the target.
type connection struct {
	client, upstream net.Conn
	// sentByClient holds the last bytes that the client sent, up to one buffer.
	sentByClient atomic.Pointer[[]byte]
	silent       atomic.Bool
}

// Start starts a proxy that listens on the address and forwards to the target, both IP:port.
func Start(address, target string) (*Proxy, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	p := &Proxy{target: target, listener: listener, connections: map[*connection]bool{}}
	p.running.Go(p.accept)
	return p, nil
}

// Address returns the IP:port at which the proxy listens.
func (p *Proxy) Address() string { return p.listener.Addr().String() }

// Close closes the listener and all connections.
func (p *Proxy) Close() {
	_ = p.listener.Close()
	p.mutex.Lock()
	p.closed = true
	for open := range p.connections {
		open.close()
	}
	p.mutex.Unlock()
	p.running.Wait()
}

// Silence makes all open connections silent for good, and returns their number.
func (p *Proxy) Silence() int {
	return p.SilenceMatching(func([]byte) bool { return true })
}

// SilenceMatching makes the open connections silent for which match returns true, and returns
// their number. match receives the last bytes that the client sent, up to one buffer.
func (p *Proxy) SilenceMatching(match func(sent []byte) bool) int {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	count := 0
	for open := range p.connections {
		var sent []byte
		if latest := open.sentByClient.Load(); latest != nil {
			sent = *latest
		}
		if !open.silent.Load() && match(sent) {
			open.silent.Store(true)
			count++
		}
	}
	return count
}

// Open returns the number of open connections, including silent ones.
func (p *Proxy) Open() int {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return len(p.connections)
}

// accept accepts connections until the listener is closed.
func (p *Proxy) accept() {
	for {
		client, err := p.listener.Accept()
		if err != nil {
			return
		}
		p.running.Go(func() { p.serve(client) })
	}
}

// serve forwards one connection until either end closes it.
func (p *Proxy) serve(client net.Conn) {
	upstream, err := net.Dial("tcp", p.target)
	if err != nil {
		_ = client.Close()
		return
	}
	served := &connection{client: client, upstream: upstream}
	if !p.add(served) {
		served.close()
		return
	}
	defer p.remove(served)
	defer served.close()
	var answers tasks.Group
	answers.Go(func() { served.forward(client, upstream, nil) })
	served.forward(upstream, client, func(sent []byte) { served.sentByClient.Store(&sent) })
	answers.Wait()
}

func (p *Proxy) add(served *connection) bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.closed {
		return false
	}
	p.connections[served] = true
	return true
}

func (p *Proxy) remove(served *connection) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	delete(p.connections, served)
}

func (c *connection) close() {
	_ = c.client.Close()
	_ = c.upstream.Close()
}

// forward copies bytes until the source ends, and then passes the end on, unless the
// connection is silent: the other end must not learn of it. If observe is not nil, it receives
// a copy of each read.
func (c *connection) forward(to, from net.Conn, observe func([]byte)) {
	buffer := make([]byte, copyBufferBytes)
	for {
		n, err := from.Read(buffer)
		if n > 0 && observe != nil {
			observe(bytes.Clone(buffer[:n]))
		}
		if n > 0 && !c.silent.Load() {
			_, _ = to.Write(buffer[:n]) // a failed write also ends the other direction
		}
		if err == nil {
			continue
		}
		if !c.silent.Load() {
			c.passEnd(to, err)
		}
		return
	}
}

// passEnd ends a direction: it closes the sending side after an orderly end, and both
// connections after an error.
func (c *connection) passEnd(to net.Conn, reason error) {
	if errors.Is(reason, io.EOF) {
		_ = to.(*net.TCPConn).CloseWrite() // fails only if the connection has ended already
		return
	}
	c.close()
}
