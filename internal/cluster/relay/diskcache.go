package relay

import (
	"context"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"
	"k8s.io/klog/v2"

	wirev1 "cobaltramp.example/cobaltramp/api/wire/v1"
	"cobaltramp.example/cobaltramp/internal/app/pause"
	"cobaltramp.example/cobaltramp/internal/cluster/ports"
	"cobaltramp.example/cobaltramp/internal/cluster/subset"
)

// DiskCache keeps a copy of the store's documents on disk. After a power loss of the
// whole deployment, nodes serve from this copy until the store answers.
type DiskCache interface {
	// SaveDocuments saves values and deletes keys, as of a revision. If whole is true,
	// the values replace all values saved before.
	SaveDocuments(whole bool, values []ports.Value, deletedKeys []string, revision int64) error
	// LoadDocuments returns the saved values and their revision, which is negative if
	// nothing was saved.
	LoadDocuments() (values []ports.Value, revision int64, err error)
	// Fits reports whether the disk has room for the given number of bytes.
	Fits(bytes int) bool
}

// persistInterval is the minimum pause between two attempts to write.
const persistInterval = 500 * time.Millisecond

// selectionKey is the key of an extra document in the disk cache. The document exists if
// the cache holds a selection of the runners, and contains the rounded numbers of all
// runners by service and zone.
const selectionKey = "kept/selection"

// ExtraDocument is a document of this node that is saved together with the store's, under a key
// that the store does not have. Each saved revision includes its state at that revision or later.
type ExtraDocument struct {
	Key string
	// Encode returns the present value, and Restore receives the saved one after the other
	// documents.
	Encode  func() []byte
	Restore func(value []byte)
}

// Restore passes the cached documents to a merger, and then the extra document to its receiver. If the cache holds a selection of the
// runners, the merger receives them as a selection, otherwise as the complete contents of
// the store. If the cache is empty or unreadable, the merger receives nothing.
func Restore(cache DiskCache, classify Classifier, merger *Merger, extra ExtraDocument) {
	cached, revision, err := cache.LoadDocuments()
	klog.InfoS("disk cache read", "documents", len(cached), "revision", revision, "err", err)
	if err != nil || revision < 0 {
		return
	}
	extraAt := slices.IndexFunc(cached, func(value ports.Value) bool { return value.Key == extra.Key })
	var extraValue []byte
	if extraAt >= 0 {
		extraValue = cached[extraAt].Value
		cached = slices.Delete(cached, extraAt, extraAt+1)
	}
	values, selection := splitSelection(cached, classify)
	if selection == nil {
		merger.Reset(values, revision)
	} else {
		merger.ResetToSelection(values, *selection, revision)
	}
	if extraAt >= 0 {
		extra.Restore(extraValue)
	}
}

// splitSelection separates the selected runners from the other cached documents. The
// selection is nil if the cache holds all runners.
func splitSelection(cached []ports.Value, classify Classifier) ([]ports.Value, *Selection) {
	var selection *Selection
	var values, runners []ports.Value
	for _, value := range cached {
		_, _, isRunner := classify(value)
		switch {
		case value.Key == selectionKey:
			selection = &Selection{Totals: decodeStoredTotals(value.Value)}
		case isRunner:
			runners = append(runners, value)
		default:
			values = append(values, value)
		}
	}
	if selection == nil {
		return append(values, runners...), nil
	}
	selection.Values = runners
	return values, selection
}

// decodeStoredTotals decodes the value under selectionKey. It returns the totals that
// could be decoded, possibly none.
func decodeStoredTotals(encoded []byte) subset.Totals {
	reply := &wirev1.FollowReply{}
	if err := proto.Unmarshal(encoded, reply); err != nil {
		klog.ErrorS(err, "cached number of runners is unreadable; a relay will send it again")
	}
	return totalsFromReply(reply)
}

// Persist writes the contents of a mirror and the extra document to the cache until the context
// ends. After a failed write it tries again when the mirror has changed.
func Persist(ctx context.Context, cache DiskCache, mirror *Mirror, extra ExtraDocument) {
	saved, savedPartial := int64(-1), false
	for ctx.Err() == nil {
		update, changed := mirror.After(saved, nil)
		selection := mirror.selectionDocument()
		partial := selection.Value != nil
		if update == nil && saved >= 0 && partial != savedPartial {
			update = &Update{Revision: saved} // a selection may follow contents of the same revision
		}
		if update != nil && saveUpdate(cache, update, selection, ports.Value{Key: extra.Key, Value: extra.Encode()}) {
			saved, savedPartial = update.Revision, partial
		}
		pause.For(ctx, persistInterval)
		select {
		case <-ctx.Done():
		case <-changed:
		}
	}
}

// selectionDocument returns the document to cache under selectionKey. Its value is nil if
// the mirror holds all runners.
func (m *Mirror) selectionDocument() ports.Value {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	document := ports.Value{Key: selectionKey}
	if !m.partial {
		return document
	}
	encoded, err := proto.Marshal(&wirev1.FollowReply{Selection: true, Totals: encodeTotals(m.totals)})
	if err != nil {
		klog.ErrorS(err, "number of runners can't be encoded for the disk cache")
	}
	document.Value = encoded
	return document
}

// saveUpdate writes an update, the extra document and the selection document to the cache. If the selection
// document has no value, it deletes that document from the cache. It returns false if the
// disk lacks room or the write failed.
func saveUpdate(cache DiskCache, update *Update, selection, extra ports.Value) bool {
	values := slices.Clone(update.Values)
	var deletedKeys []string
	for _, event := range update.Events {
		if event.Deleted {
			deletedKeys = append(deletedKeys, event.Value.Key)
		}
	}
	if !update.Whole {
		values = latestValues(update.Events)
	}
	// Another program may have stored an entry under a key of the cache's own documents.
	values = slices.DeleteFunc(values, func(value ports.Value) bool { return value.Key == selection.Key || value.Key == extra.Key })
	values = append(values, extra)
	if selection.Value != nil {
		values = append(values, selection)
	} else {
		deletedKeys = append(deletedKeys, selection.Key)
	}
	bytes := 0
	for _, value := range values {
		bytes += len(value.Key) + len(value.Value)
	}
	if !cache.Fits(bytes) {
		return false
	}
	if err := cache.SaveDocuments(update.Whole, values, deletedKeys, update.Revision); err != nil {
		klog.ErrorS(err, "documents not written to the disk cache", "revision", update.Revision)
		return false
	}
	return true
}

// latestValues returns the newest value of each key, without the keys whose last event is
// a deletion.
func latestValues(events []ports.WatchEvent) []ports.Value {
	last := map[string]ports.WatchEvent{}
	for _, event := range events {
		last[event.Value.Key] = event
	}
	values := make([]ports.Value, 0, len(last))
	for _, event := range last {
		if !event.Deleted {
			values = append(values, event.Value)
		}
	}
	return values
}
