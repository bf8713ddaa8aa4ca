package cluster

import (
	"github.com/prometheus/client_golang/prometheus"

	wirev1 "cobaltramp.example/cobaltramp/api/wire/v1"
	"cobaltramp.example/cobaltramp/internal/app/kernel"
	"cobaltramp.example/cobaltramp/internal/cluster/peers"
	"cobaltramp.example/cobaltramp/internal/configuration/settings"
	"cobaltramp.example/cobaltramp/internal/serving/runnerset"
	"cobaltramp.example/cobaltramp/internal/serving/zoneload"
	"cobaltramp.example/cobaltramp/internal/transport/rpc"
)

// zoneLoadInputs are the dependencies of the exchange of the load of zones.
type zoneLoadInputs struct {
	settings  *settings.Role
	directory *peers.Directory
	runners   *runnerset.Set
	pool      *rpc.Pool
	server    *rpc.Server
	registry  prometheus.Registerer
}

// provisionZoneLoad creates the publisher of digests on a storage node, or the receiver on
// an edge, which it provides to other modules and returns. It does nothing, and returns nil,
// unless zones are balanced or tenants have fair shares.
func (m *Module) provisionZoneLoad(ctx *kernel.Context, inputs *zoneLoadInputs) *zoneload.Receiver {
	routing := inputs.settings.Routing
	if !routing.BalanceZones && !routing.FairTenantShares {
		return nil
	}
	if inputs.settings.DataFolder != "" {
		m.publisher = zoneload.NewPublisher(inputs.directory, inputs.runners, inputs.pool, inputs.registry)
		if routing.BalanceZones {
			m.publisher.Contention = (*runnerset.Runner).Contention
		}
		return nil
	}
	receiver := zoneload.NewReceiver(inputs.settings.Zone, inputs.registry)
	if routing.BalanceZones {
		receiver.Balance(inputs.runners.Latency)
	}
	inputs.server.HandleNotice(wirev1.Method_METHOD_ZONE_LOAD, receiver.ReceiveNotice)
	ctx.Provide(receiver)
	return receiver
}
