package cluster

import (
	"context"
	"time"

	wirev1 "cobaltramp.example/cobaltramp/api/wire/v1"
	"cobaltramp.example/cobaltramp/internal/app/kernel"
	"cobaltramp.example/cobaltramp/internal/app/tasks"
	"cobaltramp.example/cobaltramp/internal/cluster/peers"
	"cobaltramp.example/cobaltramp/internal/serving/fairshare"
	"cobaltramp.example/cobaltramp/internal/serving/zoneload"
)

// fairShares runs the fair division of slots among tenants on one node: an edge counts and
// reports its requests, a storage node sums the reports. The zero value does nothing.
type fairShares struct {
	// shares and reporter are set on edges, sums on storage nodes.
	shares   *fairshare.Shares
	reporter *fairshare.Reporter
	sums     *fairshare.Sums
	// tenants returns the tenants' load in a zone for the digests that a storage node sends;
	// nil on edges.
	tenants func(zone string, now time.Time) []*wirev1.TenantLoad
}

// provision sets up the part of an edge or of a storage node. On an edge it provides the
// *fairshare.Shares. digests are the digests that an edge receives; unused on a storage node.
func (f *fairShares) provision(ctx *kernel.Context, node *nodeParts, digests fairshare.DigestSource) {
	if node.settings.DataFolder != "" {
		f.sums = fairshare.NewSums(node.directory)
		f.tenants = f.sums.Tenants
		node.server.HandleNotice(wirev1.Method_METHOD_TENANT_DEMAND, f.sums.ReceiveNotice)
		return
	}
	counter := fairshare.NewCounter(time.Now())
	recipients := func() []string { return reportRecipients(node.directory) }
	incarnation := func() uint64 { return node.directory.Self().Incarnation }
	f.reporter = fairshare.NewReporter(counter, recipients, node.pool, incarnation, node.registry)
	f.shares = fairshare.NewShares(node.settings.Zone, counter, digests, fairshare.WeightIn(node.catalogs), node.registry)
	ctx.Provide(f.shares)
}

// reportRecipients returns the addresses of the storage nodes to which this edge reports: all
// nodes that send digests to edges of its zone, since each sums the reports of the whole zone.
func reportRecipients(directory *peers.Directory) []string {
	self := directory.Self()
	var addresses []string
	for _, record := range zoneload.ZoneSenders(directory, self.Zone, self.Region) {
		addresses = append(addresses, record.Address)
	}
	return addresses
}

// peerLost drops the report of an edge whose connections have ended.
func (f *fairShares) peerLost(peer string) {
	if f.sums != nil {
		f.sums.PeerLost(peer)
	}
}

// run reports this node's requests and follows the digests until the context ends.
func (f *fairShares) run(ctx context.Context) {
	if f.reporter == nil {
		return
	}
	var running tasks.Group
	running.Go(func() { f.reporter.Run(ctx) })
	running.Go(func() { f.shares.Run(ctx) })
	running.Wait()
}
