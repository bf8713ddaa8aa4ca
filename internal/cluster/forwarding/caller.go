package forwarding

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"golang.org/x/time/rate"
	"google.golang.org/protobuf/proto"
	"k8s.io/klog/v2"

	wirev1 "cobaltramp.example/cobaltramp/api/wire/v1"
	"cobaltramp.example/cobaltramp/internal/app/tasks"
	"cobaltramp.example/cobaltramp/internal/transport/rpc"
)

// Directory holds the records of the known nodes. *peers.Directory implements it.
type Directory interface {
	Self() *wirev1.NodeRecord
	Records() []*wirev1.NodeRecord
	Disks() []*wirev1.NodeRecord
	// DiskAt returns the record of the node with a disk at an address.
	DiskAt(address string) (*wirev1.NodeRecord, bool)
	// InContactWithin reports whether a node responded or sent a request within the given
	// duration before now.
	InContactWithin(node string, now time.Time, within time.Duration) bool
}

// Transport sends messages to other nodes directly. *rpc.Pool implements it.
type Transport interface {
	Call(ctx context.Context, address string, class rpc.Class, method wirev1.Method, request, reply proto.Message) error
	// CallEncoded passes on a call. If sent is false, the request was not and will not be sent.
	CallEncoded(ctx context.Context, address string, class rpc.Class, method wirev1.Method, request []byte) (reply []byte, sent bool, err error)
	// Connect dials the address unless there is a connection to it.
	Connect(ctx context.Context, address string, class rpc.Class) error
	NotifyAll(addresses []string, class rpc.Class, method wirev1.Method, message proto.Message)
}

// Caller calls nodes with disks, through peers if the direct path to a node is broken. It is
// safe for concurrent use.
type Caller struct {
	directory Directory
	transport Transport
	calls     *prometheus.CounterVec
	// notices limits the forwarded notices that this node sends.
	notices *rate.Limiter

	// running are the calls on single paths and the probes. Close cancels their context.
	running tasks.Group
	context context.Context
	cancel  context.CancelFunc

	mutex sync.Mutex
	// paths holds the direct paths to nodes with disks, peers the state of possible
	// forwarders; both by address.
	paths map[string]*directPath
	peers map[string]*peerState
	// firstBroken is when a path became broken while no other path was broken.
	firstBroken time.Time
}

// NewCaller returns a caller. Close has to be called after use.
func NewCaller(directory Directory, transport Transport, registry prometheus.Registerer) *Caller {
	ctx, cancel := context.WithCancel(context.Background())
	c := &Caller{
		directory: directory, transport: transport, context: ctx, cancel: cancel,
		paths: map[string]*directPath{}, peers: map[string]*peerState{},
		notices: rate.NewLimiter(noticesPerSecond, noticeBurst),
		calls: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "cobaltramp_forwarded_calls_total", Help: "Calls sent to forwarders, by method and outcome.",
		}, []string{"method", "outcome"}),
	}
	registry.MustRegister(c.calls)
	return c
}

// Close cancels the calls in progress and waits until they have ended.
func (c *Caller) Close() {
	c.cancel()
	c.running.Wait()
}

// Call calls a node and decodes the reply. It uses forwarders for the methods that may be
// forwarded to nodes with disks, and calls other nodes directly.
//
// An error with code PeerUnreachable means that the request was not sent on any path. An
// error with code CommitUnknown, or without a code, means that the node may have executed it.
// All other errors are the node's answer.
func (c *Caller) Call(ctx context.Context, address string, class rpc.Class, method wirev1.Method, request, reply proto.Message) error {
	target, found := c.directory.DiskAt(address)
	if !found || !forwardable(method) {
		return c.transport.Call(ctx, address, class, method, request, reply)
	}
	payload, err := proto.Marshal(request)
	if err != nil {
		return err
	}
	call := newCall(c, target, class, method, payload)
	call.wait = targetWait(request)
	answer, err := call.run(ctx)
	if err != nil {
		return err
	}
	return proto.Unmarshal(answer, reply)
}

