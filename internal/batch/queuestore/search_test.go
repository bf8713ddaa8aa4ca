package queuestore

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"maps"
	"runtime"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"k8s.io/klog/v2"
	"pgregory.net/rapid"

	wirev1 "cobaltramp.example/cobaltramp/api/wire/v1"
	"cobaltramp.example/cobaltramp/internal/app/fixedseed"
	"cobaltramp.example/cobaltramp/internal/batch/queue"
)

// searchChecks is the number of series of one test, unless -rapid.checks is given.
const searchChecks = "20"

// Guards against a queue shard that has no serving leader for good after faults that the
// deployment allows, and against the loss of an accepted job by them. The next disk is lost only
// after the one before was replaced.
func TestShardsServeAfterDrawnFaults(t *testing.T) { searchSeries(t, false) }

// Guards against a queue shard that has no serving leader for good when the next disk is lost as
// soon as the machine of the one before no longer counts as lost.
func TestShardsServeWhenTheNextDiskIsLostAtOnce(t *testing.T) { searchSeries(t, true) }

// searchSeries plays drawn series. soonest is series.soonest.
func searchSeries(t *testing.T, soonest bool) {
	fixedseed.SetChecks(t, searchChecks)
	figures := &searchFigures{}
	t.Cleanup(func() { t.Log(figures) })
	rapid.Check(t, func(rt *rapid.T) {
		s := drawSeries(rt)
		s.soonest = soonest
		if lines, err := s.playInBubble(t, figures); err != nil {
			rt.Fatalf("%v\n%v\nlog lines:\n%s", err, s, lines)
		}
	})
}

// playInBubble plays a series in virtual time and returns the log lines and what was found.
func (s *series) playInBubble(t *testing.T, figures *searchFigures) (string, error) {
	var lines bytes.Buffer
	klog.LogToStderr(false)
	klog.SetOutput(&lines)
	defer klog.LogToStderr(true)
	emptyPools()
	defer emptyPools()
	var failure error
	synctest.Test(t, func(*testing.T) { failure = s.play(figures) })
	klog.Flush()
	return lines.String(), failure
}

// emptyPools empties all sync.Pools, which takes two collections. Pebble's pools hold channels,
// and a channel must not be used in two bubbles.
func emptyPools() {
	runtime.GC()
	runtime.GC()
}

const (
	// searchRecovery is the time after the end of all faults within which a leader serves.
	searchRecovery = 12 * time.Second
	// searchSettled is the time after that at which the check is repeated.
	searchSettled  = 8 * time.Second
	submitPatience = 3 * time.Second
)

// play runs a series in a synctest bubble and returns what was found.
func (s *series) play(figures *searchFigures) error {
	w := newSearchWorld(s)
	defer w.end()
	for range s.nodes {
		if err := w.addNode(); err != nil {
			return err
		}
	}
	if _, err := w.awaitService(searchRecovery); err != nil {
		return w.failure("at the start", err)
	}
	w.tasks.Go(w.tickBudget)
	w.tasks.Go(w.submitJobs)
	w.tasks.Go(w.readJobs)
	for _, f := range s.faults {
		w.inject(f)
	}
	w.heal()
	took, err := w.awaitService(searchRecovery)
	if err != nil {
		return w.failure("after the calm", err)
	}
	w.logf("served after %v", took)
	time.Sleep(searchSettled)
	if _, err := w.awaitService(2 * time.Second); err != nil {
		return w.failure("once settled", err)
	}
	if err := w.whole(); err != nil {
		return w.failure("once settled", err)
	}
	figures.record(took, w.budget.longest)
	if len(w.faults) > 0 {
		return w.failure("during the series", errors.New(w.faults[0]))
	}
	return nil
}

// heal ends all faults and starts all machines.
func (w *searchWorld) heal() {
	w.logf("calm")
	w.store.heal()
	w.links.heal()
	for _, run := range w.runs() {
		run.resume()
	}
	for _, node := range w.machines() {
		w.restart(node)
	}
}

func (w *searchWorld) failure(when string, err error) error {
	state := w.describe()
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return fmt.Errorf("%s: %w\n%s%s", when, err, state, strings.Join(w.lines, "\n"))
}

// awaitService waits until a leader serves with all accepted jobs, and returns how long it took.
func (w *searchWorld) awaitService(limit time.Duration) (time.Duration, error) {
	started := time.Now()
	err := errors.New("nothing was tried")
	for time.Since(started) < limit {
		for _, run := range w.runs() {
			if err = w.serves(run); err == nil {
				return time.Since(started), nil
			}
			if errors.As(err, new(*lostJobError)) {
				return 0, err
			}
		}
		time.Sleep(20 * time.Millisecond)
	}
	return 0, fmt.Errorf("no leader serves within %v: %w", limit, err)
}

