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

// DiskCache keeps on a disk what was last known of the store, so that a deployment
// that lost power as a whole serves before the store answers.
type DiskCache interface {
	SaveDocuments(whole bool, values []ports.Value, gone []string, revision int64) error
	LoadDocuments() (values []ports.Value, revision int64, err error)
	// Fits reports whether the disk has room.
	Fits(bytes int) bool
}

// persistInterval is the least time between two writes.
const persistInterval = 500 * time.Millisecond

// selectionKey is of a document that is kept, beside those of the store, where of the
// runners a selection is: how many runners there are.
const selectionKey = "kept/selection"

// Restore hands what was kept to a merge, as what it was: everything, or everything
// but the runners that were not selected.
func Restore(cache DiskCache, classify Classifier, merger *Merger) {
	kept, revision, err := cache.LoadDocuments()
	klog.InfoS("documents kept on the disk taken", "documents", len(kept), "revision", revision, "err", err)
	if err != nil || revision < 0 {
		return
	}
	values, selection := splitKept(kept, classify)
	if selection == nil {
		merger.Reset(values, revision)
		return
	}
	merger.ResetToSelection(values, *selection, revision)
}

// splitKept takes a selection out of what was kept; there is none if all runners were.
func splitKept(kept []ports.Value, classify Classifier) ([]ports.Value, *Selection) {
	var selection *Selection
	var values, runners []ports.Value
	for _, value := range kept {
		_, _, isRunner := classify(value)
		switch {
		case value.Key == selectionKey:
			selection = &Selection{Totals: decodeTotals(value.Value)}
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

func decodeTotals(encoded []byte) subset.Totals {
	reply := &wirev1.FollowReply{}
	if err := proto.Unmarshal(encoded, reply); err != nil {
		klog.ErrorS(err, "kept number of runners is unreadable, a relay sends it anew")
	}
	return totalsOf(reply)
}

// Persist writes what a mirror holds until the context ends.
func Persist(ctx context.Context, cache DiskCache, mirror *Mirror) {
	saved := int64(-1)
	for ctx.Err() == nil {
		update, changed := mirror.After(saved, nil)
		if update != nil && save(cache, update, mirror.selectionDocument()) {
			saved = update.Revision
		}
		pause.For(ctx, persistInterval)
		select {
		case <-ctx.Done():
		case <-changed:
		}
	}
}

// selectionDocument is what is kept of a selection; its value is nil if all runners are
// held.
func (m *Mirror) selectionDocument() ports.Value {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	document := ports.Value{Key: selectionKey}
	if !m.partial {
		return document
	}
	encoded, err := proto.Marshal(&wirev1.FollowReply{Selection: true, Totals: encodeTotals(m.totals)})
	if err != nil {
		klog.ErrorS(err, "number of runners can't be kept")
	}
	document.Value = encoded
	return document
}

// save writes an update. It reports false if it has to be tried again.
func save(cache DiskCache, update *Update, selection ports.Value) bool {
	values := slices.Clone(update.Values)
	var gone []string
	for _, event := range update.Events {
		if event.Deleted {
			gone = append(gone, event.Value.Key)
		}
	}
	if !update.Whole {
		values = newest(update.Events)
	}
	if selection.Value != nil {
		values = append(values, selection)
	} else {
		gone = append(gone, selection.Key)
	}
	bytes := 0
	for _, value := range values {
		bytes += len(value.Key) + len(value.Value)
	}
	if !cache.Fits(bytes) {
		return false
	}
	if err := cache.SaveDocuments(update.Whole, values, gone, update.Revision); err != nil {
		klog.ErrorS(err, "documents not kept", "revision", update.Revision)
		return false
	}
	return true
}

// newest returns the values that changes leave behind.
func newest(events []ports.WatchEvent) []ports.Value {
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
