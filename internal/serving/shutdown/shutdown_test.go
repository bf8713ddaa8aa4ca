package shutdown

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// A node that does not stop takes all requests.
func TestAllRequestsAreTakenBeforeTheStop(t *testing.T) {
	is := is.New(t)
	gate, now := NewGate(), time.Now()
	gate.Record(KindOf("r", 100), time.Hour, now)
	is.True(gate.Takes(KindOf("r", 100), now.Add(time.Hour), now))
	is.True(!gate.Begun())
}

// TestStoppingNodeTakesWhatItCanAnswer guards against requests that a stopping node takes late and cuts
// (LOST): none is taken that may last longer than the node, and none is refused that ends in time.
func TestStoppingNodeTakesWhatItCanAnswer(t *testing.T) {
	const left = 4 * time.Second
	for _, test := range []struct {
		name     string
		deadline time.Duration
		recorded map[Kind]time.Duration
		taken    bool
	}{
		{name: "the deadline comes first", deadline: left, taken: true},
		{name: "the deadline comes first, other requests lasted longer", deadline: left, recorded: map[Kind]time.Duration{KindOf("r", 100): left}, taken: true},
		{name: "requests are short", deadline: time.Minute, recorded: map[Kind]time.Duration{KindOf("r", 100): 3 * time.Second}, taken: true},
		{name: "requests are too long", deadline: time.Minute, recorded: map[Kind]time.Duration{KindOf("r", 100): left}},
		{name: "nothing is known", deadline: left + 1},
		{name: "only another route is known", deadline: time.Minute, recorded: map[Kind]time.Duration{KindOf("other", 100): time.Millisecond}},
		{name: "only other limits are known", deadline: time.Minute, recorded: map[Kind]time.Duration{KindOf("r", 9000): time.Second}, taken: true},
		{name: "requests with a larger limit are too long", deadline: time.Minute, recorded: map[Kind]time.Duration{KindOf("r", 100): time.Second, KindOf("r", 9000): left}, taken: true},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			gate, now := NewGate(), time.Now()
			for kind, lasted := range test.recorded {
				gate.Record(kind, lasted, now)
			}
			gate.Begin(now.Add(left))
			is.Equal(gate.Takes(KindOf("r", 100), now.Add(test.deadline), now), test.taken)
		})
	}
}

// Whatever was recorded and when, the longest duration of the last window is known, and none older than
// three windows is.
func TestDurationsOfTheLastWindowAreKnown(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		type recorded struct {
			at     time.Time
			lasted time.Duration
		}
		var records []recorded
		var known durations
		now, kind := time.Now(), KindOf("r", 10)
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.Int64Range(0, int64(durationWindow)).Draw(t, "pause")))
			if rapid.Bool().Draw(t, "records") {
				lasted := time.Duration(rapid.Int64Range(1, 100).Draw(t, "lasted"))
				known.record(kind, lasted, now)
				records = append(records, recorded{now, lasted})
			}
			recent, any := time.Duration(0), time.Duration(0)
			for _, record := range records {
				if age := now.Sub(record.at); age < durationWindow {
					recent = max(recent, record.lasted)
				} else if age > 3*durationWindow {
					continue
				}
				any = max(any, record.lasted)
			}
			longest, _ := known.longest(kind, now)
			if longest < recent || longest > any {
				t.Fatalf("the longest is %d, want %d to %d", longest, recent, any)
			}
		}
	})
}

// At the end of the stop, the contexts of requests end with the reason.
func TestRequestsEndWithTheStop(t *testing.T) {
	is := is.New(t)
	gate := NewGate()
	ctx, release := gate.Request(t.Context())
	released, releaseEarly := gate.Request(t.Context())
	releaseEarly()
	gate.Begin(time.Now())
	<-ctx.Done()
	is.True(errors.Is(context.Cause(ctx), ErrEnded))
	is.True(errors.Is(context.Cause(released), context.Canceled))
	release()
}
