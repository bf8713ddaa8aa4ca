package main

import (
	"bytes"
	"encoding/base64"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"
)

// host is the host of all routes.
const host = "nony24.example"

// client is a sound client: each call comes on a new connection.
type client struct {
	http   *http.Client
	record *record
}

func newClient(log *record) *client {
	return &client{http: &http.Client{Timeout: 6 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}, record: log}
}

// answer is an answer to a call; its status is 0 if there was none.
type answer struct {
	status int
	header http.Header
	body   []byte
}

// call sends one request to an edge.
func (c *client) call(method, edge, target string, headers map[string]string, body []byte) answer {
	request, err := http.NewRequest(method, "http://"+edge+target, bytes.NewReader(body))
	if err != nil {
		return answer{}
	}
	request.Host = host
	for name, value := range headers {
		request.Header.Set(name, value)
	}
	response, err := c.http.Do(request)
	if err != nil {
		c.record.line("%s %s at %s: no answer: %v", method, target, edge, err)
		return answer{}
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		c.record.line("%s %s at %s: status %d, cut after %d bytes: %v", method, target, edge, response.StatusCode, len(text), err)
		return answer{}
	}
	shown := text
	if len(shown) > 160 {
		shown = shown[:160]
	}
	c.record.line("%s %s at %s: status %d, %d bytes: %s", method, target, edge, response.StatusCode, len(text), bytes.TrimSpace(shown))
	return answer{response.StatusCode, response.Header, text}
}

// submit submits a batch job of some items at an edge.
func (c *client) submit(edge, prefix, job string, items int) answer {
	var list []map[string]any
	for number := range items {
		id := fmt.Sprintf("%s-i%d", job, number)
		list = append(list, map[string]any{
			"id": id, "path": prefix + "item/" + id, words["tokens"]: 300,
			"headers": map[string]string{words["model"]: "m", words["usage"]: "200,100"},
			"body":    base64.StdEncoding.EncodeToString([]byte("inspection " + id)),
		})
	}
	body, err := json.Marshal(map[string]any{"items": list})
	if err != nil {
		return answer{}
	}
	return c.call(http.MethodPost, edge, prefix+job, map[string]string{words["attempt"]: job, "Content-Type": "application/json"}, body)
}

// read reads the results of a batch job from its start.
func (c *client) read(edge, job string) answer {
	return c.call(http.MethodGet, edge, words["jobs"]+job+"?"+words["since"]+"=0", nil, nil)
}

// results are the results of a batch job.
type results struct {
	Total   int `json:"total"`
	Results []struct {
		ID      string `json:"id"`
		State   string `json:"state"`
		Message string `json:"message"`
	} `json:"results"`
}

// decode returns the results in an answer.
func (a answer) decode() results {
	var decoded results
	_ = json.Unmarshal(a.body, &decoded) // an unreadable body has no results
	return decoded
}
