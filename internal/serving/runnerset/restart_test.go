package runnerset

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// started returns the record of a start of runner a.
func started(startedAt int64) Record {
	next := record("a", "z")
	next.StartedAt = startedAt
	return next
}

// runnerWithHistory returns a set with a runner that this node has learnt about, and the
// request that still waits there.
func runnerWithHistory(startedAt int64, now time.Time) (*Set, *InFlight) {
	s := setOf(started(startedAt))
	first := s.byID["a"]
	prompt := Prompt{Tokens: 900, SharedParts: []PromptPart{{ID: 7, Tokens: 800}}}
	done := s.Begin(first, prompt, false, now)
	done.RecordFirstEvent(now.Add(time.Second))
	done.End()
	waiting := s.Begin(first, prompt, false, now)
	s.RecordPeerReport("p", "a", PeerReport{NodeLoad: NodeLoad{Running: 3, Unread: 500}, StartedAt: startedAt}, now)
	first.RecordFailure(now)
	return s, waiting
}

// A runner that restarts under its ID has no requests and an empty prefix cache, so nothing
// that was learnt about the earlier start may count for the later one.
func TestRestartDiscardsStateOfEarlierStart(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	s, waiting := runnerWithHistory(1000, now)
	earlier := s.byID["a"]
	s.ApplyChanges([]Record{started(2000)}, nil, 2, now)
	later := s.byID["a"]
	is.True(later != earlier)
	is.True(!earlier.AcceptsWork()) // requests that chose it are not sent
	is.True(!earlier.RecentlyRemoved())
	is.True(later.AcceptsWork())
	is.Equal(later.OwnLoad(), NodeLoad{})
	is.Equal(later.RequestCounts(now), RequestCounts{})
	is.Equal(later.prefixes.uncached(Prompt{Tokens: 900, SharedParts: []PromptPart{{ID: 7, Tokens: 800}}}), 900)
	is.True(!later.ejection.active(now))
	is.Equal(later.slowness, 0.0)
	is.Equal(later.longestOverdue(now.Add(time.Minute)), time.Duration(0))
	waiting.End() // the count of the earlier start
	is.Equal(later.OwnLoad(), NodeLoad{})
}

// Lists differ in whether they state the start. Only two stated starts that differ are
// known to be different starts; a start that is stated for the first time is a new one.
func TestStartsAreToldApart(t *testing.T) {
	for _, test := range []struct {
		name         string
		known, next  int64
		isSameRunner bool
	}{
		{"the same start", 1000, 1000, true},
		{"a later start", 1000, 2000, false},
		{"an earlier start in a newer list", 2000, 1000, false},
		{"not stated any more", 1000, 0, true},
		{"never stated", 0, 0, true},
		{"stated for the first time", 0, 1000, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			s := setOf(started(test.known))
			before := s.byID["a"]
			s.ApplyChanges([]Record{started(test.next)}, nil, 2, time.Now())
			is.Equal(s.byID["a"] == before, test.isSameRunner)
			is.True(s.byID["a"].AcceptsWork())
		})
	}
}

// A start that was stated before counts even if a list in between did not state it.
func TestStartIsRememberedWhileNotStated(t *testing.T) {
	is := is.New(t)
	s := setOf(started(1000))
	before := s.byID["a"]
	s.ApplyChanges([]Record{started(0)}, nil, 2, time.Now())
	s.ApplyChanges([]Record{started(1000)}, nil, 3, time.Now())
	is.True(s.byID["a"] == before)
	s.ApplyChanges([]Record{started(2000)}, nil, 4, time.Now())
	is.True(s.byID["a"] != before)
}

// A list of an older revision must not bring back an earlier start.
func TestOlderListDoesNotRestoreEarlierStart(t *testing.T) {
	is := is.New(t)
	s := setOf(started(1000))
	s.ApplyChanges([]Record{started(2000)}, nil, 5, time.Now())
	is.True(!s.Replace([]Record{started(1000)}, 4, time.Now()))
	is.Equal(s.byID["a"].StartedAt, int64(2000))
}

