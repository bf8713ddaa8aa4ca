package streamorigin

import (
	"slices"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	_ "cobaltramp.example/cobaltramp/internal/app/fixedseed"
	"cobaltramp.example/cobaltramp/internal/serving/runnerset"
)

// knowing is the answer of a node whose list is current and that was always in contact with the store.
// known is not set if it does not know the whole window.
func knowing(node string, known bool, seen, established []string) answer {
	versions := runnerset.VersionKnowledge{Known: known, Seen: seen, InContact: true, Established: established}
	return answer{node: node, complete: true, current: true, versions: versions}
}

// behind is an answer by a list that was not known to be current after the caller had asked.
func behind(known answer) answer {
	known.current = false
	return known
}

// withChangedRunner is an answer of a node that has listed a runner with several versions.
func withChangedRunner(known answer) answer {
	known.versions.ChangedRunners = []string{"r"}
	return known
}

// withoutContact is an answer of a node that was not in contact with the store when the window began.
func withoutContact(known answer) answer {
	known.versions.InContact, known.versions.Established = false, nil
	return known
}

func recorded(node, version string, sequence uint32) answer {
	return answer{node: node, record: &Record{Origin: Origin{"s", version}, Sequence: sequence}}
}

var (
	one      = []string{"v1"}
	two      = []string{"v1", "v2"}
	ignorant = answer{node: "own"}
)

// Each case states which answers prove a version and which do not.
func TestConclusions(t *testing.T) {
	for _, test := range []struct {
		name    string
		known   evidence
		version string
		proof   Proof
	}{
		{"a record", evidence{own: knowing("own", true, two, two), holders: []answer{recorded("a", "v2", 1)}, asked: 3}, "v2", ProofRecord},
		{"the newer of two records", evidence{own: ignorant, holders: []answer{recorded("a", "v2", 1), recorded("b", "v1", 2)}, asked: 3}, "v1", ProofRecord},
		{"a record against a single listed version", evidence{own: knowing("own", true, one, one), holders: []answer{recorded("a", "v2", 1)}, asked: 3}, "v2", ProofRecord},
		{"one version in a current list, no holder answers", evidence{own: knowing("own", true, one, one), asked: 3}, "v1", ProofSole},
		{"one version in a list that is behind, no holder answers", evidence{own: behind(knowing("own", true, one, one)), asked: 3}, "", ProofNone},
		{
			"one version in lists that are all behind, a holder is silent",
			evidence{own: behind(knowing("own", true, one, one)), holders: []answer{behind(knowing("a", true, one, one))}, asked: 2, allRecord: true, allAsked: true}, "", ProofNone,
		},
		{
			"one version in lists that are all behind, and no holder has a record",
			evidence{own: behind(knowing("own", true, one, one)), holders: []answer{behind(knowing("a", true, one, one)), behind(knowing("b", true, one, one))}, asked: 2, allRecord: true, allAsked: true},
			"v1", ProofUnrecorded,
		},
		{
			"a holder's current list proves what this node's list does not",
			evidence{own: behind(knowing("own", true, one, one)), holders: []answer{knowing("a", true, one, one)}, asked: 3}, "v1", ProofSole,
		},
		{
			"a current list has one version, a list that is behind another",
			evidence{own: behind(withoutContact(knowing("own", false, []string{"v0"}, nil))), holders: []answer{knowing("a", true, one, one)}, asked: 3}, "", ProofNone,
		},
		{
			"no node was in contact with the store when the window began",
			evidence{own: behind(withoutContact(knowing("own", true, one, one))), holders: []answer{behind(withoutContact(knowing("a", true, one, one)))}, asked: 1, allRecord: true, allAsked: true},
			"", ProofNone,
		},
		{"one version, known to a holder only", evidence{own: ignorant, holders: []answer{knowing("a", true, one, one)}, asked: 3}, "v1", ProofSole},
		{"one version, but not for the whole window", evidence{own: knowing("own", false, one, one), asked: 3}, "", ProofNone},
		{"this node missed a version", evidence{own: knowing("own", true, one, one), holders: []answer{knowing("a", true, two, two)}, asked: 3}, "", ProofNone},
		{"nothing known", evidence{own: ignorant, asked: 3}, "", ProofNone},
		{
			"a new version beside the established one, no records",
			evidence{own: knowing("own", true, two, one), holders: []answer{knowing("a", true, two, one), knowing("b", true, two, one)}, asked: 2, allRecord: true, allAsked: true},
			"v1", ProofUnrecorded,
		},
		{
			"no records, but a runner came back with another version",
			evidence{own: knowing("own", true, two, one), holders: []answer{withChangedRunner(knowing("a", true, two, one)), knowing("b", true, two, one)}, asked: 2, allRecord: true, allAsked: true},
			"", ProofNone,
		},
		{
			"a holder is missing",
			evidence{own: knowing("own", true, two, one), holders: []answer{knowing("a", true, two, one)}, asked: 2, allRecord: true, allAsked: true}, "", ProofNone,
		},
		{
			"a holder that this node did not know was not asked",
			evidence{own: knowing("own", true, two, one), holders: []answer{knowing("a", true, two, one)}, asked: 1, allRecord: true}, "", ProofNone,
		},
		{
			"a holder has lost its records",
			evidence{own: knowing("own", true, two, one), holders: []answer{knowing("a", true, two, one), {node: "b"}}, asked: 2, allRecord: true, allAsked: true}, "", ProofNone,
		},
		{
			"a node of an earlier version sends no records",
			evidence{own: knowing("own", true, two, one), holders: []answer{knowing("a", true, two, one), knowing("b", true, two, one)}, asked: 2}, "", ProofNone,
		},
		{
			"both versions are established",
			evidence{own: knowing("own", true, two, two), holders: []answer{knowing("a", true, two, two), knowing("b", true, two, two)}, asked: 2, allRecord: true, allAsked: true},
			"", ProofNone,
		},
		{"no holders exist", evidence{own: knowing("own", true, two, one), allRecord: true, allAsked: true}, "", ProofNone},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			concluded := test.known.conclude("s")
			is.Equal(concluded.proof, test.proof)
			is.Equal(concluded.origin.SoftwareVersion, test.version)
			is.True(test.version == "" || concluded.origin.Service == "s")
		})
	}
}

