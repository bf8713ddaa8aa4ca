package forwarding

import (
	"time"

	"golang.org/x/time/rate"
)

const (
	// maxForwardedCalls is the number of calls that a node forwards at the same time.
	maxForwardedCalls = 16
	// maxForwardedBytes bounds the requests and replies of these calls.
	maxForwardedBytes = 4 << 20
	// forwardedPerSecond and forwardedBurst limit the calls that a node forwards.
	forwardedPerSecond = 200
	forwardedBurst     = 50
	// askerLifetime is how long after its last call a node counts in the division of the
	// slots.
	askerLifetime = time.Second
)

// limits bounds the calls that this node forwards for the nodes that ask it, the askers. It is not safe for concurrent use.
type limits struct {
	rate  *rate.Limiter
	calls int
	bytes int
	// callsByAsker holds the calls in progress, askedAt the time of the last call; both by the
	// ID of the asking node.
	callsByAsker map[string]int
	askedAt      map[string]time.Time
}

func newLimits() *limits {
	return &limits{
		rate:         rate.NewLimiter(forwardedPerSecond, forwardedBurst),
		callsByAsker: map[string]int{}, askedAt: map[string]time.Time{},
	}
}

// acquire reports whether a call of a node may be forwarded, and counts it if so. bytes are
// the sizes of its request and its expected reply.
func (l *limits) acquire(asker string, bytes int, now time.Time) bool {
	l.askedAt[asker] = now
	share := maxForwardedCalls
	if l.othersAsk(asker, now) {
		share /= 2
	}
	if l.calls >= maxForwardedCalls || l.callsByAsker[asker] >= share || l.bytes+bytes > maxForwardedBytes || !l.rate.AllowN(now, 1) {
		return false
	}
	l.calls++
	l.bytes += bytes
	l.callsByAsker[asker]++
	return true
}

// othersAsk reports whether another node has asked recently. It forgets nodes that have not.
func (l *limits) othersAsk(asker string, now time.Time) bool {
	others := false
	for node, at := range l.askedAt {
		switch {
		case l.callsByAsker[node] == 0 && now.Sub(at) >= askerLifetime:
			delete(l.askedAt, node)
		case node != asker:
			others = true
		}
	}
	return others
}

// resize replaces the bytes that are counted for a call.
func (l *limits) resize(from, to int) { l.bytes += to - from }

// release ends a call with the bytes that are counted for it.
func (l *limits) release(asker string, bytes int) {
	l.calls--
	l.bytes -= bytes
	if l.callsByAsker[asker]--; l.callsByAsker[asker] == 0 {
		delete(l.callsByAsker, asker)
	}
}
