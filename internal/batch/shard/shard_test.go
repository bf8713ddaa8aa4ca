package shard

import (
	"bytes"
	"fmt"
	"sort"
	"testing"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	wirev1 "cobaltramp.example/cobaltramp/api/wire/v1"
	_ "cobaltramp.example/cobaltramp/internal/app/fixedseed"
	"cobaltramp.example/cobaltramp/internal/app/result"
)

// memoryStore is a KeyStore backed by a map.
type memoryStore struct{ values map[string][]byte }

func newMemoryStore() *memoryStore { return &memoryStore{values: map[string][]byte{}} }

func (m *memoryStore) Get(key []byte) ([]byte, error) { return bytes.Clone(m.values[string(key)]), nil }
func (m *memoryStore) Delete(key []byte) error        { delete(m.values, string(key)); return nil }

func (m *memoryStore) Set(key, value []byte) error {
	m.values[string(key)] = append([]byte{}, value...)
	return nil
}

func (m *memoryStore) keys(from, to []byte) []string {
	var keys []string
	for key := range m.values {
		if key >= string(from) && (to == nil || key < string(to)) {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	return keys
}

func (m *memoryStore) Scan(from, to []byte, visit func(key, value []byte) bool) error {
	for _, key := range m.keys(from, to) {
		if !visit([]byte(key), m.values[key]) {
			return nil
		}
	}
	return nil
}

func (m *memoryStore) DeleteRange(from, to []byte) error {
	for _, key := range m.keys(from, to) {
		delete(m.values, key)
	}
	return nil
}

func apply(t fatalReporter, store *memoryStore, command *wirev1.Command) *wirev1.CommandResult {
	commandResult, err := Apply(store, command)
	if err != nil {
		t.Fatalf("applying: %v", err)
	}
	return commandResult
}

type fatalReporter interface {
	Fatalf(string, ...any)
}

const (
	tenant   = "tenant"
	endpoint = "/v1/chat/completions"
)

// makeJob uploads a file with the given numbers of segments and items per segment, and
// creates a job for it.
func makeJob(t fatalReporter, store *memoryStore, id string, segments, items int, class wirev1.WorkClass) {
	file := "file-" + id
	apply(t, store, &wirev1.Command{Kind: &wirev1.Command_CreateFile{CreateFile: &wirev1.CreateFile{FileId: file, Tenant: tenant}}})
	for segment := range segments {
		command := &wirev1.AppendSegment{FileId: file, Segment: uint32(segment)}
		for item := range items {
			command.Items = append(command.Items, &wirev1.Item{CustomId: fmt.Sprintf("%d-%d", segment, item), Model: "m", WorkClass: class})
		}
		apply(t, store, &wirev1.Command{Kind: &wirev1.Command_AppendSegment{AppendSegment: command}})
	}
	apply(t, store, &wirev1.Command{Kind: &wirev1.Command_SealFile{SealFile: &wirev1.SealFile{FileId: file, Segments: uint32(segments), Items: uint64(segments * items), Digest: []byte(id), Endpoint: endpoint}}})
	commandResult := apply(t, store, createJobCommand(id, "job-"+id, ""))
	if commandResult.Code != 0 {
		t.Fatalf("job was rejected: %v", commandResult)
	}
}

func createJobCommand(content, job, key string) *wirev1.Command {
	return &wirev1.Command{Kind: &wirev1.Command_CreateJob{CreateJob: &wirev1.CreateJob{JobId: job, Tenant: tenant, InputFileId: "file-" + content, Endpoint: endpoint, IdempotencyKey: key}}}
}

func completeCommand(results ...*wirev1.ItemResult) *wirev1.Command {
	return &wirev1.Command{Kind: &wirev1.Command_CompleteItems{CompleteItems: &wirev1.CompleteItems{Results: results}}}
}

func itemKey(job string, segment, offset int) *wirev1.ItemKey {
	return &wirev1.ItemKey{JobId: job, Segment: uint32(segment), Offset: uint32(offset)}
}

// Checks, for random completions, repetitions, cancellations and expirations, that each
// item has at most one outcome, that the outcome never changes, and that an ended job has
// one outcome for each item.
func TestEachItemHasOneOutcomeThatNeverChanges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		store := newMemoryStore()
		segments, items := rapid.IntRange(1, 3).Draw(t, "segments"), rapid.IntRange(1, 5).Draw(t, "items")
		makeJob(t, store, "a", segments, items, wirev1.WorkClass_WORK_CLASS_REPEATABLE)
		recorded := map[string][]byte{}
		for step := range rapid.IntRange(1, 60).Draw(t, "steps") {
			drawJobCommand(t, store, step, segments, items)
			checkOutcomes(t, store, segments, recorded)
		}
		job, err := Job(store, "job-a")
		if err != nil || job == nil {
			t.Fatalf("job is missing: %v", err)
		}
		if !acceptsCompletions(job.Status) && len(recorded) != segments*items {
			t.Fatalf("job is %v with outcomes of %d of %d items", job.Status, len(recorded), segments*items)
		}
	})
}

