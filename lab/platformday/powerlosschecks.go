package platformday

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
	"time"

	"cobaltramp.example/cobaltramp/internal/app/pause"
)

const (
	// recoveryTimeout is the longest time from the return of all nodes, with a stable store, until
	// every accepted job can be read and new jobs are accepted.
	recoveryTimeout = 12 * time.Second
	// finishTimeout is the longest time from the last return of all nodes until every accepted item has
	// a result.
	finishTimeout = 18 * time.Second
	// lateRecoveryTimeout is how long a recovery is observed that took too long.
	lateRecoveryTimeout = 30 * time.Second
	// retirementTimeout is how long a retirement is awaited after a loss of power.
	retirementTimeout = 10 * time.Second
)

// check checks that the nodes recover in time from a loss of power: every accepted job can be read
// at every edge with all results that were read before, and new jobs are accepted; after the last
// loss of power, every accepted item gets a result.
func (l *powerLosses) check(ctx context.Context, back time.Time, last bool) {
	problem := l.unrecovered(ctx, back.Add(recoveryTimeout))
	l.tally.RecordPowerLoss(time.Since(back))
	if problem != "" {
		l.recordUnrecovered(ctx, back, problem)
		return
	}
	l.report("power loss %d: recovered after %v", l.number, time.Since(back).Round(time.Millisecond))
	if !last {
		return
	}
	for l.batch.OpenItems() > 0 && time.Since(back) < finishTimeout && ctx.Err() == nil {
		l.batch.ReadAll(ctx)
		pause.For(ctx, pollInterval)
	}
	if open := l.batch.OpenItems(); open > 0 {
		l.recordProblem(fmt.Sprintf("%d accepted items have no result %v after all nodes were back", open, finishTimeout))
	}
}

// unrecovered waits until the nodes have recovered, and returns an empty string. If they have not at
// the deadline, it returns what is missing.
func (l *powerLosses) unrecovered(ctx context.Context, deadline time.Time) string {
	limited, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	for _, p := range l.nodesOf("edge") {
		for missing := ""; ; pause.For(limited, pollInterval) {
			problem := l.batch.UnreadableJob(limited, p.callerAddress)
			if limited.Err() != nil {
				return fmt.Sprintf("not all jobs were read at %s; before: %q", p.name, missing)
			}
			if missing = problem; problem == "" {
				break
			}
		}
	}
	l.batchNumber++
	if l.batch.Submit(limited, jobName("after", l.number, l.batchNumber), 2) == nil {
		return "no new job is accepted"
	}
	return ""
}

// recordUnrecovered records that the nodes have not recovered in time, and observes them for longer.
func (l *powerLosses) recordUnrecovered(ctx context.Context, back time.Time, problem string) {
	if ctx.Err() != nil {
		return // the soak itself was ended
	}
	l.recordProblem(fmt.Sprintf("%s %v after all nodes were back", problem, recoveryTimeout))
	outcome := "recovered after "
	if l.unrecovered(ctx, time.Now().Add(lateRecoveryTimeout)) != "" {
		outcome = "not recovered after "
	}
	l.report("power loss %d: %s%v", l.number, outcome, time.Since(back).Round(time.Millisecond))
	l.tally.RecordViolation("power loss %d: %s%v", l.number, outcome, time.Since(back).Round(time.Millisecond))
}

// recordProblem records a violation with what each storage node believes of the queue shards, and
// keeps the metrics of all nodes in the folder.
func (l *powerLosses) recordProblem(problem string) {
	text := fmt.Sprintf("power loss %d: %s", l.number, problem)
	l.report("%s", text)
	for _, p := range l.currentNodes() {
		l.keepMetrics(p)
	}
	l.tally.RecordViolation("%s\n%s", text, beliefs(l.Folder, l.nodesOf("storage")))
}

// keepMetrics writes the metrics of a node to a file in the folder.
func (l *powerLosses) keepMetrics(p *process) {
	client := &http.Client{Timeout: time.Second}
	response, err := client.Get("http://" + p.metricsAddress + "/metrics")
	if err != nil {
		l.report("no metrics of %s: %v", p.name, err)
		return
	}
	defer func() { _ = response.Body.Close() }()
	text, _ := io.ReadAll(response.Body) // what was read is kept
	path := filepath.Join(l.Folder, fmt.Sprintf("%s-loss%d-%s.metrics", p.name, l.number, time.Now().Format("150405.000")))
	if err := os.WriteFile(path, text, 0o644); err != nil {
		l.report("no metrics of %s: %v", p.name, err)
	}
}

// beliefTexts are in the log lines that tell what a storage node believes of the queue shards.
var beliefTexts = []string{
	"disk opened", "queue replica", handOverLine, "hand-over ended", swapLine, "member set fence ended", observeLine, "leader", "snapshot fetch", "learner could not", "platform's store",
}

// beliefLines is the number of these lines of a node that are printed.
const beliefLines = 12

// beliefs returns the last lines in which each storage node tells what it believes of the queue
// shards.
func beliefs(folder string, storages []*process) string {
	var text strings.Builder
	for _, p := range storages {
		content, _ := os.ReadFile(filepath.Join(folder, p.name+".log"))
		lines := slices.DeleteFunc(strings.Split(string(content), "\n"), func(line string) bool {
			return !slices.ContainsFunc(beliefTexts, func(part string) bool { return strings.Contains(line, part) })
		})
		fmt.Fprintf(&text, "== %s\n%s\n", p.name, strings.Join(lines[max(0, len(lines)-beliefLines):], "\n"))
	}
	return text.String()
}

// finishRetirement waits for the end of the retirement that prepare began, and removes the node with
// its disk. If the retirement takes too long, the operator takes the request back.
func (l *powerLosses) finishRetirement(ctx context.Context) {
	if l.retiring == nil {
		return
	}
	deadline := time.Now().Add(retirementTimeout)
	for !l.store.Retired(l.retiring.name) && time.Now().Before(deadline) && ctx.Err() == nil {
		pause.For(ctx, pollInterval)
	}
	if l.store.Retired(l.retiring.name) {
		l.report("%s is retired", l.retiring.name)
		l.signal(l.retiring, syscall.SIGKILL)
		l.mutex.Lock()
		l.nodes = slices.DeleteFunc(l.nodes, func(p *process) bool { return p == l.retiring })
		l.mutex.Unlock()
		_ = os.RemoveAll(l.retiring.dataFolder) // the node is not used any more
	}
	l.store.WithdrawRetirement(l.retiring.name)
}
