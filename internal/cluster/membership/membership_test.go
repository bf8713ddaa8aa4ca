package membership

import (
	"fmt"
	"math/rand/v2"
	"sort"
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	wirev1 "cobaltramp.example/cobaltramp/api/wire/v1"
	_ "cobaltramp.example/cobaltramp/internal/app/fixedseed"
)

// fleet simulates nodes on a network that drops and delays messages and blocks links.
type fleet struct {
	t            *rapid.T
	now          time.Time
	random       *rand.Rand
	nodes        map[string]*State
	paused       map[string]bool
	stopped      map[string]bool
	blockedLinks map[[2]string]bool // by sender and receiver
	loss         float64            // share of messages that are lost
	pending      []delivery
}

// delivery is a message that arrives at a given time.
type delivery struct {
	at      time.Time
	from    string
	to      string
	message *wirev1.MembershipMessage
}

const step = 50 * time.Millisecond

func newFleet(t *rapid.T, size int, seed uint64) *fleet {
	f := &fleet{
		t: t, now: time.Unix(0, 0), random: rand.New(rand.NewPCG(seed, 1)),
		nodes: map[string]*State{}, paused: map[string]bool{}, stopped: map[string]bool{}, blockedLinks: map[[2]string]bool{},
	}
	for i := range size {
		f.start(fmt.Sprintf("n%02d", i), 1)
	}
	return f
}

func (f *fleet) start(id string, incarnation uint64) {
	record := &wirev1.MemberRecord{Id: id, Address: id, Incarnation: incarnation}
	f.nodes[id] = New(record, DefaultConfig(), rand.New(rand.NewPCG(f.random.Uint64(), 2)))
	delete(f.stopped, id)
	f.reseed()
}

// reseed sets the seeds of all nodes to the addresses of all nodes.
func (f *fleet) reseed() {
	var seeds []Seed
	for _, id := range f.ids() {
		seeds = append(seeds, Seed{Address: id})
	}
	for _, node := range f.nodes {
		node.SetSeeds(seeds)
	}
}

func (f *fleet) ids() []string {
	ids := make([]string, 0, len(f.nodes))
	for id := range f.nodes {
		ids = append(ids, id)
	}
	sort.Strings(ids)
	return ids
}

func (f *fleet) running(id string) bool { return !f.stopped[id] && !f.paused[id] }

func (f *fleet) send(from string, out Output) {
	for _, envelope := range out.Send {
		if f.blockedLinks[[2]string{from, envelope.Address}] || f.random.Float64() < f.loss {
			continue
		}
		delay := time.Duration(f.random.Int64N(int64(60 * time.Millisecond)))
		message := proto.Clone(envelope.Message).(*wirev1.MembershipMessage)
		f.pending = append(f.pending, delivery{f.now.Add(delay), from, envelope.Address, message})
	}
}

func (f *fleet) advance(duration time.Duration) {
	for end := f.now.Add(duration); f.now.Before(end); f.now = f.now.Add(step) {
		f.deliver()
		for _, id := range f.ids() {
			if f.running(id) {
				f.send(id, f.nodes[id].Tick(f.now))
			}
		}
	}
}

func (f *fleet) deliver() {
	due := f.pending
	f.pending = nil
	for _, d := range due {
		if d.at.After(f.now) {
			f.pending = append(f.pending, d)
			continue
		}
		if f.running(d.to) {
			f.send(d.to, f.nodes[d.to].Handle(f.now, d.message))
		}
	}
}

func (f *fleet) stateOf(observer, subject string) wirev1.MemberState {
	for _, record := range f.nodes[observer].Records() {
		if record.Id == subject {
			return record.State
		}
	}
	return wirev1.MemberState_MEMBER_STATE_UNSPECIFIED
}

// disagreements lists the running nodes that see subject in none of the wanted states.
func (f *fleet) disagreements(subject string, wanted ...wirev1.MemberState) []string {
	var wrong []string
	for _, observer := range f.ids() {
		if !f.running(observer) {
			continue
		}
		seen := f.stateOf(observer, subject)
		matches := false
		for _, state := range wanted {
			matches = matches || seen == state
		}
		if !matches {
			wrong = append(wrong, fmt.Sprintf("%s sees %s as %v", observer, subject, seen))
		}
	}
	return wrong
}

// settleTime is the time for views to converge after faults have ended.
const settleTime = 60 * time.Second

// After faults of all kinds have ended, each running node sees every running node as alive,
// and every stopped node as dead or not at all.
func TestViewsConvergeAfterFaultsEnd(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		size := rapid.IntRange(3, 9).Draw(t, "size")
		f := newFleet(t, size, rapid.Uint64().Draw(t, "seed"))
		f.advance(10 * time.Second)
		for range rapid.IntRange(1, 5).Draw(t, "faults") {
			f.injectFault()
			f.advance(time.Duration(rapid.IntRange(0, 8000).Draw(t, "ms")) * time.Millisecond)
		}
		f.loss = 0
		clear(f.blockedLinks)
		clear(f.paused)
		f.advance(settleTime)
		for _, id := range f.ids() {
			wanted := []wirev1.MemberState{Alive}
			if f.stopped[id] {
				// A node that started later may have no record of the stopped node.
				wanted = []wirev1.MemberState{Dead, wirev1.MemberState_MEMBER_STATE_UNSPECIFIED}
			}
			if wrong := f.disagreements(id, wanted...); len(wrong) > 0 {
				t.Fatalf("want %v: %v", wanted, wrong)
			}
		}
	})
}

