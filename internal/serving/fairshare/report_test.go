package fairshare

import (
	"fmt"
	"testing"

	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	wirev1 "cobaltramp.example/cobaltramp/api/wire/v1"
	"cobaltramp.example/cobaltramp/internal/transport/rpc"
)

// sentReports records the reports that a reporter sends.
type sentReports struct{ reports []*wirev1.TenantDemandReport }

func (s *sentReports) NotifyAll(_ []string, _ rpc.Class, _ wirev1.Method, message proto.Message) {
	s.reports = append(s.reports, message.(*wirev1.TenantDemandReport))
}

func reporterOf(counter *Counter, sender *sentReports) *Reporter {
	recipients := func() []string { return []string{"storage"} }
	return NewReporter(counter, recipients, sender, func() uint64 { return 7 }, prometheus.NewRegistry())
}

// Changes are reported at the next interval, and unchanged counts twice a second, so that
// one lost report does not make them expire. An idle edge sends nothing.
func TestReportTimes(t *testing.T) {
	is := is.New(t)
	counter, sender := NewCounter(start), &sentReports{}
	reporter := reporterOf(counter, sender)
	now := start
	intervals := func(count int) (reports int) {
		before := len(sender.reports)
		for range count {
			now = now.Add(reportInterval)
			reporter.reportIfDue(now)
		}
		return len(sender.reports) - before
	}
	is.Equal(intervals(8), 0)
	end := counter.begin(keyOf("s", "t", 0))
	is.Equal(intervals(1), 1)
	intervals(3) // the arrival leaves the window
	is.Equal(intervals(8), 4)
	end()
	is.Equal(intervals(8), 1)
	last := sender.reports[len(sender.reports)-1]
	is.Equal(len(last.Tenants), 0)
	is.Equal(last.Sequence, uint64(len(sender.reports)))
	is.Equal(last.Incarnation, uint64(7))
}

// A report lists the largest tenants and keeps the sums, whatever the number of services,
// tenants and priorities.
func TestReportSizeIsBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var loads []*wirev1.TenantLoad
		inFlight := uint32(0)
		services := rapid.IntRange(1, maxServices).Draw(t, "services")
		for i := range rapid.IntRange(0, 300).Draw(t, "loads") {
			load := &wirev1.TenantLoad{
				Service: fmt.Sprint("s", i%services), Tenant: fmt.Sprint("t", i), Priority: uint32(i % (maxPriority + 1)),
				InFlight: rapid.Uint32Range(0, 50).Draw(t, "in flight"),
			}
			loads, inFlight = append(loads, load), inFlight+load.InFlight
		}
		listed := largest(loads)
		if len(listed) > maxRows {
			t.Fatalf("%d loads", len(listed))
		}
		smallest := map[string]uint32{}
		for _, load := range listed {
			inFlight -= load.InFlight
			if load.Tenant != "" {
				smallest[load.Service] = load.InFlight // listed by descending size
			} else if load.InFlight > smallest[load.Service]*load.Tenants {
				t.Fatal("an unlisted tenant is larger than a listed one")
			}
		}
		if inFlight != 0 {
			t.Fatalf("%d requests are missing in the sums", inFlight)
		}
	})
}