// whole checks that the shard may lose the next disk: all members have caught up, and none is a
// lost disk.
func (w *searchWorld) whole() error {
	memberSet := w.storedMembers()
	w.mutex.Lock()
	exposed := w.budget.exposed
	w.mutex.Unlock()
	if exposed {
		return errors.New("a lost disk is still a member")
	}
	for _, run := range w.runs() {
		s := run.storage.shard(0)
		if s == nil {
			continue
		}
		lacking := ""
		err := s.RunInLoop(run.context, func() {
			for _, member := range memberSet.Members {
				if s.leader != nil && !s.Replica.CaughtUp(member) && !w.isLostDisk(member) {
					lacking = member
				}
			}
		})
		if err == nil && lacking != "" {
			return fmt.Errorf("member %s has not caught up with leader %s", lacking, run.node.name)
		}
	}
	return nil
}

func (w *searchWorld) isLostDisk(disk string) bool {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return w.budget.disks[disk]
}

// lostJobError reports an accepted job that a confirmed leader does not have.
type lostJobError struct{ job, node string }

// Error implements error.
func (e *lostJobError) Error() string {
	return fmt.Sprintf("accepted job %s is missing at leader %s", e.job, e.node)
}

var errNotServing = errors.New("not serving")

// serves checks that a process leads, confirms its leadership and has all jobs that were
// accepted before the call.
func (w *searchWorld) serves(run *nodeRun) error {
	s := run.storage.shard(0)
	if s == nil || run.isSuspended() {
		return errNotServing
	}
	w.mutex.Lock()
	expected := maps.Clone(w.accepted)
	w.mutex.Unlock()
	ctx, cancel := context.WithTimeout(run.context, 500*time.Millisecond)
	defer cancel()
	if err := s.Confirm(ctx); err != nil {
		return err
	}
	found := map[string]bool{}
	err := s.RunInLoop(ctx, func() {
		if s.leader == nil || !s.leader.suspendedAt.IsZero() {
			found = nil
			return
		}
		failed := queue.Records(s.Store.View(), func(record *wirev1.QueueRecord) {
			found[record.Id] = len(record.Items) == 1
		})
		if failed != nil {
			found = nil
		}
	})
	if err != nil || found == nil || run.dead.Load() {
		return errNotServing
	}
	for id := range expected {
		if !found[id] {
			return &lostJobError{id, run.node.name}
		}
	}
	return nil
}

// submitJobs submits a job in each interval of the series until the world ends.
func (w *searchWorld) submitJobs() {
	for w.context.Err() == nil {
		w.mutex.Lock()
		w.jobs++
		number := w.jobs
		w.mutex.Unlock()
		w.tasks.Go(func() { w.submitJob(fmt.Sprint("job-", number)) })
		time.Sleep(w.series.submitInterval)
	}
}

// submitJob submits a job to the nodes in turn until one accepts it, for submitPatience.
func (w *searchWorld) submitJob(id string) {
	body := padded([]byte(id), w.series.bodyBytes)
	until := time.Now().Add(submitPatience)
	for time.Now().Before(until) && w.context.Err() == nil {
		for _, run := range w.runs() {
			s, err := run.storage.localShardOf(id)
			if err != nil || run.isSuspended() {
				continue
			}
			job := &wirev1.QueueJob{Id: id, Host: testHost, Route: "route", DueAfterMs: 600_000, GiveUpMs: 1_200_000, Items: []*wirev1.QueueItem{{Id: id, Path: "/x", Tokens: 1, Body: body}}}
			ctx, cancel := context.WithTimeout(run.context, time.Second)
			_, err = s.submit(ctx, &wirev1.QueueSubmitRequest{Job: job})
			cancel()
			if err == nil && !run.dead.Load() {
				w.mutex.Lock()
				w.accepted[id] = true
				w.mutex.Unlock()
				return
			}
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// readJobs checks that no confirmed leader lacks an accepted job, until the world ends.
func (w *searchWorld) readJobs() {
	for w.context.Err() == nil {
		time.Sleep(420 * time.Millisecond)
		for _, run := range w.runs() {
			var lost *lostJobError
			if err := w.serves(run); errors.As(err, &lost) {
				w.faultf("%v", err)
			}
		}
	}
}
