package cluster

import (
	"context"
	"fmt"
	"net"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus"

	wirev1 "cobaltramp.example/cobaltramp/api/wire/v1"
	"cobaltramp.example/cobaltramp/internal/app/eventually"
	"cobaltramp.example/cobaltramp/internal/app/kernel"
	"cobaltramp.example/cobaltramp/internal/cluster/peers"
	"cobaltramp.example/cobaltramp/internal/configuration/catalog"
	"cobaltramp.example/cobaltramp/internal/configuration/settings"
	"cobaltramp.example/cobaltramp/internal/serving/fairshare"
	"cobaltramp.example/cobaltramp/internal/serving/zoneload"
	"cobaltramp.example/cobaltramp/internal/transport/rpc"
)

// shareNode sets up fair shares on a node that listens on a free port.
func shareNode(t *testing.T, name, disk string) (*fairShares, *kernel.Context, *peers.Directory) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	pool, server := rpc.NewPool(name, "c", nil, &rpc.Counters{}), rpc.NewServer(name, "c", &rpc.Counters{})
	directory := peers.NewDirectory(&wirev1.NodeRecord{
		NodeId: name, Address: listener.Addr().String(), Zone: "z", DiskId: disk, Incarnation: 1,
	})
	node, provided := &fairShares{}, &kernel.Context{}
	parts := &nodeParts{
		settings: &settings.Role{Node: name, Zone: "z", DataFolder: disk}, directory: directory, catalogs: catalog.NewHolder(),
		pool: pool, server: server, registry: prometheus.NewRegistry(),
	}
	node.provision(provided, parts, zoneload.NewReceiver("z", prometheus.NewRegistry()))
	server.OnPeerLost(node.peerLost)
	go func() { _ = server.Serve(listener, nil) }()
	t.Cleanup(func() {
		_ = listener.Close()
		pool.Close()
		server.Close()
	})
	return node, provided, directory
}

// The requests of an edge reach the sums of a storage node of its zone, and end there with the
// edge.
func TestRequestsOfEdgeReachStorageNode(t *testing.T) {
	is := is.New(t)
	edge, provided, edgeDirectory := shareNode(t, "edge", "")
	storage, _, storageDirectory := shareNode(t, "storage", "disk")
	edgeDirectory.Put(storageDirectory.Self())
	storageDirectory.Put(edgeDirectory.Self())
	var shares *fairshare.Shares
	is.NoErr(provided.Resolve(kernel.Dependency(&shares)))
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		edge.run(ctx)
		close(ended)
	}()
	shares.Begin("s", "t", 0)
	awaitTenants(t, storage, 1)
	cancel()
	<-ended
	storage.run(ctx) // does nothing on a storage node
	awaitTenants(t, storage, 0)
}

// awaitTenants waits until a storage node has requests of this number of tenants.
func awaitTenants(t *testing.T, storage *fairShares, count int) {
	t.Helper()
	seen := func() any { return storage.tenants("z", time.Now()) }
	eventually.Require(t, fmt.Sprintf("requests of %d tenants at the storage node", count), func() bool {
		return len(storage.tenants("z", time.Now())) == count
	}, seen)
}

// Each storage node that sends digests to an edge receives the reports of all edges of its
// zone. Otherwise its digests would lack tenants, and shares would apply only at times.
func TestSendersOfDigestsReceiveReports(t *testing.T) {
	for _, disks := range []map[string]int{{"a": 3, "b": 3}, {"a": 9, "b": 3}, {"b": 3, "c": 6}} {
		var records []*wirev1.NodeRecord
		for zone, count := range disks {
			for i := range count {
				name := fmt.Sprint("disk-", zone, i)
				records = append(records, &wirev1.NodeRecord{NodeId: name, Address: name, Zone: zone, Region: "r", DiskId: name})
			}
		}
		for i := range 20 {
			name := fmt.Sprint("edge-", i)
			records = append(records, &wirev1.NodeRecord{NodeId: name, Address: name, Zone: "a", Region: "r"})
		}
		for _, edge := range records[len(records)-20:] {
			directory := peers.NewDirectory(edge)
			directory.PutAll(records, "")
			recipients := reportRecipients(directory)
			for _, sender := range zoneload.SendersOf(directory, edge) {
				if !slices.Contains(recipients, sender.Address) {
					t.Errorf("disks %v: %s sends digests to %s and is not among the recipients %v", disks, sender.NodeId, edge.NodeId, recipients)
				}
			}
		}
	}
}
