package online

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus"

	"cobaltramp.example/cobaltramp/internal/serving/runnerset"
	"cobaltramp.example/cobaltramp/internal/serving/zoneload"
)

// fixedZone draws the same target for each request, and counts the draws.
type fixedZone struct {
	target zoneload.Target
	draws  int
}

func (f *fixedZone) Draw(string, float64, time.Time) zoneload.Target {
	f.draws++
	return f.target
}

// twoZones has a runner of this node's zone with the given number of requests, and one of
// another zone whose load is not reported; requests are sent there.
func twoZones(runners *fakeRunners, requests int) (*Forwarder, *fixedZone) {
	set := runnerset.New()
	set.Replace([]runnerset.Record{{ID: "near", Service: "s", Zone: "z", Slots: 1}, {ID: "far", Service: "s", Zone: "y", Slots: 1}}, 1, time.Now())
	set.SetReporting(func(runner *runnerset.Runner) bool { return runner.Zone == "z" })
	load := runnerset.NodeLoad{Running: requests}
	set.RecordPeerReport("peer", "near", runnerset.PeerReport{NodeLoad: load}, time.Now())
	forwarder := New("z", set, runners, prometheus.NewRegistry())
	zones := &fixedZone{target: zoneload.Target{Zone: "y", Crossing: 0.2, Free: []runnerset.FreeRunner{{ID: "far", Slots: 1}}}}
	forwarder.Zones = zones
	return forwarder, zones
}

// A request that was drawn for another zone is sent there, instead of being refused, if the
// own zone is full, and stays in the own zone otherwise.
func TestDrawnRequestIsSentToOtherZone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		for requests, runner := range map[int]string{0: "near", 5: "far"} {
			runners := &fakeRunners{}
			forwarder, zones := twoZones(runners, requests)
			is.NoErr(forwarder.Serve(context.Background(), targetedRequest(5*time.Second), &recorder{}))
			is.Equal(runners.runners, []string{runner})
			is.Equal(zones.draws, 1)
		}
	})
}

// A request that stays in its zone by the draw is refused if the zone is full, as without
// balancing.
func TestRequestThatStaysIsRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		runners := &fakeRunners{}
		forwarder, zones := twoZones(runners, 5)
		zones.target = zoneload.Target{Crossing: 0.2}
		is.True(forwarder.Serve(context.Background(), targetedRequest(5*time.Second), &recorder{}) != nil)
		is.Equal(len(runners.runners), 0)
	})
}

// If the runner of the other zone does not take the request, it is sent to the own zone: a
// retry draws no zone, nor does a resumed stream or a caller's retry.
func TestRetriesDrawNoZone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		runners := &fakeRunners{outcomes: []outcome{outcomeUnresponsive, outcomeServes}}
		forwarder, zones := twoZones(runners, 2)
		is.NoErr(forwarder.Serve(context.Background(), targetedRequest(5*time.Second), &recorder{}))
		is.Equal(runners.runners, []string{"far", "near"})
		is.Equal(zones.draws, 1)

		resumed := targetedRequest(5 * time.Second)
		resumed.ResumeAfter = 2
		_ = forwarder.Serve(context.Background(), resumed, &recorder{}) // refused: its zone is full
		is.NoErr(forwarder.Serve(context.Background(), targetedRequest(2*time.Second), &recorder{}))
		is.Equal(zones.draws, 1)
	})
}
