package zoneload

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"google.golang.org/protobuf/proto"

	wirev1 "cobaltramp.example/cobaltramp/api/wire/v1"
	"cobaltramp.example/cobaltramp/internal/cluster/notify"
	"cobaltramp.example/cobaltramp/internal/cluster/subset"
	"cobaltramp.example/cobaltramp/internal/serving/runnerset"
	"cobaltramp.example/cobaltramp/internal/transport/rpc"
)

const (
	// digestInterval is the interval at which changed digests are sent.
	digestInterval = 200 * time.Millisecond
	// unchangedInterval is the interval at which unchanged digests are sent. It is below
	// digestLifetime.
	unchangedInterval = 4 * digestInterval
	// receiversInterval is the interval at which the receivers are computed.
	receiversInterval = time.Second
	// reportLifetime is how long a zone is known after a report of one of its edges. Edges
	// with requests repeat their reports each second, so one repetition may be lost. For
	// the same time after its start, a storage node lacks reports and sends no digest.
	reportLifetime = 2500 * time.Millisecond
)

// Publisher sends the digests of a storage node to edges.
type Publisher struct {
	directory Directory
	runners   *runnerset.Set
	sender    notify.NoticeSender
	notices   prometheus.Counter
	// Contention returns the contention of a runner; nil: not reported. It is set before
	// Run.
	Contention RunnerContention
	// Tenants returns the largest tenants in a zone, for the digests to the edges there;
	// nil: none. It is set before Run.
	Tenants func(zone string, now time.Time) []*wirev1.TenantLoad

	// mutex guards the fields below.
	mutex    sync.Mutex
	arrivals arrivals
	// heard is when the last report of an edge of each zone arrived.
	heard map[string]time.Time
	// edgeZones holds the zone of each edge, by its ID.
	edgeZones map[string]string

	// The fields below are used only by Run.
	started, updatedAt, receiversAt time.Time
	receivers                       []receivers
	sequence                        uint64
	// sent holds the last digest to the edges of each zone.
	sent map[string]sentDigest
}

type sentDigest struct {
	digest *wirev1.ZoneLoadDigest // without incarnation and sequence
	at     time.Time
}

// NewPublisher returns a publisher, subscribes it to the reports of other nodes, and
// registers its metric.
func NewPublisher(directory Directory, runners *runnerset.Set, sender notify.NoticeSender, registry prometheus.Registerer) *Publisher {
	p := &Publisher{
		directory: directory, runners: runners, sender: sender,
		heard: map[string]time.Time{}, edgeZones: map[string]string{}, sent: map[string]sentDigest{},
		notices: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "cobaltramp_zone_digests_sent_total", Help: "Digests of the load of zones that this node has sent to edges.",
		}),
	}
	registry.MustRegister(p.notices)
	runners.OnPeerReport(func(peer string, runner *runnerset.Runner, started int) {
		p.recordReport(peer, runner.Service, started, time.Now())
	})
	return p
}

// recordReport records that an edge has reported, and that it has started requests. Reports
// of storage nodes are ignored.
func (p *Publisher) recordReport(peer, service string, started int, now time.Time) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	zone, isEdge := p.edgeZones[peer]
	if !isEdge {
		return
	}
	p.heard[zone] = now
	p.arrivals.add(subset.ServiceZone{Service: service, Zone: zone}, started)
}

// Run sends digests until the context ends.
func (p *Publisher) Run(ctx context.Context) {
	ticker := time.NewTicker(digestInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			p.publish(time.Now())
		}
	}
}

// publish sends the digests that are due.
func (p *Publisher) publish(now time.Time) {
	if p.started.IsZero() {
		p.started, p.updatedAt = now, now
	}
	if p.receiversAt.IsZero() || now.Sub(p.receiversAt) >= receiversInterval {
		p.updateReceivers(now)
	}
	tenants := p.tenantsByZone(now)
	loads := p.loads(now, servicesOf(tenants))
	if now.Sub(p.started) < reportLifetime {
		return
	}
	for _, group := range p.receivers {
		p.sendIfDue(group, &wirev1.ZoneLoadDigest{Loads: loads, Tenants: tenants[group.zone]}, now)
	}
}

// tenantsByZone returns the largest tenants in the zones of the receivers.
func (p *Publisher) tenantsByZone(now time.Time) map[string][]*wirev1.TenantLoad {
	tenants := map[string][]*wirev1.TenantLoad{}
	if p.Tenants == nil {
		return tenants
	}
	for _, group := range p.receivers {
		tenants[group.zone] = p.Tenants(group.zone, now)
	}
	return tenants
}

