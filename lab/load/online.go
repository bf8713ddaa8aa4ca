// Package load generates load: open-loop online requests, and batch jobs. Latencies of
// online requests are measured from the intended arrival time, which avoids coordinated
// omission. All responses are compared with the expected text.
package load

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"time"

	"github.com/tidwall/gjson"

	"cobaltramp.example/cobaltramp/internal/app/tasks"
	"cobaltramp.example/cobaltramp/internal/transport/httpcall"
	"cobaltramp.example/cobaltramp/lab/engine"
)

// Target is the deployment under load, with the credentials and the model to use.
type Target struct {
	// Addresses are the API addresses of the nodes, used in turn.
	Addresses []string
	Key       string
	Model     string
	// MaxAnswerTokens is the engines' limit of tokens per response, on which the expected
	// text depends.
	MaxAnswerTokens int
}

// OnlineWorkload describes the online requests.
type OnlineWorkload struct {
	// Rate is the mean number of requests per second (Poisson arrivals).
	Rate float64 `yaml:"rate"`
	// PromptWords and AnswerTokens are mean lengths.
	PromptWords  int `yaml:"prompt_words"`
	AnswerTokens int `yaml:"answer_tokens"`
	// Prefixes is the number of different prompt prefixes, which requests share; 0 means
	// that prompts have no prefix.
	Prefixes int `yaml:"prefixes"`
	// Seed is the random seed of arrivals and prompts.
	Seed uint64 `yaml:"seed"`
}

// RunOnline sends requests until the context ends, and then waits for the requests in
// flight.
func RunOnline(ctx context.Context, target Target, workload OnlineWorkload, recorder *Recorder) {
	random := rand.New(rand.NewPCG(workload.Seed, 3))
	client := httpcall.NewClient(nil)
	defer client.CloseIdle()
	var requests tasks.Group
	defer requests.Wait()
	next := time.Now()
	for number := 0; ; number++ {
		next = next.Add(time.Duration(random.ExpFloat64() / workload.Rate * float64(time.Second)))
		select {
		case <-ctx.Done():
			return
		case <-time.After(time.Until(next)):
		}
		body := chatBody(random, target.Model, workload, number)
		intended := next
		request := &onlineRequest{client: client, target: target, body: body, intended: intended, recorder: recorder, firstAddress: number}
		requests.Go(request.run)
	}
}

type onlineRequest struct {
	client       *httpcall.Client
	target       Target
	body         []byte
	intended     time.Time
	recorder     *Recorder
	firstAddress int
}

const (
	maxAttempts    = 3
	requestTimeout = 60 * time.Second
	resendDelay    = 100 * time.Millisecond
	// maxErrorBytes is the maximum number of bytes read from an error response.
	maxErrorBytes = 1 << 16
)

// errNodeUnavailable reports that the accepting node did not respond or that its
// connection broke. The request is retried at another node.
var errNodeUnavailable = errors.New("accepting node lost")

// run sends the request, and retries it at the next node if the accepting node is
// unavailable.
func (o *onlineRequest) run() {
	o.recorder.Requests.Add(1)
	for try := range maxAttempts {
		address := o.target.Addresses[(o.firstAddress+try)%len(o.target.Addresses)]
		err := o.send(address)
		if err == nil {
			return
		}
		if !errors.Is(err, errNodeUnavailable) {
			o.recorder.Failed.Add(1)
			o.recorder.recordError(err.Error())
			return
		}
		o.recorder.Resent.Add(1)
		time.Sleep(resendDelay)
	}
	o.recorder.Failed.Add(1)
	o.recorder.recordError("no node reachable")
}

func (o *onlineRequest) send(address string) error {
	ctx, cancel := context.WithTimeout(context.Background(), requestTimeout)
	defer cancel()
	response, err := o.client.Do(ctx, &httpcall.Request{
		Method: "POST", URL: "http://" + address + "/v1/chat/completions", Body: o.body,
		Headers: [][2]string{{"Authorization", "Bearer " + o.target.Key}, {"Content-Type", "application/json"}},
	})
	if err != nil {
		return errNodeUnavailable
	}
	defer response.Close()
	if response.Status != 200 {
		// A read error is ignored: the status is reported even without the error type.
		body, _ := response.ReadAll(maxErrorBytes)
		if gjson.GetBytes(body, "error.run").String() == "no" {
			o.recorder.Refused.Add(1)
		}
		return fmt.Errorf("status %d: %s", response.Status, gjson.GetBytes(body, "error.type"))
	}
	return o.readStream(response)
}

// readStream reads the stream to its end and checks the complete text.
func (o *onlineRequest) readStream(response *httpcall.Response) error {
	reader := bufio.NewReader(response)
	var text bytes.Buffer
	last := o.intended
	first := true
	for {
		line, err := reader.ReadBytes('\n')
		if err != nil {
			if errors.Is(err, io.EOF) {
				o.recorder.Truncated.Add(1)
				return errors.New("stream ended without an end")
			}
			return errNodeUnavailable
		}
		data, isData := bytes.CutPrefix(bytes.TrimSpace(line), []byte("data: "))
		if !isData {
			continue
		}
		if bytes.Equal(data, []byte("[DONE]")) {
			return o.checkText(text.String())
		}
		if kind := gjson.GetBytes(data, "error.type"); kind.Exists() {
			return fmt.Errorf("error event: %s: %s", kind, gjson.GetBytes(data, "error.message"))
		}
		piece := gjson.GetBytes(data, "choices.0.delta.content").String()
		if piece == "" {
			continue
		}
		text.WriteString(piece)
		now := time.Now()
		if first {
			o.recorder.recordFirstToken(o.intended, now.Sub(o.intended))
			first = false
		} else {
			o.recorder.recordTokenGap(now.Sub(last))
		}
		last = now
	}
}

func (o *onlineRequest) checkText(text string) error {
	want := engine.ExpectedResponse(o.body, o.target.MaxAnswerTokens)
	if text == want {
		return nil
	}
	o.recorder.Wrong.Add(1)
	common := 0
	for common < min(len(text), len(want)) && text[common] == want[common] {
		common++
	}
	return fmt.Errorf("wrong text: %d bytes, want %d, alike for %d", len(text), len(want), common)
}
