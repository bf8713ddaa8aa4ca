package informer

import (
	"fmt"
	"maps"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	wirev1 "cobaltramp.example/cobaltramp/api/wire/v1"
	"cobaltramp.example/cobaltramp/internal/cluster/peers"
	"cobaltramp.example/cobaltramp/internal/cluster/ports"
	"cobaltramp.example/cobaltramp/internal/cluster/relay"
	"cobaltramp.example/cobaltramp/internal/cluster/subset"
	"cobaltramp.example/cobaltramp/internal/serving/runnerset"

	_ "cobaltramp.example/cobaltramp/internal/app/fixedseed"
)

// startingEdge is an edge of a large fleet that receives lists of all runners from peers, and
// selections from a relay. The store, the relay and the peers are models.
type startingEdge struct {
	store map[string]ports.Value
	// events are the changes of the store; the revision of the store is their number.
	events []ports.WatchEvent
	relay  *relay.Mirror
	// relayAt is the revision that the relay has reached.
	relayAt int

	node *Informer
	// view and after are the state of the stream from the relay to the node.
	view  *relay.FollowerView
	after int64
}

func newStartingEdge() *startingEdge {
	model := &startingEdge{store: map[string]ports.Value{}, relay: relay.NewMirror(testSchema.Classify)}
	model.node = newSelectiveNode("edge-7")
	model.relay.Reset(nil, 0)
	return model
}

// newSelectiveNode returns an informer that is not connected to anything.
func newSelectiveNode(name string) *Informer {
	return New(Options{
		Schema: testSchema, Runners: runnerset.New(), Interest: subset.DefaultInterest(name, "z1", false),
		Directory: peers.NewDirectory(&wirev1.NodeRecord{NodeId: name, Zone: "z1", Incarnation: 1}),
	})
}

// changeRunner puts or deletes a runner's entry in the store.
func (e *startingEdge) changeRunner(number int, deleted bool) {
	text := fmt.Sprintf(`{"Service":"s","Address":"10.0.0.9:1","Zone":"z%d","Slots":4}`, number%5)
	value := ports.Value{Key: fmt.Sprint(testSchema.RunnersPrefix, "i-", number), Value: []byte(text), Revision: int64(len(e.events) + 1)}
	e.events = append(e.events, ports.WatchEvent{Value: value, Deleted: deleted})
	if deleted {
		delete(e.store, value.Key)
	} else {
		e.store[value.Key] = value
	}
}

func (e *startingEdge) startRunners(from, to int) {
	for number := from; number < to; number++ {
		e.changeRunner(number, false)
	}
}

// advanceRelay passes the changes up to a revision to the relay.
func (e *startingEdge) advanceRelay(revision int) {
	if revision > e.relayAt {
		e.relay.Apply(e.events[e.relayAt:revision], int64(revision))
		e.relayAt = revision
	}
}

// receivePeerList passes all runners as of the store's revision to the node, as the reply of a
// peer does.
func (e *startingEdge) receivePeerList() {
	reply := &wirev1.PeerStateReply{HasRunners: true, RunnersRevision: int64(len(e.events))}
	for key, value := range e.store {
		reply.Runners = append(reply.Runners, &wirev1.KeyValue{Key: []byte(key), Value: value.Value})
	}
	e.node.ApplyReply(reply, "peer")
}

// openStream begins a stream from the relay to the node.
func (e *startingEdge) openStream() {
	e.view = &relay.FollowerView{Interest: e.node.runners.widenedInterest()}
	e.after = e.node.merger.Revision()
}

// receiveUpdate passes the next update of the stream to the node. It opens another stream if
// the node did not take the selection, as relay.Follower does. It reports whether there was an
// update.
func (e *startingEdge) receiveUpdate() bool {
	update, _ := e.relay.After(e.after, e.view)
	if update == nil {
		return false
	}
	merger := e.node.merger
	switch {
	case update.Whole:
		merger.ResetToSelection(update.Values, *update.Selection, update.Revision)
	case update.Selection != nil:
		merger.Select(*update.Selection, update.Events, update.Revision)
	default:
		merger.ApplySelected(update.Events, update.Revision)
	}
	e.after = update.Revision
	if !merger.Partial() {
		e.openStream()
	}
	return true
}

