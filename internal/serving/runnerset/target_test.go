package runnerset

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// crowdedSet has a runner of zone z whose slots are full, and runners of zone y whose load
// other nodes do not report to this node.
func crowdedSet(requests int) *Set {
	s := setOf(record("near", "z"), record("far-1", "y"), record("far-2", "y"), record("far-3", "y"))
	s.SetReporting(func(runner *Runner) bool { return runner.Zone == "z" })
	s.RecordPeerReport("peer", "near", PeerReport{NodeLoad: NodeLoad{Running: requests}}, time.Now())
	return s
}

func targetOf(free ...FreeRunner) *TargetZone {
	return &TargetZone{Zone: "y", Free: free, InTime: 150 * time.Millisecond}
}

// A request with a target zone stays in its zone while its first event is in time there, and
// goes to the runners that the digest names, as often as they have free slots.
func TestTargetZoneIsUsedWhenLateInOwnZone(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	target := targetOf(FreeRunner{"far-1", 1}, FreeRunner{"far-3", 3})
	is.Equal(pick(crowdedSet(0), Criteria{Zone: "z", Target: target}, now), "near")
	is.Equal(pick(crowdedSet(4), Criteria{Zone: "z", Target: target}, now), "near") // later than in y, but in time
	s := crowdedSet(8)
	is.Equal(pick(s, Criteria{Zone: "z"}, now), "near") // the others are assumed to be as full
	chosen := map[string]int{}
	for range 400 {
		choice := s.Pick(&Criteria{Service: "s", Zone: "z", Target: target}, now)
		is.True(choice.FirstEvent < target.InTime)
		chosen[choice.Runner.ID]++
	}
	is.Equal(chosen["far-1"]+chosen["far-3"], 400)
	is.True(2*chosen["far-3"] > 3*chosen["far-1"] && chosen["far-1"] > 40)
	is.Equal(pick(s, Criteria{Zone: "z", Target: target, Bytes: 1 << 20}, now), "near") // bytes between zones are expensive
}

// This node's requests use up the slots that the digest names; then the request stays in
// its zone. So it does if the named runners must not be used.
func TestTargetZoneWithoutFreeRunner(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	s := crowdedSet(8)
	criteria := &Criteria{Service: "s", Zone: "z", Target: targetOf(FreeRunner{"far-1", 2})}
	for range 2 {
		choice := s.Pick(criteria, now)
		is.Equal(choice.Runner.ID, "far-1")
		s.BeginChosen(&choice, Prompt{}, now)
	}
	is.Equal(s.Pick(criteria, now).Runner.ID, "near")
	criteria.Target = targetOf()
	is.Equal(s.Pick(criteria, now).Runner.ID, "near")
	for _, unusable := range []FreeRunner{{"unknown", 3}, {"near", 3}, {"far-2", 0}} {
		criteria.Target = targetOf(unusable)
		is.Equal(s.Pick(criteria, now).Runner.ID, "near")
	}
	criteria.Target, criteria.Excluded = targetOf(FreeRunner{"far-2", 3}), map[string]bool{"far-2": true}
	is.Equal(s.Pick(criteria, now).Runner.ID, "near")
	for _, runner := range s.Service("s") {
		if runner.ID == "far-3" {
			runner.RecordFailure(now)
		}
	}
	criteria.Target = targetOf(FreeRunner{"far-3", 3})
	is.Equal(s.Pick(criteria, now).Runner.ID, "near") // ejected
}

// The load that led to the choice is the basis of what is learnt: otherwise a first event
// that comes as expected at a named runner would count as one of a very fast runner.
func TestSlownessIsLearntFromNamedLoad(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	s := crowdedSet(16)
	choice := s.Pick(&Criteria{Service: "s", Zone: "z", Target: targetOf(FreeRunner{"far-1", 4})}, now)
	inFlight := s.BeginChosen(&choice, Prompt{}, now)
	inFlight.RecordFirstEvent(now.Add(choice.FirstEvent))
	is.True(choice.Runner.slowness > 0.95 && choice.Runner.slowness < 1.05)
	inFlight.End()
}

// Without a target zone, BeginChosen records the same as Begin.
func TestBeginChosenWithoutTarget(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	s := crowdedSet(3)
	choice := s.Pick(&Criteria{Service: "s", Zone: "z"}, now)
	first := s.BeginChosen(&choice, Prompt{Tokens: 100}, now)
	first.End()
	second := s.Begin(choice.Runner, Prompt{Tokens: 100}, false, now)
	is.Equal(first.expected, second.expected)
	is.Equal(first.load, second.load)
}

// Whatever the digest names, a runner outside the target zone is chosen only if it would be
// chosen without the target.
func TestTargetNeverLeadsToAThirdZone(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := setOf(record("near", "z"), record("far", "y"), record("third", "x"))
		now := time.Now()
		for _, id := range []string{"near", "far", "third"} {
			running := rapid.IntRange(0, 12).Draw(t, "running")
			s.RecordPeerReport("peer", id, PeerReport{NodeLoad: NodeLoad{Running: running}}, now)
		}
		var free []FreeRunner
		for range rapid.IntRange(0, 3).Draw(t, "named") {
			free = append(free, FreeRunner{rapid.SampledFrom([]string{"near", "far", "third", "gone"}).Draw(t, "id"), rapid.IntRange(-1, 9).Draw(t, "slots")})
		}
		without := s.Pick(&Criteria{Service: "s", Zone: "z"}, now)
		with := s.Pick(&Criteria{Service: "s", Zone: "z", Target: targetOf(free...)}, now)
		if with.Runner.ID != "far" && with.Cost > without.Cost+2*maxJitter {
			t.Fatal(fmt.Sprint(with.Runner.ID, " instead of ", without.Runner.ID))
		}
	})
}

// OnPeerReport gets the increase of each node's online requests.
func TestStartedRequestsAreReported(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	s := setOf(record("a", "z"))
	var started []int
	s.OnPeerReport(func(peer string, runner *Runner, count int) {
		is.Equal(peer, "peer")
		is.Equal(runner.ID, "a")
		started = append(started, count)
	})
	for _, load := range []NodeLoad{{Running: 2}, {Running: 2}, {Running: 5, Batch: 3}, {Running: 4, Batch: 1}, {}, {Running: 1}} {
		s.RecordPeerReport("peer", "a", PeerReport{NodeLoad: load}, now)
	}
	s.RecordPeerReport("peer", "unknown", PeerReport{NodeLoad: NodeLoad{Running: 1}}, now)
	is.Equal(started, []int{2, 0, 0, 1, 0, 1})
}

// A leaving runner is listed, a removed one is not.
func TestListedRunners(t *testing.T) {
	is := is.New(t)
	leaving := record("a", "z")
	leaving.Leaving = true
	s := setOf(leaving, record("b", "z"))
	list := s.Service("s")
	is.True(list[0].Listed() && list[1].Listed())
	s.Replace([]Record{leaving}, 2, time.Now())
	is.True(list[0].Listed() && !list[1].Listed())
}
