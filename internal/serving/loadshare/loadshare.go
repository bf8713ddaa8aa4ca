// Package loadshare exchanges reports of the requests that each node runs at runners, so
// that nodes that choose among the same runners learn of each other's choices within a
// network delay. A node's use of a runner is the number of its running requests there, the
// number of those for batch items, and the number of prompt tokens in requests whose first
// event has not arrived.
//
// The package determines which nodes receive reports of a runner and when the reports are
// sent. The receivers are called the audience of the runner; in large fleets, its size depends
// on the ratio of nodes to runners, not on the size of the fleet. Reports are sent to edges at
// once, and to storage nodes, which schedule batch items, in batches. Each report contains the
// counts of all requests of the node at the runner, so that a later report makes up for a lost
// one. Package runnerset uses the reports to choose runners; this package passes them to its
// Set.
//
// The package uses package notify for batching, package subset to determine which nodes know
// a runner, and the directory of nodes. The edge and the storage node run it. See
// docs/design/runner-use.md.
package loadshare

import (
	"context"
	"maps"
	"math"
	"slices"
	"strconv"
	"strings"
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

// VersionedDirectory is a directory of nodes with a generation number.
type VersionedDirectory interface {
	notify.NodeDirectory
	// Generation increases with each change of the records.
	Generation() uint64
}

// Reporter reports this node's requests at runners to other nodes and receives their
// reports.
type Reporter struct {
	runners   *runnerset.Set
	sender    notify.NoticeSender
	directory VersionedDirectory
	audiences audiences
	notices   *prometheus.CounterVec
	// otherStart counts received reports about another start of a runner than the listed one.
	otherStart prometheus.Counter

	// mutex is held while a report is built and sent, so that reports leave in the order of
	// the changes.
	mutex sync.Mutex
	// pending holds the runners whose report to storage nodes is due with the next batch.
	pending map[*runnerset.Runner]bool
	batcher *notify.Batcher
	// changedAt is when this node's use of a runner last changed. It contains only runners
	// at which the node has requests.
	changedAt map[*runnerset.Runner]time.Time
	// incarnations maps a peer to the process incarnation in its latest report.
	incarnations map[string]uint64
}

const (
	// coalesceInterval is the period over which changes for storage nodes are batched.
	coalesceInterval = 60 * time.Millisecond
	// repeatInterval is the interval at which an unchanged use is reported again, since a
	// notice may be lost and a node that joins an audience has no earlier reports.
	repeatInterval = time.Second
)

// New returns a reporter and subscribes it to changes of this node's load on the runners. Run
// has to be running for reports to storage nodes and for repeated reports.
func New(directory VersionedDirectory, runners *runnerset.Set, sender notify.NoticeSender, registry prometheus.Registerer) *Reporter {
	r := &Reporter{
		runners: runners, sender: sender, directory: directory, pending: map[*runnerset.Runner]bool{},
		changedAt: map[*runnerset.Runner]time.Time{}, incarnations: map[string]uint64{},
		audiences: audiences{directory: directory, runners: runners},
		notices: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "cobaltramp_runner_use_notices_total", Help: "Notices of what this node has at runners, by receivers.",
		}, []string{"to"}),
		otherStart: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "cobaltramp_runner_use_other_start_total", Help: "Dropped reports of peers about another start of a runner than the listed one.",
		}),
	}
	r.batcher = notify.NewBatcher(notify.Schedule{
		Delay: coalesceInterval, Flush: func(context.Context) { r.flush() },
		RepeatInterval: repeatInterval, Repeat: r.repeat,
	})
	registry.MustRegister(r.notices, r.otherStart)
	runners.OnOwnLoad(r.reportChange)
	runners.SetReporting(r.receivesReports)
	return r
}

// receivesReports reports whether this node receives other nodes' reports of a runner.
func (r *Reporter) receivesReports(runner *runnerset.Runner) bool { return r.audiences.of(runner).self }