// targetWait returns how long the target may wait before it answers the request.
func targetWait(request proto.Message) time.Duration {
	if waiting, ok := request.(interface{ GetWaitMs() uint32 }); ok {
		return time.Duration(waiting.GetWaitMs()) * time.Millisecond
	}
	return 0
}

// Broken reports whether the direct path to the node at an address is broken.
func (c *Caller) Broken(address string, now time.Time) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	path := c.paths[address]
	return path != nil && path.broken
}

// path returns the direct path to a node with a disk. If it is new, the paths to nodes that
// have left the directory are dropped. The caller holds the mutex.
func (c *Caller) path(address string) *directPath {
	path := c.paths[address]
	if path == nil {
		c.dropDeparted()
		path = &directPath{}
		c.paths[address] = path
	}
	return path
}

// dropDeparted drops the state of addresses that are no longer in the directory. The caller
// holds the mutex.
func (c *Caller) dropDeparted() {
	known := map[string]bool{}
	for _, node := range c.directory.Records() {
		known[node.Address] = node.DiskId != ""
	}
	for address := range c.paths {
		if !known[address] {
			delete(c.paths, address)
		}
	}
	for address, peer := range c.peers {
		if hasDisk, found := known[address]; !found || hasDisk {
			delete(c.peers, address)
			continue
		}
		for target := range peer.unreachableUntil {
			if !known[target] {
				delete(peer.unreachableUntil, target)
			}
		}
		for target := range peer.forwardedAt {
			if !known[target] {
				delete(peer.forwardedAt, target)
			}
		}
	}
}

// peer returns the state of a possible forwarder. The caller holds the mutex.
func (c *Caller) peer(address string) *peerState {
	peer := c.peers[address]
	if peer == nil {
		c.dropDeparted()
		peer = newPeerState()
		c.peers[address] = peer
	}
	return peer
}

// pathView is the state of the direct path at the start of a call.
type pathView struct {
	broken, directAllowed bool
	usualAnswerTime       time.Duration
	// suspect reports that paths to other nodes are broken, and that this path has not been
	// answered since the first of them.
	suspect bool
}

// view returns the state of the direct path to a node. It starts a probe if the path is broken
// and the next probe is due.
func (c *Caller) view(address string, now time.Time) pathView {
	c.probeIfDue(address, now)
	c.mutex.Lock()
	defer c.mutex.Unlock()
	path := c.path(address)
	view := pathView{
		broken: path.broken, directAllowed: !path.broken || now.Sub(path.lastTry) >= directRetryDelay, usualAnswerTime: path.usualAnswerTime,
	}
	view.suspect = c.anyBroken() && path.lastAnswer.Before(c.firstBroken)
	return view
}

// anyBroken reports whether a direct path is broken. The caller holds the mutex.
func (c *Caller) anyBroken() bool {
	for _, path := range c.paths {
		if path.broken {
			return true
		}
	}
	return false
}

// recordDirect records the outcome of a direct call that ended at the given time.
func (c *Caller) recordDirect(address string, answered, sent bool, now time.Time) {
	c.mutex.Lock()
	path := c.path(address)
	restored := false
	since := path.brokenSince
	switch {
	case answered:
		restored = path.answered(now)
	case !sent:
		path.lastFailure = now
	}
	c.mutex.Unlock()
	if restored {
		klog.InfoS("direct path to node restored", "address", address, "brokenMs", now.Sub(since).Milliseconds())
	}
}

// recordConnected records that there is a connection to a node, so that earlier failures to
// connect no longer count.
func (c *Caller) recordConnected(address string) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if path := c.paths[address]; path != nil {
		path.lastFailure = time.Time{}
	}
}

// recordAnswerTime records the time until a direct answer with a small reply.
func (c *Caller) recordAnswerTime(address string, taken time.Duration) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.path(address).recordAnswerTime(taken)
}

// recordTry records that a call is sent on the direct path.
func (c *Caller) recordTry(address string, now time.Time) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.path(address).lastTry = now
}

