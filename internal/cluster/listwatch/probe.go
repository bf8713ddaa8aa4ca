package listwatch

import (
	"context"
	"errors"
	"time"

	"k8s.io/klog/v2"

	"cobaltramp.example/cobaltramp/internal/app/pause"
)

const (
	// probeInterval is the time from one probe to the next, and probeTimeout is the timeout of
	// a probe. Together they limit how long a failure of the store stays undetected.
	probeInterval = time.Second
	probeTimeout  = 800 * time.Millisecond
)

// probe probes the store at intervals until the context ends, except while contact is lost
// or relays keep the node up to date. A waiting watch alone can't distinguish a store that
// does not answer, or a connection that has gone silent, from a store without changes.
func (r *Reflector) probe(ctx context.Context) {
	refused := 0
	wait := probeInterval
	for ctx.Err() == nil {
		pause.For(ctx, wait)
		wait = probeInterval
		if r.Contact.Lost() || r.usesRelay() {
			refused = 0
			continue // listAndWatch is retrying already, or relays keep the node up to date
		}
		sent := time.Now()
		revision, err := r.probeOnce(ctx)
		wait = max(probeInterval-time.Since(sent), 0) // a slow store must not age the contents more
		switch {
		case ctx.Err() != nil:
		case err != nil:
			klog.InfoS("store does not answer a probe", "err", err)
			r.Contact.recordFailure()
		case revision == 0:
			refused++
			r.checkRefusals(refused)
		default:
			refused = 0
			r.checkWatch(ctx, revision, sent)
		}
	}
}

// maxRefusedProbes is the number of consecutive probes that the store may refuse before the
// contact counts as lost. A refused probe tells nothing about the watch.
const maxRefusedProbes = 3

// checkRefusals records a failure after maxRefusedProbes refused probes.
func (r *Reflector) checkRefusals(refused int) {
	if refused < maxRefusedProbes {
		return
	}
	klog.InfoS("store refuses probes", "refused", refused)
	r.Contact.recordFailure()
}

// deliveryTimeout is how long after a probe the watch may take to deliver the changes up to
// the revision that the probe has read, in addition to the time that the probe itself took.
const deliveryTimeout = 250 * time.Millisecond

// errWatchBehind ends a watch that does not deliver the store's changes, as on a connection
// that has gone silent.
var errWatchBehind = errors.New("the watch has not delivered the store's changes")

// checkWatch compares this node's revision with a revision of the store that a probe has read.
// As soon as the node holds the changes up to it, checkWatch renews the contact as of the time at
// which the probe was sent. If the watch has been waiting since before the probe was sent and does not
// deliver the changes in time, checkWatch ends the watch, and the next one too if it does not
// deliver them either.
func (r *Reflector) checkWatch(ctx context.Context, storeRevision int64, probeSent time.Time) {
	r.Contact.storeRevision.Store(storeRevision)
	if r.renewIfHeld(storeRevision, probeSent) {
		return
	}
	timeout := deliveryTimeout + time.Since(probeSent) // a slow store also delivers slowly
	sentBefore := probeSent
	for range maxWatchesBehind {
		pause.For(ctx, timeout)
		if r.renewIfHeld(storeRevision, probeSent) {
			return
		}
		revision, waitingSince := r.Merger.Revision(), r.waitingSince.Load()
		if waitingSince == nil || waitingSince.After(sentBefore) {
			return
		}
		klog.InfoS("watch has not delivered the store's changes; it is replaced", "revision", revision, "storeRevision", storeRevision,
			"waitingMs", time.Since(*waitingSince).Milliseconds())
		r.Contact.endCalls(errWatchBehind)
		sentBefore = time.Now().Add(timeout / 2) // the next watch is sent at once
	}
}

// renewIfHeld renews the contact as of the time at which the store was asked, if this node holds all
// changes up to the revision that the store answered. It reports whether it does.
func (r *Reflector) renewIfHeld(storeRevision int64, asked time.Time) bool {
	if storeRevision > r.Merger.Revision() {
		return false
	}
	r.Contact.RenewAsOf(time.Since(asked))
	return true
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
