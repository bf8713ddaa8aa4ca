package cluster

import (
	"time"

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
// an edge, and provides it to other modules. It does nothing unless zones are balanced.
func (m *Module) provisionZoneLoad(ctx *kernel.Context, inputs *zoneLoadInputs) {
	if !inputs.settings.Routing.BalanceZones {
		return
	}
	if inputs.settings.DataFolder != "" {
		m.publisher = zoneload.NewPublisher(inputs.directory, inputs.runners, inputs.pool, inputs.registry)
		m.publisher.Contention = contentionOf
		ctx.Provide(m.publisher)
		return
	}
	receiver := zoneload.NewReceiver(inputs.settings.Zone, inputs.registry)
	receiver.Balance(inputs.runners.Latency)
	inputs.server.HandleNotice(wirev1.Method_METHOD_ZONE_LOAD, receiver.ReceiveNotice)
	ctx.Provide(receiver)
}

// contentionOf returns the contention of a runner, and whether the runner reports it.
//
// TODO(issue 47): return runner.Contention(now) when runnerset keeps the contention of
// runners. Until then no service is balanced.
func contentionOf(*runnerset.Runner, time.Time) (value float64, reported bool) { return 1, false }
