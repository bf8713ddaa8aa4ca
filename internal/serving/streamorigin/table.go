package streamorigin

import (
	"errors"
	"sync"
	"time"
	"unique"
)

const (
	// maxRecords limits the memory of a Table. A record takes about 100 bytes.
	maxRecords = 1 << 16
	// sweepInterval is the time between two searches for expired records.
	sweepInterval = time.Second
)

// errTableFull is returned for a record for which there is no room.
var errTableFull = errors.New("the table of stream origins is full")

// Table holds records of origins until they expire. It is safe for concurrent use.
//
// Invariant: a record is replaced only by one with a higher sequence, and is dropped only when
// it has expired.
type Table struct {
	mutex   sync.Mutex
	limit   int
	records map[Key]heldRecord
	sweptAt time.Time
	// completeSince is when the table was created or last refused a record.
	completeSince time.Time
}

type heldRecord struct {
	origin   unique.Handle[Origin]
	runner   unique.Handle[string]
	sequence uint32
	expires  time.Time
}

// Record is the origin of a stream. Sequence orders the records of one stream: a retry before the
// first event may change the origin.
type Record struct {
	Origin   Origin
	Sequence uint32
	// Runner is the ID of the runner that the stream was sent to; empty if a node of an earlier
	// version made the record.
	Runner string
}

// NewTable returns an empty table.
func NewTable(now time.Time) *Table {
	return &Table{limit: maxRecords, records: map[Key]heldRecord{}, completeSince: now, sweptAt: now}
}

// Put adds a record that expires after its lifetime. It returns errTableFull, and adds nothing, if
// there is no room.
func (t *Table) Put(key Key, record Record, lifetime time.Duration, now time.Time) error {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.sweep(now)
	held, exists := t.records[key]
	if exists && held.sequence >= record.Sequence && now.Before(held.expires) {
		return nil
	}
	if !exists && len(t.records) >= t.limit {
		t.completeSince = now
		return errTableFull
	}
	t.records[key] = heldRecord{unique.Make(record.Origin), unique.Make(record.Runner), record.Sequence, now.Add(min(lifetime, MaxWindow))}
	return nil
}

// sweep drops expired records, at most once in each sweepInterval. The mutex is held.
func (t *Table) sweep(now time.Time) {
	if now.Sub(t.sweptAt) < sweepInterval {
		return
	}
	t.sweptAt = now
	for key, held := range t.records {
		if !now.Before(held.expires) {
			delete(t.records, key)
		}
	}
}

// Find returns the record of a stream, and whether there is one.
func (t *Table) Find(key Key, now time.Time) (Record, bool) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	held, exists := t.records[key]
	if !exists || !now.Before(held.expires) {
		return Record{}, false
	}
	return Record{held.origin.Value(), held.sequence, held.runner.Value()}, true
}

// Complete reports whether the table has all records that it was given in the window that ends
// now.
func (t *Table) Complete(window time.Duration, now time.Time) bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return now.Sub(t.completeSince) >= window
}

// Len returns the number of records, including expired ones that were not dropped yet.
func (t *Table) Len() int {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return len(t.records)
}
