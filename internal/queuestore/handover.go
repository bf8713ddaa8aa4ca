package queuestore

import (
	"context"
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"
	"k8s.io/klog/v2"

	wirev1 "cobaltramp.example/cobaltramp/api/wire/v1"
	"cobaltramp.example/cobaltramp/internal/replica"
)

// handOver is a member set change this leader drives; see package replica for
// the steps and why they are safe.
type handOver struct {
	next      replica.Config
	began     time.Time
	frozenAt  time.Time
	swapping  bool
	fencing   bool
	lastCheck time.Time
}

const (
	// lostDiskTime is how long a member's disk must be silent before a spare
	// disk takes its place; a restart is shorter.
	lostDiskTime     = 2500 * time.Millisecond
	handOverInterval = 250 * time.Millisecond
	handOverTimeout  = 20 * time.Second
	frozenTimeout    = 1500 * time.Millisecond
	swapTimeout      = 3 * time.Second
)

// tickHandOver looks for disks to replace or add and advances a running change.
func (s *shard) tickHandOver(now time.Time) {
	h := &s.handOver
	if !s.replica.Frozen() {
		h.frozenAt = time.Time{} // the next freeze has its own time
	} else if !h.swapping {
		s.tickFrozen(now, h)
	}
	if s.replica.Role() != replica.Leader {
		h.next = replica.Config{}
		return
	}
	if h.next.Generation == 0 {
		// A leader that cannot commit may be the last that holds everything: it
		// was elected by an election quorum, so its log has all that was
		// acknowledged, and the seal does not need a commit.
		if now.Sub(h.lastCheck) >= handOverInterval {
			h.lastCheck = now
			s.planHandOver(now, h)
		}
		return
	}
	s.advanceHandOver(now, h)
}

// planHandOver decides on the next member set: members that are being emptied
// or whose disk is gone are replaced, and spare disks added up to the number
// wanted. A silent member stays as long as there is no disk to take its place.
func (s *shard) planHandOver(now time.Time, h *handOver) {
	if s.node.Layouts.Current() == nil || s.node.draining.Load() {
		return
	}
	config := s.replica.Config()
	next := s.plan(now, config)
	if sameSet(next, config.Members) || len(next) < config.Copies {
		return
	}
	h.next = replica.Config{Generation: config.Generation + 1, Members: next, Copies: config.Copies}
	h.began = now
	h.frozenAt = time.Time{}
	s.replica.SetLearners(now, learners(next, config))
	klog.InfoS("hand-over begun", "shard", s.id, "generation", h.next.Generation, "from", config.Members, "to", next)
}

func (s *shard) plan(now time.Time, config replica.Config) []string {
	by := map[standing][]string{}
	for _, member := range config.Members {
		at := s.standing(now, member)
		by[at] = append(by[at], member)
	}
	next := s.node.place(s.id, s.node.liveDisks(now), by[standingGood], s.node.Layouts.Current().held())
	next = fill(next, by[standingSilent], s.node.membersWanted())
	// Nodes that are to be emptied stay as long as others make too few copies.
	next = fill(next, by[standingRetiring], config.Copies)
	// A set is made smaller only for a member that is being emptied.
	if len(next) < len(config.Members) && !s.anyRetiring(config) {
		return config.Members
	}
	return next
}

// fill adds members to a set until it has as many as wanted.
func fill(set, members []string, wanted int) []string {
	for _, member := range members {
		if len(set) < wanted && !contains(set, member) {
			set = append(set, member)
		}
	}
	return set
}

func (s *shard) anyRetiring(config replica.Config) bool {
	for _, member := range config.Members {
		if record, known := s.node.Directory.Disk(member); known && s.node.Directory.IsRetiring(record.NodeId) {
			return true
		}
	}
	return false
}

type standing uint8

const (
	standingGood standing = iota
	// standingSilent: not heard of for a while.
	standingSilent
	// standingRetiring: its node answers and is to be emptied.
	standingRetiring
	// standingLost: its node has another disk now.
	standingLost
)

func (s *shard) standing(now time.Time, member string) standing {
	if s.node.Directory.DiskLost(member) {
		return standingLost
	}
	if member != s.disk && s.replica.UnseenFor(member, now) >= lostDiskTime {
		return standingSilent
	}
	record, known := s.node.Directory.Disk(member)
	if known && s.node.Directory.IsRetiring(record.NodeId) {
		return standingRetiring
	}
	return standingGood
}

// answers reports whether a member's node takes part, emptied or not.
func (s *shard) answers(now time.Time, member string) bool {
	at := s.standing(now, member)
	return at == standingGood || at == standingRetiring
}

// liveDisks are usable disks whose nodes answer.
func (n *Node) liveDisks(now time.Time) []*wirev1.NodeRecord {
	var live []*wirev1.NodeRecord
	for _, disk := range n.usableDisks() {
		if n.Directory.HeardWithin(disk.NodeId, now, lostDiskTime) {
			live = append(live, disk)
		}
	}
	return live
}

