package loadshare

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus"
	"pgregory.net/rapid"

	wirev1 "cobaltramp.example/cobaltramp/api/wire/v1"
	"cobaltramp.example/cobaltramp/internal/cluster/peers"
	"cobaltramp.example/cobaltramp/internal/cluster/subset"
	"cobaltramp.example/cobaltramp/internal/serving/runnerset"
)

// largeFleetNode returns a node of a large fleet. It knows the records of its zone and of
// the storage nodes, and its subset of the runners.
func (f fleet) largeFleetNode(self int) (*Reporter, *runnerset.Set, *mailbox) {
	records := f.records()
	directory := peers.NewDirectory(records[self])
	directory.MarkLarge()
	for _, record := range records {
		directory.Put(record)
	}
	index := subset.NewIndex[runnerset.Record]()
	for i := range f.runners {
		record := runnerset.Record{ID: fmt.Sprint("runner-", i), Service: "s", Zone: fmt.Sprint("z", i%f.zones), Slots: 8}
		index.Put(subset.ListedRunner[runnerset.Record]{ID: record.ID, ServiceZone: subset.ServiceZone{Service: "s", Zone: record.Zone}, Value: record})
	}
	interest := subset.DefaultInterest(records[self].NodeId, records[self].Zone, records[self].DiskId != "")
	var known []runnerset.Record
	for _, entry := range index.Select(subset.Compute(interest, index.Totals())) {
		known = append(known, entry.Value)
	}
	runners := runnerset.New()
	runners.Select(known, index.Totals(), 1, time.Now())
	box := &mailbox{sent: map[string][]*wirev1.RunnerUses{}}
	return New(directory, runners, box, prometheus.NewRegistry()), runners, box
}

// In a large fleet a request causes a bounded number of notices, only to nodes that know the
// runner. A node caches rankings only for the runners that it knows, and receives reports of
// those in its zone.
func TestNoticesFollowTheSubsets(t *testing.T) {
	for _, times := range []int{1, 2} {
		is := is.New(t)
		f := fleet{edges: 835 * times, disks: 150 * times, runners: 10_000 * times, zones: 5}
		reporter, runners, box := f.largeFleetNode(0)
		most, near, reported := 0, 0, 0
		for _, runner := range runners.Service("s") {
			before := box.count()
			use := runners.Begin(runner, runnerset.Prompt{Tokens: 100}, false, time.Now())
			reporter.flush()
			use.End()
			most = max(most, box.count()-before)
			if runner.Zone == "z0" {
				near++
				if reporter.receivesReports(runner) {
					reported++
				}
			}
		}
		rankings := 0
		reporter.audiences.table().byRunner.Range(func(any, any) bool { rankings++; return true })
		t.Logf("%d nodes, %d runners: at most %d notices for two changes, %d rankings, reports of %d of %d near runners", f.edges+f.disks, f.runners, most, rankings, reported, near)
		is.True(most <= 2*minEdges+minStorageNodes)
		is.Equal(rankings, len(runners.Service("s")))
		is.Equal(reported, near)
		for address := range box.sent {
			other := slices.IndexFunc(f.records(), func(record *wirev1.NodeRecord) bool { return record.Address == address })
			_, theirs, _ := f.largeFleetNode(other)
			known := map[string]bool{}
			for _, runner := range theirs.Service("s") {
				known[runner.ID] = true
			}
			for _, uses := range box.sent[address] {
				for _, use := range uses.Uses {
					is.True(known[use.Runner])
				}
			}
			break // one receiver is enough
		}
	}
}

// Receivers of the same reports are in one group, and all others get only their own reports.
func TestBatchGroupsEqualNotices(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		byAddress := batch{}
		for range rapid.IntRange(0, 5).Draw(t, "reports") {
			use := &wirev1.RunnerUse{Runner: rapid.SampledFrom([]string{"r1", "r2"}).Draw(t, "runner")} // an id may occur twice
			byAddress.add(rapid.SliceOfNDistinct(rapid.SampledFrom([]string{"a", "b", "c", "d"}), 0, 4, rapid.ID[string]).Draw(t, "receivers"), use)
		}
		grouped := 0
		var earlier []*wirev1.RunnerUses
		for _, group := range byAddress.groups() {
			grouped += len(group)
			for _, address := range group {
				if !slices.Equal(byAddress[address].Uses, byAddress[group[0]].Uses) {
					t.Fatalf("%v are in one group", group)
				}
			}
			for _, other := range earlier {
				if slices.Equal(other.Uses, byAddress[group[0]].Uses) {
					t.Fatal("two groups have the same reports")
				}
			}
			earlier = append(earlier, byAddress[group[0]])
		}
		if grouped != len(byAddress) {
			t.Fatalf("%d of %d receivers", grouped, len(byAddress))
		}
	})
}