func drawJobCommand(t *rapid.T, store *memoryStore, step, segments, items int) {
	switch rapid.IntRange(0, 20).Draw(t, "command") {
	case 0:
		apply(t, store, &wirev1.Command{Kind: &wirev1.Command_CancelJob{CancelJob: &wirev1.CancelJob{JobId: "job-a", Tenant: tenant}}})
	case 1:
		apply(t, store, &wirev1.Command{Kind: &wirev1.Command_FinishCancel{FinishCancel: &wirev1.FinishCancel{JobId: "job-a", AtUnixMs: 1}}})
	case 2:
		apply(t, store, &wirev1.Command{Kind: &wirev1.Command_ExpireJob{ExpireJob: &wirev1.ExpireJob{JobId: "job-a", AtUnixMs: 1}}})
	default:
		var results []*wirev1.ItemResult
		for range rapid.IntRange(1, 4).Draw(t, "results") {
			results = append(results, &wirev1.ItemResult{
				Item: itemKey("job-a", rapid.IntRange(0, segments).Draw(t, "segment"), rapid.IntRange(0, items-1).Draw(t, "offset")),
				Body: fmt.Appendf(nil, "step %d", step),
				Code: uint32(rapid.SampledFrom([]result.Code{0, 0, result.EngineRejected}).Draw(t, "code")),
			})
		}
		apply(t, store, completeCommand(results...))
	}
}

func checkOutcomes(t *rapid.T, store *memoryStore, segments int, recorded map[string][]byte) {
	job, err := Job(store, "job-a")
	if err != nil {
		t.Fatalf("reading job: %v", err)
	}
	counted := uint64(0)
	seen := map[string]bool{}
	for segment := range segments {
		for _, wantErrors := range []bool{false, true} {
			outcomes, err := Outcomes(store, job, uint32(segment), wantErrors)
			if err != nil {
				t.Fatalf("reading outcomes: %v", err)
			}
			for _, outcome := range outcomes {
				if seen[outcome.CustomId] {
					t.Fatalf("item %s has two outcomes", outcome.CustomId)
				}
				seen[outcome.CustomId] = true
				encoded, _ := proto.Marshal(outcome.Result)
				if previous, found := recorded[outcome.CustomId]; found && !bytes.Equal(previous, encoded) {
					t.Fatalf("outcome of %s changed", outcome.CustomId)
				}
				recorded[outcome.CustomId] = encoded
				counted++
			}
		}
	}
	if acceptsCompletions(job.Status) && counted != job.Completed+job.Failed {
		t.Fatalf("%d outcomes, but the job counts %d completed and %d failed", counted, job.Completed, job.Failed)
	}
}

// Checks that a job sent again with the same key or the same content returns the existing
// job, and that a key used with other content is rejected.
func TestResentJobIsDeduplicated(t *testing.T) {
	is := is.New(t)
	store := newMemoryStore()
	makeJob(t, store, "a", 1, 2, wirev1.WorkClass_WORK_CLASS_REPEATABLE)
	again := apply(t, store, createJobCommand("a", "job-b", ""))
	is.Equal(again.Job.Spec.JobId, "job-a")

	keyed := apply(t, store, createJobCommand("a", "job-c", "key-1"))
	is.Equal(keyed.Job.Spec.JobId, "job-c") // a job with an idempotency key is not deduplicated by content
	is.Equal(apply(t, store, createJobCommand("a", "job-d", "key-1")).Job.Spec.JobId, "job-c")

	makeJob(t, store, "b", 1, 2, wirev1.WorkClass_WORK_CLASS_REPEATABLE)
	is.Equal(result.Code(apply(t, store, createJobCommand("b", "job-e", "key-1")).Code), result.KeyReused)
}

