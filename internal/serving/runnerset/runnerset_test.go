package runnerset

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	_ "cobaltramp.example/cobaltramp/internal/app/fixedseed"
	"cobaltramp.example/cobaltramp/internal/serving/exchange"
)

func setOf(records ...Record) *Set {
	s := New()
	s.Replace(records, 1, time.Now())
	return s
}

func record(id, zone string) Record { return Record{ID: id, Service: "s", Zone: zone, Slots: 4} }

func pick(s *Set, criteria Criteria, now time.Time) string {
	criteria.Service = "s"
	choice := s.Pick(&criteria, now)
	if choice.Runner == nil {
		return ""
	}
	return choice.Runner.ID
}

// The revision of the list never decreases, and runners that are leaving or removed do
// not accept work.
func TestListRevisionNeverDecreases(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := New()
		newest := int64(0)
		accepting := map[string]bool{}
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			revision := int64(rapid.IntRange(1, 20).Draw(t, "revision"))
			id := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "runner")
			leaving := rapid.Bool().Draw(t, "leaving")
			next := Record{ID: id, Service: "s", Slots: 1, Leaving: leaving}
			switch rapid.IntRange(0, 2).Draw(t, "kind") {
			case 0:
				s.Replace([]Record{next}, revision, time.Now())
				if revision > newest {
					accepting = map[string]bool{id: !leaving}
				}
			case 1:
				s.ApplyChanges([]Record{next}, nil, revision, time.Now())
				if revision > newest {
					accepting[id] = !leaving
				}
			case 2:
				s.ApplyChanges(nil, []string{id}, revision, time.Now())
				if revision > newest {
					delete(accepting, id)
				}
			}
			newest = max(newest, revision)
			held, _ := s.Revision()
			if held != newest {
				t.Fatalf("revision %d, want %d", held, newest)
			}
			for _, runner := range s.Service("s") {
				if runner.AcceptsWork() != accepting[runner.ID] {
					t.Fatalf("runner %s accepts work: %v", runner.ID, runner.AcceptsWork())
				}
			}
		}
	})
}

// The choice depends on unprocessed tokens, cached prefixes, and the zone.
func TestPickPrefersEarliestFirstEvent(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	big := Prompt{Tokens: 9000}
	s := setOf(record("a", "z"), record("b", "z"))
	first := s.Pick(&Criteria{Service: "s", Zone: "z", Prompt: big}, now).Runner
	inFlight := s.Begin(first, big, false, now)
	second := pick(s, Criteria{Zone: "z", Prompt: Prompt{Tokens: 100}}, now)
	is.True(second != first.ID) // the other runner has no unprocessed tokens
	inFlight.RecordFirstEvent(now)
	inFlight.End()

	shared := Prompt{Tokens: 9000, SharedParts: []PromptPart{{ID: 7, Tokens: 8000}}}
	s.Begin(first, shared, false, now).End()
	is.Equal(pick(s, Criteria{Zone: "z", Prompt: shared}, now), first.ID) // the shared part is in its prefix cache

	zones := setOf(record("near", "z"), record("far", "y"))
	is.Equal(pick(zones, Criteria{Zone: "z", Prompt: Prompt{Tokens: 100}}, now), "near")
	near := zones.Pick(&Criteria{Service: "s", Zone: "z"}, now).Runner
	zones.Begin(near, Prompt{Tokens: 20000}, false, now)
	is.Equal(pick(zones, Criteria{Zone: "z", Prompt: Prompt{Tokens: 100}}, now), "far") // another zone costs less than a long wait
}

// A peer's report counts like this node's own load, replaces the peer's previous report,
// and expires.
func TestPeerReports(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	s := setOf(record("a", "z"), record("b", "z"))
	s.RecordPeerReport("p", "a", PeerReport{NodeLoad: NodeLoad{Running: 4, Batch: 1, Unread: 9000}}, now)
	is.Equal(pick(s, Criteria{Zone: "z", Prompt: Prompt{Tokens: 100}}, now), "b")
	a := s.byID["a"]
	is.Equal(a.RequestCounts(now), RequestCounts{Running: 4, Batch: 1})
	is.Equal(a.BatchHolders(now), []string{"p"})
	s.RecordPeerReport("p", "a", PeerReport{NodeLoad: NodeLoad{Running: 1}}, now)
	is.Equal(a.RequestCounts(now).Running, 1.0)
	is.Equal(a.RequestCounts(now.Add(time.Hour)).Running, 0.0)
}

