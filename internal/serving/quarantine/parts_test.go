package quarantine

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

const testService = "s"

func partOf(name string) Part {
	id := uint64(0)
	for _, letter := range name {
		id = id*131 + uint64(letter)
	}
	return NewPart("tenant", id, name)
}

// promptWork returns work with the given parts. Its content is unlike that of all other work.
func promptWork(content int, parts ...string) *Work {
	work := &Work{ID: fmt.Sprint("request", content), Fingerprint: Fingerprint(content), Service: testService}
	for _, part := range parts {
		work.AddPart(partOf(part))
	}
	return work
}

// partNetwork is a network of nodes whose clock is that of a synctest bubble.
type partNetwork struct {
	*network
	prober *fakeProber
	saved  *memoryHoldStore
	runs   int
}

func newPartNetwork(count int) *partNetwork {
	n, prober, saved := newNetwork(count)
	return &partNetwork{n, prober, saved, 0}
}

const testRunTime = 50 * time.Millisecond

// node returns a node by its number.
func (n *partNetwork) node(number int) *Coordinator { return n.nodes[fmt.Sprint("n", number)] }

// newRun returns a run at a new start of a runner that begins now.
func (n *partNetwork) newRun() Run {
	n.runs++
	return Run{Start: fmt.Sprint("r", n.runs), Address: "a", Version: "v1", Began: time.Now()}
}

// crash runs work at a runner that ends. Bystanders run there at the same time at other nodes.
func (n *partNetwork) crash(node int, work *Work, bystanders ...*Work) {
	run := n.newRun()
	time.Sleep(testRunTime)
	n.node(node).RecordBrokenRun(work, run)
	for number, bystander := range bystanders {
		n.node((node+number+1)%len(n.nodes)).RecordBrokenRun(bystander, run)
	}
	n.flush()
}

// complete completes a run of work.
func (n *partNetwork) complete(node int, work *Work) {
	run := n.newRun()
	time.Sleep(testRunTime)
	n.node(node).RecordCompletion(work, run)
	n.flush()
}

// decide lets all nodes decide after the time in which they exchange evidence.
func (n *partNetwork) decide() {
	time.Sleep(partDecisionDelay)
	synctest.Wait()
	n.flush()
	for _, coordinator := range n.nodes {
		coordinator.decideParts()
	}
	n.flush()
}

// held reports whether a node holds unlike work with a part.
func (n *partNetwork) held(node int, parts ...string) bool {
	_, held := n.node(node).Held(promptWork(1_000_000+n.runs, parts...))
	return held
}

func (n *partNetwork) heldEverywhere(parts ...string) bool {
	for number := range n.nodes {
		if coordinator := n.nodes[number]; coordinator != nil {
			if _, held := coordinator.Held(promptWork(2_000_000, parts...)); !held {
				return false
			}
		}
	}
	return true
}

// All nodes hold a part that no run with it survives, wherever it stands in the prompt and
// whichever nodes observe the endings. The other parts of these prompts stay free: they are
// completed by other requests.
func TestPartThatCrashesRunnersIsHeldEverywhere(t *testing.T) {
	for _, position := range []int{0, 1, 2} {
		t.Run(fmt.Sprint("position ", position), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				n := newPartNetwork(4)
				for number := range failuresToHold {
					n.complete(number, promptWork(100+number, "first", "second"))
					parts := []string{"first", "second"}
					parts = append(parts[:min(position, 2)], append([]string{"deadly"}, parts[min(position, 2):]...)...)
					n.crash(number+1, promptWork(200+number, parts...), promptWork(300+number, "first", "second"))
					n.complete(number, promptWork(400+number, "first", "second"))
				}
				n.decide()
				is.True(n.heldEverywhere("deadly"))
				is.True(!n.held(0, "first", "second"))
				is.True(n.saved.holds[partOf("deadly").Fingerprint].Part == "deadly")
			})
		})
	}
}

// Runners that are lost together say nothing about the parts of the prompts that ran there.
func TestRunnersLostTogetherHoldNoPart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newPartNetwork(3)
		var runs []Run
		for range 12 {
			runs = append(runs, n.newRun())
		}
		time.Sleep(testRunTime)
		for number, run := range runs {
			n.node(number%3).RecordBrokenRun(promptWork(number, "first"), run)
			time.Sleep(time.Millisecond)
		}
		n.flush()
		n.decide()
		if n.held(0, "first") || n.held(1, "first") {
			t.Fatal("the part is held")
		}
	})
}

