package httpcall

import (
	"bufio"
	"context"
	"crypto/tls"
	"errors"
	"net"
	"net/url"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/valyala/fasthttp"

	"cobaltramp.example/cobaltramp/internal/app/tasks"
	"cobaltramp.example/cobaltramp/internal/transport/sockets"
)

const (
	dialTimeout = time.Second
	// idleTimeout is how long a connection is kept for a later call if the server
	// states no shorter time.
	idleTimeout = 30 * time.Second
	// maxIdlePerAddress bounds the idle connections to one address.
	maxIdlePerAddress = 64
	// bufferBytes are read and written at once; a longer body is written while the
	// answer is awaited.
	bufferBytes = 8 << 10
)

type conn struct {
	net.Conn
	reader  *bufio.Reader
	key     string
	written atomic.Int64
	idled   time.Time
	// life is how long the connection may be idle before it is not used any more.
	life time.Duration
	// writing is the writing of a long body while the answer is awaited.
	writing tasks.Group
}

// end closes the connection and waits for a body that is still being written.
func (c *conn) end() {
	_ = c.Close() // nothing more is wanted of it
	c.writing.Wait()
}

// Write counts the bytes that left.
func (c *conn) Write(data []byte) (int, error) {
	n, err := c.Conn.Write(data)
	c.written.Add(int64(n))
	return n, err
}

func (c *Client) connect(ctx context.Context, target *url.URL, fresh bool) (*conn, error) {
	key := target.Scheme + "://" + target.Host
	if !fresh {
		if kept := c.take(key); kept != nil {
			return kept, nil
		}
	}
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	raw, err := c.dial(ctx, target)
	if err != nil {
		return nil, err
	}
	connection := &conn{Conn: raw, key: key}
	connection.reader = bufio.NewReaderSize(raw, bufferBytes)
	return connection, nil
}

func (c *Client) dial(ctx context.Context, target *url.URL) (net.Conn, error) {
	dialer := sockets.Dialer(dialTimeout)
	if target.Scheme == "https" {
		return (&tls.Dialer{NetDialer: dialer, Config: c.tls}).DialContext(ctx, "tcp", target.Host)
	}
	return dialer.DialContext(ctx, "tcp", target.Host)
}

// ConnectionRefused dials a URL's address, and reports whether its machine says that nothing
// listens there. A connection that comes up is kept for a later call.
func (c *Client) ConnectionRefused(ctx context.Context, address string) bool {
	target, err := url.Parse(address)
	if err != nil || target.Host == "" {
		return false
	}
	connection, err := c.connect(ctx, target, true)
	if err == nil {
		connection.life = idleTimeout
		c.keep(connection)
		return false
	}
	return errors.Is(err, syscall.ECONNREFUSED) || errors.Is(err, syscall.ECONNRESET)
}

// keepAliveShare is the share of a server's stated idle time that is used: a
// connection taken up at its end may be closed under the request.
const keepAliveShare = 0.6

// idleLife returns how long the server keeps an idle connection open, less a margin.
func idleLife(header *fasthttp.ResponseHeader) time.Duration {
	for _, part := range strings.Split(string(header.Peek("Keep-Alive")), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		seconds, err := strconv.ParseFloat(value, 64)
		if strings.EqualFold(name, "timeout") && err == nil {
			return min(time.Duration(seconds*keepAliveShare*float64(time.Second)), idleTimeout)
		}
	}
	return idleTimeout
}

func (c *Client) take(key string) *conn {
	for {
		kept := c.pop(key)
		if kept == nil {
			return nil
		}
		if time.Since(kept.idled) < kept.life && kept.quiet() {
			return kept
		}
		_ = kept.Close()
	}
}

func (c *Client) pop(key string) *conn {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	list := c.idle[key]
	if len(list) == 0 {
		return nil
	}
	kept := list[len(list)-1]
	c.idle[key] = list[:len(list)-1]
	return kept
}

// quiet reports whether an idle connection is still open and holds no bytes.
func (c *conn) quiet() bool {
	raw := sockets.Raw(c.Conn)
	return raw != nil && c.reader.Buffered() == 0 && sockets.Look(raw) == sockets.Quiet
}

func (c *Client) keep(connection *conn) {
	connection.idled = time.Now()
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if len(c.idle[connection.key]) >= maxIdlePerAddress {
		_ = connection.Close()
		return
	}
	c.idle[connection.key] = append(c.idle[connection.key], connection)
}

// CloseIdle closes all idle connections.
func (c *Client) CloseIdle() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for key, list := range c.idle {
		for _, kept := range list {
			_ = kept.Close()
		}
		delete(c.idle, key)
	}
}
