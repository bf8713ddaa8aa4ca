package main

import (
	"bytes"
	"context"
	"encoding/base64"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"
)

// answer is the answer to one call; status 0 stands for none, or an incomplete one.
type answer struct {
	status int
	body   []byte
}

// call sends one request on a connection of its own, as the clients of batch jobs do.
func call(timeout time.Duration, method, address, host, target, id string, headers map[string]string, body []byte) answer {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+address+target, bytes.NewReader(body))
	if err != nil {
		return answer{}
	}
	request.Host, request.Close = host, true
	if id != "" {
		request.Header.Set("Cobaltramp-Attempt-Id", id)
	}
	for name, value := range headers {
		request.Header.Set(name, value)
	}
	response, err := http.DefaultTransport.RoundTrip(request)
	if err != nil {
		return answer{}
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		return answer{}
	}
	return answer{response.StatusCode, text}
}

func ready(address string) bool {
	return call(time.Second, http.MethodGet, address, address, "/-/readyz", "", nil, nil).status == http.StatusOK
}

type item struct {
	ID      string            `json:"id"`
	Path    string            `json:"path"`
	Headers map[string]string `json:"headers"`
	Body    string            `json:"body"`
	Tokens  int               `json:"token_count"`
}

// jobBody returns the body of a batch job.
func jobBody(job, prefix string, count int) []byte {
	var items []item
	for number := range count {
		id := fmt.Sprintf("%s-i%d", job, number)
		items = append(items, item{
			ID: id, Path: prefix + "x", Body: base64.StdEncoding.EncodeToString([]byte("body of " + id)), Tokens: 940,
			Headers: map[string]string{"Cobaltramp-Model": "m", "Cobaltramp-Token-Usage": "540,400", "Cobaltramp-Prompt-Prefix": "9c2e41:300,5d07b8:240"},
		})
	}
	text, err := json.Marshal(map[string]any{"items": items})
	if err != nil {
		panic(err)
	}
	return text
}

// listing is the answer to a read of a batch job.
type listing struct {
	Total   int `json:"total"`
	Results []struct {
		ID      string `json:"id"`
		State   string `json:"state"`
		Message string `json:"message"`
	} `json:"results"`
	Next int `json:"next_token"`
}
