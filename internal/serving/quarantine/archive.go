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

// DocumentKey is the key of the document in the platform's store that contains the
// holds. Nodes change the document by compare-and-swap.
const DocumentKey = "cobaltramp/quarantine"

// document is the stored form of the holds. Its keys are fingerprints in the form of
// Fingerprint.String.
type document map[string]Hold

// parseDocument decodes a stored document. It skips entries with an invalid fingerprint or an
// invalid hold, and returns their errors joined, together with the holds of the other entries. If
// the text is no JSON object, it returns an error and no holds.
func parseDocument(text []byte) ([]Hold, error) {
	var stored map[string]json.RawMessage
	if err := json.Unmarshal(text, &stored); err != nil {
		return nil, err
	}
	holds := make([]Hold, 0, len(stored))
	var unreadable error
	for key, encoded := range stored {
		hold := Hold{}
		fingerprint, err := ParseFingerprint(key)
		if err == nil {
			err = json.Unmarshal(encoded, &hold)
		}
		if err != nil {
			unreadable = errors.Join(unreadable, err)
			continue
		}
		hold.Fingerprint = fingerprint
		holds = append(holds, hold)
	}
	return holds, unreadable
}

// HoldWriter implements HoldStore. It writes holds to the document in the platform's
// store.
type HoldWriter struct {
	store ports.KeyValueStore

	mutex sync.Mutex
	// unsaved contains the holds that the stored document may lack, by fingerprint.
	unsaved map[Fingerprint]Hold
	batcher *notify.Batcher
}

var _ HoldStore = (*HoldWriter)(nil)

// NewHoldWriter returns a writer to the store. It writes nothing before Run is called.
func NewHoldWriter(store ports.KeyValueStore) *HoldWriter {
	w := &HoldWriter{store: store, unsaved: map[Fingerprint]Hold{}}
	w.batcher = notify.NewBatcher(notify.Schedule{Flush: w.writeWithRetry})
	return w
}

const (
	// minRetryDelay and maxRetryDelay bound the exponential backoff after failed writes.
	// Jitter then shortens each delay by up to one half, so that nodes do not write at
	// the same time.
	minRetryDelay = 200 * time.Millisecond
	maxRetryDelay = 8 * time.Second
	// maxStoredHolds is the maximum number of holds in a written document. A hold takes
	// about 120 bytes there.
	maxStoredHolds = 512
)

// Save implements HoldStore. It ignores a hold that does not supersede the unsaved hold
// of the same request.
func (w *HoldWriter) Save(hold Hold) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if previous, found := w.unsaved[hold.Fingerprint]; !found || hold.supersedes(previous) {
		w.unsaved[hold.Fingerprint] = hold
	}
	w.batcher.Trigger()
}

// Run writes unsaved holds until the context ends.
func (w *HoldWriter) Run(ctx context.Context) { w.batcher.Run(ctx) }

// writeWithRetry calls write until it returns true or the context ends.
func (w *HoldWriter) writeWithRetry(ctx context.Context) {
	for delayBound := minRetryDelay; !w.write(ctx) && ctx.Err() == nil; delayBound = min(2*delayBound, maxRetryDelay) {
		timer := time.NewTimer(delayBound/2 + rand.N(delayBound/2))
		select {
		case <-ctx.Done():
		case <-timer.C:
		}
		timer.Stop()
	}
}

// write merges the unsaved holds into the stored document. It returns false if the
// caller should retry, because the store failed, the document was changed concurrently,
// or the outcome of the commit is unknown. It returns true if the write succeeded, no
// write was necessary, or the document could not be encoded; in the last case the holds
// stay unsaved until the next call.
func (w *HoldWriter) write(ctx context.Context) bool {
	storedHolds, revision, err := w.read(ctx)
	if err != nil {
		return false
	}
	unsaved := w.unsavedHolds()
	merged, missing := merge(storedHolds, unsaved, time.Now())
	if missing == 0 {
		w.removeSaved(unsaved)
		return true
	}
	text, err := json.Marshal(documentOf(merged))
	if err != nil {
		klog.ErrorS(err, "encoding the quarantine failed", "holds", len(merged))
		return true
	}
	if w.commit(ctx, revision, text, len(merged)) {
		w.removeSaved(unsaved)
		return true
	}
	return false
}

// read returns the holds of the stored document and its revision. It logs an error.
func (w *HoldWriter) read(ctx context.Context) ([]Hold, int64, error) {
	stored, _, err := w.store.Get(ctx, DocumentKey)
	if err != nil {
		klog.InfoS("reading the stored quarantine failed; retrying later", "err", err)
		return nil, 0, err
	}
	holds, err := parseDocument(stored.Value)
	if err != nil && len(stored.Value) > 0 {
		klog.ErrorS(err, "stored quarantine has unreadable content, which the next successful write removes", "revision", stored.Revision)
	}
	return holds, stored.Revision, nil
}

// commit replaces the stored document if it still has the revision. It returns true only if the
// store confirmed that.
func (w *HoldWriter) commit(ctx context.Context, revision int64, text []byte, holds int) bool {
	unchanged := []ports.Condition{{Key: DocumentKey, Revision: revision}}
	committed, err := w.store.Commit(ctx, unchanged, []ports.Put{{Key: DocumentKey, Value: text}})
	klog.InfoS("commit of the request quarantine to the store ended", "holds", holds, "done", committed, "err", err)
	return committed && err == nil
}

// Claim implements HoldStore. It makes one attempt.
func (w *HoldWriter) Claim(ctx context.Context, hold, next Hold) bool {
	storedHolds, revision, err := w.read(ctx)
	if err != nil {
		return false
	}
	for _, stored := range storedHolds {
		if stored.Fingerprint == hold.Fingerprint && stored.supersedes(hold) {
			return false
		}
	}
	merged, _ := merge(storedHolds, map[Fingerprint]Hold{next.Fingerprint: next}, time.Now())
	text, err := json.Marshal(documentOf(merged))
	if err != nil {
		klog.ErrorS(err, "encoding the quarantine failed", "holds", len(merged))
		return false
	}
	return w.commit(ctx, revision, text, len(merged))
}

func (w *HoldWriter) unsavedHolds() map[Fingerprint]Hold {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return maps.Clone(w.unsaved)
}

// merge returns the holds of the new document, and how many of the unsaved holds the
// stored document lacks or has in an older version. The new document contains the
// holds that SuspectTable.Holds lists at the given time, and of these the maxStoredHolds that
// newestHolds selects.
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
	return newestHolds(table.Holds(now), maxStoredHolds), missing
}

// removeSaved removes the given holds from the unsaved holds. It retains a hold that
// Save replaced while the write was running.
func (w *HoldWriter) removeSaved(written map[Fingerprint]Hold) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	maps.DeleteFunc(w.unsaved, func(fingerprint Fingerprint, hold Hold) bool { return written[fingerprint] == hold })
}

func documentOf(holds []Hold) document {
	stored := document{}
	for _, hold := range holds {
		stored[hold.Fingerprint.String()] = hold
	}
	return stored
}