// recordBypassed records that a forwarder answered a call to a node that was sent on the
// direct path at the given time.
func (c *Caller) recordBypassed(target *wirev1.NodeRecord, forwarder string, sent, now time.Time) {
	c.mutex.Lock()
	c.dropDeparted() // a broken path to a departed node must not count as the first one
	first := !c.anyBroken()
	broken := c.path(target.Address).bypassed(sent, now, rand.Float64())
	if broken && first {
		c.firstBroken = now
	}
	c.mutex.Unlock()
	if !broken {
		return
	}
	klog.InfoS("direct path to node broken; calls are forwarded through peers", "node", target.NodeId,
		"address", target.Address, "forwarder", forwarder, "directMs", now.Sub(sent).Milliseconds())
	if first {
		c.probeOthers(now)
	}
}

// probeTimeout limits a probe of a broken path.
const probeTimeout = 400 * time.Millisecond

// probeIfDue tries a broken direct path in the background if its next try is due. The probe
// is a request to forward nothing, which every node answers or rejects without other work.
func (c *Caller) probeIfDue(address string, now time.Time) {
	c.mutex.Lock()
	path := c.paths[address]
	due := path != nil && path.startProbe(now)
	c.mutex.Unlock()
	if due {
		c.running.Go(func() { c.probe(address) })
	}
}

// maxProbedPaths bounds the paths that are probed after a path has become broken.
const maxProbedPaths = 32

// probeOthers probes the paths to other nodes with disks that are not known to be broken,
// since a node often loses several paths at once. Calls do not wait long on a path that has
// not answered since.
func (c *Caller) probeOthers(now time.Time) {
	disks := c.directory.Disks()
	for _, disk := range disks[:min(len(disks), maxProbedPaths)] {
		c.mutex.Lock()
		path := c.path(disk.Address)
		probed := !path.broken && !path.probing
		if probed {
			path.probing, path.lastTry = true, now
		}
		c.mutex.Unlock()
		if probed {
			c.running.Go(func() { c.probe(disk.Address) })
		}
	}
}

func (c *Caller) probe(address string) {
	ctx, cancel := context.WithTimeout(c.context, probeTimeout)
	defer cancel()
	_, sent, err := c.transport.CallEncoded(ctx, address, rpc.ClassOnline, wirev1.Method_METHOD_FORWARD, nil)
	now := time.Now()
	answered := sent && isAnswer(err)
	c.recordDirect(address, answered, sent, now)
	c.mutex.Lock()
	defer c.mutex.Unlock()
	path := c.path(address)
	path.probing = false
	if !answered {
		path.probeFailed(now, rand.Float64())
	}
}

// choose returns the address of a forwarder for a call to the target, or "" if none is usable.
// trusted reports that the forwarder reached the target recently.
func (c *Caller) choose(target *wirev1.NodeRecord, used map[string]bool, now time.Time) (forwarder string, trusted bool) {
	nodes, self := c.directory.Records(), c.directory.Self()
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if now.Before(c.path(target.Address).pausedUntil) {
		return "", false
	}
	forwarder = chooseForwarder(choice{target: target, self: self, nodes: nodes, used: used, peers: c.peers, now: now, random: rand.IntN})
	return forwarder, c.peers[forwarder].reaches(target, now)
}

// ReachableDisks implements peers.Reachability. Nodes with disks are not used as forwarders,
// so they report nothing.
func (c *Caller) ReachableDisks(now time.Time) []string {
	if c.directory.Self().DiskId != "" {
		return nil
	}
	var nodes []string
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for _, disk := range c.directory.Disks() {
		path := c.paths[disk.Address]
		switch {
		case len(nodes) == maxReportedDisks:
			return nodes
		case path != nil && path.unreachable(now):
		case path != nil && now.Sub(path.lastAnswer) < reportLifetime, c.directory.InContactWithin(disk.NodeId, now, reportLifetime):
			nodes = append(nodes, disk.NodeId)
		}
	}
	return nodes
}

// maxReportedDisks bounds the nodes in a report of the reachable disks.
const maxReportedDisks = 32

// RecordReachable implements peers.Reachability.
func (c *Caller) RecordReachable(address string, nodes []string, now time.Time) {
	reported := make(map[string]bool, min(len(nodes), maxReportedDisks))
	for _, node := range nodes[:min(len(nodes), maxReportedDisks)] {
		reported[node] = true
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	peer := c.peer(address)
	peer.reported, peer.reportedAt = reported, now
}
