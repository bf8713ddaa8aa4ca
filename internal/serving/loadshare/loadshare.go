// Package loadshare exchanges between nodes what each has at runners, so that nodes
// that choose among the same runners know of each other's choices within a network
// delay.
//
// It owns who receives reports of a runner (its audience, whose size does not grow
// with the fleet) and when they leave: to edges at once, to storage nodes, which
// place batch items, coalesced. Each report holds the whole of what the node has at
// the runner, so a lost one does no lasting harm. What the reports mean for the
// choice of a runner belongs to package runnerset, whose Set this package feeds.
//
// It relies on package notify for coalescing, on package subset for which nodes know
// a runner, and on the directory of nodes. The edge and the storage node run it.
// docs/design/runner-use.md weighs it against other ways.
package loadshare

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"google.golang.org/protobuf/proto"
	"k8s.io/klog/v2"

	wirev1 "cobaltramp.example/cobaltramp/api/wire/v1"
	"cobaltramp.example/cobaltramp/internal/cluster/notify"
	"cobaltramp.example/cobaltramp/internal/serving/runnerset"
	"cobaltramp.example/cobaltramp/internal/transport/rpc"
)

// VersionedMembers knows the nodes, and whether their records have changed.
type VersionedMembers interface {
	notify.NodeDirectory
	// Generation rises with each change of the records.
	Generation() uint64
}

// Reporter reports this node's requests at runners to other nodes, and takes in
// their reports.
type Reporter struct {
	runners   *runnerset.Set
	sender    notify.NoticeSender
	directory VersionedMembers
	audiences audiences
	notices   *prometheus.CounterVec

	// mutex is held while a use is read and sent: of two changes at once the later
	// is sent later.
	mutex sync.Mutex
	// pending are the runners that storage nodes are still to receive a report of.
	pending map[*runnerset.Runner]bool
	batcher *notify.Batcher
	// changedAt is when this node's use of a runner last changed; it has those at
	// which the node has requests.
	changedAt map[*runnerset.Runner]time.Time
	// incarnations are those of the processes that sent peers' last reports.
	incarnations map[string]uint64
}

const (
	// coalesceInterval is how long changes are coalesced for storage nodes.
	coalesceInterval = 60 * time.Millisecond
	// repeatInterval is how often a use that goes on unchanged is reported again: a
	// notice may be lost, and a node that joins an audience has received none.
	repeatInterval = time.Second
)

// New returns a reporter that follows the use of the runners.
func New(directory VersionedMembers, runners *runnerset.Set, sender notify.NoticeSender, registry prometheus.Registerer) *Reporter {
	r := &Reporter{
		runners: runners, sender: sender, directory: directory, pending: map[*runnerset.Runner]bool{},
		changedAt: map[*runnerset.Runner]time.Time{}, incarnations: map[string]uint64{},
		audiences: audiences{directory: directory, runners: runners},
		notices: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "cobaltramp_runner_use_notices_total", Help: "Notices of what this node has at runners, by receivers.",
		}, []string{"to"}),
	}
	r.batcher = notify.NewBatcher(notify.Schedule{
		Delay: coalesceInterval, Flush: func(context.Context) { r.flush() },
		RepeatInterval: repeatInterval, Repeat: r.repeat,
	})
	registry.MustRegister(r.notices)
	runners.OnOwnLoad(r.changed)
	runners.SetReporting(r.receivesReports)
	return r
}

// receivesReports reports whether other nodes report their use of a runner to this
// one.
func (r *Reporter) receivesReports(runner *runnerset.Runner) bool { return r.audiences.of(runner).self }

// changed reports a change of this node's use of a runner: to edges at once, to
// storage nodes with the next batch.
func (r *Reporter) changed(runner *runnerset.Runner, shared []runnerset.PromptPart) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	report := encodeUse(runner)
	for _, part := range shared { // storage nodes place items by other parts
		report.Prompt = append(report.Prompt, &wirev1.PromptPart{Id: part.ID, Tokens: uint32(part.Tokens)})
	}
	receivers := r.audiences.of(runner).edges
	if holders := r.batchHoldersIfNearlyFull(runner); len(holders) > 0 {
		receivers = append(slices.Clone(receivers), holders...)
	}
	r.send("edges", r.audiences.addresses(receivers), &wirev1.RunnerUses{Uses: []*wirev1.RunnerUse{report}})
	r.pending[runner] = true
	if report.Running == 0 {
		delete(r.changedAt, runner)
	} else {
		r.changedAt[runner] = time.Now()
	}
	r.batcher.Trigger()
}

