package platformday

import (
	"bytes"
	"fmt"
	"os"
	"sync/atomic"
	"testing"

	"cobaltramp.example/cobaltramp/lab/standin"
)

const (
	// unluckyPart is a part of prompts whose first runs meet the end of their runners by chance.
	unluckyPart = "unlucky"
	// chanceCrashes is the number of these runs, for the part and for a body of its own.
	chanceCrashes = 3
)

// firstTimes returns a function that returns true the first times that it is called.
func firstTimes(times int64) func() bool {
	var calls atomic.Int64
	return func() bool { return calls.Add(1) <= times }
}

// Guards against sound work that is sent to no runner any more (review/3): after the runners of the
// first three runs of an item ended, it and the other items and requests that share its prompt's
// part have to be served, while the store is away as well.
func TestSoundWorkIsServedAfterCrashesByChance(t *testing.T) {
	t.Parallel()
	folder := t.TempDir()
	unluckyBody := []byte("unlucky body")
	crashesPart, crashesBody := firstTimes(chanceCrashes), firstTimes(chanceCrashes)
	d, err := open(t.Context(), Options{
		Program: build(t, folder), Folder: folder, Seed: 1, Progress: os.Stderr, Runners: 10,
		CrashesOnPart: func(part string) bool { return part == unluckyPart && crashesPart() },
		Crashes:       func(body []byte) bool { return bytes.Equal(body, unluckyBody) && crashesBody() },
	})
	if err != nil {
		t.Fatal(err)
	}
	defer d.close()
	complete := func(job string, items int) {
		t.Helper()
		d.await(t, "the completion of "+job, func(poll int) bool { return d.client(poll%d.Edges).CompletedItems(job) == items })
	}
	d.await(t, "the acceptance of the body", func(poll int) bool { return d.client(poll%d.Edges).Submit("body", [][]byte{unluckyBody}) })
	complete("body", 1)
	d.store.SetFault(standin.StoreFault{Busy: true})
	prompts := [][]string{{unluckyPart, "own"}}
	d.await(t, "the acceptance of the part", func(poll int) bool { return d.client(poll%d.Edges).SubmitPrompts("part", prompts) })
	complete("part", len(prompts))
	d.store.SetFault(standin.StoreFault{})
	prompts = [][]string{{unluckyPart}, {unluckyPart, "other"}}
	d.await(t, "the acceptance of the later job", func(poll int) bool { return d.client(poll%d.Edges).SubmitPrompts("later", prompts) })
	complete("later", len(prompts))
	for edge := range d.Edges {
		d.await(t, "a request with the part", func(poll int) bool { // an edge may just have lost its runners
			return d.client(edge).PromptRequest(standin.EventsPrefix+"x", fmt.Sprint("online", edge, "-", poll), []string{unluckyPart})
		})
	}
	if t.Failed() {
		t.Log(linesWith(folder, "quarantine") + linesWith(folder, "provisional") + logTails(folder))
	}
}
