package queuestore

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/pebble/v2/vfs"

	wirev1 "cobaltramp.example/cobaltramp/api/wire/v1"
	"cobaltramp.example/cobaltramp/internal/app/tasks"
	"cobaltramp.example/cobaltramp/internal/batch/replica"
)

// searchStep is a step of the cluster's work at which a fault may happen.
type searchStep int

const (
	stepNone searchStep = iota
	stepSync
	stepLearner
	stepFreeze
	stepFrozen
	stepBeforeCommit
	stepStored
	stepPrepare
	stepPromise
	stepOffer
	stepSnapshot
	// stepMayLose: a machine that had lost its disk no longer counts as lost.
	stepMayLose
	searchSteps
)

// searchWorld runs storage nodes with their disks, links and platform's store in virtual time.
type searchWorld struct {
	series  *series
	store   *searchStore
	links   *searchLinks
	context context.Context
	cancel  context.CancelFunc
	tasks   tasks.Group
	started time.Time

	mutex    sync.Mutex
	random   *rand.Rand
	nodes    []*searchNode
	retiring map[string]bool
	retired  map[string]bool
	armed    *armedFault
	lines    []string
	budget   lossBudget
	accepted map[string]bool // by job
	jobs     int
	faults   []string // broken promises
	ended    bool
}

// armedFault is a fault that happens at a step.
type armedFault struct {
	step  searchStep
	skip  int // number of steps to let pass
	fire  func(at *nodeRun)
	fired chan struct{}
}

func newSearchWorld(s *series) *searchWorld {
	w := &searchWorld{
		series: s, started: time.Now(), random: rand.New(rand.NewPCG(s.seed, 2)),
		retiring: map[string]bool{}, retired: map[string]bool{}, accepted: map[string]bool{},
	}
	w.budget = newLossBudget(s)
	w.context, w.cancel = context.WithCancel(context.Background())
	w.store = newSearchStore(w)
	w.links = newSearchLinks(w, s.seed)
	return w
}

// end ends all processes and waits for their goroutines.
func (w *searchWorld) end() {
	w.mutex.Lock()
	w.ended = true
	w.crashLocked(w.nodes, 100)
	w.mutex.Unlock()
	w.cancel()
	w.tasks.Wait()
}

func (w *searchWorld) logf(format string, arguments ...any) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.addLine(format, arguments...)
}

// addLine is logf for a caller that holds the mutex.
func (w *searchWorld) addLine(format string, arguments ...any) {
	w.lines = append(w.lines, fmt.Sprintf("%8.3f ", time.Since(w.started).Seconds())+fmt.Sprintf(format, arguments...))
}

func (w *searchWorld) faultf(format string, arguments ...any) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.addLine("FAULT "+format, arguments...)
	w.faults = append(w.faults, fmt.Sprintf(format, arguments...))
}

// addNode adds a machine with an empty disk and starts it.
func (w *searchWorld) addNode() error {
	w.mutex.Lock()
	node := &searchNode{name: fmt.Sprint("n", len(w.nodes)), disk: vfs.NewCrashableMem()}
	w.nodes = append(w.nodes, node)
	w.mutex.Unlock()
	return w.startRun(node)
}

// machines returns the machines that are not removed.
func (w *searchWorld) machines() []*searchNode {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	var list []*searchNode
	for _, node := range w.nodes {
		if !node.removed {
			list = append(list, node)
		}
	}
	return list
}

// runs returns the running processes.
func (w *searchWorld) runs() []*nodeRun {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	var list []*nodeRun
	for _, node := range w.nodes {
		if node.run != nil {
			list = append(list, node.run)
		}
	}
	return list
}

// runAt returns the process at an address, or nil.
func (w *searchWorld) runAt(address string) *nodeRun {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	for _, node := range w.nodes {
		if node.name == address {
			return node.run
		}
	}
	return nil
}

func (w *searchWorld) keepDocuments(node *searchNode, documents []*wirev1.StoredItem) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	node.documents = documents
}

func (w *searchWorld) retiringNodes() map[string]bool {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	copied := map[string]bool{}
	for node := range w.retiring {
		copied[node] = true
	}
	return copied
}

// recordRetired takes a machine away with its disk once it is reported to hold no replicas.
func (w *searchWorld) recordRetired(name string, done bool) {
	if !done {
		return
	}
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if w.retired[name] || !w.retiring[name] {
		return
	}
	w.retired[name] = true
	delete(w.budget.lost, name)
	w.addLine("%s is reported as retired and taken away", name)
	for _, node := range w.nodes {
		if node.name == name {
			node.removed = true
			w.crashLocked([]*searchNode{node}, 0)
		}
	}
}

