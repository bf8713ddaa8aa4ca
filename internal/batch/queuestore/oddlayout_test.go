package queuestore

import (
	"encoding/json"
	"fmt"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	_ "cobaltramp.example/cobaltramp/internal/app/fixedseed"
	"cobaltramp.example/cobaltramp/internal/batch/replica"
)

// oddMemberSets are stored values that no shard can work with.
var oddMemberSets = []string{
	``, `null`, `{}`, `[]`, `7`, `"x"`, `{`, `{"generation":0,"members":["a"]}`, `{"generation":2}`, `{"generation":2,"members":[]}`,
	`{"generation":2,"members":null}`, `{"generation":2,"members":[""]}`, `{"generation":2,"members":["a","a"]}`,
	`{"generation":-1,"members":["a"]}`, `{"generation":1e999,"members":["a"]}`, `{"generation":18446744073709551615,"members":["a"]}`,
	`{"generation":2,"members":["a"],"copies":-1}`, `{"generation":2,"members":["a"],"copies":4e30}`,
	`{"generation":2,"members":["a"],"attempt":18446744073709551615}`, `{"generation":2,"members":["a"],"attempt":-1}`,
	`{"generation":2,"members":[{"a":1}]}`, `{"generation":2,"members":"a"}`, "{\"generation\":2,\"members\":[\"\xff\xff",
}

// knownLayouts returns a Layouts that knows three shards, of which shard 1 is at generation 2.
func knownLayouts(t testing.TB) *Layouts {
	t.Helper()
	layouts := NewLayouts()
	text, err := json.Marshal(testLayout(3))
	is.New(t).NoErr(err)
	layouts.UpdateIfNewer(LayoutKey, text, 1, "test")
	layouts.UpdateIfNewer(shardKey(1), []byte(`{"generation":2,"members":["a","b"],"copies":2}`), 2, "test")
	return layouts
}

// Guards against a shard that has no leader ever again because its stored member set is odd: it was
// taken over as it was, without members, without a generation or with a quorum that no vote reaches.
func TestOddMemberSetDoesNotReplaceTheKnownOne(t *testing.T) {
	for _, odd := range oddMemberSets {
		t.Run(odd, func(t *testing.T) {
			is := is.New(t)
			layouts := knownLayouts(t)
			before := layouts.Current()
			layouts.UpdateIfNewer(shardKey(0), []byte(odd), 5, "test")
			layouts.UpdateIfNewer(shardKey(1), []byte(odd), 6, "test")
			is.Equal(layouts.Current().Shards, before.Shards)
			is.Equal(layouts.Current().shardRevisions, before.shardRevisions) // the swap of a member set that is not known fails
			layouts.UpdateIfNewer(shardKey(1), []byte(`{"generation":3,"members":["a","c"],"copies":2}`), 7, "test")
			is.Equal(layouts.Current().Shards[1].Members, []string{"a", "c"})
			is.True(layouts.Current().certain(1))
		})
	}
}

// Guards against a replica that is created with an outdated member set, and could vote there, while
// the stored one can't be read.
func TestNoReplicaStartsWhileItsMemberSetIsUnreadable(t *testing.T) {
	is := is.New(t)
	layouts := knownLayouts(t)
	is.True(layouts.Current().certain(0) && layouts.Current().certain(1))
	layouts.UpdateIfNewer(shardKey(0), []byte(`null`), 5, "test")
	is.True(!layouts.Current().certain(0))
	is.True(layouts.Current().certain(1))

	restarted := NewLayouts() // it learns the odd value before the initial layout
	restarted.UpdateIfNewer(shardKey(0), []byte(`{}`), 5, "test")
	text, err := json.Marshal(testLayout(3))
	is.NoErr(err)
	restarted.UpdateIfNewer(LayoutKey, text, 1, "test")
	is.True(!restarted.Current().certain(0))
	is.True(restarted.Current().certain(1))
	restarted.UpdateIfNewer(shardKey(0), []byte(`{"generation":3,"members":["a","c"],"copies":2}`), 7, "test")
	is.True(restarted.Current().certain(0))
}

