package runnerset

import (
	"slices"
	"time"
)

// versionChanges knows the runners that came back under their ID with another software version. A node
// that has not listed the change yet takes such a runner for one of the earlier version.
type versionChanges struct {
	// removed holds the versions of the runners that were removed lately, and changed the runners
	// that were listed with several versions lately, both by ID.
	removed map[string]removedVersion
	changed map[string]versionChange
}

type removedVersion struct {
	version string
	at      time.Time
}

type versionChange struct {
	service string
	at      time.Time
}

func newVersionChanges() versionChanges {
	return versionChanges{removed: map[string]removedVersion{}, changed: map[string]versionChange{}}
}

// noteListed notes a runner that is listed at a version. listed is the version that it was listed with
// before; empty if it was not listed.
func (c *versionChanges) noteListed(record *Record, listed string, now time.Time) {
	version := record.SoftwareVersion()
	before := listed
	if earlier, found := c.removed[record.ID]; found && listed == "" {
		before = earlier.version
	}
	if before != "" && before != version {
		c.changed[record.ID] = versionChange{record.Service, now}
	}
	delete(c.removed, record.ID)
}

func (c *versionChanges) noteRemoved(record *Record, now time.Time) {
	c.removed[record.ID] = removedVersion{record.SoftwareVersion(), now}
}

// since returns the IDs of the service's runners whose version has changed since a time, in
// alphabetical order.
func (c *versionChanges) since(service string, start time.Time) []string {
	var ids []string
	for id, change := range c.changed {
		if change.service == service && !change.at.Before(start) {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// forget forgets what was noted before a time.
func (c *versionChanges) forget(before time.Time) {
	for id, removed := range c.removed {
		if removed.at.Before(before) {
			delete(c.removed, id)
		}
	}
	for id, change := range c.changed {
		if change.at.Before(before) {
			delete(c.changed, id)
		}
	}
}
