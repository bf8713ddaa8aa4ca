package quarantine

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

var start = time.Unix(1_000_000, 0)

// hold records the ends of as many runners under a request as it takes to hold it,
// and returns the hold.
func hold(table *SuspectTable, fingerprint Fingerprint, prefix string, now time.Time) *Hold {
	for number := range EndingsToHold {
		name := fmt.Sprint(prefix, number)
		if number == EndingsToHold-1 {
			name = prefix + "last"
		}
		if decided := table.Ended(fingerprint, name, true, now).Hold; decided != nil {
			return decided
		}
	}
	return nil
}

// A request is held once enough different runners ended under it, for a bounded time.
func TestHeldAfterEnoughRunners(t *testing.T) {
	is := is.New(t)
	table := NewSuspectTable()
	for repeat := range 5 { // one runner counts once, however often it is reported, and is reported on once
		verdict := table.Ended(1, "r0", true, start)
		is.True(verdict.Hold == nil)
		is.Equal(verdict.Fresh, repeat == 0)
	}
	for number := 1; number < EndingsToHold-1; number++ {
		is.True(table.Ended(1, fmt.Sprint("r", number), true, start).Hold == nil)
	}
	_, held := table.Held(1, start)
	is.True(!held)
	verdict := table.Ended(1, "r9", false, start)
	is.True(verdict.Hold != nil)
	is.True(verdict.Own) // this node has seen a part of it itself
	left, held := table.Held(1, start)
	is.True(held)
	is.Equal(left, firstHold)
	_, held = table.Held(2, start)
	is.True(!held) // others are not
	_, held = table.Held(1, start.Add(firstHold))
	is.True(!held)
}

// Each hold of the same request is longer than the one before, up to a bound; a
// request whose hold has ended is held again for the end of one runner more.
func TestHoldsGrow(t *testing.T) {
	is := is.New(t)
	table := NewSuspectTable()
	decided := hold(table, 1, "r", start)
	now, last := start, time.Duration(0)
	for number := range 6 {
		is.True(decided != nil)
		length := time.Duration(decided.Length) * time.Millisecond
		is.True(length > last || length == longestHold)
		last = length
		if number == 5 {
			break
		}
		now = now.Add(length)
		before := table.Ended(1, fmt.Sprint("before", number), true, now.Add(-1)).Hold
		is.True(before == nil) // held still
		decided = table.Ended(1, fmt.Sprint("again", number), true, now.Add(endingLife/100)).Hold
		if decided == nil { // what was counted is too old
			decided = hold(table, 1, fmt.Sprint("life", number), now.Add(endingLife/100))
		}
	}
	is.Equal(last, longestHold)
}

// Endings count for a time only.
func TestEndingsAge(t *testing.T) {
	is := is.New(t)
	table := NewSuspectTable()
	for number := range 4 * EndingsToHold {
		now := start.Add(time.Duration(number) * endingLife)
		is.True(table.Ended(1, fmt.Sprint("r", number), true, now).Hold == nil)
	}
}

// A request that a runner completes is neither suspected nor held any more, and
// what was reported before does not hold it again.
func TestCompletedIsAbsolved(t *testing.T) {
	is := is.New(t)
	table := NewSuspectTable()
	decided := hold(table, 1, "r", start)
	lifted := table.Absolve(1, start)
	is.True(lifted != nil)
	_, held := table.Held(1, start)
	is.True(!held)
	is.True(!table.Take(*decided)) // a peer that has not received the end sends it again
	_, held = table.Held(1, start)
	is.True(!held)
	is.True(table.Absolve(1, start) == nil) // nothing more to report
}

// The ends of runners that are laid to one request are counted against no other
// that was at few of them, whether that was reported before or after.
func TestBystandersAreCleared(t *testing.T) {
	is := is.New(t)
	table := NewSuspectTable()
	table.Ended(2, "r0", true, start)
	hold(table, 1, "r", start)
	is.True(!table.Suspected(2))
	is.True(!table.Ended(2, "rlast", false, start).Fresh) // reported late
	is.True(table.Ended(2, "another", false, start).Fresh)
	is.True(table.Suspected(2))
	_, held := table.Held(2, start)
	is.True(!held)
}

// Two requests that were at the same runners can't be distinguished: the one whose last
// end is reported later is held as well, whichever it is.
func TestTheCauseIsNotClearedByABystander(t *testing.T) {
	is := is.New(t)
	table := NewSuspectTable()
	for number := range EndingsToHold - 1 {
		table.Ended(2, fmt.Sprint("r", number), true, start)
	}
	hold(table, 1, "r", start)
	is.True(table.Suspected(2))
	is.True(table.Ended(2, "rlast", false, start).Hold != nil)
}

// Memory is bounded, whatever comes: what was reported last stays.
func TestTableIsBounded(t *testing.T) {
	is := is.New(t)
	table := NewSuspectTable()
	for number := range maxSuspects + 50 {
		table.mutex.Lock()
		table.makeRoom()
		table.suspects[Fingerprint(number)] = &suspect{last: start.Add(time.Duration(number)), endings: map[string]time.Time{}}
		table.mutex.Unlock()
	}
	is.Equal(len(table.suspects), maxSuspects)
	is.True(table.suspects[Fingerprint(maxSuspects+49)] != nil)
	for number := range maxHolds + 50 {
		table.Take(Hold{Fingerprint: Fingerprint(number), Decided: int64(number), Until: start.Add(time.Hour).UnixMilli()})
	}
	is.Equal(len(table.Holds(start)), maxHolds)
	is.Equal(table.Holds(start)[0].Fingerprint, Fingerprint(maxHolds+49))
}

// Tables that have taken the same holds, in any order and any number of times,
// are the same; of each request the hold decided last counts.
func TestHoldsConverge(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		holds := rapid.SliceOfN(rapid.Custom(func(rt *rapid.T) Hold {
			until := rapid.SampledFrom([]int64{0, start.Add(time.Hour).UnixMilli(), start.Add(2 * time.Hour).UnixMilli()}).Draw(rt, "until")
			return Hold{Fingerprint: Fingerprint(rapid.IntRange(1, 3).Draw(rt, "request")), Decided: start.UnixMilli() + rapid.Int64Range(0, 5).Draw(rt, "decided"), Until: until}
		}), 0, 20).Draw(rt, "holds")
		one, other := NewSuspectTable(), NewSuspectTable()
		for _, hold := range holds {
			one.Take(hold)
		}
		for _, hold := range rapid.Permutation(append(holds, holds...)).Draw(rt, "order") {
			other.Take(hold)
		}
		for _, hold := range holds {
			if one.holds[hold.Fingerprint] != other.holds[hold.Fingerprint] {
				rt.Fatalf("%v and %v", one.holds, other.holds)
			}
			if hold.after(one.holds[hold.Fingerprint]) {
				rt.Fatalf("%v is in force, %v was decided later", one.holds[hold.Fingerprint], hold)
			}
		}
	})
}

// Only a run that may just have begun is blamed for its runner's end.
func TestLongRunsAreNotBlamed(t *testing.T) {
	is := is.New(t)
	is.True(IsSuspectRun(time.Time{}, start))
	is.True(IsSuspectRun(start, start.Add(blameTime/2)))
	is.True(!IsSuspectRun(start, start.Add(blameTime)))
}
