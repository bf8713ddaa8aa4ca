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
// the jobs of one tenant on one route. The tenant is empty in a deployment without tenants,
// in which all jobs on a route share an account.
type TokenAccount struct{ Tenant, Route string }

// ItemEntry is an unfinished item in the leader's table.
type ItemEntry struct {
	Key ItemKey
	ID  string
	// Tokens is the number of prompt tokens plus the maximum number of output tokens. It
	// counts against the account's limit.
	Tokens uint64
	// Account is the account that the item's tokens count against until it finishes.
	Account TokenAccount
	// KnownSince is when the item was added to the table.
	KnownSince time.Time
	// Due is when the result should be readable. After ExpiresAt the item may be ended
	// with a dead result, which has no output (see Expired).
	Due       time.Time
	ExpiresAt time.Time
	// Failures counts the runs in which the runner reported a failure. FailedRunners holds
	// the times of the last such runs by the ID of the runner; it is not in the log.
	Failures      int
	FailedRunners map[string]time.Time
	// Endings counts the runs that ended with their runners, early in the run. Lifetime is the time
	// from the acceptance of the job to ExpiresAt.
	Endings  int
	Lifetime time.Duration
	// NotBefore is the earliest time of the next run; zero means at once.
	NotBefore time.Time
	// ExpectedTokens is the submitter's estimate of the output tokens; 0 if there is none.
	ExpectedTokens uint32
	// Service is the service that had no free slot at the last failed attempt to start
	// the item. It is empty if there was no such attempt, or if that attempt failed for
	// another reason.
	Service string
	// Output is the output of earlier runs.
	Output ItemOutput
	// saved is the end of the output that is in the log or proposed to it; zero if there
	// is none.
	saved outputOffset
	// saves is what may be in the log.
	saves   savedOutputs
	running bool
	order   uint64 // order of addition to the table
	rank    rank   // as of the last call of Ready
}

// ItemOutput is an item's output up to an event.
type ItemOutput struct {
	// LastEventID is the ID of the last event; 0 before the first.
	LastEventID int64
	// Text is the data of the events up to LastEventID, joined by line feeds.
	Text []byte
	// SoftwareVersion is the version of the runners that wrote the text (see
	// runnerset.Record); empty if unknown. Only a runner of this version can continue it.
	SoftwareVersion string
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
	waiting   map[TokenAccount]uint64 // tokens of unfinished items
	order     uint64                  // order of the last item added
	estimator durationEstimator
}

// NewItemTable returns an empty table.
func NewItemTable() *ItemTable {
	return &ItemTable{entries: map[ItemKey]*ItemEntry{}, jobs: map[string]map[uint32]*ItemEntry{}, waiting: map[TokenAccount]uint64{}}
}

// Add adds the unfinished items of a job, unless the job has ended or is in the table. Wall
// is the wall clock time, from which the job's age is computed; now is the time that the
// other methods are called with, and the due times are relative to it.
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
			Account: TokenAccount{record.Tenant, record.Route}, ExpectedTokens: info.OutputTokens, KnownSince: now, Failures: int(info.Failures),
			Due:       accepted.Add(time.Duration(record.DueAfterMs) * time.Millisecond),
			ExpiresAt: accepted.Add(time.Duration(record.GiveUpMs) * time.Millisecond),
			Lifetime:  time.Duration(record.GiveUpMs) * time.Millisecond,
			Endings:   int(info.Endings),
			order:     t.order,
		}
		if entry.Endings > 0 {
			entry.NotBefore = now.Add(endingDelay(entry.Endings, entry.Lifetime))
		}
		items[uint32(number)] = entry
		t.entries[entry.Key] = entry
		t.waiting[entry.Account] += entry.Tokens
	}
	if len(items) > 0 {
		t.jobs[record.Id] = items
	}
}

// age returns the time since a job was accepted, by the wall clock. It returns 0 if the
// acceptance appears to lie in the future, because clocks differ between machines and may
// jump.
func age(record *wirev1.QueueRecord, wall time.Time) time.Duration {
	return max(0, wall.Sub(time.UnixMilli(record.AcceptedUnixMs)))
}

// Waiting returns the sum of the tokens of an account's unfinished items.
func (t *ItemTable) Waiting(account TokenAccount) uint64 { return t.waiting[account] }

// WaitingByAccount returns the sum of the tokens of unfinished items, for each account
// whose sum is not 0.
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

// Finish removes an item that needs no more runs. It does nothing if the table does not
// contain the item.
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

