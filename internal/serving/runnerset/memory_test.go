package runnerset

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// setWithMemory returns a set of runners a and b, of the given start, with 10,000 tokens of
// memory.
func setWithMemory(startedAt int64) *Set {
	a, b := record("a", "z"), record("b", "z")
	a.StartedAt, b.StartedAt = startedAt, startedAt
	s := setOf(a, b)
	s.SetMemory(func(string) int { return 10_000 })
	return s
}

// beginAt begins a request whose first event has arrived, so that it has no unread tokens.
func beginAt(s *Set, runner string, prompt Prompt, now time.Time) *InFlight {
	inFlight := s.Begin(s.byID[runner], prompt, false, now)
	inFlight.RecordFirstEvent(now.Add(inFlight.expected.at(1)))
	return inFlight
}

// costsAt returns the cost of each runner without jitter of the choice.
func costsAt(s *Set, prompt Prompt, now time.Time) map[string]time.Duration {
	costs := map[string]time.Duration{}
	for id, runner := range s.byID {
		choice, _ := runner.evaluate(&Criteria{Service: "s", Zone: "z", Prompt: prompt}, now, 0)
		costs[id] = choice.Cost
	}
	return costs
}

// A runner whose memory the requests would exceed costs more than an equally busy one, by
// at least the wait until a request ends.
func TestRunnerWithoutMemoryCostsMore(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	s := setWithMemory(1000)
	long := beginAt(s, "a", Prompt{Tokens: 6000, Output: 3000}, now)
	beginAt(s, "b", Prompt{Tokens: 600, Output: 300}, now)
	fits, exceeds := Prompt{Tokens: 500, Output: 500}, Prompt{Tokens: 500, Output: 501}
	wait := s.byID["a"].model.ExpectedWait(0.25) // one of four slots
	costs := costsAt(s, fits, now)
	is.True((costs["a"] - costs["b"]).Abs() < wait/2)
	costs = costsAt(s, exceeds, now)
	is.True(costs["a"]-costs["b"] > wait-maxJitter)
	long.End()
	is.Equal(s.byID["a"].ownTokens, 0)
	costs = costsAt(s, exceeds, now)
	is.True((costs["a"] - costs["b"]).Abs() < wait/2)
}

// Prompts that other nodes report as unread need memory too.
func TestUnreadPromptsOfPeersNeedMemory(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	s := setWithMemory(1000)
	criteria := &Criteria{Service: "s", Zone: "z", Prompt: Prompt{Tokens: 1000}}
	waitAt := func() time.Duration { return s.byID["a"].memoryWait(criteria, s.byID["a"].estimate(now)) }
	s.RecordPeerReport("p", "a", PeerReport{NodeLoad: NodeLoad{Running: 1, Unread: 9000}}, now)
	is.Equal(waitAt(), time.Duration(0))
	s.RecordPeerReport("p", "a", PeerReport{NodeLoad: NodeLoad{Running: 1, Unread: 9001}}, now)
	is.True(waitAt() > 0)
}

// Runners that do not state their start, and services without a stated memory, are chosen
// as before.
func TestMemoryIsUsedOnlyWhereItIsKnown(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	unknown := setWithMemory(1000)
	unknown.SetMemory(func(string) int { return 0 })
	for _, s := range []*Set{setWithMemory(0), unknown} {
		beginAt(s, "a", Prompt{Tokens: 20_000}, now)
		criteria := &Criteria{Service: "s", Zone: "z", Prompt: Prompt{Tokens: 20_000}}
		is.Equal(s.byID["a"].memoryWait(criteria, s.byID["a"].estimate(now)), time.Duration(0))
	}
}

// A request without a stated output is expected to have the mean output of ended streams of
// its kind; other responses are no samples.
func TestOutputIsLearntFromStreams(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	s := setWithMemory(1000)
	end := func(events int) {
		inFlight := s.Begin(s.byID["a"], Prompt{Tokens: 10}, false, now)
		for range events {
			inFlight.RecordEvent(now)
		}
		inFlight.End()
	}
	end(1)
	is.Equal(s.memoryTokens("s", Prompt{Tokens: 10}, false), 10)
	end(200)
	is.Equal(s.memoryTokens("s", Prompt{Tokens: 10}, false), 210)
	is.Equal(s.memoryTokens("s", Prompt{Tokens: 10, Output: 7}, false), 17)
	is.Equal(s.memoryTokens("s", Prompt{Tokens: 10}, true), 10) // items have their own mean
	is.Equal(s.memoryTokens("s", Prompt{Tokens: 10, Output: 1 << 31}, false), 10_000)
}

// The wait is 0 while the requests fit, at least that for one request otherwise, and grows
// with the tokens that are needed.
func TestWaitForMemoryGrows(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		memory, slots := rapid.Float64Range(1, 1e6).Draw(t, "memory"), rapid.Float64Range(1, 64).Draw(t, "slots")
		needed := rapid.Float64Range(0, 2e6).Draw(t, "needed")
		more := needed + rapid.Float64Range(0, 1e6).Draw(t, "more")
		wait := waitForMemory(needed, memory, slots)
		if needed <= memory && wait != 0 || needed > memory && wait < 1/slots || waitForMemory(more, memory, slots) < wait {
			t.Fatalf("wait %v", wait)
		}
	})
}