// listedIDs returns the ids of the runners that a node lists.
func listedIDs(node *Informer) map[string]bool {
	ids := map[string]bool{}
	for _, runner := range node.Runners.Service("s") {
		if runner.AcceptsWork() {
			ids[runner.ID] = true
		}
	}
	return ids
}

// wanted returns the ids that a node lists that has only followed the relay as it is now.
func (e *startingEdge) wanted() map[string]bool {
	clean := newSelectiveNode(e.node.Directory.Self().NodeId)
	update, _ := e.relay.After(-1, &relay.FollowerView{Interest: e.node.runners.widenedInterest()})
	clean.merger.ResetToSelection(update.Values, *update.Selection, update.Revision)
	return listedIDs(clean)
}

// Guards against requests to runners that have left, in large fleets: a node that had received
// all runners from a peer, and then a selection from a relay that was behind the peer, kept
// runners that had left, or listed none.
func TestRelayBehindAPeersListDoesNotHideChanges(t *testing.T) {
	for _, test := range []struct{ relayAt, listAt, relayGoesOnTo int }{
		{600, 1010, 1030}, {1000, 2000, 2100}, {4000, 4010, 4040}, {4000, 4010, 10_000}, {9900, 9910, 10_000},
	} {
		t.Run(fmt.Sprint(test), func(t *testing.T) {
			is := is.New(t)
			edge := newStartingEdge()
			edge.startRunners(0, test.listAt)
			edge.advanceRelay(test.relayAt)
			edge.receivePeerList()
			edge.openStream()
			edge.receiveUpdate()
			edge.startRunners(test.listAt, test.relayGoesOnTo)
			edge.advanceRelay(test.relayGoesOnTo)
			edge.receiveUpdate()
			edge.receiveUpdate()
			is.Equal(listedIDs(edge.node), edge.wanted())
			for number := 0; number < test.relayGoesOnTo; number += 10 {
				edge.changeRunner(number, true)
			}
			edge.advanceRelay(len(edge.events))
			edge.receiveUpdate()
			is.Equal(listedIDs(edge.node), edge.wanted())
		})
	}
}

// Whatever a node receives from peers and from a relay, and in which order: once the relay has
// caught up and the node has received its last update, the node lists what it would list if it
// had received that update only.
func TestListsOfPeersAndSelectionsConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		edge := newStartingEdge()
		edge.startRunners(0, rapid.IntRange(0, 2500).Draw(t, "runners"))
		edge.openStream()
		for range rapid.IntRange(1, 25).Draw(t, "steps") {
			switch rapid.SampledFrom([]string{"list", "update", "update", "relay", "start", "leave", "reconnect", "large"}).Draw(t, "step") {
			case "list":
				edge.receivePeerList()
			case "update":
				edge.receiveUpdate()
			case "relay":
				edge.advanceRelay(rapid.IntRange(edge.relayAt, len(edge.events)).Draw(t, "relay's revision"))
			case "start":
				edge.startRunners(len(edge.events), len(edge.events)+rapid.IntRange(1, 1500).Draw(t, "starts"))
			case "leave":
				for range rapid.IntRange(1, 100).Draw(t, "leaving") {
					edge.changeRunner(rapid.IntRange(0, 3000).Draw(t, "runner"), true)
				}
			case "reconnect":
				edge.openStream()
			case "large":
				edge.node.Directory.MarkLarge()
			}
		}
		edge.advanceRelay(len(edge.events))
		for edge.receiveUpdate() {
		}
		if want := edge.wanted(); !maps.Equal(listedIDs(edge.node), want) {
			t.Fatalf("the node lists %d runners, a clean node %d", len(listedIDs(edge.node)), len(want))
		}
	})
}
