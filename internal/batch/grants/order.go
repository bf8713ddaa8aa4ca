package grants

import (
	wirev1 "cobaltramp.example/cobaltramp/api/wire/v1"
	"cobaltramp.example/cobaltramp/internal/batch/shard"
)

type grant struct {
	session Session
	item    pendingItem
	job     *job
	// once reports that the item is of class once. When its session expires, the item
	// may have run, so it is not granted again and its outcome is unknown.
	once bool
}

// nextOffer grants the next item of a model. It takes the item from the first job in the
// order of comesFirst that has a ready item. It returns nil if no job has one.
func (t *Table) nextOffer(session Session, h *holder, model string, loader Loader) (*Offer, error) {
	for {
		best, err := t.bestJob(model, loader)
		if err != nil || best == nil {
			return nil, err
		}
		list := best.ready[model]
		first := list[0]
		best.ready[model] = list[1:]
		if t.grants[first.key] != nil {
			continue // granted by an earlier leader and adopted
		}
		if t.completed[first.key] {
			delete(t.completed, first.key)
			continue
		}
		t.grant(session, h, best, first, first.item.WorkClass == wirev1.WorkClass_WORK_CLASS_ONCE)
		return &Offer{
			Key: first.key, Item: first.item, Attempt: first.attempt, Tenant: best.tenant, Deadline: best.deadline, Restarted: first.restarted,
		}, nil
	}
}

// grant grants an item to a session. The grant's once is set only for items of class once.
func (t *Table) grant(session Session, h *holder, owner *job, item pendingItem, once bool) {
	t.grants[item.key] = &grant{session: session, item: item, job: owner, once: once && item.item.WorkClass == wirev1.WorkClass_WORK_CLASS_ONCE}
	h.keys[item.key] = true
	owner.outstanding++
	t.tenants[owner.tenant]++
}

// bestJob returns the first job in the order of comesFirst that has a ready item of the
// model, or nil if there is none. It loads segments of jobs in search of such items.
func (t *Table) bestJob(model string, loader Loader) (*job, error) {
	var best *job
	for _, candidate := range t.jobs {
		if candidate.stopping || (best != nil && !t.comesFirst(candidate, best)) {
			continue
		}
		if err := t.loadUntilReady(candidate, model, loader); err != nil {
			return nil, err
		}
		if len(candidate.ready[model]) > 0 {
			best = candidate
		}
	}
	return best, nil
}

// comesFirst reports whether items of job a are granted before those of job b: by the
// higher priority, then the tenant with fewer granted items, then the earlier deadline,
// then the earlier creation, then the ID.
func (t *Table) comesFirst(a, b *job) bool {
	if a.priority != b.priority {
		return a.priority > b.priority
	}
	if grantedA, grantedB := t.tenants[a.tenant], t.tenants[b.tenant]; grantedA != grantedB {
		return grantedA < grantedB
	}
	if !a.deadline.Equal(b.deadline) {
		return a.deadline.Before(b.deadline)
	}
	if a.created != b.created {
		return a.created < b.created
	}
	return a.id < b.id
}

// maxReady is the number of ready items, of any model, from which on no further segments
// of a job are loaded. Items in those segments wait until the number falls.
const maxReady = 4000

// loadUntilReady loads segments of a job until an item of the model is ready, no segment
// is left, or maxReady is reached.
func (t *Table) loadUntilReady(j *job, model string, loader Loader) error {
	for len(j.ready[model]) == 0 && j.nextSegment < j.segments && j.readyCount() < maxReady {
		if err := t.loadSegment(j, j.nextSegment, loader); err != nil {
			return err
		}
		j.nextSegment++
	}
	return nil
}

func (j *job) readyCount() int {
	count := 0
	for _, list := range j.ready {
		count += len(list)
	}
	return count
}

// loadSegment makes the items of a segment ready, except those that are done or granted.
// Items that have started without being granted become orphaned.
func (t *Table) loadSegment(j *job, segment uint32, loader Loader) error {
	progress, err := loader.Progress(j.id, segment)
	if err != nil {
		return err
	}
	items, err := loader.Segment(j.file, segment)
	if err != nil {
		return err
	}
	for offset, item := range items {
		key := Key{j.id, segment, uint32(offset)}
		delete(t.completed, key) // the applied state includes the completion
		switch {
		case shard.IsDone(progress, key.Offset) || t.grants[key] != nil:
		case shard.IsStarted(progress, key.Offset):
			t.orphaned[key] = true
		default:
			j.ready[item.Model] = append(j.ready[item.Model], pendingItem{key: key, item: item, attempt: 1})
		}
	}
	return nil
}
