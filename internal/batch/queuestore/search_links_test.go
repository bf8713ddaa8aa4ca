package queuestore

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	wirev1 "cobaltramp.example/cobaltramp/api/wire/v1"
)

type linkState int

const (
	linkWhole linkState = iota
	// linkCut: messages are lost.
	linkCut
	// linkSilent: messages wait until the link is whole again.
	linkSilent
	linkStates
)

// searchLinks carries messages between the nodes of a searchWorld. Each direction between two
// nodes keeps the order of its messages.
type searchLinks struct {
	world *searchWorld

	mutex  sync.Mutex
	random *rand.Rand
	links  map[linkKey]*searchLink
	// lossRate is the share of messages that are lost, and slowest the longest delay.
	lossRate float64
	slowest  time.Duration
}

type linkKey struct{ from, to string }

type searchLink struct {
	state     linkState
	deliverAt time.Time
	waiting   []linkMessage
	wake      chan struct{}
}

type linkMessage struct {
	to *nodeRun // the message is lost if this run has ended
	at time.Time
	*wirev1.ReplicaMessage
}

const usualDelay = 2 * time.Millisecond

func newSearchLinks(world *searchWorld, seed uint64) *searchLinks {
	return &searchLinks{world: world, random: rand.New(rand.NewPCG(seed, 1)), links: map[linkKey]*searchLink{}, slowest: usualDelay}
}

// link returns the link of a direction and starts its delivery. The caller holds the mutex.
func (l *searchLinks) link(key linkKey) *searchLink {
	link := l.links[key]
	if link == nil {
		link = &searchLink{wake: make(chan struct{}, 1)}
		l.links[key] = link
		l.world.tasks.Go(func() { l.deliver(link) })
	}
	return link
}

func (l *searchLinks) setState(from, to string, state linkState) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	link := l.link(linkKey{from, to})
	link.state = state
	if state == linkCut {
		link.waiting = nil
	}
	link.notify()
}

func (l *searchLink) notify() {
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

func (l *searchLinks) heal() {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.lossRate, l.slowest = 0, usualDelay
	for _, link := range l.links {
		link.state = linkWhole
		link.notify()
	}
}

func (l *searchLinks) whole() bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	for _, link := range l.links {
		if link.state != linkWhole {
			return false
		}
	}
	return l.lossRate == 0 && l.slowest == usualDelay
}

func (l *searchLinks) isWhole(from, to string) bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.link(linkKey{from, to}).state == linkWhole
}

// send sends a message of a run as StorageNode.sendReplica does.
func (l *searchLinks) send(from *nodeRun, message *wirev1.ReplicaMessage) {
	from.waitWhileSuspended(context.Background())
	if from.dead.Load() {
		return
	}
	record, known := from.storage.Directory.Disk(message.To)
	if !known {
		return
	}
	if message.Kind == wirev1.ReplicaKind_REPLICA_KIND_ACCEPTED {
		message.Room = from.storage.freeBytes() + 1
	}
	l.world.observeMessage(from, message)
	to := l.world.runAt(record.Address)
	if to == nil || from.dead.Load() {
		return
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	link := l.link(linkKey{from.node.name, to.node.name})
	if link.state == linkCut || l.random.Float64() < l.lossRate {
		return
	}
	at := time.Now().Add(time.Duration(1 + l.random.Int64N(int64(l.slowest))))
	if at.Before(link.deliverAt) {
		at = link.deliverAt
	}
	link.deliverAt = at
	link.waiting = append(link.waiting, linkMessage{to, at, proto.Clone(message).(*wirev1.ReplicaMessage)})
	link.notify()
}

// deliver passes on the messages of a link until the world ends.
func (l *searchLinks) deliver(link *searchLink) {
	for {
		next, wait := l.next(link)
		if next != nil {
			next.to.receive(next.ReplicaMessage)
			continue
		}
		var timer <-chan time.Time
		if wait > 0 {
			timer = time.After(wait)
		}
		select {
		case <-l.world.context.Done():
			return
		case <-link.wake:
		case <-timer:
		}
	}
}

// next takes the next message if its time has come, and returns the time to wait otherwise; 0
// means until the link changes.
func (l *searchLinks) next(link *searchLink) (*linkMessage, time.Duration) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if len(link.waiting) == 0 || link.state != linkWhole {
		return nil, 0
	}
	first := link.waiting[0]
	if wait := time.Until(first.at); wait > 0 {
		return nil, wait
	}
	link.waiting = link.waiting[1:]
	return &first, 0
}

var errNoPeer = errors.New("no node at the address")

// silenceDetected is the time after which a call over a silent link fails.
const silenceDetected = 2 * time.Second

// fetch implements shardhost.SnapshotFetcher for a run.
func (l *searchLinks) fetch(ctx context.Context, to *nodeRun, address string, shard uint32, receive func(*wirev1.SnapshotChunk) error) error {
	from := l.world.runAt(address)
	if from == nil || from.dead.Load() {
		return errNoPeer
	}
	time.Sleep(usualDelay)
	if !from.snapshots.begin() {
		return errNoPeer
	}
	defer from.snapshots.end()
	return from.storage.host.SendSnapshot(ctx, shard, func(chunk *wirev1.SnapshotChunk) error {
		l.world.observe(stepSnapshot, from)
		time.Sleep(usualDelay)
		if !l.isWhole(from.node.name, to.node.name) {
			select {
			case <-time.After(silenceDetected):
			case <-ctx.Done():
			}
			return errNoPeer
		}
		if from.dead.Load() || to.dead.Load() {
			return errNoPeer
		}
		return receive(proto.Clone(chunk).(*wirev1.SnapshotChunk))
	})
}