// place picks a shard's disks: those kept, then each time one from a zone that
// has the fewest of them, of these one that holds the fewest shards, and of
// these the one of the highest rendezvous weight.
func (n *Node) place(shard uint32, disks []*wirev1.NodeRecord, keep []string, held map[string]int) []string {
	chosen := append([]string(nil), keep...)
	perZone := map[string]int{}
	for _, member := range keep {
		if record, known := n.Directory.Disk(member); known {
			perZone[record.Zone]++
		}
	}
	ranked := append([]*wirev1.NodeRecord(nil), disks...)
	sort.Slice(ranked, func(i, j int) bool { return weight(shard, ranked[i].DiskId) > weight(shard, ranked[j].DiskId) })
	for len(chosen) < n.membersWanted() {
		best := fewestHeld(ranked, chosen, perZone, held)
		if best == nil {
			break
		}
		perZone[best.Zone]++
		chosen = append(chosen, best.DiskId)
	}
	return chosen
}

func fewestHeld(ranked []*wirev1.NodeRecord, chosen []string, perZone, held map[string]int) *wirev1.NodeRecord {
	var best *wirev1.NodeRecord
	for _, disk := range ranked {
		if contains(chosen, disk.DiskId) {
			continue
		}
		if best == nil || perZone[disk.Zone] < perZone[best.Zone] ||
			perZone[disk.Zone] == perZone[best.Zone] && held[disk.DiskId] < held[best.DiskId] {
			best = disk
		}
	}
	return best
}

// held counts the shards of each disk.
func (l *Layout) held() map[string]int {
	held := map[string]int{}
	if l == nil {
		return held
	}
	for _, config := range l.Shards {
		for _, member := range config.Members {
			held[member]++
		}
	}
	return held
}

func weight(shard uint32, disk string) uint64 {
	var digest xxhash.Digest
	digest.ResetWithSeed(uint64(shard))
	_, _ = digest.WriteString(disk)
	return digest.Sum64()
}

func contains(list []string, wanted string) bool {
	for _, item := range list {
		if item == wanted {
			return true
		}
	}
	return false
}

func learners(next []string, config replica.Config) []string {
	var list []string
	for _, member := range next {
		if !config.Has(member) {
			list = append(list, member)
		}
	}
	return list
}

func sameSet(a, b []string) bool {
	if len(a) != len(b) {
		return false
	}
	for _, item := range a {
		if !contains(b, item) {
			return false
		}
	}
	return true
}

func (s *shard) advanceHandOver(now time.Time, h *handOver) {
	switch {
	case s.replica.Config().Generation >= h.next.Generation:
		s.endHandOver(h, "done")
	case !s.replica.Frozen():
		s.freezeWhenCaughtUp(now, h)
	case s.replica.Sealed(h.next) && !h.swapping:
		s.swap(h)
	}
}

// freezeWhenCaughtUp begins the sealed part. It waits for the store: a shard
// that is frozen while the store does not answer takes no jobs.
func (s *shard) freezeWhenCaughtUp(now time.Time, h *handOver) {
	if now.Sub(h.began) > handOverTimeout {
		s.replica.SetLearners(now, nil)
		s.endHandOver(h, "timed out")
		return
	}
	for _, member := range h.next.Members {
		if s.answers(now, member) && !s.replica.CaughtUp(member) {
			return
		}
	}
	if s.node.Contact.Lost() || !s.quorumOfNext(now, h.next) {
		return
	}
	if s.replica.Freeze() {
		h.frozenAt = now
	}
}

// quorumOfNext reports whether enough of the next members are there to seal.
func (s *shard) quorumOfNext(now time.Time, next replica.Config) bool {
	count := 0
	for _, member := range next.Members {
		if s.answers(now, member) && s.replica.CaughtUp(member) {
			count++
		}
	}
	return count >= next.WriteQuorum()
}

func (s *shard) endHandOver(h *handOver, outcome string) {
	s.node.metrics.handOvers.WithLabelValues(outcome).Inc()
	klog.InfoS("hand-over ended", "shard", s.id, "generation", h.next.Generation, "outcome", outcome)
	h.next = replica.Config{}
	h.swapping = false
}

// swap replaces the member set in the platform's store, in the background.
func (s *shard) swap(h *handOver) {
	h.swapping = true
	before, after := s.replica.Config(), h.next
	go func() {
		ctx, cancel := context.WithTimeout(s.node.context, swapTimeout)
		defer cancel()
		committed, err := s.node.swapConfig(ctx, s.id, before, after)
		klog.InfoS("member set swap", "shard", s.id, "generation", after.Generation, "committed", committed, "err", err)
		_ = s.ask(s.node.context, func() {
			h.swapping = false
			if committed {
				s.replica.Observe(time.Now(), after)
			}
		})
	}()
}

