package streamorigin

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"google.golang.org/protobuf/proto"

	wirev1 "cobaltramp.example/cobaltramp/api/wire/v1"
	"cobaltramp.example/cobaltramp/internal/cluster/peers"
	"cobaltramp.example/cobaltramp/internal/serving/runnerset"
	"cobaltramp.example/cobaltramp/internal/transport/rpc"
)

const (
	searchEdges, searchDisks = 3, 4
	// syncInterval is the interval at which a node reads the store, callTime the time of a call, and
	// storeTime that of a read for CatchUp.
	syncInterval = 40 * time.Millisecond
	callTime     = 2 * time.Millisecond
	storeTime    = 4 * time.Millisecond
)

var errCut = errors.New("the link is cut")

// searchWorld is a fleet in virtual time with a store and runners. Its nodes are Trackers; their lists, links and
// processes are models. The mutex guards what is below it.
type searchWorld struct {
	random       *rand.Rand
	edges, disks []*searchNode
	mutex        sync.Mutex
	// entries are the runners in the store, and alive those that serve, with their present versions.
	entries map[string]runnerset.Record
	alive   map[string]string
	started map[string]time.Time // when they did, by ID
	// changes are all changes of the entries; the revision of the store is their number. Changes up to
	// the revision compacted are no longer told one by one.
	changes   []entryChange
	compacted int
	runners   int
	cut       map[[2]string]bool
	// recordsLostAt is when a storage node last lost its records.
	recordsLostAt time.Time
}

// entryChange is the change of an entry of the store.
type entryChange struct {
	record  runnerset.Record
	removed bool
}

// storeAnswer is the answer of the store to a node: all entries, or the changes after a revision.
type storeAnswer struct {
	list     []runnerset.Record
	changes  []entryChange
	after    int
	revision int
}

// searchNode is a node of a searchWorld.
type searchNode struct {
	*Tracker
	world     *searchWorld
	name      string
	directory *peers.Directory
	runners   *runnerset.Set
	// storeCut is set while the node does not reach the store, and frozenUntil is when its process goes
	// on. currentAt is when its list was last current. The world's mutex guards them.
	storeCut    bool
	frozenUntil time.Time
	currentAt   time.Time
}

func newSearchWorld(random *rand.Rand) *searchWorld {
	w := &searchWorld{random: random, entries: map[string]runnerset.Record{}, alive: map[string]string{}, started: map[string]time.Time{}, cut: map[[2]string]bool{}}
	for range 3 {
		w.joinRunner("v1")
	}
	for number := range searchEdges {
		w.edges = append(w.edges, w.newNode(fmt.Sprint("edge-", number), ""))
	}
	for number := range searchDisks {
		w.disks = append(w.disks, w.newNode(fmt.Sprint("disk-", number), fmt.Sprint("disk-", number)))
	}
	for _, node := range w.nodes() {
		for _, other := range w.nodes() {
			if node != w.edges[0] || !slices.Contains(w.disks[1:], other) { // it has just started
				node.directory.Put(other.directory.Self())
			}
		}
	}
	return w
}

func (w *searchWorld) newNode(name, disk string) *searchNode {
	node := &searchNode{world: w, name: name, runners: runnerset.New(), directory: peers.NewDirectory(&wirev1.NodeRecord{
		NodeId: name, Address: name, Zone: name, DiskId: disk, Incarnation: 1, RecordsStreamOrigins: true,
	})}
	node.runners.SetContact(node, 0)
	node.Tracker = New(node.directory, node, node.runners.Versions(), node, prometheus.NewRegistry())
	return node
}

func (w *searchWorld) nodes() []*searchNode { return append(slices.Clone(w.edges), w.disks...) }

// run keeps the list of a node up to date until the context ends.
func (n *searchNode) run(ctx context.Context) {
	refreshed := time.Now()
	for ctx.Err() == nil {
		sent := time.Now()
		answer, reached := n.read()
		time.Sleep(syncInterval) // the answer is on its way, or lies unread while the node stands still
		n.awaitThaw()
		if reached {
			n.apply(answer, sent)
		}
		if now := time.Now(); now.Sub(refreshed) >= refreshInterval {
			n.runners.Versions().Refresh(now)
			refreshed = now
		}
	}
}

// read asks the store for the changes that the node lacks, or for a list if the store has forgotten some.
func (n *searchNode) read() (answer storeAnswer, reached bool) {
	held, _ := n.runners.Revision()
	w := n.world
	w.mutex.Lock()
	defer w.mutex.Unlock()
	answer = storeAnswer{after: int(held), revision: len(w.changes)}
	if answer.after < max(w.compacted, 1) {
		answer.list = slices.Collect(maps.Values(w.entries))
	} else {
		answer.changes = slices.Clone(w.changes[answer.after:])
	}
	return answer, !n.storeCut
}

// apply applies an answer of the store to a call that was sent at the given time.
func (n *searchNode) apply(answer storeAnswer, sent time.Time) {
	now, versions := time.Now(), n.runners.Versions()
	if answer.list != nil {
		versions.RecordGap(now)
		n.runners.Replace(answer.list, int64(answer.revision), now)
	}
	for number, change := range answer.changes {
		revision := int64(answer.after + number + 1)
		if change.removed {
			n.runners.ApplyChanges(nil, []string{change.record.ID}, revision, now)
			continue
		}
		versions.NoteListed(&change.record, now)
		n.runners.ApplyChanges([]runnerset.Record{change.record}, nil, revision, now)
	}
	n.world.mutex.Lock()
	defer n.world.mutex.Unlock()
	if sent.After(n.currentAt) {
		n.currentAt = sent
	}
}

