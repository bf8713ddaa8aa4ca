package quarantine

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

var start = time.Unix(1_000_000, 0)

// endingOf returns the ending of a runner.
func endingOf(runner string, at time.Time) observedEnding {
	return observedEnding{runner: runner, at: at}
}

// hold records endings until the request is held and returns the hold.
func hold(table *SuspectTable, fingerprint Fingerprint, prefix string, now time.Time) *Hold {
	for number := range EndingsToHold {
		name := fmt.Sprint(prefix, number)
		if number == EndingsToHold-1 {
			name = prefix + "last"
		}
		if decided := table.RecordEnding(fingerprint, endingOf(name, now), true).Hold; decided != nil {
			return decided
		}
	}
	return nil
}

// A request is held for a bounded time once enough different runners have ended while
// running it.
func TestRequestIsHeldAfterEnoughEndings(t *testing.T) {
	is := is.New(t)
	table := NewSuspectTable()
	for repeat := range 5 { // repeated reports of one runner count once
		outcome := table.RecordEnding(1, endingOf("r0", start), true)
		is.True(outcome.Hold == nil)
		is.Equal(outcome.Counted, repeat == 0)
	}
	for number := 1; number < EndingsToHold-1; number++ {
		is.True(table.RecordEnding(1, endingOf(fmt.Sprint("r", number), start), true).Hold == nil)
	}
	_, held := table.Held(1, start)
	is.True(!held)
	outcome := table.RecordEnding(1, endingOf("r9", start), false)
	is.True(outcome.Hold != nil)
	is.True(outcome.Local) // this node observed some of the endings
	left, held := table.Held(1, start)
	is.True(held)
	is.Equal(left, initialHoldDuration)
	_, held = table.Held(2, start)
	is.True(!held) // other requests are not held
	_, held = table.Held(1, start.Add(initialHoldDuration))
	is.True(!held)
}

// Each hold of the same request is longer than the one before, up to a bound. One
// further ending is enough to hold a request again.
func TestRepeatedHoldsGetLonger(t *testing.T) {
	is := is.New(t)
	table := NewSuspectTable()
	decided := hold(table, 1, "r", start)
	now, last := start, time.Duration(0)
	for number := range 6 {
		is.True(decided != nil)
		length := time.Duration(decided.Length) * time.Millisecond
		is.True(length > last || length == maxHoldDuration)
		last = length
		if number == 5 {
			break
		}
		now = now.Add(length)
		before := table.RecordEnding(1, endingOf(fmt.Sprint("before", number), now.Add(-1)), true).Hold
		is.True(before == nil) // the last hold is still active
		decided = table.RecordEnding(1, endingOf(fmt.Sprint("again", number), now.Add(endingTTL/100)), true).Hold
		if decided == nil { // the earlier endings have expired
			decided = hold(table, 1, fmt.Sprint("life", number), now.Add(endingTTL/100))
		}
	}
	is.Equal(last, maxHoldDuration)
}

// Endings that are further apart than endingTTL do not add up to a hold.
func TestOldEndingsAreNotCounted(t *testing.T) {
	is := is.New(t)
	table := NewSuspectTable()
	for number := range 4 * EndingsToHold {
		now := start.Add(time.Duration(number) * endingTTL)
		is.True(table.RecordEnding(1, endingOf(fmt.Sprint("r", number), now), true).Hold == nil)
	}
}

// A completed request is no longer held, and a peer's older hold does not restore the
// hold.
func TestCompletionClearsRequest(t *testing.T) {
	is := is.New(t)
	table := NewSuspectTable()
	decided := hold(table, 1, "r", start)
	lifted := table.Clear(1, start)
	is.True(lifted != nil)
	_, held := table.Held(1, start)
	is.True(!held)
	is.True(!table.ApplyHold(*decided)) // from a peer that has not received the lifted hold
	_, held = table.Held(1, start)
	is.True(!held)
	is.True(table.Clear(1, start) == nil) // already lifted
}

