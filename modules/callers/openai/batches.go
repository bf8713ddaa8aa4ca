package openai

import (
	"encoding/json"
	"strconv"
	"time"

	"github.com/gofiber/fiber/v3"
	"k8s.io/klog/v2"

	wirev1 "cobaltramp.example/cobaltramp/api/wire/v1"
	"cobaltramp.example/cobaltramp/internal/app/result"
)

func (m *Module) batchRoutes(app *fiber.App) {
	app.Post("/v1/batches", m.authenticated(m.createBatch))
	app.Get("/v1/batches", m.authenticated(m.listBatches))
	app.Get("/v1/batches/:id", m.authenticated(m.getBatch))
	app.Post("/v1/batches/:id/cancel", m.authenticated(m.cancelBatch))
}

type createBatchBody struct {
	InputFileID      string            `json:"input_file_id"`
	Endpoint         string            `json:"endpoint"`
	CompletionWindow string            `json:"completion_window"`
	Metadata         map[string]string `json:"metadata"`
}

type requestCounts struct {
	Total     uint64 `json:"total"`
	Completed uint64 `json:"completed"`
	Failed    uint64 `json:"failed"`
}

type batchBody struct {
	ID               string            `json:"id"`
	Object           string            `json:"object"`
	Endpoint         string            `json:"endpoint"`
	InputFileID      string            `json:"input_file_id"`
	CompletionWindow string            `json:"completion_window"`
	Status           string            `json:"status"`
	OutputFileID     *string           `json:"output_file_id"`
	ErrorFileID      *string           `json:"error_file_id"`
	CreatedAt        int64             `json:"created_at"`
	InProgressAt     int64             `json:"in_progress_at"`
	ExpiresAt        int64             `json:"expires_at"`
	CompletedAt      *int64            `json:"completed_at"`
	ExpiredAt        *int64            `json:"expired_at"`
	CancellingAt     *int64            `json:"cancelling_at"`
	CancelledAt      *int64            `json:"cancelled_at"`
	RequestCounts    requestCounts     `json:"request_counts"`
	Metadata         map[string]string `json:"metadata"`
}

const millisecondsPerSecond = 1000

func newBatchBody(job *wirev1.JobRecord) batchBody {
	spec := job.Spec
	body := batchBody{
		ID: spec.JobId, Object: "batch", Endpoint: spec.Endpoint, InputFileID: spec.InputFileId,
		CompletionWindow: spec.CompletionWindow, Status: statusName(job.Status),
		CreatedAt: spec.CreatedUnixMs / millisecondsPerSecond, InProgressAt: spec.CreatedUnixMs / millisecondsPerSecond,
		ExpiresAt:     spec.DeadlineUnixMs / millisecondsPerSecond,
		RequestCounts: requestCounts{job.Total, job.Completed, job.Failed},
	}
	if spec.MetadataJson != "" {
		if err := json.Unmarshal([]byte(spec.MetadataJson), &body.Metadata); err != nil {
			klog.ErrorS(err, "cannot decode the metadata of a batch; it is left out of the response", "job", spec.JobId)
		}
	}
	finished := unixSeconds(job.FinishedUnixMs)
	body.CancellingAt = unixSeconds(job.CancellingUnixMs)
	switch job.Status {
	case wirev1.JobStatus_JOB_STATUS_COMPLETED:
		body.CompletedAt = finished
	case wirev1.JobStatus_JOB_STATUS_CANCELLED:
		body.CancelledAt = finished
	case wirev1.JobStatus_JOB_STATUS_EXPIRED:
		body.ExpiredAt = finished
	default:
		return body
	}
	body.setResultFiles(job)
	return body
}

// setResultFiles sets the IDs of the result files of a finished job: an output file if
// items completed, and an error file if not all items completed.
func (b *batchBody) setResultFiles(job *wirev1.JobRecord) {
	if job.Completed > 0 {
		id := outputPrefix + job.Spec.JobId
		b.OutputFileID = &id
	}
	if job.Completed < job.Total {
		id := errorsPrefix + job.Spec.JobId
		b.ErrorFileID = &id
	}
}