func (n *searchNode) awaitThaw() {
	for {
		n.world.mutex.Lock()
		wait := time.Until(n.frozenUntil)
		n.world.mutex.Unlock()
		if wait <= 0 {
			return
		}
		time.Sleep(wait)
	}
}

// Age, HeldAge and Lost implement runnerset.StoreContact.
func (n *searchNode) Age() time.Duration { return n.HeldAge() }

func (n *searchNode) HeldAge() time.Duration {
	n.world.mutex.Lock()
	defer n.world.mutex.Unlock()
	return time.Since(n.currentAt)
}

func (*searchNode) Lost() bool { return false }

// CatchUp implements ListUpdater.
func (n *searchNode) CatchUp(ctx context.Context) {
	sent := time.Now()
	answer, reached := n.read()
	if !reached {
		<-ctx.Done()
		return
	}
	time.Sleep(storeTime)
	n.awaitThaw()
	n.apply(answer, sent)
}

// Call implements CallSender. A link may be cut in one direction.
func (n *searchNode) Call(ctx context.Context, address string, _ rpc.Class, method wirev1.Method, request, reply proto.Message) error {
	w := n.world
	target := w.disks[slices.IndexFunc(w.disks, func(node *searchNode) bool { return node.name == address })]
	answer := make(chan error, 1)
	go func() {
		time.Sleep(callTime)
		if w.isCut(n, target) {
			return // silence
		}
		target.awaitThaw()
		var err error
		switch message := request.(type) {
		case *wirev1.StreamOriginRecord:
			err = target.hold(message)
		case *wirev1.StreamOriginQuery:
			callContext, cancel := context.WithTimeout(context.Background(), callTimeout)
			defer cancel()
			found := target.find(callContext, message)
			if ctx.Err() == nil {
				proto.Merge(reply, found)
			}
		default:
			err = fmt.Errorf("unexpected method %v", method)
		}
		time.Sleep(callTime)
		if !w.isCut(target, n) {
			answer <- err
		}
	}()
	select {
	case err := <-answer:
		n.awaitThaw()
		return err
	case <-ctx.Done():
		return errCut
	}
}

func (w *searchWorld) isCut(from, to *searchNode) bool {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return w.cut[[2]string{from.name, to.name}]
}

// joinRunner adds a runner of a version.
func (w *searchWorld) joinRunner(version string) {
	w.runners++
	w.put(fmt.Sprint("r", w.runners), version)
}

// put starts a runner under an ID at a version, and writes its entry.
func (w *searchWorld) put(id, version string) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.alive[id], w.started[id] = version, time.Now()
	w.entries[id] = runnerset.Record{ID: id, Service: "s", Version: version}
	w.changes = append(w.changes, entryChange{record: w.entries[id]})
}

// anyRunner returns the ID of a runner that serves; empty if there is none.
func (w *searchWorld) anyRunner() string {
	ids := slices.Sorted(maps.Keys(w.alive))
	if len(ids) == 0 {
		return ""
	}
	return ids[w.random.IntN(len(ids))]
}

// removeEntry removes a runner's entry. The runner serves on if lingers is set.
func (w *searchWorld) removeEntry(id string, lingers bool) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if entry, listed := w.entries[id]; listed {
		w.changes = append(w.changes, entryChange{record: entry, removed: true})
		delete(w.entries, id)
	}
	if !lingers {
		delete(w.alive, id)
	}
}

// versionOf returns the version of a runner that serves, and whether it does.
func (w *searchWorld) versionOf(id string) (string, bool) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	version, serves := w.alive[id]
	return version, serves
}

// pick returns a runner that a node lists, that serves, and that match accepts; empty if there is none.
func (n *searchNode) pick(match func(runner *runnerset.Runner) bool) *runnerset.Runner {
	var usable []*runnerset.Runner
	for _, runner := range n.runners.Service("s") {
		if _, serves := n.world.versionOf(runner.ID); serves && (runner.AcceptsWork() || runner.RecentlyWithdrawn()) && match(runner) {
			usable = append(usable, runner)
		}
	}
	if len(usable) == 0 {
		return nil
	}
	return usable[n.world.random.IntN(len(usable))]
}

// cutOff cuts an edge off from the store and the storage nodes, in both directions.
func (w *searchWorld) cutOff(edge *searchNode) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	edge.storeCut = true
	for _, disk := range w.disks {
		w.cut[[2]string{edge.name, disk.name}] = true
		w.cut[[2]string{disk.name, edge.name}] = true
	}
}

// heal ends all cuts. The store has forgotten the changes before.
func (w *searchWorld) heal() {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.compacted = len(w.changes)
	clear(w.cut)
	for _, node := range w.nodes() {
		node.storeCut = false
	}
}

// loseRecords lets a storage node lose its records, as by a restart.
func (n *searchNode) loseRecords() {
	n.table.mutex.Lock()
	defer n.table.mutex.Unlock()
	n.table.records, n.table.completeSince = map[Key]heldRecord{}, time.Now()
	n.world.mutex.Lock()
	defer n.world.mutex.Unlock()
	n.world.recordsLostAt = time.Now()
}