func TestJobWithAnotherEndpointThanItsFileIsRejected(t *testing.T) {
	is := is.New(t)
	store := newMemoryStore()
	makeJob(t, store, "a", 1, 1, wirev1.WorkClass_WORK_CLASS_REPEATABLE)
	command := createJobCommand("a", "job-x", "key-x")
	command.GetCreateJob().Endpoint = "/v1/completions"
	is.Equal(result.Code(apply(t, store, command).Code), result.InvalidRequest)
}

func TestListedFilesBelongToTheTenant(t *testing.T) {
	is := is.New(t)
	store := newMemoryStore()
	for _, id := range []string{"a", "b", "c"} {
		makeJob(t, store, id, 1, 1, wirev1.WorkClass_WORK_CLASS_REPEATABLE)
	}
	files, err := TenantFiles(store, tenant, "file-a", 10)
	is.NoErr(err)
	is.Equal(len(files), 2)
	none, err := TenantFiles(store, "other", "", 10)
	is.NoErr(err)
	is.Equal(len(none), 0)
}

// Checks that an item of class once is marked as started by at most one command.
func TestOnceItemIsStartedAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		store := newMemoryStore()
		makeJob(t, store, "a", 1, 3, wirev1.WorkClass_WORK_CLASS_ONCE)
		starts := map[uint32]int{}
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			offset := rapid.IntRange(0, 2).Draw(t, "offset")
			if rapid.Bool().Draw(t, "complete") {
				apply(t, store, completeCommand(&wirev1.ItemResult{Item: itemKey("job-a", 0, offset)}))
				continue
			}
			commandResult := apply(t, store, &wirev1.Command{Kind: &wirev1.Command_StartItems{StartItems: &wirev1.StartItems{Items: []*wirev1.ItemKey{itemKey("job-a", 0, offset)}}}})
			for _, started := range commandResult.Started {
				starts[started.Offset]++
			}
		}
		for offset, count := range starts {
			if count > 1 {
				t.Fatalf("item %d was started %d times", offset, count)
			}
		}
	})
}

// claimModel sends random claims and resolutions of one idempotency key. It checks that
// at most one request with the key runs, and that no caller gets "not run" after a request
// has run or has been reported as unknown.
type claimModel struct {
	store    *memoryStore
	now      int64
	requests int
	// granted holds the requests that were granted the key and have not resolved their
	// claim.
	granted map[string]bool
	// dispatched is the request that was sent to an engine, empty if there is none.
	dispatched      string
	reportedUnknown bool
}

func (m *claimModel) Init() {
	m.store = newMemoryStore()
	m.granted = map[string]bool{}
}

func (m *claimModel) Claim(t *rapid.T) {
	m.requests++
	id := fmt.Sprint("request-", m.requests)
	commandResult := apply(t, m.store, claimCommand(id, m.now))
	if commandResult.Accepted == 0 {
		if commandResult.Claim.State == wirev1.ClaimState_CLAIM_STATE_NOT_RUN && m.dispatched != "" {
			t.Fatalf("a request got the state not run, but %s ran", m.dispatched)
		}
		m.reportedUnknown = m.reportedUnknown || commandResult.Claim.State == wirev1.ClaimState_CLAIM_STATE_UNKNOWN
		return
	}
	if m.dispatched != "" {
		t.Fatalf("%s was granted the key although %s ran", id, m.dispatched)
	}
	m.granted[id] = true
}

func claimCommand(id string, now int64) *wirev1.Command {
	return &wirev1.Command{Kind: &wirev1.Command_Claim{Claim: &wirev1.Claim{Tenant: tenant, Key: "k", Fingerprint: []byte("f"), RequestId: id, AtUnixMs: now, ExpiresUnixMs: now + 10}}}
}

