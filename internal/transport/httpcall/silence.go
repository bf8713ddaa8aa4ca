package httpcall

import (
	"time"

	"k8s.io/klog/v2"
)

// A connection may go silent without an error, and idle connections with it. An exchange on
// such a connection has no outcome, so the client closes idle connections as soon as an
// exchange shows that they may be silent.
const (
	// minSilence is how long a server must have sent nothing, when the caller ends an
	// exchange, for the idle connections to its address to be suspected.
	minSilence = time.Second
	// outageWindow is the longest time between the silences of two addresses that count as
	// one outage of the network, which concerns the connections to all addresses.
	outageWindow = 3 * time.Second
)

// silentExchange is an exchange that was ended because the server sent nothing.
type silentExchange struct {
	key   string
	since time.Time
	// endedAt is when the caller ended the exchange.
	endedAt time.Time
}

// recordAbandoned is called when the caller has ended an exchange before its response was
// complete. If the server has been silent for minSilence, the idle connections to its address
// are closed that have not been used since. If another address was silent within
// outageWindow, the idle connections to all addresses are closed that have not been used
// since the earlier silence began.
func (c *Client) recordAbandoned(connection *conn, now time.Time) {
	current := silentExchange{key: connection.key, since: connection.lastReceived(), endedAt: now}
	if now.Sub(current.since) < minSilence {
		return
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	before, allAddresses := current.since, false
	if previous := c.lastSilence; previous.key != current.key && now.Sub(previous.endedAt) < outageWindow {
		allAddresses = true
		if previous.since.Before(before) {
			before = previous.since
		}
	}
	c.lastSilence = current
	closed := 0
	for key := range c.idle {
		if allAddresses || key == current.key {
			closed += c.closeIdleBefore(key, before)
		}
	}
	if closed > 0 {
		klog.InfoS("server went silent; closed idle connections", "address", current.key, "silentMs", now.Sub(current.since).Milliseconds(),
			"allAddresses", allAddresses, "closed", closed)
	}
}

// closeIdleBefore closes the idle connections to an address that have not been used since a
// time, and returns their number. The mutex is held.
func (c *Client) closeIdleBefore(key string, before time.Time) int {
	var kept []*conn
	for _, connection := range c.idle[key] {
		if connection.idleSince.Before(before) {
			_ = connection.Close() // it is not used any more
		} else {
			kept = append(kept, connection)
		}
	}
	closed := len(c.idle[key]) - len(kept)
	c.idle[key] = kept
	return closed
}
