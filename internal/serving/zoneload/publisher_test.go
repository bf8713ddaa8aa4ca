package zoneload

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus"
	"google.golang.org/protobuf/proto"

	wirev1 "cobaltramp.example/cobaltramp/api/wire/v1"
	"cobaltramp.example/cobaltramp/internal/cluster/peers"
	"cobaltramp.example/cobaltramp/internal/serving/runnerset"
	"cobaltramp.example/cobaltramp/internal/transport/rpc"
)

// mailbox records digests by receiver.
type mailbox struct {
	mutex sync.Mutex
	sent  map[string][]*wirev1.ZoneLoadDigest
}

func (m *mailbox) NotifyAll(addresses []string, _ rpc.Class, method wirev1.Method, message proto.Message) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if method != wirev1.Method_METHOD_ZONE_LOAD {
		panic(method)
	}
	for _, address := range addresses {
		m.sent[address] = append(m.sent[address], proto.Clone(message).(*wirev1.ZoneLoadDigest))
	}
}

// take returns the digests that were sent to an address since the last call.
func (m *mailbox) take(address string) []*wirev1.ZoneLoadDigest {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	digests := m.sent[address]
	delete(m.sent, address)
	return digests
}

// publishing is a running publisher of the storage node disk-a-0.
type publishing struct {
	*Publisher
	directory *peers.Directory
	runners   *runnerset.Set
	box       *mailbox
}

// startPublisher runs a publisher of runners that report contention until the test ends; it
// sends its first digest after reportLifetime. The test must run in a bubble of synctest.
func startPublisher(t *testing.T, records []*wirev1.NodeRecord, runners []runnerset.Record) *publishing {
	contention := func(*runnerset.Runner, time.Time) (float64, bool) { return 1.5, true }
	return startPublisherWith(t, records, runners, contention, nil)
}

// startPublisherWith runs a publisher with the given sources.
func startPublisherWith(t *testing.T, records []*wirev1.NodeRecord, runners []runnerset.Record,
	contention RunnerContention, tenants func(string, time.Time) []*wirev1.TenantLoad) *publishing {
	p := &publishing{directory: directoryOf("disk-a-0", records), runners: runnerset.New(), box: &mailbox{sent: map[string][]*wirev1.ZoneLoadDigest{}}}
	p.runners.Replace(runners, 1, time.Now())
	p.Publisher = NewPublisher(p.directory, p.runners, p.box, prometheus.NewRegistry())
	p.Contention, p.Tenants = contention, tenants
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(func() { cancel(); synctest.Wait() })
	go p.Run(ctx)
	time.Sleep(digestInterval + time.Millisecond) // the edges are known
	return p
}

// report records a report of an edge, each second until the duration has passed.
func (p *publishing) report(edge, runner string, load runnerset.NodeLoad, duration time.Duration) {
	for range duration / time.Second {
		p.runners.RecordPeerReport(edge, runner, runnerset.PeerReport{NodeLoad: load}, time.Now())
		time.Sleep(time.Second)
	}
}

func testRunners(zone string, count int) []runnerset.Record {
	var records []runnerset.Record
	for i := range count {
		records = append(records, runnerset.Record{ID: fmt.Sprintf("runner-%s-%d", zone, i), Service: "s", Zone: zone, Slots: 8})
	}
	return records
}

// A digest has the runners, slots, requests, items, contention and arrivals of each zone,
// and the runners with the most free slots.
func TestDigestDescribesZones(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		runners := testRunners("a", 6)
		runners[5].Leaving = true
		p := startPublisher(t, testRecords(map[string]int{"a": 1}, map[string]int{"a": 1}), runners)
		p.runners.RecordPeerReport("edge-a-0", "runner-a-1", runnerset.PeerReport{NodeLoad: runnerset.NodeLoad{Running: 7, Batch: 3}}, time.Now())
		p.runners.RecordPeerReport("edge-a-0", "runner-a-2", runnerset.PeerReport{NodeLoad: runnerset.NodeLoad{Running: 2}}, time.Now())
		p.runners.RecordPeerReport("edge-a-0", "runner-a-3", runnerset.PeerReport{NodeLoad: runnerset.NodeLoad{Running: 8}}, time.Now())
		p.report("edge-a-0", "runner-a-0", runnerset.NodeLoad{Running: 8}, 3*time.Second)
		digests := p.box.take("edge-a-0:1")
		is.Equal(len(digests[0].Loads), 1)
		load := digests[0].Loads[0]
		is.Equal([]uint32{load.Runners, load.Slots, load.Leaving, load.ContentionPercent}, []uint32{5, 40, 1, 150})
		is.Equal([]uint32{load.Running, load.Batch}, []uint32{8, 0}) // the other reports have expired
		is.Equal(load.ArrivalsPerSecond, 0.3)                        // 22 requests, 2.4 s before
		is.Equal(len(load.Free), 0)                                  // no zone is nearly full
		is.True(digests[1].Sequence == digests[0].Sequence+1 && digests[0].Incarnation == 1)

		for i := range 4 {
			load := runnerset.NodeLoad{Running: 6 + i, Batch: i}
			p.runners.RecordPeerReport("edge-a-0", fmt.Sprint("runner-a-", i+1), runnerset.PeerReport{NodeLoad: load}, time.Now())
		}
		time.Sleep(digestInterval)
		last := p.box.take("edge-a-0:1")
		load = last[len(last)-1].Loads[0]
		is.Equal([]uint32{load.Running, load.Batch}, []uint32{38, 6})
		is.Equal(load.Free[0].Runner, "runner-a-1") // no items in its free slots
		is.Equal(load.Free[0].FreeSlots, uint32(2))
		is.Equal(len(load.Free), maxFreeRunners)
	})
}

