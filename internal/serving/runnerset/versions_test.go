package runnerset

import (
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"cobaltramp.example/cobaltramp/internal/cluster/subset"
)

const testWindow = 10 * time.Second

// A node that lists a second version must not count the first as the only one until no node can have
// used the second in the window, nor one that it has listed for less than that.
func TestSoleVersionNeedsTheWholeWindow(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	s := New()
	s.Replace([]Record{versioned("a", "v1")}, 1, now)
	sole := func(after time.Duration) bool { return s.Versions().SoleFor("s", testWindow, now.Add(after)) }
	const whole = testWindow + versionSlack
	is.True(!sole(whole - 1))
	is.True(sole(whole))
	s.ApplyChanges([]Record{versioned("b", "v2")}, nil, 2, now.Add(20*time.Second))
	is.True(!sole(time.Hour))
	s.ApplyChanges(nil, []string{"a"}, 3, now.Add(30*time.Second))
	is.True(!sole(30*time.Second + whole - 1))
	is.True(sole(30*time.Second + whole))
	is.True(!s.Versions().SoleFor("other", testWindow, now.Add(time.Hour)))
}

// keepContact checks the contact from one time to another as often as a node does, with the age that the
// contact has.
func keepContact(s *Set, from, to time.Time) {
	for at := from; at.Before(to); at = at.Add(200 * time.Millisecond) {
		s.Versions().Refresh(at)
	}
	s.Versions().Refresh(to)
}

// setInContact returns a set that has listed one runner and was in contact with the store for a whole
// window, its contact, and the time then.
func setInContact() (s *Set, contact *fakeContact, now time.Time) {
	began := time.Now()
	s, contact = New(), &fakeContact{}
	s.SetContact(contact, 0)
	s.Replace([]Record{versioned("a", "v1")}, 1, began)
	now = began.Add(testWindow + versionSlack)
	keepContact(s, began, now)
	return s, contact, now
}

// After a loss of contact with the store, versions may have been used elsewhere: none is established, nor
// the only one, before the whole window has passed in contact.
func TestContactBeginsAnewAfterItsLoss(t *testing.T) {
	is := is.New(t)
	s, contact, later := setInContact()
	in := VersionKnowledge{Known: true, Seen: []string{"v1"}, InContact: true, Established: []string{"v1"}}
	is.Equal(s.Versions().Knowledge("s", testWindow, later), in)
	is.True(s.Versions().SoleFor("s", testWindow, later))

	contact.age = maxContactAge + 1
	is.True(!s.Versions().SoleFor("s", testWindow, later)) // at once, not at the next check
	lost := later.Add(contact.age)
	s.Versions().Refresh(lost)
	out := s.Versions().Knowledge("s", testWindow, lost)
	is.Equal(out.Age, contact.age)
	is.Equal(out.Established, []string{"v1"}) // it was in contact when the window began

	contact.age = 0
	back := lost.Add(time.Second)
	keepContact(s, back, back.Add(testWindow+versionSlack))
	is.True(!s.Versions().SoleFor("s", testWindow, back.Add(testWindow+versionSlack-1)))
	is.True(s.Versions().SoleFor("s", testWindow, back.Add(testWindow+versionSlack)))
	is.True(!s.Versions().Knowledge("s", testWindow, back.Add(testWindow-1)).InContact)
	is.True(s.Versions().Knowledge("s", testWindow, back.Add(testWindow)).InContact)
}

// Guards against texts of two versions after an edge stood still: it has no time to notice that its list was not
// current for seconds before its contact is renewed.
func TestContactThatWasInterruptedUnnoticedBeginsAnew(t *testing.T) {
	is := is.New(t)
	s, _, stopped := setInContact()
	awake := stopped.Add(maxContactAge + time.Second) // the first check is after the renewal
	known := s.Versions().Knowledge("s", testWindow, awake)
	is.Equal(known.Age, time.Duration(0))
	is.True(!known.InContact)
	is.Equal(len(known.Established), 0)
}

