package replica

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"sort"
	"time"

	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	wirev1 "cobaltramp.example/cobaltramp/api/wire/v1"
)

// testTiming returns shorter times than the default, so that tests need fewer steps.
func testTiming() ElectionTiming {
	return ElectionTiming{Heartbeat: 200 * time.Millisecond, Election: time.Second}
}

// disk is the state of a replica that survives a crash.
type disk struct {
	hard    HardState
	entries []*wirev1.LogEntry
	lost    bool
}

func (d *disk) Entries(lo, hi uint64, _ int) ([]*wirev1.LogEntry, error) {
	if hi > uint64(len(d.entries)) {
		return nil, fmt.Errorf("entries %d to %d of %d", lo, hi, len(d.entries))
	}
	return d.entries[lo-1 : hi], nil
}

func (d *disk) persist(ready Ready) {
	if ready.HardState != nil {
		d.hard = *ready.HardState
	}
	if ready.TruncateFrom > 0 {
		d.entries = d.entries[:ready.TruncateFrom-1]
	}
	d.entries = append(d.entries, ready.Entries...)
}

func (d *disk) epochs() []uint64 {
	epochs := make([]uint64, len(d.entries))
	for i, entry := range d.entries {
		epochs[i] = entry.Epoch
	}
	return epochs
}

// cluster simulates replicas, their disks and an unreliable network.
type cluster struct {
	t         *rapid.T
	now       time.Time
	random    *rand.Rand
	memberSet MemberSet
	stored    MemberSet // the member set in the platform's store
	disks     map[string]*disk
	replicas  map[string]*Replica // nil if the replica is down
	paused    map[string]bool
	isolated  map[string]bool
	partition map[string]int // messages between different partitions are dropped
	leaders   map[uint64]string
	lossRate  float64
	network   []*wirev1.ReplicaMessage
	// committed holds every command that a replica has reported as committed, by index.
	committed map[uint64][]byte
	// acked holds the commands that were committed while no disk was lost, by index.
	acked     map[uint64][]byte
	proposals int
	// sentBytes counts the bytes of entries sent to each replica.
	sentBytes map[string]int
}

func newCluster(t *rapid.T, members int) *cluster {
	c := &cluster{
		t: t, now: time.Unix(0, 0), random: rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 5)),
		disks: map[string]*disk{}, replicas: map[string]*Replica{}, paused: map[string]bool{}, isolated: map[string]bool{},
		partition: map[string]int{}, leaders: map[uint64]string{},
		committed: map[uint64][]byte{}, acked: map[uint64][]byte{}, sentBytes: map[string]int{},
	}
	c.memberSet.Generation = 1
	for i := range members {
		c.memberSet.Members = append(c.memberSet.Members, fmt.Sprint("d", i))
	}
	c.stored = c.memberSet
	for _, id := range c.memberSet.Members {
		c.disks[id] = &disk{}
		c.restart(id)
	}
	return c
}

func (c *cluster) ids() []string {
	ids := make([]string, 0, len(c.disks))
	for id := range c.disks {
		ids = append(ids, id)
	}
	sort.Strings(ids)
	return ids
}

func (c *cluster) restart(id string) {
	d := c.disks[id]
	if d.lost {
		return
	}
	// As the product does, it restores the member set of its disk, and then observes the stored
	// one: a disk that is frozen thaws by that.
	memberSet := c.memberSet
	if c.stored.Generation == d.hard.Generation {
		memberSet = c.stored
	}
	c.replicas[id] = Restore(0, id, memberSet, testTiming(), rand.New(rand.NewPCG(c.random.Uint64(), 1)), d, d.hard, 0, 0, d.epochs(), c.now)
	if d.hard.Generation > 0 {
		c.replicas[id].Observe(c.now, c.stored)
	}
}

// processReady handles one Ready of a replica. With crash set, the replica crashes after
// the disk write and before its messages are sent.
func (c *cluster) processReady(id string, crash bool) {
	r := c.replicas[id]
	ready := r.Ready()
	c.network = append(c.network, ready.Early...)
	c.disks[id].persist(ready)
	if crash {
		c.replicas[id] = nil
		return
	}
	r.Persisted(uint64(len(c.disks[id].entries)))
	c.network = append(c.network, ready.Messages...)
	c.checkCommitted(id, r.Commit())
}

// checkCommitted checks that a committed entry never changes, and that a write quorum of
// disks has each newly committed entry. Lost disks count towards the quorum.
func (c *cluster) checkCommitted(id string, commit uint64) {
	d := c.disks[id]
	for index := uint64(1); index <= min(commit, uint64(len(d.entries))); index++ {
		command := d.entries[index-1].Command
		known, seen := c.committed[index]
		if seen && !bytes.Equal(known, command) {
			c.t.Fatalf("entry %d was committed as %q and is %q at %s", index, known, command, id)
		}
		if !seen {
			c.committed[index] = command
			c.checkCopies(index, command)
		}
	}
}

