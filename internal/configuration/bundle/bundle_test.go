package bundle

import (
	"crypto/ed25519"
	"encoding/base64"
	"fmt"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	_ "cobaltramp.example/cobaltramp/internal/app/fixedseed"
	"cobaltramp.example/cobaltramp/internal/app/result"
)

const cluster = "test"

func testKey(seed byte) ed25519.PrivateKey {
	return ed25519.NewKeyFromSeed([]byte(strings.Repeat(string(rune('a'+seed)), ed25519.SeedSize)))
}

func publicKey(key ed25519.PrivateKey) string {
	return base64.StdEncoding.EncodeToString(key.Public().(ed25519.PublicKey))
}

// testBundle returns a valid bundle; different numbers give different content.
func testBundle(number int, threshold int) string {
	return fmt.Sprintf(`
kind: Policy
name: fleet
sign_off_threshold: %d
request_timeout: %ds
stages: [[z1], [z2, z3]]
---
kind: Operator
name: ann
public_key: %s
---
kind: Operator
name: bob
public_key: %s
---
kind: Model
name: m
version: "1"
service: s
adapters: [m-legal]
`, threshold, number+1, publicKey(testKey(0)), publicKey(testKey(1)))
}

func parse(t interface{ Fatalf(string, ...any) }, text string) []Document {
	documents, err := Parse([]byte(text))
	if err != nil {
		t.Fatalf("parse: %v", err)
	}
	return documents
}

func submission(t interface{ Fatalf(string, ...any) }, generation uint64, number int, signers ...int) *Submission {
	documents := parse(t, testBundle(number, 1))
	s := &Submission{Generation: generation, Documents: documents, OperationID: fmt.Sprint("op-", generation, "-", number)}
	for _, signer := range signers {
		s.SignOffs = append(s.SignOffs, Sign([]string{"ann", "bob"}[signer], testKey(byte(signer)), cluster, generation, Digest(documents)))
	}
	return s
}

func TestValidationErrorsNameField(t *testing.T) {
	good := testBundle(1, 1)
	cases := []struct{ name, text, want string }{
		{"bad number", strings.Replace(good, "request_timeout: 2s", "retry_budget: 7", 1), `Policy "fleet", retry_budget: found "7", allowed: 0 to 1`},
		{"bad duration", strings.Replace(good, "request_timeout: 2s", "request_timeout: soon", 1), "allowed: a duration"},
		{"unknown field", strings.Replace(good, "request_timeout", "requset_timeout", 1), `unknown field "requset_timeout"`},
		{"unknown kind", strings.Replace(good, "kind: Model", "kind: Modle", 1), "allowed: Policy, Model, Tenant or Operator"},
		{"bad name", strings.Replace(good, "name: m\n", "name: \"M M\"\n", 1), "allowed: 1 to 63 lower-case"},
		{"twice", good + "---\nkind: Model\nname: m\nversion: \"2\"\nservice: s\n", "Model/m is named twice"},
		{"no policy", "kind: Operator\nname: a\npublic_key: " + publicKey(testKey(0)), "found 0 Policy documents"},
		{"threshold too high", testBundle(1, 3), "2 operators are named"},
		{"tenant of no model", good + "---\nkind: Tenant\nname: t\nmodels: [x]\nkey_hashes: [" + strings.Repeat("ab", 32) + "]\n", `models: found "x"`},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			documents, err := Parse([]byte(c.text))
			if err == nil {
				_, err = Compile(1, documents)
			}
			is.True(err != nil)
			t.Log(err)
			is.True(strings.Contains(err.Error(), c.want)) // the error names the field and the allowed values
		})
	}
}

func TestSubmissionsNeedEnoughValidSignOffs(t *testing.T) {
	authority, err := Compile(1, parse(t, testBundle(1, 2)))
	is.New(t).NoErr(err)
	head := &Head{Revision: 1, Generation: 1, Digest: authority.Digest, Rolled: 1}
	foreign := submission(t, 2, 2, 0, 1)
	foreign.SignOffs[1].Operator = "ann" // the signature is bob's
	old := submission(t, 1, 2, 0, 1)
	old.Generation = 2 // the signatures are for generation 1
	cases := []struct {
		name       string
		submission *Submission
		code       result.Code
	}{
		{"enough", submission(t, 2, 2, 0, 1), result.OK},
		{"one of two", submission(t, 2, 2, 0), result.SignatureInvalid},
		{"the same operator twice", submission(t, 2, 2, 0, 0), result.SignatureInvalid},
		{"another's signature", foreign, result.SignatureInvalid},
		{"replayed from another generation", old, result.SignatureInvalid},
		{"wrong generation", submission(t, 3, 2, 0, 1), result.GenerationConflict},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			_, _, err := Accept(head, authority, cluster, c.submission, time.Unix(0, 0))
			is.New(t).Equal(result.CodeOf(err), c.code)
		})
	}
}

// Guards against a zone that returns to an older generation, and against a
// generation with two different contents, when operators submit, roll and halt
// concurrently.
func TestActiveGenerationNeverDecreases(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var head *Head
		snapshots := map[uint64]*Snapshot{}
		digests := map[uint64]string{}
		active := map[string]uint64{}
		for step := range rapid.IntRange(1, 40).Draw(t, "steps") {
			read := head // both operators change this head; the first change wins
			for range rapid.IntRange(1, 2).Draw(t, "operators") {
				next := applyRandomChange(t, read, snapshots, step)
				if next != nil && head == read {
					head = next
				}
			}
			if head == nil {
				continue
			}
			if known, seen := digests[head.Generation]; seen && known != head.Digest {
				t.Fatalf("generation %d has two different contents", head.Generation)
			}
			digests[head.Generation] = head.Digest
			for _, zone := range []string{"z1", "z2", "z3", "z9"} {
				generation, _ := head.GenerationFor(zone)
				if generation < active[zone] {
					t.Fatalf("zone %s went back from generation %d to %d", zone, active[zone], generation)
				}
				active[zone] = generation
			}
		}
	})
}

