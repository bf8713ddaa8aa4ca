package queuerun

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"cobaltramp.example/cobaltramp/internal/batch/queue"
	"cobaltramp.example/cobaltramp/internal/batch/queuestore"
	"cobaltramp.example/cobaltramp/internal/configuration/catalog"
)

// copyAge is a StoreContact with a fixed time at which the copy was last known to be complete.
type copyAge struct{ complete time.Time }

func (c *copyAge) HeldAge() time.Duration { return time.Since(c.complete) }

// activate makes a version of the configuration active. Its only route leads to the service; there
// is none if the service is empty.
func activate(t *testing.T, executor *ItemExecutor, version uint64, service string) {
	t.Helper()
	var routes []*catalog.Route
	var services []*catalog.Service
	if service != "" {
		routes = []*catalog.Route{{
			Name: "jobs", Host: "h", PathPrefix: "/x/", Kind: catalog.Batch, Attempts: 3, Services: []catalog.WeightedService{{Service: service, Weight: 1}},
		}}
		services = []*catalog.Service{{Name: service, Slots: 4}}
	}
	parsed, err := catalog.New(version, routes, services, catalog.RequestLimits{})
	if err != nil {
		t.Fatal(err)
	}
	executor.Catalogs.UpdateIfNewer(parsed, nil, int64(version), time.Now())
}

// attempt tries to start an item and returns its outcome; nil if it was not started.
func attempt(executor *ItemExecutor, work *queuestore.Work) *queuestore.Outcome {
	outcomes := make(chan queuestore.Outcome, 1)
	if !executor.TryStart(context.Background(), work, func(outcome queuestore.Outcome) { outcomes <- outcome }) {
		return nil
	}
	outcome := <-outcomes
	return &outcome
}

// Guards against dead items of accepted jobs (review/1): a node whose configuration is older than
// the one that accepted the job must not take a route that it does not know for a removed one,
// however long its own configuration has been active, nor run the item as the older one says.
func TestOlderConfigurationDecidesNoItem(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		client := &scriptedClient{respond: responds(200, twoEvents)}
		executor := newExecutor(t, client)
		activate(t, executor, 2, "")
		time.Sleep(time.Hour)
		work := workOf(queue.ItemOutput{})
		work.CatalogVersion = 4
		is.True(attempt(executor, work) == nil)
		is.True(work.NotBefore.After(time.Now())) // it keeps no other item from its start
		activate(t, executor, 3, "s")             // as it was before the change that the job has seen
		is.True(attempt(executor, work) == nil)
		is.Equal(len(client.calls), 0)
		activate(t, executor, 4, "s")
		outcome := attempt(executor, work)
		is.True(outcome != nil && outcome.Done)
	})
}

// The items of a route that was removed end, also while the store is away, but not before an
// operator had the time to restore it.
func TestItemsOfRemovedRouteEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		executor := newExecutor(t, &scriptedClient{respond: responds(200, twoEvents)})
		executor.Contact = &copyAge{time.Now().Add(-time.Hour)}
		work := workOf(queue.ItemOutput{})
		work.CatalogVersion, work.KnownSince = 1, time.Now()
		activate(t, executor, 2, "")
		is.True(attempt(executor, work) == nil)
		time.Sleep(routeRestoreTime)
		outcome := attempt(executor, work)
		is.True(outcome != nil && outcome.Dead)
	})
}

// A job of an earlier build names no version. Its items end only once the node's copy of the
// store was complete after the node learned of them.
func TestJobWithoutVersionWaitsForCompleteCopy(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		executor := newExecutor(t, &scriptedClient{respond: responds(200, twoEvents)})
		activate(t, executor, 2, "")
		contact := &copyAge{time.Now()}
		executor.Contact = contact
		time.Sleep(time.Hour)
		work := workOf(queue.ItemOutput{})
		work.KnownSince = time.Now()
		time.Sleep(time.Minute)
		is.True(attempt(executor, work) == nil)
		contact.complete = time.Now()
		outcome := attempt(executor, work)
		is.True(outcome != nil && outcome.Dead)
	})
}