func (f *fleet) injectFault() {
	id := rapid.SampledFrom(f.ids()).Draw(f.t, "victim")
	switch rapid.IntRange(0, 5).Draw(f.t, "fault") {
	case 0:
		f.stopped[id] = true
	case 1:
		f.paused[id] = true
	case 2: // block a link in one direction
		other := rapid.SampledFrom(f.ids()).Draw(f.t, "other")
		f.blockedLinks[[2]string{id, other}] = true
	case 3: // block all links of a node
		for _, other := range f.ids() {
			f.blockedLinks[[2]string{id, other}] = true
			f.blockedLinks[[2]string{other, id}] = true
		}
	case 4:
		f.loss = 0.3
	case 5: // restart with an incarnation from a clock that was set back
		f.start(id, 1)
		delete(f.paused, id)
	}
}

// A node that has seen a member leave never sees it alive or suspect again, even with
// suspicions and with delayed or lost messages.
func TestLeavingMemberIsNeverRevived(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet(t, rapid.IntRange(3, 7).Draw(t, "size"), rapid.Uint64().Draw(t, "seed"))
		f.advance(10 * time.Second)
		const leaver = "n00"
		f.loss = 0.2
		f.send(leaver, f.nodes[leaver].Leave())
		left := map[string]bool{}
		for i := range 200 {
			if i == 100 {
				f.stopped[leaver] = true
			}
			f.advance(200 * time.Millisecond)
			for _, observer := range f.ids() {
				state := f.stateOf(observer, leaver)
				if left[observer] && (state == Alive || state == Suspect) {
					t.Fatalf("%s sees the leaving member as alive or suspect again", observer)
				}
				left[observer] = left[observer] || state == Leaving || state == Dead
			}
		}
	})
}

// A partition that lasted until each side declared the other dead heals through the seeds.
func TestPartitionHeals(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet(t, 6, rapid.Uint64().Draw(t, "seed"))
		f.advance(10 * time.Second)
		for _, left := range []string{"n00", "n01", "n02"} {
			for _, right := range []string{"n03", "n04", "n05"} {
				f.blockedLinks[[2]string{left, right}] = true
				f.blockedLinks[[2]string{right, left}] = true
			}
		}
		f.advance(20 * time.Second)
		if f.stateOf("n00", "n05") != Dead {
			t.Fatal("the partition was not detected")
		}
		clear(f.blockedLinks)
		f.advance(settleTime)
		for _, id := range f.ids() {
			if wrong := f.disagreements(id, Alive); len(wrong) > 0 {
				t.Fatalf("%v", wrong)
			}
		}
	})
}

// A node that was paused does not declare running members dead when it resumes, even if it
// suspected them before the pause.
func TestPausedNodeDeclaresNobodyDead(t *testing.T) {
	is := is.New(t)
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet(t, 5, rapid.Uint64().Draw(t, "seed"))
		f.advance(10 * time.Second)
		for _, other := range f.ids() {
			f.blockedLinks[[2]string{"n00", other}] = true
			f.blockedLinks[[2]string{other, "n00"}] = true
		}
		f.advance(time.Duration(rapid.IntRange(0, 1400).Draw(t, "ms")) * time.Millisecond)
		f.paused["n00"] = true
		f.advance(30 * time.Second)
		clear(f.blockedLinks)
		f.paused["n00"] = false
		for range 40 {
			f.advance(100 * time.Millisecond)
			for _, other := range []string{"n01", "n02", "n03", "n04"} {
				is.True(f.stateOf("n00", other) != Dead) // the resumed node declared a live member dead
			}
		}
	})
}

func BenchmarkHandlePing(b *testing.B) {
	node := New(&wirev1.MemberRecord{Id: "self", Address: "self"}, DefaultConfig(), rand.New(rand.NewPCG(1, 1)))
	now := time.Unix(0, 0)
	for i := range 330 {
		record := &wirev1.MemberRecord{Id: fmt.Sprint("node-", i), Address: "a", State: Alive, Incarnation: 1}
		node.Handle(now, &wirev1.MembershipMessage{Updates: []*wirev1.MemberRecord{record}})
	}
	message := &wirev1.MembershipMessage{Kind: wirev1.MembershipKind_MEMBERSHIP_KIND_PING, From: "node-1", FromAddress: "a"}
	b.ReportAllocs()
	for b.Loop() {
		node.Handle(now, message)
	}
}
