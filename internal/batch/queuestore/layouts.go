package queuestore

import (
	"encoding/json"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"sync"

	"github.com/cespare/xxhash/v2"
	"k8s.io/klog/v2"

	wirev1 "cobaltramp.example/cobaltramp/api/wire/v1"
	"cobaltramp.example/cobaltramp/internal/batch/replica"
)

// The layout lies below the product's own keys: what it was founded as in one
// value, written once, and the member set of each shard that has changed since in a
// value of the shard. A change costs its own 150 bytes, whatever the number of
// shards, and those of different shards do not meet.
const (
	LayoutKey = "cobaltramp/queues/layout"
	// shardKeys is followed by the number of a shard.
	shardKeys = "cobaltramp/queues/shards/"
)

func shardKey(id uint32) string { return shardKeys + strconv.FormatUint(uint64(id), 10) }

// Layout is the member set of every queue shard. It changes by compare-and-swap in
// the platform's store: on founding and when a disk joins, is lost or is emptied;
// never per job.
type Layout struct {
	Shards []replica.MemberSet `json:"shards"`
	// changed holds the revision of each shard's own value; 0 if it has none.
	changed []int64
}

// Layouts holds the newest layout known.
//
// Invariant: the revision of no value in it falls.
type Layouts struct {
	mutex sync.Mutex
	// founded is the value that the layout was founded with, first what it says, and
	// own the values of shards.
	founded *wirev1.StoredItem
	first   *Layout
	own     map[uint32]ownValue
	current *Layout
	changed chan struct{}
}

// ownValue is a shard's own value and what it says.
type ownValue struct {
	item   *wirev1.StoredItem
	config replica.MemberSet
}

// NewLayouts returns a holder without a layout.
func NewLayouts() *Layouts {
	return &Layouts{own: map[uint32]ownValue{}, changed: make(chan struct{})}
}

// Current returns the layout, nil if none is known. It must not be changed.
func (l *Layouts) Current() *Layout {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.current
}

// Documents returns the stored form, for peers.
func (l *Layouts) Documents() []*wirev1.StoredItem {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.founded == nil {
		return nil
	}
	items := []*wirev1.StoredItem{l.founded}
	for _, own := range l.own {
		items = append(items, own.item)
	}
	return items
}

// Digest is the same for holders of the same values; 0 for one without any.
func (l *Layouts) Digest() uint64 {
	digest := uint64(0)
	for _, item := range l.Documents() {
		digest ^= xxhash.Sum64String(fmt.Sprint(item.Key, "@", item.Revision))
	}
	return digest
}

// HasKey reports whether a key is of the layout.
func (l *Layouts) HasKey(key string) bool {
	return key == LayoutKey || strings.HasPrefix(key, shardKeys)
}

// UpdateIfNewer takes a value of the layout if it is newer.
func (l *Layouts) UpdateIfNewer(key string, value []byte, revision int64, source string) {
	item := &wirev1.StoredItem{Key: key, Value: value, Revision: revision}
	var err error
	if key == LayoutKey {
		err = l.updateFounded(item, source)
	} else {
		err = l.updateOwn(item)
	}
	if err != nil {
		klog.ErrorS(err, "stored layout is unreadable", "key", key, "revision", revision)
	}
}

func (l *Layouts) updateFounded(item *wirev1.StoredItem, source string) error {
	first := &Layout{}
	if err := json.Unmarshal(item.Value, first); err != nil {
		return err
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.founded != nil && l.founded.Revision >= item.Revision {
		return nil
	}
	l.founded, l.first = item, first
	l.publish()
	klog.InfoS("queue layout taken", "revision", item.Revision, "source", source, "shards", len(l.current.Shards), "changedSince", len(l.own))
	return nil
}

func (l *Layouts) updateOwn(item *wirev1.StoredItem) error {
	id, err := strconv.ParseUint(strings.TrimPrefix(item.Key, shardKeys), 10, 32)
	if err != nil {
		return err
	}
	own := ownValue{item: item}
	if err := json.Unmarshal(item.Value, &own.config); err != nil {
		return err
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if held := l.own[uint32(id)].item; held != nil && held.Revision >= item.Revision {
		return nil
	}
	l.own[uint32(id)] = own
	l.publish()
	return nil
}

// publish makes the layout of the values. The mutex is held.
func (l *Layouts) publish() {
	if l.founded == nil {
		return
	}
	next := &Layout{Shards: slices.Clone(l.first.Shards), changed: make([]int64, len(l.first.Shards))}
	for id, own := range l.own {
		if int(id) < len(next.Shards) && own.item.Revision > l.founded.Revision {
			next.Shards[id], next.changed[id] = own.config, own.item.Revision
		}
	}
	l.current = next
	close(l.changed)
	l.changed = make(chan struct{})
}

// Changed returns a channel that closes with the next layout.
func (l *Layouts) Changed() <-chan struct{} {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.changed
}