// Dispatch sends a granted request to an engine. From then on the request may have run.
func (m *claimModel) Dispatch(t *rapid.T) {
	for id := range m.granted {
		if m.dispatched != "" && m.dispatched != id {
			t.Fatalf("%s and %s both ran", m.dispatched, id)
		}
		m.dispatched = id
		return
	}
}

func (m *claimModel) Resolve(t *rapid.T) {
	for id := range m.granted {
		state := rapid.SampledFrom([]wirev1.ClaimState{wirev1.ClaimState_CLAIM_STATE_ANSWERED, wirev1.ClaimState_CLAIM_STATE_UNKNOWN}).Draw(t, "state")
		if m.dispatched != id {
			state = wirev1.ClaimState_CLAIM_STATE_NOT_RUN
		}
		apply(t, m.store, &wirev1.Command{Kind: &wirev1.Command_ResolveClaim{ResolveClaim: &wirev1.ResolveClaim{Tenant: tenant, Key: "k", RequestId: id, State: state}}})
		delete(m.granted, id)
		return
	}
}

func (m *claimModel) Wait(t *rapid.T) { m.now += int64(rapid.IntRange(1, 30).Draw(t, "ms")) }

func (m *claimModel) Check(t *rapid.T) {
	record, err := IdempotencyClaim(m.store, tenant, "k")
	if err != nil {
		t.Fatalf("reading claim: %v", err)
	}
	if record != nil && m.reportedUnknown && record.State == wirev1.ClaimState_CLAIM_STATE_NOT_RUN {
		t.Fatalf("the key was reported as unknown and later as not run")
	}
}

func TestWorkUnderOneKeyRunsAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &claimModel{}
		m.Init()
		t.Repeat(map[string]func(*rapid.T){"claim": m.Claim, "run": m.Dispatch, "resolve": m.Resolve, "wait": m.Wait, "": m.Check})
	})
}

func TestRetentionDeletesEveryKeyOfAnEndedJob(t *testing.T) {
	is := is.New(t)
	store := newMemoryStore()
	makeJob(t, store, "a", 1, 1, wirev1.WorkClass_WORK_CLASS_REPEATABLE)
	apply(t, store, completeCommand(&wirev1.ItemResult{Item: itemKey("job-a", 0, 0)}))
	apply(t, store, &wirev1.Command{Kind: &wirev1.Command_Retain{Retain: &wirev1.Retain{FinishedBeforeUnixMs: 10, Limit: 10}}})
	is.Equal(len(store.values), 0) // the job's keys and its file are deleted
}

func TestRetentionKeepsUsedFilesAndDeletesOldUnusedFiles(t *testing.T) {
	is := is.New(t)
	store := newMemoryStore()
	makeJob(t, store, "used", 1, 1, wirev1.WorkClass_WORK_CLASS_REPEATABLE)
	for _, id := range []string{"old", "new"} {
		created := int64(5)
		if id == "new" {
			created = 50
		}
		apply(t, store, &wirev1.Command{Kind: &wirev1.Command_CreateFile{CreateFile: &wirev1.CreateFile{FileId: id, Tenant: tenant, CreatedUnixMs: created}}})
	}
	ended, err := HasRecordsPastRetention(store, 10)
	is.NoErr(err)
	is.True(ended)
	apply(t, store, &wirev1.Command{Kind: &wirev1.Command_Retain{Retain: &wirev1.Retain{FinishedBeforeUnixMs: 10, Limit: 10}}})
	for id, kept := range map[string]bool{"file-used": true, "old": false, "new": true} {
		file, err := File(store, id)
		is.NoErr(err)
		is.Equal(file != nil, kept)
	}
	ended, err = HasRecordsPastRetention(store, 10)
	is.NoErr(err)
	is.True(!ended)
}

func BenchmarkCompleteItems(b *testing.B) {
	store := newMemoryStore()
	makeJob(b, store, "a", 1000, 1000, wirev1.WorkClass_WORK_CLASS_REPEATABLE)
	body := bytes.Repeat([]byte("x"), 600)
	next := 0
	b.ReportAllocs()
	for b.Loop() {
		var results []*wirev1.ItemResult
		for range 100 {
			results = append(results, &wirev1.ItemResult{Item: itemKey("job-a", next/1000%1000, next%1000), Body: body})
			next++
		}
		apply(b, store, completeCommand(results...))
	}
}
