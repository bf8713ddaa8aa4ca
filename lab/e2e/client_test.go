package e2e

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strings"
	"testing"

	"github.com/matryer/is"
	"github.com/openai/openai-go/v3"
	"github.com/openai/openai-go/v3/option"

	"cobaltramp.example/cobaltramp/internal/app/eventually"
	"cobaltramp.example/cobaltramp/lab/engine"
	"cobaltramp.example/cobaltramp/lab/fleet"
)

func chatParams(text string, tokens int64) openai.ChatCompletionNewParams {
	return openai.ChatCompletionNewParams{
		Model:     model,
		Messages:  []openai.ChatCompletionMessageParamUnion{openai.UserMessage(text)},
		MaxTokens: openai.Int(tokens),
	}
}

func expectedAnswer(text string, tokens int64) string {
	body, _ := json.Marshal(map[string]any{"messages": []map[string]string{{"role": "user", "content": text}}, "max_tokens": tokens})
	return engine.ExpectedResponse(body, maxAnswerTokens)
}

// The official OpenAI client works with all parts of the API.
func TestOpenAIClient(t *testing.T) {
	t.Parallel()
	deployment := startDeployment(t, topology(3, 2))
	api := client(deployment, 0)

	t.Run("chat", func(t *testing.T) {
		is := is.New(t)
		answer, err := api.Chat.Completions.New(callContext(t), chatParams("is the name free?", 20))
		is.NoErr(err)
		is.Equal(answer.Choices[0].Message.Content, expectedAnswer("is the name free?", 20))
		is.True(answer.Usage.CompletionTokens > 0)
	})
	t.Run("completion", func(t *testing.T) {
		is := is.New(t)
		answer, err := api.Completions.New(callContext(t), openai.CompletionNewParams{
			Model: model, Prompt: openai.CompletionNewParamsPromptUnion{OfString: openai.String("summarise the return")}, MaxTokens: openai.Int(12),
		})
		is.NoErr(err)
		body := []byte(`{"prompt":"summarise the return","max_tokens":12}`)
		is.Equal(answer.Choices[0].Text, engine.ExpectedResponse(body, maxAnswerTokens))
	})
	t.Run("stream", func(t *testing.T) {
		is := is.New(t)
		stream := api.Chat.Completions.NewStreaming(callContext(t), chatParams("draft the articles", 30))
		text := ""
		for stream.Next() {
			if chunk := stream.Current(); len(chunk.Choices) > 0 {
				text += chunk.Choices[0].Delta.Content
			}
		}
		is.NoErr(stream.Err())
		is.Equal(text, expectedAnswer("draft the articles", 30))
	})
	t.Run("stream cancelled by caller", func(t *testing.T) {
		is := is.New(t)
		for _, slowed := range deployment.Engines {
			slowed.SetSlow(40)
			defer slowed.SetSlow(1)
		}
		before := deployment.Ledger.Totals().Cancels
		ctx, cancel := context.WithCancel(callContext(t))
		stream := api.Chat.Completions.NewStreaming(ctx, chatParams("a question with a long answer one two", 64))
		is.True(stream.Next())
		cancel()
		eventually.Require(t, "the engine has cancelled the request", func() bool { return deployment.Ledger.Totals().Cancels > before })
	})
	t.Run("models", func(t *testing.T) {
		is := is.New(t)
		models, err := api.Models.List(callContext(t))
		is.NoErr(err)
		is.Equal(len(models.Data), 1)
		is.Equal(models.Data[0].ID, model)
	})
	t.Run("batch", func(t *testing.T) { batchThroughClient(t, api) })
	t.Run("batch cancelled", func(t *testing.T) {
		for _, slowed := range deployment.Engines {
			slowed.SetSlow(40)
			defer slowed.SetSlow(1)
		}
		cancelThroughClient(t, api)
	})
	t.Run("error has a code and reports whether the request ran", func(t *testing.T) {
		is := is.New(t)
		_, err := api.Chat.Completions.New(callContext(t), openai.ChatCompletionNewParams{Model: "nope", Messages: chatParams("x", 1).Messages})
		var failure *openai.Error
		is.True(errors.As(err, &failure))
		is.Equal(failure.Code, "1103")
		is.Equal(failure.StatusCode, 404)
		is.Equal(failure.Response.Header.Get("X-Run"), "no")
	})
	t.Run("too large body is refused", func(t *testing.T) {
		is := is.New(t)
		_, err := api.Chat.Completions.New(callContext(t), chatParams(strings.Repeat("long ", 1<<20), 1))
		var failure *openai.Error
		is.True(errors.As(err, &failure))
		is.Equal(failure.Code, "1104")
		is.Equal(failure.Response.Header.Get("X-Run"), "no")
	})
	t.Run("invalid key is refused", func(t *testing.T) {
		is := is.New(t)
		_, err := api.Chat.Completions.New(callContext(t), chatParams("x", 1), option.WithAPIKey("wrong"))
		var failure *openai.Error
		is.True(errors.As(err, &failure))
		is.Equal(failure.Code, "1102")
	})
}

func inputFile(prefix string, items int) string {
	var lines strings.Builder
	for i := range items {
		fmt.Fprintf(&lines, `{"custom_id":"%s-%d","method":"POST","url":"/v1/chat/completions","body":{"model":"%s","messages":[{"role":"user","content":"%s %d"}],"max_tokens":10}}`+"\n", prefix, i, model, prefix, i)
	}
	return lines.String()
}

func upload(t *testing.T, api openai.Client, text string) (*openai.FileObject, error) {
	return api.Files.New(callContext(t), openai.FileNewParams{
		File: openai.File(strings.NewReader(text), "items.jsonl", "application/jsonl"), Purpose: openai.FilePurposeBatch,
	})
}