// A node that lists only a part of a large service's runners can't know all versions.
func TestPartOfTheRunnersProvesNoVersion(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	s := New()
	totals := subset.Totals{{Service: "s", Zone: "z"}: subset.FullListLimit * 2}
	s.Select([]Record{versioned("a", "v1")}, totals, 1, now)
	is.True(!s.Versions().SoleFor("s", testWindow, now.Add(time.Hour)))
	is.True(!s.Versions().Knowledge("s", testWindow, now.Add(time.Hour)).Known)
	complete := now.Add(time.Hour)
	s.Select([]Record{versioned("a", "v1")}, subset.Totals{{Service: "s", Zone: "z"}: 1}, 2, complete)
	is.True(!s.Versions().SoleFor("s", testWindow, complete.Add(testWindow+versionSlack-1)))
	is.True(s.Versions().SoleFor("s", testWindow, complete.Add(testWindow+versionSlack)))
	is.True(!s.Versions().Knowledge("unknown", testWindow, now.Add(time.Hour)).Known)
}

// Whatever the lists: the versions that were listed in the window are seen, a version listed
// before the window is established, and a single version for the window is reported only then.
func TestHistoryMatchesLists(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		start := time.Now()
		now, s := start, New()
		type span struct{ first, last time.Time }
		spans := map[string]*span{}
		for revision := range rapid.IntRange(1, 8).Draw(t, "lists") {
			now = now.Add(time.Duration(rapid.IntRange(1, 9000).Draw(t, "ms")) * time.Millisecond)
			for _, known := range spans {
				if known.last.IsZero() {
					known.last = now // until the new list
				}
			}
			var records []Record
			for _, version := range rapid.SliceOfNDistinct(rapid.SampledFrom([]string{"v1", "v2", "v3"}), 0, 3, rapid.ID).Draw(t, "versions") {
				records = append(records, versioned("r"+version, version))
				if spans[version] == nil {
					spans[version] = &span{first: now}
				}
				spans[version].last = time.Time{} // still listed
			}
			s.Replace(records, int64(revision+1), now)
			if revision == 0 {
				start = now
			}
		}
		now = now.Add(time.Duration(rapid.IntRange(0, 20000).Draw(t, "ms")) * time.Millisecond)
		from := now.Add(-testWindow)
		earliest := from.Add(-versionSlack) // another node may still have used a version of that time
		seen, established := map[string]bool{}, map[string]bool{}
		for version, known := range spans {
			if known.last.IsZero() || !known.last.Before(earliest) {
				seen[version] = true
				if !start.After(from) && !known.first.After(from.Add(versionSlack)) {
					established[version] = true
				}
			}
		}
		got := s.Versions().Knowledge("s", testWindow, now)
		if !slices.Equal(got.Seen, slices.Sorted(maps.Keys(seen))) || !slices.Equal(got.Established, slices.Sorted(maps.Keys(established))) {
			t.Fatalf("got %+v, want seen %v, established %v", got, seen, established)
		}
		if got.Known && start.After(earliest) {
			t.Fatal("the history is shorter than the window, and counts as known")
		}
		if got.InContact && start.After(from) {
			t.Fatal("the contact is shorter than the window, and counts as uninterrupted")
		}
		if s.Versions().SoleFor("s", testWindow, now) && (!got.Known || !got.InContact || len(got.Seen) != 1 || len(got.Established) != 1) {
			t.Fatalf("one version for the window, but %+v", got)
		}
	})
}

// Versions that were not listed for a long time are forgotten.
func TestOldVersionsAreForgotten(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	s := New()
	s.Replace([]Record{versioned("a", "v1")}, 1, now)
	s.ApplyChanges(nil, []string{"a"}, 2, now)
	s.Versions().Refresh(now.Add(MaxVersionWindow + versionSlack))
	is.Equal(len(s.Versions().services), 1)
	s.Versions().Refresh(now.Add(MaxVersionWindow + versionSlack + 1))
	is.Equal(len(s.Versions().services), 0)
}

// fakeContact is a contact with the store.
type fakeContact struct{ age time.Duration }

func (c *fakeContact) Age() time.Duration     { return c.age }
func (c *fakeContact) HeldAge() time.Duration { return c.age }
func (c *fakeContact) Lost() bool             { return false }

