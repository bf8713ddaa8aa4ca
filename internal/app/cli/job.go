package cli

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"mime/multipart"
	"os"
	"path/filepath"
	"time"

	"github.com/gravitational/trace"
	"github.com/tidwall/gjson"

	"cobaltramp.example/cobaltramp/internal/transport/httpcall"
)

type jobCommands struct {
	Submit  jobSubmitCommand  `command:"submit" description:"upload an input file and make a job of it"`
	Status  jobStatusCommand  `command:"status" description:"show a job"`
	Cancel  jobCancelCommand  `command:"cancel" description:"cancel a job"`
	Results jobResultsCommand `command:"results" description:"write a job's results, or its errors, to standard output"`
}

// apiOptions are the options of callers' commands that call a node.
type apiOptions struct {
	Node string `short:"n" long:"node" env:"COBALTRAMP_API" required:"true" description:"callers' address (IP:port) of any node"`
	Key  string `long:"key" env:"COBALTRAMP_KEY" required:"true" description:"the tenant's API key"`
	TLS  bool   `long:"tls" description:"speak TLS"`
}

func (a *apiOptions) request(ctx context.Context, method, path string, headers [][2]string, body []byte) (*httpcall.Response, error) {
	scheme := "http://"
	if a.TLS {
		scheme = "https://"
	}
	headers = append(headers, [2]string{"Authorization", "Bearer " + a.Key})
	response, err := httpcall.NewClient(nil).Do(ctx, &httpcall.Request{Method: method, URL: scheme + a.Node + path, Headers: headers, Body: body})
	if err != nil {
		return nil, callError(a.Node, err)
	}
	if response.Status == 200 {
		return response, nil
	}
	text, err := response.ReadAll(maxResponseBytes)
	if err != nil {
		return nil, callError(a.Node, err)
	}
	failure := gjson.GetBytes(text, "error")
	refusal := trace.BadParameter("node %s refused: %s (%s, code %s, run: %s)", a.Node, failure.Get("message"), failure.Get("type"), failure.Get("code"), failure.Get("run"))
	if failure.Get("run").String() == "unknown" {
		return nil, outcomeUnknownError{refusal}
	}
	return nil, refusal
}

func (a *apiOptions) json(method, path string, headers [][2]string, body []byte) (json.RawMessage, error) {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	response, err := a.request(ctx, method, path, headers, body)
	if err != nil {
		return nil, err
	}
	return response.ReadAll(maxResponseBytes)
}

func printJob(raw json.RawMessage) error {
	return output.print(raw, func() {
		job := gjson.ParseBytes(raw)
		fmt.Printf("%s  %s  %d items, %d completed, %d failed", job.Get("id"), job.Get("status"),
			job.Get("request_counts.total").Int(), job.Get("request_counts.completed").Int(), job.Get("request_counts.failed").Int())
		if file := job.Get("output_file_id").String(); file != "" {
			fmt.Printf("  output %s", file)
		}
		if file := job.Get("error_file_id").String(); file != "" {
			fmt.Printf("  errors %s", file)
		}
		fmt.Println()
	})
}

type jobSubmitCommand struct {
	apiOptions
	IdempotencyKey string `long:"idempotency-key" description:"makes a resend the same job (default: the file's content does)"`
	Window         string `long:"window" default:"24h" description:"time the job may take"`
	Endpoint       string `long:"endpoint" default:"/v1/chat/completions" description:"endpoint of the items"`
	Arguments      struct {
		File string `positional-arg-name:"file" description:"input file (JSON lines)"`
	} `positional-args:"true" required:"true"`
}

type createBatchRequest struct {
	InputFileID      string `json:"input_file_id"`
	Endpoint         string `json:"endpoint"`
	CompletionWindow string `json:"completion_window"`
}

// transferTimeout is the timeout of the upload or the download of a file.
const transferTimeout = 30 * time.Minute

// Execute implements flags.Commander.
func (j *jobSubmitCommand) Execute([]string) error {
	fileID, err := j.upload()
	if err != nil {
		return err
	}
	body, err := json.Marshal(createBatchRequest{fileID, j.Endpoint, j.Window})
	if err != nil {
		return trace.Wrap(err)
	}
	headers := [][2]string{{"Content-Type", "application/json"}}
	if j.IdempotencyKey != "" {
		headers = append(headers, [2]string{"Idempotency-Key", j.IdempotencyKey})
	}
	raw, err := j.json("POST", "/v1/batches", headers, body)
	if err != nil {
		return err
	}
	return printJob(raw)
}

func (j *jobSubmitCommand) upload() (string, error) {
	content, err := os.ReadFile(j.Arguments.File)
	if err != nil {
		return "", trace.Wrap(trace.ConvertSystemError(err), "input file %s", j.Arguments.File)
	}
	var form bytes.Buffer
	writer := multipart.NewWriter(&form)
	if err := writer.WriteField("purpose", "batch"); err != nil {
		return "", trace.Wrap(err)
	}
	part, err := writer.CreateFormFile("file", filepath.Base(j.Arguments.File))
	if err != nil {
		return "", trace.Wrap(err)
	}
	if _, err := part.Write(content); err != nil {
		return "", trace.Wrap(err)
	}
	if err := writer.Close(); err != nil {
		return "", trace.Wrap(err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), transferTimeout)
	defer cancel()
	response, err := j.request(ctx, "POST", "/v1/files", [][2]string{{"Content-Type", writer.FormDataContentType()}}, form.Bytes())
	if err != nil {
		return "", trace.Wrap(err, "uploading %s", j.Arguments.File)
	}
	raw, err := response.ReadAll(maxResponseBytes)
	if err != nil {
		return "", trace.Wrap(err)
	}
	return gjson.GetBytes(raw, "id").String(), nil
}

type jobArgument struct {
	Arguments struct {
		ID string `positional-arg-name:"job" description:"the job's id"`
	} `positional-args:"true" required:"true"`
}

type jobStatusCommand struct {
	apiOptions
	jobArgument
}

// Execute implements flags.Commander.
func (j *jobStatusCommand) Execute([]string) error {
	raw, err := j.json("GET", "/v1/batches/"+j.Arguments.ID, nil, nil)
	if err != nil {
		return err
	}
	return printJob(raw)
}

type jobCancelCommand struct {
	apiOptions
	jobArgument
}

// Execute implements flags.Commander.
func (j *jobCancelCommand) Execute([]string) error {
	raw, err := j.json("POST", "/v1/batches/"+j.Arguments.ID+"/cancel", nil, []byte{})
	if err != nil {
		return err
	}
	return printJob(raw)
}

type jobResultsCommand struct {
	apiOptions
	jobArgument
	Errors bool `long:"errors" description:"the failed items instead of the completed ones"`
}

// Execute implements flags.Commander.
func (j *jobResultsCommand) Execute([]string) error {
	kind := "out"
	if j.Errors {
		kind = "err"
	}
	ctx, cancel := context.WithTimeout(context.Background(), transferTimeout)
	defer cancel()
	response, err := j.request(ctx, "GET", fmt.Sprintf("/v1/files/file-%s-%s/content", kind, j.Arguments.ID), nil, nil)
	if err != nil {
		return err
	}
	defer response.Close()
	if _, err := io.Copy(os.Stdout, response); err != nil {
		return trace.ConnectionProblem(err, "the results broke off; ask again")
	}
	return nil
}
