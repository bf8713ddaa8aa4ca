package informer

import (
	"github.com/cespare/xxhash/v2"
	"k8s.io/klog/v2"

	"cobaltramp.example/cobaltramp/internal/cluster/ports"
)

// unreadableEntries holds a hash of each runner's entry that can't be decoded, by key. The
// hash shows whether an entry has changed since it was logged.
type unreadableEntries map[string]uint64

// add records an unreadable entry, and logs it unless previous, the entries that were
// unreadable before, contains it unchanged. It reports whether it logged the entry.
func (u unreadableEntries) add(value ports.Value, err error, previous unreadableEntries) (logged bool) {
	hash := xxhash.Sum64(value.Value)
	known, found := previous[value.Key]
	u[value.Key] = hash
	if found && known == hash {
		return false
	}
	klog.ErrorS(err, "runner's entry is unreadable", "key", value.Key, "revision", value.Revision)
	return true
}

// remove records that an entry, if it was unreadable, is readable or deleted.
func (u unreadableEntries) remove(key string) {
	if _, found := u[key]; found {
		delete(u, key)
		klog.InfoS("runner's entry is no longer unreadable", "key", key)
	}
}

// removeMissing removes the entries whose keys next does not contain.
func (u unreadableEntries) removeMissing(next unreadableEntries) {
	for key := range u {
		if _, found := next[key]; !found {
			u.remove(key)
		}
	}
}

// unreadableCount returns the number of stored entries that can't be decoded.
func (c *runnerCache) unreadableCount() int {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return len(c.unreadable)
}
