package grants

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	wirev1 "cobaltramp.example/cobaltramp/api/wire/v1"
	_ "cobaltramp.example/cobaltramp/internal/app/fixedseed"
)

// fakeState is the shard's applied state in memory. It implements Loader.
type fakeState struct {
	items    map[string][][]*wirev1.Item // file → segments
	done     map[Key]bool
	started  map[Key]bool
	attempts map[Key]int
}

func newFakeState() *fakeState {
	return &fakeState{items: map[string][][]*wirev1.Item{}, done: map[Key]bool{}, started: map[Key]bool{}, attempts: map[Key]int{}}
}

func (a *fakeState) Segment(file string, segment uint32) ([]*wirev1.Item, error) {
	return a.items[file][segment], nil
}

func (a *fakeState) Progress(job string, segment uint32) (*wirev1.SegmentProgress, error) {
	progress := &wirev1.SegmentProgress{Done: make([]byte, 16), Started: make([]byte, 16)}
	for key := range a.done {
		if key.Job == job && key.Segment == segment {
			progress.Done[key.Offset/8] |= 1 << (key.Offset % 8)
		}
	}
	for key := range a.started {
		if key.Job == job && key.Segment == segment {
			progress.Started[key.Offset/8] |= 1 << (key.Offset % 8)
		}
	}
	return progress, nil
}

func (a *fakeState) addJob(table *Table, id, tenant string, segments, items int, class wirev1.WorkClass, priority int32) *wirev1.JobRecord {
	for segment := range segments {
		a.items[id] = append(a.items[id], nil)
		for range items {
			a.items[id][segment] = append(a.items[id][segment], &wirev1.Item{Model: "m", WorkClass: class})
		}
	}
	record := &wirev1.JobRecord{
		Segments: uint32(segments), Total: uint64(segments * items), Status: wirev1.JobStatus_JOB_STATUS_IN_PROGRESS,
		Spec: &wirev1.CreateJob{JobId: id, InputFileId: id, Tenant: tenant, Priority: priority, DeadlineUnixMs: 1 << 50},
	}
	table.AddJob(record)
	return record
}

// simulation drives a table with sessions that pull, complete and return items or expire,
// and with changes of the leader.
type simulation struct {
	table *Table
	state *fakeState
	now   time.Time
	jobs  []*wirev1.JobRecord
	// holding is the set of items that each session takes to be granted to it.
	holding map[Session]map[Key]bool
	onceRan map[Key]int
	class   wirev1.WorkClass
}

func (w *simulation) advance(d time.Duration) { w.now = w.now.Add(d) }

func (w *simulation) session(t *rapid.T) Session {
	return Session{Node: fmt.Sprint("n", rapid.IntRange(0, 3).Draw(t, "node")), ID: 1}
}

func (w *simulation) pull(t *rapid.T) {
	session := w.session(t)
	offers, err := w.table.Pull(w.now, session, []FreeSlots{{Model: "m", Items: rapid.IntRange(0, 5).Draw(t, "free")}}, w.state)
	if err != nil {
		t.Fatalf("pull: %v", err)
	}
	var started []*wirev1.ItemKey
	for _, offer := range offers {
		if offer.Item.WorkClass == wirev1.WorkClass_WORK_CLASS_ONCE && !offer.Restarted && !w.state.started[offer.Key] {
			w.state.started[offer.Key] = true
			started = append(started, offer.Key.Proto())
		}
	}
	if w.holding[session] == nil {
		w.holding[session] = map[Key]bool{}
	}
	for _, offer := range w.table.Confirm(offers, started) {
		if w.state.done[offer.Key] {
			t.Fatalf("a completed item was granted: %v", offer.Key)
		}
		w.holding[session][offer.Key] = true
		if offer.Item.WorkClass == wirev1.WorkClass_WORK_CLASS_ONCE {
			w.onceRan[offer.Key]++
			if w.onceRan[offer.Key] > 1 {
				t.Fatalf("item %v of class once was granted again after it may have run", offer.Key)
			}
		}
	}
}

func (w *simulation) pick(t *rapid.T) (Session, Key, bool) {
	session := w.session(t)
	for segment := range 3 {
		for offset := range 5 {
			for _, job := range w.jobs {
				key := Key{job.Spec.JobId, uint32(segment), uint32(offset)}
				if w.holding[session][key] && rapid.Bool().Draw(t, "this one") {
					return session, key, true
				}
			}
		}
	}
	return session, Key{}, false
}