// A node that observes the endings under a part may not have completed any request with it.
// Other nodes then report that they have.
func TestCompletionsOfOtherNodesCount(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		n := newPartNetwork(3)
		n.complete(2, promptWork(1, "rare"))
		time.Sleep(time.Second)
		for number := range failuresToHoldProven - 1 {
			n.crash(0, promptWork(10+number, "rare"))
		}
		n.decide()
		is.True(!n.held(0, "rare")) // it was completed before the endings
		n.complete(1, promptWork(2, "rare"))
		n.crash(0, promptWork(20, "rare"))
		n.decide()
		is.True(!n.held(0, "rare")) // it was completed between the endings
		for number := range failuresToHoldProven {
			n.crash(number%3, promptWork(30+number, "rare"))
		}
		n.decide()
		is.True(n.heldEverywhere("rare")) // it crashes runners since
	})
}

// A part that is always sent together with another one is not held as long as the other one may
// be the cause as well, and at most one of them is.
func TestInseparablePartsAreHeldLate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		n := newPartNetwork(2)
		for number := range failuresToHoldAmbiguous - 1 {
			n.crash(number%2, promptWork(number, "left", "right"))
		}
		n.decide()
		is.True(!n.held(0, "left") && !n.held(0, "right"))
		n.crash(0, promptWork(90, "left", "right"))
		n.decide()
		is.True(n.heldEverywhere("left", "right"))
		is.True(n.held(0, "left") != n.held(0, "right"))
	})
}

// A bystander's part is not held if a held part explains its endings, in whichever order the
// nodes receive them. Two parts that crash runners at the same time are both held.
func TestBystandersAreNotHeld(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		draw := func(name string, limit int) int { return rapid.IntRange(0, limit).Draw(rt, name) }
		causes := 1 + draw("causes", 1)
		type event struct{ cause, node, bystander int }
		var events []event
		for range 12 {
			events = append(events, event{draw("cause", causes-1), draw("node", 3), draw("bystander", 9)})
		}
		synctest.Test(t, func(t *testing.T) {
			n := newPartNetwork(4)
			counts := make([]int, causes)
			for number, e := range events {
				counts[e.cause]++
				n.complete(e.node, promptWork(1000+number, "first"))
				n.crash(e.node, promptWork(number, "first", fmt.Sprint("deadly", e.cause)), promptWork(500+number, "first", fmt.Sprint("rare", e.bystander)))
				if number%3 == 2 {
					n.decide()
				}
			}
			n.decide()
			for cause, count := range counts {
				if part := fmt.Sprint("deadly", cause); count >= failuresToHoldAmbiguous && !n.heldEverywhere(part) {
					t.Fatalf("%s is not held after %d endings", part, count)
				}
			}
			seen := map[int]int{}
			for _, e := range events {
				seen[e.bystander]++
			}
			for bystander, count := range seen {
				if count <= failuresToHold && n.held(0, fmt.Sprint("rare", bystander)) {
					t.Fatalf("bystander %d is held after %d endings", bystander, count)
				}
			}
			if n.held(0, "first") {
				t.Fatal("the shared first part is held")
			}
		})
	})
}

// A completion lifts the hold of a part, but only where runners ended under it. At another
// service, a part that was completed there is not held.
func TestCompletionLiftsHoldOfPart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		n := newPartNetwork(3)
		for number := range failuresToHold {
			n.crash(0, promptWork(number, "part"))
		}
		n.decide()
		is.True(n.heldEverywhere("part"))
		run := Run{Start: "other", Version: "v2", Began: time.Now()}
		n.node(1).RecordCompletion(promptWork(50, "part"), run)
		n.flush()
		is.True(n.heldEverywhere("part"))
		elsewhere := promptWork(60, "part")
		elsewhere.Service = "other"
		n.node(1).RecordCompletion(elsewhere, Run{Start: "x", Version: "v1"})
		_, held := n.node(1).Held(elsewhere)
		is.True(!held)
		is.True(n.held(1, "part"))
		n.complete(2, promptWork(70, "part")) // a run that began before the hold
		for number := range 3 {
			is.True(!n.held(number, "part"))
		}
	})
}

// After an operator has lifted the hold of a part, one more ending holds it again, and endings
// under other parts don't.
func TestLiftedPartIsHeldAfterOneMoreEnding(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		n := newPartNetwork(2)
		for number := range failuresToHoldAmbiguous {
			n.crash(0, promptWork(number, "part"))
		}
		n.decide()
		is.True(n.node(1).Lift(partOf("part").Fingerprint))
		n.flush()
		n.crash(0, promptWork(50, "other"))
		n.decide()
		is.True(!n.held(0, "part") && !n.held(1, "part"))
		n.crash(0, promptWork(51, "part"))
		n.decide()
		is.True(n.heldEverywhere("part"))
	})
}

