package load

import (
	"bufio"
	"context"
	"errors"
	"io"

	"github.com/gravitational/trace"
	"github.com/tidwall/gjson"

	"cobaltramp.example/cobaltramp/lab/engine"
)

// Audit counts the items of a job by the outcomes that the client found in the results.
// Lost items have no result, and Wrong ones have an unexpected text. Duplicates counts the
// additional results of items with more than one.
type Audit struct {
	Items, Completed, Failed, Lost, Duplicates, Wrong int
	ErrorCodes                                        map[string]int
}

// AuditJob downloads a job's results and counts the outcomes of its items.
func (b *BatchClient) AuditJob(ctx context.Context, job *Job, status Status) (*Audit, error) {
	audit := &Audit{Items: len(job.Bodies), ErrorCodes: map[string]int{}}
	timesSeen := map[string]int{}
	for _, file := range []string{status.OutputFile, status.ErrorFile} {
		if file == "" {
			continue
		}
		if err := b.readResults(ctx, job, file, audit, timesSeen); err != nil {
			return nil, err
		}
	}
	for id := range job.Bodies {
		switch timesSeen[id] {
		case 0:
			audit.Lost++
		case 1:
		default:
			audit.Duplicates += timesSeen[id] - 1
		}
	}
	return audit, nil
}

func (b *BatchClient) readResults(ctx context.Context, job *Job, file string, audit *Audit, timesSeen map[string]int) error {
	response, err := b.call(ctx, "GET", "/v1/files/"+file+"/content", "", nil)
	if err != nil {
		return err
	}
	defer response.Close()
	if response.Status != 200 {
		return trace.BadParameter("results %s: status %d", file, response.Status)
	}
	reader := bufio.NewReaderSize(response, 1<<20)
	for {
		line, err := reader.ReadBytes('\n')
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return trace.Wrap(err, "results %s broke off", file)
		}
		b.auditLine(job, gjson.ParseBytes(line), audit, timesSeen)
	}
}

func (b *BatchClient) auditLine(job *Job, line gjson.Result, audit *Audit, timesSeen map[string]int) {
	id := line.Get("custom_id").String()
	timesSeen[id]++
	if failure := line.Get("error.type"); failure.Exists() {
		audit.Failed++
		audit.ErrorCodes[failure.String()]++
		return
	}
	audit.Completed++
	text := line.Get("response.body.choices.0.message.content").String()
	if text != engine.ExpectedResponse(job.Bodies[id], b.target.MaxAnswerTokens) {
		audit.Wrong++
	}
}
