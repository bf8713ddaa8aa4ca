package quarantine

import (
	"math/rand/v2"
	"time"

	"k8s.io/klog/v2"

	wirev1 "cobaltramp.example/cobaltramp/api/wire/v1"
)

const (
	// partDecisionDelay is the time from an ending under a part to the decision whether the
	// part is held. Other nodes report their evidence for the part within it.
	partDecisionDelay = 350 * time.Millisecond
	// maxEvidenceDelay bounds the delay after which a node reports that it knows an earlier
	// completion of a part. The delay is random, so that few of the nodes that know one
	// report it.
	maxEvidenceDelay = 200 * time.Millisecond
	// remoteDecisionDelay is the time from the last ending under a part to the decision of a
	// node that observed none of them, and remoteDecisionSpread the longest further delay by
	// which such nodes differ.
	remoteDecisionDelay  = time.Second
	remoteDecisionSpread = time.Second
	// evidenceInterval is how much later than the last reported completion of a part another
	// one must be to be reported.
	evidenceInterval = 100 * time.Millisecond
	// maxEvidenceEntries is the maximum number of parts whose last reported completion is
	// remembered. At the maximum all are forgotten.
	maxEvidenceEntries = 4096
)

// holdsOf returns the active holds of work, unless it is an item, and of the parts of its prompt. A
// part that is held because of another service may be sent to a service where it was completed
// recently.
func (c *Coordinator) holdsOf(work *Work, now time.Time) []Hold {
	var holds []Hold
	if hold, remaining := c.table.activeHold(work.Fingerprint, now); remaining > 0 && !work.Item {
		holds = append(holds, hold)
	}
	for i := range work.Parts {
		hold, remaining := c.table.activeHold(work.Parts[i].Fingerprint, now)
		if remaining > 0 && !c.provenElsewhere(&hold, work.Service, now) {
			holds = append(holds, hold)
		}
	}
	return holds
}

// provenElsewhere reports whether a part that is held because of one service was recently
// completed at another service.
func (c *Coordinator) provenElsewhere(hold *Hold, service string, now time.Time) bool {
	if hold.Environment.Service == "" || hold.Environment.Service == service {
		return false
	}
	_, proven := c.parts.LastCompletion(hold.Fingerprint, Environment{service, hold.Environment.Version}, now)
	return proven
}

// recordPartEndings records that a runner ended while it ran work of this node.
func (c *Coordinator) recordPartEndings(work *Work, run Run, now time.Time) {
	for _, part := range work.Parts {
		if !c.parts.RecordEnding(part, run, work, true, now) && !c.table.mayCause(work.Fingerprint) {
			continue
		}
		_, completed := c.parts.LastCompletion(part.Fingerprint, Environment{work.Service, run.Version}, now)
		c.addToNotice(func(notice *wirev1.QuarantineNotice) {
			notice.PartEndings = append(notice.PartEndings, &wirev1.PartEnding{
				Part: uint64(part.Fingerprint), Name: part.Name, Request: uint64(work.Fingerprint), Runner: run.Start, Service: work.Service, Version: run.Version,
				RanMs: roundUpToMilliseconds(time.Since(run.Began)), CompletedBefore: completed,
			})
		})
		c.partDecisions.Trigger()
	}
}

// receivePartEnding applies an ending that another node observed. If this node knows an
// earlier completion of the part and the other node does not, it reports the completion after
// a random delay.
func (c *Coordinator) receivePartEnding(ending *wirev1.PartEnding, now time.Time) {
	part := Part{Fingerprint(ending.Part), ending.Name}
	run := Run{Start: ending.Runner, Version: ending.Version, Began: now.Add(-time.Duration(ending.RanMs) * time.Millisecond)}
	if c.parts.RecordEnding(part, run, &Work{Fingerprint: Fingerprint(ending.Request), Service: ending.Service}, false, now) {
		c.partDecisions.Trigger()
		c.remoteDecisions.Trigger()
	}
	environment := Environment{ending.Service, ending.Version}
	if _, known := c.parts.LastCompletion(part.Fingerprint, environment, now); known && !ending.CompletedBefore {
		time.AfterFunc(rand.N(maxEvidenceDelay), func() { c.reportCompletion(part.Fingerprint, environment) })
	}
}

// reportCompletion reports the last completion of a part to other nodes, unless they know one
// that is hardly older.
func (c *Coordinator) reportCompletion(part Fingerprint, environment Environment) {
	now := time.Now()
	completed, known := c.parts.LastCompletion(part, environment, now)
	if !known || !c.claimEvidence(completionKey{part, environment}, completed) {
		return
	}
	c.addToNotice(func(notice *wirev1.QuarantineNotice) {
		notice.PartCompletions = append(notice.PartCompletions, &wirev1.PartCompletion{
			Part: uint64(part), Service: environment.Service, Version: environment.Version,
			AgeMs: uint32(max(0, now.Sub(completed).Milliseconds())),
		})
	})
}

// claimEvidence records that other nodes know a completion of a part, or are told of it by the
// caller. It returns false if they know one that is hardly older.
func (c *Coordinator) claimEvidence(evidence completionKey, completed time.Time) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if told, found := c.evidence[evidence]; found && completed.Sub(told) < evidenceInterval {
		return false
	}
	if len(c.evidence) >= maxEvidenceEntries {
		clear(c.evidence)
	}
	c.evidence[evidence] = completed
	return true
}

