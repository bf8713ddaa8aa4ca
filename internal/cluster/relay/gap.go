package relay

// revisionGap is the range of revisions, both ends excluded, between the contents of a mirror
// and a list that replaced them. The mirror does not know the changes in the range. A follower
// that has received some of them from another source may hold values that were created and
// deleted in the range, so it needs the complete contents.
type revisionGap struct{ after, before int64 }

// maxGaps bounds the gaps that a mirror keeps. Beyond it, the two oldest are merged, and more
// followers than necessary receive the complete contents.
const maxGaps = 8

// addGap records that a list at the revision before replaces the contents at the revision
// after. The mutex is held.
func (m *Mirror) addGap(after, before int64) {
	if before <= after+1 {
		return
	}
	m.gaps = append(m.gaps, revisionGap{after, before})
	if len(m.gaps) > maxGaps {
		m.gaps[1].after = m.gaps[0].after
		m.gaps = m.gaps[1:]
	}
}

// inGap reports whether a revision is in a gap. The mutex is held.
func (m *Mirror) inGap(revision int64) bool {
	for _, gap := range m.gaps {
		if revision > gap.after && revision < gap.before {
			return true
		}
	}
	return false
}

// needsWhole reports whether a follower needs the complete contents after a revision. A
// follower without a view may have a second source, which may have sent it changes of a gap
// that follows the revision. The mutex is held.
func (m *Mirror) needsWhole(revision int64, view *FollowerView) bool {
	if revision < m.compactedRevision || m.inGap(revision) {
		return true
	}
	return view == nil && len(m.gaps) > 0 && revision < m.gaps[len(m.gaps)-1].before
}
