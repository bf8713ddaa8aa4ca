package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	crashesHost    = "nony24.example"
	crashesPrefix  = "/devolucion/"
	crashesRunners = 12
	crashesSlots   = 17
	// crashesCount is the number of crashes of one runner of twelve, share 0.083. Each comes
	// crashesAfter the start of the run of the long item there, and lasts crashesDown.
	crashesCount = 3
	crashesAfter = 500 * time.Millisecond
	crashesDown  = 4500 * time.Millisecond
	// crashesFinish is finish_s, and crashesCalm the time before its end that has to be calm.
	crashesFinish = 18 * time.Second
	crashesCalm   = 5 * time.Second
	laterItems    = 8
)

// crashesRun is the last run of an item that a runner has reported.
type crashesRun struct {
	mutex  sync.Mutex
	runner string
	began  time.Time
	last   time.Time // when any runner last reported a run of any item
}

func (c *crashesRun) observe(runner, line string) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.last = time.Now()
	if strings.HasPrefix(line, "run of "+longPrefix) && strings.Contains(line, "from event") {
		c.runner, c.began = runner, time.Now()
	}
}

func (c *crashesRun) state() (string, time.Time, time.Time) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.runner, c.began, c.last
}

// crashes crashes three sound runners one after the other, each shortly after it has begun to run the
// same sound item. When all of that is over, the item has to be finished, and items of a later job
// that share a part of its prompt.
func crashes(ctx context.Context, d *deployment, trouble bool) (verdict, error) {
	if err := d.prepare(3); err != nil {
		return verdict{}, err
	}
	d.store.PutConfig(config(10, pages.Online, pages.Batch))
	seen := &crashesRun{}
	runners := map[string]*runnerProcess{}
	defer func() {
		for _, r := range runners {
			r.kill()
		}
	}()
	start := func(id, zone string) error {
		r, err := d.startRunner(id, zone, crashesSlots, true, func(line string) { seen.observe(id, line) })
		if err == nil {
			runners[id] = r
		}
		return err
	}
	var crashed []*runnerProcess
	for number := range crashesRunners {
		if err := start(fmt.Sprintf("i-%d", number), zones[number%len(zones)]); err != nil {
			return verdict{}, err
		}
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
	if !d.crashesJob("longjob", 1) {
		return verdict{}, fmt.Errorf("the job is not accepted before the disruption")
	}
	if trouble {
		for range crashesCount {
			id, err := awaitRun(ctx, seen, runners)
			if err != nil {
				return verdict{}, err
			}
			d.record.line("%s crashes", id)
			crashed = append(crashed, runners[id])
			runners[id].kill()
			delete(runners, id)
			time.AfterFunc(3600*time.Millisecond, func() { d.store.Remove("servers/" + id) })
		}
	}
	time.Sleep(crashesDown)
	for _, r := range crashed {
		if err := start(r.id+"b", r.zone); err != nil {
			return verdict{}, err
		}
	}
	time.Sleep(time.Second)
	if !d.crashesJob("later", laterItems) {
		return verdict{}, fmt.Errorf("the later job is not accepted")
	}
	served := d.callOnline()
	d.record.line("traffic ends; batch jobs are given %v more", crashesFinish)
	time.Sleep(crashesFinish)
	found := d.crashesVerdict(seen)
	found.reason += fmt.Sprintf("; %d of %d online callers whose prompts share the part were served", served, onlineCalls)
	return found, nil
}

const (
	onlinePrefix = "/mostrador/"
	onlineCalls  = 10
)

// callOnline sends online requests whose prompts begin with the same part as those of the items, and
// returns how many are answered with 200. It is recorded and not judged.
func (d *deployment) callOnline() int {
	served := 0
	for number := range onlineCalls {
		id := fmt.Sprintf("online-%d", number)
		headers := map[string]string{
			name("deadline"): "5000", name("model"): "m", name("usage"): "400,100",
			name("prompt"): fmt.Sprintf("9c2e41:300,77%d:100", number),
		}
		got := call(6*time.Second, http.MethodPost, d.edges[number%len(d.edges)].callers, crashesHost, onlinePrefix+"x", id, headers, []byte(id))
		d.record.line("online caller %s: %d", id, got.status)
		if got.status == http.StatusOK {
			served++
		}
	}
	return served
}

// awaitRun waits until the long item has run at a living runner for crashesAfter.
func awaitRun(ctx context.Context, seen *crashesRun, runners map[string]*runnerProcess) (string, error) {
	for ctx.Err() == nil {
		if id, began, _ := seen.state(); runners[id] != nil && time.Since(began) >= crashesAfter {
			return id, nil
		}
		time.Sleep(10 * time.Millisecond)
	}
	return "", fmt.Errorf("the item does not run")
}

func (d *deployment) crashesJob(job string, items int) bool {
	got := call(4*time.Second, http.MethodPost, d.edges[0].callers, crashesHost, crashesPrefix+job, job, nil, jobBody(job, crashesPrefix, items))
	d.record.line("client: POST %s%s at %s with %d items: %d", crashesPrefix, job, d.edges[0].name, items, got.status)
	return got.status == http.StatusAccepted
}

// crashesVerdict counts the items that are left lying: not listed, though no runner was heard for
// the last crashesCalm.
func (d *deployment) crashesVerdict(seen *crashesRun) verdict {
	_, _, last := seen.state()
	idle := time.Since(last)
	left, done := 0, 0
	for _, job := range []string{"longjob", "later"} {
		got := call(4*time.Second, http.MethodGet, d.edges[1].callers, crashesHost, name("jobs")+job+"?"+name("since")+"=0", "", nil, nil)
		d.record.line("client: read of %s: %d %s", job, got.status, got.body)
		var list listing
		if got.status != http.StatusOK || json.Unmarshal(got.body, &list) != nil {
			continue
		}
		done += len(list.Results)
		left += list.Total - len(list.Results)
	}
	return verdict{left > 0 && idle >= crashesCalm, fmt.Sprintf("%d items are not listed, %d are; no runner has begun or ended a run for %.1f s", left, done, idle.Seconds())}
}