func (w *simulation) complete(t *rapid.T) {
	session, key, found := w.pick(t)
	if !found {
		return
	}
	delete(w.holding[session], key)
	w.state.done[key] = true
	w.table.Completed([]Key{key})
}

func (w *simulation) returnItem(t *rapid.T) {
	session, key, found := w.pick(t)
	if !found {
		return
	}
	delete(w.holding[session], key)
	if held := w.table.grants[key]; held != nil && held.session == session && w.class == wirev1.WorkClass_WORK_CLASS_ONCE {
		w.onceRan[key]-- // returned without having run
	}
	w.table.Return(w.now, session, []Key{key})
}

func (w *simulation) wait(t *rapid.T) {
	w.advance(time.Duration(rapid.IntRange(100, 7000).Draw(t, "ms")) * time.Millisecond)
	due := w.table.Tick(w.now)
	for _, key := range due.Unknown {
		w.state.done[key] = true
	}
	w.table.Completed(due.Unknown)
}

func (w *simulation) newLeader(*rapid.T) {
	w.table = New(DefaultTiming(), w.now)
	for _, job := range w.jobs {
		w.table.AddJob(job)
	}
}

func (w *simulation) check(t *rapid.T) {
	owners := map[Key]Session{}
	for key, held := range w.table.grants {
		owners[key] = held.session
		if held.job.outstanding <= 0 || w.table.tenants[held.job.tenant] <= 0 {
			t.Fatalf("the counts of outstanding grants are wrong for %v", key)
		}
	}
	for _, j := range w.table.jobs {
		for _, list := range j.ready {
			for _, pending := range list {
				if _, granted := owners[pending.key]; granted {
					t.Fatalf("%v is both granted and ready", pending.key)
				}
			}
		}
	}
}

// finish runs all remaining items in one session that doesn't fail.
func (w *simulation) finish(t *rapid.T) {
	session := Session{Node: "last", ID: 9}
	for range 400 {
		w.advance(600 * time.Millisecond)
		due := w.table.Tick(w.now)
		for _, key := range due.Unknown {
			w.state.done[key] = true
		}
		w.table.Completed(due.Unknown)
		offers, err := w.table.Pull(w.now, session, []FreeSlots{{Model: "m", Items: 50}}, w.state)
		if err != nil {
			t.Fatalf("pull: %v", err)
		}
		var started []*wirev1.ItemKey
		for _, offer := range offers {
			if !w.state.started[offer.Key] {
				w.state.started[offer.Key] = true
				started = append(started, offer.Key.Proto())
			}
		}
		for _, offer := range w.table.Confirm(offers, started) {
			w.state.done[offer.Key] = true
			w.table.Completed([]Key{offer.Key})
		}
	}
}

// Every item ends in spite of lost sessions and leaders. No completed item is granted
// again, and no item of class once is granted again after it may have run.
func TestEveryItemEndsAndOnceItemsAreOfferedOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := &simulation{state: newFakeState(), now: time.Unix(0, 0), holding: map[Session]map[Key]bool{}, onceRan: map[Key]int{}}
		w.table = New(DefaultTiming(), w.now)
		w.advance(5 * time.Second)
		w.class = rapid.SampledFrom([]wirev1.WorkClass{wirev1.WorkClass_WORK_CLASS_REPEATABLE, wirev1.WorkClass_WORK_CLASS_ONCE}).Draw(t, "class")
		for i := range rapid.IntRange(1, 3).Draw(t, "jobs") {
			w.jobs = append(w.jobs, w.state.addJob(w.table, fmt.Sprint("j", i), fmt.Sprint("t", i%2), rapid.IntRange(1, 3).Draw(t, "segments"), 5, w.class, 5))
		}
		t.Repeat(map[string]func(*rapid.T){
			"pull": w.pull, "complete": w.complete, "give back": w.returnItem, "wait": w.wait, "new leader": w.newLeader, "": w.check,
		})
		w.finish(t)
		for _, job := range w.jobs {
			for segment, items := range w.state.items[job.Spec.InputFileId] {
				for offset := range items {
					if key := (Key{job.Spec.JobId, uint32(segment), uint32(offset)}); !w.state.done[key] {
						t.Fatalf("item %v did not end", key)
					}
				}
			}
		}
	})
}

