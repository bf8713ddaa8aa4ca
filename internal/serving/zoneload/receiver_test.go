package zoneload

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus"
	"google.golang.org/protobuf/proto"

	wirev1 "cobaltramp.example/cobaltramp/api/wire/v1"
	"cobaltramp.example/cobaltramp/internal/serving/runnerset"
)

// edgeAt is an edge in zone a, at a time.
type edgeAt struct {
	*Receiver
	registry *prometheus.Registry
	now      time.Time
	sequence uint64
}

func newEdge() *edgeAt {
	e := &edgeAt{registry: prometheus.NewRegistry(), now: time.Now()}
	e.Receiver = NewReceiver("a", e.registry)
	e.Balance(func(string) runnerset.Latency { return testLatency })
	return e
}

// receive applies a digest of a sender after digestInterval.
func (e *edgeAt) receive(sender string, loads ...ZoneLoad) {
	e.now = e.now.Add(digestInterval)
	e.sequence++
	e.apply(sender, digestOf(e.sequence, loads...), e.now)
}

// calibrate applies digests of steady load until the hold time is known.
func (e *edgeAt) calibrate() {
	for range 2 * minHoldTime / digestInterval {
		e.receive("first", zoneOf("a", 60), zoneOf("b", 60))
	}
}

// crossing returns the probability with which a request is sent to another zone.
func (e *edgeAt) crossing() float64 { return e.Draw("s", 0.999999, e.now).Crossing }

func digestOf(sequence uint64, loads ...ZoneLoad) *wirev1.ZoneLoadDigest {
	digest := &wirev1.ZoneLoadDigest{Incarnation: 1, Sequence: sequence}
	for _, load := range loads {
		digest.Loads = append(digest.Loads, &wirev1.ServiceZoneLoad{
			Service: "s", Zone: load.Zone, Runners: uint32(load.Runners), Slots: uint32(load.Slots), Running: uint32(load.Running),
			Batch: uint32(load.Batch), ContentionPercent: uint32(percent * load.Contention), ArrivalsPerSecond: load.Arrivals,
			Free: []*wirev1.FreeRunner{{Runner: "runner-" + load.Zone, FreeSlots: 3}},
		})
	}
	return digest
}

// An overloaded zone sends requests to the zone with room, with the runners that the digest
// names, and none when the load ends.
func TestRequestsAreSentToZoneWithRoom(t *testing.T) {
	is := is.New(t)
	edge := newEdge()
	edge.calibrate()
	is.Equal(edge.Draw("s", 0, edge.now), Target{})
	edge.receive("first", zoneOf("a", 110), zoneOf("b", 60))
	is.True(edge.crossing() > 0.05 && edge.crossing() <= maxStep)
	drawn := edge.Draw("s", 0, edge.now)
	is.Equal(drawn.Zone, "b")
	is.Equal(drawn.Free, []runnerset.FreeRunner{{ID: "runner-b", Slots: 3}})
	is.Equal(edge.Draw("s", 0.99, edge.now).Zone, "")
	is.Equal(edge.Draw("other", 0, edge.now), Target{})
	edge.receive("first", zoneOf("a", 60), zoneOf("b", 60))
	is.Equal(edge.crossing(), 0.0)
}

// After peaks of any height, the probability is 0 within the first second of the trough.
func TestProbabilityIsZeroInTrough(t *testing.T) {
	is := is.New(t)
	edge := newEdge()
	edge.calibrate()
	trough := []ZoneLoad{zoneOf("a", 20), zoneOf("b", 20)}
	for range 5 {
		highest := 0.0
		for range 2800 * time.Millisecond / digestInterval {
			edge.receive("first", zoneOf("a", 300), zoneOf("b", 60))
			highest = max(highest, edge.crossing())
		}
		is.True(highest > 0.1)
		for range 4 {
			edge.receive("first", trough...)
		}
		is.Equal(edge.crossing(), 0.0)
		for range 15 {
			edge.receive("first", trough...)
			is.Equal(edge.crossing(), 0.0)
		}
	}
}

// A peak in all zones at the same time leaves no room anywhere.
func TestNothingIsSentWhileAllZonesPeak(t *testing.T) {
	is := is.New(t)
	edge := newEdge()
	edge.calibrate()
	for range 14 {
		edge.receive("first", zoneOf("a", 130), zoneOf("b", 100), zoneOf("c", 98))
		is.Equal(edge.crossing(), 0.0)
	}
}

// When the sender ends, the second one takes over; without any digest, requests stay in the
// zone after a second.
func TestSecondSenderTakesOver(t *testing.T) {
	is := is.New(t)
	edge := newEdge()
	edge.calibrate()
	busy, free := zoneOf("a", 110), zoneOf("b", 60)
	edge.receive("first", busy, free)
	edge.receive("second", busy, free)
	is.True(edge.crossing() > 0)
	for range 10 {
		edge.receive("second", busy, free)
	}
	is.True(edge.crossing() > 0)
	edge.now = edge.now.Add(digestLifetime)
	is.Equal(edge.Draw("s", 0, edge.now), Target{})
	_, age, fresh := edge.Newest(edge.now)
	is.True(!fresh && age == digestLifetime)
}