// Batch items need a free slot, and a share of the slots of non-home runners is kept
// free.
func TestBatchItemsUseOnlyFreeSlots(t *testing.T) {
	notHome := func(*Record) bool { return false }
	for _, test := range []struct {
		limits  BatchLimits
		allowed int
	}{
		{BatchLimits{MaxUnread: 1000, NonHomeReserve: 0.25}, 4},
		{BatchLimits{MaxUnread: 1000, NonHomeReserve: 0.25, Home: notHome}, 3},
	} {
		is := is.New(t)
		now := time.Now()
		s := setOf(record("a", "z"))
		criteria := Criteria{Zone: "z", Batch: &test.limits}
		a := s.byID["a"]
		for range test.allowed {
			is.Equal(pick(s, criteria, now), "a")
			s.Begin(a, Prompt{Tokens: 10}, true, now).RecordFirstEvent(now)
		}
		is.Equal(pick(s, criteria, now), "")
	}
}

// A failing runner is ejected and is used only if there is no other runner; a slow runner
// is avoided.
func TestFailingAndSlowRunners(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	s := setOf(record("a", "z"), record("b", "z"))
	s.byID["a"].RecordFailure(now)
	is.Equal(pick(s, Criteria{Zone: "z"}, now), "b")
	is.Equal(pick(s, Criteria{Zone: "z", Excluded: map[string]bool{"b": true}}, now), "a")
	for range 30 {
		inFlight := s.Begin(s.byID["a"], Prompt{Tokens: 100}, false, now)
		inFlight.RecordFirstEvent(now.Add(800 * time.Millisecond))
		inFlight.End()
		inFlight = s.Begin(s.byID["b"], Prompt{Tokens: 100}, false, now)
		inFlight.RecordFirstEvent(now.Add(15 * time.Millisecond))
		inFlight.End()
	}
	is.Equal(pick(s, Criteria{Zone: "z", Prompt: Prompt{Tokens: 100}}, now), "b")
}

// The prefix cache is bounded and evicts the least recently used parts.
func TestPrefixCacheIsBounded(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	cache := &prefixCache{}
	for id := range uint64(50) {
		cache.touch([]PromptPart{{ID: id, Tokens: 10_000}}, now.Add(time.Duration(id)*time.Second))
	}
	is.True(cache.tokens <= 60_000)
	is.Equal(cache.uncached(Prompt{Tokens: 15_000, SharedParts: []PromptPart{{ID: 49, Tokens: 10_000}}}), 5_000)
	is.Equal(cache.uncached(Prompt{Tokens: 15_000, SharedParts: []PromptPart{{ID: 1, Tokens: 10_000}}}), 15_000)
	// A part is a hit only if every part before it is a hit too.
	is.Equal(cache.uncached(Prompt{Tokens: 25_000, SharedParts: []PromptPart{{ID: 1, Tokens: 10_000}, {ID: 49, Tokens: 10_000}}}), 25_000)
}

// A second End and a late first event do not change the counts.
func TestInFlightEndsOnce(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	s := setOf(record("a", "z"))
	inFlight := s.Begin(s.byID["a"], Prompt{Tokens: 500}, true, now)
	inFlight.RecordFirstEvent(now)
	inFlight.End()
	inFlight.End()
	inFlight.RecordFirstEvent(now)
	is.Equal(s.byID["a"].own, NodeLoad{})
}

