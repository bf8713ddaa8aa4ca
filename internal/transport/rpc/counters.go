package rpc

import (
	"fmt"
	"sort"
	"strings"
	"sync"
	"sync/atomic"

	wirev1 "cobaltramp.example/cobaltramp/api/wire/v1"
)

// Counters counts the frames, bytes and connections of one node. All fields are safe
// for concurrent use.
type Counters struct {
	BytesSent, BytesReceived   atomic.Uint64
	FramesSent, FramesReceived atomic.Uint64
	Dials, DialFailures        atomic.Uint64
	// Links is the number of open links, both dialled and accepted.
	Links atomic.Int64
	// Unanswered counts the streams that this node closed while nothing had been received
	// on their link since they were opened.
	Unanswered atomic.Uint64
	// Unresponsive counts the links that were closed because the peer did not reply.
	Unresponsive atomic.Uint64

	methods sync.Map // of *MethodCount by wirev1.Method
}

// MethodCount holds the number of messages for one method that were passed to a link for
// sending, including those that could not be sent, and their size in bytes.
type MethodCount struct{ Messages, Bytes atomic.Uint64 }

func (c *Counters) recordSent(method wirev1.Method, bytes int) {
	value, found := c.methods.Load(method)
	if !found {
		value, _ = c.methods.LoadOrStore(method, &MethodCount{})
	}
	count := value.(*MethodCount)
	count.Messages.Add(1)
	count.Bytes.Add(uint64(bytes))
}

// Traffic is a snapshot of a node's Counters.
type Traffic struct {
	// Sent and Received count frames. Dials counts attempts, including failed ones.
	Sent, Received, Dials uint64
	BytesSent             uint64
	BytesReceived         uint64
	// Unanswered counts streams, and Unresponsive links; see Counters.
	Unanswered, Unresponsive uint64
	Links                    int64
	messages                 map[wirev1.Method]uint64
	bytes                    map[wirev1.Method]uint64
}

// Traffic returns a snapshot of the counters.
func (c *Counters) Traffic() Traffic {
	now := Traffic{
		Sent: c.FramesSent.Load(), Received: c.FramesReceived.Load(), Dials: c.Dials.Load(),
		BytesSent: c.BytesSent.Load(), BytesReceived: c.BytesReceived.Load(), Links: c.Links.Load(), Unanswered: c.Unanswered.Load(),
		Unresponsive: c.Unresponsive.Load(),
		messages:     map[wirev1.Method]uint64{}, bytes: map[wirev1.Method]uint64{},
	}
	c.methods.Range(func(method, value any) bool {
		count := value.(*MethodCount)
		now.messages[method.(wirev1.Method)] = count.Messages.Load()
		now.bytes[method.(wirev1.Method)] = count.Bytes.Load()
		return true
	})
	return now
}

// Since returns the traffic between an earlier snapshot and this one. Links is not a
// difference but the number of links open in this snapshot.
func (t Traffic) Since(earlier Traffic) Traffic {
	delta := Traffic{
		Sent: t.Sent - earlier.Sent, Received: t.Received - earlier.Received, Dials: t.Dials - earlier.Dials,
		BytesSent: t.BytesSent - earlier.BytesSent, BytesReceived: t.BytesReceived - earlier.BytesReceived, Links: t.Links,
		Unanswered: t.Unanswered - earlier.Unanswered, Unresponsive: t.Unresponsive - earlier.Unresponsive,
		messages: map[wirev1.Method]uint64{}, bytes: map[wirev1.Method]uint64{},
	}
	for method, count := range t.messages {
		delta.messages[method] = count - earlier.messages[method]
		delta.bytes[method] = t.bytes[method] - earlier.bytes[method]
	}
	return delta
}

// ByMethod lists the number of messages and bytes for each method, as one line of text.
// The method with the most messages comes first. Methods without messages are left out.
func (t Traffic) ByMethod() string {
	var methods []wirev1.Method
	for method, count := range t.messages {
		if count > 0 {
			methods = append(methods, method)
		}
	}
	sort.Slice(methods, func(i, j int) bool { return t.messages[methods[i]] > t.messages[methods[j]] })
	var parts []string
	for _, method := range methods {
		name := strings.ToLower(strings.TrimPrefix(method.String(), "METHOD_"))
		parts = append(parts, fmt.Sprintf("%s %d/%d B", name, t.messages[method], t.bytes[method]))
	}
	return strings.Join(parts, ", ")
}
