package queuestore

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestInitialLayoutHasADiskForEachCopy guards against a job that is acknowledged with one copy and lost with
// one disk (LOST, review/6): a storage node that starts first waits for the other copies' disks, however long.
func TestInitialLayoutHasADiskForEachCopy(t *testing.T) {
	const copies, wanted = 2, 3
	for _, test := range []struct {
		name  string
		disks []string
		after time.Duration
		ready bool
	}{
		{"one disk of two copies", []string{"a"}, time.Hour, false},
		{"two disks, too early", []string{"a", "b"}, bootstrapDelayFewDisks - 1, false},
		{"two disks", []string{"a", "b"}, bootstrapDelayFewDisks, true},
		{"all disks", []string{"a", "b", "c"}, bootstrapDelay, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			var waiting bootstrapWait
			start := time.Unix(0, 0)
			is.True(!waiting.ready(test.disks, copies, wanted, 0, start))
			is.Equal(waiting.ready(test.disks, copies, wanted, 0, start.Add(test.after)), test.ready)
		})
	}
}
