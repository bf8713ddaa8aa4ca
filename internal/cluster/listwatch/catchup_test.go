package listwatch

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// slowProbes is a store whose probes answer with the revision at the time of the call, some time later.
type slowProbes struct {
	fakeStore
	answerAfter time.Duration
	probes      atomic.Int64
}

func (s *slowProbes) Probe(context.Context) (int64, error) {
	s.probes.Add(1)
	revision := s.revision.Load()
	time.Sleep(s.answerAfter)
	return revision, nil
}

// A node that has just received changes coalesces the next ones; it must not keep a caller waiting
// meanwhile that needs the present list.
func TestCatchUpDoesNotWaitForCoalescing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := &fakeStore{}
		reflector := runReflector(t, store)
		store.revision.Store(2)
		time.Sleep(2 * time.Millisecond) // the change has arrived
		is.Equal(reflector.Merger.Revision(), int64(2))
		store.revision.Store(3)
		began := time.Now()
		reflector.CatchUp(t.Context())
		is.Equal(reflector.Merger.Revision(), int64(3))
		is.True(time.Since(began) < minCoalescing/2)
	})
}

// Guards against a list that counts as current for a caller because of a read that began before the caller asked.
func TestCatchUpReadsAfterItsCall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := &slowProbes{answerAfter: 100 * time.Millisecond}
		store.silentWatches.Store(1 << 20)
		store.revision.Store(1)
		reflector := startReflector(t, store)
		time.Sleep(probeInterval / 2)
		var earlier sync.WaitGroup
		earlier.Go(func() { reflector.CatchUp(t.Context()) })
		time.Sleep(store.answerAfter / 2)
		store.revision.Store(2)
		ctx, cancel := context.WithTimeout(t.Context(), 2*store.answerAfter)
		defer cancel()
		reflector.CatchUp(ctx) // the changes do not arrive
		is.True(ctx.Err() != nil)
		earlier.Wait()
	})
}

// Callers at the same time must share reads of the store, whose rate is limited.
func TestCallersOfCatchUpShareReads(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := &slowProbes{answerAfter: time.Millisecond}
		store.revision.Store(1)
		reflector := startReflector(t, store)
		time.Sleep(probeInterval / 2)
		before := store.probes.Load()
		var callers sync.WaitGroup
		const length = probeInterval / 4
		for number := range 500 {
			callers.Go(func() {
				time.Sleep(length * time.Duration(number) / 500)
				reflector.CatchUp(t.Context())
			})
		}
		callers.Wait()
		is.True(store.probes.Load()-before <= int64(length/catchUpInterval)+2)
	})
}

// While the store is known not to answer, a caller must not wait for it.
func TestCatchUpReturnsAtOnceWithoutContact(t *testing.T) {
	is := is.New(t)
	reflector := New(Options{Store: &fakeStore{}, Contact: NewStoreContact(), Merger: newTestMerger()})
	reflector.CatchUp(t.Context()) // nothing runs that could answer
	is.Equal(len(reflector.catchUps.wanted), 0)
}
