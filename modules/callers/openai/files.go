package openai

import (
	"bufio"
	"context"
	"crypto/sha256"
	"encoding/json"
	"errors"
	"fmt"
	"hash"
	"io"
	"mime"
	"mime/multipart"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/gofiber/fiber/v3"
	"github.com/google/uuid"
	"github.com/valyala/fasthttp"
	"golang.org/x/sync/errgroup"

	wirev1 "cobaltramp.example/cobaltramp/api/wire/v1"
	"cobaltramp.example/cobaltramp/internal/bundle"
	"cobaltramp.example/cobaltramp/internal/jsonl"
	"cobaltramp.example/cobaltramp/internal/result"
)

// BatchStore reaches the batch shards.
type BatchStore interface {
	Shards() uint32
	HomeShards(region string) []uint32
	Propose(context.Context, uint32, *wirev1.Command) (*wirev1.CommandResult, error)
	Read(context.Context, *wirev1.ReadRequest) (*wirev1.ReadReply, error)
}

const (
	purposeBatch = "batch"
	storeTimeout = 15 * time.Second
	// parallelSegments bounds the segments of one upload on their way to disk.
	parallelSegments = 4
)

// Ids carry their shard, so that any node finds a file or job without asking:
// "file-0003-…" and "batch_0003_…".

func newFileID(shard uint32) string {
	return fmt.Sprintf("file-%04x-%s", shard, strings.ReplaceAll(uuid.NewString(), "-", ""))
}

func newBatchID(shard uint32) string {
	return fmt.Sprintf("batch_%04x_%s", shard, strings.ReplaceAll(uuid.NewString(), "-", ""))
}

const (
	filePrefix   = "file-"
	batchPrefix  = "batch_"
	outputPrefix = "file-out-"
	errorsPrefix = "file-err-"
	shardDigits  = 4
)

// shardOf reads the shard out of an id.
func (m *Module) shardOf(id, prefix, kind string) (uint32, error) {
	rest, fits := strings.CutPrefix(id, prefix)
	if fits && len(rest) > shardDigits {
		shard, err := strconv.ParseUint(rest[:shardDigits], 16, 32)
		if err == nil && (m.batch.Shards() == 0 || uint32(shard) < m.batch.Shards()) {
			return uint32(shard), nil
		}
	}
	return 0, result.New(result.NotFound, "%s %q does not exist", kind, id)
}

func (m *Module) fileRoutes(app *fiber.App) {
	app.Post("/v1/files", m.authenticated(m.uploadFile))
	app.Get("/v1/files/:id", m.authenticated(m.getFile))
	app.Get("/v1/files/:id/content", m.authenticated(m.fileContent))
	app.Delete("/v1/files/:id", m.authenticated(m.deleteFile))
}

type fileBody struct {
	ID        string `json:"id"`
	Object    string `json:"object"`
	Bytes     uint64 `json:"bytes"`
	CreatedAt int64  `json:"created_at"`
	Filename  string `json:"filename"`
	Purpose   string `json:"purpose"`
	Status    string `json:"status"`
}

func newFileBody(record *wirev1.FileRecord) fileBody {
	return fileBody{
		ID: record.FileId, Object: "file", Bytes: record.Bytes, CreatedAt: record.CreatedUnixMs / 1000,
		Filename: record.Filename, Purpose: record.Purpose, Status: "processed",
	}
}

func storeContext() (context.Context, context.CancelFunc) {
	return context.WithTimeout(context.Background(), storeTimeout)
}

// uploadFile takes a multipart upload as a stream: segments go to their shard
// while the rest is still on its way.
func (m *Module) uploadFile(c fiber.Ctx, who *caller) error {
	if length := c.Request().Header.ContentLength(); int64(length) > m.settings.Limits.FileBytes {
		return result.New(result.BodyTooLarge, "the file has %d bytes, allowed: %d", length, m.settings.Limits.FileBytes)
	}
	form, err := multipartReader(c, m.settings.Limits.FileBytes)
	if err != nil {
		return err
	}
	class, err := uploadClass(c, who)
	if err != nil {
		return err
	}
	purpose := ""
	for {
		part, err := form.NextPart()
		if errors.Is(err, io.EOF) {
			return result.New(result.InvalidRequest, "the form has no field \"file\"")
		}
		if err != nil {
			return result.New(result.InvalidRequest, "the form broke off: %v", err)
		}
		switch part.FormName() {
		case "purpose":
			text, _ := io.ReadAll(io.LimitReader(part, 64))
			purpose = string(text)
		case "file":
			return m.takeFile(c, who, part, purpose, class)
		}
	}
}

