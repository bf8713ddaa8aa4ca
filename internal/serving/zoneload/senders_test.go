package zoneload

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	wirev1 "cobaltramp.example/cobaltramp/api/wire/v1"
	"cobaltramp.example/cobaltramp/internal/cluster/peers"
)

// testRecords returns the records of the given numbers of edges and storage nodes in each
// zone.
func testRecords(edges, disks map[string]int) []*wirev1.NodeRecord {
	var records []*wirev1.NodeRecord
	for zone, count := range edges {
		for i := range count {
			name := fmt.Sprintf("edge-%s-%d", zone, i)
			records = append(records, &wirev1.NodeRecord{NodeId: name, Address: name + ":1", Zone: zone, Region: "r", Incarnation: 1})
		}
	}
	for zone, count := range disks {
		for i := range count {
			name := fmt.Sprintf("disk-%s-%d", zone, i)
			records = append(records, &wirev1.NodeRecord{NodeId: name, Address: name + ":1", Zone: zone, Region: "r", DiskId: name, Incarnation: 1})
		}
	}
	return records
}

// directoryOf returns the directory of one of the nodes.
func directoryOf(self string, records []*wirev1.NodeRecord) *peers.Directory {
	var directory *peers.Directory
	for _, record := range records {
		if record.NodeId == self {
			directory = peers.NewDirectory(record)
		}
	}
	for _, record := range records {
		directory.Put(record)
	}
	return directory
}

func recordOf(node string, records []*wirev1.NodeRecord) *wirev1.NodeRecord {
	for _, record := range records {
		if record.NodeId == node {
			return record
		}
	}
	return nil
}

func zonesOf(records []*wirev1.NodeRecord) []string {
	var zones []string
	for _, record := range records {
		zones = append(zones, record.Zone)
	}
	return zones
}

// The senders of an edge are two storage nodes of its zone; another one takes over when a
// sender is unresponsive, and storage nodes of other zones when there is none in the zone.
// An edge that reaches no storage node keeps its senders.
func TestSendersOfEdge(t *testing.T) {
	is := is.New(t)
	records := testRecords(map[string]int{"a": 1, "b": 1}, map[string]int{"a": 3, "b": 2})
	directory := directoryOf("edge-a-0", records)
	edge := recordOf("edge-a-0", records)
	first := SendersOf(directory, edge)
	is.Equal(zonesOf(first), []string{"a", "a"})

	directory.RecordUnresponsive(first[0].Address, time.Now())
	second := SendersOf(directory, edge)
	is.Equal(zonesOf(second), []string{"a", "a"})
	is.Equal(second[0].NodeId, first[1].NodeId) // the order is that of the weights

	for i := range 3 {
		directory.RecordUnresponsive(fmt.Sprintf("disk-a-%d:1", i), time.Now())
	}
	is.Equal(zonesOf(SendersOf(directory, edge)), []string{"b", "b"})
	for i := range 2 {
		directory.RecordUnresponsive(fmt.Sprintf("disk-b-%d:1", i), time.Now())
	}
	is.Equal(SendersOf(directory, edge), first)
	is.Equal(len(SendersOf(directoryOf("edge-a-0", testRecords(map[string]int{"a": 1}, nil)), edge)), 0)
}

// The senders of a zone's edges are a limited number of storage nodes of the zone, without
// leaving ones. The edges of a zone without storage nodes all have the same senders.
func TestSendersOfZone(t *testing.T) {
	is := is.New(t)
	records := testRecords(map[string]int{"a": 1}, map[string]int{"a": 2, "b": 6})
	recordOf("disk-a-0", records).Leaving = true
	is.Equal(ZoneSenders(directoryOf("edge-a-0", records), "a", "r"), []*wirev1.NodeRecord{recordOf("disk-a-1", records)})

	records = testRecords(map[string]int{"a": 20}, map[string]int{"a": 6, "b": 6})
	directory := directoryOf("edge-a-0", records)
	near := ZoneSenders(directory, "a", "r")
	is.Equal(zonesOf(near), []string{"a", "a", "a", "a"})
	for i := range 20 {
		for _, sender := range SendersOf(directory, recordOf(fmt.Sprint("edge-a-", i), records)) {
			is.True(slices.Contains(near, sender))
		}
	}
	is.Equal(len(ZoneSenders(directory, "another", "r")), sendersPerEdge)
	is.Equal(len(ZoneSenders(directoryOf("edge-a-0", testRecords(map[string]int{"a": 1}, nil)), "a", "r")), 0)

	records = testRecords(map[string]int{"a": 20}, map[string]int{"b": 6})
	directory = directoryOf("edge-a-0", records)
	far := ZoneSenders(directory, "a", "r")
	for i := range 20 {
		for _, sender := range SendersOf(directory, recordOf(fmt.Sprint("edge-a-", i), records)) {
			is.True(slices.Contains(far, sender))
		}
	}
}

// Storage nodes and edges with the same records agree on the senders of each edge.
func TestNodesAgreeOnSenders(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		counts := func(low int, name string) map[string]int {
			return map[string]int{"a": rapid.IntRange(low, 6).Draw(t, name), "b": rapid.IntRange(0, 6).Draw(t, name)}
		}
		records := testRecords(counts(1, "edges"), counts(1, "disks"))
		sent := map[string]int{}
		for _, record := range records {
			if record.DiskId == "" {
				continue
			}
			for _, group := range receiversOf(directoryOf(record.NodeId, records)) {
				for _, address := range group.addresses {
					sent[record.NodeId+" to "+address]++
				}
			}
		}
		for _, record := range records {
			if record.DiskId != "" {
				continue
			}
			for _, sender := range SendersOf(directoryOf(record.NodeId, records), record) {
				key := sender.NodeId + " to " + record.Address
				if sent[key] != 1 {
					t.Fatalf("%s: %d times", key, sent[key])
				}
				delete(sent, key)
			}
		}
		if len(sent) > 0 {
			t.Fatalf("unexpected: %v", sent)
		}
	})
}
