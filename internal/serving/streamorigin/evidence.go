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
	// versions is what the node knows about the versions of the service.
	versions runnerset.VersionKnowledge
	// holders are the nodes that may hold the record, as far as the node knows; empty if it is of an
	// earlier version, which does not name them.
	holders []*wirev1.NodeRecord
}

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
//  1. A record proves it, the one with the highest sequence if there are several.
//  2. It is proven if the nodes that knew all runners during the window, at least one, have listed
//     only one version.
//  3. A node that lists several versions sends no stream without a confirmed record. So if all
//     holders, also those that only some nodes know, have all records of the window and none of the
//     stream, the stream began at a node that still listed a single version, which must be
//     established at all nodes.
func (e *evidence) conclude(service string) conclusion {
	if record, source := e.newestRecord(); record != nil {
		return conclusion{record.Origin, ProofRecord, source}
	}
	seen, established, source := e.knownVersions()
	if len(seen) == 1 {
		return conclusion{Origin{service, seen[0]}, ProofSole, source}
	}
	if len(established) == 1 && e.holdersHaveNone() && e.allRecord {
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

// knownVersions returns the versions that were listed and those that were established, by all
// nodes that knew all runners during the window, and the first of these nodes.
func (e *evidence) knownVersions() (seen, established []string, source string) {
	for _, known := range e.answers() {
		if !known.versions.Known {
			continue
		}
		if source == "" {
			source = known.node
		}
		seen = append(seen, known.versions.Seen...)
		established = append(established, known.versions.Established...)
	}
	return distinct(seen), distinct(established), source
}

func distinct(versions []string) []string {
	slices.Sort(versions)
	return slices.Compact(versions)
}

// holdersHaveNone reports whether all holders answered, and would have a record if one had been
// confirmed in the window.
func (e *evidence) holdersHaveNone() bool {
	incomplete := func(known answer) bool { return !known.complete }
	return e.asked > 0 && e.allAsked && len(e.holders) == e.asked && !slices.ContainsFunc(e.holders, incomplete)
}
