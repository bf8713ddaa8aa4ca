package cluster

import (
	"github.com/prometheus/client_golang/prometheus"

	wirev1 "cobaltramp.example/cobaltramp/api/wire/v1"
	"cobaltramp.example/cobaltramp/internal/app/kernel"
	"cobaltramp.example/cobaltramp/internal/cluster/peers"
	"cobaltramp.example/cobaltramp/internal/configuration/catalog"
	"cobaltramp.example/cobaltramp/internal/configuration/settings"
	"cobaltramp.example/cobaltramp/internal/serving/runnerset"
	"cobaltramp.example/cobaltramp/internal/serving/zoneload"
	"cobaltramp.example/cobaltramp/internal/transport/rpc"
)

// nodeParts are the parts of a node that its reports, the exchange of the load of zones, and
// fair shares of the slots use.
type nodeParts struct {
	settings  *settings.Role
	directory *peers.Directory
	runners   *runnerset.Set
	catalogs  *catalog.Holder
	pool      *rpc.Pool
	server    *rpc.Server
	registry  prometheus.Registerer
}

// provisionRouting sets up the exchange of the load of zones and fair shares of the slots, if
// the settings enable them.
func (m *Module) provisionRouting(ctx *kernel.Context, node *nodeParts) {
	receiver := m.provisionZoneLoad(ctx, node)
	if node.settings.Routing.FairTenantShares {
		m.fairShares.provision(ctx, node, receiver)
	}
	if m.publisher != nil {
		m.publisher.Tenants = m.fairShares.tenants
	}
}

// provisionZoneLoad creates the publisher of digests on a storage node, or the receiver on
// an edge, which it provides to other modules and returns. It does nothing, and returns nil,
// unless zones are balanced or tenants have fair shares.
func (m *Module) provisionZoneLoad(ctx *kernel.Context, node *nodeParts) *zoneload.Receiver {
	routing := node.settings.Routing
	if !routing.BalanceZones && !routing.FairTenantShares {
		return nil
	}
	if node.settings.DataFolder != "" {
		m.publisher = zoneload.NewPublisher(node.directory, node.runners, node.pool, node.registry)
		if routing.BalanceZones {
			m.publisher.Contention = (*runnerset.Runner).Contention
		}
		return nil
	}
	receiver := zoneload.NewReceiver(node.settings.Zone, node.registry)
	if routing.BalanceZones {
		receiver.Balance(node.runners.Latency)
	}
	node.server.HandleNotice(wirev1.Method_METHOD_ZONE_LOAD, receiver.ReceiveNotice)
	ctx.Provide(receiver)
	return receiver
}
