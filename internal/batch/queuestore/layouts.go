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

// Keys of the layout in the platform's store. The initial layout is one value that is
// written once. Each shard whose member set has changed since has a value of its own, so
// the size of a change does not depend on the number of shards, and changes of different
// shards do not conflict.
const (
	LayoutKey = "cobaltramp/queues/layout"
	// shardKeyPrefix is followed by the number of a shard.
	shardKeyPrefix = "cobaltramp/queues/shards/"
)

func shardKey(id uint32) string { return shardKeyPrefix + strconv.FormatUint(uint64(id), 10) }

// Layout holds the member set of every queue shard. It changes by compare-and-swap in the
// platform's store when it is created and when a disk joins, is lost or is retired; it does
// not change with jobs.
type Layout struct {
	Shards []replica.MemberSet `json:"shards"`
	// changed holds the revision of each shard's own value, or 0 if there is none.
	changed []int64
}

// Layouts holds the newest known layout.
//
// Invariant: the revision of each stored value never decreases.
type Layouts struct {
	mutex sync.Mutex
	// initialItem is the stored initial layout and initial its decoded form; own holds
	// the values of single shards.
	initialItem *wirev1.StoredItem
	initial     *Layout
	own         map[uint32]shardValue
	current     *Layout
	changed     chan struct{}
}

// shardValue is the stored value of a single shard with its decoded member set.
type shardValue struct {
	item   *wirev1.StoredItem
	config replica.MemberSet
}

// NewLayouts returns a Layouts that knows no layout.
func NewLayouts() *Layouts {
	return &Layouts{own: map[uint32]shardValue{}, changed: make(chan struct{})}
}

// Current returns the newest layout, or nil if none is known. Callers must not modify it.
func (l *Layouts) Current() *Layout {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.current
}

// Documents returns the stored values of the layout, to be sent to peers.
func (l *Layouts) Documents() []*wirev1.StoredItem {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.initialItem == nil {
		return nil
	}
	items := []*wirev1.StoredItem{l.initialItem}
	for _, own := range l.own {
		items = append(items, own.item)
	}
	return items
}

// Digest returns a hash of the keys and revisions of all values; 0 if there are none.
func (l *Layouts) Digest() uint64 {
	digest := uint64(0)
	for _, item := range l.Documents() {
		digest ^= xxhash.Sum64String(fmt.Sprint(item.Key, "@", item.Revision))
	}
	return digest
}

// HasKey reports whether a key belongs to the layout.
func (l *Layouts) HasKey(key string) bool {
	return key == LayoutKey || strings.HasPrefix(key, shardKeyPrefix)
}

// UpdateIfNewer replaces a value of the layout if the given revision is newer.
func (l *Layouts) UpdateIfNewer(key string, value []byte, revision int64, source string) {
	item := &wirev1.StoredItem{Key: key, Value: value, Revision: revision}
	var err error
	if key == LayoutKey {
		err = l.updateInitial(item, source)
	} else {
		err = l.updateShard(item)
	}
	if err != nil {
		klog.ErrorS(err, "stored queue layout cannot be decoded", "key", key, "revision", revision)
	}
}

func (l *Layouts) updateInitial(item *wirev1.StoredItem, source string) error {
	initial := &Layout{}
	if err := json.Unmarshal(item.Value, initial); err != nil {
		return err
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.initialItem != nil && l.initialItem.Revision >= item.Revision {
		return nil
	}
	l.initialItem, l.initial = item, initial
	l.publish()
	klog.InfoS("initial queue layout loaded", "revision", item.Revision, "source", source, "shards", len(l.current.Shards), "changedSince", len(l.own))
	return nil
}

func (l *Layouts) updateShard(item *wirev1.StoredItem) error {
	id, err := strconv.ParseUint(strings.TrimPrefix(item.Key, shardKeyPrefix), 10, 32)
	if err != nil {
		return err
	}
	own := shardValue{item: item}
	if err := json.Unmarshal(item.Value, &own.config); err != nil {
		return err
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if known := l.own[uint32(id)].item; known != nil && known.Revision >= item.Revision {
		return nil
	}
	l.own[uint32(id)] = own
	l.publish()
	return nil
}

// publish builds the current layout from the values and signals the change. The caller holds
// the mutex.
func (l *Layouts) publish() {
	if l.initialItem == nil {
		return
	}
	next := &Layout{Shards: slices.Clone(l.initial.Shards), changed: make([]int64, len(l.initial.Shards))}
	for id, own := range l.own {
		if int(id) < len(next.Shards) && own.item.Revision > l.initialItem.Revision {
			next.Shards[id], next.changed[id] = own.config, own.item.Revision
		}
	}
	l.current = next
	close(l.changed)
	l.changed = make(chan struct{})
}

// Changed returns a channel that is closed when the layout changes next.
func (l *Layouts) Changed() <-chan struct{} {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.changed
}