// A request that broke only together with a part that crashes runners is not held any more once
// the part is.
func TestHeldPartReleasesBystandingRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		n := newPartNetwork(2)
		bystander := promptWork(7, "first")
		for number := range EndingsToHold {
			n.complete(1, promptWork(100+number, "first"))
			n.crash(0, promptWork(200+number, "first", "deadly"), bystander)
		}
		_, held := n.node(0).Held(bystander)
		is.True(held)
		n.decide()
		is.True(n.heldEverywhere("deadly"))
		for number := range 2 {
			_, held = n.node(number).Held(bystander)
			is.True(!held)
		}
	})
}

// A request that crashes runners itself stays held when a part is held: only endings under the
// part are explained by it.
func TestHeldPartReleasesNoRequestWithEndingsOfItsOwn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		n := newPartNetwork(2)
		cause := promptWork(7, "first")
		n.crash(1, promptWork(100, "first", "deadly"), cause)
		for range EndingsToHold - 1 {
			n.crash(0, cause)
		}
		for number := range failuresToHold - 1 {
			n.complete(1, promptWork(200+number, "first"))
			n.crash(1, promptWork(300+number, "first", "deadly"))
		}
		n.decide()
		is.True(n.heldEverywhere("deadly"))
		for number := range 2 {
			_, held := n.node(number).Held(cause)
			is.True(held)
		}
	})
}

// Prompts of any length and any number of different parts use a bounded amount of memory.
func TestPartsAreBounded(t *testing.T) {
	is := is.New(t)
	work := &Work{}
	for number := range 3 * MaxParts {
		work.AddPart(NewPart("", uint64(number), ""))
		work.AddPart(NewPart("", uint64(number), "")) // repeated
	}
	is.Equal(len(work.Parts), MaxParts)
	table, now := newPartTable(newBackground()), time.Now()
	for number := range 2 * maxPartSuspects {
		table.RecordEnding(NewPart("", uint64(number), ""), Run{Start: "r", Began: now}, &Work{Service: testService}, true, now)
	}
	suspects, evicted := table.Counts()
	is.Equal(suspects, maxPartSuspects)
	is.Equal(evicted, uint64(maxPartSuspects))
	for number := range 5 * maxCompletions {
		table.completions.record(Fingerprint(number), Environment{}, now)
	}
	generations := table.completions.generations.Load()
	is.True(generations.count.Load() <= maxCompletions)
	_, known := table.completions.last(Fingerprint(5*maxCompletions-1), Environment{}, now)
	is.True(known)
	_, known = table.completions.last(0, Environment{}, now)
	is.True(!known)
}

// The same part of two tenants has different fingerprints, so that one tenant cannot cause a
// hold of another tenant's prompts. A part has not the fingerprint of a request.
func TestPartsBelongToTenants(t *testing.T) {
	is := is.New(t)
	is.True(NewPart("a", 7, "").Fingerprint != NewPart("b", 7, "").Fingerprint)
	is.True(NewPart("a", 7, "x").Fingerprint == NewPart("a", 7, "y").Fingerprint)
	is.True(NewPart("", 7, "").Fingerprint != FingerprintOf(RequestContent{}))
}

// Holds of parts stay known if there are many holds of requests, and the stored document and
// the notices keep what is known of the part.
func TestHoldsOfPartsAreKept(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	part := Hold{Fingerprint: 1, Decided: 1, Until: now.Add(time.Hour).UnixMilli(), Part: "p", Environment: Environment{"s", "v"}}
	table := NewSuspectTable()
	table.ApplyHold(part)
	for number := range 2 * maxHolds {
		table.ApplyHold(Hold{Fingerprint: Fingerprint(10 + number), Decided: int64(10 + number), Until: now.Add(time.Hour).UnixMilli()})
	}
	_, held := table.Held(1, now)
	is.True(held)
	newest := newestHolds(table.Holds(now), 5)
	is.Equal(len(newest), 5)
	is.Equal(newest[4], part)
	is.Equal(Decode(Encode(part)), part)
	stripped := part
	stripped.Part, stripped.Environment = "", Environment{}
	is.True(part.supersedes(stripped)) // as a node of an earlier version stores it
	is.True(!stripped.supersedes(part))
}