func unixSeconds(milliseconds int64) *int64 {
	if milliseconds == 0 {
		return nil
	}
	value := milliseconds / millisecondsPerSecond
	return &value
}

func statusName(status wirev1.JobStatus) string {
	switch status {
	case wirev1.JobStatus_JOB_STATUS_IN_PROGRESS:
		return "in_progress"
	case wirev1.JobStatus_JOB_STATUS_CANCELLING:
		return "cancelling"
	case wirev1.JobStatus_JOB_STATUS_CANCELLED:
		return "cancelled"
	case wirev1.JobStatus_JOB_STATUS_COMPLETED:
		return "completed"
	case wirev1.JobStatus_JOB_STATUS_EXPIRED:
		return "expired"
	default:
		return "validating"
	}
}

// createBatch creates a job from an uploaded file, in the shard of the file. A repeated
// request returns the first job. The shard recognises a repeated request by its
// Idempotency-Key or, without a key, by the endpoint and the file's content.
func (m *Module) createBatch(c fiber.Ctx, caller *callerIdentity) error {
	raw, err := readBody(c, m.settings.Limits.BodyBytes)
	if err != nil {
		return err
	}
	var body createBatchBody
	if err := json.Unmarshal(raw, &body); err != nil {
		return result.New(result.InvalidRequest, "the body is not a batch request: %v", err)
	}
	if body.Endpoint != "/v1/chat/completions" && body.Endpoint != "/v1/completions" {
		return result.New(result.InvalidRequest, "endpoint is %q, allowed: /v1/chat/completions or /v1/completions", body.Endpoint)
	}
	shard, err := m.shardFromID(body.InputFileID, filePrefix, "file")
	if err != nil {
		return err
	}
	window, err := completionWindow(body.CompletionWindow, caller)
	if err != nil {
		return err
	}
	command, err := m.createJobCommand(c, caller, shard, &body, window)
	if err != nil {
		return err
	}
	ctx, cancel := storeContext()
	defer cancel()
	reply, err := m.batch.Propose(ctx, shard, &wirev1.Command{Kind: &wirev1.Command_CreateJob{CreateJob: command}})
	if err != nil {
		return err
	}
	return c.JSON(newBatchBody(reply.Job))
}

func (m *Module) createJobCommand(c fiber.Ctx, caller *callerIdentity, shard uint32, body *createBatchBody, window time.Duration) (*wirev1.CreateJob, error) {
	metadata, err := json.Marshal(body.Metadata)
	if err != nil {
		return nil, result.New(result.InvalidRequest, "metadata: %v", err)
	}
	now := time.Now()
	return &wirev1.CreateJob{
		JobId: newBatchID(shard), Tenant: caller.tenant.Name, InputFileId: body.InputFileID, Endpoint: body.Endpoint,
		IdempotencyKey: c.Get(headerIdempotencyKey), CreatedUnixMs: now.UnixMilli(), DeadlineUnixMs: now.Add(window).UnixMilli(),
		Priority: int32(caller.tenant.BatchPriority), MetadataJson: string(metadata), CompletionWindow: body.CompletionWindow,
	}, nil
}

// completionWindow returns the completion window that a job requests, at most the
// completion window of the bundle's policy. An empty value selects the latter.
func completionWindow(value string, caller *callerIdentity) (time.Duration, error) {
	limit := caller.snapshot.Policy.Batch.CompletionWindow.Std()
	if value == "" {
		return limit, nil
	}
	window, err := time.ParseDuration(value)
	if err != nil || window <= 0 {
		return 0, result.New(result.InvalidRequest, "completion_window is %q, allowed: a duration such as 24h", value)
	}
	return min(window, limit), nil
}

func (m *Module) readJob(id string, caller *callerIdentity) (*wirev1.JobRecord, error) {
	shard, err := m.shardFromID(id, batchPrefix, "batch")
	if err != nil {
		return nil, err
	}
	ctx, cancel := storeContext()
	defer cancel()
	reply, err := m.batch.Read(ctx, &wirev1.ReadRequest{Shard: shard, Kind: wirev1.ReadKind_READ_KIND_JOB, Tenant: caller.tenant.Name, Id: id})
	if err != nil {
		return nil, err
	}
	return reply.Job, nil
}

