package fairshare

import (
	"sync"
	"time"

	"google.golang.org/protobuf/proto"
	"k8s.io/klog/v2"

	wirev1 "cobaltramp.example/cobaltramp/api/wire/v1"
)

const (
	// reportLifetime is the time after which a report no longer counts.
	reportLifetime = time.Second
	// maxReporters limits the memory use for reports.
	maxReporters = 1024
)

// RecordLister lists the records of the known nodes.
type RecordLister interface {
	Records() []*wirev1.NodeRecord
}

// Sums holds the reports of edges on a storage node and sums them by zone. It is safe for
// concurrent use.
type Sums struct {
	directory RecordLister
	mutex     sync.Mutex
	reports   map[string]*edgeReport // by node id
}

// edgeReport is the newest report of an edge.
type edgeReport struct {
	incarnation, sequence uint64
	receivedAt            time.Time
	loads                 []*wirev1.TenantLoad
}

func (r *edgeReport) expired(now time.Time) bool { return now.Sub(r.receivedAt) > reportLifetime }

// replacedBy reports whether a report is newer. After a restart, the incarnation may be lower
// if the edge's clock was set back, so it only needs to differ once this report has expired.
func (r *edgeReport) replacedBy(report *wirev1.TenantDemandReport, now time.Time) bool {
	if report.Incarnation == r.incarnation {
		return report.Sequence > r.sequence
	}
	return report.Incarnation > r.incarnation || r.expired(now)
}

// NewSums returns sums without reports.
func NewSums(directory RecordLister) *Sums {
	return &Sums{directory: directory, reports: map[string]*edgeReport{}}
}

// ReceiveNotice stores the report of an edge. It logs and ignores a report that cannot be
// decoded.
func (s *Sums) ReceiveNotice(from string, payload []byte) {
	var report wirev1.TenantDemandReport
	if err := proto.Unmarshal(payload, &report); err != nil {
		klog.ErrorS(err, "failed to decode an edge's report of its requests by tenant", "peer", from, "bytes", len(payload))
		return
	}
	s.record(from, &report, time.Now())
}

func (s *Sums) record(from string, report *wirev1.TenantDemandReport, now time.Time) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	known := s.reports[from]
	if known != nil && !known.replacedBy(report, now) {
		return
	}
	if known == nil && len(s.reports) >= maxReporters {
		s.dropExpired(now)
		if len(s.reports) >= maxReporters {
			return
		}
	}
	s.reports[from] = &edgeReport{
		incarnation: report.Incarnation, sequence: report.Sequence, receivedAt: now,
		loads: report.Tenants[:min(len(report.Tenants), maxRows)],
	}
}

// dropExpired drops the expired reports. The caller holds the mutex.
func (s *Sums) dropExpired(now time.Time) {
	for node, report := range s.reports {
		if report.expired(now) {
			delete(s.reports, node)
		}
	}
}

// PeerLost drops the report of an edge whose connections have ended.
func (s *Sums) PeerLost(peer string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	delete(s.reports, peer)
}

// Tenants returns the load of the largest tenants of each service, summed over the edges of a
// zone.
func (s *Sums) Tenants(zone string, now time.Time) []*wirev1.TenantLoad {
	records := s.directory.Records()
	sums := map[tenantKey]*wirev1.TenantLoad{}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for _, record := range records {
		report := s.reports[record.NodeId]
		if record.Zone != zone || report == nil || report.expired(now) {
			continue
		}
		for _, load := range report.loads {
			add(sums, load)
		}
	}
	loads := make([]*wirev1.TenantLoad, 0, len(sums))
	for _, sum := range sums {
		loads = append(loads, sum)
	}
	return largest(loads)
}

// add adds a load to the sum of its key. The unlisted tenants of several edges may be the
// same, so their number is the largest number at one edge.
func add(sums map[tenantKey]*wirev1.TenantLoad, load *wirev1.TenantLoad) {
	key := tenantKey{service: load.Service, tenant: load.Tenant, priority: min(load.Priority, maxPriority)}
	sum := sums[key]
	if sum == nil {
		sum = &wirev1.TenantLoad{Service: key.service, Tenant: key.tenant, Priority: key.priority}
		sums[key] = sum
	}
	sum.InFlight += load.InFlight
	sum.ArrivalsPerSecond = cleanRate(sum.ArrivalsPerSecond + cleanRate(load.ArrivalsPerSecond))
	sum.Tenants = max(sum.Tenants, load.Tenants)
}
