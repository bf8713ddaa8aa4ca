package relay

import (
	"testing"

	"github.com/matryer/is"

	"cobaltramp.example/cobaltramp/internal/cluster/ports"
)

// Guards against contents that count as a selection of the runners after a restart because another
// writer's entry has a key of the cache's own documents.
func TestEntryUnderACacheKeyIsNotCached(t *testing.T) {
	is := is.New(t)
	extra := ExtraDocument{Key: "kept/own", Encode: func() []byte { return []byte("own") }}
	odd := []ports.Value{{Key: selectionKey, Value: []byte("odd"), Revision: 2}, {Key: extra.Key, Value: []byte("odd"), Revision: 3}, {Key: "a", Value: []byte("sound"), Revision: 4}}
	for _, update := range []*Update{{Whole: true, Values: odd, Revision: 4}, {Events: eventsOf(odd), Revision: 4}} {
		disk := &documentDisk{values: map[string]ports.Value{}}
		is.True(saveUpdate(disk, update, ports.Value{Key: selectionKey}, ports.Value{Key: extra.Key, Value: extra.Encode()}))
		is.Equal(string(disk.values[extra.Key].Value), "own")
		is.Equal(string(disk.values["a"].Value), "sound")
		_, found := disk.values[selectionKey]
		is.True(!found)
	}
}

func eventsOf(values []ports.Value) (events []ports.WatchEvent) {
	for _, value := range values {
		events = append(events, ports.WatchEvent{Value: value})
	}
	return events
}

// documentDisk is a DiskCache that deletes before it writes, as a log does.
type documentDisk struct{ values map[string]ports.Value }

func (d *documentDisk) SaveDocuments(_ bool, values []ports.Value, deletedKeys []string, _ int64) error {
	for _, key := range deletedKeys {
		delete(d.values, key)
	}
	for _, value := range values {
		d.values[value.Key] = value
	}
	return nil
}

func (d *documentDisk) LoadDocuments() ([]ports.Value, int64, error) { return nil, -1, nil }

func (d *documentDisk) Fits(int) bool { return true }
