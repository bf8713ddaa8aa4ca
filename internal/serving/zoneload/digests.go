package zoneload

import (
	"sync"
	"time"

	wirev1 "cobaltramp.example/cobaltramp/api/wire/v1"
)

const (
	// maxSenders limits the number of senders whose digests a receiver keeps.
	maxSenders = 4
	// digestLifetime is how long a digest is used.
	digestLifetime = time.Second
)

// receivedDigest is the last digest of one sender.
type receivedDigest struct {
	digest *wirev1.ZoneLoadDigest
	at     time.Time
}

// digests holds the last digest of each of a few senders. Its zero value is ready to use,
// and it is safe for concurrent use.
type digests struct {
	mutex    sync.Mutex
	bySender map[string]receivedDigest
	newest   receivedDigest
}

// put stores a digest and reports whether it was new. A digest that is not newer than the
// sender's last one by incarnation and sequence is dropped, unless the last one has
// expired: the clock of a restarted sender may have been set back.
func (d *digests) put(sender string, digest *wirev1.ZoneLoadDigest, now time.Time) bool {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	last, known := d.bySender[sender]
	if known && now.Sub(last.at) < digestLifetime && !newer(digest, last.digest) {
		return false
	}
	if d.bySender == nil {
		d.bySender = map[string]receivedDigest{}
	}
	if !known && len(d.bySender) >= maxSenders {
		d.dropOldest()
	}
	d.newest = receivedDigest{digest, now}
	d.bySender[sender] = d.newest
	return true
}

// newer reports whether digest a was sent after digest b of the same sender.
func newer(a, b *wirev1.ZoneLoadDigest) bool {
	if a.Incarnation != b.Incarnation {
		return a.Incarnation > b.Incarnation
	}
	return a.Sequence > b.Sequence
}

// dropOldest drops the sender whose last digest is the oldest. The caller holds the mutex.
func (d *digests) dropOldest() {
	oldest := ""
	for sender, received := range d.bySender {
		if oldest == "" || received.at.Before(d.bySender[oldest].at) {
			oldest = sender
		}
	}
	delete(d.bySender, oldest)
}

// latest returns the digest that was received last, and its age; the digest is nil if none
// was received.
func (d *digests) latest(now time.Time) (*wirev1.ZoneLoadDigest, time.Duration) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if d.newest.digest == nil {
		return nil, 0
	}
	return d.newest.digest, max(0, now.Sub(d.newest.at))
}