// Changed digests are sent every digestInterval, unchanged ones every unchangedInterval,
// and none before the edges' reports can have arrived.
func TestUnchangedDigestsAreSentLessOften(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p := startPublisher(t, testRecords(map[string]int{"a": 1}, map[string]int{"a": 1}), testRunners("a", 2))
		p.report("edge-a-0", "runner-a-0", runnerset.NodeLoad{Running: 1}, 2*time.Second)
		is.Equal(len(p.box.take("edge-a-0:1")), 0)
		p.report("edge-a-0", "runner-a-0", runnerset.NodeLoad{Running: 1}, 4*time.Second) // the arrivals fade
		p.box.take("edge-a-0:1")
		p.report("edge-a-0", "runner-a-0", runnerset.NodeLoad{Running: 1}, 4*time.Second)
		is.Equal(len(p.box.take("edge-a-0:1")), 5)
		for i := range 10 {
			p.runners.RecordPeerReport("edge-a-0", "runner-a-0", runnerset.PeerReport{NodeLoad: runnerset.NodeLoad{Running: 2 + i}}, time.Now())
			time.Sleep(digestInterval)
		}
		is.Equal(len(p.box.take("edge-a-0:1")), 10)
	})
}

// A zone whose edges do not report any more is unknown: without its reports, its runners
// would appear idle. A zone without edges is known while its storage nodes are in contact.
func TestSilentZoneIsLeftOut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		records := testRecords(map[string]int{"a": 1, "b": 1}, map[string]int{"a": 1, "c": 1})
		runners := append(append(testRunners("a", 1), testRunners("b", 2)...), testRunners("c", 3)...)
		p := startPublisher(t, records, runners)
		zones := func() (zones []string) {
			digests := p.box.take("edge-a-0:1")
			for _, load := range digests[len(digests)-1].Loads {
				zones = append(zones, load.Zone)
			}
			return zones
		}
		for range 3 {
			p.directory.RecordContact("disk-c-0", time.Now())
			p.report("edge-b-0", "runner-b-0", runnerset.NodeLoad{Running: 8}, time.Second)
			p.report("edge-a-0", "runner-a-0", runnerset.NodeLoad{Running: 8}, time.Second)
		}
		is.Equal(zones(), []string{"c", "b", "a"}) // the zones with the most runners come first
		p.report("edge-a-0", "runner-a-0", runnerset.NodeLoad{Running: 8}, 3*time.Second)
		is.Equal(zones(), []string{"a"})
	})
}

// A zone is left out if the load of none of its runners is reported to this node, since they
// would appear idle. A zone whose runners all leave is not: its edges need other zones.
func TestZoneWithoutReportedRunnersIsLeftOut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		records := testRecords(map[string]int{"a": 1, "b": 1, "c": 1}, map[string]int{"a": 1})
		runners := append(append(testRunners("a", 1), testRunners("b", 2)...), testRunners("c", 3)...)
		for i := range runners {
			runners[i].Leaving = runners[i].Zone == "c"
		}
		p := startPublisher(t, records, runners)
		p.runners.SetReporting(func(runner *runnerset.Runner) bool { return runner.Zone == "a" })
		for range 4 {
			for _, zone := range []string{"a", "b", "c"} {
				p.runners.RecordPeerReport("edge-"+zone+"-0", "runner-a-0", runnerset.PeerReport{NodeLoad: runnerset.NodeLoad{Running: 2}}, time.Now())
			}
			time.Sleep(time.Second)
		}
		digests := p.box.take("edge-a-0:1")
		var zones []string
		for _, load := range digests[len(digests)-1].Loads {
			zones = append(zones, load.Zone)
		}
		is.Equal(zones, []string{"c", "a"})
	})
}

