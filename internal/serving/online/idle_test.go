package online

import (
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"cobaltramp.example/cobaltramp/internal/serving/runnerset"
)

const testIdleTimeout = 1500 * time.Millisecond

// endedAfter returns when a watch ends its attempt, counted from its start; 0 if it does not end it
// within a minute. events is how many events arrive, 20 ms apart.
func endedAfter(events int, lastChance func() bool) time.Duration {
	started := time.Now()
	var ended atomic.Int64 // the watch calls from a goroutine of its own
	watch := startIdleWatch(testIdleTimeout, lastChance, func() { ended.Store(int64(time.Since(started))) })
	for range events {
		time.Sleep(20 * time.Millisecond)
		watch.pause()
		watch.resume(true)
	}
	time.Sleep(time.Minute)
	watch.stop()
	return time.Duration(ended.Load())
}

// An attempt whose runner sends nothing ends at the idle timeout, counted from the last event. A
// stream that has begun ends earlier if that is the last chance to go on.
func TestIdleWatchEndsSilentAttempts(t *testing.T) {
	never, always := func() bool { return false }, func() bool { return true }
	for _, test := range []struct {
		name       string
		events     int
		lastChance func() bool
		want       time.Duration
	}{
		{"no event", 0, never, testIdleTimeout},
		{"no event, a stream that has not begun is bound to no runner", 0, always, testIdleTimeout},
		{"silent after five events", 5, never, 100*time.Millisecond + testIdleTimeout},
		{"silent after five events, last chance", 5, always, 100*time.Millisecond + minWithdrawnIdleTime},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is.New(t).Equal(endedAfter(test.events, test.lastChance), test.want)
			})
		})
	}
}

// A watch that was stopped, for instance while the caller is slow, does not end its attempt.
func TestStoppedIdleWatchEndsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ended := false
		watch := startIdleWatch(testIdleTimeout, func() bool { return true }, func() { ended = true })
		watch.resume(true)
		time.Sleep(minWithdrawnIdleTime / 2)
		watch.stop()
		time.Sleep(time.Minute)
		is.New(t).True(!ended)
	})
}

// shortDrain is a drain time of which a withdrawn runner has less than lastUseMargin left.
const shortDrain = lastUseMargin

// It is the last chance of a stream if its runner may be used only for a little longer, and no other
// runner of its software version accepts work.
func TestLastChanceOfAStream(t *testing.T) {
	for _, test := range []struct {
		name    string
		leaves  bool
		drain   time.Duration
		another string // the software version of another runner
		want    bool
	}{
		{"the only runner of its version leaves", true, shortDrain, "v2", true},
		{"much time is left", true, time.Minute, "v2", false},
		{"another runner of its version", true, shortDrain, "v1", false},
		{"the runner stays", false, shortDrain, "v2", false},
	} {
		t.Run(test.name, func(t *testing.T) {
			set := runnerset.New()
			set.SetContact(currentContact{}, test.drain)
			records := []runnerset.Record{{ID: "a", Service: "s", Version: "v1"}, {ID: "b", Service: "s", Version: test.another}}
			set.Replace(records, 1, time.Now())
			runner := set.Service("s")[0]
			records[0].Leaving = test.leaves
			set.ApplyChanges(records, nil, 2, time.Now())
			is.New(t).Equal(isLastChance(set, runner), test.want)
		})
	}
}

// currentContact is a contact with the store whose contents are always current.
type currentContact struct{}

func (currentContact) Age() time.Duration     { return 0 }
func (currentContact) HeldAge() time.Duration { return 0 }
func (currentContact) Lost() bool             { return false }

// Guards against events without an id that keep an attempt alive for ever: they are no progress of the
// stream.
func TestUnnumberedEventsDoNotEndTheSilence(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		started := time.Now()
		var ended atomic.Int64
		watch := startIdleWatch(testIdleTimeout, func() bool { return false }, func() { ended.Store(int64(time.Since(started))) })
		for range 200 {
			time.Sleep(20 * time.Millisecond)
			watch.pause()
			watch.resume(false)
		}
		watch.stop()
		is.New(t).Equal(time.Duration(ended.Load()), testIdleTimeout)
	})
}