// Guards against a node that knows a layout without usable shards, and so neither runs jobs nor
// creates a layout.
func TestOddInitialLayoutIsNotTaken(t *testing.T) {
	odd := []string{`{"shards":[]}`, `{"shards":null}`, `{"shards":{}}`, `{"shards":[null]}`}
	for _, memberSet := range oddMemberSets {
		odd = append(odd, memberSet, fmt.Sprintf(`{"shards":[{"generation":1,"members":["a"]},%s]}`, memberSet))
	}
	for _, text := range odd {
		t.Run(text, func(t *testing.T) {
			is := is.New(t)
			layouts := NewLayouts()
			layouts.UpdateIfNewer(LayoutKey, []byte(text), 3, "test")
			is.Equal(layouts.Current(), nil)
			is.Equal(layouts.Documents(), nil)
			sound, err := json.Marshal(testLayout(2))
			is.NoErr(err)
			layouts.UpdateIfNewer(LayoutKey, sound, 4, "test")
			is.Equal(len(layouts.Current().Shards), 2)
		})
	}
}

// Guards against a second key of a shard, in another spelling of its number, that replaces the
// shard's member set.
func TestOddShardKeysNameNoShard(t *testing.T) {
	for _, number := range []string{"", "01", "+1", "-1", "1 ", "1/", "1.0", "0x1", "4294967295", "4294967297", "99999999999999999999", "é"} {
		is := is.New(t)
		layouts := knownLayouts(t)
		before := layouts.Current().Shards
		layouts.UpdateIfNewer(shardKeyPrefix+number, []byte(`{"generation":9,"members":["x"]}`), 9, "test")
		is.Equal(layouts.Current().Shards, before)
	}
}

// Whatever is stored, each shard of the known layout has members and a quorum that they reach, and a
// sound member set that is written afterwards is applied.
func TestLayoutsStayUsable(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		layouts := NewLayouts()
		text, _ := json.Marshal(testLayout(3))
		layouts.UpdateIfNewer(LayoutKey, text, 1, "test")
		revision := int64(1)
		for range rapid.IntRange(1, 20).Draw(t, "writes") {
			revision++
			odd := rapid.OneOf(rapid.SampledFrom(oddMemberSets), memberSetText(), rapid.String()).Draw(t, "value")
			key := rapid.SampledFrom([]string{LayoutKey, shardKey(0), shardKey(1), shardKey(7), shardKeyPrefix}).Draw(t, "key")
			layouts.UpdateIfNewer(key, []byte(odd), revision, "test")
			for id, memberSet := range layouts.Current().Shards {
				if memberSet.Generation == 0 || len(memberSet.Members) == 0 || memberSet.WriteQuorum() < 1 || memberSet.ElectionQuorum() > len(memberSet.Members) {
					t.Fatalf("shard %d: %+v", id, memberSet)
				}
			}
		}
		layouts.UpdateIfNewer(shardKey(0), []byte(`{"generation":77,"members":["a","b"]}`), revision+1, "test")
		if held := layouts.Current().Shards[0].Generation; held != 77 {
			t.Fatalf("the sound member set is not applied, generation %d", held)
		}
	})
}

// memberSetText draws the JSON text of a member set, with any numbers and members.
func memberSetText() *rapid.Generator[string] {
	return rapid.Custom(func(t *rapid.T) string {
		text, _ := json.Marshal(replica.MemberSet{
			Generation: rapid.Uint64().Draw(t, "generation"), Attempt: rapid.Uint64().Draw(t, "attempt"),
			Copies: rapid.Int().Draw(t, "copies"), Members: rapid.SliceOfN(rapid.String(), 0, 80).Draw(t, "members"),
		})
		return string(text)
	})
}