func multipartReader(c fiber.Ctx, limit int64) (*multipart.Reader, error) {
	kind, parameters, err := mime.ParseMediaType(c.Get(fiber.HeaderContentType))
	if err != nil || kind != fiber.MIMEMultipartForm || parameters["boundary"] == "" {
		return nil, result.New(result.InvalidRequest, "send the file as multipart/form-data with fields purpose and file")
	}
	stream := c.RequestCtx().RequestBodyStream()
	if stream == nil {
		return nil, result.New(result.InvalidRequest, "the body is empty")
	}
	return multipart.NewReader(io.LimitReader(stream, limit), parameters["boundary"]), nil
}

func uploadClass(c fiber.Ctx, who *caller) (wirev1.WorkClass, error) {
	class := c.Get(headerWorkClass)
	if class == "" {
		class = who.tenant.DefaultClass
	}
	switch class {
	case bundle.ClassOnce:
		return wirev1.WorkClass_WORK_CLASS_ONCE, nil
	case bundle.ClassRepeatable:
		return wirev1.WorkClass_WORK_CLASS_REPEATABLE, nil
	default:
		return 0, result.New(result.InvalidRequest, "%s is %q, allowed: repeatable or once", headerWorkClass, class)
	}
}

func (m *Module) takeFile(c fiber.Ctx, who *caller, part *multipart.Part, purpose string, class wirev1.WorkClass) error {
	if purpose != "" && purpose != purposeBatch {
		return result.New(result.InvalidRequest, "purpose is %q, allowed: batch", purpose)
	}
	shards := m.batch.HomeShards(who.tenant.HomeRegion)
	if len(shards) == 0 {
		return result.New(result.StoreUnavailable, "no storage in the tenant's home region is known yet").After(time.Second)
	}
	digest := sha256.New()
	reader := jsonl.NewReader(io.TeeReader(part, digest), jsonl.Rules{Model: modelRule(who), DefaultClass: class})
	upload := &upload{module: m, reader: reader, digest: digest, tenant: who.tenant.Name, filename: part.FileName()}
	record, err := upload.run(shards)
	if err != nil {
		return err
	}
	return c.JSON(newFileBody(record))
}

func modelRule(who *caller) func(string) (string, error) {
	return func(name string) (string, error) {
		model, known := who.snapshot.Models[name]
		if !known {
			return "", fmt.Errorf("body.model is %q, which does not exist", name)
		}
		if !who.tenant.MayCall(name) {
			return "", fmt.Errorf("body.model is %q, which the tenant may not call", name)
		}
		return model.Name, nil
	}
}

// upload is one file on its way to its shard.
type upload struct {
	module   *Module
	reader   *jsonl.Reader
	digest   hash.Hash
	tenant   string
	filename string

	shard    uint32
	fileID   string
	segments uint32
}

// run stores the file. It becomes visible with its last command, the seal; an
// upload that fails leaves nothing behind that anyone can see.
func (u *upload) run(shards []uint32) (*wirev1.FileRecord, error) {
	first, err := u.reader.Next()
	if errors.Is(err, io.EOF) {
		return nil, result.New(result.InvalidRequest, "the file has no lines")
	}
	if err != nil {
		return nil, lineError(err)
	}
	// The same content goes to the same shard, where a resent job meets the
	// first one.
	u.shard = shards[contentHash(u.tenant, first)%uint64(len(shards))]
	u.fileID = newFileID(u.shard)
	if err := u.propose(&wirev1.Command{Kind: &wirev1.Command_CreateFile{CreateFile: &wirev1.CreateFile{
		FileId: u.fileID, Tenant: u.tenant, Filename: u.filename, Purpose: purposeBatch, CreatedUnixMs: time.Now().UnixMilli(),
	}}}); err != nil {
		return nil, err
	}
	if err := u.sendSegments(first); err != nil {
		u.discard()
		return nil, lineError(err)
	}
	return u.seal()
}

func contentHash(tenant string, segment *jsonl.Segment) uint64 {
	digest := xxhash.New()
	_, _ = digest.WriteString(tenant)
	for _, item := range segment.Items {
		_, _ = digest.WriteString(item.CustomId)
		_, _ = digest.Write(item.Body)
	}
	return digest.Sum64()
}

func (u *upload) propose(command *wirev1.Command) error {
	ctx, cancel := storeContext()
	defer cancel()
	_, err := u.module.batch.Propose(ctx, u.shard, command)
	return err
}