// Whatever the answers: a version is concluded only if a node has its record or has listed it, and
// never against a record.
func TestConclusionsAreFromAnswers(t *testing.T) {
	versions := rapid.SliceOfNDistinct(rapid.SampledFrom([]string{"v1", "v2", "v3"}), 0, 3, rapid.ID)
	drawAnswer := rapid.Custom(func(t *rapid.T) answer {
		drawn := knowing("n", rapid.Bool().Draw(t, "known"), versions.Draw(t, "seen"), nil)
		drawn.complete, drawn.current = rapid.Bool().Draw(t, "complete"), rapid.Bool().Draw(t, "current")
		for _, version := range drawn.versions.Seen {
			if rapid.Bool().Draw(t, "established") {
				drawn.versions.Established = append(drawn.versions.Established, version)
			}
		}
		if rapid.IntRange(0, 4).Draw(t, "record") == 0 {
			drawn.record = &Record{Origin: Origin{"s", rapid.SampledFrom([]string{"v1", "v2"}).Draw(t, "version")}, Sequence: rapid.Uint32Range(1, 3).Draw(t, "sequence")}
		}
		return drawn
	})
	rapid.Check(t, func(t *rapid.T) {
		known := evidence{own: drawAnswer.Draw(t, "own"), holders: rapid.SliceOfN(drawAnswer, 0, 3).Draw(t, "holders"), allRecord: rapid.Bool().Draw(t, "all"), allAsked: rapid.Bool().Draw(t, "all asked")}
		known.asked = len(known.holders) + rapid.IntRange(0, 1).Draw(t, "silent")
		concluded := known.conclude("s")
		sources, highest := map[string]bool{}, uint32(0)
		for _, one := range known.answers() {
			if one.record != nil {
				highest = max(highest, one.record.Sequence)
			}
		}
		for _, one := range known.answers() {
			if one.record != nil && one.record.Sequence == highest {
				sources[one.record.Origin.SoftwareVersion] = true
			}
			if highest == 0 {
				for _, version := range one.versions.Seen {
					sources[version] = true
				}
			}
		}
		if concluded.proof != ProofNone && !sources[concluded.origin.SoftwareVersion] {
			t.Fatalf("%+v is from no answer of %+v", concluded, known)
		}
		if (concluded.proof == ProofRecord) != (highest > 0) {
			t.Fatalf("%+v, but the highest sequence is %d", concluded, highest)
		}
		if concluded.proof == ProofSole && len(sources) > 1 {
			t.Fatalf("%+v, but nodes listed %v", concluded, sources)
		}
		if concluded.proof == ProofSole && !slices.ContainsFunc(known.answers(), func(one answer) bool { return one.current && one.versions.Known }) {
			t.Fatalf("%+v, but no list covers the time until the caller asked", concluded)
		}
	})
}