// crash ends the processes of machines at the same moment. Of the writes that were not synced,
// about the given share remains on the disks.
func (w *searchWorld) crash(nodes []*searchNode, percent int) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.crashLocked(nodes, percent)
}

func (w *searchWorld) crashLocked(nodes []*searchNode, percent int) {
	for _, node := range nodes {
		if node.run != nil {
			node.run.dead.Store(true)
		}
	}
	w.budget.disturbed()
	for _, node := range nodes {
		if run := node.run; run != nil {
			node.disk = node.disk.CrashClone(vfs.CrashCloneCfg{UnsyncedDataPercent: percent, RNG: w.random})
			node.run = nil
			run.resume()
			w.addLine("%s ends (%d%% of what was not synced remains)", node.name, percent)
			go run.stop() // the bubble waits for it
		}
	}
}

// observe lets an armed fault happen.
func (w *searchWorld) observe(step searchStep, at *nodeRun) {
	w.mutex.Lock()
	armed := w.armed
	if armed == nil || armed.step != step || at.dead.Load() {
		w.mutex.Unlock()
		return
	}
	if armed.skip > 0 {
		armed.skip--
		w.mutex.Unlock()
		return
	}
	w.armed = nil
	w.mutex.Unlock()
	armed.fire(at)
	close(armed.fired)
}

// observeMessage observes the step that a message belongs to.
func (w *searchWorld) observeMessage(from *nodeRun, message *wirev1.ReplicaMessage) {
	switch message.Kind {
	case wirev1.ReplicaKind_REPLICA_KIND_FREEZE:
		w.observe(stepFreeze, from)
	case wirev1.ReplicaKind_REPLICA_KIND_FROZEN:
		w.observe(stepFrozen, from)
	case wirev1.ReplicaKind_REPLICA_KIND_PREPARE:
		w.observe(stepPrepare, from)
	case wirev1.ReplicaKind_REPLICA_KIND_PROMISE:
		w.observe(stepPromise, from)
	case wirev1.ReplicaKind_REPLICA_KIND_SNAPSHOT_OFFER:
		w.observe(stepOffer, from)
	case wirev1.ReplicaKind_REPLICA_KIND_APPEND:
		if message.Learner {
			w.observe(stepLearner, from)
		}
	}
}

// storedMembers returns the stored member set of the only shard.
func (w *searchWorld) storedMembers() replica.MemberSet {
	var memberSet replica.MemberSet
	var layout Layout
	w.store.mutex.Lock()
	defer w.store.mutex.Unlock()
	if own, found := w.store.values[shardKey(0)]; found {
		_ = json.Unmarshal(own.Value, &memberSet)
	} else if initial, found := w.store.values[LayoutKey]; found && json.Unmarshal(initial.Value, &layout) == nil {
		memberSet = layout.Shards[0]
	}
	return memberSet
}

// describe returns the state of all replicas.
func (w *searchWorld) describe() string {
	var text strings.Builder
	fmt.Fprintf(&text, "stored: %+v\n", w.storedMembers())
	for _, run := range w.runs() {
		s := run.storage.shard(0)
		if s == nil {
			fmt.Fprintf(&text, "%s %s: no replica\n", run.node.name, run.db.DiskID())
			continue
		}
		ctx, cancel := context.WithTimeout(w.context, time.Second)
		err := s.RunInLoop(ctx, func() {
			r := s.Replica
			base, _ := r.Base()
			lost := ""
			for _, member := range r.MemberSet().Members {
				if run.storage.Directory.DiskLost(member) {
					lost += " " + member
				}
			}
			fmt.Fprintf(&text, "%s %s: %v epoch %x leader %s base %d last %d commit %d applied %d set %+v hard %+v serving %v handing over %v pending none %v lost%s\n",
				run.node.name, s.Disk, r.Role(), r.Epoch(), r.Leader(), base, r.LastIndex(), r.Commit(), s.AppliedIndex(), r.MemberSet(), r.HardState(), r.Serving(), s.HandingOver(), s.HasNoPendingWork(), lost)
		})
		cancel()
		if err != nil {
			fmt.Fprintf(&text, "%s %s: %v\n", run.node.name, s.Disk, err)
		}
	}
	return text.String()
}
