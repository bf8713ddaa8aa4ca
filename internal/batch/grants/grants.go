// Package grants is a shard leader's volatile state: which items are handed to
// whom, and in which order the others follow. Losing it costs repeats of
// repeatable items and never a promise: what is done, and what of class once
// may have begun, is in the shard's log.
//
// Nodes pull; a grant lasts as long as its holder's session is renewed. The package
// does no I/O and reads no clock; it relies on a Loader for the shard's applied
// state. The plain node runs it, on the leader of a shard (modules/batch/store).
package grants

import (
	"time"

	wirev1 "cobaltramp.example/cobaltramp/api/wire/v1"
)

// Timing holds the leader's times.
type Timing struct {
	// Lease is how long a silent session keeps its grants.
	Lease time.Duration
	// Grace is how long a new leader grants nothing, so that holders can say
	// what they run already.
	Grace time.Duration
}

// DefaultTiming requeues a dead node's items after five seconds.
func DefaultTiming() Timing {
	return Timing{Lease: 5 * time.Second, Grace: 1500 * time.Millisecond}
}

type job struct {
	id          string
	file        string
	tenant      string
	priority    int32
	deadline    time.Time
	created     int64
	segments    uint32
	nextSegment uint32
	ready       map[string][]pendingItem // by model
	outstanding int
	stopping    bool // cancelled or expired: nothing more is granted
	cancelled   bool
}

// Table is the state of one led shard. It is not safe for concurrent use.
//
// Invariant: an item is in at most one of: unloaded segments, ready, granted,
// withoutHolder; and in none once completed.
type Table struct {
	timing  Timing
	elected time.Time
	jobs    map[string]*job
	grants  map[Key]*grant
	holders map[Session]*holder
	tenants map[string]int // outstanding grants
	// withoutHolder are items of class once that may have begun and whose holder
	// is not known: begun under an earlier leader, or by a session that expired.
	withoutHolder map[Key]bool
	// completed are items that an earlier holder completed while they waited to
	// be handed out again.
	completed map[Key]bool
}

// New returns the table of a leader elected now.
func New(timing Timing, now time.Time) *Table {
	return &Table{
		timing: timing, elected: now, jobs: map[string]*job{}, grants: map[Key]*grant{},
		holders: map[Session]*holder{}, tenants: map[string]int{}, withoutHolder: map[Key]bool{}, completed: map[Key]bool{},
	}
}

// AddJob makes an unfinished job's items available.
func (t *Table) AddJob(record *wirev1.JobRecord) {
	if t.jobs[record.Spec.JobId] != nil {
		return
	}
	t.jobs[record.Spec.JobId] = &job{
		id: record.Spec.JobId, file: record.Spec.InputFileId, tenant: record.Spec.Tenant,
		priority: record.Spec.Priority, deadline: time.UnixMilli(record.Spec.DeadlineUnixMs), created: record.Spec.CreatedUnixMs,
		segments: record.Segments, ready: map[string][]pendingItem{},
		stopping:  record.Status == wirev1.JobStatus_JOB_STATUS_CANCELLING,
		cancelled: record.Status == wirev1.JobStatus_JOB_STATUS_CANCELLING,
	}
}

// RemoveJob forgets a job that has ended.
func (t *Table) RemoveJob(id string) {
	known := t.jobs[id]
	if known == nil {
		return
	}
	for key, held := range t.grants {
		if held.job == known {
			t.drop(key, held)
		}
	}
	for key := range t.withoutHolder {
		if key.Job == id {
			delete(t.withoutHolder, key)
		}
	}
	for key := range t.completed {
		if key.Job == id {
			delete(t.completed, key)
		}
	}
	delete(t.jobs, id)
}

// Stop grants no more of a job; cancelled jobs end when nothing is out.
func (t *Table) Stop(id string, cancelled bool) {
	if known := t.jobs[id]; known != nil {
		known.stopping = true
		known.cancelled = known.cancelled || cancelled
		known.ready = map[string][]pendingItem{}
		known.nextSegment = known.segments
	}
}

// FreeSlots is how many items of a model a puller can start.
type FreeSlots struct {
	Model string
	Items int
}

// Pull renews a session and returns offers for its free slots, none during the
// grace of a new leader. Items of class once must be confirmed with Confirm after
// their start is recorded, or handed back with Return. If the loader fails, its
// error comes with the offers made until then, which are granted.
func (t *Table) Pull(now time.Time, session Session, free []FreeSlots, loader Loader) ([]Offer, error) {
	h := t.renew(now, session)
	var offers []Offer
	if now.Sub(t.elected) < t.timing.Grace {
		return nil, nil
	}
	for _, wanted := range free {
		for range wanted.Items {
			offer, err := t.next(session, h, wanted.Model, loader)
			if err != nil {
				return offers, err
			}
			if offer == nil {
				break
			}
			offers = append(offers, *offer)
		}
	}
	return offers, nil
}

// Confirm says which once offers were recorded as started; offers not among
// them were begun before and are not handed out.
func (t *Table) Confirm(offers []Offer, started []*wirev1.ItemKey) []Offer {
	recorded := map[Key]bool{}
	for _, key := range started {
		recorded[KeyFromProto(key)] = true
	}
	kept := offers[:0]
	for _, offer := range offers {
		once := offer.Item.WorkClass == wirev1.WorkClass_WORK_CLASS_ONCE
		if !once || offer.Restarted || recorded[offer.Key] {
			kept = append(kept, offer)
			continue
		}
		if held := t.grants[offer.Key]; held != nil {
			t.drop(offer.Key, held)
			t.withoutHolder[offer.Key] = true
		}
	}
	return kept
}

// Outstanding returns the number of items handed out.
func (t *Table) Outstanding() int { return len(t.grants) }

// Pending reports whether any job may still have items to hand out.
func (t *Table) Pending() bool {
	for _, j := range t.jobs {
		if !j.stopping && (j.nextSegment < j.segments || j.readyCount() > 0) {
			return true
		}
	}
	return false
}
