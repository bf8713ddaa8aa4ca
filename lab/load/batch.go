package load

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"mime/multipart"
	"time"

	"github.com/gravitational/trace"
	"github.com/tidwall/gjson"

	"cobaltramp.example/cobaltramp/internal/transport/httpcall"
)

// BatchWorkload describes the items of a batch job.
type BatchWorkload struct {
	Items        int    `yaml:"items"`
	PromptWords  int    `yaml:"prompt_words"`
	AnswerTokens int    `yaml:"answer_tokens"`
	Seed         uint64 `yaml:"seed"`
	// Once sets the items' work class to once.
	Once bool `yaml:"once"`
}

// Job is a submitted batch job.
type Job struct {
	ID     string
	FileID string
	// Bodies maps the custom ID of each item to its request body.
	Bodies map[string][]byte
}

// BatchClient submits jobs and reads their results. It uses one node until a request
// fails there, and then the next node.
type BatchClient struct {
	target      Target
	http        *httpcall.Client
	nextAddress int
}

// NewBatchClient returns a client for the target's nodes.
func NewBatchClient(target Target) *BatchClient {
	return &BatchClient{target: target, http: httpcall.NewClient(nil)}
}

// call sends a request, and retries it at the next node after each network error, status
// 429 or status of 500 and above, until the context ends.
func (b *BatchClient) call(ctx context.Context, method, path, contentType string, body []byte) (*httpcall.Response, error) {
	var last error
	for ctx.Err() == nil {
		address := b.target.Addresses[b.nextAddress%len(b.target.Addresses)]
		headers := [][2]string{{"Authorization", "Bearer " + b.target.Key}}
		if contentType != "" {
			headers = append(headers, [2]string{"Content-Type", contentType})
		}
		response, err := b.http.Do(ctx, &httpcall.Request{Method: method, URL: "http://" + address + path, Headers: headers, Body: body})
		if err == nil && response.Status < 500 && response.Status != 429 {
			return response, nil
		}
		if err == nil {
			// A read error is ignored: the text is used only for the error message.
			text, _ := response.ReadAll(maxErrorBytes)
			err = trace.BadParameter("status %d: %s", response.Status, text)
		}
		last = err
		b.nextAddress++
		time.Sleep(resendDelay)
	}
	if last == nil {
		last = ctx.Err() // the context ended before the first attempt
	}
	return nil, trace.Wrap(last, "%s %s", method, path)
}

func (b *BatchClient) json(ctx context.Context, method, path string, body any) (gjson.Result, error) {
	var encoded []byte
	contentType := ""
	if body != nil {
		var err error
		if encoded, err = json.Marshal(body); err != nil {
			return gjson.Result{}, trace.Wrap(err)
		}
		contentType = "application/json"
	}
	response, err := b.call(ctx, method, path, contentType, encoded)
	if err != nil {
		return gjson.Result{}, err
	}
	text, err := response.ReadAll(1 << 20)
	if err != nil {
		return gjson.Result{}, trace.Wrap(err)
	}
	if response.Status != 200 {
		return gjson.Result{}, trace.BadParameter("%s %s: status %d: %s", method, path, response.Status, text)
	}
	return gjson.ParseBytes(text), nil
}

type itemLine struct {
	CustomID  string      `json:"custom_id"`
	Method    string      `json:"method"`
	URL       string      `json:"url"`
	WorkClass string      `json:"work_class,omitempty"`
	Body      chatRequest `json:"body"`
}

// Items generates a job's input file, and returns it with the request bodies by custom ID.
func Items(model string, workload BatchWorkload) ([]byte, map[string][]byte) {
	random := rand.New(rand.NewPCG(workload.Seed, 9))
	var file bytes.Buffer
	bodies := make(map[string][]byte, workload.Items)
	for i := range workload.Items {
		line := itemLine{CustomID: fmt.Sprintf("item-%d-%06d", workload.Seed, i), Method: "POST", URL: "/v1/chat/completions"}
		if workload.Once {
			line.WorkClass = "once"
		}
		question := fmt.Sprintf("item %d of seed %d: %s", i, workload.Seed, randomWords(random, randomLength(random, workload.PromptWords)))
		line.Body = chatRequest{Model: model, Messages: []chatMessage{{"user", question}}, MaxTokens: randomLength(random, workload.AnswerTokens)}
		bodies[line.CustomID] = mustEncode(line.Body)
		file.Write(mustEncode(line))
		file.WriteByte('\n')
	}
	return file.Bytes(), bodies
}

