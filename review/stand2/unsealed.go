package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"cobaltramp.example/cobaltramp/lab/standin"
)

const (
	// allRunners is the number of runners, and spoilingRunners that of those with the fault: share = 0.6
	// of garble in the site file, for spoilTime (for_s = 5).
	allRunners, spoilingRunners = 12, 7
	spoilTime                   = 5 * time.Second
	// jobInterval gives 6 times the usual rate of batch jobs (burst, x = 6), each of itemsOfJob items.
	jobInterval = 133 * time.Millisecond
	itemsOfJob  = 8
)

// playUnsealed runs batch jobs while some runners spoil some of their answers: a spoiled one has no
// signature. It reports whether a result is completed with a text that is not the item's output.
func playUnsealed(s *scene) (bool, error) {
	d, err := openDeployment(s.folder, s.program, s.record, 2, 3)
	if err != nil {
		return false, err
	}
	defer d.close()
	d.store.PutConfig(standin.DayConfig(host, 3))
	var spoiling atomic.Bool
	var answers atomic.Int64
	for number := range allRunners {
		own := &spoiling
		if number >= spoilingRunners {
			own = nil
		}
		r, err := startRunner(d, "s", number, own, &answers)
		if err != nil {
			return false, err
		}
		defer func() { _ = r.server.Close() }()
	}
	if err := d.startAll(); err != nil {
		return false, err
	}
	c := newClient(s.record)
	if _, err := submitFirst(d, c, "7c41e09b52d6a3f8"); err != nil {
		return false, err
	}
	spoiling.Store(s.trouble)
	var jobs []string
	began := time.Now()
	for number := 0; time.Since(began) < spoilTime; number++ {
		job := fmt.Sprintf("7c41e09b52d6c%03d", number)
		edge := d.edges[number%len(d.edges)].callers
		if c.submit(edge, standin.BatchPrefix, job, itemsOfJob).status == http.StatusAccepted {
			jobs = append(jobs, job)
		}
		time.Sleep(jobInterval)
	}
	spoiling.Store(false)
	time.Sleep(finishTime)
	return s.wrongTexts(d, c, jobs), nil
}

// wrongTexts reports whether a result of the jobs is completed with a text that is not the item's
// whole output.
func (s *scene) wrongTexts(d *deployment, c *client, jobs []string) bool {
	wrong, right := 0, 0
	for _, job := range jobs {
		for _, result := range c.read(d.edges[0].callers, job).decode().Results {
			switch {
			case result.State != "completed":
			case result.Message == wholeOutput(result.ID):
				right++
			default:
				wrong++
				s.record.line("item %s is completed with %q instead of %q", result.ID, result.Message, wholeOutput(result.ID))
			}
		}
	}
	s.record.line("%d results are right, %d are wrong", right, wrong)
	return wrong > 0
}

// wholeOutput returns the data of all events of an item.
func wholeOutput(item string) string {
	var data []string
	for number := int64(1); number <= standin.EventCount(item); number++ {
		data = append(data, standin.EventData(item, number))
	}
	return strings.Join(data, "\n")
}
