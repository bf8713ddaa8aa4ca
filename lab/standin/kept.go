package standin

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"time"
)

// PersistentClient sends its requests one after the other on a persistent connection. It
// opens a new connection if the node has closed the connection or announced its closing.
type PersistentClient struct {
	StreamClient
	// MaxPause is the longest pause between two requests.
	MaxPause time.Duration
	// Disrupted reports whether the node at an address was killed or suspended after a
	// point in time. Interrupted responses of such a node are not violations.
	Disrupted func(address string, since time.Time) bool

	address string
	conn    net.Conn
	reader  *bufio.Reader
	// unused marks a newly opened connection.
	unused bool
}

// dialTimeout is the timeout of opening a connection.
const dialTimeout = time.Second

// Run sends requests until the context ends. The request ids start with the prefix.
func (c *PersistentClient) Run(ctx context.Context, prefix string) {
	defer c.close()
	for number := 0; ctx.Err() == nil; number++ {
		id := fmt.Sprintf("%s-%d", prefix, number)
		if c.conn == nil && !c.connect() {
			sleep(ctx, dialTimeout/10)
			continue
		}
		c.exchange(id)
		sleep(ctx, rand.N(c.MaxPause+1))
	}
}

// sleep waits for a duration or until the context ends.
func sleep(ctx context.Context, wait time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(wait):
	}
}

// connect opens a connection to a random node.
func (c *PersistentClient) connect() bool {
	addresses := c.Endpoints.Addresses()
	if len(addresses) == 0 {
		return false
	}
	c.address = addresses[c.Random.IntN(len(addresses))]
	conn, err := net.DialTimeout("tcp", c.address, dialTimeout)
	if err != nil {
		return false
	}
	c.conn, c.reader, c.unused = conn, bufio.NewReader(conn), true
	return true
}

func (c *PersistentClient) close() {
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}

// exchange sends a request on the connection and verifies the response.
func (c *PersistentClient) exchange(id string) {
	began := time.Now()
	request, err := http.NewRequest(http.MethodPost, "http://"+c.address+c.Prefix+"kept", strings.NewReader(c.body(id)))
	if err != nil {
		c.Tally.RecordViolation("request %s: %v", id, err)
		return
	}
	request.Host = c.Host
	setRequestHeaders(request, id)
	var wire bytes.Buffer
	if err := request.Write(&wire); err != nil {
		c.Tally.RecordViolation("request %s: %v", id, err)
		return
	}
	_ = c.conn.SetDeadline(began.Add(RequestTimeout + time.Second))
	if _, err := c.conn.Write(wire.Bytes()); err != nil {
		c.checkLostResponse(id, began, err)
		return
	}
	response, err := http.ReadResponse(c.reader, request)
	if err != nil {
		c.checkLostResponse(id, began, err)
		return
	}
	text, err := io.ReadAll(response.Body)
	_ = response.Body.Close()
	if err != nil {
		c.checkTruncated(id, began, response, string(text), err)
		return
	}
	c.checkResponse(id, response, string(text))
	if response.Close {
		c.close()
	}
}

// checkResponse verifies a complete response.
func (c *PersistentClient) checkResponse(id string, response *http.Response, text string) {
	switch response.StatusCode {
	case http.StatusOK:
		c.checkStream(id, response.Header, text)
		c.Tally.increment(&c.Tally.Served)
	case http.StatusTooManyRequests, http.StatusServiceUnavailable:
		if runs := c.Ledger.Runs(id); len(runs) > 0 && c.AtMostOnce {
			c.Tally.RecordViolation("request %s: refused as not run, and it ran", id)
		}
		c.recordRefused(id)
	default:
		c.Tally.increment(&c.Tally.Failed)
	}
}

// checkLostResponse handles a connection that ended without a response. That is a
// violation if a runner ran the request, unless the node was disrupted or the deadline
// is near: the node may close an idle connection while a request is being sent.
func (c *PersistentClient) checkLostResponse(id string, began time.Time, err error) {
	c.close()
	c.Tally.increment(&c.Tally.Failed)
	runs := c.Ledger.Runs(id)
	if len(runs) > 0 && !c.nearDeadline(began) && !c.Disrupted(c.address, began) && !c.lostToNetwork(runs) {
		c.Tally.RecordViolation("request %s: passed on by %s, and its connection ended without an answer after %v: %v", id, c.address, time.Since(began).Round(time.Millisecond), err)
	}
}

// nearDeadline reports whether the deadline of a request has passed or is so near that
// the node may end the request.
func (c *PersistentClient) nearDeadline(began time.Time) bool {
	return time.Since(began) > RequestTimeout-deadlineMargin
}

// deadlineMargin covers the network time between client and node.
const deadlineMargin = 200 * time.Millisecond

// lostToNetwork reports whether the last attempt that the route allows ended on a connection
// that was reset or had gone silent.
func (c *PersistentClient) lostToNetwork(runs []Run) bool {
	attempts := eventsAttempts
	if c.AtMostOnce {
		attempts = 1
	}
	return len(runs) >= attempts && runs[len(runs)-1].Lost
}

// checkTruncated handles a truncated response, which must be a prefix of the expected
// stream. Truncation is a violation if the last runner sent the whole response or the
// node disconnected from the runner first, unless that runner has ended, the node was
// disrupted or the deadline is near.
func (c *PersistentClient) checkTruncated(id string, began time.Time, response *http.Response, text string, err error) {
	c.close()
	c.Tally.increment(&c.Tally.Failed)
	if response.StatusCode == http.StatusOK && !strings.HasPrefix(expectedStream(id), text) {
		c.Tally.RecordViolation("request %s: %q is not the beginning of its stream", id, text)
	}
	runs := c.Ledger.Runs(id)
	if len(runs) == 0 || c.nearDeadline(began) || c.Disrupted(c.address, began) || c.lostToNetwork(runs) {
		return
	}
	if last := runs[len(runs)-1]; (last.Complete || last.Disconnected) && !c.Ledger.Ended(last.Runner) {
		c.Tally.RecordViolation("request %s: %s cut an answer that runner %s had not broken (whole %v) after %d bytes: %v; runs: %s",
			id, c.address, last.Runner, last.Complete, len(text), err, describeRuns(runs))
	}
}
