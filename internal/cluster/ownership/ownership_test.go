package ownership

import (
	"fmt"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	_ "cobaltramp.example/cobaltramp/internal/app/fixedseed"
)

func randomNodes(t *rapid.T) []Node {
	size := rapid.IntRange(1, 30).Draw(t, "nodes")
	nodes := make([]Node, size)
	for i := range nodes {
		zone := rapid.IntRange(0, 4).Draw(t, "zone")
		nodes[i] = Node{ID: fmt.Sprint("n", i), Zone: fmt.Sprint("z", zone), Region: fmt.Sprint("r", zone%2)}
	}
	return nodes
}

// When a node is removed, only the runners that it owned change their owner.
func TestRemovedNodeMovesOnlyItsOwnRunners(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		nodes := randomNodes(t)
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
				t.Fatalf("runner %v moved from %s to %s when %s was removed", runner, owner, moved, nodes[lost].ID)
			}
		}
	})
}

func TestOwnerIsInZoneOfRunner(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		nodes := randomNodes(t)
		rendezvous := NewRendezvous(nodes)
		zoneOf := map[string]string{}
		for _, node := range nodes {
			zoneOf[node.ID] = node.Zone
		}
		runner := Runner{ID: "r", Zone: fmt.Sprint("z", rapid.IntRange(0, 4).Draw(t, "zone"))}
		owner := rendezvous.Owner(runner)
		if owner == "" {
			t.Fatal("no owner although there are nodes")
		}
		if len(rendezvous.byZone[runner.Zone]) > 0 && zoneOf[owner] != runner.Zone {
			t.Fatalf("owner %s is in %s, runner in %s", owner, zoneOf[owner], runner.Zone)
		}
	})
}

func TestNoOwnerWithoutNodes(t *testing.T) {
	is.New(t).Equal(NewRendezvous(nil).Owner(Runner{ID: "r"}), "")
}

func BenchmarkOwner(b *testing.B) {
	nodes := make([]Node, 24)
	for i := range nodes {
		nodes[i] = Node{ID: fmt.Sprint("node-", i), Zone: "z"}
	}
	rendezvous := NewRendezvous(nodes)
	runner := Runner{ID: "runner-17", Zone: "z"}
	b.ReportAllocs()
	for b.Loop() {
		rendezvous.Owner(runner)
	}
}
