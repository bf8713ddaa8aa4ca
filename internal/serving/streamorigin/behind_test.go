package streamorigin

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"cobaltramp.example/cobaltramp/internal/serving/runnerset"
)

// listContact is the contact of a node with the store; its list was last known to be current at the
// given time, or is always current if that is zero.
type listContact struct {
	currentAt time.Time
	lost      bool
}

func (c *listContact) Age() time.Duration {
	if c.currentAt.IsZero() {
		return 0
	}
	return time.Since(c.currentAt)
}
func (c *listContact) HeldAge() time.Duration { return c.Age() }
func (c *listContact) Lost() bool             { return c.lost }

var (
	oldRunner = runnerset.Record{ID: "a", Service: "s", Version: "v1"}
	newRunner = runnerset.Record{ID: "b", Service: "s", Version: "v2"}
)

// listOldAlone makes a node list v1 alone, by a list that was current the given time ago.
func (n *testNode) listOldAlone(age time.Duration) {
	n.contact.currentAt = time.Now().Add(-age)
	n.runners.Replace([]runnerset.Record{oldRunner}, 1, time.Now().Add(-2*minWindow))
}

// Guards against texts of two versions during a release: an edge that was cut off or stood still while runners of a
// new version joined took its old list, with the old version alone, for the present, and resumed a stream of
// the new version at the old one.
func TestListThatIsBehindProvesNoVersion(t *testing.T) {
	for _, age := range []time.Duration{300 * time.Millisecond, 1500 * time.Millisecond, 2400 * time.Millisecond, 2600 * time.Millisecond, 6 * time.Second} {
		for silent := range 4 {
			for behind := range 3 {
				t.Run(fmt.Sprintf("list %v old, %d holders silent, %d behind", age, silent, behind), func(t *testing.T) {
					testListThatIsBehind(t, age, silent, behind)
				})
			}
		}
	}
}

// testListThatIsBehind resumes a stream of v2 at an edge whose list has v1 alone and is of the given
// age. The first holders are silent, and the last ones are behind as well.
func testListThatIsBehind(t *testing.T, age time.Duration, silent, behind int) {
	t.Helper()
	is := is.New(t)
	began, other := startNode(t, "edge-a", ""), startNode(t, "edge-b", "")
	all := []*testNode{began, other}
	for _, name := range []string{"a", "b", "c"} {
		all = append(all, startNode(t, "disk-"+name, "disk-"+name))
	}
	for _, node := range all {
		for _, known := range all {
			node.directory.Put(known.directory.Self())
		}
		node.table.completeSince = time.Now().Add(-2 * minWindow)
	}
	holders, _ := splitByHolders(all[2:], KeyOf(testContent, "first"))
	began.contact.currentAt = time.Time{}
	listOldAndNew(began)
	other.listOldAlone(age)
	for number, holder := range holders {
		if number >= len(holders)-behind {
			holder.listOldAlone(age)
		} else {
			listOldAndNew(holder)
		}
	}
	beginConfirmed(t, began, "first", "v2", 1)
	began.stop()
	for _, holder := range holders[:silent] {
		holder.stop()
	}
	origin, err := resolve(other, "first", testContent)
	is.True(err != nil || origin.SoftwareVersion == "v2") // never the other version
}
