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

// runnerCache passes this node's subset of the runners to the runnerset.Set. Either the
// cache receives the entries of all runners and picks the subset itself (selectedByRelay
// is false), or a relay picks the subset and the cache receives only its entries
// (selectedByRelay is true). The relay.Merger decides which lists, selections and changes the
// cache receives.
//
// Invariant: the revision never decreases.
type runnerCache struct {
	schema *Schema
	set    *runnerset.Set
	// interest determines this node's subset, before widening.
	interest subset.Interest

	mutex    sync.Mutex
	widening subset.Scaler
	// selector picks this node's subset from the entries of all runners while
	// selectedByRelay is false. It is nil before the first use.
	selector *subset.Selector[runnerset.Record]
	// selectedByRelay is true while a relay picks the subset.
	selectedByRelay bool
	// storedEntries holds the entries that the cache received, in their encoded form, by
	// key. It includes unreadable ones, so that peers get the same entries as this node.
	storedEntries map[string][]byte
	unreadable    unreadableEntries
	// revision is the revision of the last list, selection or change of an entry; 0 before
	// the first.
	revision int64
}

var _ relay.SelectiveSink = (*runnerCache)(nil)

func newRunnerCache(schema *Schema, set *runnerset.Set, interest subset.Interest) *runnerCache {
	return &runnerCache{schema: schema, set: set, interest: interest, storedEntries: map[string][]byte{}, unreadable: unreadableEntries{}}
}

// store replaces the stored entries, and returns those that can be decoded. The mutex is
// held.
func (c *runnerCache) store(values []ports.Value, now time.Time) []subset.ListedRunner[runnerset.Record] {
	entries := make([]subset.ListedRunner[runnerset.Record], 0, len(values))
	c.storedEntries = make(map[string][]byte, len(values))
	previous := c.unreadable
	c.unreadable = unreadableEntries{}
	for _, value := range values {
		c.storedEntries[value.Key] = value.Value
		record, err := c.schema.parseRunner(value, now)
		if err != nil {
			c.unreadable.add(value, err, previous)
			continue
		}
		entries = append(entries, listedRunner(record))
	}
	previous.removeMissing(c.unreadable)
	return entries
}

func listedRunner(record runnerset.Record) subset.ListedRunner[runnerset.Record] {
	serviceZone := subset.ServiceZone{Service: record.Service, Zone: record.Zone}
	return subset.ListedRunner[runnerset.Record]{ID: record.ID, ServiceZone: serviceZone, Value: record}
}

func runnerRecords(entries []subset.ListedRunner[runnerset.Record]) []runnerset.Record {
	records := make([]runnerset.Record, 0, len(entries))
	for _, entry := range entries {
		records = append(records, entry.Value)
	}
	return records
}

// Reset implements relay.Sink. The changes before the new contents are not received.
func (c *runnerCache) Reset(values []ports.Value, revision int64) {
	c.set.Versions().RecordGap(time.Now())
	c.replace(values, revision, "store")
}

// Select implements relay.SelectiveSink. It retains entries only if it holds a selection
// already.
func (c *runnerCache) Select(selection relay.Selection, revision int64) {
	now := time.Now()
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if revision > c.revision {
		c.set.Versions().RecordGap(now)
	}
	entries := c.store(append(c.retainedEntries(selection), selection.Values...), now)
	c.selectedByRelay, c.revision = true, revision
	if c.set.Select(runnerRecords(entries), selection.Totals, revision, now) {
		klog.InfoS("runner selection from a relay applied", "runners", len(entries), "of", sumTotals(selection.Totals), "revision", revision)
	}
}

// retainedEntries returns the held entries that a selection retains. It retains all unreadable
// entries, since selections do not contain them: relays send them to all followers as changes.
// The mutex is held.
func (c *runnerCache) retainedEntries(selection relay.Selection) []ports.Value {
	selected := make(map[string]bool, len(selection.Values))
	for _, value := range selection.Values {
		selected[value.Key] = true
	}
	var retained []ports.Value
	for key, value := range c.storedEntries {
		held := ports.Value{Key: key, Value: value}
		_, isUnreadable := c.unreadable[key]
		if !selected[key] && (isUnreadable || c.selectedByRelay && selection.Retains(held, c.schema.Classify)) {
			retained = append(retained, held)
		}
	}
	return retained
}

// sumTotals returns the sum of the rounded numbers of runners (see subset.Totals).
func sumTotals(totals subset.Totals) int {
	sum := 0
	for _, count := range totals {
		sum += count
	}
	return sum
}

// allRunnersSelector returns the selector, and creates it if necessary. The mutex is
// held.
func (c *runnerCache) allRunnersSelector() *subset.Selector[runnerset.Record] {
	if c.selector == nil {
		c.selector = subset.NewSelector[runnerset.Record](c.widenedInterestLocked())
	}
	return c.selector
}

