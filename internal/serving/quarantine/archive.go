package quarantine

import (
	"context"
	"encoding/json"
	"errors"
	"maps"
	"math/rand/v2"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"cobaltramp.example/cobaltramp/internal/cluster/notify"
	"cobaltramp.example/cobaltramp/internal/cluster/ports"
)

// DocumentKey is where holds lie in the platform's store, below the product's own
// keys: one value, changed by compare-and-swap. Holds are rare, so one value is
// the least that all nodes have to follow.
const DocumentKey = "cobaltramp/quarantine"

// document is the stored form, holds by fingerprint.
type document map[string]Hold

// parseDocument reads a stored document; entries that can't be read are left out.
func parseDocument(text []byte) ([]Hold, error) {
	var stored document
	if err := json.Unmarshal(text, &stored); err != nil {
		return nil, err
	}
	holds := make([]Hold, 0, len(stored))
	var unreadable error
	for key, hold := range stored {
		fingerprint, err := ParseFingerprint(key)
		if err != nil {
			unreadable = errors.Join(unreadable, err)
			continue
		}
		hold.Fingerprint = fingerprint
		holds = append(holds, hold)
	}
	return holds, unreadable
}

// Archive writes holds to the platform's store. It implements HoldStore.
type Archive struct {
	store ports.KeyValueStore

	mutex sync.Mutex
	// wanted are holds that the store may be missing, by fingerprint.
	wanted  map[Fingerprint]Hold
	batcher *notify.Batcher
}

var _ HoldStore = (*Archive)(nil)

// NewArchive returns an archive in a store.
func NewArchive(store ports.KeyValueStore) *Archive {
	a := &Archive{store: store, wanted: map[Fingerprint]Hold{}}
	a.batcher = notify.NewBatcher(notify.Schedule{Flush: a.writeUntilKept})
	return a
}

const (
	// minWritePause and maxWritePause bound the pause between tries while the store
	// does not take a write; each is drawn, so that nodes do not write together.
	minWritePause = 200 * time.Millisecond
	maxWritePause = 8 * time.Second
	// maxArchived bounds the stored value: 120 bytes each.
	maxArchived = 512
)

// Keep implements HoldStore.
func (a *Archive) Keep(hold Hold) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if known, found := a.wanted[hold.Fingerprint]; !found || hold.after(known) {
		a.wanted[hold.Fingerprint] = hold
	}
	a.batcher.Trigger()
}

// Run writes what is wanted until the context ends.
func (a *Archive) Run(ctx context.Context) { a.batcher.Run(ctx) }

// writeUntilKept tries until the store has what is wanted, or the context ends.
func (a *Archive) writeUntilKept(ctx context.Context) {
	for pause := minWritePause; !a.write(ctx) && ctx.Err() == nil; pause = min(2*pause, maxWritePause) {
		timer := time.NewTimer(pause/2 + rand.N(pause/2))
		select {
		case <-ctx.Done():
		case <-timer.C:
		}
		timer.Stop()
	}
}

// write brings the stored document in line with what is wanted, and reports whether
// it is. A write whose answer was lost is resolved by reading.
func (a *Archive) write(ctx context.Context) bool {
	stored, _, err := a.store.Get(ctx, DocumentKey)
	if err != nil {
		klog.InfoS("request quarantine not kept in the store yet", "err", err)
		return false
	}
	held, err := parseDocument(stored.Value)
	if err != nil && len(stored.Value) > 0 {
		klog.ErrorS(err, "stored quarantine is unreadable in part, and is written anew", "revision", stored.Revision)
	}
	wanted := a.wantedNow()
	merged, missing := merge(held, wanted, time.Now())
	if missing == 0 {
		a.forget(wanted)
		return true
	}
	text, err := json.Marshal(documentOf(merged))
	if err != nil {
		klog.ErrorS(err, "quarantine cannot be encoded", "holds", len(merged))
		return true
	}
	unchanged := []ports.Condition{{Key: DocumentKey, Revision: stored.Revision}}
	done, err := a.store.Commit(ctx, unchanged, []ports.Put{{Key: DocumentKey, Value: text}})
	klog.InfoS("request quarantine kept in the store", "holds", len(merged), "new", missing, "done", done, "err", err)
	if done && err == nil {
		a.forget(wanted)
		return true
	}
	return false
}

func (a *Archive) wantedNow() map[Fingerprint]Hold {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	return maps.Clone(a.wanted)
}

// merge returns what the document is to hold, and how many of the wanted holds are
// not stored.
func merge(stored []Hold, wanted map[Fingerprint]Hold, now time.Time) (merged []Hold, missing int) {
	table := NewSuspectTable()
	for _, hold := range stored {
		table.Take(hold)
	}
	for _, hold := range wanted {
		if table.Take(hold) {
			missing++
		}
	}
	merged = table.Holds(now)
	return merged[:min(len(merged), maxArchived)], missing
}

// forget drops what was written from what is wanted.
func (a *Archive) forget(written map[Fingerprint]Hold) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	maps.DeleteFunc(a.wanted, func(fingerprint Fingerprint, hold Hold) bool { return written[fingerprint] == hold })
}

func documentOf(holds []Hold) document {
	stored := document{}
	for _, hold := range holds {
		stored[hold.Fingerprint.String()] = hold
	}
	return stored
}