func (c *cluster) checkCopies(index uint64, command []byte) {
	copies, lost := 0, 0
	for _, d := range c.disks {
		if d.lost {
			lost++
		}
		if uint64(len(d.entries)) >= index && bytes.Equal(d.entries[index-1].Command, command) && !d.lost {
			copies++
		}
	}
	if copies+lost < c.memberSet.WriteQuorum() {
		c.t.Fatalf("entry %d is committed on %d disks, want %d", index, copies, c.memberSet.WriteQuorum())
	}
	if lost == 0 {
		c.acked[index] = command
	}
}

// describe returns the state of all replicas for a failure message.
func (c *cluster) describe() string {
	text := ""
	for _, id := range c.ids() {
		if r := c.replicas[id]; r != nil {
			text += fmt.Sprintf("[%s %v epoch %d last %d commit %d disk %d frozen %v] ", id, r.Role(), r.Epoch(), r.lastIndex(), r.Commit(), len(c.disks[id].entries), r.Frozen())
		}
	}
	return text
}

func (c *cluster) step() {
	c.now = c.now.Add(20 * time.Millisecond)
	due := c.network
	c.network = nil
	c.random.Shuffle(len(due), func(i, j int) { due[i], due[j] = due[j], due[i] })
	for _, message := range due {
		if c.random.Float64() < 0.05 {
			c.network = append(c.network, message) // delayed
			continue
		}
		c.deliver(message)
		if c.random.Float64() < 0.03 {
			c.deliver(message) // duplicated
		}
	}
	for _, id := range c.ids() {
		r := c.replicas[id]
		if r == nil || c.paused[id] {
			continue
		}
		r.Tick(c.now)
		c.processReady(id, false)
		c.checkLeader(id, r)
	}
}

// checkLeader checks that no epoch has two leaders.
func (c *cluster) checkLeader(id string, r *Replica) {
	if r.Role() != Leader {
		return
	}
	key := r.Epoch()
	if known, seen := c.leaders[key]; seen && known != id {
		c.t.Fatalf("%s and %s both lead in epoch %d", known, id, key)
	}
	c.leaders[key] = id
}

func (c *cluster) deliver(message *wirev1.ReplicaMessage) {
	c.sentBytes[message.To] += commandBytes(message.Entries)
	r := c.replicas[message.To]
	if c.partition[message.From] != c.partition[message.To] {
		return
	}
	if r == nil || c.paused[message.To] || c.isolated[message.From] || c.isolated[message.To] || c.random.Float64() < c.lossRate {
		return
	}
	r.Step(c.now, proto.Clone(message).(*wirev1.ReplicaMessage))
	c.processReady(message.To, false)
}

func (c *cluster) run(steps int) {
	for range steps {
		c.step()
	}
}

func (c *cluster) leader() *Replica {
	var best *Replica
	for _, id := range c.ids() {
		r := c.replicas[id]
		if r != nil && !c.paused[id] && !c.isolated[id] && r.Serving() && (best == nil || r.Epoch() > best.Epoch()) {
			best = r
		}
	}
	return best
}

func (c *cluster) propose(crashes bool) {
	for _, id := range c.ids() {
		r := c.replicas[id]
		if r == nil || c.paused[id] || r.Role() != Leader {
			continue
		}
		c.proposals++
		r.Propose(c.now, [][]byte{fmt.Appendf(nil, "%s/%d", id, c.proposals)})
		c.processReady(id, crashes && c.random.Float64() < 0.02)
	}
}

func (c *cluster) injectFault() {
	id := rapid.SampledFrom(c.ids()).Draw(c.t, "victim")
	switch rapid.IntRange(0, 6).Draw(c.t, "fault") {
	case 0:
		c.replicas[id] = nil // killed
	case 1:
		c.paused[id] = !c.paused[id]
	case 2:
		c.isolated[id] = !c.isolated[id]
	case 3:
		c.lossRate = 0.2
	case 4:
		c.lossRate = 0
	case 5, 6:
		if c.replicas[id] == nil {
			c.restart(id)
		}
	}
}

func (c *cluster) heal() {
	c.lossRate = 0
	clear(c.isolated)
	clear(c.partition)
	clear(c.paused)
	for _, id := range c.ids() {
		if c.replicas[id] == nil {
			c.restart(id)
		}
	}
}

func (c *cluster) requireAcked(when string) {
	leader := c.leader()
	if leader == nil {
		c.t.Fatalf("%s: no leader", when)
	}
	entries := c.disks[leader.self].entries
	for index, command := range c.acked {
		if uint64(len(entries)) < index || !bytes.Equal(entries[index-1].Command, command) {
			c.t.Fatalf("%s: acknowledged entry %d is missing at leader %s", when, index, leader.self)
		}
	}
}
