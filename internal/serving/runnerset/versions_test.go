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

// A node that lists a second version must not count the first as the only one until the window
// has passed without the second, nor one that it has listed for less than the window.
func TestSoleVersionNeedsTheWholeWindow(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	s := New()
	s.Replace([]Record{versioned("a", "v1")}, 1, now)
	sole := func(after time.Duration) bool { return s.Versions().SoleFor("s", testWindow, now.Add(after)) }
	is.True(!sole(testWindow - 1))
	is.True(sole(testWindow))
	s.ApplyChanges([]Record{versioned("b", "v2")}, nil, 2, now.Add(20*time.Second))
	is.True(!sole(time.Hour))
	s.ApplyChanges(nil, []string{"a"}, 3, now.Add(30*time.Second))
	is.True(!sole(30*time.Second + testWindow - 1))
	is.True(sole(30*time.Second + testWindow))
	is.True(!s.Versions().SoleFor("other", testWindow, now.Add(time.Hour)))
}

// After a loss of contact with the store, versions may have been missed.
func TestHistoryBeginsAnewAfterLossOfContact(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	contact := &fakeContact{lost: true} // so that only the time of the contact counts
	s := New()
	s.SetContact(contact, 0)
	s.Replace([]Record{versioned("a", "v1")}, 1, now)
	later := now.Add(testWindow)
	is.Equal(s.Versions().Knowledge("s", testWindow, later), VersionKnowledge{Known: true, Seen: []string{"v1"}, Established: []string{"v1"}})
	contact.age = maxContactAge + 1
	s.Versions().Refresh(later)
	is.True(!s.Versions().SoleFor("s", testWindow, later))
	is.True(!s.Versions().Knowledge("s", testWindow, later).Known)
	contact.age = 0
	is.True(!s.Versions().Knowledge("s", testWindow, later.Add(testWindow-1)).Known)
	is.True(s.Versions().Knowledge("s", testWindow, later.Add(testWindow)).Known)
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
	is.True(!s.Versions().SoleFor("s", testWindow, complete.Add(testWindow-1)))
	is.True(s.Versions().SoleFor("s", testWindow, complete.Add(testWindow)))
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
		now = now.Add(time.Duration(rapid.IntRange(0, 15000).Draw(t, "ms")) * time.Millisecond)
		from := now.Add(-testWindow)
		seen, established := map[string]bool{}, map[string]bool{}
		for version, known := range spans {
			if known.last.IsZero() || !known.last.Before(from) {
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
		if got.Known && start.After(from) {
			t.Fatal("the history is shorter than the window, and counts as known")
		}
		if s.Versions().SoleFor("s", testWindow, now) && (!got.Known || len(got.Seen) != 1 || len(got.Established) != 1) {
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
	s.Versions().Refresh(now.Add(MaxVersionWindow))
	is.Equal(len(s.Versions().services), 1)
	s.Versions().Refresh(now.Add(MaxVersionWindow + 1))
	is.Equal(len(s.Versions().services), 0)
}

// fakeContact is a contact with the store.
type fakeContact struct {
	age  time.Duration
	lost bool
}

func (c *fakeContact) Age() time.Duration     { return c.age }
func (c *fakeContact) HeldAge() time.Duration { return c.age }
func (c *fakeContact) Lost() bool             { return c.lost }

// A node that received every change knows the versions of an outage once it is in contact again, and
// one that restored its history those of its earlier run; after a gap neither does.
func TestVersionsAreKnownWithoutAGap(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	contact := &fakeContact{lost: true, age: time.Hour}
	s := New()
	s.SetContact(contact, 0)
	s.Replace([]Record{versioned("a", "v1")}, 1, now)
	known := func(at time.Time) VersionKnowledge { return s.Versions().Knowledge("s", testWindow, at) }
	s.Versions().Restore(map[string][]string{"s": {"v0"}}, now)
	is.True(!known(now).Known)
	contact.lost, contact.age = false, 0
	is.True(!known(now).Known) // the changes may not have arrived yet
	at := now.Add(catchUpTime)
	is.Equal(known(at), VersionKnowledge{Known: true, Seen: []string{"v0", "v1"}})
	s.Versions().NoteListed(&Record{ID: "b", Service: "s", Version: "v2"}, at)
	is.Equal(known(at).Seen, []string{"v0", "v1", "v2"})
	is.Equal(s.Versions().Recent(), map[string][]string{"s": {"v0", "v1", "v2"}})
	contact.lost = true
	is.True(!known(at).Known)
	contact.lost = false
	is.True(!known(at).Known)
	is.True(known(at.Add(catchUpTime)).Known)
	s.Versions().RecordGap(at)
	is.True(!known(at.Add(catchUpTime)).Known)
}

// Guards against texts of two versions after a loss of all power: a node that has its list from its disk counted as
// up to date as soon as the store had answered, while it still applied the answer, and took the version
// of its old list for the only one.
func TestVersionsOfAnOldListAreNotKnownWhileChangesAreApplied(t *testing.T) {
	is := is.New(t)
	s := New()
	contact := &applyingContact{held: time.Hour}
	s.SetContact(contact, 0)
	now := time.Now()
	s.Replace([]Record{{ID: "a", Service: "s", Version: "v1"}}, 1, now) // from the disk
	s.Versions().Restore(map[string][]string{"s": {"v1"}}, now)
	for range 4 { // the store has answered, and its changes are being applied
		now = now.Add(catchUpTime)
		s.Versions().Refresh(now)
		is.True(!s.Versions().Knowledge("s", 8*time.Second, now).Known)
	}
	s.Replace([]Record{{ID: "a", Service: "s", Version: "v1"}, {ID: "b", Service: "s", Version: "v2"}}, 2, now)
	contact.held = 0
	s.Versions().Refresh(now)
	now = now.Add(catchUpTime)
	known := s.Versions().Knowledge("s", 8*time.Second, now)
	is.True(known.Known)
	is.Equal(known.Seen, []string{"v1", "v2"})
}

// applyingContact is a contact with a store that has just answered.
type applyingContact struct{ held time.Duration }

func (*applyingContact) Age() time.Duration       { return 0 }
func (c *applyingContact) HeldAge() time.Duration { return c.held }
func (*applyingContact) Lost() bool               { return false }
