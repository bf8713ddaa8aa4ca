// Package quota divides tenants' limits among the nodes that accept their requests. One node
// acts as the divider of a tenant: about once a second, every node with requests of the tenant
// reports its demand, and the divider replies with the node's share.
//
// While the demands stay the same, the shares of one divider add up to 1 once every node has
// reported again after the first report of the last node. Until then, a node without a share
// admits 1/n of the limit, n being the number of nodes, and a new divider knows only the nodes
// that have reported to it. A tenant may therefore exceed its limit by up to the limit itself
// for one report interval after its traffic has moved, a node has joined, or the divider has
// changed.
//
// The package is pure decision logic. The plain node runs it through modules/callers/quota
// and enforces the shares with package limits. See docs/design/limits.md.
package quota

import "time"

const (
	// evenFraction of a limit is divided evenly, so that a node with new demand gets a share
	// before its demand is known; the rest is divided by demand.
	evenFraction = 0.1
	// reportTTL is how long a demand report counts.
	reportTTL = 3 * time.Second
)

// demandReport is the latest report of a node for a tenant.
type demandReport struct {
	requests   float64
	reportedAt time.Time
}

// Divider keeps the demand reports for the tenants whose limits one node divides. It is not
// safe for concurrent use.
type Divider struct {
	tenants map[string]map[string]demandReport // tenant → node
}

// NewDivider returns a divider without reports.
func NewDivider() *Divider { return &Divider{tenants: map[string]map[string]demandReport{}} }

// Report records the number of requests of a tenant that a node has received since the node's
// last report, and returns the node's share of the tenant's limits, in (0, 1].
func (d *Divider) Report(now time.Time, tenant, node string, requests float64) float64 {
	nodes := d.tenants[tenant]
	if nodes == nil {
		nodes = map[string]demandReport{}
		d.tenants[tenant] = nodes
	}
	nodes[node] = demandReport{requests, now}
	total := 0.0
	for id, report := range nodes {
		if now.Sub(report.reportedAt) > reportTTL {
			delete(nodes, id)
			continue
		}
		total += report.requests
	}
	even := 1 / float64(len(nodes))
	if total <= 0 {
		return even
	}
	return evenFraction*even + (1-evenFraction)*requests/total
}

// RemoveExpired drops reports older than reportTTL and tenants without reports.
func (d *Divider) RemoveExpired(now time.Time) {
	for tenant, nodes := range d.tenants {
		for id, report := range nodes {
			if now.Sub(report.reportedAt) > reportTTL {
				delete(nodes, id)
			}
		}
		if len(nodes) == 0 {
			delete(d.tenants, tenant)
		}
	}
}

// Tenants returns the number of tenants with reports, including expired reports that have not
// been removed yet.
func (d *Divider) Tenants() int { return len(d.tenants) }
