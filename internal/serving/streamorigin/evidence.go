package streamorigin

import (
	"slices"
	"time"

	wirev1 "cobaltramp.example/cobaltramp/api/wire/v1"
	"cobaltramp.example/cobaltramp/internal/serving/runnerset"
)

// Proof is how the version of a stream was concluded.
type Proof string

// Values of Proof.
const (
	// ProofRecord means that a node held the record of the stream.
	ProofRecord Proof = "record"
	// ProofSole means that all runners of the service had one version while the stream can
	// have begun.
	ProofSole Proof = "sole_version"
	// ProofUnrecorded means that no holder has a record, and that only one version was
	// established when a node may still have sent no records.
	ProofUnrecorded Proof = "unrecorded"
	// ProofNone means that the version is unknown.
	ProofNone Proof = "none"
)

// answer is what one node knows about a stream.
type answer struct {
	// node is the ID of the node, for the log.
	node string
	// record is the record of the stream; nil if the node has none.
	record *Record
	// complete is set if the node has all records of the window that it was sent.
	complete bool
	// versions is what the node knows about the versions of the service, and current is set if its
	// list was known to be current after the caller had asked to resume the stream. The list then
	// has each version at which the stream can have begun.
	versions runnerset.VersionKnowledge
	current  bool
	// holders are the nodes that may hold the record, as far as the node knows; empty if it is of an
	// earlier version, which does not name them.
	holders []*wirev1.NodeRecord
}

// mayProveSole reports whether the node's list would prove the version of the stream if it was known to
// be current.
func (a *answer) mayProveSole() bool { return a.versions.Known && len(a.versions.Seen) == 1 }

// evidence is what is known about a stream that a caller resumes.
type evidence struct {
	// own is the answer of this node.
	own answer
	// holders are the answers of the holders that answered, and asked is the number of holders.
	holders []answer
	asked   int
	// unanswered are the IDs of the holders that did not answer.
	unanswered []string
	// allAsked is set if each holder that one of the answers names was asked.
	allAsked bool
	// allRecord is set if all nodes that may have begun the stream record the origins of their
	// streams. Nodes of earlier versions don't.
	allRecord bool
}

// conclusion is the result of conclude.
type conclusion struct {
	origin Origin
	proof  Proof
	// source is the node that the proof is from; empty if it is from several.
	source string
}

// proofAge returns the age of the list of the node that the proof is from. found is false if the
// proof is not from a list.
func (e *evidence) proofAge(concluded conclusion) (age time.Duration, found bool) {
	if concluded.proof != ProofSole && concluded.proof != ProofUnrecorded {
		return 0, false
	}
	for _, known := range e.answers() {
		if known.node == concluded.source {
			return known.versions.Age, true
		}
	}
	return 0, false
}

// conclude concludes where a stream began; service is its service if it is not recorded.
//
//  1. A record proves it, the one with the highest sequence if there are several, unless its runner
//     was listed with several versions: the node that began the stream may not have listed the one
//     that the runner had.
//  2. It is proven if one version alone was listed during the window, by all answers, and one of the
//     nodes knows the whole window until after the caller has asked. A list that is older says
//     nothing about a stream that began later.
//  3. A node that lists several versions sends no stream without a confirmed record. So if all
//     holders, also those that only some nodes know, have all records of the window and none of the
//     stream, the stream began at a node that still listed a single version, which must be
//     established at all nodes. What was listed since does not matter then, so that the lists may be
//     older, unless a runner came back under its ID with another version.
func (e *evidence) conclude(service string) conclusion {
	if record, source := e.newestRecord(); record != nil {
		if slices.Contains(e.changedRunners(), record.Runner) {
			return conclusion{proof: ProofNone, source: source}
		}
		return conclusion{record.Origin, ProofRecord, source}
	}
	if seen, source := e.seenVersions(); len(seen) == 1 && source != "" {
		return conclusion{Origin{service, seen[0]}, ProofSole, source}
	}
	established, source := e.establishedVersions()
	if len(established) == 1 && e.holdersHaveNone() && e.allRecord && len(e.changedRunners()) == 0 {
		return conclusion{Origin{service, established[0]}, ProofUnrecorded, source}
	}
	return conclusion{proof: ProofNone}
}

// answers returns all answers, that of this node first.
func (e *evidence) answers() []answer { return append([]answer{e.own}, e.holders...) }

// newestRecord returns the record with the highest sequence and the node that has it; nil if
// there is none.
func (e *evidence) newestRecord() (newest *Record, source string) {
	for _, known := range e.answers() {
		if known.record != nil && (newest == nil || known.record.Sequence > newest.Sequence) {
			newest, source = known.record, known.node
		}
	}
	return newest, source
}

// seenVersions returns the versions that any node listed during the window, and the first node that
// knows the whole window until after the caller has asked; empty if there is none.
func (e *evidence) seenVersions() (seen []string, source string) {
	for _, known := range e.answers() {
		seen = append(seen, known.versions.Seen...)
		if source == "" && known.versions.Known && known.current {
			source = known.node
		}
	}
	return distinct(seen), source
}

// anyCurrent reports whether a list that knows the whole window is known to be current.
func (e *evidence) anyCurrent() bool {
	return slices.ContainsFunc(e.answers(), func(known answer) bool { return known.versions.Known && known.current })
}

// changedRunners returns the IDs of the runners that any node listed with several versions.
func (e *evidence) changedRunners() []string {
	var changed []string
	for _, known := range e.answers() {
		changed = append(changed, known.versions.ChangedRunners...)
	}
	return distinct(changed)
}

// establishedVersions returns the versions that were established, by all nodes that were in contact
// with the store when the window began, and the first of these nodes.
func (e *evidence) establishedVersions() (established []string, source string) {
	for _, known := range e.answers() {
		if !known.versions.InContact {
			continue
		}
		if source == "" {
			source = known.node
		}
		established = append(established, known.versions.Established...)
	}
	return distinct(established), source
}

func distinct(values []string) []string {
	slices.Sort(values)
	return slices.Compact(values)
}

// holdersHaveNone reports whether all holders answered, and would have a record if one had been
// confirmed in the window.
func (e *evidence) holdersHaveNone() bool {
	incomplete := func(known answer) bool { return !known.complete }
	return e.asked > 0 && e.allAsked && len(e.holders) == e.asked && !slices.ContainsFunc(e.holders, incomplete)
}
