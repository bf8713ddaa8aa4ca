package quarantine

import (
	"cmp"
	"slices"
	"time"
)

// The rules for parts of prompts. Requests that are not alike may share a part that crashes
// runners. Nearly all sound requests share parts too, and each ending breaks the runs of
// bystanders, so endings alone prove nothing:
//
//   - A completed run is evidence for all parts of its prompt. Endings count only if their
//     run began after the last completion.
//   - Runners that are lost together say nothing about a part. An ending is a failure only if
//     its run began after the previous failure, so that the failures of a part are successive
//     attempts, all of which failed.
//   - An ending is explained if a request with a held part ran at that runner as well. The
//     hold of a part whose endings are all explained by other parts is lifted.

const (
	// failuresToHold is the number of failures for which a part without evidence is held, and
	// failuresToHoldProven the number for a part that was completed within completionTTL in
	// the same environment.
	failuresToHold       = 3
	failuresToHoldProven = 5
	// failuresToHoldAmbiguous is the number of failures for which a part is held although another
	// part explains the same endings.
	failuresToHoldAmbiguous = 5
	// ownEndings is the number of endings that a part must have beside those of another part to
	// explain them.
	ownEndings = 2
	// partEndingTTL is how long the ending of a runner under a part counts. It is longer
	// than that of requests: a part may be sent seldom.
	partEndingTTL = 24 * time.Hour
	// partHoldDuration is the duration of the hold of a part.
	partHoldDuration = 24 * time.Hour
)

// failure is one of the successive endings of runners under a part.
type failure struct {
	runner      string // its start
	at          time.Time
	environment Environment
}

// partCase is what is known of a part when holds are decided.
type partCase struct {
	part Part
	// failures is the number of failures, and unexplained contains the runners of those that
	// no held part explains.
	failures    int
	unexplained []string
	// endings contains the starts of all runners that ended under the part.
	endings map[string]time.Time
	// proven is set if the part was completed in the environment of the last failure.
	proven bool
	// environment is that of the last failure.
	environment Environment
}

// mustHoldPart reports whether the endings suffice to hold the part. A part without evidence
// whose failures are explained but for a few is held as well: two parts that crash runners may
// have run together.
func (c *partCase) mustHoldPart() bool {
	if c.proven {
		return len(c.unexplained) >= failuresToHoldProven
	}
	return len(c.unexplained) >= failuresToHold || len(c.unexplained) > 0 && c.failures >= failuresToHoldAmbiguous
}

// explains reports whether a part may be the cause of all endings of another case.
func (c *partCase) explains(other *partCase) bool {
	for _, runner := range other.unexplained {
		if _, found := c.endings[runner]; !found {
			return false
		}
	}
	return true
}

// explainedByOthers reports whether other held parts explain all endings of a held part: there
// is another one for each ending, which has enough endings of its own.
func explainedByOthers(endings map[string]time.Time, others []map[string]time.Time) bool {
	open := len(endings)
	explained := map[string]bool{}
	for _, other := range others {
		shared := 0
		for runner := range endings {
			if _, found := other[runner]; found {
				shared++
			}
		}
		if len(other)-shared < ownEndings {
			continue
		}
		for runner := range endings {
			if _, found := other[runner]; found && !explained[runner] {
				explained[runner] = true
				open--
			}
		}
	}
	return open == 0
}

// compareCases orders cases by how likely their part is the cause, the likeliest first. The
// order of equal cases is the same on all nodes.
func compareCases(a, b *partCase) int {
	provenFlag := func(c *partCase) int {
		if c.proven {
			return 1
		}
		return 0
	}
	return cmp.Or(
		cmp.Compare(provenFlag(a), provenFlag(b)), cmp.Compare(len(b.unexplained), len(a.unexplained)),
		cmp.Compare(len(b.endings), len(a.endings)), cmp.Compare(a.part.Fingerprint, b.part.Fingerprint),
	)
}

// nextPartToHold returns the case of the part that is held next, or nil if there is none. A
// part is not held yet if another one without more evidence for it explains the same endings,
// until the part has failuresToHoldAmbiguous failures.
func nextPartToHold(cases []*partCase) *partCase {
	slices.SortFunc(cases, compareCases)
	for _, candidate := range cases {
		if !candidate.mustHoldPart() {
			continue
		}
		ambiguous := slices.ContainsFunc(cases, func(other *partCase) bool {
			return other != candidate && (candidate.proven || !other.proven) && other.explains(candidate)
		})
		if !ambiguous || candidate.failures >= failuresToHoldAmbiguous {
			return candidate
		}
	}
	return nil
}

// holdPart returns the hold of a part. Previous is the part's previous hold; the zero Hold if
// there was none.
func (c *partCase) holdPart(previous Hold, now time.Time) Hold {
	decided := max(now.UnixMilli(), previous.Decided+1)
	return Hold{
		Fingerprint: c.part.Fingerprint, Decided: decided, Until: now.Add(partHoldDuration).UnixMilli(),
		Length: partHoldDuration.Milliseconds(), Part: c.part.label(), Environment: c.environment, TrialAt: nextTrial(0, now),
	}
}

// refutedBy reports whether a completion in an environment refutes the hold of a part.
func (h *Hold) refutedBy(environment Environment) bool {
	return h.Environment == Environment{} || h.Environment == environment
}
