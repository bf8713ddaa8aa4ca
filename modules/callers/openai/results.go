package openai

import (
	"bufio"
	"encoding/json"
	"fmt"
	"strconv"
	"strings"

	"github.com/gofiber/fiber/v3"
	"github.com/valyala/fasthttp"
	"k8s.io/klog/v2"

	wirev1 "cobaltramp.example/cobaltramp/api/wire/v1"
	"cobaltramp.example/cobaltramp/internal/app/result"
)

// jobOfResultFile returns the job of an output or error file, and whether the file is the
// error file. The job is nil, without an error, if the ID has neither prefix of a result
// file.
func (m *Module) jobOfResultFile(id string, caller *callerIdentity) (*wirev1.JobRecord, bool, error) {
	wantErrors := strings.HasPrefix(id, errorsPrefix)
	if !wantErrors && !strings.HasPrefix(id, outputPrefix) {
		return nil, false, nil
	}
	batchID := strings.TrimPrefix(strings.TrimPrefix(id, errorsPrefix), outputPrefix)
	job, err := m.readJob(batchID, caller)
	return job, wantErrors, err
}

func newResultFileBody(id string, job *wirev1.JobRecord) fileBody {
	return fileBody{ID: id, Object: "file", CreatedAt: job.FinishedUnixMs / 1000, Filename: id + ".jsonl", Purpose: "batch_output", Status: "processed"}
}

// pageReader returns the next page of lines, or nil after the last page. A page may be
// empty but not nil.
type pageReader func() ([]byte, error)

func (m *Module) resultPages(job *wirev1.JobRecord, wantErrors bool) pageReader {
	segment, more := uint32(0), job.Segments > 0
	return func() ([]byte, error) {
		if !more {
			return nil, nil
		}
		ctx, cancel := storeContext()
		defer cancel()
		shard, err := m.shardFromID(job.Spec.JobId, batchPrefix, "batch")
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

func (m *Module) contentPages(id string, caller *callerIdentity) (pageReader, error) {
	shard, err := m.shardFromID(id, filePrefix, "file")
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
		reply, err := m.batch.Read(ctx, &wirev1.ReadRequest{Shard: shard, Kind: wirev1.ReadKind_READ_KIND_CONTENT, Tenant: caller.tenant.Name, Id: id, Segment: segment})
		if err != nil {
			return nil, err
		}
		segment, more = reply.NextSegment, reply.More
		return encodeItems(reply.Items)
	}, nil
}

// streamPages sends pages as they are read. The first page is read before the status is
// sent, so that a failure of the first read becomes an error response. If a later page
// cannot be read, the connection is closed without the final HTTP chunk, which tells the
// client that the download is incomplete.
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
				klog.V(1).InfoS("cannot read the next page of a file; closing the connection", "err", err)
				_ = conn.Close() // the download ends either way
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
