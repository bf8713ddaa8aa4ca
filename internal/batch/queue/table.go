package queue

import (
	"time"

	wirev1 "cobaltramp.example/cobaltramp/api/wire/v1"
)

// ItemKey names an item.
type ItemKey struct {
	Job    string
	Number uint32
}

// TokenAccount names the waiting tokens that are limited together: those of one
// tenant's jobs on one route, or of all jobs where there are no tenants.
type TokenAccount struct{ Tenant, Route string }

// ItemEntry is an unfinished item in the leader's table.
type ItemEntry struct {
	Key    ItemKey
	ID     string
	Tokens uint64
	// Account is what its tokens count against while it waits.
	Account TokenAccount
	// Due is when its result should be readable, GiveUp when it may be given up.
	Due    time.Time
	GiveUp time.Time
	// Failures counts runs that ended with the runner's own failure.
	Failures int
	// NotBefore delays the next try.
	NotBefore time.Time
	// Expected is the submitter's estimate of the tokens that come out.
	Expected uint32
	// Service is the one that had no free slot for the item when it was last tried;
	// empty if it was not.
	Service string
	// Output is what earlier runs have produced.
	Output ItemOutput
	// saved is how much of the output is in the log or on its way there.
	saved   mark
	running bool
	order   uint64
	rank    rank // as of the last Ready
}

// ItemOutput is the part of an item's output that is known.
type ItemOutput struct {
	// LastEventID is the id of the last event; 0 before the first.
	LastEventID int64
	// Text is the data of the events up to LastEventID, joined by line feeds.
	Text []byte
}

// Append adds the data of the next event.
func (o *ItemOutput) Append(id int64, data []byte) {
	if o.LastEventID > 0 {
		o.Text = append(o.Text, '\n')
	}
	o.Text = append(o.Text, data...)
	o.LastEventID = id
}

// ItemTable is what the leader of a shard knows of unfinished items. It is rebuilt
// from the state by each new leader and used by one goroutine.
type ItemTable struct {
	entries map[ItemKey]*ItemEntry
	jobs    map[string]map[uint32]*ItemEntry
	waiting map[TokenAccount]uint64
	order   uint64
	pace    pace
}

// NewItemTable returns an empty table.
func NewItemTable() *ItemTable {
	return &ItemTable{entries: map[ItemKey]*ItemEntry{}, jobs: map[string]map[uint32]*ItemEntry{}, waiting: map[TokenAccount]uint64{}}
}

// Add adds the unfinished items of a job that is not ended.
func (t *ItemTable) Add(record *wirev1.QueueRecord, now time.Time, wall time.Time) {
	if record.Ended || t.jobs[record.Id] != nil {
		return
	}
	accepted := now.Add(-age(record, wall))
	items := map[uint32]*ItemEntry{}
	for number, info := range record.Items {
		if info.Position > 0 {
			continue
		}
		t.order++
		entry := &ItemEntry{
			Key: ItemKey{record.Id, uint32(number)}, ID: info.Id, Tokens: info.Tokens,
			Account: TokenAccount{record.Tenant, record.Route}, Expected: info.OutputTokens,
			Due:    accepted.Add(time.Duration(record.DueAfterMs) * time.Millisecond),
			GiveUp: accepted.Add(time.Duration(record.GiveUpMs) * time.Millisecond),
			order:  t.order,
		}
		items[uint32(number)] = entry
		t.entries[entry.Key] = entry
		t.waiting[entry.Account] += entry.Tokens
	}
	if len(items) > 0 {
		t.jobs[record.Id] = items
	}
}

// age is how long ago a job was accepted. Clocks of machines differ and jump:
// it is never negative, and only delays or hastens, it decides no promise.
func age(record *wirev1.QueueRecord, wall time.Time) time.Duration {
	return max(0, wall.Sub(time.UnixMilli(record.AcceptedUnixMs)))
}