// End removes the unfinished items of a job.
func (t *ItemTable) End(job string) {
	for number := range t.jobs[job] {
		t.Finish(ItemKey{job, number})
	}
}

// Entry returns an unfinished item, or nil if the table does not contain the item.
func (t *ItemTable) Entry(key ItemKey) *ItemEntry { return t.entries[key] }

// Start marks an item as running, so that Ready leaves it out.
func (t *ItemTable) Start(key ItemKey) {
	if entry := t.entries[key]; entry != nil {
		entry.running = true
	}
}

// Requeue makes an item available again from notBefore on, after its run ended without a
// result. Output is the item's whole output so far. Failed means that the runner reported a
// failure, which is counted.
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

// RecordFailedRunner records that a runner reported a failure of an item.
func (t *ItemTable) RecordFailedRunner(key ItemKey, runner string, now time.Time) {
	entry := t.entries[key]
	if entry == nil {
		return
	}
	if entry.FailedRunners == nil {
		entry.FailedRunners = map[string]time.Time{}
	}
	entry.FailedRunners[runner] = now
}

// Expired returns the items whose ExpiresAt has passed, also those that are running. An item
// whose ExpiresAt is not after Due never expires.
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
	lastEventID     int64
	bytes           int
	softwareVersion string
}

func (o *ItemOutput) end() outputOffset {
	return outputOffset{o.LastEventID, len(o.Text), o.SoftwareVersion}
}

// isContinuedBy reports whether an output begins with the output up to the offset.
func (o outputOffset) isContinuedBy(output *ItemOutput) bool {
	return o.lastEventID > 0 && o.lastEventID <= output.LastEventID && o.bytes <= len(output.Text) && o.softwareVersion == output.SoftwareVersion
}

// savedOutputs are the outputs of an item that may be in the log.
type savedOutputs struct {
	// softwareVersion is the version of the last output, and longest the ID of the last event
	// of any output.
	softwareVersion string
	longest         int64
	// longestOther is the ID of the last event of any output of another version.
	longestOther int64
}

// add adds an output that was proposed to the log or read from it.
func (s *savedOutputs) add(output *ItemOutput) {
	s.longestOther = s.otherThan(output.SoftwareVersion)
	s.softwareVersion = output.SoftwareVersion
	s.longest = max(s.longest, output.LastEventID)
}

// otherThan returns the ID of the last event of the outputs of other versions.
func (s *savedOutputs) otherThan(softwareVersion string) int64 {
	if softwareVersion != s.softwareVersion {
		return s.longest
	}
	return s.longestOther
}

// Restore sets an item's output to the output that is saved in the state.
func (t *ItemTable) Restore(key ItemKey, output ItemOutput) {
	if entry := t.entries[key]; entry != nil {
		entry.Output = output
		entry.saved = output.end()
		entry.saves.add(&output)
	}
}

// MaySave reports whether an output may be saved as progress. It may not while the log may hold
// an output of another software version that is at least as long: that one would not be replaced,
// and the next part would be appended to it.
func (t *ItemTable) MaySave(key ItemKey, output ItemOutput) bool {
	entry := t.entries[key]
	return entry != nil && output.LastEventID > entry.saves.otherThan(output.SoftwareVersion)
}

// Unsaved returns the part of an item's output that is neither in the log nor proposed: the
// ID of the event before the part, and the text of the part. It returns 0 and the whole
// output if nothing is saved, if the output does not continue the saved output, or if the
// table does not contain the item. It marks the output as proposed.
func (t *ItemTable) Unsaved(key ItemKey, output ItemOutput) (from int64, text []byte) {
	entry := t.entries[key]
	if entry == nil {
		return 0, output.Text
	}
	entry.saves.add(&output)
	if !entry.saved.isContinuedBy(&output) {
		entry.saved = output.end()
		return 0, output.Text
	}
	from = entry.saved.lastEventID
	text = output.Text[entry.saved.bytes:]
	if len(text) > 0 && text[0] == '\n' {
		text = text[1:]
	}
	entry.saved = output.end()
	return from, text
}

// ResetSaved records that a proposed part may not have reached the log, so that the next
// call of Unsaved returns the whole output.
func (t *ItemTable) ResetSaved(key ItemKey) {
	if entry := t.entries[key]; entry != nil {
		entry.saved = outputOffset{}
	}
}

// HasUnfinished reports whether a job has unfinished items.
func (t *ItemTable) HasUnfinished(job string) bool { return len(t.jobs[job]) > 0 }
