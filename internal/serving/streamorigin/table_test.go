package streamorigin

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	wirev1 "cobaltramp.example/cobaltramp/api/wire/v1"
)

// Records expire, and one with a lower sequence that arrives late changes nothing.
func TestTableHoldsNewestRecordUntilItExpires(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	table := NewTable(now)
	is.NoErr(table.Put(1, Record{Origin: Origin{"s", "v2"}, Sequence: 2}, time.Second, now))
	is.NoErr(table.Put(1, Record{Origin: Origin{"s", "v1"}, Sequence: 1}, time.Second, now))
	found, exists := table.Find(1, now.Add(time.Second-1))
	is.True(exists)
	is.Equal(found, Record{Origin: Origin{"s", "v2"}, Sequence: 2})
	_, exists = table.Find(1, now.Add(time.Second))
	is.True(!exists)
	is.NoErr(table.Put(2, Record{Origin: Origin{"s", "v1"}, Sequence: 1}, time.Second, now.Add(2*sweepInterval)))
	is.Equal(table.Len(), 1) // the expired record was dropped
}

// A table that refuses a record no longer has all records of the window, until it has passed.
func TestFullTableIsIncomplete(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	table := NewTable(now)
	table.limit = 2
	is.True(!table.Complete(time.Minute, now.Add(time.Minute-1)))
	later := now.Add(time.Minute)
	is.True(table.Complete(time.Minute, later))
	for key := range Key(2) {
		is.NoErr(table.Put(key, Record{Origin: Origin{"s", "v1"}, Sequence: 1}, MaxWindow, later))
	}
	is.Equal(table.Put(2, Record{Origin: Origin{"s", "v1"}, Sequence: 1}, MaxWindow, later), errTableFull)
	is.NoErr(table.Put(1, Record{Origin: Origin{"s", "v2"}, Sequence: 2}, MaxWindow, later)) // replaces
	is.True(!table.Complete(time.Minute, later.Add(time.Minute-1)))
	is.True(table.Complete(time.Minute, later.Add(time.Minute)))
}

// All nodes that know the same disks must choose the same holders, and the two preferred ones must
// not be lost with one zone.
func TestHoldersAreStableAndInDifferentZones(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var disks []*wirev1.NodeRecord
		zones := map[string]bool{}
		for i := range rapid.IntRange(0, 9).Draw(t, "disks") {
			zone := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "zone")
			zones[zone] = true
			disks = append(disks, &wirev1.NodeRecord{NodeId: fmt.Sprint("n", i), Zone: zone})
		}
		key := Key(rapid.Uint64().Draw(t, "key"))
		holders := holdersOf(disks, key)
		reversed := make([]*wirev1.NodeRecord, 0, len(disks))
		for i := range disks {
			reversed = append(reversed, disks[len(disks)-1-i])
		}
		if fmt.Sprint(holdersOf(reversed, key)) != fmt.Sprint(holders) {
			t.Fatal("the holders depend on the order of the records")
		}
		if len(holders) != min(maxHolders, len(disks)) {
			t.Fatalf("%d holders of %d disks", len(holders), len(disks))
		}
		if len(zones) > 1 && holders[0].Zone == holders[1].Zone {
			t.Fatal("both copies are in one zone")
		}
	})
}

// Callers can't name the attempt of another tenant or request: its content is part of the key.
func TestKeyDependsOnContentAndAttempt(t *testing.T) {
	is := is.New(t)
	is.Equal(KeyOf(1, "a"), KeyOf(1, "a"))
	is.True(KeyOf(1, "a") != KeyOf(2, "a"))
	is.True(KeyOf(1, "a") != KeyOf(1, "b"))
}

// The window covers the attempt that began a stream and the caller's next ones, within limits.
func TestWindow(t *testing.T) {
	is := is.New(t)
	is.Equal(WindowOf(5*time.Second), 10*time.Second)
	is.Equal(WindowOf(time.Second), minWindow)
	is.Equal(WindowOf(time.Hour), MaxWindow)
	is.Equal(WindowOf(0), MaxWindow)
}
