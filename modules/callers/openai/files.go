package openai

import (
	"context"
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/gofiber/fiber/v3"
	"github.com/google/uuid"

	wirev1 "cobaltramp.example/cobaltramp/api/wire/v1"
	"cobaltramp.example/cobaltramp/internal/app/result"
)

// BatchStore reads from and writes to the batch shards. Shards returns the number of
// shards, 0 while it is unknown. HomeShards returns the shards of a region in ascending
// order; an empty region selects the default region.
type BatchStore interface {
	Shards() uint32
	HomeShards(region string) []uint32
	Propose(context.Context, uint32, *wirev1.Command) (*wirev1.CommandResult, error)
	Read(context.Context, *wirev1.ReadRequest) (*wirev1.ReadReply, error)
}

const (
	purposeBatch = "batch"
	// storeTimeout is the timeout of a call to a shard, including retries.
	storeTimeout = 15 * time.Second
	// parallelSegments is the number of segments of an upload that are stored at once.
	parallelSegments = 4
)

// IDs contain their shard, so that every node can find a file or a job from its ID:
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

// shardFromID returns the shard in an ID, or NotFound if the ID does not have the prefix
// or a valid shard. kind is the kind of object that the error message names. While the
// number of shards is unknown, every shard number is valid.
func (m *Module) shardFromID(id, prefix, kind string) (uint32, error) {
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
	app.Get("/v1/files", m.authenticated(m.listFiles))
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

// listFiles responds with a page of the tenant's uploaded files.
func (m *Module) listFiles(c fiber.Ctx, caller *callerIdentity) error {
	return listShards(c, m, caller, filePrefix, "file", func(shard uint32, after string, limit int) ([]fileBody, error) {
		ctx, cancel := storeContext()
		defer cancel()
		reply, err := m.batch.Read(ctx, &wirev1.ReadRequest{
			Shard: shard, Kind: wirev1.ReadKind_READ_KIND_FILES, Tenant: caller.tenant.Name, After: after, Limit: uint32(limit),
		})
		if err != nil {
			return nil, err
		}
		bodies := make([]fileBody, len(reply.Files))
		for i, file := range reply.Files {
			bodies[i] = newFileBody(file)
		}
		return bodies, nil
	})
}

func (m *Module) getFile(c fiber.Ctx, caller *callerIdentity) error {
	id := c.Params("id")
	if job, _, err := m.jobOfResultFile(id, caller); err != nil || job != nil {
		if err != nil {
			return err
		}
		return c.JSON(newResultFileBody(id, job))
	}
	shard, err := m.shardFromID(id, filePrefix, "file")
	if err != nil {
		return err
	}
	ctx, cancel := storeContext()
	defer cancel()
	reply, err := m.batch.Read(ctx, &wirev1.ReadRequest{Shard: shard, Kind: wirev1.ReadKind_READ_KIND_FILE, Tenant: caller.tenant.Name, Id: id})
	if err != nil {
		return err
	}
	return c.JSON(newFileBody(reply.File))
}

// fileContent streams the content of an uploaded file or of a job's result file.
func (m *Module) fileContent(c fiber.Ctx, caller *callerIdentity) error {
	id := c.Params("id")
	job, wantErrors, err := m.jobOfResultFile(id, caller)
	if err != nil {
		return err
	}
	var pages pageReader
	if job != nil {
		pages = m.resultPages(job, wantErrors)
	} else if pages, err = m.contentPages(id, caller); err != nil {
		return err
	}
	return streamPages(c, pages)
}

type deletedBody struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	Deleted bool   `json:"deleted"`
}

func (m *Module) deleteFile(c fiber.Ctx, caller *callerIdentity) error {
	id := c.Params("id")
	shard, err := m.shardFromID(id, filePrefix, "file")
	if err != nil {
		return err
	}
	ctx, cancel := storeContext()
	defer cancel()
	_, err = m.batch.Propose(ctx, shard, &wirev1.Command{Kind: &wirev1.Command_DeleteFile{DeleteFile: &wirev1.DeleteFile{FileId: id, Tenant: caller.tenant.Name}}})
	if err != nil {
		return err
	}
	return c.JSON(deletedBody{ID: id, Object: "file", Deleted: true})
}
