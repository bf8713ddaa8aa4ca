package ownership

import (
	"fmt"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	_ "cobaltramp.example/cobaltramp/internal/app/fixedseed"
)

func drawNodes(t *rapid.T) []Node {
	size := rapid.IntRange(1, 30).Draw(t, "nodes")
	nodes := make([]Node, size)
	for i := range nodes {
		zone := rapid.IntRange(0, 4).Draw(t, "zone")
		nodes[i] = Node{ID: fmt.Sprint("n", i), Zone: fmt.Sprint("z", zone), Region: fmt.Sprint("r", zone%2)}
	}
	return nodes
}

// When one node goes, only the runners it owned change owner.
func TestOnlyTheLostNodesRunnersMove(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		nodes := drawNodes(t)
		lost := rapid.IntRange(0, len(nodes)-1).Draw(t, "lost")
		before := NewRendezvous(nodes)
		after := NewRendezvous(append(append([]Node(nil), nodes[:lost]...), nodes[lost+1:]...))
		emptied := len(before.byZone[nodes[lost].Zone]) == 1
		for i := range 50 {
			runner := Runner{ID: fmt.Sprint("r", i), Zone: fmt.Sprint("z", i%6), Region: fmt.Sprint("r", i%2)}
			owner := before.Owner(runner)
			if owner == nodes[lost].ID || (emptied && runner.Zone == nodes[lost].Zone) {
				continue
			}
			if moved := after.Owner(runner); moved != owner {
				t.Fatalf("runner %v moved from %s to %s though %s was lost", runner, owner, moved, nodes[lost].ID)
			}
		}
	})
}

func TestOwnerStandsInTheRunnersZoneWhenItHasNodes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		nodes := drawNodes(t)
		place := NewRendezvous(nodes)
		zoneOf := map[string]string{}
		for _, node := range nodes {
			zoneOf[node.ID] = node.Zone
		}
		runner := Runner{ID: "r", Zone: fmt.Sprint("z", rapid.IntRange(0, 4).Draw(t, "zone"))}
		owner := place.Owner(runner)
		if owner == "" {
			t.Fatal("no owner though there are nodes")
		}
		if len(place.byZone[runner.Zone]) > 0 && zoneOf[owner] != runner.Zone {
			t.Fatalf("owner %s stands in %s, runner in %s", owner, zoneOf[owner], runner.Zone)
		}
	})
}

func TestNoNodesMeansNoOwner(t *testing.T) {
	is.New(t).Equal(NewRendezvous(nil).Owner(Runner{ID: "r"}), "")
}

func BenchmarkOwner(b *testing.B) {
	nodes := make([]Node, 24)
	for i := range nodes {
		nodes[i] = Node{ID: fmt.Sprint("node-", i), Zone: "z"}
	}
	place := NewRendezvous(nodes)
	runner := Runner{ID: "runner-17", Zone: "z"}
	b.ReportAllocs()
	for b.Loop() {
		place.Owner(runner)
	}
}
