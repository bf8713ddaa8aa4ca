package runnerset

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

const testDrain = 2 * time.Second

// A runner must not get streams later than its drain time after it stated that it leaves, however
// late this node learned of it.
func TestLeavingRunnerIsNotUsedAfterItsDrainTime(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		age := time.Duration(rapid.Int64Range(0, int64(10*time.Second)).Draw(t, "age"))
		drain := time.Duration(rapid.Int64Range(1, int64(10*time.Second)).Draw(t, "drain"))
		usable := withdrawal{leaving: true, contentsAge: age, drain: drain}.usableTime()
		if usable > 0 && age+usable > drain*9/10 {
			t.Fatalf("a runner that may have begun to leave %s ago is used for %s more", age, usable)
		}
	})
}

// The times for which runners are used after a withdrawal.
func TestUsableTimeAfterWithdrawal(t *testing.T) {
	for _, test := range []struct {
		name       string
		withdrawal withdrawal
		want       time.Duration
	}{
		{"leaves, learned at once", withdrawal{leaving: true, drain: testDrain}, 1700 * time.Millisecond},
		{"leaves, learned late", withdrawal{leaving: true, drain: testDrain, contentsAge: 1200 * time.Millisecond}, 500 * time.Millisecond},
		{"leaves, contact was interrupted", withdrawal{leaving: true, drain: testDrain, contentsAge: time.Minute}, 0},
		{"removed, learned at once", withdrawal{drain: testDrain}, removedGrace},
		{"removed, learned late", withdrawal{drain: testDrain, contentsAge: 1200 * time.Millisecond}, 500 * time.Millisecond},
		{"removed, contact was interrupted", withdrawal{drain: testDrain, contentsAge: time.Minute}, removedGrace},
		{"removed, contact was interrupted, short drain time", withdrawal{drain: testDrain / 10, contentsAge: time.Minute}, 170 * time.Millisecond},
		{"drain time unknown", withdrawal{leaving: true, contentsAge: time.Minute}, removedGrace},
	} {
		t.Run(test.name, func(t *testing.T) { is.New(t).Equal(test.withdrawal.usableTime(), test.want) })
	}
}

// A list that was behind shortens the time in which streams may go on at a runner that leaves or
// was removed.
func TestAgeOfTheListCountsForWithdrawnRunners(t *testing.T) {
	for _, test := range []struct {
		name    string
		heldAge time.Duration
		usable  bool
	}{
		{"current list", 0, true},
		{"list that was behind for nearly all of the time", 1700*time.Millisecond - 1, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			s := New()
			s.SetContact(&fakeContact{age: test.heldAge}, testDrain)
			s.Replace([]Record{versioned("a", "v1"), versioned("b", "v2"), versioned("c", "v3")}, 1, time.Now())
			leaving := versioned("a", "v1")
			leaving.Leaving = true
			s.ApplyChanges([]Record{leaving}, []string{"b"}, 2, time.Now())
			picked := func(version string) bool {
				return pick(s, Criteria{Zone: "z", SoftwareVersion: version}, time.Now()) != ""
			}
			is.Equal(picked("v1"), test.usable)
			is.Equal(picked("v2"), test.usable)
			is.True(picked("v3"))
		})
	}
}
