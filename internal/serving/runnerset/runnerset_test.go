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

// The list's revision never falls, and runners that leave or are gone are not
// chosen.
func TestListNeverGoesBack(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := New()
		newest := int64(0)
		taking := map[string]bool{}
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			revision := int64(rapid.IntRange(1, 20).Draw(t, "revision"))
			id := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "runner")
			leaving := rapid.Bool().Draw(t, "leaving")
			next := Record{ID: id, Service: "s", Slots: 1, Leaving: leaving}
			switch rapid.IntRange(0, 2).Draw(t, "kind") {
			case 0:
				s.Replace([]Record{next}, revision, time.Now())
				if revision > newest {
					taking = map[string]bool{id: !leaving}
				}
			case 1:
				s.ApplyChanges([]Record{next}, nil, revision, time.Now())
				if revision > newest {
					taking[id] = !leaving
				}
			case 2:
				s.ApplyChanges(nil, []string{id}, revision, time.Now())
				if revision > newest {
					delete(taking, id)
				}
			}
			newest = max(newest, revision)
			held, _ := s.Revision()
			if held != newest {
				t.Fatalf("revision %d, want %d", held, newest)
			}
			for _, runner := range s.Service("s") {
				if runner.AcceptsWork() != taking[runner.ID] {
					t.Fatalf("runner %s takes work: %v", runner.ID, runner.AcceptsWork())
				}
			}
		}
	})
}

// The runner is chosen where the first event is expected soonest: by tokens not
// yet read, by parts that are kept, by zone.
func TestChoice(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	big := Prompt{Tokens: 9000}
	s := setOf(record("a", "z"), record("b", "z"))
	first := s.Pick(&Criteria{Service: "s", Zone: "z", Prompt: big}, now).Runner
	use := s.Begin(first, big, false, now)
	second := pick(s, Criteria{Zone: "z", Prompt: Prompt{Tokens: 100}}, now)
	is.True(second != first.ID) // the other has nothing to read
	use.RecordFirstEvent(now)
	use.End()

	shared := Prompt{Tokens: 9000, SharedParts: []PromptPart{{ID: 7, Tokens: 8000}}}
	s.Begin(first, shared, false, now).End()
	is.Equal(pick(s, Criteria{Zone: "z", Prompt: shared}, now), first.ID) // it keeps the shared part

	far := setOf(record("near", "z"), record("far", "y"))
	is.Equal(pick(far, Criteria{Zone: "z", Prompt: Prompt{Tokens: 100}}, now), "near")
	near := far.Pick(&Criteria{Service: "s", Zone: "z"}, now).Runner
	far.Begin(near, Prompt{Tokens: 20000}, false, now)
	is.Equal(pick(far, Criteria{Zone: "z", Prompt: Prompt{Tokens: 100}}, now), "far") // rather another zone than a long wait
}

