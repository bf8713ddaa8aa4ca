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

type holder struct {
	lastRenewed time.Time
	keys        map[Key]bool
}

func (t *Table) renew(now time.Time, session Session) *holder {
	h := t.holders[session]
	if h == nil {
		h = &holder{keys: map[Key]bool{}}
		t.holders[session] = h
	}
	h.lastRenewed = now
	return h
}

// Adopt grants an item to a session that was already running it when this leader was
// elected.
func (t *Table) Adopt(now time.Time, session Session, key Key, item *wirev1.Item) {
	known := t.jobs[key.Job]
	if known == nil || t.grants[key] != nil || item == nil {
		return
	}
	h := t.renew(now, session)
	for model, list := range known.ready {
		for i, pending := range list {
			if pending.key == key {
				known.ready[model] = append(append([]pendingItem(nil), list[:i]...), list[i+1:]...)
			}
		}
	}
	delete(t.orphaned, key)
	t.grant(session, h, known, pendingItem{key: key, item: item, attempt: 1}, true)
}

// TickResult holds the items and jobs that a tick found due for a command.
type TickResult struct {
	// Unknown holds items of class once that may have started and have lost their
	// holder.
	Unknown []Key
	// Expired holds unfinished jobs past their deadline.
	Expired []string
	// Cancelled holds cancelled jobs without granted items.
	Cancelled []string
}

// Tick expires sessions, and returns the items and jobs that are due to end.
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

// expireSession ends a session that was not renewed in time. Repeatable items are
// requeued; items of class once that may have started become orphaned and are returned.
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

// StoppedJobs returns the stopped or removed jobs of which a session still holds items.
func (t *Table) StoppedJobs(session Session) []string {
	h := t.holders[session]
	if h == nil {
		return nil
	}
	found := map[string]bool{}
	for key := range h.keys {
		known := t.jobs[key.Job]
		if known == nil || known.stopping {
			found[key.Job] = true
		}
	}
	list := make([]string, 0, len(found))
	for id := range found {
		list = append(list, id)
	}
	sort.Strings(list)
	return list
}
