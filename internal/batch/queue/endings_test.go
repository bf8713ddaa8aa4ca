package queue

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	wirev1 "cobaltramp.example/cobaltramp/api/wire/v1"
)

// An item whose runners ended waits longer after each ending, and far less than its lifetime.
func TestEndingDelayGrowsToABound(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		lifetime := time.Duration(rapid.IntRange(1, 600).Draw(rt, "lifetime")) * time.Second
		previous := time.Duration(0)
		for endings := 1; endings < 50; endings++ {
			delay := endingDelay(endings, lifetime)
			if delay < previous || delay > lifetime/8 || delay > maxEndingDelay {
				rt.Fatalf("%v after %v, lifetime %v", delay, previous, lifetime)
			}
			previous = delay
		}
	})
	is.New(t).Equal(endingDelay(50, 0), maxEndingDelay)
}

// The number of endings is part of the state and never decreases, so that an item waits under a
// later leader too.
func TestEndingsSurviveTheLeader(t *testing.T) {
	is := is.New(t)
	store := memoryStore{}
	_, err := Apply(store, 1, &wirev1.QueueCommand{Kind: &wirev1.QueueCommand_Accept{Accept: jobOf("a", 2)}})
	is.NoErr(err)
	for _, endings := range []uint32{1, 3, 2} {
		failure := &wirev1.QueueFailure{JobId: "a", Item: 1, Endings: endings}
		_, err = Apply(store, 2, &wirev1.QueueCommand{Kind: &wirev1.QueueCommand_Failure{Failure: failure}})
		is.NoErr(err)
	}
	record, err := Record(store, "a")
	is.NoErr(err)
	table, now := NewItemTable(), time.Now()
	table.Add(record, now, now)
	waiting := table.Entry(ItemKey{"a", 1})
	is.Equal(waiting.Endings, 3)
	is.Equal(waiting.NotBefore, now.Add(endingDelay(3, waiting.Lifetime)))
	is.True(table.Entry(ItemKey{"a", 0}).NotBefore.IsZero())
}
