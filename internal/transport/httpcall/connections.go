package httpcall

import (
	"bufio"
	"context"
	"crypto/tls"
	"errors"
	"net"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/valyala/fasthttp"

	"cobaltramp.example/cobaltramp/internal/app/tasks"
	"cobaltramp.example/cobaltramp/internal/transport/sockets"
)

const (
	dialTimeout = time.Second
	// idleTimeout is how long an idle connection is kept if the server states no
	// shorter time.
	idleTimeout = 30 * time.Second
	// maxIdlePerAddress bounds the idle connections to one address.
	maxIdlePerAddress = 64
	// bufferBytes is the size of the read and write buffers. A longer body is written
	// while the client waits for the response.
	bufferBytes = 8 << 10
)

type conn struct {
	net.Conn
	reader  *bufio.Reader
	key     string
	written atomic.Int64
	// exchanges is the number of exchanges on the connection, with the current one.
	exchanges int
	// carried contains the hashes of the IDs of the last exchanges that had one.
	carried   []uint64
	idleSince time.Time
	// exchangeBegan is when the current exchange began. receivedAt is when bytes were last
	// received, in nanoseconds since processStart; 0 before.
	exchangeBegan time.Time
	receivedAt    atomic.Int64
	// idleLimit is how long the connection may be idle and still be reused.
	idleLimit time.Duration
	// bodyWrite runs the goroutine that writes a long body.
	bodyWrite tasks.Group
}

// closeAndWait closes the connection and waits for the goroutine that writes the body.
func (c *conn) closeAndWait() {
	_ = c.Close() // the connection is not used any more
	c.bodyWrite.Wait()
}

// processStart is the time from which receivedAt is measured. The duration since then is
// monotonic and can be stored in an atomic integer.
var processStart = time.Now()

// Read implements net.Conn and records when bytes were received.
func (c *conn) Read(buffer []byte) (int, error) {
	n, err := c.Conn.Read(buffer)
	if n > 0 {
		c.receivedAt.Store(int64(time.Since(processStart)))
	}
	return n, err
}

// lastReceived returns when bytes were last received in the current exchange, or its start if
// there were none.
func (c *conn) lastReceived() time.Time {
	received := c.receivedAt.Load()
	if at := processStart.Add(time.Duration(received)); received != 0 && at.After(c.exchangeBegan) {
		return at
	}
	return c.exchangeBegan
}

// Write implements net.Conn and counts the bytes that were sent.
func (c *conn) Write(data []byte) (int, error) {
	n, err := c.Conn.Write(data)
	c.written.Add(int64(n))
	return n, err
}

// maxCarriedIDs is the number of exchanges whose IDs a connection remembers. A late repeated
// response shows in one of the next exchanges, after which its connection is closed.
const maxCarriedIDs = 64

// begin records that an exchange begins for a request with an ID, which may be empty.
func (c *conn) begin(id string) {
	c.exchanges++
	if id == "" {
		return
	}
	if len(c.carried) >= maxCarriedIDs {
		c.carried = slices.Delete(c.carried, 0, 1)
	}
	c.carried = append(c.carried, xxhash.Sum64String(id))
}

// use identifies the current exchange.
func (c *conn) use() ConnectionUse {
	return ConnectionUse{LocalAddress: c.LocalAddr().String(), Exchange: c.exchanges}
}

// hasCarried reports whether one of the last exchanges was for a request with the ID.
func (c *conn) hasCarried(id string) bool {
	return id != "" && slices.Contains(c.carried, xxhash.Sum64String(id))
}

// connectFor returns an idle connection that may carry the request, or else a new one.
func (c *Client) connectFor(ctx context.Context, target *url.URL, request *Request) (*conn, error) {
	if !request.FreshConnection {
		if reused := c.takeIdle(keyOf(target), request.ID); reused != nil {
			return reused, nil
		}
	}
	return c.connect(ctx, target)
}

// keyOf returns the key of the connections to the address of a URL.
func keyOf(target *url.URL) string { return target.Scheme + "://" + target.Host }

