package runnerset

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// versioned returns the record of a runner with a software version.
func versioned(id, version string) Record {
	listed := record(id, "z")
	listed.Version = version
	return listed
}

// A stream that resumes output of a software version must not reach another version, even if
// only that one has free runners.
func TestPickKeepsToSoftwareVersion(t *testing.T) {
	is := is.New(t)
	s := setOf(versioned("a", "v1"), versioned("b", "v2"))
	now := time.Now()
	for range 10 {
		is.Equal(pick(s, Criteria{Zone: "z", SoftwareVersion: "v2"}, now), "b")
	}
	criteria := &Criteria{Service: "s", Zone: "z", SoftwareVersion: "v2", Excluded: map[string]bool{"b": true}}
	is.True(s.Pick(criteria, now).Runner == nil)
	is.True(s.Pick(&Criteria{Service: "s", Zone: "z", SoftwareVersion: "v3"}, now).Runner == nil)
}

// The versions of two runners that state none may differ.
func TestUnstatedVersionsDiffer(t *testing.T) {
	is := is.New(t)
	a, b := record("a", "z"), record("b", "z")
	is.True(a.SoftwareVersion() != b.SoftwareVersion())
	is.Equal(a.SoftwareVersion(), a.SoftwareVersion())
	restarted := a
	restarted.StartedAt = 7
	is.True(a.SoftwareVersion() != restarted.SoftwareVersion())
}

// A stream of a version whose last runners have just begun to leave or were removed can still
// go on there; a new request can't, since the other version accepts work.
func TestStreamOfALeavingVersionGoesOnBriefly(t *testing.T) {
	is := is.New(t)
	s := setOf(versioned("a", "v1"), versioned("b", "v2"))
	leaving := versioned("a", "v1")
	leaving.Leaving = true
	s.ApplyChanges([]Record{leaving}, nil, 2, time.Now())
	is.Equal(pick(s, Criteria{Zone: "z", SoftwareVersion: "v1"}, time.Now()), "a")
	is.Equal(pick(s, Criteria{Zone: "z"}, time.Now()), "b")
	s.byID["a"].afterLeaving.allowFor(0)
	is.True(s.Pick(&Criteria{Service: "s", Zone: "z", SoftwareVersion: "v1"}, time.Now()).Runner == nil)
	s.ApplyChanges(nil, []string{"b"}, 3, time.Now())
	is.Equal(pick(s, Criteria{Zone: "z", SoftwareVersion: "v2"}, time.Now()), "b")
}

// TestStreamGoesOnAtALeavingRunnerIfTheOthersWereTried guards against cut streams: the other runners of
// the version have crashed and are still listed. They were tried, and the stream may go on where it was.
func TestStreamGoesOnAtALeavingRunnerIfTheOthersWereTried(t *testing.T) {
	is := is.New(t)
	s := setOf(versioned("a", "v1"), versioned("b", "v1"), versioned("c", "v2"))
	leaving := versioned("a", "v1")
	leaving.Leaving = true
	s.ApplyChanges([]Record{leaving}, nil, 2, time.Now())
	tried := map[string]bool{"b": true}
	is.Equal(pick(s, Criteria{Zone: "z", SoftwareVersion: "v1"}, time.Now()), "b")
	is.Equal(pick(s, Criteria{Zone: "z", SoftwareVersion: "v1", Excluded: tried}, time.Now()), "a")
	tried["c"] = true
	is.True(s.Pick(&Criteria{Service: "s", Zone: "z", Excluded: tried}, time.Now()).Runner == nil) // not a stream that has begun
}

// A runner that was listed as leaving from the start may have stated it long ago.
func TestRunnerFirstListedAsLeavingGetsNoStreams(t *testing.T) {
	leaving := versioned("a", "v1")
	leaving.Leaving = true
	s := setOf(leaving)
	is.New(t).True(s.Pick(&Criteria{Service: "s", Zone: "z", SoftwareVersion: "v1"}, time.Now()).Runner == nil)
}

// A runner whose entry states another version under the same ID is another start.
func TestOtherVersionUnderTheSameIDIsAnotherStart(t *testing.T) {
	is := is.New(t)
	s := setOf(versioned("a", "v1"))
	earlier := s.byID["a"]
	s.ApplyChanges([]Record{versioned("a", "v2")}, nil, 2, time.Now())
	is.True(s.byID["a"] != earlier)
	is.True(!earlier.AcceptsWork() && !earlier.RecentlyWithdrawn())
}
