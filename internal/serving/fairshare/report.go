package fairshare

import (
	"context"
	"slices"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"google.golang.org/protobuf/proto"

	wirev1 "cobaltramp.example/cobaltramp/api/wire/v1"
	"cobaltramp.example/cobaltramp/internal/cluster/notify"
	"cobaltramp.example/cobaltramp/internal/transport/rpc"
)

// repeatInterval is the interval at which unchanged counts are reported again, since a report
// may be lost. It is at most half of reportLifetime.
const repeatInterval = 500 * time.Millisecond

// Reporter reports an edge's counts to storage nodes.
type Reporter struct {
	counter    *Counter
	recipients func() []string
	sender     notify.NoticeSender
	// incarnation returns this node's incarnation, and sequence is the number of the last
	// report.
	incarnation func() uint64
	sequence    uint64
	// sent holds the loads in the last report, and sentAt its time.
	sent    []*wirev1.TenantLoad
	sentAt  time.Time
	reports prometheus.Counter
}

// NewReporter returns a reporter of a counter. recipients returns the addresses of the
// storage nodes to report to.
func NewReporter(
	counter *Counter, recipients func() []string, sender notify.NoticeSender, incarnation func() uint64, registry prometheus.Registerer,
) *Reporter {
	r := &Reporter{
		counter: counter, recipients: recipients, sender: sender, incarnation: incarnation,
		reports: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "cobaltramp_tenant_demand_reports_total", Help: "Reports of this node's requests by tenant, counted once for each receiver.",
		}),
	}
	registry.MustRegister(r.reports)
	return r
}

// Run sends reports until the context ends.
func (r *Reporter) Run(ctx context.Context) {
	ticker := time.NewTicker(reportInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			r.reportIfDue(time.Now())
		}
	}
}

// reportIfDue sends a report if the counts have changed, or again if there are requests. An
// edge that becomes idle sends one empty report.
func (r *Reporter) reportIfDue(now time.Time) {
	loads := largest(r.counter.advance(now))
	changed := !slices.EqualFunc(loads, r.sent, func(a, b *wirev1.TenantLoad) bool { return proto.Equal(a, b) })
	repeated := len(loads) > 0 && now.Sub(r.sentAt) >= repeatInterval
	if !changed && !repeated {
		return
	}
	addresses := r.recipients()
	if len(addresses) == 0 {
		return
	}
	r.sequence++
	r.sent, r.sentAt = loads, now
	r.reports.Add(float64(len(addresses)))
	r.sender.NotifyAll(addresses, rpc.ClassControl, wirev1.Method_METHOD_TENANT_DEMAND, &wirev1.TenantDemandReport{
		Incarnation: r.incarnation(), Sequence: r.sequence, Tenants: loads,
	})
}
