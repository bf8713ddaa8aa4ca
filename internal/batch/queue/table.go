package queue

import (
	"time"

	wirev1 "cobaltramp.example/cobaltramp/api/wire/v1"
)

// ItemKey identifies an item by its job and its number within the job.
type ItemKey struct {
	Job    string
	Number uint32
}

// TokenAccount identifies the jobs whose waiting tokens count against the same limit:
// the jobs of one tenant on one route. The tenant is empty where there are no tenants,
// so that all jobs on the route share an account.
type TokenAccount struct{ Tenant, Route string }

// ItemEntry is an unfinished item in the leader's table.
type ItemEntry struct {
	Key    ItemKey
	ID     string
	Tokens uint64
	// Account is the account that the item's tokens count against until it finishes.
	Account TokenAccount
	// Due is when the result should be readable. From ExpiresAt on the item may be
	// finished without one.
	Due       time.Time
	ExpiresAt time.Time
	// Failures counts the runs in which the runner reported a failure.
	Failures int
	// NotBefore is the earliest time of the next run.
	NotBefore time.Time
	// ExpectedTokens is the submitter's estimate of the output tokens.
	ExpectedTokens uint32
	// Service is the service that had no free slot at the last attempt to start the
	// item; empty if there was no such attempt.
	Service string
	// Output is the output of earlier runs.
	Output ItemOutput
	// saved is the end of the output that is in the log or proposed to it.
	saved   outputOffset
	running bool
	order   uint64
	rank    rank // as of the last call of Ready
}

// ItemOutput is an item's output up to an event.
type ItemOutput struct {
	// LastEventID is the ID of the last event; 0 before the first.
	LastEventID int64
	// Text is the data of the events up to LastEventID, joined by line feeds.
	Text []byte
}

// Append appends the data of the next event.
func (o *ItemOutput) Append(id int64, data []byte) {
	if o.LastEventID > 0 {
		o.Text = append(o.Text, '\n')
	}
	o.Text = append(o.Text, data...)
	o.LastEventID = id
}

// ItemTable holds the unfinished items of a shard in its leader's memory. Each new
// leader rebuilds it from the state. It is not safe for concurrent use.
type ItemTable struct {
	entries   map[ItemKey]*ItemEntry
	jobs      map[string]map[uint32]*ItemEntry
	waiting   map[TokenAccount]uint64
	order     uint64
	estimator durationEstimator
}

// NewItemTable returns an empty table.
func NewItemTable() *ItemTable {
	return &ItemTable{entries: map[ItemKey]*ItemEntry{}, jobs: map[string]map[uint32]*ItemEntry{}, waiting: map[TokenAccount]uint64{}}
}

// Add adds the unfinished items of a job, unless the job has ended or was added before.
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
			Account: TokenAccount{record.Tenant, record.Route}, ExpectedTokens: info.OutputTokens,
			Due:       accepted.Add(time.Duration(record.DueAfterMs) * time.Millisecond),
			ExpiresAt: accepted.Add(time.Duration(record.GiveUpMs) * time.Millisecond),
			order:     t.order,
		}
		items[uint32(number)] = entry
		t.entries[entry.Key] = entry
		t.waiting[entry.Account] += entry.Tokens
	}
	if len(items) > 0 {
		t.jobs[record.Id] = items
	}
}

// age returns the time since a job was accepted, by the wall clock. It is never
// negative, because clocks differ between machines and may jump. It affects only when
// items are started or expire.
func age(record *wirev1.QueueRecord, wall time.Time) time.Duration {
	return max(0, wall.Sub(time.UnixMilli(record.AcceptedUnixMs)))
}

// Waiting returns the tokens of an account's unfinished items.
func (t *ItemTable) Waiting(account TokenAccount) uint64 { return t.waiting[account] }

// WaitingByAccount returns the tokens of unfinished items for each account that has any.
func (t *ItemTable) WaitingByAccount() map[TokenAccount]uint64 {
	waiting := make(map[TokenAccount]uint64, len(t.waiting))
	for account, tokens := range t.waiting {
		if tokens > 0 {
			waiting[account] = tokens
		}
	}
	return waiting
}

// Len returns the number of unfinished items.
func (t *ItemTable) Len() int { return len(t.entries) }

// Running returns the number of running items.
func (t *ItemTable) Running() int {
	count := 0
	for _, entry := range t.entries {
		if entry.running {
			count++
		}
	}
	return count
}

// Finish removes an item after its result was added.
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

// Entry returns an unfinished item, or nil if the table does not hold the item.
func (t *ItemTable) Entry(key ItemKey) *ItemEntry { return t.entries[key] }

// Start marks an item as running.
func (t *ItemTable) Start(key ItemKey) {
	if entry := t.entries[key]; entry != nil {
		entry.running = true
	}
}

// Requeue makes an item available again after its run ended without a result.
func (t *ItemTable) Requeue(key ItemKey, output ItemOutput, failed bool, notBefore time.Time) {
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

// Expired returns the items whose expiry time has passed. Items that expire no later
// than they are due never expire.
func (t *ItemTable) Expired(now time.Time) []*ItemEntry {
	var expired []*ItemEntry
	for _, entry := range t.entries {
		if now.After(entry.ExpiresAt) && entry.ExpiresAt.After(entry.Due) {
			expired = append(expired, entry)
		}
	}
	return expired
}

// outputOffset is a position in an item's output, after an event.
type outputOffset struct {
	lastEventID int64
	bytes       int
}

// Restore sets an item's output to the output that is saved in the state.
func (t *ItemTable) Restore(key ItemKey, output ItemOutput) {
	if entry := t.entries[key]; entry != nil {
		entry.Output = output
		entry.saved = outputOffset{output.LastEventID, len(output.Text)}
	}
}

// Unsaved returns the part of an output that is neither in the log nor proposed: the ID
// of the event before it, and its text. It marks the part as proposed.
func (t *ItemTable) Unsaved(key ItemKey, output ItemOutput) (from int64, text []byte) {
	entry := t.entries[key]
	if entry == nil || entry.saved.lastEventID == 0 || entry.saved.lastEventID > output.LastEventID || entry.saved.bytes > len(output.Text) {
		if entry != nil {
			entry.saved = outputOffset{output.LastEventID, len(output.Text)}
		}
		return 0, output.Text
	}
	from = entry.saved.lastEventID
	text = output.Text[entry.saved.bytes:]
	if len(text) > 0 && text[0] == '\n' {
		text = text[1:]
	}
	entry.saved = outputOffset{output.LastEventID, len(output.Text)}
	return from, text
}

// ResetSaved records that a proposed part did not reach the log, so that the next call
// of Unsaved returns the whole output.
func (t *ItemTable) ResetSaved(key ItemKey) {
	if entry := t.entries[key]; entry != nil {
		entry.saved = outputOffset{}
	}
}

// HasUnfinished reports whether a job has unfinished items.
func (t *ItemTable) HasUnfinished(job string) bool { return len(t.jobs[job]) > 0 }
