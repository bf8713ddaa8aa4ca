// Package grants implements the volatile state of a shard's leader: the items granted to
// sessions of nodes, and the order in which pending items are granted. Losing this state
// may repeat repeatable items but breaks no guarantee, because the shard's log records
// completed items and started items of class once, which run at most once.
//
// Nodes pull items. A grant lasts as long as its holder renews the session. The package
// does no I/O and reads no clock; a Loader reads the shard's applied state. The plain
// node runs it on the leader of a shard (modules/batch/store).
package grants

import (
	"time"

	wirev1 "cobaltramp.example/cobaltramp/api/wire/v1"
)

// Timing holds the durations by which a leader manages grants.
type Timing struct {
	// Lease is how long a session keeps its grants without renewal.
	Lease time.Duration
	// Grace is how long a new leader grants nothing, so that holders can report the
	// items they are already running.
	Grace time.Duration
}

// DefaultTiming returns the default durations.
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
	stopping    bool // cancelled or expired; no more items are granted
	cancelled   bool
}

// Table is the leader's state of one shard. It is not safe for concurrent use.
//
// Invariant: an item is in at most one of the unloaded segments, the ready items, the
// grants and the orphaned items. A completed item is in none of them.
type Table struct {
	timing  Timing
	elected time.Time
	jobs    map[string]*job
	grants  map[Key]*grant
	holders map[Session]*holder
	tenants map[string]int // number of outstanding grants by tenant
	// orphaned holds items of class once that may have started and have no known
	// holder: they started under an earlier leader, or their session expired.
	orphaned map[Key]bool
	// completed holds items that an earlier holder completed while they were waiting
	// to be granted again.
	completed map[Key]bool
}

// New returns the table of a leader that was elected at the time now.
func New(timing Timing, now time.Time) *Table {
	return &Table{
		timing: timing, elected: now, jobs: map[string]*job{}, grants: map[Key]*grant{},
		holders: map[Session]*holder{}, tenants: map[string]int{}, orphaned: map[Key]bool{}, completed: map[Key]bool{},
	}
}

// AddJob adds the items of an unfinished job, unless the table already holds the job.
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

// RemoveJob removes a job that has ended, with its grants.
func (t *Table) RemoveJob(id string) {
	known := t.jobs[id]
	if known == nil {
		return
	}
	for key, held := range t.grants {
		if held.job == known {
			t.release(key, held)
		}
	}
	for key := range t.orphaned {
		if key.Job == id {
			delete(t.orphaned, key)
		}
	}
	for key := range t.completed {
		if key.Job == id {
			delete(t.completed, key)
		}
	}
	delete(t.jobs, id)
}

// Stop stops granting items of a job. A cancelled job ends when none of its items is
// granted any more.
func (t *Table) Stop(id string, cancelled bool) {
	if known := t.jobs[id]; known != nil {
		known.stopping = true
		known.cancelled = known.cancelled || cancelled
		known.ready = map[string][]pendingItem{}
		known.nextSegment = known.segments
	}
}

// FreeSlots is the number of items of a model that a pulling node can start.
type FreeSlots struct {
	Model string
	Items int
}

// Pull renews a session and grants it items for its free slots, but none during the
// grace period of a new leader. Offers of class once must be passed to Confirm after
// their start has been recorded, or given back with Return. If the loader fails, Pull
// returns the error together with the offers that are already granted.
func (t *Table) Pull(now time.Time, session Session, free []FreeSlots, loader Loader) ([]Offer, error) {
	h := t.renew(now, session)
	var offers []Offer
	if now.Sub(t.elected) < t.timing.Grace {
		return nil, nil
	}
	for _, wanted := range free {
		for range wanted.Items {
			offer, err := t.nextOffer(session, h, wanted.Model, loader)
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

// Confirm returns the offers that may be sent to the holder. It takes the keys of the
// offers of class once whose start was recorded now. The other offers of that class had
// already started earlier; their grants are released and they become orphaned.
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
			t.release(offer.Key, held)
			t.orphaned[offer.Key] = true
		}
	}
	return kept
}

// Outstanding returns the number of granted items.
func (t *Table) Outstanding() int { return len(t.grants) }

// HasPending reports whether any job may still have items to grant.
func (t *Table) HasPending() bool {
	for _, j := range t.jobs {
		if !j.stopping && (j.nextSegment < j.segments || j.readyCount() > 0) {
			return true
		}
	}
	return false
}
