package grants

import (
	"time"
)

// Return requeues items that a session gives back without a result: preempted items of
// the repeatable class, and items of class once that never reached an engine.
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

// Retry requeues an item after a failed attempt.
func (t *Table) Retry(session Session, key Key) {
	held := t.grants[key]
	if held == nil || held.session != session {
		return
	}
	t.release(key, held)
	held.item.attempt++
	t.requeue(held)
}

// Attempt returns the number of the current attempt of an item granted to the session,
// or 0 if the session does not hold the item.
func (t *Table) Attempt(session Session, key Key) uint32 {
	if held := t.grants[key]; held != nil && held.session == session {
		return held.item.attempt
	}
	return 0
}

// requeue puts an item at the front of the job's ready items, unless the job is stopping.
func (t *Table) requeue(held *grant) {
	if held.job.stopping || t.jobs[held.job.id] != held.job {
		return
	}
	model := held.item.item.Model
	held.job.ready[model] = append([]pendingItem{held.item}, held.job.ready[model]...)
}

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

// Completed removes items whose completion is committed.
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
