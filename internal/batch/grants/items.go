package grants

import (
	"time"

	wirev1 "cobaltramp.example/cobaltramp/api/wire/v1"
)

// Key identifies an item by its job, the segment of the job's file, and the item's index
// in the segment. Unlike its wire form, a key can be used in maps.
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
	// Segment returns the items of a segment of a file.
	Segment(file string, segment uint32) ([]*wirev1.Item, error)
	// Progress returns which items of a segment of a job are started or done.
	Progress(job string, segment uint32) (*wirev1.SegmentProgress, error)
}

// Offer is an item granted to a pulling node. The start of an item of class once must be
// recorded before the offer is sent, unless Restarted is set.
type Offer struct {
	Key      Key
	Item     *wirev1.Item
	Attempt  uint32 // from 1
	Tenant   string
	Deadline time.Time
	// Restarted reports that the item's start was already recorded for a holder that
	// returned the item without having run it.
	Restarted bool
}

// pendingItem is an item that is ready or granted.
type pendingItem struct {
	key       Key
	item      *wirev1.Item
	attempt   uint32
	restarted bool
}
