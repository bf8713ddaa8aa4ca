package informer

import (
	"strings"
	"sync"
	"time"

	"k8s.io/klog/v2"

	wirev1 "cobaltramp.example/cobaltramp/api/wire/v1"
	"cobaltramp.example/cobaltramp/internal/cluster/ports"
	"cobaltramp.example/cobaltramp/internal/cluster/relay"
	"cobaltramp.example/cobaltramp/internal/cluster/subset"
	"cobaltramp.example/cobaltramp/internal/serving/runnerset"
)

// runnerCache keeps the set of runners in line with the entries that the store holds:
// with all of them, or with this node's subset.
//
// Invariant: its revision never falls; raw holds the entries of the runners known.
type runnerCache struct {
	schema *Schema
	set    *runnerset.Set
	// interest is how many runners this node wants to know as long as it finds free slots.
	interest subset.Interest

	mutex    sync.Mutex
	widening subset.Widening
	// selector picks this node's subset from the entries of all runners; nil before the
	// first. It is not in use while selected: then a relay has picked the subset.
	selector *subset.Selector[runnerset.Record]
	selected bool
	raw      map[string][]byte // entries as stored, by key
	revision int64
}

var _ relay.SelectiveSink = (*runnerCache)(nil)

func newRunnerCache(schema *Schema, set *runnerset.Set, interest subset.Interest) *runnerCache {
	return &runnerCache{schema: schema, set: set, interest: interest, raw: map[string][]byte{}}
}

// parse returns the entries that can be read, and their stored form.
func (c *runnerCache) parse(values []ports.Value, now time.Time) ([]subset.ListedRunner[runnerset.Record], map[string][]byte) {
	entries, raw := make([]subset.ListedRunner[runnerset.Record], 0, len(values)), make(map[string][]byte, len(values))
	for _, value := range values {
		if record, ok := c.schema.parseRunner(value, now); ok {
			entries = append(entries, entryOf(record))
			raw[value.Key] = value.Value
		}
	}
	return entries, raw
}

func entryOf(record runnerset.Record) subset.ListedRunner[runnerset.Record] {
	place := subset.ServiceZone{Service: record.Service, Zone: record.Zone}
	return subset.ListedRunner[runnerset.Record]{ID: record.ID, ServiceZone: place, Value: record}
}

func recordsOf(entries []subset.ListedRunner[runnerset.Record]) []runnerset.Record {
	records := make([]runnerset.Record, 0, len(entries))
	for _, entry := range entries {
		records = append(records, entry.Value)
	}
	return records
}

// Reset implements relay.Sink.
func (c *runnerCache) Reset(values []ports.Value, revision int64) {
	c.replace(values, revision, "store")
}

// Select implements relay.SelectiveSink.
func (c *runnerCache) Select(selection relay.Selection, revision int64) {
	now := time.Now()
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if revision < c.revision {
		return
	}
	values := selection.Values
	for key, value := range c.raw {
		if held := (ports.Value{Key: key, Value: value}); c.selected && selection.Retains(held, c.schema.Classify) {
			values = append(values, held)
		}
	}
	var entries []subset.ListedRunner[runnerset.Record]
	entries, c.raw = c.parse(values, now)
	c.selected, c.revision = true, revision
	if c.set.Select(recordsOf(entries), selection.Totals, revision, now) {
		klog.InfoS("selection of runners taken", "runners", len(entries), "of", total(selection.Totals), "revision", revision)
	}
}

func total(totals subset.Totals) int {
	sum := 0
	for _, count := range totals {
		sum += count
	}
	return sum
}

// selectorOfAll returns the selector that is fed with the entries of all runners. The
// mutex is held.
func (c *runnerCache) selectorOfAll() *subset.Selector[runnerset.Record] {
	if c.selector == nil {
		c.selector = subset.NewSelector[runnerset.Record](c.wantedNow())
	}
	return c.selector
}