func (m *Module) getBatch(c fiber.Ctx, caller *callerIdentity) error {
	job, err := m.readJob(c.Params("id"), caller)
	if err != nil {
		return err
	}
	return c.JSON(newBatchBody(job))
}

func (m *Module) cancelBatch(c fiber.Ctx, caller *callerIdentity) error {
	id := c.Params("id")
	shard, err := m.shardFromID(id, batchPrefix, "batch")
	if err != nil {
		return err
	}
	ctx, cancel := storeContext()
	defer cancel()
	reply, err := m.batch.Propose(ctx, shard, &wirev1.Command{Kind: &wirev1.Command_CancelJob{CancelJob: &wirev1.CancelJob{
		JobId: id, Tenant: caller.tenant.Name, AtUnixMs: time.Now().UnixMilli(),
	}}})
	if err != nil {
		return err
	}
	return c.JSON(newBatchBody(reply.Job))
}

const (
	defaultListLimit = 20
	maxListLimit     = 100
)

// listBatches responds with a page of the tenant's jobs.
func (m *Module) listBatches(c fiber.Ctx, caller *callerIdentity) error {
	return listShards(c, m, caller, batchPrefix, "batch", func(shard uint32, after string, limit int) ([]batchBody, error) {
		jobs, err := m.shardJobs(caller, shard, after, limit)
		bodies := make([]batchBody, len(jobs))
		for i, job := range jobs {
			bodies[i] = newBatchBody(job)
		}
		return bodies, err
	})
}

// listEntry is an entry of a list; listID returns its ID.
type listEntry interface{ listID() string }

func (b batchBody) listID() string { return b.ID }
func (b fileBody) listID() string  { return b.ID }

// listShards responds with a page of a tenant's files or jobs. It reads the shards of the
// tenant's home region in ascending order, from the shard in the cursor on. The cursor,
// the query parameter after, is the last ID of the previous page; it is passed to the
// first read only. listShards requests one entry more than the limit, to learn whether
// another page follows. prefix and kind are those of shardFromID.
func listShards[T listEntry](c fiber.Ctx, m *Module, caller *callerIdentity, prefix, kind string, read func(shard uint32, after string, limit int) ([]T, error)) error {
	limit, err := strconv.Atoi(c.Query("limit", strconv.Itoa(defaultListLimit)))
	if err != nil || limit < 1 || limit > maxListLimit {
		return result.New(result.InvalidRequest, "limit is %q, allowed: 1 to %d", c.Query("limit"), maxListLimit)
	}
	cursor := c.Query("after")
	firstShard := uint32(0)
	if cursor != "" {
		if firstShard, err = m.shardFromID(cursor, prefix, kind); err != nil {
			return err
		}
	}
	list := listBody[T]{Object: "list", Data: []T{}}
	for _, shard := range m.batch.HomeShards(caller.tenant.HomeRegion) {
		if shard < firstShard || len(list.Data) > limit {
			continue
		}
		page, err := read(shard, cursor, limit+1-len(list.Data))
		if err != nil {
			return err
		}
		list.Data = append(list.Data, page...)
		cursor = ""
	}
	list.HasMore = len(list.Data) > limit
	list.Data = list.Data[:min(limit, len(list.Data))]
	if len(list.Data) > 0 {
		list.FirstID, list.LastID = list.Data[0].listID(), list.Data[len(list.Data)-1].listID()
	}
	return c.JSON(list)
}

func (m *Module) shardJobs(caller *callerIdentity, shard uint32, after string, limit int) ([]*wirev1.JobRecord, error) {
	ctx, cancel := storeContext()
	defer cancel()
	reply, err := m.batch.Read(ctx, &wirev1.ReadRequest{
		Shard: shard, Kind: wirev1.ReadKind_READ_KIND_JOBS, Tenant: caller.tenant.Name, After: after, Limit: uint32(limit),
	})
	if err != nil {
		return nil, err
	}
	return reply.Jobs, nil
}
