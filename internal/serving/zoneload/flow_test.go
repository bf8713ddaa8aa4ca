package zoneload

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus"
	"google.golang.org/protobuf/proto"

	"cobaltramp.example/cobaltramp/internal/serving/runnerset"
)

// From the reports of edges to the draw: requests are sent to the zone with free runners
// while the own zone is overloaded, and not before or after.
func TestReportsLeadToCrossing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		records := testRecords(map[string]int{"a": 1, "b": 1}, map[string]int{"a": 1, "b": 1})
		p := startPublisher(t, records, append(testRunners("a", 2), testRunners("b", 2)...))
		edge := NewReceiver("a", prometheus.NewRegistry())
		edge.Balance(func(string) runnerset.Latency { return testLatency })
		// play reports requests at the runners of each zone, half of which end and start
		// every 400 ms.
		play := func(duration time.Duration, perRunner map[string]int) (last Target) {
			for i := range duration / digestInterval {
				for zone, running := range perRunner {
					for runner := range 2 {
						now := runnerset.NodeLoad{Running: running / (1 + int(i)%2)}
						p.runners.RecordPeerReport("edge-"+zone+"-0", fmt.Sprintf("runner-%s-%d", zone, runner), runnerset.PeerReport{NodeLoad: now}, time.Now())
					}
				}
				time.Sleep(digestInterval)
				for _, digest := range p.box.take("edge-a-0:1") {
					payload, err := proto.Marshal(digest)
					is.NoErr(err)
					edge.ReceiveNotice("disk-a-0", payload)
				}
				last = edge.Draw("s", 0, time.Now())
			}
			return last
		}
		is.Equal(play(20*time.Second, map[string]int{"a": 6, "b": 4}), Target{})
		drawn := play(3*time.Second, map[string]int{"a": 24, "b": 4})
		is.Equal(drawn.Zone, "b")
		is.True(drawn.Crossing > 0.1)
		is.Equal(len(drawn.Free), 2)
		is.Equal(play(time.Second, map[string]int{"a": 6, "b": 4}), Target{})
	})
}
