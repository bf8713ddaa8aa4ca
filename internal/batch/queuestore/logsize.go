package queuestore

// logSize tracks the size in bytes of the part of a shard's log that was written since the
// replica started and has not been discarded. It knows the boundaries between durable writes,
// not those between entries.
type logSize struct {
	marks []logMark
	total uint64
}

// logMark is the end of one durable write: the index of its last entry, and the tracked bytes
// up to and including this entry.
type logMark struct {
	index, bytes uint64
}

// recordWrite records a durable write of the given size whose last entry has the given index.
func (l *logSize) recordWrite(index, bytes uint64) {
	l.total += bytes
	l.marks = append(l.marks, logMark{index, l.total})
}

// discardFrom removes the entries from an index on, because a newer leader overwrites them.
// If a write also contains earlier entries, these are no longer counted either.
func (l *logSize) discardFrom(from uint64) {
	for len(l.marks) > 0 && l.marks[len(l.marks)-1].index >= from {
		l.marks = l.marks[:len(l.marks)-1]
	}
	l.total = 0
	if len(l.marks) > 0 {
		l.total = l.marks[len(l.marks)-1].bytes
	}
}

// discardUpTo removes the writes whose entries all have indexes up to upTo.
func (l *logSize) discardUpTo(upTo uint64) {
	kept := 0
	for kept < len(l.marks) && l.marks[kept].index <= upTo {
		kept++
	}
	if kept == 0 {
		return
	}
	removed := l.marks[kept-1].bytes
	l.marks = append([]logMark(nil), l.marks[kept:]...)
	for i := range l.marks {
		l.marks[i].bytes -= removed
	}
	l.total -= removed
}

// truncationIndex returns the highest end of a write up to which entries can be deleted while
// at least the given number of bytes remains, or 0 if there is none.
func (l *logSize) truncationIndex(bytes uint64) uint64 {
	index := uint64(0)
	for _, mark := range l.marks {
		if l.total-mark.bytes < bytes {
			break
		}
		index = mark.index
	}
	return index
}
