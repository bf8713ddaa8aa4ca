package peers

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	wirev1 "cobaltramp.example/cobaltramp/api/wire/v1"
)

// largeRecord returns the record of a node of one kind, "edge" or "disk". Nodes are spread
// evenly over the zones by their number.
func largeRecord(kind string, number, zones int) *wirev1.NodeRecord {
	record := &wirev1.NodeRecord{NodeId: fmt.Sprint(kind, "-", number), Address: fmt.Sprint(kind, number), Zone: fmt.Sprint("z", number%zones), Incarnation: 1}
	if kind == "disk" {
		record.DiskId = fmt.Sprint("d", number)
	}
	return record
}

// fleetDirectory returns a node's directory after the records of all nodes were put into it.
func fleetDirectory(self *wirev1.NodeRecord, edges, disks, zones int) *Directory {
	directory := NewDirectory(self)
	for number := range edges {
		directory.Put(largeRecord("edge", number, zones))
	}
	for number := range disks {
		directory.Put(largeRecord("disk", number, zones))
	}
	return directory
}

// In a large fleet a directory keeps only the records of its own zone and of nodes with
// disks; in a smaller one it keeps all records.
func TestLargeFleetKeepsOwnZoneAndDisks(t *testing.T) {
	is := is.New(t)
	small := fleetDirectory(largeRecord("edge", 0, 5), 245, 50, 5)
	is.True(!small.Large())
	is.Equal(small.Count(), 295)
	for times := 1; times <= 2; times++ {
		edges, disks := 835*times, 150*times
		large := fleetDirectory(largeRecord("edge", 0, 5), edges, disks, 5)
		is.True(large.Large())
		is.Equal(large.Count(), edges/5+disks)
		is.Equal(len(large.Disks()), disks)
		for _, partner := range large.RandomPartners(50) {
			is.Equal(partner.Zone, "z0")
		}
	}
}

// The number of calls that a node makes per second does not grow with the size of the
// fleet.
func TestCallRateDoesNotGrowWithFleet(t *testing.T) {
	is := is.New(t)
	for _, times := range []int{1, 2, 4} {
		directory := fleetDirectory(largeRecord("disk", 0, 5), 835*times, 150*times, 5)
		watched := directory.Disks()[:4]
		syncer := &Syncer{Directory: directory, Documents: noDocuments{}, Seeds: []string{"s1", "s2", "s3"}, Watched: func() []*wirev1.NodeRecord { return watched }}
		directory.RequestProbe("disk-7", time.Now())
		calls, elapsed := 0, time.Duration(0)
		for round := range 100 {
			if syncer.syncsWithPeer(round, true) {
				calls++
			}
			calls += len(syncer.seedsToSync(round, true)) + len(syncer.nodesToProbe(round, true))
			elapsed += syncer.interval(round, true)
		}
		perSecond := float64(calls) / elapsed.Seconds()
		t.Logf("%d nodes with disks: %.1f calls a second", 150*times, perSecond)
		is.True(perSecond < 8) // far below one call per node with a disk
	}
}

// The records of all nodes of a zone converge although each node calls only a few
// partners.
func TestRecordsConvergeThroughPartners(t *testing.T) {
	is := is.New(t)
	const nodes = 24
	var fleet []*testPeer
	for number := range nodes {
		p := startPeer(t, fmt.Sprint("n", number), "", 1)
		p.Directory.MarkLarge()
		fleet = append(fleet, p)
	}
	for number, p := range fleet { // each node knows only the next one
		p.Directory.Put(fleet[(number+1)%nodes].Directory.Self())
	}
	same := func() bool {
		for _, p := range fleet {
			if p.Directory.Digest() != fleet[0].Directory.Digest() || p.Directory.Count() != nodes {
				return false
			}
		}
		return true
	}
	rounds := 0
	for ; !same() && rounds < 50; rounds++ {
		for _, p := range fleet {
			p.syncWith(context.Background(), p.peer(true))
		}
	}
	t.Logf("%d rounds for %d nodes", rounds, nodes)
	is.True(same())
	is.True(rounds <= nodes) // the choice of partners is random
	for _, p := range fleet {
		is.True(len(p.partners.addresses) <= partnerCount)
	}
}

// BenchmarkPut measures the cost of one changed record.
func BenchmarkPut(b *testing.B) {
	for _, times := range []int{1, 2} {
		directory := fleetDirectory(largeRecord("edge", 0, 5), 835*times, 150*times, 5)
		b.Run(fmt.Sprint(985*times), func(b *testing.B) {
			for i := 0; b.Loop(); i++ {
				record := largeRecord("edge", 5*(i%100), 5)
				record.Incarnation = uint64(i + 2)
				directory.Put(record)
				directory.Digest()
			}
		})
	}
}
