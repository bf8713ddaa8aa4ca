package loadshare

import (
	"testing"

	"github.com/matryer/is"
)

// An audience has a minimum size, is larger if many nodes use few runners, and never exceeds
// the number of nodes.
func TestAudienceSize(t *testing.T) {
	for _, test := range []struct {
		name                string
		in                  audienceInputs
		edges, storageNodes int
	}{
		{"no runners: all", audienceInputs{edges: 50, storageNodes: 30}, 50, 30},
		{"small: all", audienceInputs{edges: 5, storageNodes: 20, runnersInZone: 10, runnersOfService: 400}, 5, 20},
		{"many storage nodes: the minimum", audienceInputs{edges: 50, storageNodes: 21, runnersInZone: 26, runnersOfService: 130}, 24, 12},
		{"many edges for few runners", audienceInputs{edges: 200, storageNodes: 60, runnersInZone: 40, runnersOfService: 40}, 30, 36},
		{"capped by the number of nodes", audienceInputs{edges: 200, storageNodes: 60, runnersInZone: 2, runnersOfService: 2}, 200, 60},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			edges, storageNodes := audienceSize(test.in)
			is.Equal(edges, test.edges)
			is.Equal(storageNodes, test.storageNodes)
		})
	}
}

// A runner is nearly full only if it runs batch items and has few free slots.
func TestNearlyFull(t *testing.T) {
	is := is.New(t)
	is.True(nearlyFull(6, 1, 8))
	is.True(!nearlyFull(5.9, 1, 8))
	is.True(!nearlyFull(8, 0, 8))
}
