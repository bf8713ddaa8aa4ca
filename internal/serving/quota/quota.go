// Package quota divides tenants' limits among the nodes that serve their traffic. One node
// acts as the divider of a tenant: about once a second, every node that serves the tenant
// reports its demand, and the divider replies with the node's share.
//
// The shares of one divider add up to 1 once every node has reported. Until then, a node
// that has not reported admits at most 1/n of the limit, and a new divider knows no other
// nodes. A tenant may therefore exceed its limit by up to the limit itself for one report
// interval after its traffic has moved, a node has joined, or the divider has changed.
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

type demand struct {
	value      float64
	reportedAt time.Time
}

// Divider holds the demand of the tenants whose limits one node divides. It is not safe for
// concurrent use.
type Divider struct {
	tenants map[string]map[string]demand // tenant → node
}

// NewDivider returns a divider without reports.
func NewDivider() *Divider { return &Divider{tenants: map[string]map[string]demand{}} }

// Report records a node's demand for a tenant, in requests since the node's last report, and
// returns the node's share of the limits, in (0, 1].
func (d *Divider) Report(now time.Time, tenant, node string, value float64) float64 {
	nodes := d.tenants[tenant]
	if nodes == nil {
		nodes = map[string]demand{}
		d.tenants[tenant] = nodes
	}
	nodes[node] = demand{value, now}
	total := 0.0
	for id, known := range nodes {
		if now.Sub(known.reportedAt) > reportTTL {
			delete(nodes, id)
			continue
		}
		total += known.value
	}
	even := 1 / float64(len(nodes))
	if total <= 0 {
		return even
	}
	return evenFraction*even + (1-evenFraction)*value/total
}

// RemoveExpired drops reports older than reportTTL and tenants without reports.
func (d *Divider) RemoveExpired(now time.Time) {
	for tenant, nodes := range d.tenants {
		for id, known := range nodes {
			if now.Sub(known.reportedAt) > reportTTL {
				delete(nodes, id)
			}
		}
		if len(nodes) == 0 {
			delete(d.tenants, tenant)
		}
	}
}

// Tenants returns the number of tenants with reports.
func (d *Divider) Tenants() int { return len(d.tenants) }