// servicesOf returns the services that tenants use.
func servicesOf(tenantsByZone map[string][]*wirev1.TenantLoad) map[string]bool {
	services := map[string]bool{}
	for _, tenants := range tenantsByZone {
		for _, tenant := range tenants {
			services[tenant.Service] = true
		}
	}
	return services
}

// sendIfDue sends a digest if it has changed or was last sent unchangedInterval ago. An
// empty digest is not sent.
func (p *Publisher) sendIfDue(group receivers, digest *wirev1.ZoneLoadDigest, now time.Time) {
	if len(digest.Loads) == 0 && len(digest.Tenants) == 0 {
		return
	}
	last := p.sent[group.zone]
	if proto.Equal(last.digest, digest) && now.Sub(last.at) < unchangedInterval {
		return
	}
	p.sent[group.zone] = sentDigest{digest, now}
	p.sequence++
	message := &wirev1.ZoneLoadDigest{
		Incarnation: p.directory.Self().Incarnation, Sequence: p.sequence, Loads: digest.Loads, Tenants: digest.Tenants,
	}
	p.notices.Add(float64(len(group.addresses)))
	p.sender.NotifyAll(group.addresses, rpc.ClassControl, wirev1.Method_METHOD_ZONE_LOAD, message)
}

// updateReceivers computes the edges that receive digests from this node.
func (p *Publisher) updateReceivers(now time.Time) {
	p.receivers, p.receiversAt = receiversOf(p.directory), now
	edgeZones := map[string]string{}
	for _, record := range p.directory.Records() {
		if record.DiskId == "" {
			edgeZones[record.NodeId] = record.Zone
		}
	}
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.edgeZones = edgeZones
	for zone, at := range p.heard {
		if now.Sub(at) >= reportLifetime {
			delete(p.heard, zone)
		}
	}
}

// loads returns the loads of all services in the known zones, within the limits of a
// digest: the services and the zones with the most runners. Services whose runners do not
// report contention are left out unless tenants use them, since nothing else needs them.
func (p *Publisher) loads(now time.Time, usedByTenants map[string]bool) []*wirev1.ServiceZoneLoad {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.arrivals.update(now.Sub(p.updatedAt))
	p.updatedAt = now
	known := p.knownZones(now)
	var rows []*wirev1.ServiceZoneLoad
	for _, service := range largestServices(p.runners.Counts().ByService) {
		zones := sumService(p.runners, service, p.Contention, now)
		balanced := slices.ContainsFunc(zones, (*zoneSums).reportsContention)
		if !balanced && !usedByTenants[service] {
			continue
		}
		zones = slices.DeleteFunc(zones, func(sums *zoneSums) bool { return !known[sums.zone] || sums.unreported() })
		slices.SortFunc(zones, func(a, b *zoneSums) int {
			return cmp.Or(cmp.Compare(b.listed, a.listed), cmp.Compare(a.zone, b.zone))
		})
		withFree := balanced && slices.ContainsFunc(zones, (*zoneSums).filling)
		scale := arrivalScale(zones)
		for _, sums := range zones[:min(maxZones, len(zones))] {
			perSecond := scale * p.arrivals.perSecond(subset.ServiceZone{Service: service, Zone: sums.zone})
			rows = append(rows, sums.row(service, perSecond, withFree))
		}
	}
	return rows
}

// largestServices returns the names of the services with the most runners.
func largestServices(runners map[string]int) []string {
	names := slices.SortedFunc(maps.Keys(runners), func(a, b string) int {
		return cmp.Or(cmp.Compare(runners[b], runners[a]), cmp.Compare(a, b))
	})
	return names[:min(maxServices, len(names))]
}

// arrivalScale returns the factor from the arrivals at reported runners to those at all
// runners of a service.
func arrivalScale(zones []*zoneSums) float64 {
	accepting, reported := 0, 0
	for _, sums := range zones {
		accepting += sums.accepting
		reported += sums.reported
	}
	return float64(accepting) / float64(max(1, reported))
}

// knownZones returns the zones from which this node has heard recently. Without reports of
// its edges, the runners of a zone would appear idle. A zone without edges is known while
// this node is in contact with a storage node there. The caller holds the mutex.
func (p *Publisher) knownZones(now time.Time) map[string]bool {
	known, withEdges := map[string]bool{}, map[string]bool{}
	for _, zone := range p.edgeZones {
		withEdges[zone] = true
	}
	for zone, at := range p.heard {
		if now.Sub(at) < reportLifetime {
			known[zone] = true
		}
	}
	for _, record := range p.directory.Disks() {
		if !withEdges[record.Zone] && p.directory.InContactWithin(record.NodeId, now, reportLifetime) {
			known[record.Zone] = true
		}
	}
	return known
}
