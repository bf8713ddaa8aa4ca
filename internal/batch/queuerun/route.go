package queuerun

import (
	"time"

	"k8s.io/klog/v2"

	"cobaltramp.example/cobaltramp/internal/batch/queuestore"
	"cobaltramp.example/cobaltramp/internal/configuration/catalog"
)

// An item may be decided only by a configuration that is at least as new as the one by which an
// edge accepted its job. An older one cannot tell a route that was removed from a route that is
// not known yet, and may name another service.

const (
	// routeRestoreTime is how long a configuration without an item's route has to be active
	// before the item ends, so that an operator can restore a route that was removed by mistake.
	routeRestoreTime = 4 * time.Second
	// configurationRetryDelay is the delay before the next attempt to start an item for which
	// this node's configuration is too old.
	configurationRetryDelay = 100 * time.Millisecond
	// configurationLogInterval is the shortest time between two log lines about items that wait
	// for a newer configuration.
	configurationLogInterval = time.Second
)

// StoreContact tells the age of this node's copy of the platform's store; see
// listwatch.StoreContact.
type StoreContact interface{ HeldAge() time.Duration }

// routeState is what a configuration says about the route of an item.
type routeState int

const (
	// routePresent: the item may run on the route.
	routePresent routeState = iota
	// routeUndecided: the configuration may be older than the one that accepted the job, or the
	// route may still be restored.
	routeUndecided
	// routeRemoved: the route was removed after the job was accepted.
	routeRemoved
)

// routeOf returns the route of an item in a configuration, and its state. The route is nil unless
// it is present.
func (e *ItemExecutor) routeOf(held *catalog.Catalog, work *queuestore.Work, now time.Time) (*catalog.Route, routeState) {
	if held.Version < work.CatalogVersion {
		e.logOldConfiguration(held, work, now)
		return nil, routeUndecided
	}
	if route := held.Match(work.Host, work.Item.Path); route != nil {
		return route, routePresent
	}
	if !e.isNewerThanJob(work, now) {
		e.logOldConfiguration(held, work, now)
		return nil, routeUndecided
	}
	if e.Catalogs.Age(now) < routeRestoreTime {
		return nil, routeUndecided
	}
	klog.InfoS("item's route was removed", "job", work.Key.Job, "item", work.Item.Id, "route", work.Route, "catalog", held.Version, "jobCatalog", work.CatalogVersion)
	return nil, routeRemoved
}

// isNewerThanJob reports whether this node's configuration is at least as new as the one that
// accepted the job, given that it is not older by its version. The record of a job that an edge
// of an earlier build submitted, or that passed through a replica of one, names no version. The
// configuration is then new enough if it was known to be the store's at any time since this node
// has had the item: the edge had its own version from the store before.
func (e *ItemExecutor) isNewerThanJob(work *queuestore.Work, now time.Time) bool {
	if work.CatalogVersion > 0 {
		return true
	}
	return e.Contact == nil || e.Contact.HeldAge() < now.Sub(work.KnownSince)
}

// logOldConfiguration logs that an item waits for a newer configuration, at most once per
// configurationLogInterval.
func (e *ItemExecutor) logOldConfiguration(held *catalog.Catalog, work *queuestore.Work, now time.Time) {
	last := e.oldConfigurationLogged.Load()
	if now.UnixNano()-last < int64(configurationLogInterval) || !e.oldConfigurationLogged.CompareAndSwap(last, now.UnixNano()) {
		return
	}
	contentsAge := time.Duration(-1)
	if e.Contact != nil {
		contentsAge = e.Contact.HeldAge()
	}
	klog.InfoS("item waits for a newer configuration", "job", work.Key.Job, "item", work.Item.Id, "route", work.Route,
		"catalog", held.Version, "jobCatalog", work.CatalogVersion, "contentsAgeMs", contentsAge.Milliseconds())
}
