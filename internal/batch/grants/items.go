package grants

import (
	"time"

	wirev1 "cobaltramp.example/cobaltramp/api/wire/v1"
)

// Key identifies an item. Unlike the wire form it is comparable.
type Key struct {
	Job     string
	Segment uint32
	Offset  uint32
}

// KeyFromProto converts a key from its wire form.
func KeyFromProto(key *wirev1.ItemKey) Key { return Key{key.JobId, key.Segment, key.Offset} }

// Proto converts the key to its wire form.
func (k Key) Proto() *wirev1.ItemKey {
	return &wirev1.ItemKey{JobId: k.Job, Segment: k.Segment, Offset: k.Offset}
}

// Loader reads the shard's applied state.
type Loader interface {
	Segment(file string, segment uint32) ([]*wirev1.Item, error)
	Progress(job string, segment uint32) (*wirev1.SegmentProgress, error)
}

// Offer is an item granted to a pulling node. An offer of class once must be recorded as
// started before it is sent, unless Restarted says that the start is already recorded.
type Offer struct {
	Key       Key
	Item      *wirev1.Item
	Attempt   uint32
	Tenant    string
	Deadline  time.Time
	Restarted bool
}

type pendingItem struct {
	key       Key
	item      *wirev1.Item
	attempt   uint32
	restarted bool
}