// encodeUse encodes what this node has at a runner now.
func encodeUse(runner *runnerset.Runner) *wirev1.RunnerUse {
	use := runner.OwnLoad()
	return &wirev1.RunnerUse{
		Runner: runner.ID, Running: uint32(max(0, use.Running)), Batch: uint32(max(0, use.Batch)),
		UnreadTokens: uint32(max(0, use.Unread)),
	}
}

func (r *Reporter) send(kind string, addresses []string, uses *wirev1.RunnerUses) {
	if len(addresses) == 0 {
		return
	}
	uses.Incarnation = r.directory.Self().Incarnation
	r.notices.WithLabelValues(kind).Add(float64(len(addresses)))
	r.sender.NotifyAll(addresses, rpc.ClassControl, wirev1.Method_METHOD_RUNNER_USE, uses)
}

// batchHoldersIfNearlyFull lists the nodes that should preempt items at a runner
// with hardly a free slot; they are storage nodes, which get no report at once
// otherwise.
func (r *Reporter) batchHoldersIfNearlyFull(runner *runnerset.Runner) []string {
	now := time.Now()
	counts := runner.RequestCounts(now)
	if !nearlyFull(counts.Running, counts.Batch, runner.Slots) {
		return nil
	}
	return runner.BatchHolders(now)
}

// Run sends the batches and the repeats until the context ends.
func (r *Reporter) Run(ctx context.Context) { r.batcher.Run(ctx) }

// flush reports to storage nodes what has changed at runners.
func (r *Reporter) flush() {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	byAddress := batch{}
	for runner := range r.pending {
		byAddress.add(r.audiences.addresses(r.audiences.of(runner).storage), encodeUse(runner))
	}
	clear(r.pending)
	r.sendBatch("disks", byAddress)
}

// repeat reports again what has gone on unchanged.
func (r *Reporter) repeat(now time.Time) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	byAddress := batch{}
	for runner, at := range r.changedAt {
		if now.Sub(at) < repeatInterval {
			continue
		}
		use, receivers := encodeUse(runner), r.audiences.of(runner)
		byAddress.add(r.audiences.addresses(receivers.edges), use)
		byAddress.add(r.audiences.addresses(receivers.storage), use)
	}
	r.sendBatch("repeats", byAddress)
}

// batch is notices by the address of their receiver.
type batch map[string]*wirev1.RunnerUses

func (b batch) add(addresses []string, use *wirev1.RunnerUse) {
	for _, address := range addresses {
		if b[address] == nil {
			b[address] = &wirev1.RunnerUses{}
		}
		b[address].Uses = append(b[address].Uses, use)
	}
}

func (r *Reporter) sendBatch(kind string, byAddress batch) {
	for address, uses := range byAddress {
		r.send(kind, []string{address}, uses)
	}
}

// PeerLost drops the reports of a peer whose connections have ended.
func (r *Reporter) PeerLost(peer string) { r.forget(peer, "connections ended") }

func (r *Reporter) forget(peer, reason string) {
	if count := r.runners.ForgetPeer(peer); count > 0 {
		klog.InfoS("peer's use of runners forgotten", "peer", peer, "runners", count, "reason", reason)
	}
}

// noteIncarnation drops what an earlier process of a peer reported.
func (r *Reporter) noteIncarnation(peer string, incarnation uint64) {
	r.mutex.Lock()
	known := r.incarnations[peer]
	r.incarnations[peer] = incarnation
	r.mutex.Unlock()
	if known > 0 && known != incarnation {
		r.forget(peer, "started again")
	}
}

// ReceiveNotice takes in a peer's notice.
func (r *Reporter) ReceiveNotice(from string, payload []byte) {
	var uses wirev1.RunnerUses
	if err := proto.Unmarshal(payload, &uses); err != nil {
		klog.ErrorS(err, "notice of a peer's use of runners is unreadable", "peer", from, "bytes", len(payload))
		return
	}
	r.noteIncarnation(from, uses.Incarnation)
	now := time.Now()
	for _, use := range uses.Uses {
		var shared []runnerset.PromptPart
		for _, part := range use.Prompt {
			shared = append(shared, runnerset.PromptPart{ID: part.Id, Tokens: int(part.Tokens)})
		}
		load := runnerset.NodeLoad{Running: int(use.Running), Batch: int(use.Batch), Unread: int(use.UnreadTokens)}
		r.runners.RecordPeerReport(from, use.Runner, runnerset.PeerReport{NodeLoad: load, SharedParts: shared}, now)
	}
}
