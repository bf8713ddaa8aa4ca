package relay

import "sort"

// appendLog appends a change to the log. The mutex is held.
func (m *Mirror) appendLog(revision int64, key string) {
	if last := len(m.log) - 1; last >= 0 && m.log[last].revision > revision {
		m.unsorted = true
	}
	m.log = append(m.log, logEntry{revision, key})
}

// sortLog sorts the log by revision if necessary, and compacts it. The mutex is held.
func (m *Mirror) sortLog() {
	if m.unsorted {
		sort.SliceStable(m.log, func(i, j int) bool { return m.log[i].revision < m.log[j].revision })
		m.unsorted = false
	}
	m.compact()
}

// compactSlack is how far outdated log entries may outnumber valid ones, and how far the
// tombstones may exceed maxTombstones, before the mirror compacts the log. It keeps the
// mirror from reading the whole log for each change.
const compactSlack = 1024

// compact removes the outdated entries from the log, and the oldest tombstones beyond
// maxTombstones. It does nothing until one of the two limits of compactSlack is exceeded.
// The log has to be sorted. The mutex is held.
func (m *Mirror) compact() {
	if len(m.log) <= 2*(len(m.values)+len(m.tombstones))+compactSlack && len(m.tombstones) <= maxTombstones+compactSlack {
		return
	}
	surplus := len(m.tombstones) - maxTombstones
	kept := m.log[:0:0]
	for _, entry := range m.log {
		deleted, isDeleted := m.tombstones[entry.key]
		switch {
		case isDeleted && deleted.revision == entry.revision && surplus > 0:
			surplus--
			m.compactedRevision = max(m.compactedRevision, entry.revision)
			delete(m.tombstones, entry.key)
			delete(m.relocated, entry.key)
		case m.isLatest(entry):
			kept = append(kept, entry)
		}
	}
	m.log = kept
}

// isLatest reports whether a log entry is the newest entry of its key.
func (m *Mirror) isLatest(entry logEntry) bool {
	if value, held := m.values[entry.key]; held {
		return value.Revision == entry.revision
	}
	deleted, isDeleted := m.tombstones[entry.key]
	return isDeleted && deleted.revision == entry.revision
}
