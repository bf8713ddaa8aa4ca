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
//   - The endings under a part are explained as well if a single held request ran at all of these
//     runners.
//   - While many runners end, whatever they run, a failure counts less, and no hold is confirmed
//     (background).

const (
	// failuresToHold is the number of failures for which a part without evidence is held, at
	// first provisionally, and failuresToHoldProven the number for a part that was completed
	// within completionTTL in the same environment. The numbers are those of a calm time.
	failuresToHold       = 3
	failuresToHoldProven = 5
	// failuresToHoldBroadly is the number of failures for which a part without evidence is held
	// provisionally if all endings under it, also those of runs at the same time, amount to
	// endingsToConfirm.
	failuresToHoldBroadly = 2
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
	observedEnding
	environment Environment
}

// partCase is what is known of a part when holds are decided.
type partCase struct {
	part Part
	// failures is the number of failures, and evidence the sum of their weights. unexplained
	// contains the runners of those that no held part explains, and unexplainedEvidence the
	// sum of their weights.
	failures            int
	evidence            float64
	unexplained         []string
	unexplainedEvidence float64
	// breadth is the sum of the weights of all endings that no held part explains.
	breadth float64
	// endings contains the starts of all runners that ended under the part.
	endings map[string]observedEnding
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
		return amountsTo(c.unexplainedEvidence, failuresToHoldProven)
	}
	if len(c.unexplained) > 0 && amountsTo(c.evidence, failuresToHoldAmbiguous) {
		return true
	}
	if amountsTo(c.unexplainedEvidence, failuresToHoldBroadly) && amountsTo(c.breadth, endingsToConfirm) {
		return true
	}
	return amountsTo(c.unexplainedEvidence, failuresToHold)
}

// isAmbiguous reports whether other cases may be the causes of all failures of the case: a single
// one, or several together each of which has at least as much evidence. Cases of proven parts
// explain only those of proven parts.
func (c *partCase) isAmbiguous(cases []*partCase) bool {
	explained := map[string]bool{}
	for _, other := range cases {
		if other == c || other.proven && !c.proven {
			continue
		}
		shared := 0
		for _, runner := range c.unexplained {
			if _, found := other.endings[runner]; !found {
				continue
			}
			shared++
			if other.unexplainedEvidence >= c.unexplainedEvidence {
				explained[runner] = true
			}
		}
		if shared == len(c.unexplained) {
			return true
		}
	}
	return len(explained) == len(c.unexplained)
}

// explainedByOthers reports whether other held parts explain all endings of a held part: there
// is another one for each ending, which has enough endings of its own.
func explainedByOthers(endings map[string]observedEnding, others []map[string]observedEnding) bool {
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
		cmp.Compare(provenFlag(a), provenFlag(b)), cmp.Compare(b.unexplainedEvidence, a.unexplainedEvidence),
		cmp.Compare(len(b.endings), len(a.endings)), cmp.Compare(a.part.Fingerprint, b.part.Fingerprint),
	)
}

// nextPartToHold returns the case of the part that is held next, or nil if there is none. A
// part is not held yet while its case is ambiguous, until it has the evidence of
// failuresToHoldAmbiguous failures.
func nextPartToHold(cases []*partCase) *partCase {
	slices.SortFunc(cases, compareCases)
	for _, candidate := range cases {
		if !candidate.mustHoldPart() {
			continue
		}
		if amountsTo(candidate.evidence, failuresToHoldAmbiguous) || !candidate.isAmbiguous(cases) {
			return candidate
		}
	}
	return nil
}

// holdPart returns the hold of a part. Previous is the part's previous hold; the zero Hold if
// there was none. Unless other runners end as well (disturbed), runs that were under way together
// count as much as successive ones: nothing but the part explains their ends.
func (c *partCase) holdPart(previous Hold, disturbed bool, now time.Time) Hold {
	hold := Hold{
		Fingerprint: c.part.Fingerprint, Decided: max(now.UnixMilli(), previous.Decided+1), Until: now.Add(partHoldDuration).UnixMilli(),
		Length: partHoldDuration.Milliseconds(), Part: c.part.label(), Environment: c.environment,
		Evidence: c.evidence,
	}
	if !disturbed {
		hold.Evidence = max(c.evidence, c.breadth)
	}
	hold.confirm(disturbed, now)
	hold.delayFirstTrial(now)
	return hold
}

// refutedBy reports whether a completion in an environment refutes the hold of a part.
func (h *Hold) refutedBy(environment Environment) bool {
	return h.Environment == Environment{} || h.Environment == environment
}
