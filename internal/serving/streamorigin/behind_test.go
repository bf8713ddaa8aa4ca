package streamorigin

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"cobaltramp.example/cobaltramp/internal/serving/runnerset"
)

// listContact is the contact of a node with the store, and its ListUpdater. The zero value is a contact
// with which the list is always current.
type listContact struct {
	// currentAt is the last moment at which the list was current, in Unix nanoseconds, after which the
	// store is silent; 0 stands for always and neverCurrent for a contact that has not begun.
	currentAt atomic.Int64
}

// neverCurrent is a moment before all histories.
const neverCurrent = 1

func (c *listContact) Age() time.Duration {
	currentAt := c.currentAt.Load()
	if currentAt == 0 {
		return 0
	}
	return time.Since(time.Unix(0, currentAt))
}

func (c *listContact) HeldAge() time.Duration { return c.Age() }
func (c *listContact) Lost() bool             { return false }

// CatchUp implements ListUpdater.
func (c *listContact) CatchUp(ctx context.Context) {
	if c.currentAt.Load() != 0 {
		<-ctx.Done()
	}
}

var (
	oldRunner = runnerset.Record{ID: "a", Service: "s", Version: "v1"}
	newRunner = runnerset.Record{ID: "b", Service: "s", Version: "v2"}
)

// contactCheckInterval is the interval at which a node checks its contact in the history of a test.
const contactCheckInterval = 200 * time.Millisecond

// listOldAlone makes a node that has not started list v1 alone, by a list that was always current until
// the given time ago.
func (n *testNode) listOldAlone(age time.Duration) {
	n.runners.SetContact(n.contact, 0)
	began, lastCurrent := time.Now().Add(-2*minWindow), time.Now().Add(-age)
	n.runners.Replace([]runnerset.Record{oldRunner}, 1, began)
	for at := began; at.Before(lastCurrent); at = at.Add(contactCheckInterval) {
		n.runners.Versions().Refresh(at)
	}
	n.runners.Versions().Refresh(lastCurrent)
	n.contact.currentAt.Store(lastCurrent.UnixNano())
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
	began, other := newNode(t, "edge-a", ""), newNode(t, "edge-b", "")
	all := []*testNode{began, other}
	for _, name := range []string{"a", "b", "c"} {
		all = append(all, newNode(t, "disk-"+name, "disk-"+name))
	}
	for _, node := range all {
		for _, known := range all {
			node.directory.Put(known.directory.Self())
		}
		node.table.completeSince = time.Now().Add(-2 * minWindow)
	}
	holders, _ := splitByHolders(all[2:], KeyOf(testContent, "first"))
	listOldAndNew(began)
	other.listOldAlone(age)
	for number, holder := range holders {
		if number >= len(holders)-behind {
			holder.listOldAlone(age)
		} else {
			listOldAndNew(holder)
		}
	}
	for _, node := range all {
		node.run()
	}
	beginConfirmed(t, began, "first", "v2", 1)
	began.stop()
	for _, holder := range holders[:silent] {
		holder.stop()
	}
	origin, err := resolve(other, "first", testContent)
	is.True(err != nil || origin.SoftwareVersion == "v2") // never the other version
}