func (u *upload) sendSegments(first *jsonl.Segment) error {
	group, ctx := errgroup.WithContext(context.Background())
	group.SetLimit(parallelSegments)
	next := first
	for ctx.Err() == nil {
		number, segment := u.segments, next
		u.segments++
		group.Go(func() error {
			return u.propose(&wirev1.Command{Kind: &wirev1.Command_AppendSegment{AppendSegment: &wirev1.AppendSegment{
				FileId: u.fileID, Segment: number, Items: segment.Items, Bytes: segment.Bytes,
			}}})
		})
		var err error
		next, err = u.reader.Next()
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			_ = group.Wait()
			return err
		}
	}
	return group.Wait()
}

func (u *upload) seal() (*wirev1.FileRecord, error) {
	ctx, cancel := storeContext()
	defer cancel()
	answer, err := u.module.batch.Propose(ctx, u.shard, &wirev1.Command{Kind: &wirev1.Command_SealFile{SealFile: &wirev1.SealFile{
		FileId: u.fileID, Segments: u.segments, Items: u.reader.Items(), Bytes: u.reader.Bytes(), Digest: u.digest.Sum(nil),
	}}})
	if err != nil {
		return nil, err
	}
	return answer.File, nil
}

func (u *upload) discard() {
	go func() {
		_ = u.propose(&wirev1.Command{Kind: &wirev1.Command_DeleteFile{DeleteFile: &wirev1.DeleteFile{FileId: u.fileID, Tenant: u.tenant}}})
	}()
}

func lineError(err error) error {
	var bad *jsonl.LineError
	if errors.As(err, &bad) {
		return result.New(result.InvalidRequest, "%v", bad)
	}
	var known *result.Error
	if errors.As(err, &known) {
		return known
	}
	return result.New(result.InvalidRequest, "the file broke off: %v", err)
}

func (m *Module) getFile(c fiber.Ctx, who *caller) error {
	id := c.Params("id")
	if job, _, err := m.resultFile(id, who); err != nil || job != nil {
		if err != nil {
			return err
		}
		return c.JSON(resultFileBody(id, job))
	}
	shard, err := m.shardOf(id, filePrefix, "file")
	if err != nil {
		return err
	}
	ctx, cancel := storeContext()
	defer cancel()
	reply, err := m.batch.Read(ctx, &wirev1.ReadRequest{Shard: shard, Kind: wirev1.ReadKind_READ_KIND_FILE, Tenant: who.tenant.Name, Id: id})
	if err != nil {
		return err
	}
	return c.JSON(newFileBody(reply.File))
}

// resultFile finds the job behind the id of an output or error file; nil if
// the id is of an uploaded file.
func (m *Module) resultFile(id string, who *caller) (*wirev1.JobRecord, bool, error) {
	wantErrors := strings.HasPrefix(id, errorsPrefix)
	if !wantErrors && !strings.HasPrefix(id, outputPrefix) {
		return nil, false, nil
	}
	batchID := strings.TrimPrefix(strings.TrimPrefix(id, errorsPrefix), outputPrefix)
	job, err := m.readJob(batchID, who)
	return job, wantErrors, err
}

func resultFileBody(id string, job *wirev1.JobRecord) fileBody {
	return fileBody{ID: id, Object: "file", CreatedAt: job.FinishedUnixMs / 1000, Filename: id + ".jsonl", Purpose: "batch_output", Status: "processed"}
}

// fileContent streams an uploaded file back, or a job's results.
func (m *Module) fileContent(c fiber.Ctx, who *caller) error {
	id := c.Params("id")
	job, wantErrors, err := m.resultFile(id, who)
	if err != nil {
		return err
	}
	var pages pageReader
	if job != nil {
		pages = m.resultPages(job, wantErrors)
	} else if pages, err = m.contentPages(id, who); err != nil {
		return err
	}
	return streamPages(c, pages)
}

// pageReader returns the next page of lines, nil after the last.
type pageReader func() ([]byte, error)

func (m *Module) resultPages(job *wirev1.JobRecord, wantErrors bool) pageReader {
	segment, more := uint32(0), job.Segments > 0
	return func() ([]byte, error) {
		if !more {
			return nil, nil
		}
		ctx, cancel := storeContext()
		defer cancel()
		shard, err := m.shardOf(job.Spec.JobId, batchPrefix, "batch")
		if err != nil {
			return nil, err
		}
		reply, err := m.batch.Read(ctx, &wirev1.ReadRequest{
			Shard: shard, Kind: wirev1.ReadKind_READ_KIND_RESULTS, Tenant: job.Spec.Tenant, Id: job.Spec.JobId, Segment: segment, Errors: wantErrors,
		})
		if err != nil {
			return nil, err
		}
		segment, more = reply.NextSegment, reply.More
		return encodeOutcomes(reply.Outcomes)
	}
}