func batchThroughClient(t *testing.T, api openai.Client) {
	is := is.New(t)
	const items = 25
	file, err := upload(t, api, inputFile("return", items))
	is.NoErr(err)
	job, err := api.Batches.New(callContext(t), openai.BatchNewParams{
		InputFileID: file.ID, Endpoint: openai.BatchNewParamsEndpointV1ChatCompletions, CompletionWindow: openai.BatchNewParamsCompletionWindow24h,
	})
	is.NoErr(err)
	eventually.Require(t, "the batch completes", func() bool {
		job, err = api.Batches.Get(callContext(t), job.ID)
		return err == nil && job.Status == openai.BatchStatusCompleted
	})
	is.Equal(job.RequestCounts.Completed, int64(items))
	response, err := api.Files.Content(callContext(t), job.OutputFileID)
	is.NoErr(err)
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	is.NoErr(err)
	is.Equal(bytes.Count(text, []byte("\n")), items)
	list, err := api.Batches.List(callContext(t), openai.BatchListParams{})
	is.NoErr(err)
	is.True(len(list.Data) >= 1)
	files, err := api.Files.List(callContext(t), openai.FileListParams{})
	is.NoErr(err)
	is.Equal(files.Data[0].ID, file.ID)
	again, err := api.Batches.New(callContext(t), openai.BatchNewParams{
		InputFileID: file.ID, Endpoint: openai.BatchNewParamsEndpointV1ChatCompletions, CompletionWindow: openai.BatchNewParamsCompletionWindow24h,
	})
	is.NoErr(err)
	is.Equal(again.ID, job.ID) // a repeated request returns the existing job
}

func cancelThroughClient(t *testing.T, api openai.Client) {
	is := is.New(t)
	file, err := upload(t, api, inputFile("cancelled", 200))
	is.NoErr(err)
	job, err := api.Batches.New(callContext(t), openai.BatchNewParams{
		InputFileID: file.ID, Endpoint: openai.BatchNewParamsEndpointV1ChatCompletions, CompletionWindow: openai.BatchNewParamsCompletionWindow24h,
	})
	is.NoErr(err)
	_, err = api.Batches.Cancel(callContext(t), job.ID)
	is.NoErr(err)
	eventually.Require(t, "the batch is cancelled", func() bool {
		job, err = api.Batches.Get(callContext(t), job.ID)
		return err == nil && job.Status == openai.BatchStatusCancelled
	})
	response, err := api.Files.Content(callContext(t), job.ErrorFileID)
	is.NoErr(err)
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	is.NoErr(err)
	is.Equal(int64(bytes.Count(text, []byte("\n"))), 200-job.RequestCounts.Completed) // every item has one outcome
}

func TestInvalidUploadErrorsNameTheLine(t *testing.T) {
	t.Parallel()
	deployment := startDeployment(t, topology(3, 1))
	api := client(deployment, 0)
	good := inputFile("good", 1)
	cases := []struct{ name, text, want string }{
		{"not JSON", good + "{", "line 2: not JSON"},
		{"duplicate custom_id", good + good, `line 2: custom_id "good-0" stands twice`},
		{"unknown model", strings.ReplaceAll(good, model, "other"), `line 1: body.model is "other", which does not exist`},
		{"empty", "\n", "the file has no lines"},
		{"wrong url", strings.ReplaceAll(good, "/v1/chat/completions", "/v1/embeddings"), "line 1: url is"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			_, err := upload(t, api, c.text)
			var failure *openai.Error
			is.True(errors.As(err, &failure))
			is.Equal(failure.Code, "1101")
			is.True(strings.Contains(failure.Message, c.want)) // the message contains the line number and the problem
		})
	}
}

// A new generation with a new model version and an adapter: the engines load both from the
// weight store, and the adapter is served under its name.
func TestNewVersionAndAdapterAreLoadedAndServed(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	deployment := startDeployment(t, topology(3, 2))
	text := fleet.BasicBundle(deployment.Operator, model, model, slots, []fleet.TenantKey{tenantKey})
	text = strings.Replace(text, "version: \"1\"\n", "version: \"2\"\nadapters: [founders]\n", 1)
	is.NoErr(deployment.Operator.Roll(callContext(t), deployment.AdminAddress(), cluster, 2, text))
	is.NoErr(deployment.AwaitReady(callContext(t), 2))
	api := client(deployment, 0)
	eventually.Require(t, "the adapter is served", func() bool {
		params := chatParams("draft for founders", 10)
		params.Model = "founders"
		answer, err := api.Chat.Completions.New(callContext(t), params)
		return err == nil && answer.Choices[0].Message.Content == expectedAnswer("draft for founders", 10) && answer.Model == "founders"
	})
	models, err := api.Models.List(callContext(t))
	is.NoErr(err)
	is.Equal(len(models.Data), 2)
}

// A new model version is rolled under load while each engine needs some time to load it.
// The runners load it in groups, so that no request is refused or truncated.
func TestNewVersionIsRolledUnderLoad(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	spec := topology(3, 12)
	spec.Engine.WeightBytes = 96 << 20
	deployment := startDeployment(t, spec)
	text := fleet.BasicBundle(deployment.Operator, model, model, slots, []fleet.TenantKey{tenantKey})
	text = strings.Replace(text, "version: \"1\"\n", "version: \"2\"\n", 1)
	recorder := withOnlineLoad(deployment, deployment.APIAddresses(), 20, func() {
		is.NoErr(deployment.Operator.Roll(callContext(t), deployment.AdminAddress(), cluster, 2, text))
		eventually.Require(t, "all engines have the new version", func() bool {
			for _, loaded := range deployment.Engines {
				if loaded.Version() != "2" {
					return false
				}
			}
			return true
		})
	})
	requireNoFailures(t, recorder)
}
