package openai

import (
	"context"
	"crypto/sha256"
	"errors"
	"fmt"
	"hash"
	"io"
	"mime"
	"mime/multipart"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/gofiber/fiber/v3"
	"golang.org/x/sync/errgroup"
	"k8s.io/klog/v2"

	wirev1 "cobaltramp.example/cobaltramp/api/wire/v1"
	"cobaltramp.example/cobaltramp/internal/app/result"
	"cobaltramp.example/cobaltramp/internal/batch/jsonl"
	"cobaltramp.example/cobaltramp/internal/configuration/bundle"
)

// uploadFile reads a multipart upload as a stream and stores the file's segments in a
// shard while the rest is still arriving. It reads nothing after the form's field file,
// so the field purpose must come before it.
func (m *Module) uploadFile(c fiber.Ctx, caller *callerIdentity) error {
	if length := c.Request().Header.ContentLength(); int64(length) > m.settings.Limits.FileBytes {
		return result.New(result.BodyTooLarge, "the file has %d bytes, allowed: %d", length, m.settings.Limits.FileBytes)
	}
	form, err := multipartReader(c, m.settings.Limits.FileBytes)
	if err != nil {
		return err
	}
	class, err := uploadWorkClass(c, caller)
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
			text, err := io.ReadAll(io.LimitReader(part, maxPurposeBytes))
			if err != nil {
				return result.New(result.InvalidRequest, "the form broke off: %v", err)
			}
			purpose = string(text)
		case "file":
			return m.storeFile(c, caller, part, purpose, class)
		}
	}
}

// maxPurposeBytes is the maximum number of bytes read from the form's field purpose.
const maxPurposeBytes = 64

func multipartReader(c fiber.Ctx, limit int64) (*multipart.Reader, error) {
	mediaType, parameters, err := mime.ParseMediaType(c.Get(fiber.HeaderContentType))
	if err != nil || mediaType != fiber.MIMEMultipartForm || parameters["boundary"] == "" {
		return nil, result.New(result.InvalidRequest, "send the file as multipart/form-data with fields purpose and file")
	}
	stream := c.RequestCtx().RequestBodyStream()
	if stream == nil {
		return nil, result.New(result.InvalidRequest, "the body is empty")
	}
	return multipart.NewReader(io.LimitReader(stream, limit), parameters["boundary"]), nil
}

func uploadWorkClass(c fiber.Ctx, caller *callerIdentity) (wirev1.WorkClass, error) {
	class := c.Get(headerWorkClass)
	if class == "" {
		class = caller.tenant.DefaultClass
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

func (m *Module) storeFile(c fiber.Ctx, caller *callerIdentity, part *multipart.Part, purpose string, class wirev1.WorkClass) error {
	if purpose != "" && purpose != purposeBatch {
		return result.New(result.InvalidRequest, "purpose is %q, allowed: batch", purpose)
	}
	shards := m.batch.HomeShards(caller.tenant.HomeRegion)
	if len(shards) == 0 {
		return result.New(result.StoreUnavailable, "no storage in the tenant's home region is known yet").WithRetryAfter(time.Second)
	}
	digest := sha256.New()
	reader := jsonl.NewReader(io.TeeReader(part, digest), jsonl.Rules{Model: modelResolver(caller), DefaultClass: class})
	upload := &upload{module: m, reader: reader, digest: digest, tenant: caller.tenant.Name, filename: part.FileName()}
	record, err := upload.run(shards)
	if err != nil {
		return err
	}
	return c.JSON(newFileBody(record))
}

func modelResolver(caller *callerIdentity) func(string) (string, error) {
	return func(name string) (string, error) {
		model, known := caller.snapshot.Models[name]
		if !known {
			return "", fmt.Errorf("body.model is %q, which does not exist", name)
		}
		if !caller.tenant.MayCall(name) {
			return "", fmt.Errorf("body.model is %q, which the tenant may not call", name)
		}
		return model.Name, nil
	}
}

// upload is the upload of a file in progress.
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

// run stores the file in one of the shards. The file becomes visible only when it is
// sealed, the last step, so that a failed upload leaves no visible file.
func (u *upload) run(shards []uint32) (*wirev1.FileRecord, error) {
	first, err := u.reader.Next()
	if errors.Is(err, io.EOF) {
		return nil, result.New(result.InvalidRequest, "the file has no lines")
	}
	if err != nil {
		return nil, uploadError(err)
	}
	// The shard is derived from the first segment, so that a repeated upload of a file, and
	// a repeated job for the file, reach the same shard, which recognises the repeated job.
	u.shard = shards[segmentHash(u.tenant, first)%uint64(len(shards))]
	u.fileID = newFileID(u.shard)
	if err := u.propose(&wirev1.Command{Kind: &wirev1.Command_CreateFile{CreateFile: &wirev1.CreateFile{
		FileId: u.fileID, Tenant: u.tenant, Filename: u.filename, Purpose: purposeBatch, CreatedUnixMs: time.Now().UnixMilli(),
	}}}); err != nil {
		return nil, err
	}
	if err := u.sendSegments(first); err != nil {
		u.discard()
		return nil, uploadError(err)
	}
	return u.seal()
}

func segmentHash(tenant string, segment *jsonl.Segment) uint64 {
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
	return u.proposeWithContext(ctx, command)
}

func (u *upload) proposeWithContext(ctx context.Context, command *wirev1.Command) error {
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
			_ = group.Wait() // the caller gets the error of the invalid line instead
			return err
		}
	}
	return group.Wait()
}

func (u *upload) seal() (*wirev1.FileRecord, error) {
	ctx, cancel := storeContext()
	defer cancel()
	reply, err := u.module.batch.Propose(ctx, u.shard, &wirev1.Command{Kind: &wirev1.Command_SealFile{SealFile: &wirev1.SealFile{
		FileId: u.fileID, Segments: u.segments, Items: u.reader.Items(), Bytes: u.reader.Bytes(), Digest: u.digest.Sum(nil),
		Endpoint: u.reader.Endpoint(),
	}}})
	if err != nil {
		return nil, err
	}
	return reply.File, nil
}

func (u *upload) discard() {
	u.module.background.Go(func() {
		ctx, cancel := context.WithTimeout(u.module.startContext, storeTimeout)
		defer cancel()
		err := u.proposeWithContext(ctx, &wirev1.Command{Kind: &wirev1.Command_DeleteFile{DeleteFile: &wirev1.DeleteFile{FileId: u.fileID, Tenant: u.tenant}}})
		if err != nil {
			klog.V(1).InfoS("cannot delete the file of a failed upload; it remains until its retention ends", "file", u.fileID, "err", err)
		}
	})
}

func uploadError(err error) error {
	var lineError *jsonl.LineError
	if errors.As(err, &lineError) {
		return result.New(result.InvalidRequest, "%v", lineError)
	}
	var resultError *result.Error
	if errors.As(err, &resultError) {
		return resultError
	}
	return result.New(result.InvalidRequest, "the file broke off: %v", err)
}