// connect opens a connection.
func (c *Client) connect(ctx context.Context, target *url.URL) (*conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	raw, err := c.dial(ctx, target)
	if err != nil {
		return nil, err
	}
	connection := &conn{Conn: raw, key: keyOf(target)}
	connection.reader = bufio.NewReaderSize(connection, bufferBytes)
	return connection, nil
}

func (c *Client) dial(ctx context.Context, target *url.URL) (net.Conn, error) {
	dialer := sockets.Dialer(dialTimeout)
	if target.Scheme == "https" {
		return (&tls.Dialer{NetDialer: dialer, Config: c.tls}).DialContext(ctx, "tcp", target.Host)
	}
	return dialer.DialContext(ctx, "tcp", target.Host)
}

// processEndTime is the time in which a machine closes the sockets of a process that ends, one
// after the other: it may still accept a connection after it has closed others.
const processEndTime = 10 * time.Millisecond

// ConnectionRefused dials the address of a URL and reports whether the machine refuses or
// resets the connection, as it does if no process listens on the port. A connection that it
// resets, or closes again within processEndTime, is dialled once more. A connection that lasts
// is kept for reuse.
func (c *Client) ConnectionRefused(ctx context.Context, address string) bool {
	target, err := url.Parse(address)
	if err != nil || target.Host == "" {
		return false
	}
	connection, err := c.connect(ctx, target)
	if err == nil && !lasts(ctx, connection) {
		_ = connection.Close() // the machine has closed it
		err = syscall.ECONNRESET
	}
	if errors.Is(err, syscall.ECONNRESET) {
		connection, err = c.connect(ctx, target)
	}
	if err == nil {
		connection.idleLimit = idleTimeout
		c.putIdle(connection)
		return false
	}
	return errors.Is(err, syscall.ECONNREFUSED) || errors.Is(err, syscall.ECONNRESET)
}

// lasts reports whether a new connection is still open after processEndTime.
func lasts(ctx context.Context, connection *conn) bool {
	timer := time.NewTimer(processEndTime)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
	return connection.usable()
}

// keepAliveFraction is the fraction of the server's stated idle timeout after which a
// connection is not reused. Near the full timeout the server may close the connection
// while the next request is being sent.
const keepAliveFraction = 0.6

// serverIdleTimeout returns how long a connection may be idle and still be reused:
// keepAliveFraction of the timeout in the Keep-Alive header of the server's response, but
// at most idleTimeout. Without that header, it returns idleTimeout.
func serverIdleTimeout(header *fasthttp.ResponseHeader) time.Duration {
	for _, part := range strings.Split(string(header.Peek("Keep-Alive")), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		seconds, err := strconv.ParseFloat(value, 64)
		if strings.EqualFold(name, "timeout") && err == nil {
			return min(time.Duration(seconds*keepAliveFraction*float64(time.Second)), idleTimeout)
		}
	}
	return idleTimeout
}

// takeIdle removes and returns an idle connection that may carry a request with the ID; nil if
// there is none.
func (c *Client) takeIdle(key, id string) *conn {
	for {
		candidate := c.popIdle(key, id)
		if candidate == nil {
			return nil
		}
		if time.Since(candidate.idleSince) < candidate.idleLimit && candidate.usable() {
			return candidate
		}
		_ = candidate.Close()
	}
}

// popIdle removes and returns the idle connection that was used last of those that have not
// carried a request with the ID; nil if there is none.
func (c *Client) popIdle(key, id string) *conn {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	list := c.idle[key]
	for i := len(list) - 1; i >= 0; i-- {
		if candidate := list[i]; !candidate.hasCarried(id) {
			c.idle[key] = slices.Delete(list, i, i+1)
			return candidate
		}
	}
	return nil
}

// usable reports whether an idle connection is still open and has no unread bytes. It
// returns false if the state of the socket cannot be checked.
func (c *conn) usable() bool {
	raw := sockets.Raw(c.Conn)
	return raw != nil && c.reader.Buffered() == 0 && sockets.Peek(raw) == sockets.Idle
}

func (c *Client) putIdle(connection *conn) {
	connection.idleSince = time.Now()
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
		for _, connection := range list {
			_ = connection.Close()
		}
		delete(c.idle, key)
	}
}
