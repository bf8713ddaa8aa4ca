package quarantine

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

// fixedRunners is a list that knows all runners, and has this number of them for each service.
type fixedRunners int

func (r fixedRunners) Knows(string) bool      { return true }
func (r fixedRunners) ServiceSize(string) int { return int(r) }

func none(string) bool { return false }

// endOthers records the ends of runners of a service, spread evenly over the window before a time.
func endOthers(b *background, service string, count int, at time.Time) {
	for number := range count {
		before := backgroundWindow * time.Duration(number) / time.Duration(count)
		b.record(fmt.Sprint(service, number), service, at.Add(-before))
	}
}

// An ending counts less the more other runners of the service end at that time and the longer the
// run had lasted. A few other endings change nothing.
func TestWeightOfEndings(t *testing.T) {
	for _, test := range []struct {
		name     string
		others   int
		service  string
		ran      time.Duration
		min, max float64
	}{
		{"calm", 0, "s", 3 * time.Second, 1, 1},
		{"two other endings", 2, "s", time.Second, 1, 1},
		{"a wave of another service", 40, "other", 3 * time.Second, 1, 1},
		{"a wave, an early ending", 20, "s", 100 * time.Millisecond, 1, 1},
		{"a wave, a late ending", 20, "s", time.Second, 0.5, 0.8},
		{"a wave, a very late ending", 20, "s", 5 * time.Second, 0.1, 0.3},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			b := newBackground()
			b.runners = fixedRunners(12)
			endOthers(b, test.service, test.others, start)
			weight := b.weight(&observedEnding{runner: "r", service: "s", at: start, ran: test.ran}, none, start)
			is.True(weight >= test.min && weight <= test.max)
		})
	}
}

// The endings under the same work are no background: work that crashes all runners does not hide
// itself. Without a list of runners all endings count in full.
func TestOwnEndingsAreNoBackground(t *testing.T) {
	is := is.New(t)
	b := newBackground()
	ending := &observedEnding{runner: "r", service: "s", at: start, ran: time.Second}
	endOthers(b, "s", 40, start)
	is.Equal(b.weight(ending, none, start), 1.0)
	b.runners = fixedRunners(12)
	endOthers(b, "s", 40, start)
	is.True(b.weight(ending, none, start) < 0.8)
	is.Equal(b.weight(ending, func(string) bool { return true }, start), 1.0)
}

// The number of remembered endings is bounded, and old ones make room.
func TestBackgroundIsBounded(t *testing.T) {
	is := is.New(t)
	b := newBackground()
	b.runners = fixedRunners(12)
	for number := range 2 * maxRecentEndings {
		is.True(b.record(fmt.Sprint(number), "s", start))
		is.True(!b.record("0", "s", start))
	}
	is.Equal(len(b.ended), maxRecentEndings)
	is.True(b.record("later", "s", start.Add(2*backgroundTTL)))
	is.Equal(len(b.ended), 1)
}
