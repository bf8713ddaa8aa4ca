package quota

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	_ "cobaltramp.example/cobaltramp/internal/app/fixedseed"
)

// Once every node has reported, the shares in reply to the next reports add up to 1, and no
// share is 0.
func TestSharesAddUpToOne(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		divider := NewDivider()
		nodes := rapid.IntRange(1, 30).Draw(t, "nodes")
		now := time.Unix(0, 0)
		demands := make([]float64, nodes)
		for i := range demands {
			demands[i] = rapid.Float64Range(0, 100).Draw(t, "demand")
			divider.Report(now, "t", fmt.Sprint("n", i), demands[i])
		}
		sum := 0.0
		for i, value := range demands {
			share := divider.Report(now, "t", fmt.Sprint("n", i), value)
			if share <= 0 {
				t.Fatalf("node %d is starved", i)
			}
			sum += share
		}
		if sum > 1.0001 || sum < 0.9999 {
			t.Fatalf("shares add up to %g", sum)
		}
	})
}

func TestUnresponsiveNodesShareIsReassigned(t *testing.T) {
	is := is.New(t)
	divider := NewDivider()
	now := time.Unix(0, 0)
	divider.Report(now, "t", "gone", 50)
	is.True(divider.Report(now, "t", "here", 50) < 0.6)
	now = now.Add(reportTTL + time.Second)
	is.Equal(divider.Report(now, "t", "here", 50), 1.0)
	divider.RemoveExpired(now.Add(time.Minute))
	is.Equal(divider.Tenants(), 0)
}
