package bench

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"

	"cobaltramp.example/cobaltramp/internal/app/tasks"
	"cobaltramp.example/cobaltramp/internal/transport/httpcall"
	"cobaltramp.example/cobaltramp/lab/fleet"
)

// PathReport compares requests through one and two nodes with requests sent directly to
// an engine.
type PathReport struct {
	Requests          int     `json:"requests"`
	DirectP50Ms       float64 `json:"direct_first_token_p50_ms"`
	DirectP95Ms       float64 `json:"direct_first_token_p95_ms"`
	OneNodeP50Ms      float64 `json:"one_node_first_token_p50_ms"`
	OneNodeP95Ms      float64 `json:"one_node_first_token_p95_ms"`
	TwoNodesP50Ms     float64 `json:"two_nodes_first_token_p50_ms"`
	TwoNodesP95Ms     float64 `json:"two_nodes_first_token_p95_ms"`
	DirectCPUMicros   float64 `json:"direct_cpu_us_per_request"`
	OneNodeCPUMicros  float64 `json:"one_node_cpu_us_per_request"`
	TwoNodesCPUMicros float64 `json:"two_nodes_cpu_us_per_request"`
	TokensPerRequest  int     `json:"tokens_per_request"`
}

const tokensPerRequest = 32

// pathConcurrency is the number of concurrent streams.
const pathConcurrency = 16

// Path measures streams of tokensPerRequest tokens at a fixed concurrency. The CPU time is
// that of the whole process, which includes the client and the engines; the differences
// between the paths are the cost of the nodes.
func Path(requests int) (*PathReport, error) {
	folder, err := os.MkdirTemp("", "cobaltramp-bench-")
	if err != nil {
		return nil, trace.ConvertSystemError(err)
	}
	defer func() { _ = os.RemoveAll(folder) }()
	one, err := startDeployment(filepath.Join(folder, "one"), topology(1, 1))
	if err != nil {
		return nil, trace.Wrap(err)
	}
	report := &PathReport{Requests: requests, TokensPerRequest: tokensPerRequest}
	direct := one.Engines[0].Address()
	report.DirectP50Ms, report.DirectP95Ms, report.DirectCPUMicros = measureRequests(direct, requests)
	report.OneNodeP50Ms, report.OneNodeP95Ms, report.OneNodeCPUMicros = measureRequests(one.APIAddresses()[0], requests)
	one.Close()
	two, err := startRemote(filepath.Join(folder, "two"))
	if err != nil {
		return nil, trace.Wrap(err)
	}
	defer two.Close()
	report.TwoNodesP50Ms, report.TwoNodesP95Ms, report.TwoNodesCPUMicros = measureRequests(two.APIAddresses()[0], requests)
	return report, nil
}

// startRemote starts two nodes in two zones of which only the second has runners, so that
// the first node forwards every request to the second.
func startRemote(folder string) (*fleet.Fleet, error) {
	spec := topology(1, 1)
	spec.Zones = []fleet.Zone{{Name: "front", Region: "r", Nodes: 1}, {Name: "back", Region: "r", Nodes: 1, Runners: 4}}
	return startDeployment(folder, spec)
}

// measureRequests sends requests to an address, and returns percentiles of the time to
// first token in milliseconds and the process's CPU time per request in microseconds.
func measureRequests(address string, requests int) (p50, p95, cpuMicros float64) {
	client := httpcall.NewClient(nil)
	defer client.CloseIdle()
	histogram := newHistogram()
	var mutex sync.Mutex
	var next atomic.Int64
	var callers tasks.Group
	before := processCPU()
	for range pathConcurrency {
		callers.Go(func() {
			for number := next.Add(1); number <= int64(requests); number = next.Add(1) {
				waited, err := firstToken(client, address, number)
				if err != nil {
					continue
				}
				mutex.Lock()
				record(histogram, waited)
				mutex.Unlock()
			}
		})
	}
	callers.Wait()
	cpu := processCPU() - before
	return milliseconds(histogram, 50), milliseconds(histogram, 95), float64(cpu.Microseconds()) / float64(requests)
}

func firstToken(client *httpcall.Client, address string, number int64) (time.Duration, error) {
	body := fmt.Appendf(nil, `{"model":"%s","stream":true,"max_tokens":%d,"messages":[{"role":"user","content":"bench request number %d with a prompt of some length"}]}`, model, tokensPerRequest, number)
	began := time.Now()
	response, err := client.Do(context.Background(), &httpcall.Request{
		Method: "POST", URL: "http://" + address + "/v1/chat/completions", Body: body,
		Headers: [][2]string{{"Authorization", "Bearer " + tenantKey.Key}, {"Content-Type", "application/json"}},
	})
	if err != nil {
		return 0, err
	}
	defer response.Close()
	reader := bufio.NewReader(response)
	var first time.Duration
	for {
		line, err := reader.ReadBytes('\n')
		if errors.Is(err, io.EOF) {
			return first, nil
		}
		if err != nil {
			return 0, err
		}
		if first == 0 && bytes.Contains(line, []byte(`"content"`)) {
			first = time.Since(began)
		}
	}
}
