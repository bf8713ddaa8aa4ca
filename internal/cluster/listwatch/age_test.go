package listwatch

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"cobaltramp.example/cobaltramp/internal/app/boottime"
	"cobaltramp.example/cobaltramp/internal/cluster/ports"
	"cobaltramp.example/cobaltramp/internal/cluster/relay"
)

// maxHops is the number of relays between the store and a leaf of the tree.
const maxHops = 2

// The age of a node's contents must stay within relay.FollowTiming.MaxAge while the store and all
// relays work: each probe, each pause of the coalescer and each heartbeat may add to it. MaxAge
// must leave a part of the drain time to the request itself.
func TestAgesWithoutFaultsStayWithinTheLimit(t *testing.T) {
	for _, drain := range []time.Duration{2 * time.Second, 3 * time.Second, 4 * time.Second, 5 * time.Second} {
		timing := relay.TimingWithin(drain)
		coalescing := newCoalescer(time.Now(), drain).burstDelay
		quiet := probeInterval + maxHops*timing.Heartbeat
		busy := coalescing + maxHops*timing.Heartbeat
		if longest := max(quiet, busy); longest > timing.MaxAge {
			t.Errorf("drain time %s: contents are up to %s old without a fault, more than %s", drain, longest, timing.MaxAge)
		}
		if timing.MaxAge > drain*9/10 {
			t.Errorf("drain time %s: contents may be %s old", drain, timing.MaxAge)
		}
	}
}

// A node that relays keep up to date is as old as the contents of its relay, and no reply makes
// it older than it is.
func TestContactIsAsOldAsTheRelaysContents(t *testing.T) {
	is := is.New(t)
	contact := NewStoreContact()
	contact.Confirm()
	contact.RenewAsOf(time.Hour)
	is.True(contact.Age() < time.Minute)

	contact.renewedAt.Store(int64(-2 * time.Hour))
	contact.RenewAsOf(time.Hour)
	is.True(contact.Age() >= time.Hour)
	is.True(contact.Age() < 2*time.Hour)
}

// While an update is applied, a change in it may be as old as the contents before it: a runner may
// have begun to leave right after they were current.
func TestChangeIsAsOldAsTheContentsBeforeIt(t *testing.T) {
	is := is.New(t)
	contact := NewStoreContact()
	contact.heldAt.Store(int64(-time.Hour))
	contact.Update(boottime.Now(), func() {
		is.True(contact.HeldAge() >= time.Hour)
		is.True(contact.Age() < time.Minute)
		is.True(!contact.Lost())
	})
	is.True(contact.HeldAge() < time.Minute)
}

// Contents from another node or from the disk, which a node has before its first contact, may be of
// any age, however short the time since its start is.
func TestContentsBeforeTheFirstContactMayBeOfAnyAge(t *testing.T) {
	is := is.New(t)
	contact := NewStoreContact()
	contact.Update(boottime.Now(), func() { is.True(contact.HeldAge() > 365*24*time.Hour) })
	is.True(contact.HeldAge() < time.Minute)
}

// A probe shows what the store held when it was sent, not when its response arrived.
func TestProbeCountsFromWhenItWasSent(t *testing.T) {
	is := is.New(t)
	reflector := New(Options{Contact: NewStoreContact(), Merger: relay.NewMerger(discardSink{})})
	reflector.Contact.renewedAt.Store(int64(-time.Hour))
	reflector.Contact.heldAt.Store(int64(-time.Hour))
	reflector.checkWatch(t.Context(), -1, time.Now().Add(-700*time.Millisecond))
	is.True(reflector.Contact.Age() >= 700*time.Millisecond)
	is.True(reflector.Contact.HeldAge() < time.Minute)
}

// lateStore is a store whose answers are read some time after they were given, as by a process that
// stood still meanwhile.
type lateStore struct {
	fakeStore
	readAfter time.Duration
	// ages receives the ages of the contents at the beginning of each call after the first.
	ages    chan time.Duration
	contact *StoreContact
}

func (s *lateStore) FirstPage(context.Context, string) (*Page, error) {
	time.Sleep(s.readAfter)
	return &Page{Revision: 1}, nil
}

func (s *lateStore) Changes(context.Context, string, int64, time.Duration) ([]ports.WatchEvent, int64, error) {
	s.ages <- s.contact.HeldAge()
	time.Sleep(s.readAfter)
	return nil, 1, nil
}

// Guards against lists that count as current though they are behind: an answer of the store that a node reads
// after it stood still shows what the store held when the call was sent, not when the answer was read.
func TestAnswerThatIsReadLateCountsFromItsCall(t *testing.T) {
	is := is.New(t)
	contact := NewStoreContact()
	store := &lateStore{readAfter: 300 * time.Millisecond, ages: make(chan time.Duration), contact: contact}
	reflector := New(Options{Store: store, Contact: contact, Merger: relay.NewMerger(discardSink{}), WatchTimeout: time.Hour})
	go reflector.Run(t.Context())
	is.True(<-store.ages >= store.readAfter) // after the list
	is.True(<-store.ages >= store.readAfter) // after the first watch
}