// Waiting returns the tokens of an account's unfinished items.
func (t *ItemTable) Waiting(account TokenAccount) uint64 { return t.waiting[account] }

// WaitingByAccount returns the tokens of unfinished items.
func (t *ItemTable) WaitingByAccount() map[TokenAccount]uint64 {
	waiting := make(map[TokenAccount]uint64, len(t.waiting))
	for account, tokens := range t.waiting {
		if tokens > 0 {
			waiting[account] = tokens
		}
	}
	return waiting
}

// Len returns how many items are unfinished.
func (t *ItemTable) Len() int { return len(t.entries) }

// Running returns how many items are running.
func (t *ItemTable) Running() int {
	count := 0
	for _, entry := range t.entries {
		if entry.running {
			count++
		}
	}
	return count
}

// Finish removes an item that has a result.
func (t *ItemTable) Finish(key ItemKey) {
	entry := t.entries[key]
	if entry == nil {
		return
	}
	t.waiting[entry.Account] -= entry.Tokens
	delete(t.entries, key)
	delete(t.jobs[key.Job], key.Number)
	if len(t.jobs[key.Job]) == 0 {
		delete(t.jobs, key.Job)
	}
}

// End removes all items of a job.
func (t *ItemTable) End(job string) {
	for number := range t.jobs[job] {
		t.Finish(ItemKey{job, number})
	}
}

// Entry returns an unfinished item, nil if it is finished or ended.
func (t *ItemTable) Entry(key ItemKey) *ItemEntry { return t.entries[key] }

// Start marks an item as running.
func (t *ItemTable) Start(key ItemKey) {
	if entry := t.entries[key]; entry != nil {
		entry.running = true
	}
}

// Return takes back an item whose run ended without a result.
func (t *ItemTable) Return(key ItemKey, output ItemOutput, failed bool, notBefore time.Time) {
	entry := t.entries[key]
	if entry == nil {
		return
	}
	entry.running = false
	entry.Output = output
	entry.NotBefore = notBefore
	if failed {
		entry.Failures++
	}
}

// Expired lists the items that may be given up.
func (t *ItemTable) Expired(now time.Time) []*ItemEntry {
	var expired []*ItemEntry
	for _, entry := range t.entries {
		if now.After(entry.GiveUp) && entry.GiveUp.After(entry.Due) {
			expired = append(expired, entry)
		}
	}
	return expired
}

// mark is a point in an item's output.
type mark struct {
	last  int64
	bytes int
}

// Restore takes what is saved of an item in the state.
func (t *ItemTable) Restore(key ItemKey, output ItemOutput) {
	if entry := t.entries[key]; entry != nil {
		entry.Output = output
		entry.saved = mark{output.LastEventID, len(output.Text)}
	}
}

// Unsaved returns what of an output is not in the log yet, and marks it as on
// its way: the event it follows, and the text.
func (t *ItemTable) Unsaved(key ItemKey, output ItemOutput) (from int64, text []byte) {
	entry := t.entries[key]
	if entry == nil || entry.saved.last == 0 || entry.saved.last > output.LastEventID || entry.saved.bytes > len(output.Text) {
		if entry != nil {
			entry.saved = mark{output.LastEventID, len(output.Text)}
		}
		return 0, output.Text
	}
	from = entry.saved.last
	text = output.Text[entry.saved.bytes:]
	if len(text) > 0 && text[0] == '\n' {
		text = text[1:]
	}
	entry.saved = mark{output.LastEventID, len(output.Text)}
	return from, text
}

// Forget says that what was on its way to the log did not come there: the next
// time the whole output is sent.
func (t *ItemTable) Forget(key ItemKey) {
	if entry := t.entries[key]; entry != nil {
		entry.saved = mark{}
	}
}

// Open reports whether a job has unfinished items.
func (t *ItemTable) Open(job string) bool { return len(t.jobs[job]) > 0 }
