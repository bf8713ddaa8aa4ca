package store

import (
	"testing"

	"github.com/matryer/is"

	"cobaltramp.example/cobaltramp/internal/batch/replica"
	"cobaltramp.example/cobaltramp/internal/cluster/ports"
	"cobaltramp.example/cobaltramp/internal/configuration/settings"
)

// Guards against nodes that create empty shards in place of those in use, because another writer
// left an odd value under the key of the layout.
func TestOddLayoutDoesNotReplaceKnownOne(t *testing.T) {
	is := is.New(t)
	known := &ClusterLayout{
		Shards:   []ShardLayout{{MemberSet: replica.MemberSet{Generation: 3, Members: []string{"a", "b", "c"}}, Region: "r"}},
		revision: 5,
	}
	m := &Module{settings: &settings.Settings{}}
	m.layout.Store(known)
	for _, odd := range []string{"null", "{}", `{"shards":[]}`, `{"shards":[{}]}`, `{"shards":[{"generation":1,"members":["a","a"],"region":"r"}]}`, "[", `{"shards":[{"generation":-1}]}`} {
		m.applyLayout(ports.Value{Value: []byte(odd), Revision: 9})
		is.Equal(m.layout.Load(), known)
	}
}
