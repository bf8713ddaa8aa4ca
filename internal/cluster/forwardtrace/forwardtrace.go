// Package forwardtrace records which peers forwarded the calls that were made for one request
// or job, for its log line. Package forwarding records them; package platform and package
// admission log them. Edges use it.
package forwardtrace

import (
	"context"
	"strings"
	"sync"
)

// Trace records the forwarders whose answers calls used. It is safe for concurrent use.
type Trace struct {
	mutex      sync.Mutex
	forwarders []string
}

type traceKey struct{}

// With returns a context whose calls are recorded in the trace.
func With(ctx context.Context) (context.Context, *Trace) {
	trace := &Trace{}
	return context.WithValue(ctx, traceKey{}, trace), trace
}

// String returns the addresses of the forwarders, separated by commas; empty if no call was
// forwarded.
func (t *Trace) String() string {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return strings.Join(t.forwarders, ",")
}

// maxTraced bounds the forwarders in a trace.
const maxTraced = 4

// Record records the address of a forwarder in the trace of the context, if there is one.
func Record(ctx context.Context, forwarder string) {
	trace, found := ctx.Value(traceKey{}).(*Trace)
	if !found {
		return
	}
	trace.mutex.Lock()
	defer trace.mutex.Unlock()
	for _, known := range trace.forwarders {
		if known == forwarder {
			return
		}
	}
	if len(trace.forwarders) < maxTraced {
		trace.forwarders = append(trace.forwarders, forwarder)
	}
}
