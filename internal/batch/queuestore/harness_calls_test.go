package queuestore

import (
	"context"
	"fmt"
	"time"

	wirev1 "cobaltramp.example/cobaltramp/api/wire/v1"
	"cobaltramp.example/cobaltramp/internal/app/result"
	"cobaltramp.example/cobaltramp/internal/transport/rpc"
)

const testHost = "h.example"

// call sends a request to the running nodes until one accepts it or refuses it because of the
// token limit or a full disk. It returns the last error.
func (c *testCluster) call(method wirev1.Method, request, reply protoMessage) error {
	var lastErr error
	for _, n := range c.nodes {
		if !n.running {
			continue
		}
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		lastErr = c.client.Call(ctx, n.address, rpc.ClassOnline, method, request, reply)
		cancel()
		if lastErr == nil || result.Is(lastErr, result.TenantTokens) || result.Is(lastErr, result.StoreFull) {
			return lastErr
		}
	}
	return lastErr
}

// submit retries the submission of a job until it is accepted.
func (c *testCluster) submit(id string, items int) {
	c.t.Helper()
	c.eventually("job "+id+" is accepted", func() bool {
		return c.trySubmit(id, items, 0) == nil
	})
}

// trySubmit submits a job once. A limit of 0 means no limit of waiting tokens.
func (c *testCluster) trySubmit(id string, items int, limit uint64) error {
	return c.trySubmitPadded(id, items, limit, 0)
}

// trySubmitPadded is like trySubmit, with item bodies padded to the given number of bytes.
func (c *testCluster) trySubmitPadded(id string, items int, limit uint64, bytes int) error {
	job := &wirev1.QueueJob{Id: id, Host: testHost, Route: "route", DueAfterMs: 60000, GiveUpMs: 120000}
	for i := range items {
		job.Items = append(job.Items, &wirev1.QueueItem{Id: fmt.Sprintf("%s-%d", id, i), Path: "/x", Tokens: 10, Body: padded(fmt.Appendf(nil, "body %s %d", id, i), bytes)})
	}
	return c.call(wirev1.Method_METHOD_QUEUE_SUBMIT, &wirev1.QueueSubmitRequest{Job: job, MaxWaitingTokens: limit}, &wirev1.QueueSubmitReply{})
}

func padded(body []byte, size int) []byte {
	return append(body, make([]byte, max(0, size-len(body)))...)
}

func (c *testCluster) read(id string) (*wirev1.QueueReadReply, error) {
	reply := &wirev1.QueueReadReply{}
	return reply, c.call(wirev1.Method_METHOD_QUEUE_READ, &wirev1.QueueReadRequest{JobId: id, Host: testHost, MaxBytes: 1 << 20}, reply)
}

// waitFinished waits until a job has a result for each of its items, and checks the results.
func (c *testCluster) waitFinished(id string, items int) {
	c.t.Helper()
	var reply *wirev1.QueueReadReply
	c.eventually("job "+id+" is finished", func() bool {
		var err error
		reply, err = c.read(id)
		return err == nil && reply.Found && len(reply.Results) == items
	})
	seen := map[uint32]bool{}
	for _, result := range reply.Results {
		want := fmt.Sprintf("body %s %d/1\nbody %s %d/2", id, result.Item, id, result.Item)
		if seen[result.Item] || string(result.Text) != want {
			c.t.Fatalf("job %s item %d: %q, seen before: %v", id, result.Item, result.Text, seen[result.Item])
		}
		seen[result.Item] = true
	}
}
