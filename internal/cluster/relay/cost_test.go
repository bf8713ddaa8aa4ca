package relay

import (
	"testing"

	"github.com/matryer/is"

	"cobaltramp.example/cobaltramp/internal/cluster/ports"
	"cobaltramp.example/cobaltramp/internal/cluster/subset"
)

// Guards against relays that go silent while many runners change: a relay that decodes each
// changed entry again for each follower is short of processor time, its followers leave it
// together, and all of them list the store.
func TestRelayDecodesEachEntryOnce(t *testing.T) {
	is := is.New(t)
	const runners, changes, followers = 1000, 300, 64
	decoded := 0
	mirror := NewMirror(func(value ports.Value) (string, subset.ServiceZone, bool) {
		decoded++
		return classifyTest(value)
	})
	var values []ports.Value
	for number := range runners {
		values = append(values, ports.Value{Key: runnerKey(number), Revision: int64(number + 1)})
	}
	mirror.Reset(values, runners)
	views := make([]*FollowerView, followers)
	for follower := range views {
		views[follower] = edgeFollowerView(follower)
		mirror.After(-1, views[follower])
	}
	is.Equal(decoded, runners)

	var events []ports.WatchEvent
	for number := range changes {
		value := ports.Value{Key: runnerKey(number), Revision: int64(runners + 1 + number)}
		events = append(events, ports.WatchEvent{Value: value, Deleted: number%3 == 0})
	}
	decoded = 0
	mirror.Apply(events, runners+changes)
	for _, view := range views {
		mirror.After(runners, view)
	}
	mirror.After(runners, nil)
	is.True(decoded <= changes)
}
