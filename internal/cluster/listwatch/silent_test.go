package listwatch

import (
	"context"
	"errors"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"cobaltramp.example/cobaltramp/internal/cluster/ports"
	"cobaltramp.example/cobaltramp/internal/cluster/relay"
)

// errCallEnded is the error of a list or a watch whose context ended.
var errCallEnded = errors.New("the call has ended")

// fakeStore is a store at a revision that the test sets. A watch of it returns when there are
// changes, unless its connection is silent.
type fakeStore struct {
	revision atomic.Int64
	// silentWatches is the number of the next watches that return nothing.
	silentWatches atomic.Int64
	// refusesProbes makes probes return no revision.
	refusesProbes atomic.Bool
	// silentLists makes lists return nothing until their context ends.
	silentLists atomic.Bool
	watches     atomic.Int64
	lists       atomic.Int64
}

func (s *fakeStore) FirstPage(ctx context.Context, _ string) (*Page, error) {
	s.lists.Add(1)
	if s.silentLists.Load() {
		<-ctx.Done()
		return nil, errCallEnded
	}
	return &Page{Revision: s.revision.Load()}, nil
}

func (s *fakeStore) ListFrom(_ context.Context, _ string, first *Page) ([]ports.Value, int64, error) {
	return nil, first.Revision, nil
}

func (s *fakeStore) Changes(ctx context.Context, _ string, after int64, wait time.Duration) ([]ports.WatchEvent, int64, error) {
	s.watches.Add(1)
	silent := s.silentWatches.Add(-1) >= 0
	for deadline := time.Now().Add(wait); ctx.Err() == nil; time.Sleep(time.Millisecond) {
		if now := s.revision.Load(); now > after && !silent {
			return []ports.WatchEvent{{Value: ports.Value{Key: "k", Revision: now}}}, now, nil
		}
		if time.Now().After(deadline) && !silent {
			return nil, after, nil
		}
	}
	return nil, after, errCallEnded
}

func (s *fakeStore) Probe(context.Context) (int64, error) {
	if s.refusesProbes.Load() {
		return 0, nil
	}
	return s.revision.Load(), nil
}

// runReflector runs a reflector of the store in a synctest bubble and returns it after its
// first watch has been waiting for some seconds.
func runReflector(t *testing.T, store *fakeStore) *Reflector {
	t.Helper()
	store.revision.Store(1)
	reflector := startReflector(t, store)
	time.Sleep(5*time.Second + probeInterval/2)
	return reflector
}

// startReflector runs a reflector of the store until the test ends.
func startReflector(t *testing.T, store ListerWatcher) *Reflector {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	reflector := New(Options{Store: store, Contact: NewStoreContact(), Merger: newTestMerger(), WatchTimeout: time.Hour})
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		reflector.Run(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-ended
	})
	return reflector
}

// detectionTime is the longest time from a change until a node holds it although its watch has
// gone silent: the interval of the probes, the time for delivery, and the watch on a new
// connection.
const detectionTime = probeInterval + deliveryTimeout + 10*time.Millisecond

// A watch that has gone silent must be replaced as soon as a probe shows that the store has
// changed, without a loss of contact.
func TestSilentWatchIsReplaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := &fakeStore{}
		store.silentWatches.Store(1)
		reflector := runReflector(t, store)
		store.revision.Store(2)
		time.Sleep(detectionTime)
		is.Equal(reflector.Merger.Revision(), int64(2))
		is.True(!reflector.Contact.Lost())
		is.Equal(store.lists.Load(), int64(1)) // the watch continues from the node's revision
	})
}

// If new watches deliver nothing either, the node must list the store.
func TestStoreIsListedIfWatchesStaySilent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := &fakeStore{}
		store.silentWatches.Store(1 << 20)
		reflector := runReflector(t, store)
		store.revision.Store(2)
		time.Sleep(detectionTime + deliveryTimeout)
		is.Equal(reflector.Merger.Revision(), int64(2))
		is.Equal(store.lists.Load(), int64(2))
	})
}

// A probe must not renew the contact of a node that has not received the store's changes,
// since the node may hold revoked keys.
func TestProbeDoesNotConfirmOutdatedNode(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := &fakeStore{}
		store.silentWatches.Store(1 << 20)
		reflector := runReflector(t, store)
		store.silentLists.Store(true)
		before := reflector.Contact.renewedAt.Load()
		store.revision.Store(2)
		const probes = 5
		time.Sleep(probes * probeInterval)
		is.Equal(store.lists.Load(), int64(2)) // the node tried to list the store
		is.Equal(reflector.Contact.StoreRevision(), int64(2))
		is.Equal(reflector.Merger.Revision(), int64(1))
		is.Equal(reflector.Contact.renewedAt.Load(), before)
	})
}

// Contact must count as lost if the store refuses probes for long, since then nothing shows
// whether the watch still delivers.
func TestRefusedProbesEndContact(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := &fakeStore{}
		store.silentWatches.Store(1 << 20)
		reflector := runReflector(t, store)
		store.refusesProbes.Store(true)
		time.Sleep((maxRefusedProbes - 1) * probeInterval)
		is.True(!reflector.Contact.Lost())
		time.Sleep(probeInterval)
		is.True(reflector.Contact.Lost())
	})
}

// A healthy watch must not be replaced while changes arrive.
func TestDeliveringWatchIsKept(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := &fakeStore{}
		reflector := runReflector(t, store)
		before := store.watches.Load()
		for revision := int64(2); revision < 22; revision++ {
			store.revision.Store(revision)
			time.Sleep(1500 * time.Millisecond)
			is.Equal(reflector.Merger.Revision(), revision)
		}
		is.Equal(store.watches.Load(), before+20) // one for each change
		is.Equal(store.lists.Load(), int64(1))
	})
}

func newTestMerger() *relay.Merger { return relay.NewMerger(discardSink{}) }