// An item that a holder completes after its session expired is not granted again.
func TestLateCompletionPreventsAnotherOffer(t *testing.T) {
	is := is.New(t)
	now := time.Unix(0, 0)
	table, state := New(DefaultTiming(), now), newFakeState()
	state.addJob(table, "j", "t", 1, 2, wirev1.WorkClass_WORK_CLASS_REPEATABLE, 5)
	now = now.Add(10 * time.Second)
	offers, err := table.Pull(now, Session{"slow", 1}, []FreeSlots{{"m", 2}}, state)
	is.NoErr(err)
	is.Equal(len(offers), 2)
	now = now.Add(time.Minute)
	table.Tick(now)
	table.Completed([]Key{offers[0].Key})
	again, err := table.Pull(now, Session{"other", 1}, []FreeSlots{{"m", 2}}, state)
	is.NoErr(err)
	is.Equal(len(again), 1)
	is.Equal(again[0].Key, offers[1].Key)
	is.Equal(len(table.completed), 0)
}

// No item of a cancelled job is granted, and the job is due to end exactly when its last
// granted item is returned or expires.
func TestCancelledJobEndsAfterItsLastItem(t *testing.T) {
	is := is.New(t)
	now := time.Unix(0, 0)
	table, state := New(DefaultTiming(), now), newFakeState()
	state.addJob(table, "j", "t", 1, 5, wirev1.WorkClass_WORK_CLASS_REPEATABLE, 5)
	now = now.Add(10 * time.Second)
	session := Session{Node: "n", ID: 1}
	offers, err := table.Pull(now, session, []FreeSlots{{"m", 2}}, state)
	is.NoErr(err)
	is.Equal(len(offers), 2)

	table.Stop("j", true)
	more, err := table.Pull(now, session, []FreeSlots{{"m", 5}}, state)
	is.NoErr(err)
	is.Equal(len(more), 0)                              // nothing more is granted
	is.Equal(table.StoppedJobs(session), []string{"j"}) // the holder is notified
	is.Equal(len(table.Tick(now).Cancelled), 0)         // two items are still granted
	table.Return(now, session, []Key{offers[0].Key})
	is.Equal(len(table.Tick(now).Cancelled), 0)
	now = now.Add(time.Minute) // the session that holds the other item expires
	table.Tick(now)
	is.Equal(table.Tick(now).Cancelled, []string{"j"})
}

func TestOffersFollowPriorityAndTenantFairness(t *testing.T) {
	is := is.New(t)
	now := time.Unix(0, 0)
	table, state := New(DefaultTiming(), now), newFakeState()
	now = now.Add(10 * time.Second)
	state.addJob(table, "low", "a", 1, 5, wirev1.WorkClass_WORK_CLASS_REPEATABLE, 1)
	state.addJob(table, "first", "a", 1, 5, wirev1.WorkClass_WORK_CLASS_REPEATABLE, 5)
	state.addJob(table, "second", "b", 1, 5, wirev1.WorkClass_WORK_CLASS_REPEATABLE, 5)
	offers, err := table.Pull(now, Session{"n", 1}, []FreeSlots{{"m", 12}}, state)
	is.NoErr(err)
	counts := map[string]int{}
	for i, offer := range offers {
		counts[offer.Key.Job]++
		if i == 3 {
			is.Equal(counts["first"], 2) // tenants alternate
			is.Equal(counts["second"], 2)
		}
	}
	is.Equal(counts["low"], 2) // only after all items of higher priority are granted
}

func BenchmarkPull(b *testing.B) {
	now := time.Unix(0, 0)
	state := newFakeState()
	table := New(DefaultTiming(), now)
	now = now.Add(10 * time.Second)
	for i := range 40 {
		state.addJob(table, fmt.Sprint("j", i), fmt.Sprint("t", i%7), 200, 100, wirev1.WorkClass_WORK_CLASS_REPEATABLE, 5)
	}
	session := Session{"n", 1}
	b.ReportAllocs()
	for b.Loop() {
		offers, _ := table.Pull(now, session, []FreeSlots{{"m", 64}}, state)
		keys := make([]Key, len(offers))
		for i, offer := range offers {
			keys[i] = offer.Key
		}
		table.Return(now, session, keys)
	}
}
