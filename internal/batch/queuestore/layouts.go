package queuestore

import (
	"encoding/json"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"sync"

	"github.com/cespare/xxhash/v2"
	"github.com/gravitational/trace"
	"k8s.io/klog/v2"

	wirev1 "cobaltramp.example/cobaltramp/api/wire/v1"
	"cobaltramp.example/cobaltramp/internal/batch/replica"
)

// Keys of the layout in the platform's store. The initial layout is one value that is
// written once. A shard whose member set has changed since then has a value of its own, so
// that the size of a change does not depend on the number of shards, and changes of
// different shards do not conflict.
const (
	// LayoutKey is the key of the initial layout.
	LayoutKey = "cobaltramp/queues/layout"
	// shardKeyPrefix is followed by the number of a shard.
	shardKeyPrefix = "cobaltramp/queues/shards/"
)

func shardKey(id uint32) string { return shardKeyPrefix + strconv.FormatUint(uint64(id), 10) }

// Layout holds the member set of every queue shard, indexed by shard number. It is stored in
// the platform's store and changes only when members are added, replaced or removed.
type Layout struct {
	Shards []replica.MemberSet `json:"shards"`
	// shardRevisions holds for each shard the revision of the shard's own value, or 0 if the
	// member set is that of the initial layout.
	shardRevisions []int64
	// uncertain holds the shards whose newest stored value is unusable. Their member sets may be
	// outdated.
	uncertain map[uint32]bool
}

// certain reports whether the member set of a shard is that of the newest known stored value.
func (l *Layout) certain(id uint32) bool { return !l.uncertain[id] }

// Layouts holds the newest known values of the layout and the Layout that they result in.
//
// Invariant: the revision of each value that it holds never decreases.
type Layouts struct {
	mutex sync.Mutex
	// initialItem is the stored initial layout, nil if not known yet, and initial its
	// decoded form.
	initialItem *wirev1.StoredItem
	initial     *Layout
	shardValues map[uint32]shardValue
	// unusable holds the revision of the newest unusable value of a shard, by shard.
	unusable map[uint32]int64
	current  *Layout
	changed  chan struct{}
}

// shardValue is the stored value of a single shard with its decoded member set.
type shardValue struct {
	item      *wirev1.StoredItem
	memberSet replica.MemberSet
}

// NewLayouts returns a Layouts that knows no layout.
func NewLayouts() *Layouts {
	return &Layouts{shardValues: map[uint32]shardValue{}, unusable: map[uint32]int64{}, changed: make(chan struct{})}
}

// Current returns the newest layout, or nil if none is known. Callers must not modify it.
func (l *Layouts) Current() *Layout {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.current
}

// Documents returns the stored values of the layout, to be sent to peers. It returns nil if
// the initial layout is not known.
func (l *Layouts) Documents() []*wirev1.StoredItem {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.initialItem == nil {
		return nil
	}
	items := []*wirev1.StoredItem{l.initialItem}
	for _, own := range l.shardValues {
		items = append(items, own.item)
	}
	return items
}

// Digest returns a hash of the keys and revisions of all values that Documents returns, or 0
// if there are none. It does not depend on their order.
func (l *Layouts) Digest() uint64 {
	digest := uint64(0)
	for _, item := range l.Documents() {
		digest ^= xxhash.Sum64String(fmt.Sprint(item.Key, "@", item.Revision))
	}
	return digest
}

// HasKey reports whether a key of the platform's store belongs to the layout.
func (l *Layouts) HasKey(key string) bool {
	return key == LayoutKey || strings.HasPrefix(key, shardKeyPrefix)
}

// UpdateIfNewer replaces a value of the layout if the given revision is newer than the known
// one. An unusable value is logged and does not replace a known one. The source is for the log.
func (l *Layouts) UpdateIfNewer(key string, value []byte, revision int64, source string) {
	item := &wirev1.StoredItem{Key: key, Value: value, Revision: revision}
	var err error
	if key == LayoutKey {
		err = l.updateInitial(item, source)
	} else {
		err = l.updateShard(item)
	}
	if err != nil {
		klog.ErrorS(err, "stored value of the queue layout is unusable; the known one stays in force", "key", key, "revision", revision)
	}
}

// updateInitial replaces the initial layout if the given one is newer.
func (l *Layouts) updateInitial(item *wirev1.StoredItem, source string) error {
	initial := &Layout{}
	if err := json.Unmarshal(item.Value, initial); err != nil {
		return err
	}
	if err := initial.validate(); err != nil {
		return err
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.initialItem != nil && l.initialItem.Revision >= item.Revision {
		return nil
	}
	l.initialItem, l.initial = item, initial
	l.publish()
	klog.InfoS("initial queue layout loaded", "revision", item.Revision, "source", source, "shards", len(l.current.Shards), "changedSince", len(l.shardValues))
	return nil
}

// validate returns an error if the layout has no shards, or one with an unusable member set.
func (l *Layout) validate() error {
	if len(l.Shards) == 0 {
		return trace.BadParameter("the layout has no shards")
	}
	for id, memberSet := range l.Shards {
		if err := memberSet.Validate(); err != nil {
			return trace.Wrap(err, "shard %d", id)
		}
	}
	return nil
}

// updateShard replaces the value of a single shard if the given one is newer.
func (l *Layouts) updateShard(item *wirev1.StoredItem) error {
	number, err := strconv.ParseUint(strings.TrimPrefix(item.Key, shardKeyPrefix), 10, 32)
	if err != nil {
		return err
	}
	id := uint32(number)
	if item.Key != shardKey(id) {
		return trace.BadParameter("the key is not the key of shard %d", id)
	}
	own := shardValue{item: item}
	err = json.Unmarshal(item.Value, &own.memberSet)
	if err == nil {
		err = own.memberSet.Validate()
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if err != nil {
		l.unusable[id] = max(l.unusable[id], item.Revision)
		l.publish()
		return err
	}
	if previous := l.shardValues[id].item; previous != nil && previous.Revision >= item.Revision {
		return nil
	}
	l.shardValues[id] = own
	l.publish()
	return nil
}

// publish builds the current layout from the values and signals the change. It does nothing
// until the initial layout is known, and ignores values of single shards that are older than
// the initial layout. The caller holds the mutex.
func (l *Layouts) publish() {
	if l.initialItem == nil {
		return
	}
	next := &Layout{Shards: slices.Clone(l.initial.Shards), shardRevisions: make([]int64, len(l.initial.Shards))}
	for id, own := range l.shardValues {
		if int(id) < len(next.Shards) && own.item.Revision > l.initialItem.Revision {
			next.Shards[id], next.shardRevisions[id] = own.memberSet, own.item.Revision
		}
	}
	next.uncertain = map[uint32]bool{}
	for id, revision := range l.unusable {
		if int(id) < len(next.Shards) && revision > max(l.initialItem.Revision, next.shardRevisions[id]) {
			next.uncertain[id] = true
		}
	}
	l.current = next
	close(l.changed)
	l.changed = make(chan struct{})
}

// Changed returns a channel that is closed at the next update of the layout.
func (l *Layouts) Changed() <-chan struct{} {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.changed
}
