package listwatch

import (
	"context"
	"time"

	"k8s.io/klog/v2"

	"cobaltramp.example/cobaltramp/internal/app/pause"
)

const (
	// probeInterval and probeTimeout bound how long a store that does not answer is
	// taken to have no changes. A probe is a read that may be stale, the cheapest call.
	probeInterval = time.Second
	probeTimeout  = 800 * time.Millisecond
)

// probe asks the store at intervals whether it answers, until the context ends: a
// watch that waits shows no difference between a silent store and one without changes.
func (r *Reflector) probe(ctx context.Context) {
	for ctx.Err() == nil {
		pause.For(ctx, probeInterval)
		if r.Contact.Lost() || r.usesRelay() {
			continue // the loop is trying already, or need not
		}
		err := r.probeOnce(ctx)
		switch {
		case err == nil:
			r.Contact.renew()
		case ctx.Err() == nil:
			klog.InfoS("store does not answer a probe", "err", err)
			r.Contact.fail()
		}
	}
}

func (r *Reflector) probeOnce(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	return r.Store.Probe(ctx)
}

const (
	// maxWatchTimeout is how long a watch is held without a change, at most historyShare
	// of the time for which the store keeps its history: a watch from a revision that
	// is forgotten meanwhile ends in another list.
	maxWatchTimeout = 25 * time.Second
	historyShare    = 0.85
)

// WatchTimeoutWithin returns how long a watch is held at a store that keeps its history
// for a time; 0 if that is not known.
func WatchTimeoutWithin(history time.Duration) time.Duration {
	if history <= 0 {
		return maxWatchTimeout
	}
	return min(maxWatchTimeout, time.Duration(historyShare*float64(history)))
}
