package informer

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"cobaltramp.example/cobaltramp/internal/cluster/ports"
	"cobaltramp.example/cobaltramp/internal/cluster/subset"
	"cobaltramp.example/cobaltramp/internal/serving/runnerset"
)

// inContact is a contact with the store that is never lost.
type inContact struct{}

func (inContact) Age() time.Duration     { return 0 }
func (inContact) HeldAge() time.Duration { return 0 }
func (inContact) Lost() bool             { return false }

// versionEvent returns the put or the deletion of a runner's entry.
func versionEvent(id, version string, revision int64, deleted bool) ports.WatchEvent {
	text := `{"Service":"s","Address":"10.0.0.9:1","Zone":"z","Slots":4,"Version":"` + version + `"}`
	return ports.WatchEvent{Value: ports.Value{Key: testSchema.RunnersPrefix + id, Value: []byte(text), Revision: revision}, Deleted: deleted}
}

// A node that has lost power must know the versions that it had listed before, and those that came
// and went meanwhile, also if a peer's list lacks them. It must not claim to know them after a list of
// the store, or after the deletion of an entry that it never received.
func TestVersionsSurviveARestart(t *testing.T) {
	is := is.New(t)
	before := &Informer{Options: Options{Runners: runnerset.New()}}
	before.Runners.Replace([]runnerset.Record{{ID: "a", Service: "s", Version: "v1"}}, 1, time.Now())
	saved := before.encodeVersions()

	restart := func() (*Informer, *runnerCache) {
		set := runnerset.New()
		set.SetContact(inContact{}, 0)
		cache := newRunnerCache(testSchema, set, subset.Interest{})
		cache.Reset([]ports.Value{versionEvent("a", "v1", 5, false).Value}, 5)
		node := &Informer{Options: Options{Runners: set}}
		node.restoreVersions(saved)
		set.Versions().Refresh(time.Now().Add(-time.Second)) // in contact for a second
		return node, cache
	}
	known := func(node *Informer) runnerset.VersionKnowledge {
		return node.Runners.Versions().Knowledge("s", time.Minute, time.Now())
	}
	node, cache := restart()
	is.Equal(known(node), runnerset.VersionKnowledge{Known: true, Seen: []string{"v1"}})
	cache.Apply([]ports.WatchEvent{versionEvent("b", "v2", 6, false), versionEvent("b", "v2", 7, true)}, 7)
	is.Equal(known(node), runnerset.VersionKnowledge{Known: true, Seen: []string{"v1", "v2"}})
	cache.Apply([]ports.WatchEvent{versionEvent("c", "v1", 8, true)}, 8)
	is.True(!known(node).Known)

	node, cache = restart()
	cache.replace([]ports.Value{versionEvent("a", "v1", 5, false).Value}, 9, "peer") // lacks the changes below
	cache.Apply([]ports.WatchEvent{versionEvent("b", "v2", 6, false)}, 6)
	is.Equal(known(node), runnerset.VersionKnowledge{Known: true, Seen: []string{"v1", "v2"}})
	cache.Reset([]ports.Value{versionEvent("a", "v1", 5, false).Value}, 10)
	is.True(!known(node).Known)
	node.restoreVersions([]byte("no message"))
}
