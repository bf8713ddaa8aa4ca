package informer

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/matryer/is"

	"cobaltramp.example/cobaltramp/internal/cluster/ports"
	"cobaltramp.example/cobaltramp/internal/cluster/subset"
	"cobaltramp.example/cobaltramp/internal/serving/runnerset"
)

// testSchema stores runners under runners/, each as a JSON record.
var testSchema = &Schema{
	OperatorPrefix: "operator/",
	RetirePrefix:   "operator/retire/",
	RunnersPrefix:  "runners/",
	ParseRunner: func(id string, entry []byte, _ time.Time) (record runnerset.Record, err error) {
		err = json.Unmarshal(entry, &record)
		record.ID = id
		return record, err
	},
}

// Entries that expire during an outage of the store are deleted, and put again when their
// runners reach the store. Both events may arrive together, and the last one applies.
func TestLastChangeOfEachRunnerApplies(t *testing.T) {
	is := is.New(t)
	set := runnerset.New()
	cache := newRunnerCache(testSchema, set, subset.Interest{})
	entry := func(id string, revision int64, gone bool) ports.WatchEvent {
		text := `{"Service":"s","Address":"10.0.0.9:1","Zone":"z","Slots":4}`
		return ports.WatchEvent{Value: ports.Value{Key: testSchema.RunnersPrefix + id, Value: []byte(text), Revision: revision}, Deleted: gone}
	}
	cache.Reset([]ports.Value{entry("a", 1, false).Value, entry("b", 2, false).Value, entry("c", 3, false).Value}, 3)
	_, accepting := set.Count()
	is.Equal(accepting, 3)
	cache.Apply([]ports.WatchEvent{entry("a", 4, true), entry("b", 5, true), entry("a", 6, false), entry("c", 7, false), entry("c", 8, true)}, 8)
	var ids []string
	for _, runner := range set.Service("s") {
		if runner.AcceptsWork() {
			ids = append(ids, runner.ID)
		}
	}
	is.Equal(ids, []string{"a"}) // b was not put again, and c was deleted after its put
}
