package fairshare

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"google.golang.org/protobuf/proto"

	wirev1 "cobaltramp.example/cobaltramp/api/wire/v1"
	"cobaltramp.example/cobaltramp/internal/cluster/notify"
	"cobaltramp.example/cobaltramp/internal/cluster/ownership"
	"cobaltramp.example/cobaltramp/internal/transport/rpc"
)

const (
	// repeatInterval is the interval at which unchanged counts are reported again, since a
	// report may be lost. It is at most half of reportLifetime.
	repeatInterval = 500 * time.Millisecond
	// maxRecipients is the largest number of storage nodes of its zone to which an edge
	// reports, and maxOtherRecipients that of other zones.
	maxRecipients      = 4
	maxOtherRecipients = 2
)

// Reporter reports an edge's counts to storage nodes.
type Reporter struct {
	counter    *Counter
	recipients func() []string
	sender     notify.NoticeSender
	// incarnation of this process, and the number of the last report in it.
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
			Name: "cobaltramp_tenant_demand_reports_total", Help: "Reports of this node's requests by tenant, by receiver.",
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

// Recipients returns the addresses of the storage nodes to which an edge reports: those of
// its zone, or of other zones if its zone has none. All edges of a zone report to the same
// nodes, so that each of them can sum the requests of the whole zone.
func Recipients(records []*wirev1.NodeRecord, zone string) []string {
	var near, far []*wirev1.NodeRecord
	for _, record := range records {
		switch {
		case record.DiskId == "" || record.Leaving:
		case record.Zone == zone:
			near = append(near, record)
		default:
			far = append(far, record)
		}
	}
	if len(near) > 0 {
		return topAddresses(near, zone, maxRecipients)
	}
	return topAddresses(far, zone, maxOtherRecipients)
}

// topAddresses returns the addresses of the nodes with the highest rendezvous weights.
func topAddresses(records []*wirev1.NodeRecord, key string, count int) []string {
	slices.SortFunc(records, func(a, b *wirev1.NodeRecord) int {
		return cmp.Or(cmp.Compare(ownership.NodeWeight(key, b.NodeId), ownership.NodeWeight(key, a.NodeId)), cmp.Compare(a.NodeId, b.NodeId))
	})
	var addresses []string
	for _, record := range records[:min(len(records), count)] {
		addresses = append(addresses, record.Address)
	}
	return addresses
}