// Services whose runners do not report contention are left out, and an empty digest is not
// sent.
func TestNoDigestsWithoutContention(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := startPublisherWith(t, testRecords(map[string]int{"a": 1}, map[string]int{"a": 1}), testRunners("a", 1), nil, nil)
		p.report("edge-a-0", "runner-a-0", runnerset.NodeLoad{Running: 1}, 5*time.Second)
		is.New(t).Equal(len(p.box.take("edge-a-0:1")), 0)
	})
}

// Digests contain the tenants of the zone of their receivers, and then the slots of all
// services, since the shares of tenants refer to them.
func TestDigestContainsTenants(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		tenants := func(zone string, _ time.Time) []*wirev1.TenantLoad {
			return []*wirev1.TenantLoad{{Service: "s", Tenant: "tenant of " + zone}}
		}
		p := startPublisherWith(t, testRecords(map[string]int{"a": 1}, map[string]int{"a": 1}), testRunners("a", 1), nil, tenants)
		p.report("edge-a-0", "runner-a-0", runnerset.NodeLoad{Running: 1}, 4*time.Second)
		digest := p.box.take("edge-a-0:1")[0]
		is.Equal(digest.Tenants[0].Tenant, "tenant of a")
		is.Equal(digest.Loads[0].Slots, uint32(8))
		is.Equal(digest.Loads[0].ContentionPercent, uint32(0))
	})
}

// The arrivals of a zone are the requests that its edges start, in any zone; items, reports
// of storage nodes and repeated reports are none.
func TestArrivalsOfZone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		records := testRecords(map[string]int{"a": 1, "b": 1}, map[string]int{"a": 2})
		p := startPublisher(t, records, append(testRunners("a", 1), testRunners("b", 1)...))
		for i := range 100 { // ten a second by an edge of b at a runner of a
			p.runners.RecordPeerReport("edge-a-0", "runner-a-0", runnerset.PeerReport{NodeLoad: runnerset.NodeLoad{Running: 3 + i, Batch: 3 + i}}, time.Now())
			p.runners.RecordPeerReport("disk-a-1", "runner-a-0", runnerset.PeerReport{NodeLoad: runnerset.NodeLoad{Running: i}}, time.Now())
			p.runners.RecordPeerReport("edge-b-0", "runner-a-0", runnerset.PeerReport{NodeLoad: runnerset.NodeLoad{Running: 1 + i%2*4}}, time.Now())
			time.Sleep(200 * time.Millisecond)
		}
		digests := p.box.take("edge-a-0:1")
		for _, load := range digests[len(digests)-1].Loads {
			switch load.Zone {
			case "a":
				is.Equal(load.ArrivalsPerSecond, 0.0)
			case "b":
				is.True(load.ArrivalsPerSecond > 7 && load.ArrivalsPerSecond < 13)
			}
		}
	})
}

// A digest has at most maxServices services with maxZones zones each, and a bounded size.
func TestDigestIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		edges := map[string]int{}
		var runners []runnerset.Record
		for zone := range 20 {
			name := fmt.Sprint("zone", zone)
			edges[name] = 1
			for service := range 20 {
				for i := range 1 + zone/10 {
					runners = append(runners, runnerset.Record{
						ID: fmt.Sprintf("runner-%d-%d-%d", zone, service, i), Service: fmt.Sprint("service", service), Zone: name, Slots: 1,
					})
				}
			}
		}
		p := startPublisher(t, testRecords(edges, map[string]int{"a": 1}), runners)
		for range 4 {
			for zone := range 20 {
				p.runners.RecordPeerReport(fmt.Sprintf("edge-zone%d-0", zone), fmt.Sprintf("runner-%d-0-0", zone), runnerset.PeerReport{NodeLoad: runnerset.NodeLoad{Running: 1}}, time.Now())
			}
			time.Sleep(time.Second)
		}
		digests := p.box.take("edge-zone0-0:1")
		last := digests[len(digests)-1]
		is.Equal(len(last.Loads), maxServices*maxZones)
		is.True(proto.Size(last) < 48<<10)
		larger := 0
		for _, row := range last.Loads[:maxZones] {
			if row.Runners == 2 {
				larger++
			}
		}
		is.Equal(larger, 10) // none of the larger zones is left out
	})
}