// A request that chose a recently removed runner must not be sent once another start is
// listed at the same ID.
func TestRestartAfterRemovalEndsGrace(t *testing.T) {
	is := is.New(t)
	s := setOf(started(1000))
	earlier := s.byID["a"]
	s.ApplyChanges(nil, []string{"a"}, 2, time.Now())
	is.True(earlier.RecentlyRemoved())
	s.ApplyChanges([]Record{started(2000)}, nil, 3, time.Now())
	is.True(!earlier.RecentlyRemoved())
}

// The quarantine must also learn of a restart if the list shows the removal of the earlier
// start first. A repaired entry of the same start is no restart.
func TestRestartAfterRemovalIsReported(t *testing.T) {
	for _, test := range []struct {
		next int64
		want []string
	}{{2000, []string{"a@1000"}}, {1000, nil}} {
		is := is.New(t)
		s := setOf(started(1000))
		var ended []string
		s.OnRestart(func(earlier *Runner) { ended = append(ended, earlier.StartID()) })
		s.ApplyChanges(nil, []string{"a"}, 2, time.Now())
		s.ApplyChanges([]Record{started(test.next)}, nil, 3, time.Now())
		s.ApplyChanges([]Record{started(test.next)}, nil, 4, time.Now())
		is.Equal(ended, test.want)
	}
}

// Reports of an earlier start may arrive after the list of the later one, and reports of
// a later start before its list.
func TestReportsCountForTheirStartOnly(t *testing.T) {
	for _, test := range []struct {
		name            string
		known, reported int64
		counts          bool
	}{
		{"the same start", 1000, 1000, true},
		{"an earlier start", 2000, 1000, false},
		{"a later start", 1000, 2000, false},
		{"a node that does not state the start", 1000, 0, true},
		{"a list that does not state the start", 0, 1000, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			now := time.Now()
			s := setOf(started(test.known))
			shared := []PromptPart{{ID: 7, Tokens: 800}}
			recorded := s.RecordPeerReport("p", "a", PeerReport{NodeLoad: NodeLoad{Running: 3}, SharedParts: shared, StartedAt: test.reported}, now)
			is.Equal(recorded, test.counts)
			is.Equal(s.byID["a"].RequestCounts(now).Running == 3, test.counts)
			is.Equal(s.byID["a"].prefixes.uncached(Prompt{Tokens: 900, SharedParts: shared}) == 100, test.counts)
		})
	}
}

// A report of the earlier start must not replace or remove the peer's report of the later
// one.
func TestLateReportOfEarlierStartIsDropped(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	s := setOf(started(2000))
	s.RecordPeerReport("p", "a", PeerReport{NodeLoad: NodeLoad{Running: 2}, StartedAt: 2000}, now)
	s.RecordPeerReport("p", "a", PeerReport{StartedAt: 1000}, now)
	is.Equal(s.byID["a"].RequestCounts(now).Running, 2.0)
}

// The quarantine learns of each restart once, and of no restart from lists that only differ
// in whether they state the start.
func TestRestartIsReportedOnce(t *testing.T) {
	is := is.New(t)
	s := setOf(started(0))
	var ended []string
	s.OnRestart(func(earlier *Runner) { ended = append(ended, earlier.StartID()) })
	for revision, startedAt := range []int64{1000, 1000, 0, 2000, 0, 2000, 1500} {
		s.ApplyChanges([]Record{started(startedAt)}, nil, int64(revision+2), time.Now())
	}
	is.Equal(ended, []string{"a@1000", "a@2000"})
	is.Equal((&Record{ID: "a"}).StartID(), "a")
}

// The reported ending of a runner ejects the start that has ended, and no later one.
func TestReportedEndingEjectsTheStart(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	s := New()
	s.Replace([]Record{{ID: "a", Service: "s", StartedAt: 5}, {ID: "b", Service: "s"}}, 1, now)
	s.RecordEnding("a@4", now)
	s.RecordEnding("unknown", now)
	is.True(!s.byID["a"].ejected(now))
	s.RecordEnding("a@5", now)
	s.RecordEnding("b", now)
	is.True(s.byID["a"].ejected(now) && s.byID["b"].ejected(now))
}