// Endings that are attributed to a held request do not count against a request that
// ran at few of these runners, whether they are reported before or after the hold.
func TestAttributedEndingsAreNotCountedAgainstBystanders(t *testing.T) {
	is := is.New(t)
	table := NewSuspectTable()
	table.RecordEnding(2, endingOf("r0", start), true)
	hold(table, 1, "r", start)
	is.True(!table.Suspected(2))
	is.True(!table.RecordEnding(2, endingOf("rlast", start), false).Counted) // reported late
	is.True(table.RecordEnding(2, endingOf("another", start), false).Counted)
	is.True(table.Suspected(2))
	_, held := table.Held(2, start)
	is.True(!held)
}

// Of two requests that ran at the same runners either may be the cause, so both are
// held.
func TestPossibleCauseStaysSuspected(t *testing.T) {
	is := is.New(t)
	table := NewSuspectTable()
	for number := range EndingsToHold - 1 {
		table.RecordEnding(2, endingOf(fmt.Sprint("r", number), start), true)
	}
	hold(table, 1, "r", start)
	is.True(table.Suspected(2))
	is.True(table.RecordEnding(2, endingOf("rlast", start), false).Hold != nil)
}

// The table's size is bounded, and the latest entries stay.
func TestTableIsBounded(t *testing.T) {
	is := is.New(t)
	table := NewSuspectTable()
	for number := range maxSuspects + 50 {
		table.mutex.Lock()
		table.evictOldest()
		table.suspects[Fingerprint(number)] = &suspect{lastEnding: start.Add(time.Duration(number)), endings: map[string]observedEnding{}}
		table.mutex.Unlock()
	}
	is.Equal(len(table.suspects), maxSuspects)
	is.True(table.suspects[Fingerprint(maxSuspects+49)] != nil)
	for number := range maxHolds + 50 {
		table.ApplyHold(Hold{Fingerprint: Fingerprint(number), Decided: int64(number), Until: start.Add(time.Hour).UnixMilli()})
	}
	is.Equal(len(table.Holds(start)), maxHolds)
	is.Equal(table.Holds(start)[0].Fingerprint, Fingerprint(maxHolds+49))
}

// Tables that apply the same holds in any order, with repeats, end up equal, with the
// hold of each request that was decided last.
func TestHoldsConverge(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		holds := rapid.SliceOfN(rapid.Custom(func(rt *rapid.T) Hold {
			until := rapid.SampledFrom([]int64{0, start.Add(time.Hour).UnixMilli(), start.Add(2 * time.Hour).UnixMilli()}).Draw(rt, "until")
			return Hold{Fingerprint: Fingerprint(rapid.IntRange(1, 3).Draw(rt, "request")), Decided: start.UnixMilli() + rapid.Int64Range(0, 5).Draw(rt, "decided"), Until: until}
		}), 0, 20).Draw(rt, "holds")
		one, other := NewSuspectTable(), NewSuspectTable()
		for _, hold := range holds {
			one.ApplyHold(hold)
		}
		for _, hold := range rapid.Permutation(append(holds, holds...)).Draw(rt, "order") {
			other.ApplyHold(hold)
		}
		for _, hold := range holds {
			if one.holds[hold.Fingerprint] != other.holds[hold.Fingerprint] {
				rt.Fatalf("%v and %v", one.holds, other.holds)
			}
			if hold.supersedes(one.holds[hold.Fingerprint]) {
				rt.Fatalf("%v is stored, but %v was decided later", one.holds[hold.Fingerprint], hold)
			}
		}
	})
}

// Only a run that has just begun is suspected of ending its runner.
func TestLongRunIsNotSuspect(t *testing.T) {
	is := is.New(t)
	is.True(IsSuspectRun(time.Time{}, start))
	is.True(IsSuspectRun(start, start.Add(suspectRunTime/2)))
	is.True(!IsSuspectRun(start, start.Add(suspectRunTime)))
}