// A node that received every change knows the versions of an outage, and one that restored its history
// those of its earlier run, up to when its list was current; after a gap neither does.
func TestVersionsAreKnownWithoutAGap(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	contact := &fakeContact{age: time.Hour}
	s := New()
	s.SetContact(contact, 0)
	s.Replace([]Record{versioned("a", "v1")}, 1, now)
	known := func(at time.Time) VersionKnowledge { return s.Versions().Knowledge("s", testWindow, at) }
	is.True(!known(now).Known)
	s.Versions().Restore(map[string][]string{"s": {"v0"}}, now)
	is.Equal(known(now), VersionKnowledge{Known: true, Seen: []string{"v0", "v1"}, Age: time.Hour})
	contact.age = 0
	is.Equal(known(now), VersionKnowledge{Known: true, Seen: []string{"v0", "v1"}})
	s.Versions().NoteListed(&Record{ID: "b", Service: "s", Version: "v2"}, now)
	is.Equal(known(now).Seen, []string{"v0", "v1", "v2"})
	is.Equal(s.Versions().Recent(), map[string][]string{"s": {"v0", "v1", "v2"}})
	contact.age = 20 * time.Second
	is.Equal(known(now).Age, contact.age)
	contact.age = 0
	s.Versions().RecordGap(now)
	is.True(!known(now.Add(testWindow + versionSlack - 1)).Known)
	is.True(known(now.Add(testWindow + versionSlack)).Known)
}

// Guards against texts of two versions after a loss of all power: a node that has its list from its disk counted as
// up to date as soon as the store had answered, while it still applied the answer, and took the version
// of its old list for the only one.
func TestVersionsOfAnOldListAreNotCurrentWhileChangesAreApplied(t *testing.T) {
	is := is.New(t)
	s := New()
	contact := &applyingContact{held: time.Hour}
	s.SetContact(contact, 0)
	now := time.Now()
	s.Replace([]Record{{ID: "a", Service: "s", Version: "v1"}}, 1, now) // from the disk
	s.Versions().Restore(map[string][]string{"s": {"v1"}}, now)
	for range 4 { // the store has answered, and its changes are being applied
		now = now.Add(100 * time.Millisecond)
		s.Versions().Refresh(now)
		known := s.Versions().Knowledge("s", 8*time.Second, now)
		is.Equal(known.Age, time.Hour)
		is.True(!known.InContact)
		is.Equal(len(known.Established), 0)
	}
	s.Replace([]Record{{ID: "a", Service: "s", Version: "v1"}, {ID: "b", Service: "s", Version: "v2"}}, 2, now)
	contact.held = 0
	s.Versions().Refresh(now)
	known := s.Versions().Knowledge("s", 8*time.Second, now)
	is.True(known.Known)
	is.Equal(known.Age, time.Duration(0))
	is.Equal(known.Seen, []string{"v1", "v2"})
}

// applyingContact is a contact with a store that has just answered.
type applyingContact struct{ held time.Duration }

func (*applyingContact) Age() time.Duration       { return 0 }
func (c *applyingContact) HeldAge() time.Duration { return c.held }
func (*applyingContact) Lost() bool               { return false }

// A runner that comes back under its ID with another version is known as changed for the window,
// whether or not its entry was removed in between.
func TestRunnersThatChangeTheirVersionAreKnown(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	s := New()
	s.Replace([]Record{versioned("a", "v1"), versioned("b", "v1"), versioned("c", "v1")}, 1, now)
	s.ApplyChanges([]Record{versioned("a", "v2")}, nil, 2, now)
	s.ApplyChanges(nil, []string{"b", "c"}, 3, now)
	s.ApplyChanges([]Record{versioned("b", "v2"), versioned("c", "v1")}, nil, 4, now)
	changed := func(at time.Time) []string { return s.Versions().Knowledge("s", testWindow, at).ChangedRunners }
	is.Equal(changed(now), []string{"a", "b"})
	is.Equal(changed(now.Add(testWindow+versionSlack)), []string{"a", "b"})
	is.Equal(len(changed(now.Add(testWindow+versionSlack+1))), 0)
	is.Equal(len(s.Versions().Knowledge("other", testWindow, now).ChangedRunners), 0)
	s.Versions().Refresh(now.Add(2 * MaxVersionWindow))
	is.Equal(len(s.Versions().changes.changed)+len(s.Versions().changes.removed), 0)
}