// Submit generates and uploads an input file, and creates a job from it.
func (b *BatchClient) Submit(ctx context.Context, workload BatchWorkload) (*Job, error) {
	file, bodies := Items(b.target.Model, workload)
	fileID, err := b.Upload(ctx, file)
	if err != nil {
		return nil, err
	}
	id, err := b.Create(ctx, fileID)
	if err != nil {
		return nil, err
	}
	return &Job{ID: id, FileID: fileID, Bodies: bodies}, nil
}

// Upload uploads an input file and returns its ID.
func (b *BatchClient) Upload(ctx context.Context, file []byte) (string, error) {
	form, contentType, err := MultipartForm(file)
	if err != nil {
		return "", trace.Wrap(err)
	}
	return b.UploadForm(ctx, form, contentType)
}

// MultipartForm returns the multipart form for the upload of a file, and its content
// type.
func MultipartForm(file []byte) ([]byte, string, error) {
	var form bytes.Buffer
	writer := multipart.NewWriter(&form)
	if err := writer.WriteField("purpose", "batch"); err != nil {
		return nil, "", trace.Wrap(err)
	}
	part, err := writer.CreateFormFile("file", "items.jsonl")
	if err != nil {
		return nil, "", trace.Wrap(err)
	}
	if _, err := part.Write(file); err != nil {
		return nil, "", trace.Wrap(err)
	}
	if err := writer.Close(); err != nil {
		return nil, "", trace.Wrap(err)
	}
	return form.Bytes(), writer.FormDataContentType(), nil
}

// UploadForm uploads a form and returns the file's ID.
func (b *BatchClient) UploadForm(ctx context.Context, form []byte, contentType string) (string, error) {
	response, err := b.call(ctx, "POST", "/v1/files", contentType, form)
	if err != nil {
		return "", err
	}
	text, err := response.ReadAll(1 << 20)
	if err != nil {
		return "", trace.Wrap(err)
	}
	if response.Status != 200 {
		return "", trace.BadParameter("upload: status %d: %s", response.Status, text)
	}
	return gjson.GetBytes(text, "id").String(), nil
}

type createBatchRequest struct {
	InputFileID      string `json:"input_file_id"`
	Endpoint         string `json:"endpoint"`
	CompletionWindow string `json:"completion_window"`
}

// Create creates a job from an uploaded file and returns the job's ID.
func (b *BatchClient) Create(ctx context.Context, fileID string) (string, error) {
	created, err := b.json(ctx, "POST", "/v1/batches", createBatchRequest{fileID, "/v1/chat/completions", "24h"})
	return created.Get("id").String(), err
}

// Cancel cancels a job.
func (b *BatchClient) Cancel(ctx context.Context, id string) error {
	_, err := b.json(ctx, "POST", "/v1/batches/"+id+"/cancel", nil)
	return err
}

// Status is the state of a job.
type Status struct {
	State                    string
	Total, Completed, Failed int64
	OutputFile, ErrorFile    string
}

// Status reads a job's state.
func (b *BatchClient) Status(ctx context.Context, id string) (Status, error) {
	read, err := b.json(ctx, "GET", "/v1/batches/"+id, nil)
	return Status{
		State: read.Get("status").String(), Total: read.Get("request_counts.total").Int(),
		Completed: read.Get("request_counts.completed").Int(), Failed: read.Get("request_counts.failed").Int(),
		OutputFile: read.Get("output_file_id").String(), ErrorFile: read.Get("error_file_id").String(),
	}, err
}

// Await polls a job until it has ended, and returns its final status.
func (b *BatchClient) Await(ctx context.Context, id string) (Status, error) {
	for {
		status, err := b.Status(ctx, id)
		if err != nil {
			return status, err
		}
		switch status.State {
		case "completed", "cancelled", "expired":
			return status, nil
		}
		select {
		case <-ctx.Done():
			return status, trace.LimitExceeded("job %s is still %s: %d of %d done", id, status.State, status.Completed+status.Failed, status.Total)
		case <-time.After(200 * time.Millisecond):
		}
	}
}
