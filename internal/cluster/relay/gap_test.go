package relay

import (
	"testing"

	"github.com/matryer/is"

	"cobaltramp.example/cobaltramp/internal/cluster/ports"
)

// A source that lists the store again does not know of a value that was created and deleted
// in between. A follower that got the value from another source, before or at the same time,
// must not keep it.
func TestListSkipsChangesThatAFollowerHas(t *testing.T) {
	is := is.New(t)
	mirror := NewMirror(nil)
	mirror.Reset(nil, 1)
	mirror.Reset(nil, 10) // k was created at 5 and deleted at 8
	for _, test := range []struct {
		revision                    int64
		wholeOfAll, wholeOfSelected bool
	}{{1, true, false}, {2, true, true}, {5, true, true}, {9, true, true}} {
		update, _ := mirror.After(test.revision, nil)
		is.Equal(update.Whole, test.wholeOfAll)
		update, _ = mirror.After(test.revision, edgeFollowerView(1)) // follows one source at a time
		is.Equal(update.Whole, test.wholeOfSelected)
	}
	update, _ := mirror.After(10, nil)
	is.True(update == nil)
	mirror.Apply([]ports.WatchEvent{{Value: ports.Value{Key: "k", Revision: 11}}}, 11)
	update, _ = mirror.After(10, nil)
	is.True(!update.Whole)
}

// The number of gaps stays bounded, and no gap is forgotten.
func TestGapsAreBounded(t *testing.T) {
	is := is.New(t)
	mirror := NewMirror(nil)
	for revision := int64(0); revision < 1000; revision += 10 {
		mirror.Reset(nil, revision)
		is.True(len(mirror.gaps) <= maxGaps)
		is.True(revision == 0 || mirror.inGap(revision-5))
		is.True(!mirror.inGap(revision))
	}
	is.True(mirror.inGap(5))
	is.True(!mirror.inGap(980))
}