// replace takes the entries of all runners from a source, unless they are older.
func (c *runnerCache) replace(values []ports.Value, revision int64, source string) {
	now := time.Now()
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if revision < c.revision {
		return
	}
	var entries []subset.ListedRunner[runnerset.Record]
	entries, c.raw = c.parse(values, now)
	c.selected, c.revision = false, revision
	c.handOn(c.selectorOfAll().Reset(entries), revision, source, now)
}

// handOn changes the set by what changes in this node's subset. The mutex is held.
func (c *runnerCache) handOn(change subset.DrawChange[runnerset.Record], revision int64, source string, now time.Time) {
	if !change.Whole {
		logRunners(change, revision)
		c.set.ApplyChanges(recordsOf(change.Put), change.Removed, revision, now)
		return
	}
	if c.set.Select(recordsOf(change.Put), c.selector.Totals(), revision, now) {
		klog.InfoS("runner list taken", "runners", len(change.Put), "of", total(c.selector.Totals()), "revision", revision, "source", source)
	}
}

// maxSingleLines is how many runners that change together get a log line each; above
// it they are counted.
const maxSingleLines = 8

// Apply implements relay.Sink.
func (c *runnerCache) Apply(events []ports.WatchEvent, _ int64) {
	now := time.Now()
	c.mutex.Lock()
	defer c.mutex.Unlock()
	// The list is as of its own last change: what else the store's revision
	// counts does not make it another list.
	revision := newestOf(events)
	if revision <= c.revision {
		return
	}
	var put []subset.ListedRunner[runnerset.Record]
	var removed []string
	for _, event := range lastOfEach(events) {
		id := strings.TrimPrefix(event.Value.Key, c.schema.RunnersPrefix)
		if event.Deleted {
			delete(c.raw, event.Value.Key)
			removed = append(removed, id)
			continue
		}
		if record, ok := c.schema.parseRunner(event.Value, now); ok {
			c.raw[event.Value.Key] = event.Value.Value
			put = append(put, entryOf(record))
		}
	}
	c.revision = revision
	if c.selected {
		logRunners(subset.DrawChange[runnerset.Record]{Put: put, Removed: removed}, revision)
		c.set.ApplyChanges(recordsOf(put), removed, revision, now)
		return
	}
	c.handOn(c.selectorOfAll().Apply(put, removed), revision, "store", now)
}

// currentRevision returns the revision that the entries are of.
func (c *runnerCache) currentRevision() int64 {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.revision
}

// newerThan returns the entries of all runners and their revision, if that is newer
// and this node knows all.
func (c *runnerCache) newerThan(revision int64) (entries []*wirev1.KeyValue, newer int64, found bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.revision <= revision || c.selected {
		return nil, 0, false
	}
	for key, value := range c.raw {
		entries = append(entries, &wirev1.KeyValue{Key: []byte(key), Value: value})
	}
	return entries, c.revision, true
}

func logRunners(change subset.DrawChange[runnerset.Record], revision int64) {
	if len(change.Put)+len(change.Removed) > maxSingleLines {
		klog.InfoS("runners changed", "changed", len(change.Put), "gone", len(change.Removed), "revision", revision)
		return
	}
	for _, id := range change.Removed {
		klog.InfoS("runner gone", "runner", id, "revision", revision)
	}
	for _, entry := range change.Put {
		record := entry.Value
		klog.InfoS("runner changed", "runner", record.ID, "address", record.Address, "service", record.Service,
			"leaving", record.Leaving, "revision", revision)
	}
}

// lastOfEach leaves the last event of each key: an entry that lapsed in an outage of
// the store and is back comes as gone and put together.
func lastOfEach(events []ports.WatchEvent) []ports.WatchEvent {
	last := make(map[string]int64, len(events))
	for _, event := range events {
		last[event.Value.Key] = event.Value.Revision
	}
	var kept []ports.WatchEvent
	for _, event := range events {
		if last[event.Value.Key] == event.Value.Revision {
			kept = append(kept, event)
		}
	}
	return kept
}

func newestOf(events []ports.WatchEvent) int64 {
	newest := int64(0)
	for _, event := range events {
		newest = max(newest, event.Value.Revision)
	}
	return newest
}
