package zoneload

import (
	"time"

	"google.golang.org/protobuf/proto"
	"k8s.io/klog/v2"

	wirev1 "cobaltramp.example/cobaltramp/api/wire/v1"
)

// Receiver receives the digests on an edge.
type Receiver struct {
	digests digests
}

// Newest returns the newest digest, its age, and whether there is one that is younger than
// digestLifetime. The digest must not be changed.
func (r *Receiver) Newest(now time.Time) (digest *wirev1.ZoneLoadDigest, age time.Duration, fresh bool) {
	digest, age = r.digests.latest(now)
	if digest == nil || age >= digestLifetime {
		return nil, age, false
	}
	return digest, age, true
}

// ReceiveNotice stores a digest. It logs and ignores a notice that cannot be decoded.
func (r *Receiver) ReceiveNotice(from string, payload []byte) {
	digest := &wirev1.ZoneLoadDigest{}
	if err := proto.Unmarshal(payload, digest); err != nil {
		klog.ErrorS(err, "failed to decode a digest of the load of zones", "peer", from, "bytes", len(payload))
		return
	}
	r.digests.put(from, digest, time.Now())
}
