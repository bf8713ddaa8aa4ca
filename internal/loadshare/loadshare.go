// Package loadshare tells other nodes what this one has at runners, and takes
// what they tell, so that nodes that choose among the same runners know each
// other's choices within a network delay.
//
// Edges in a runner's zone are told at once: they choose it most. Nodes with
// disks, which place batch items everywhere, are told at intervals. Each notice
// holds the whole of what the node has at a runner, so a lost one does no harm.
package loadshare

import (
	"context"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	wirev1 "cobaltramp.example/cobaltramp/api/wire/v1"
	"cobaltramp.example/cobaltramp/internal/peers"
	"cobaltramp.example/cobaltramp/internal/rpc"
	"cobaltramp.example/cobaltramp/internal/runnerset"
)

// Share tells and takes.
type Share struct {
	directory *peers.Directory
	runners   *runnerset.Set
	pool      *rpc.Pool

	mutex   sync.Mutex
	pending map[string]*wirev1.RunnerUse
}

// gatherInterval is how often nodes with disks are told.
const gatherInterval = 60 * time.Millisecond

// New returns a share and hangs it on the runners.
func New(directory *peers.Directory, runners *runnerset.Set, pool *rpc.Pool) *Share {
	s := &Share{directory: directory, runners: runners, pool: pool, pending: map[string]*wirev1.RunnerUse{}}
	runners.OnUse(s.changed)
	return s
}

// changed tells of a change of this node's use of a runner.
func (s *Share) changed(runner *runnerset.Runner, use runnerset.PeerUse) {
	told := &wirev1.RunnerUse{
		Runner: runner.ID, Running: uint32(max(0, use.Running)), Batch: uint32(max(0, use.Batch)), UnreadTokens: uint32(max(0, use.Unread)),
	}
	for _, part := range use.Shared {
		told.Prompt = append(told.Prompt, &wirev1.PromptPart{Id: part.ID, Tokens: uint32(part.Tokens)})
	}
	holders := s.crowdedHolders(runner)
	self := s.directory.Self()
	for _, node := range s.directory.Records() {
		near := node.DiskId == "" && node.Zone == runner.Zone
		if node.NodeId != self.NodeId && (near || holders[node.NodeId]) {
			s.pool.Notify(node.Address, rpc.ClassControl, wirev1.Method_METHOD_RUNNER_USE, &wirev1.RunnerUses{Uses: []*wirev1.RunnerUse{told}})
		}
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.pending[runner.ID] = &wirev1.RunnerUse{Runner: told.Runner, Running: told.Running, Batch: told.Batch, UnreadTokens: told.UnreadTokens}
}

// crowdedSlots is how few free slots make a runner crowded.
const crowdedSlots = 2

// crowdedHolders lists the nodes that should make room at a crowded runner.
func (s *Share) crowdedHolders(runner *runnerset.Runner) map[string]bool {
	now := time.Now()
	running, _, batch := runner.Crowd(now)
	if batch == 0 || running < float64(runner.Slots-crowdedSlots) {
		return nil
	}
	holders := map[string]bool{}
	for _, node := range runner.BatchHolders(now) {
		holders[node] = true
	}
	return holders
}

// Run tells nodes with disks until the context ends.
func (s *Share) Run(ctx context.Context) {
	ticker := time.NewTicker(gatherInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			s.flush()
		}
	}
}

func (s *Share) flush() {
	s.mutex.Lock()
	uses := &wirev1.RunnerUses{}
	for _, use := range s.pending {
		uses.Uses = append(uses.Uses, use)
	}
	s.pending = map[string]*wirev1.RunnerUse{}
	s.mutex.Unlock()
	if len(uses.Uses) == 0 {
		return
	}
	self := s.directory.Self()
	for _, node := range s.directory.Disks() {
		if node.NodeId != self.NodeId {
			s.pool.Notify(node.Address, rpc.ClassControl, wirev1.Method_METHOD_RUNNER_USE, uses)
		}
	}
}

// Take takes a peer's notice.
func (s *Share) Take(from string, payload []byte) {
	var uses wirev1.RunnerUses
	if proto.Unmarshal(payload, &uses) != nil {
		return
	}
	now := time.Now()
	for _, use := range uses.Uses {
		var shared []runnerset.Part
		for _, part := range use.Prompt {
			shared = append(shared, runnerset.Part{ID: part.Id, Tokens: int(part.Tokens)})
		}
		s.runners.NotePeer(from, use.Runner, runnerset.PeerUse{
			Running: int(use.Running), Batch: int(use.Batch), Unread: int(use.UnreadTokens), Shared: shared,
		}, now)
	}
}
