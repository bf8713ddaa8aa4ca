package grants

import (
	"time"
)

// Return renews a session and requeues items that it returns without a result: preempted
// items of the repeatable class, and items of class once that never reached an engine.
// Items that are not granted to the session are ignored.
func (t *Table) Return(now time.Time, session Session, keys []Key) {
	t.renew(now, session)
	for _, key := range keys {
		held := t.grants[key]
		if held == nil || held.session != session {
			continue
		}
		t.release(key, held)
		held.item.restarted = held.once
		t.requeue(held)
	}
}

// Retry requeues an item after a failed attempt, with the next attempt number. It does
// nothing if the item is not granted to the session.
func (t *Table) Retry(session Session, key Key) {
	held := t.grants[key]
	if held == nil || held.session != session {
		return
	}
	t.release(key, held)
	held.item.attempt++
	t.requeue(held)
}

// Attempt returns the number of the current attempt of an item, from 1 on, or 0 if the
// item is not granted to the session.
func (t *Table) Attempt(session Session, key Key) uint32 {
	if held := t.grants[key]; held != nil && held.session == session {
		return held.item.attempt
	}
	return 0
}

// requeue puts an item at the front of the job's ready items, unless the job is stopping
// or was removed.
func (t *Table) requeue(held *grant) {
	if held.job.stopping || t.jobs[held.job.id] != held.job {
		return
	}
	model := held.item.item.Model
	held.job.ready[model] = append([]pendingItem{held.item}, held.job.ready[model]...)
}

// release ends a grant.
func (t *Table) release(key Key, held *grant) {
	delete(t.grants, key)
	if h := t.holders[held.session]; h != nil {
		delete(h.keys, key)
	}
	held.job.outstanding--
	t.tenants[held.job.tenant]--
	if t.tenants[held.job.tenant] == 0 {
		delete(t.tenants, held.job.tenant)
	}
}

// Completed removes items whose completion is committed. It records those that are not
// granted, so that they are not granted later.
func (t *Table) Completed(keys []Key) {
	for _, key := range keys {
		if held := t.grants[key]; held != nil {
			t.release(key, held)
		} else if t.jobs[key.Job] != nil {
			t.completed[key] = true
		}
		delete(t.orphaned, key)
	}
}
