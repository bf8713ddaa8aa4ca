// Package shutdown decides which requests an edge still takes while it stops. It takes those that it can
// answer completely before its process ends, and refuses all others at once, as not run, so that their
// callers reach another edge with all of their time.
//
// A request is answered in time if its deadline comes before the end, since it has an answer then. If
// its deadline comes later, the requests of its kind must lately have lasted less than the time that
// is left. The package is free of I/O and gets the time from its callers. Edges on the platform use it.
package shutdown

import (
	"context"
	"errors"
	"sync/atomic"
	"time"
)

// ErrEnded is the cause of contexts that end because the node has to give its last answers.
var ErrEnded = errors.New("the node stops")

// durationMargin is how much longer than the longest of its kind a request may last.
const durationMargin = 50 * time.Millisecond

// Gate decides which requests are taken while the node stops. Until Begin it takes all of them.
type Gate struct {
	durations durations
	// end is when all answers have to be complete; nil before Begin.
	end atomic.Pointer[time.Time]
	// ended ends at that time.
	ended context.Context
	stop  context.CancelCauseFunc
}

// NewGate returns a gate of a node that does not stop yet.
func NewGate() *Gate {
	g := &Gate{}
	g.ended, g.stop = context.WithCancelCause(context.Background())
	return g
}

// Begin begins the stop of the node: at the end given, requests without a complete answer are ended.
// If the end is zero, the node waits for all of them.
func (g *Gate) Begin(end time.Time) {
	g.end.Store(&end)
	if end.IsZero() {
		return
	}
	time.AfterFunc(time.Until(end), func() { g.stop(ErrEnded) })
}

// Begun reports whether the node stops.
func (g *Gate) Begun() bool { return g.end.Load() != nil }

// Request returns a context of a request that also ends, with ErrEnded as its cause, when the node has
// to give its last answers. The caller calls release when the request has ended.
func (g *Gate) Request(parent context.Context) (ctx context.Context, release func()) {
	ctx, cancel := context.WithCancelCause(parent)
	unregister := context.AfterFunc(g.ended, func() { cancel(ErrEnded) })
	return ctx, func() {
		unregister()
		cancel(nil)
	}
}

// Record records how long a request lasted that has been answered.
func (g *Gate) Record(kind Kind, lasted time.Duration, now time.Time) {
	g.durations.record(kind, lasted, now)
}

// Takes reports whether a request with a deadline will be answered completely before the node ends.
func (g *Gate) Takes(kind Kind, deadline, now time.Time) bool {
	end := g.end.Load()
	if end == nil || end.IsZero() || !deadline.After(*end) {
		return true
	}
	longest, known := g.durations.longest(kind, now)
	return known && longest+durationMargin <= end.Sub(now)
}