// replace replaces the entries of all runners, unless the given revision is older than the
// cache's. source names the origin of the entries for the log. The changes before the list of a peer
// are received later (see noteVersions).
func (c *runnerCache) replace(values []ports.Value, revision int64, source string) {
	now := time.Now()
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if revision < c.revision {
		return
	}
	entries := c.store(values, now)
	c.selectedByRelay, c.revision = false, revision
	c.applyChange(c.allRunnersSelector().Reset(entries), revision, source, now)
}

// applyChange applies a change of this node's subset to the set, and logs it. The mutex is
// held.
func (c *runnerCache) applyChange(change subset.Change[runnerset.Record], revision int64, source string, now time.Time) {
	if !change.Full {
		logRunnerChanges(change, revision)
		c.set.ApplyChanges(runnerRecords(change.Put), change.Removed, revision, now)
		return
	}
	if c.set.Select(runnerRecords(change.Put), c.selector.Totals(), revision, now) {
		klog.InfoS("runner list applied", "runners", len(change.Put), "of", sumTotals(c.selector.Totals()), "revision", revision, "source", source)
	}
}

// maxLoggedRunners is the largest number of changed runners that are logged one by one.
// If more runners change at once, only their number is logged.
const maxLoggedRunners = 8

// Apply implements relay.Sink. It ignores events that are all no newer than the cache's
// revision. An entry that becomes unreadable is handled as deleted.
func (c *runnerCache) Apply(events []ports.WatchEvent, _ int64) {
	now := time.Now()
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.noteVersions(events, now)
	// The revision of the entries rises only with a change of an entry, not with changes
	// of other keys.
	revision := maxRevision(events)
	if revision <= c.revision {
		return
	}
	var put []subset.ListedRunner[runnerset.Record]
	var removed []string
	for _, event := range latestPerKey(events) {
		id := strings.TrimPrefix(event.Value.Key, c.schema.RunnersPrefix)
		if event.Deleted {
			delete(c.storedEntries, event.Value.Key)
			c.unreadable.remove(event.Value.Key)
			removed = append(removed, id)
			continue
		}
		c.storedEntries[event.Value.Key] = event.Value.Value
		record, err := c.schema.parseRunner(event.Value, now)
		if err != nil {
			c.unreadable.add(event.Value, err, c.unreadable)
			removed = append(removed, id)
			continue
		}
		c.unreadable.remove(event.Value.Key)
		put = append(put, listedRunner(record))
	}
	c.revision = revision
	if c.selectedByRelay {
		logRunnerChanges(subset.Change[runnerset.Record]{Put: put, Removed: removed}, revision)
		c.set.ApplyChanges(runnerRecords(put), removed, revision, now)
		return
	}
	c.applyChange(c.allRunnersSelector().Apply(put, removed), revision, "store", now)
}

// currentRevision returns the revision of the entries.
func (c *runnerCache) currentRevision() int64 {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.revision
}

// newerThan returns the entries of all runners and their revision. found is false if that
// revision is not newer than the given one, or if a relay picks this node's subset.
func (c *runnerCache) newerThan(revision int64) (entries []*wirev1.KeyValue, newer int64, found bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.revision <= revision || c.selectedByRelay {
		return nil, 0, false
	}
	for key, value := range c.storedEntries {
		entries = append(entries, &wirev1.KeyValue{Key: []byte(key), Value: value})
	}
	return entries, c.revision, true
}

// logRunnerChanges logs each changed runner, or only their number if there are more than
// maxLoggedRunners.
func logRunnerChanges(change subset.Change[runnerset.Record], revision int64) {
	if len(change.Put)+len(change.Removed) > maxLoggedRunners {
		klog.InfoS("runners changed", "changed", len(change.Put), "gone", len(change.Removed), "revision", revision)
		return
	}
	for _, id := range change.Removed {
		klog.InfoS("runner removed", "runner", id, "revision", revision)
	}
	for _, entry := range change.Put {
		record := entry.Value
		klog.InfoS("runner changed", "runner", record.ID, "address", record.Address, "service", record.Service,
			"version", record.SoftwareVersion(), "leaving", record.Leaving, "startedAt", record.StartedAt, "revision", revision)
	}
}

// latestPerKey returns the last event of each key. If an entry expires during an outage
// of the store and is written again, both events may arrive together.
func latestPerKey(events []ports.WatchEvent) []ports.WatchEvent {
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

// maxRevision returns the newest revision of the events; 0 if there are none.
func maxRevision(events []ports.WatchEvent) int64 {
	newest := int64(0)
	for _, event := range events {
		newest = max(newest, event.Value.Revision)
	}
	return newest
}