// A runner that was removed without having been marked as leaving is used for a short
// time if there is no other runner; a leaving runner is not.
func TestRecentlyRemovedRunnersAreFallback(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	s := setOf(record("a", "z"), record("b", "z"))
	s.ApplyChanges(nil, []string{"a"}, 2, now)
	is.Equal(pick(s, Criteria{Zone: "z"}, now), "b") // another runner is available
	s.ApplyChanges(nil, []string{"b"}, 3, now)
	is.True(pick(s, Criteria{Zone: "z"}, now) != "")
	is.Equal(pick(s, Criteria{Zone: "z", Batch: &BatchLimits{MaxUnread: 1000}}, now), "")
	s.ApplyChanges([]Record{record("a", "z")}, nil, 4, now) // listed again
	is.Equal(pick(s, Criteria{Zone: "z"}, now), "a")
	leaving := record("a", "z")
	leaving.Leaving = true
	s.ApplyChanges([]Record{leaving}, nil, 5, now)
	s.ApplyChanges(nil, []string{"a", "b"}, 6, now)
	for _, runner := range s.Service("s") {
		is.True(runner.ID != "a") // a was marked as leaving
	}
}

// A runner with an overdue first event is avoided while the request still waits, and is
// used again once the event arrives.
func TestOverdueRunnersAreAvoided(t *testing.T) {
	is := is.New(t)
	began := time.Now()
	later := began.Add(2 * time.Second)
	s := setOf(record("mute", "z"), record("far", "y"))
	mute, prompt := s.Service("s")[1], Prompt{Tokens: 100}
	is.Equal(mute.ID, "mute")
	inFlight := s.Begin(mute, prompt, false, began)
	is.Equal(pick(s, Criteria{Zone: "z"}, began.Add(20*time.Millisecond)), "mute") // not yet overdue
	is.Equal(pick(s, Criteria{Zone: "z"}, later), "far")
	is.Equal(pick(s, Criteria{Zone: "z", Batch: &BatchLimits{}, Excluded: map[string]bool{"far": true}}, later), "")
	inFlight.RecordFirstEvent(later)
	is.Equal(pick(s, Criteria{Zone: "z"}, later), "mute")
	inFlight.End()

	// A runner that still sends events of running requests is full, not unresponsive.
	running := s.Begin(mute, prompt, false, later)
	running.RecordFirstEvent(later)
	s.Begin(mute, prompt, false, later)
	running.RecordEvent(later.Add(2 * time.Second))
	is.Equal(pick(s, Criteria{Zone: "z"}, later.Add(2*time.Second)), "mute")
	// A runner that has started a later request is assumed to have dropped the waiting one.
	overtaking := s.Begin(mute, prompt, false, later.Add(time.Second))
	overtaking.RecordFirstEvent(later.Add(2 * time.Second))
	is.Equal(pick(s, Criteria{Zone: "z"}, later.Add(2*time.Second)), "far")

}

// Peers that send to a runner continuously always report some unprocessed tokens. These
// reports alone must not make the runner overdue or keep batch items away.
func TestBusyPeersMakeNoRunnerOverdue(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	s := setOf(record("busy", "z"))
	for range 50 {
		now = now.Add(60 * time.Millisecond)
		s.RecordPeerReport("peer", "busy", PeerReport{NodeLoad: NodeLoad{Running: 1, Unread: 100}}, now)
	}
	is.Equal(pick(s, Criteria{Zone: "z", Batch: &BatchLimits{MaxUnread: 1000}}, now), "busy")
}

// A request that ends without a first event, long after the event was due, ejects the
// runner; batch items do not go there although it appears idle.
func TestOverdueRequestEjectsRunnerWhenItEnds(t *testing.T) {
	is := is.New(t)
	s := setOf(record("mute", "z"))
	now := time.Now()
	s.Begin(s.Service("s")[0], Prompt{Tokens: 100}, false, now.Add(-3*time.Second)).End()
	is.Equal(pick(s, Criteria{Zone: "z"}, now), "mute") // there is no other runner
	is.Equal(pick(s, Criteria{Zone: "z", Batch: &BatchLimits{}}, now), "")
	is.Equal(pick(s, Criteria{Zone: "z", Batch: &BatchLimits{}}, now.Add(maxEjection)), "mute")
	s.Begin(s.Service("s")[0], Prompt{Tokens: 100}, false, time.Now()).End() // the request was canceled at once, before the event was due
	is.Equal(pick(s, Criteria{Zone: "z", Batch: &BatchLimits{}}, now.Add(maxEjection)), "mute")
}

