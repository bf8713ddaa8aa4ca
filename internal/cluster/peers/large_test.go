package peers

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	wirev1 "cobaltramp.example/cobaltramp/api/wire/v1"
)

func largeRecord(kind string, number, zones int) *wirev1.NodeRecord {
	record := &wirev1.NodeRecord{NodeId: fmt.Sprint(kind, "-", number), Address: fmt.Sprint(kind, number), Zone: fmt.Sprint("z", number%zones), Incarnation: 1}
	if kind == "disk" {
		record.DiskId = fmt.Sprint("d", number)
	}
	return record
}

// fleetDirectory is what a node comes to hold that got the records of all nodes.
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

// In a large fleet a node holds the records of its zone and of the nodes with disks,
// whatever it gets; in others it holds all.
func TestRecordsHeldFollowTheZone(t *testing.T) {
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
		for _, partner := range large.Partners(50) {
			is.Equal(partner.Zone, "z0")
		}
	}
}

// What a node asks of others does not grow with the fleet: one peer a round, and of
// the nodes with disks those whose life it has to know of.
func TestQuestionsDoNotGrowWithTheFleet(t *testing.T) {
	is := is.New(t)
	for _, times := range []int{1, 2, 4} {
		directory := fleetDirectory(largeRecord("disk", 0, 5), 835*times, 150*times, 5)
		watched := directory.Disks()[:4]
		syncer := &Syncer{Directory: directory, Documents: noDocuments{}, Seeds: []string{"s1", "s2", "s3"}, Watched: func() []*wirev1.NodeRecord { return watched }}
		directory.RequestProbe("disk-7", time.Now())
		calls, waited := 0, time.Duration(0)
		for round := range 100 {
			if syncer.asksPeer(round, true) {
				calls++
			}
			calls += len(syncer.seedsToAsk(round, true)) + len(syncer.disksToAsk(round, true))
			waited += syncer.interval(round, true)
		}
		perSecond := float64(calls) / waited.Seconds()
		t.Logf("%d nodes with disks: %.1f questions a second", 150*times, perSecond)
		is.True(perSecond < 8) // all pairs were 149 at once the fleet's size
	}
}

// Nodes of one zone come to hold the same records of it by few partners each, and a
// record that changes reaches all; how much a question and its answer carry follows
// what differs.
func TestPartnersSpreadRecords(t *testing.T) {
	is := is.New(t)
	const nodes = 24
	var fleet []*testPeer
	for number := range nodes {
		p := startPeer(t, fmt.Sprint("n", number), "", 1)
		p.Directory.MarkLarge()
		fleet = append(fleet, p)
	}
	for number, p := range fleet { // each knows the next one
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
			p.ask(context.Background(), p.peer(true))
		}
	}
	t.Logf("%d rounds for %d nodes", rounds, nodes)
	is.True(same())
	is.True(rounds <= nodes) // who asks whom is drawn
	for _, p := range fleet {
		is.True(len(p.partners.addresses) <= partnerCount)
	}
}

// BenchmarkPut is what one changed record costs a node.
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
