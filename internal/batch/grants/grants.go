// Package grants implements the volatile state of a shard's leader: the items that are
// granted to sessions of nodes, and the order in which pending items are granted.
//
// Nodes pull items. A grant lasts until the item is completed or returned, or until its
// session, the holder, is not renewed for the duration of the lease. Items of the
// repeatable class may be granted again after the loss of a holder. Items of class once run
// at most once: the caller records their start in the shard's log before it sends them to
// the holder. If the holder of such an item is lost after the start, the outcome of the item
// is unknown, because the item may or may not have run. When a leader is lost, repeatable
// items may be granted again although they are still running.
//
// The package does no I/O and reads no clock; a Loader reads the shard's applied state, the
// state after the committed commands of the log. The plain node runs the package on the
// leader of a shard (modules/batch/store).
package grants

import (
	"time"

	wirev1 "cobaltramp.example/cobaltramp/api/wire/v1"
)

// Timing holds the durations by which a leader manages grants.
type Timing struct {
	// Lease is how long a session keeps its grants without a renewal.
	Lease time.Duration
	// Grace is how long a new leader grants nothing, so that holders can report the
	// items they are already running.
	Grace time.Duration
}

// DefaultTiming returns the default durations.
func DefaultTiming() Timing {
	return Timing{Lease: 5 * time.Second, Grace: 1500 * time.Millisecond}
}

// job is an unfinished job. The items of segments from nextSegment on are not loaded yet.
type job struct {
	id          string
	file        string
	tenant      string
	priority    int32
	deadline    time.Time
	created     int64 // Unix milliseconds
	segments    uint32
	nextSegment uint32
	ready       map[string][]pendingItem // by model
	outstanding int                      // number of granted items
	stopping    bool                     // cancelled or expired; no more items are granted
	cancelled   bool
}

// Table is the leader's state of one shard. It is not safe for concurrent use.
//
// An item starts in an unloaded segment and becomes ready when the segment is loaded. A
// grant takes it from the ready items; a return, a retry or the end of its session may put
// it back there. Adopt grants items from any of these states.
type Table struct {
	timing  Timing
	elected time.Time
	jobs    map[string]*job
	grants  map[Key]*grant
	holders map[Session]*holder
	tenants map[string]int // number of outstanding grants by tenant
	// orphaned holds items of class once that may have started and have no known
	// holder: they started under an earlier leader, their session expired, or Confirm
	// withdrew their offer.
	orphaned map[Key]bool
	// completed holds items that were completed while they were not granted, for example
	// by an earlier holder. They are skipped instead of being granted again.
	completed map[Key]bool
}

// New returns the table of a leader that was elected at the time now.
func New(timing Timing, now time.Time) *Table {
	return &Table{
		timing: timing, elected: now, jobs: map[string]*job{}, grants: map[Key]*grant{},
		holders: map[Session]*holder{}, tenants: map[string]int{}, orphaned: map[Key]bool{}, completed: map[Key]bool{},
	}
}

// AddJob adds an unfinished job, unless the table already contains the job. No item of a
// job that is being cancelled is granted.
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

// RemoveJob removes a job that has ended, with its items and grants.
func (t *Table) RemoveJob(id string) {
	existing := t.jobs[id]
	if existing == nil {
		return
	}
	for key, held := range t.grants {
		if held.job == existing {
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

// Stop stops granting items of a job, because the job was cancelled or has expired. When
// no item of the job is granted any more, Tick reports a cancelled job as due to end, and
// removes an expired one from the table.
func (t *Table) Stop(id string, cancelled bool) {
	if existing := t.jobs[id]; existing != nil {
		existing.stopping = true
		existing.cancelled = existing.cancelled || cancelled
		existing.ready = map[string][]pendingItem{}
		existing.nextSegment = existing.segments
	}
}

// FreeSlots is the number of items of a model that a pulling node can start.
type FreeSlots struct {
	Model string
	Items int
}

// Pull renews a session and grants it items for its free slots, but none during the
// grace period of a new leader. Before the caller sends offers that need a recorded start
// (see Offer), it records the starts and passes the offers to Confirm. If the loader
// fails, Pull returns the error together with the offers that are already granted.
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

// Confirm returns the offers that may be sent to the holder: repeatable items, restarted
// items, and items of class once that are in started, the keys whose start was recorded
// for these offers. The other items of class once started earlier, or recording their
// start failed; their grants are released and they become orphaned. Confirm reuses the
// memory of offers.
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

// HasPending reports whether a job that is not stopping has ready items or unloaded
// segments.
func (t *Table) HasPending() bool {
	for _, j := range t.jobs {
		if !j.stopping && (j.nextSegment < j.segments || j.readyCount() > 0) {
			return true
		}
	}
	return false
}