// What peers report counts as the node's own, replaces what they reported before, and
// ends after a while.
func TestPeers(t *testing.T) {
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

// Batch items go only where slots are free, and where another node places items a
// share of them stays free.
func TestBatchTakesFreeSlots(t *testing.T) {
	notHome := func(*Record) bool { return false }
	for _, test := range []struct {
		limits BatchLimits
		places int
	}{
		{BatchLimits{MaxUnread: 1000, AwayReserve: 0.25}, 4},
		{BatchLimits{MaxUnread: 1000, AwayReserve: 0.25, Home: notHome}, 3},
	} {
		is := is.New(t)
		now := time.Now()
		s := setOf(record("a", "z"))
		criteria := Criteria{Zone: "z", Batch: &test.limits}
		a := s.byID["a"]
		for range test.places {
			is.Equal(pick(s, criteria, now), "a")
			s.Begin(a, Prompt{Tokens: 10}, true, now).RecordFirstEvent(now)
		}
		is.Equal(pick(s, criteria, now), "")
	}
}

// A runner that fails is ejected, is used when there is no other, and comes
// back after a good answer; a slow one is avoided.
func TestFailingAndSlowRunners(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	s := setOf(record("a", "z"), record("b", "z"))
	s.byID["a"].RecordFailure(now)
	is.Equal(pick(s, Criteria{Zone: "z"}, now), "b")
	is.Equal(pick(s, Criteria{Zone: "z", Excluded: map[string]bool{"b": true}}, now), "a")
	for range 30 {
		use := s.Begin(s.byID["a"], Prompt{Tokens: 100}, false, now)
		use.RecordFirstEvent(now.Add(800 * time.Millisecond))
		use.End()
		use = s.Begin(s.byID["b"], Prompt{Tokens: 100}, false, now)
		use.RecordFirstEvent(now.Add(15 * time.Millisecond))
		use.End()
	}
	is.Equal(pick(s, Criteria{Zone: "z", Prompt: Prompt{Tokens: 100}}, now), "b")
}

// The model of what a runner keeps is bounded and forgets what was used least
// lately.
func TestKeptPartsAreBounded(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	kept := &keptParts{}
	for id := range uint64(50) {
		kept.touch([]PromptPart{{ID: id, Tokens: 10_000}}, now.Add(time.Duration(id)*time.Second))
	}
	is.True(kept.tokens <= 60_000)
	is.Equal(kept.missing(Prompt{Tokens: 15_000, SharedParts: []PromptPart{{ID: 49, Tokens: 10_000}}}), 5_000)
	is.Equal(kept.missing(Prompt{Tokens: 15_000, SharedParts: []PromptPart{{ID: 1, Tokens: 10_000}}}), 15_000)
	// A part counts only if every part before it is kept.
	is.Equal(kept.missing(Prompt{Tokens: 25_000, SharedParts: []PromptPart{{ID: 1, Tokens: 10_000}, {ID: 49, Tokens: 10_000}}}), 25_000)
}

// A count ends once, whatever is called how often.
func TestUseEndsOnce(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	s := setOf(record("a", "z"))
	use := s.Begin(s.byID["a"], Prompt{Tokens: 500}, true, now)
	use.RecordFirstEvent(now)
	use.End()
	use.End()
	use.RecordFirstEvent(now)
	is.Equal(s.byID["a"].own, NodeLoad{})
}

// A runner that was removed from the list, without having said that it leaves, is
// used for a while when there is no other; one that said so is not.
func TestRemovedRunnersAreALastResort(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	s := setOf(record("a", "z"), record("b", "z"))
	s.ApplyChanges(nil, []string{"a"}, 2, now)
	is.Equal(pick(s, Criteria{Zone: "z"}, now), "b") // there is another
	s.ApplyChanges(nil, []string{"b"}, 3, now)
	is.True(pick(s, Criteria{Zone: "z"}, now) != "")
	is.Equal(pick(s, Criteria{Zone: "z", Batch: &BatchLimits{MaxUnread: 1000}}, now), "")
	s.ApplyChanges([]Record{record("a", "z")}, nil, 4, now) // it is listed again
	is.Equal(pick(s, Criteria{Zone: "z"}, now), "a")
	leaving := record("a", "z")
	leaving.Leaving = true
	s.ApplyChanges([]Record{leaving}, nil, 5, now)
	s.ApplyChanges(nil, []string{"a", "b"}, 6, now)
	for _, runner := range s.Service("s") {
		is.True(runner.ID != "a") // it had said that it leaves
	}
}

// A runner at which a first event is long overdue is avoided before any request there has ended, and used again once it comes.
func TestOverdueRunnersAreAvoided(t *testing.T) {
	is := is.New(t)
	began := time.Now()
	later := began.Add(2 * time.Second)
	s := setOf(record("mute", "z"), record("far", "y"))
	mute, prompt := s.Service("s")[1], Prompt{Tokens: 100}
	is.Equal(mute.ID, "mute")
	use := s.Begin(mute, prompt, false, began)
	is.Equal(pick(s, Criteria{Zone: "z"}, began.Add(20*time.Millisecond)), "mute") // nothing is late yet
	is.Equal(pick(s, Criteria{Zone: "z"}, later), "far")
	is.Equal(pick(s, Criteria{Zone: "z", Batch: &BatchLimits{}, Excluded: map[string]bool{"far": true}}, later), "")
	use.RecordFirstEvent(later)
	is.Equal(pick(s, Criteria{Zone: "z"}, later), "mute")
	use.End()

	// A runner that goes on with what it runs is full, not mute.
	running := s.Begin(mute, prompt, false, later)
	running.RecordFirstEvent(later)
	s.Begin(mute, prompt, false, later)
	running.RecordEvent(later.Add(2 * time.Second))
	is.Equal(pick(s, Criteria{Zone: "z"}, later.Add(2*time.Second)), "mute")
	// One that has begun with a later request has dropped the one that waits.
	overtaking := s.Begin(mute, prompt, false, later.Add(time.Second))
	overtaking.RecordFirstEvent(later.Add(2 * time.Second))
	is.Equal(pick(s, Criteria{Zone: "z"}, later.Add(2*time.Second)), "far")

}

// Peers that go on sending to a runner always have some prompt there that is not
// read yet, and their reports are batched: that makes no runner overdue, and
// items still go there.
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

// A request that ends while its first event is long overdue ejects its runner;
// items do not go to such a runner though it looks idle.
func TestEndedOverdueEjects(t *testing.T) {
	is := is.New(t)
	s := setOf(record("mute", "z"))
	now := time.Now()
	s.Begin(s.Service("s")[0], Prompt{Tokens: 100}, false, now.Add(-3*time.Second)).End()
	is.Equal(pick(s, Criteria{Zone: "z"}, now), "mute") // there is no other
	is.Equal(pick(s, Criteria{Zone: "z", Batch: &BatchLimits{}}, now), "")
	is.Equal(pick(s, Criteria{Zone: "z", Batch: &BatchLimits{}}, now.Add(maxEjection)), "mute")
	s.Begin(s.Service("s")[0], Prompt{Tokens: 100}, false, time.Now()).End() // its caller left at once
	is.Equal(pick(s, Criteria{Zone: "z", Batch: &BatchLimits{}}, now.Add(maxEjection)), "mute")
}

// A runner whose users do not report is not taken for an idle one: it is
// expected to be as full as those that are known in its zone; where none is, as
// those that are known anywhere, until one reports how full it is.
func TestUnknownRunnersAreNotEmpty(t *testing.T) {
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
	is.Equal(load("far", later), 5.0) // its neighbour has reported how full it is
	is.Equal(pick(s, Criteria{Zone: "z"}, later), "reported")
	is.Equal(load("far", later.Add(answeredLifetime)), 4.0) // that is too old, and the mean of the reported ones holds
	use := s.Begin(s.byID["unreported"], Prompt{Tokens: 10}, false, later)
	is.Equal(load("unreported", later), 5.0) // this node's own count comes on top
	use.End()
}

// The best of the runners whose users report is chosen before any other, as long as
// it has a free slot.
func TestReportedRunnersGoFirst(t *testing.T) {
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

// Items go only to runners whose users report to this node: else nobody could have
// it preempt them. A node that gets no reports uses what there is.
func TestItemsGoToKnownRunners(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	criteria := Criteria{Zone: "z", Bytes: 1 << 20, Batch: &BatchLimits{MaxUnread: 1000}} // another zone is dear
	s := setOf(record("reported", "y"), record("unreported", "z"))
	s.SetReporting(func(runner *Runner) bool { return runner.ID == "reported" })
	is.Equal(pick(s, criteria, now), "reported")
	none := setOf(record("unreported", "z"))
	none.SetReporting(func(*Runner) bool { return false })
	is.Equal(pick(none, criteria, now), "unreported")
}

// A choice shows the parts of the load that it estimates, with their ages.
func TestChoiceShowsItsSources(t *testing.T) {
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