func (m *Module) contentPages(id string, who *caller) (pageReader, error) {
	shard, err := m.shardOf(id, filePrefix, "file")
	if err != nil {
		return nil, err
	}
	segment, more := uint32(0), true
	return func() ([]byte, error) {
		if !more {
			return nil, nil
		}
		ctx, cancel := storeContext()
		defer cancel()
		reply, err := m.batch.Read(ctx, &wirev1.ReadRequest{Shard: shard, Kind: wirev1.ReadKind_READ_KIND_CONTENT, Tenant: who.tenant.Name, Id: id, Segment: segment})
		if err != nil {
			return nil, err
		}
		segment, more = reply.NextSegment, reply.More
		return encodeItems(reply.Items)
	}, nil
}

// streamPages sends pages as they are read. The first is read before the
// status is decided. A page that cannot be read later ends the connection
// without the closing chunk, which a client sees as a broken download.
func streamPages(c fiber.Ctx, next pageReader) error {
	first, err := next()
	if err != nil {
		return err
	}
	c.Set(fiber.HeaderContentType, "application/jsonl")
	conn := c.RequestCtx().Conn()
	c.RequestCtx().SetBodyStreamWriter(fasthttp.StreamWriter(func(writer *bufio.Writer) {
		for page := first; page != nil; {
			if _, err := writer.Write(page); err != nil || writer.Flush() != nil {
				return
			}
			if page, err = next(); err != nil {
				_ = conn.Close()
				return
			}
		}
	}))
	return nil
}

type itemLine struct {
	CustomID string          `json:"custom_id"`
	Method   string          `json:"method"`
	URL      string          `json:"url"`
	Body     json.RawMessage `json:"body"`
}

func encodeItems(items []*wirev1.Item) ([]byte, error) {
	page := []byte{}
	for _, item := range items {
		line, err := json.Marshal(itemLine{item.CustomId, "POST", item.Url, item.Body})
		if err != nil {
			return nil, err
		}
		page = append(append(page, line...), '\n')
	}
	return page, nil
}

type outcomeLine struct {
	ID       string           `json:"id"`
	CustomID string           `json:"custom_id"`
	Response *outcomeResponse `json:"response"`
	Error    *outcomeError    `json:"error"`
}

type outcomeResponse struct {
	StatusCode uint32          `json:"status_code"`
	RequestID  string          `json:"request_id"`
	Body       json.RawMessage `json:"body"`
}

type outcomeError struct {
	Code    string `json:"code"`
	Type    string `json:"type"`
	Message string `json:"message"`
	Run     string `json:"run"`
}

func encodeOutcomes(outcomes []*wirev1.ItemOutcome) ([]byte, error) {
	page := []byte{}
	for _, outcome := range outcomes {
		line := outcomeLine{CustomID: outcome.CustomId, ID: fmt.Sprintf("batch_req_%d_%d", outcome.Result.Item.Segment, outcome.Result.Item.Offset)}
		if outcome.Result.Code == 0 {
			line.Response = &outcomeResponse{outcome.Result.HttpStatus, outcome.Result.RequestId, outcome.Result.Body}
		} else {
			code := result.Code(outcome.Result.Code)
			line.Error = &outcomeError{strconv.Itoa(int(code)), code.String(), outcome.Result.Message, code.Entry().Ran.String()}
		}
		encoded, err := json.Marshal(line)
		if err != nil {
			return nil, err
		}
		page = append(append(page, encoded...), '\n')
	}
	return page, nil
}

type deletedBody struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	Deleted bool   `json:"deleted"`
}

func (m *Module) deleteFile(c fiber.Ctx, who *caller) error {
	id := c.Params("id")
	shard, err := m.shardOf(id, filePrefix, "file")
	if err != nil {
		return err
	}
	ctx, cancel := storeContext()
	defer cancel()
	_, err = m.batch.Propose(ctx, shard, &wirev1.Command{Kind: &wirev1.Command_DeleteFile{DeleteFile: &wirev1.DeleteFile{FileId: id, Tenant: who.tenant.Name}}})
	if err != nil {
		return err
	}
	return c.JSON(deletedBody{ID: id, Object: "file", Deleted: true})
}
