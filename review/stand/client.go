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
		request.Header.Set(name("attempt"), id)
	}
	for header, value := range headers {
		request.Header.Set(header, value)
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
	return call(time.Second, http.MethodGet, address, address, name("ready"), "", nil, nil).status == http.StatusOK
}

// jobBody returns the body of a batch job.
func jobBody(job, prefix string, count int) []byte {
	var items []map[string]any
	for number := range count {
		id := fmt.Sprintf("%s-i%d", job, number)
		items = append(items, map[string]any{
			"id": id, "path": prefix + "x", "body": base64.StdEncoding.EncodeToString([]byte("body of " + id)), name("tokens"): 940,
			"headers": map[string]string{name("model"): "m", name("usage"): "540,400", name("prompt"): "9c2e41:300,5d07b8:240"},
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
}
