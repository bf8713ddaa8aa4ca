package fairshare

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	wirev1 "cobaltramp.example/cobaltramp/api/wire/v1"
)

// edges are the records of two edges of zone z and one of zone y.
type edges struct{}

func (edges) Records() []*wirev1.NodeRecord {
	return []*wirev1.NodeRecord{{NodeId: "e1", Zone: "z"}, {NodeId: "e2", Zone: "z"}, {NodeId: "e3", Zone: "y"}}
}

func reportOf(incarnation, sequence uint64, inFlight uint32) *wirev1.TenantDemandReport {
	return &wirev1.TenantDemandReport{Incarnation: incarnation, Sequence: sequence, Tenants: []*wirev1.TenantLoad{
		{Service: "s", Tenant: "t", InFlight: inFlight, ArrivalsPerSecond: 2},
	}}
}

// inFlight returns the sum of zone z.
func inFlight(sums *Sums, now time.Time) uint32 {
	total := uint32(0)
	for _, load := range sums.Tenants("z", now) {
		total += load.InFlight
	}
	return total
}

// Only reports of the zone's edges count, and one that cannot be decoded does not replace the
// edge's last one.
func TestReportsAreSummedByZone(t *testing.T) {
	is := is.New(t)
	sums := NewSums(edges{})
	for i, node := range []string{"e1", "e2", "e3", "stranger"} {
		payload, err := proto.Marshal(reportOf(1, 1, uint32(i+1)))
		is.NoErr(err)
		sums.ReceiveNotice(node, payload)
	}
	sums.ReceiveNotice("e1", []byte("not a report"))
	loads := sums.Tenants("z", time.Now())
	is.Equal(len(loads), 1)
	is.Equal(loads[0].InFlight, uint32(3))
	is.Equal(loads[0].ArrivalsPerSecond, 4.0)
	is.Equal(len(sums.Tenants("x", time.Now())), 0)
}

// Old and repeated reports change nothing, and a lost one is made up for by the next.
func TestReportsAreOrdered(t *testing.T) {
	is := is.New(t)
	sums := NewSums(edges{})
	for _, test := range []struct {
		report *wirev1.TenantDemandReport
		sum    uint32
	}{
		{reportOf(5, 1, 4), 4}, {reportOf(5, 3, 6), 6}, {reportOf(5, 2, 9), 6}, {reportOf(5, 3, 9), 6}, // late, repeated
		{reportOf(6, 1, 2), 2}, {reportOf(5, 4, 9), 2}, // restarted, late from before the restart
	} {
		sums.record("e1", test.report, start)
		is.Equal(inFlight(sums, start), test.sum)
	}
}

// Reports end with their lifetime or with the edge's connections. An edge that restarts with
// its clock set back is heard once the old report has expired.
func TestReportsEnd(t *testing.T) {
	is := is.New(t)
	sums := NewSums(edges{})
	sums.record("e1", reportOf(5, 9, 4), start)
	is.Equal(inFlight(sums, start.Add(reportLifetime)), uint32(4))
	is.Equal(inFlight(sums, start.Add(reportLifetime+1)), uint32(0))
	sums.record("e1", reportOf(3, 1, 2), start)
	is.Equal(inFlight(sums, start), uint32(4))
	sums.record("e1", reportOf(3, 1, 2), start.Add(2*reportLifetime))
	is.Equal(inFlight(sums, start.Add(2*reportLifetime)), uint32(2))
	sums.PeerLost("e1")
	is.Equal(inFlight(sums, start.Add(2*reportLifetime)), uint32(0))
}

// Whatever edges report, the sums are those of the newest reports, in a bounded number of
// loads.
func TestSumsOfArbitraryReports(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sums := NewSums(edges{})
		newest := map[string]*wirev1.TenantDemandReport{}
		for range rapid.IntRange(0, 30).Draw(t, "reports") {
			node := rapid.SampledFrom([]string{"e1", "e2"}).Draw(t, "node")
			report := reportOf(1, rapid.Uint64Range(1, 9).Draw(t, "sequence"), rapid.Uint32Range(0, 100).Draw(t, "in flight"))
			report.Tenants[0].ArrivalsPerSecond = rapid.Float64().Draw(t, "arrivals")
			report.Tenants[0].Priority = rapid.Uint32().Draw(t, "priority")
			sums.record(node, report, start)
			if newest[node] == nil || newest[node].Sequence < report.Sequence {
				newest[node] = report
			}
		}
		expected := uint32(0)
		for _, report := range newest {
			expected += report.Tenants[0].InFlight
		}
		if sum := inFlight(sums, start); sum != expected {
			t.Fatalf("%d in flight, reported are %d", sum, expected)
		}
		for _, load := range sums.Tenants("z", start) {
			if load.ArrivalsPerSecond != cleanRate(load.ArrivalsPerSecond) {
				t.Fatalf("%v arrivals a second", load.ArrivalsPerSecond)
			}
		}
	})
}