// tickFrozen ends a hand-over that does not finish: the attempt is raised in
// the platform's store, which fences whoever began it; then all thaw.
func (s *shard) tickFrozen(now time.Time, h *handOver) {
	if h.frozenAt.IsZero() {
		h.frozenAt = now
	}
	if h.fencing || now.Sub(h.frozenAt) < frozenTimeout {
		return
	}
	h.fencing = true
	before := s.replica.Config()
	go func() {
		ctx, cancel := context.WithTimeout(s.node.context, swapTimeout)
		defer cancel()
		s.node.rereadLayout(ctx)
		after := before
		after.Attempt++
		committed, err := s.node.swapConfig(ctx, s.id, before, after)
		klog.InfoS("frozen member set fenced", "shard", s.id, "generation", before.Generation, "attempt", after.Attempt, "committed", committed, "err", err)
		_ = s.ask(s.node.context, func() {
			h.fencing = false
			h.frozenAt = time.Time{}
			if committed {
				s.replica.Observe(time.Now(), after)
			}
		})
	}()
}

// keepRemoved is how long a replica that was replaced keeps its copy.
const keepRemoved = 60 * time.Second

// tickRemoved drops a replica whose disk a newer member set leaves out. A
// learner, whose set is not known yet, is not meant.
func (s *shard) tickRemoved(now time.Time) {
	config := s.replica.Config()
	if len(config.Members) == 0 || config.Has(s.disk) {
		s.removed = time.Time{}
		return
	}
	if s.removed.IsZero() {
		s.removed = now
	}
	if now.Sub(s.removed) > keepRemoved && !s.installing {
		s.removed = now
		go s.node.dropShard(s)
	}
}

// dropShard ends a replica that is not a member and frees its space.
func (n *Node) dropShard(s *shard) {
	s.stop()
	n.mutex.Lock()
	defer n.mutex.Unlock()
	if n.shards[s.id] != s {
		return
	}
	delete(n.shards, s.id)
	err := s.store.Drop()
	klog.InfoS("replaced queue replica dropped", "shard", s.id, "err", err)
}

// truncateLog drops applied entries that no follower is likely to need.
func (s *shard) truncateLog(now time.Time) error {
	base, _ := s.replica.Base()
	// A replica that has just started does not know yet how far its log is
	// committed, though it has applied it.
	settled := min(s.applied, s.replica.Commit())
	index := min(s.truncationPoint(now, base, settled), settled)
	if s.installing || index <= base {
		return nil
	}
	if err := s.replica.Truncate(index); err != nil {
		return err
	}
	s.log.dropped(index)
	_, epoch := s.replica.Base()
	return s.store.TruncatePrefix(s.replica.HardState(), s.replica.Config(), index, epoch)
}

const (
	// longLog is how many times the bytes kept the log may have before it is
	// dropped, and hardLog how many before live members that lag are not minded.
	longLog = 2
	hardLog = 8
)

// truncationPoint is up to where the log is long enough to be dropped; at or
// below base it is not.
func (s *shard) truncationPoint(now time.Time, base, settled uint64) uint64 {
	index := uint64(0)
	if settled >= base+2*keepEntries {
		index = settled - keepEntries
	}
	share := s.node.logShare()
	if s.log.total > longLog*share {
		index = max(index, s.log.leaving(share))
	}
	if s.log.total <= hardLog*share {
		index = min(index, s.replica.LiveMatch(now))
	}
	return index
}

// logShare is how many bytes of the log each shard here keeps.
func (n *Node) logShare() uint64 {
	return n.LogBytes / uint64(max(1, len(n.allShards())))
}

// preferInterval is how often a leader looks whether its shard's first member
// should lead instead.
const preferInterval = 2 * time.Second

// tickPreference hands leadership on to the first member, so that each disk
// leads about as many shards as the others, while no run would be interrupted.
func (s *shard) tickPreference(now time.Time) {
	l := s.leader
	config := s.replica.Config()
	if l == nil || !l.suspended.IsZero() || len(l.runs) > 0 || len(config.Members) == 0 || now.Sub(l.preferred) < preferInterval {
		return
	}
	l.preferred = now
	if len(s.node.Layouts.Current().Shards) < 2 {
		return // one shard is led where it is
	}
	first := config.Members[0]
	if first == s.disk || s.handOver.next.Generation != 0 || s.replica.Frozen() || s.standing(now, first) != standingGood {
		return
	}
	if s.replica.TransferLeadership(now, func(member string) bool { return member == first }) {
		klog.InfoS("leadership offered to the first member", "shard", s.id, "disk", first)
	}
}

// handOnLeadership asks another member to lead, as before a planned stop.
func (s *shard) handOnLeadership(ctx context.Context) {
	for range 20 {
		leading := false
		_ = s.ask(ctx, func() {
			leading = s.replica.Role() == replica.Leader
			if leading {
				s.replica.TransferLeadership(time.Now(), func(string) bool { return true })
			}
		})
		if !leading || ctx.Err() != nil {
			return
		}
		time.Sleep(100 * time.Millisecond)
	}
}