// An unreported runner is a runner at which other nodes do not report their load to this
// node. It is assumed to have the utilization of the reported runners of its zone, or of
// all zones if its zone has none, unless a runner of its zone has recently sent its own
// load to this node.
func TestUnreportedRunnersAreNotAssumedIdle(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	s := setOf(record("reported", "z"), record("unreported", "z"), record("far", "y"), record("asked", "y"))
	s.SetReporting(func(runner *Runner) bool { return runner.ID == "reported" })
	load := func(id string, at time.Time) float64 {
		s.Pick(&Criteria{Service: "s", Zone: "z"}, at)
		s.byID[id].mutex.Lock()
		defer s.byID[id].mutex.Unlock()
		return s.byID[id].estimate(at).running
	}
	is.Equal(load("unreported", now), 0.0)
	later := now.Add(time.Second)
	s.RecordPeerReport("p", "reported", PeerReport{NodeLoad: NodeLoad{Running: 4}}, later)
	is.Equal(load("unreported", later), 4.0)
	is.Equal(load("far", later), 4.0)
	s.byID["asked"].RecordLoad(&exchange.Load{Running: 4, Waiting: 1}, later)
	is.Equal(load("far", later), 5.0) // another runner of the zone has reported its load
	is.Equal(pick(s, Criteria{Zone: "z"}, later), "reported")
	is.Equal(load("far", later.Add(selfReportedLifetime)), 4.0) // that report has expired, so the mean of the reported runners applies
	inFlight := s.Begin(s.byID["unreported"], Prompt{Tokens: 10}, false, later)
	is.Equal(load("unreported", later), 5.0) // this node's own request is added
	inFlight.End()
}

// A reported runner is preferred to an unreported one as long as it has a free slot.
func TestReportedRunnersArePreferred(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	s := setOf(record("a", "z"), record("b", "z"), record("unreported", "z"))
	s.SetReporting(func(runner *Runner) bool { return runner.ID != "unreported" })
	s.RecordPeerReport("p", "a", PeerReport{NodeLoad: NodeLoad{Running: 1}}, now)
	s.RecordPeerReport("p", "b", PeerReport{NodeLoad: NodeLoad{Running: 4}}, now)
	for range 50 {
		is.Equal(pick(s, Criteria{Zone: "z"}, now), "a")
	}
}

// If a node has reported runners, its batch items go only to these runners: when another
// node reports requests at such a runner, the node preempts its batch items there. A node
// without any reported runner uses all runners.
func TestBatchItemsUseOnlyReportedRunners(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	criteria := Criteria{Zone: "z", Bytes: 1 << 20, Batch: &BatchLimits{MaxUnread: 1000}} // the size makes traffic to another zone expensive
	s := setOf(record("reported", "y"), record("unreported", "z"))
	s.SetReporting(func(runner *Runner) bool { return runner.ID == "reported" })
	is.Equal(pick(s, criteria, now), "reported")
	none := setOf(record("unreported", "z"))
	none.SetReporting(func(*Runner) bool { return false })
	is.Equal(pick(none, criteria, now), "unreported")
}

// A choice includes the inputs of the load estimate and the ages of the reports.
func TestChoiceIncludesLoadSources(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	s := setOf(record("a", "z"))
	a := s.byID["a"]
	s.Begin(a, Prompt{Tokens: 10}, false, now)
	s.RecordPeerReport("old", "a", PeerReport{NodeLoad: NodeLoad{Running: 1}}, now.Add(-2*time.Second))
	s.RecordPeerReport("new", "a", PeerReport{NodeLoad: NodeLoad{Running: 2}}, now)
	s.RecordPeerReport("gone", "a", PeerReport{NodeLoad: NodeLoad{Running: 3}}, now.Add(-peerReportLifetime))
	a.RecordLoad(&exchange.Load{Running: 5}, now.Add(-100*time.Millisecond))
	sources := s.Pick(&Criteria{Service: "s", Zone: "z"}, now).Sources
	is.Equal(sources, LoadSources{Own: 1, Peers: 3, OldestPeer: 2 * time.Second, Reported: 4, ReportAge: 100 * time.Millisecond, ReceivesReports: true})
}