// receivePartCompletion applies the report of another node.
func (c *Coordinator) receivePartCompletion(completion *wirev1.PartCompletion, now time.Time) {
	part, environment := Fingerprint(completion.Part), Environment{completion.Service, completion.Version}
	completed := now.Add(-time.Duration(completion.AgeMs) * time.Millisecond)
	c.claimEvidence(completionKey{part, environment}, completed)
	c.parts.RecordCompletion(part, environment, completed)
}

// recordPartCompletions records the completion of a run as evidence for the parts of its
// prompt, and lifts their holds. It reports the evidence if the parts are suspected.
func (c *Coordinator) recordPartCompletions(work *Work, run Run, now time.Time) {
	environment := Environment{work.Service, run.Version}
	for _, part := range work.Parts {
		suspected := c.parts.Suspected(part.Fingerprint)
		c.parts.RecordCompletion(part.Fingerprint, environment, now)
		if suspected {
			c.reportCompletion(part.Fingerprint, environment)
		}
		c.liftRefuted(part.Fingerprint, environment, now)
	}
}

// liftRefuted lifts the hold of a part that was completed in the environment.
func (c *Coordinator) liftRefuted(part Fingerprint, environment Environment, now time.Time) {
	hold, remaining := c.table.activeHold(part, now)
	if remaining <= 0 || !hold.refutedBy(environment) {
		return
	}
	if lifted := c.table.Lift(part, now); lifted != nil {
		c.distributeHold(*lifted, "a runner has completed a request with the part")
	}
}

// decideParts holds the parts for which the endings suffice, lifts the holds of parts whose endings
// are explained by other parts, and distributes these changes.
func (c *Coordinator) decideParts() {
	now := time.Now()
	held := func(work Fingerprint) bool {
		_, remaining := c.table.activeHold(work, now)
		return remaining > 0
	}
	c.confirmParts(held, now)
	for _, decided := range c.parts.Decide(held, now) {
		disturbed := c.background.disturbed(decided.environment.Service, decided.endings, now)
		hold := decided.holdPart(c.table.holdOf(decided.part.Fingerprint), disturbed, now)
		if !c.table.ApplyHold(hold) {
			continue
		}
		klog.InfoS("part of prompts is held", "part", hold.Part, "fingerprint", hold.Fingerprint, "failures", decided.failures,
			"evidence", hold.Evidence, "provisional", hold.Provisional, "awaitsCalm", hold.AwaitsCalm, "disturbed", disturbed, "breadth", decided.breadth, "unexplained", len(decided.unexplained), "endings", len(decided.endings), "completedBefore", decided.proven,
			"service", decided.environment.Service, "version", decided.environment.Version, "runners", decided.unexplained)
		c.distributeHold(hold, "runners ended")
		c.explainEndings(&hold, now)
	}
	for part, explained := c.parts.Explained(held); explained; part, explained = c.parts.Explained(held) {
		lifted := c.table.Lift(part, now)
		if lifted == nil {
			return
		}
		c.parts.ReduceFailures(part)
		c.distributeHold(*lifted, "other parts of prompts explain the endings")
	}
}

// confirmParts confirms the provisional holds of parts under which runs that were under way have
// ended as well.
func (c *Coordinator) confirmParts(held func(Fingerprint) bool, now time.Time) {
	for _, hold := range c.table.Holds(now) {
		if hold.Part == "" || !hold.Provisional {
			continue
		}
		disturbed := c.background.disturbed(hold.Environment.Service, c.parts.endingsUnder(hold.Fingerprint), now)
		confirmed, decided := hold.confirmedBy(c.parts.Breadth(hold.Fingerprint, held, now), disturbed, now)
		if !decided || !c.table.ApplyHold(confirmed) {
			continue
		}
		c.distributeHold(confirmed, "runs under way ended their runners too")
		c.explainEndings(&confirmed, now)
	}
}

// explainEndings attributes the endings under a held part to it, and lifts the holds of
// requests that were held because of these endings only.
func (c *Coordinator) explainEndings(hold *Hold, now time.Time) {
	for _, lifted := range c.table.Explain(c.parts.EndingsOf(hold.Fingerprint), !hold.Provisional, now) {
		c.distributeHold(lifted, "a part of prompts explains the endings")
	}
}

// receivePartHold completes the application of a hold of a part from another node or from the
// store. A node that completed a request with the part just now lifts the hold at once.
func (c *Coordinator) receivePartHold(hold Hold, now time.Time) {
	if hold.Until == 0 {
		c.parts.ReduceFailures(hold.Fingerprint)
		return
	}
	if hold.Part == "" {
		return
	}
	c.explainEndings(&hold, now)
	completed, known := c.parts.LastCompletion(hold.Fingerprint, hold.Environment, now)
	if known && completed.UnixMilli() > hold.Decided {
		c.liftRefuted(hold.Fingerprint, hold.Environment, now)
	}
}

// roundUpToMilliseconds converts a duration that is not negative.
func roundUpToMilliseconds(duration time.Duration) uint32 {
	return uint32(max(0, (duration + time.Millisecond - 1).Milliseconds()))
}
