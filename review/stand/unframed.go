package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	unframedHost    = "nony24.example"
	unframedPrefix  = "/devolucion/"
	unframedRunners = 12
	// unframedCrashed is the number of runners that crash, share 0.17 of all.
	unframedCrashed = 2
	unframedSlots   = 17
	unframedJobs    = 10
	unframedItems   = 100
	// unframedCrash is how long after the jobs the runners crash, and unframedDown how long
	// they are down; their entries go after three heartbeats of 1.2 s.
	unframedCrash  = 1500 * time.Millisecond
	unframedDown   = 4500 * time.Millisecond
	unframedListed = 3600 * time.Millisecond
)

// unframed runs batch jobs at runners whose answers end with their connections, while two of
// twelve runners crash. No item may be completed with a text that is not its whole output.
func unframed(ctx context.Context, d *deployment, trouble bool) (verdict, error) {
	if err := d.prepare(3); err != nil {
		return verdict{}, err
	}
	d.store.PutConfig(config(10, pages.Online, pages.Batch))
	var runners []*runnerProcess
	defer func() {
		for _, r := range runners {
			r.kill()
		}
	}()
	for number := range unframedRunners {
		r, err := d.startRunner(fmt.Sprintf("i-%d", number), zones[number%len(zones)], unframedSlots, false, nil)
		if err != nil {
			return verdict{}, err
		}
		runners = append(runners, r)
	}
	for _, n := range d.nodes() {
		if err := d.start(n); err != nil {
			return verdict{}, err
		}
	}
	if err := d.awaitReady(ctx); err != nil {
		return verdict{}, err
	}
	time.Sleep(6 * time.Second)
	for number := range unframedJobs {
		job, n := fmt.Sprintf("job%d", number), d.edges[number%len(d.edges)]
		got := call(4*time.Second, http.MethodPost, n.callers, unframedHost, unframedPrefix+job, job, nil, jobBody(job, unframedPrefix, unframedItems))
		d.record.line("client: POST %s%s at %s with %d items: %d", unframedPrefix, job, n.name, unframedItems, got.status)
		if got.status != http.StatusAccepted {
			return verdict{}, fmt.Errorf("%s is not accepted before the disruption", job)
		}
	}
	var callers streams
	stopCallers := callers.run(d)
	defer stopCallers()
	time.Sleep(unframedCrash)
	if trouble {
		for _, r := range runners[:unframedCrashed] {
			d.record.line("%s crashes", r.id)
			r.kill()
		}
		time.Sleep(unframedListed)
		for _, r := range runners[:unframedCrashed] {
			d.store.Remove("servers/" + r.id)
		}
		time.Sleep(unframedDown - unframedListed)
		for _, r := range runners[:unframedCrashed] {
			again, err := d.startRunner(r.id+"b", r.zone, unframedSlots, false, nil)
			if err != nil {
				return verdict{}, err
			}
			runners = append(runners, again)
		}
	}
	stopCallers()
	seen := d.unframedVerdict(ctx)
	seen.reason += fmt.Sprintf("; of %d streams of online callers, %d ended as complete with a part of their events", callers.complete.Load(), callers.short.Load())
	return seen, nil
}

const (
	streamsPrefix  = "/mostrador/"
	streamsPerEdge = 10
)

// streams are callers that read streams from the edges, one after the other.
type streams struct {
	complete, short atomic.Int64
	group           sync.WaitGroup
}

// run starts the callers and returns a function that ends them.
func (s *streams) run(d *deployment) (stop func()) {
	ended := make(chan struct{})
	for number := range streamsPerEdge * len(d.edges) {
		n := d.edges[number%len(d.edges)]
		s.group.Go(func() {
			for turn := 0; ; turn++ {
				select {
				case <-ended:
					return
				default:
					s.read(d, n, fmt.Sprintf("online-%d-%d", number, turn))
				}
			}
		})
	}
	return sync.OnceFunc(func() {
		close(ended)
		s.group.Wait()
	})
}

// read reads one stream. An answer that ends early must not look complete.
func (s *streams) read(d *deployment, n *node, id string) {
	headers := map[string]string{name("deadline"): "5000", name("model"): "m", name("usage"): "200,100", name("prompt"): "77aa:100," + fmt.Sprintf("%x", id) + ":100"}
	got := call(5*time.Second, http.MethodPost, n.callers, unframedHost, streamsPrefix+"x", id, headers, []byte("body of "+id))
	if got.status != http.StatusOK {
		return
	}
	s.complete.Add(1)
	if events := strings.Count(string(got.body), "\n\n"); events != eventCount(id) {
		s.short.Add(1)
		d.record.line("client: the stream %s from %s ended as complete with %d of %d events", id, n.name, events, eventCount(id))
	}
}

// unframedVerdict reads the jobs until all of their items are listed.
func (d *deployment) unframedVerdict(ctx context.Context) verdict {
	short, whole, missing := 0, 0, 0
	for number := range unframedJobs {
		job := fmt.Sprintf("job%d", number)
		var list listing
		for ctx.Err() == nil {
			got := call(4*time.Second, http.MethodGet, d.edges[0].callers, unframedHost, name("jobs")+job+"?"+name("since")+"=0", "", nil, nil)
			list = listing{}
			if got.status == http.StatusOK && json.Unmarshal(got.body, &list) == nil && len(list.Results) == list.Total {
				break
			}
			time.Sleep(500 * time.Millisecond)
		}
		missing += unframedItems - len(list.Results)
		for _, result := range list.Results {
			switch {
			case result.State != "completed":
				d.record.line("client: %s of %s is %s", result.ID, job, result.State)
			case result.Message == wholeText(result.ID):
				whole++
			default:
				short++
				d.record.line("client: %s of %s is completed with %d of %d bytes: %q", result.ID, job, len(result.Message), len(wholeText(result.ID)), result.Message)
			}
		}
	}
	return verdict{short > 0, fmt.Sprintf("%d items are completed with a part of their output, %d with all of it, %d are not listed", short, whole, missing)}
}
