package grants

import (
	"sort"
	"time"

	wirev1 "cobaltramp.example/cobaltramp/api/wire/v1"
)

// Session identifies one lifetime of a node's process.
type Session struct {
	Node string
	ID   uint64
}

// holder is a session to which items may be granted.
type holder struct {
	lastRenewed time.Time
	keys        map[Key]bool // granted items
}

// renew restarts the lease of a session, and adds the session if it is new.
func (t *Table) renew(now time.Time, session Session) *holder {
	h := t.holders[session]
	if h == nil {
		h = &holder{keys: map[Key]bool{}}
		t.holders[session] = h
	}
	h.lastRenewed = now
	return h
}

// Adopt renews a session and grants it an item that an earlier leader had granted and that
// the session is still running. It does nothing if the job is not in the table, the item is
// nil, or the item is already granted. An adopted item counts as its first attempt.
func (t *Table) Adopt(now time.Time, session Session, key Key, item *wirev1.Item) {
	existing := t.jobs[key.Job]
	if existing == nil || t.grants[key] != nil || item == nil {
		return
	}
	h := t.renew(now, session)
	for model, list := range existing.ready {
		for i, pending := range list {
			if pending.key == key {
				existing.ready[model] = append(append([]pendingItem(nil), list[:i]...), list[i+1:]...)
			}
		}
	}
	delete(t.orphaned, key)
	t.grant(session, h, existing, pendingItem{key: key, item: item, attempt: 1}, true)
}

// TickResult lists the items and jobs that are due to end by a command of the log.
type TickResult struct {
	// Unknown lists items of class once that may have started and have no holder. Their
	// outcome is unknown.
	Unknown []Key
	// Expired lists the IDs of jobs past their deadline that are not stopping yet.
	Expired []string
	// Cancelled lists the IDs of cancelled jobs without granted items.
	Cancelled []string
}

// Tick expires sessions, removes stopped jobs without granted items that were not
// cancelled, and returns the items and jobs that are due to end. It returns an item of class
// once when the holder's session expires. Once a grace period and a lease have passed since
// the election, it returns all orphaned items at each call; until then, sessions may adopt
// them. Jobs are returned at each call until they are stopped or removed.
func (t *Table) Tick(now time.Time) TickResult {
	var due TickResult
	for session, h := range t.holders {
		if now.Sub(h.lastRenewed) >= t.timing.Lease {
			due.Unknown = append(due.Unknown, t.expireSession(session, h)...)
		}
	}
	if now.Sub(t.elected) >= t.timing.Lease+t.timing.Grace {
		for key := range t.orphaned {
			due.Unknown = append(due.Unknown, key)
		}
	}
	for id, j := range t.jobs {
		if !j.stopping && now.After(j.deadline) {
			due.Expired = append(due.Expired, id)
		}
		if j.cancelled && j.outstanding == 0 {
			due.Cancelled = append(due.Cancelled, id)
		}
		if j.stopping && !j.cancelled && j.outstanding == 0 {
			delete(t.jobs, id)
		}
	}
	sort.Strings(due.Expired)
	sort.Strings(due.Cancelled)
	return due
}

// expireSession removes a session that was not renewed in time. Its repeatable items are
// requeued for their next attempt; its items of class once become orphaned, and their keys
// are returned.
func (t *Table) expireSession(session Session, h *holder) []Key {
	var unknown []Key
	for key := range h.keys {
		held := t.grants[key]
		t.release(key, held)
		if held.once {
			t.orphaned[key] = true
			unknown = append(unknown, key)
			continue
		}
		held.item.attempt++
		t.requeue(held)
	}
	delete(t.holders, session)
	return unknown
}

// StoppedJobs returns the sorted IDs of the stopped or removed jobs of which items are
// still granted to the session.
func (t *Table) StoppedJobs(session Session) []string {
	h := t.holders[session]
	if h == nil {
		return nil
	}
	stopped := map[string]bool{}
	for key := range h.keys {
		existing := t.jobs[key.Job]
		if existing == nil || existing.stopping {
			stopped[key.Job] = true
		}
	}
	list := make([]string, 0, len(stopped))
	for id := range stopped {
		list = append(list, id)
	}
	sort.Strings(list)
	return list
}