func applyRandomChange(t *rapid.T, head *Head, snapshots map[uint64]*Snapshot, step int) *Head {
	if head == nil || rapid.IntRange(0, 2).Draw(t, "what") == 0 {
		generation := uint64(1)
		var authority *Snapshot
		if head != nil {
			generation = head.Generation + 1
			authority = snapshots[head.Generation]
		}
		next, snapshot, err := Accept(head, authority, cluster, submission(t, generation, step, 0), time.Unix(0, 0))
		if err != nil {
			t.Fatalf("submission refused: %v", err)
		}
		snapshots[generation] = snapshot
		return next
	}
	action := rapid.SampledFrom([]RollAction{RollNext, RollAll, RollHalt}).Draw(t, "action")
	next, err := Roll(head, action, "op", time.Unix(0, 0))
	if err != nil {
		t.Fatalf("roll: %v", err)
	}
	return next
}

func TestGenerationIsActiveOnlyAfterRoll(t *testing.T) {
	is := is.New(t)
	head, _, err := Accept(nil, nil, cluster, submission(t, 1, 1, 0), time.Unix(0, 0))
	is.NoErr(err)
	generation, _ := head.GenerationFor("z1")
	is.Equal(generation, uint64(0))
	head, err = Roll(head, RollNext, "op", time.Unix(0, 0))
	is.NoErr(err)
	first, _ := head.GenerationFor("z1")
	second, _ := head.GenerationFor("z2")
	is.Equal(first, uint64(1)) // z1 is in the first stage
	is.Equal(second, uint64(0))
}

// A chain of deltas must give the same snapshot as compiling the last bundle.
func TestDeltasReproduceCompiledSnapshot(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var previous *Snapshot
		for generation := range rapid.IntRange(1, 6).Draw(t, "generations") {
			compiled, err := Compile(uint64(generation+1), parse(t, testBundle(rapid.IntRange(0, 3).Draw(t, "number"), 1)))
			if err != nil {
				t.Fatalf("compile: %v", err)
			}
			encoded, err := compiled.DeltaFrom(previous).Encode()
			if err != nil {
				t.Fatalf("encode: %v", err)
			}
			delta, err := DecodeDelta(encoded)
			if err != nil {
				t.Fatalf("decode: %v", err)
			}
			applied, err := previous.Apply(delta)
			if err != nil || applied.Digest != compiled.Digest {
				t.Fatalf("applied: %v", err)
			}
			previous = applied
		}
	})
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(testBundle(1, 1)))
	f.Add([]byte("kind: Tenant\nname: t\nkey_hashes: [1]\n---\n---\nkind: 3"))
	f.Add([]byte("[]"))
	f.Fuzz(func(t *testing.T, text []byte) {
		documents, err := Parse(text)
		if err != nil {
			return
		}
		again, err := Compile(1, documents)
		if err == nil && again.Digest != Digest(documents) {
			t.Fatal("digest differs before and after compiling")
		}
	})
}

// snapshotWithTenants compiles a bundle with a number of tenants.
func snapshotWithTenants(b *testing.B, count int) *Snapshot {
	documents := parse(b, testBundle(1, 1))
	for i := range count {
		content := fmt.Sprintf(`{"key_hashes":["%x"],"requests_per_second":10,"concurrent":8}`, HashKey(fmt.Sprint(i)))
		document, err := Canonical(KindTenant, fmt.Sprint("tenant-", i), []byte(content))
		if err != nil {
			b.Fatal(err)
		}
		documents = append(documents, document)
	}
	snapshot, err := Compile(1, documents)
	if err != nil {
		b.Fatal(err)
	}
	return snapshot
}

// BenchmarkApplyChange measures a change of one tenant in a bundle with 17,000
// tenants.
func BenchmarkApplyChange(b *testing.B) {
	snapshot := snapshotWithTenants(b, 17000)
	changed, err := Canonical(KindTenant, "tenant-7", []byte(fmt.Sprintf(`{"key_hashes":["%x"],"requests_per_second":99}`, HashKey("7"))))
	if err != nil {
		b.Fatal(err)
	}
	b.ReportAllocs()
	for b.Loop() {
		next, err := snapshot.Next(2, []Document{changed}, nil)
		if err != nil {
			b.Fatal(err)
		}
		delta, _ := next.DeltaFrom(snapshot).Encode()
		b.ReportMetric(float64(len(delta)), "delta-bytes")
	}
}

func BenchmarkTenantByKey(b *testing.B) {
	snapshot := snapshotWithTenants(b, 17000)
	b.ReportAllocs()
	for b.Loop() {
		snapshot.TenantByKey("some-key")
	}
}

// BenchmarkSnapshotMemory reports the heap size of a bundle with 17,000 tenants.
func BenchmarkSnapshotMemory(b *testing.B) {
	for b.Loop() {
		before := heapBytes()
		snapshot := snapshotWithTenants(b, 17000)
		b.ReportMetric(float64(heapBytes()-before)/(1<<20), "MiB")
		snapshot.TenantByKey("kept until here")
	}
}

func heapBytes() uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}