// Two senders with different digests move the probability up and down, within the range of
// their plans.
func TestSendersWithDifferentDigests(t *testing.T) {
	is := is.New(t)
	edge := newEdge()
	edge.calibrate()
	first, second := zoneOf("a", 110), zoneOf("a", 104)
	lowest := sumOf(Plan([]ZoneLoad{second, zoneOf("b", 60)}, testModel, "a"))
	highest := sumOf(Plan([]ZoneLoad{first, zoneOf("b", 60)}, testModel, "a"))
	for i := range 10 {
		edge.receive("first", first, zoneOf("b", 60))
		edge.receive("second", second, zoneOf("b", 60))
		is.True(i == 0 || edge.crossing() > lowest-0.02 && edge.crossing() < highest+0.02)
	}
	edge.receive("first", zoneOf("a", 104), zoneOf("b", 96)) // b is full by the newest digest
	is.Equal(edge.crossing(), 0.0)
}

// Old and repeated digests of a sender are dropped; those of a restarted sender are not,
// nor those of a sender whose clock was set back, once its last digest has expired.
func TestDigestsAreOrdered(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	var received digests
	put := func(incarnation, sequence uint64) bool {
		return received.put("sender", &wirev1.ZoneLoadDigest{Incarnation: incarnation, Sequence: sequence}, now)
	}
	is.True(put(5, 7))
	is.True(!put(5, 7))
	is.True(!put(5, 6))
	is.True(put(6, 1)) // restarted
	is.True(!put(5, 8))
	now = now.Add(digestLifetime)
	is.True(put(5, 1))
	for i := range 10 {
		received.put(fmt.Sprint("other", i), &wirev1.ZoneLoadDigest{}, now.Add(time.Duration(i)))
	}
	is.Equal(len(received.bySender), maxSenders)
}

// Services whose runners report no contention are not balanced, nor any service before the
// hold time is known or if balancing is off. The digest is available in each case.
func TestScopeOfBalancing(t *testing.T) {
	is := is.New(t)
	busy, free := zoneOf("a", 110), zoneOf("b", 60)
	edge := newEdge()
	edge.receive("first", busy, free)
	is.Equal(edge.crossing(), 0.0)
	edge.calibrate()
	busy.Contention, free.Contention = 0, 0
	edge.receive("first", busy, free)
	is.Equal(edge.crossing(), 0.0)
	edge = newEdge()
	edge.latency = nil
	edge.calibrate()
	edge.receive("first", zoneOf("a", 110), zoneOf("b", 60))
	is.Equal(edge.crossing(), 0.0)
	digest, _, fresh := edge.Newest(edge.now)
	is.True(fresh && len(digest.Loads) == 2)
}

// A digest beyond the limits is cut, and notices that cannot be decoded are ignored.
func TestLargeAndUnreadableDigests(t *testing.T) {
	is := is.New(t)
	digest := &wirev1.ZoneLoadDigest{}
	for i := range 40 * 40 {
		row := &wirev1.ServiceZoneLoad{Service: fmt.Sprint(i / 40), Zone: fmt.Sprint(i % 40), Slots: 1}
		digest.Loads = append(digest.Loads, row, row)
	}
	services := rowsByService(digest)
	is.Equal(len(services), maxServices)
	for _, rows := range services {
		is.Equal(len(rows), maxZones)
	}
	edge := newEdge()
	edge.ReceiveNotice("first", []byte("\xff\xff"))
	_, _, fresh := edge.Newest(time.Now())
	is.True(!fresh)
	payload, err := proto.Marshal(digest)
	is.NoErr(err)
	edge.ReceiveNotice("first", payload)
	_, _, fresh = edge.Newest(time.Now())
	is.True(fresh)
}

// The metrics show the current probability of each zone, which is 0 after the digest has
// expired.
func TestMetricsOfReceiver(t *testing.T) {
	is := is.New(t)
	edge := newEdge()
	families, err := edge.registry.Gather()
	is.NoErr(err)
	is.Equal(len(families), 0)
	edge.now = edge.now.Add(-time.Hour)
	edge.calibrate()
	edge.receive("first", zoneOf("a", 110), zoneOf("b", 60))
	is.Equal(edge.sending["s"].own.Zone, "a")
	families, err = edge.registry.Gather()
	is.NoErr(err)
	is.Equal(families[0].GetName(), "cobaltramp_zone_crossing_share")
	is.Equal(families[0].Metric[0].Label[0].GetValue(), "b")
	is.Equal(families[0].Metric[0].Gauge.GetValue(), 0.0)
	is.True(families[1].Metric[0].Gauge.GetValue() > 3500)
	is.Equal(len(edge.sending), 0) // the end was logged
}