// reportChange reports a change of this node's use of a runner: to edges and, if the runner is
// nearly full, to nodes with batch items there at once; to storage nodes with the next batch.
// shared contains the parts of the prompt that other requests may share.
func (r *Reporter) reportChange(runner *runnerset.Runner, shared []runnerset.PromptPart) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	report := encodeUse(runner, time.Now())
	for _, part := range shared { // edges only: storage nodes schedule items by other parts
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

// encodeUse encodes this node's current use of a runner, and the contention that the runner
// has reported to this node.
func encodeUse(runner *runnerset.Runner, now time.Time) *wirev1.RunnerUse {
	use, contention := runner.OwnLoad(), runner.OwnContention(now)
	return &wirev1.RunnerUse{
		Runner: runner.ID, Running: uint32(max(0, use.Running)), Batch: uint32(max(0, use.Batch)),
		UnreadTokens:      uint32(max(0, use.Unread)),
		ContentionPercent: uint32(math.Round(100 * contention.Value)), ContentionAgeMs: uint32(contention.Age.Milliseconds()),
		RunnerStartedUnixMs: runner.StartedAt,
	}
}

// decodeUse decodes a peer's report of its use of a runner.
func decodeUse(use *wirev1.RunnerUse) runnerset.PeerReport {
	report := runnerset.PeerReport{
		NodeLoad: runnerset.NodeLoad{Running: int(use.Running), Batch: int(use.Batch), Unread: int(use.UnreadTokens)},
		Contention: runnerset.ContentionReport{
			Value: float64(use.ContentionPercent) / 100, Age: time.Duration(use.ContentionAgeMs) * time.Millisecond,
		},
		StartedAt: use.RunnerStartedUnixMs,
	}
	for _, part := range use.Prompt {
		report.SharedParts = append(report.SharedParts, runnerset.PromptPart{ID: part.Id, Tokens: int(part.Tokens)})
	}
	return report
}

func (r *Reporter) send(kind string, addresses []string, uses *wirev1.RunnerUses) {
	if len(addresses) == 0 {
		return
	}
	uses.Incarnation = r.directory.Self().Incarnation
	r.notices.WithLabelValues(kind).Add(float64(len(addresses)))
	r.sender.NotifyAll(addresses, rpc.ClassControl, wirev1.Method_METHOD_RUNNER_USE, uses)
}

// batchHoldersIfNearlyFull returns the nodes with batch items at a runner if the runner is
// nearly full, so that they can preempt items; else no nodes. These are storage nodes, which
// may be outside the runner's audience.
func (r *Reporter) batchHoldersIfNearlyFull(runner *runnerset.Runner) []string {
	now := time.Now()
	counts := runner.RequestCounts(now)
	if !nearlyFull(counts.Running, counts.Batch, runner.Slots) {
		return nil
	}
	return runner.BatchHolders(now)
}

// Run sends batched and repeated reports until the context ends.
func (r *Reporter) Run(ctx context.Context) { r.batcher.Run(ctx) }

// flush sends the pending reports to storage nodes.
func (r *Reporter) flush() {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	now, byAddress := time.Now(), batch{}
	for runner := range r.pending {
		byAddress.add(r.audiences.addresses(r.audiences.of(runner).storage), encodeUse(runner, now))
	}
	clear(r.pending)
	r.sendBatch("disks", byAddress)
}

// repeat reports the uses again that have not changed for repeatInterval.
func (r *Reporter) repeat(now time.Time) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	byAddress := batch{}
	for runner, at := range r.changedAt {
		if now.Sub(at) < repeatInterval {
			continue
		}
		use, receivers := encodeUse(runner, now), r.audiences.of(runner)
		byAddress.add(r.audiences.addresses(receivers.edges), use)
		byAddress.add(r.audiences.addresses(receivers.storage), use)
	}
	r.sendBatch("repeats", byAddress)
}

// batch holds notices by the address of the receiver.
type batch map[string]*wirev1.RunnerUses

func (b batch) add(addresses []string, use *wirev1.RunnerUse) {
	for _, address := range addresses {
		if b[address] == nil {
			b[address] = &wirev1.RunnerUses{}
		}
		b[address].Uses = append(b[address].Uses, use)
	}
}

// sendBatch sends the notices of a batch. Receivers of the same reports get one notice, so
// that the sender encodes, or forwards, it once.
func (r *Reporter) sendBatch(kind string, byAddress batch) {
	for _, group := range byAddress.groups() {
		r.send(kind, group, byAddress[group[0]])
	}
}

// groups returns the addresses whose notices contain the same reports.
func (b batch) groups() [][]string {
	numbers := map[*wirev1.RunnerUse]int{}
	byReports := map[string][]string{}
	for address, uses := range b {
		var reports strings.Builder
		for _, use := range uses.Uses {
			if _, found := numbers[use]; !found {
				numbers[use] = len(numbers)
			}
			reports.WriteString(strconv.Itoa(numbers[use]))
			reports.WriteByte(',')
		}
		byReports[reports.String()] = append(byReports[reports.String()], address)
	}
	return slices.Collect(maps.Values(byReports))
}

// PeerLost drops the reports of a peer whose connections have ended.
func (r *Reporter) PeerLost(peer string) { r.dropReports(peer, "connections ended") }

func (r *Reporter) dropReports(peer, reason string) {
	if count := r.runners.ForgetPeer(peer); count > 0 {
		klog.InfoS("dropped a peer's reports of its use of runners", "peer", peer, "runners", count, "reason", reason)
	}
}

// recordIncarnation records the incarnation of a peer's process, and drops the reports of the
// earlier process if the peer has restarted.
func (r *Reporter) recordIncarnation(peer string, incarnation uint64) {
	r.mutex.Lock()
	previous := r.incarnations[peer]
	r.incarnations[peer] = incarnation
	r.mutex.Unlock()
	if previous > 0 && previous != incarnation {
		r.dropReports(peer, "started again")
	}
}

// ReceiveNotice applies the reports in a peer's notice. It logs and ignores a notice that
// cannot be decoded.
func (r *Reporter) ReceiveNotice(from string, payload []byte) {
	var uses wirev1.RunnerUses
	if err := proto.Unmarshal(payload, &uses); err != nil {
		klog.ErrorS(err, "failed to decode a peer's report of its use of runners", "peer", from, "bytes", len(payload))
		return
	}
	r.recordIncarnation(from, uses.Incarnation)
	now := time.Now()
	for _, use := range uses.Uses {
		if !r.runners.RecordPeerReport(from, use.Runner, decodeUse(use), now) {
			r.otherStart.Inc()
		}
	}
}
