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

// DocumentKey is the key of all holds in the platform's store, which are a single
// value that is changed by compare-and-swap. Holds are rare, so one value is enough
// and all nodes watch only one key.
const DocumentKey = "cobaltramp/quarantine"

// document is the stored form of the holds, by fingerprint.
type document map[string]Hold

// parseDocument decodes a stored document. It skips entries whose fingerprint is
// invalid and returns their errors joined.
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

// Archive writes holds to the platform's store and implements HoldStore.
type Archive struct {
	store ports.KeyValueStore

	mutex sync.Mutex
	// unsaved contains the holds that may be missing in the store, by fingerprint.
	unsaved map[Fingerprint]Hold
	batcher *notify.Batcher
}

var _ HoldStore = (*Archive)(nil)

// NewArchive returns an archive that writes to the store.
func NewArchive(store ports.KeyValueStore) *Archive {
	a := &Archive{store: store, unsaved: map[Fingerprint]Hold{}}
	a.batcher = notify.NewBatcher(notify.Schedule{Flush: a.writeWithRetry})
	return a
}

const (
	// minRetryDelay and maxRetryDelay bound the exponential backoff between failed
	// writes. Each delay is jittered, so that nodes do not write at the same time.
	minRetryDelay = 200 * time.Millisecond
	maxRetryDelay = 8 * time.Second
	// maxStoredHolds bounds the stored value at about 120 bytes per hold.
	maxStoredHolds = 512
)

// Save implements HoldStore.
func (a *Archive) Save(hold Hold) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if known, found := a.unsaved[hold.Fingerprint]; !found || hold.supersedes(known) {
		a.unsaved[hold.Fingerprint] = hold
	}
	a.batcher.Trigger()
}

// Run writes unsaved holds until the context ends.
func (a *Archive) Run(ctx context.Context) { a.batcher.Run(ctx) }

// writeWithRetry retries until the store has all holds or the context ends.
func (a *Archive) writeWithRetry(ctx context.Context) {
	for pause := minRetryDelay; !a.write(ctx) && ctx.Err() == nil; pause = min(2*pause, maxRetryDelay) {
		timer := time.NewTimer(pause/2 + rand.N(pause/2))
		select {
		case <-ctx.Done():
		case <-timer.C:
		}
		timer.Stop()
	}
}

// write adds the unsaved holds to the stored document and reports whether the
// document contains them. If the outcome of a commit is unknown, the next call reads
// the document again.
func (a *Archive) write(ctx context.Context) bool {
	stored, _, err := a.store.Get(ctx, DocumentKey)
	if err != nil {
		klog.InfoS("reading the stored quarantine failed; retrying later", "err", err)
		return false
	}
	held, err := parseDocument(stored.Value)
	if err != nil && len(stored.Value) > 0 {
		klog.ErrorS(err, "stored quarantine has unreadable entries and is overwritten", "revision", stored.Revision)
	}
	unsaved := a.unsavedHolds()
	merged, missing := merge(held, unsaved, time.Now())
	if missing == 0 {
		a.removeSaved(unsaved)
		return true
	}
	text, err := json.Marshal(documentOf(merged))
	if err != nil {
		klog.ErrorS(err, "encoding the quarantine failed", "holds", len(merged))
		return true
	}
	unchanged := []ports.Condition{{Key: DocumentKey, Revision: stored.Revision}}
	done, err := a.store.Commit(ctx, unchanged, []ports.Put{{Key: DocumentKey, Value: text}})
	klog.InfoS("request quarantine written to the store", "holds", len(merged), "new", missing, "done", done, "err", err)
	if done && err == nil {
		a.removeSaved(unsaved)
		return true
	}
	return false
}

func (a *Archive) unsavedHolds() map[Fingerprint]Hold {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	return maps.Clone(a.unsaved)
}

// merge returns the holds of the new document and how many of the unsaved holds are
// missing in the stored one.
func merge(stored []Hold, unsaved map[Fingerprint]Hold, now time.Time) (merged []Hold, missing int) {
	table := NewSuspectTable()
	for _, hold := range stored {
		table.ApplyHold(hold)
	}
	for _, hold := range unsaved {
		if table.ApplyHold(hold) {
			missing++
		}
	}
	merged = table.Holds(now)
	return merged[:min(len(merged), maxStoredHolds)], missing
}

// removeSaved removes written holds from the unsaved ones, except holds that were
// replaced while the write was running.
func (a *Archive) removeSaved(written map[Fingerprint]Hold) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	maps.DeleteFunc(a.unsaved, func(fingerprint Fingerprint, hold Hold) bool { return written[fingerprint] == hold })
}

func documentOf(holds []Hold) document {
	stored := document{}
	for _, hold := range holds {
		stored[hold.Fingerprint.String()] = hold
	}
	return stored
}
