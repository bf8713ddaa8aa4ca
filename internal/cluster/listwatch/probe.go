package listwatch

import (
	"context"
	"time"

	"k8s.io/klog/v2"

	"cobaltramp.example/cobaltramp/internal/app/pause"
)

const (
	// probeInterval is the pause between two probes, and probeTimeout is the timeout of a
	// probe. Together they limit how long a failure of the store stays undetected.
	probeInterval = time.Second
	probeTimeout  = 800 * time.Millisecond
)

// probe probes the store at intervals until the context ends, except while contact is lost
// or relays keep the node up to date. A waiting watch alone can't distinguish a store that
// does not answer from one without changes.
func (r *Reflector) probe(ctx context.Context) {
	for ctx.Err() == nil {
		pause.For(ctx, probeInterval)
		if r.Contact.Lost() || r.usesRelay() {
			continue // listAndWatch is retrying already, or relays keep the node up to date
		}
		revision, err := r.probeOnce(ctx)
		switch {
		case err == nil:
			r.Contact.renew()
			r.checkWatch(ctx, revision)
		case ctx.Err() == nil:
			klog.InfoS("store does not answer a probe", "err", err)
			r.Contact.recordFailure()
		}
	}
}

// deliveryTimeout is how long after a probe the watch may take to deliver the changes up to
// the revision that the probe has read.
const deliveryTimeout = 250 * time.Millisecond

// checkWatch logs if the watch does not deliver, within deliveryTimeout, the changes up to a
// revision of the store that a probe has read.
func (r *Reflector) checkWatch(ctx context.Context, storeRevision int64) {
	r.Contact.storeRevision.Store(storeRevision)
	if storeRevision <= r.Merger.Revision() {
		return
	}
	pause.For(ctx, deliveryTimeout)
	if revision := r.Merger.Revision(); storeRevision > revision {
		klog.InfoS("watch has not delivered the store's changes", "revision", revision, "storeRevision", storeRevision)
	}
}

// probeOnce makes one probe with probeTimeout.
func (r *Reflector) probeOnce(ctx context.Context) (int64, error) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	return r.Store.Probe(ctx)
}

const (
	// maxWatchTimeout is the longest time that a watch waits for a change. The timeout is
	// also at most historyShare of the time for which the store keeps its history,
	// because a watch from a revision that the store has compacted requires a new list.
	maxWatchTimeout = 25 * time.Second
	historyShare    = 0.85
)

// WatchTimeoutWithin returns the timeout of watches for a store that keeps its history
// for the given time; 0 means that this time is unknown.
func WatchTimeoutWithin(history time.Duration) time.Duration {
	if history <= 0 {
		return maxWatchTimeout
	}
	return min(maxWatchTimeout, time.Duration(historyShare*float64(history)))
}
