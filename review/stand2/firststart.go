package main

import (
	"errors"
	"net/http"
	"time"

	"cobaltramp.example/cobaltramp/lab/standin"
)

const (
	// darkTime is how long two machines stay away. It is the largest dose of node_kill on machines
	// whose loss is counted in the site file (for_s = 3.5).
	darkTime = 3500 * time.Millisecond
	// startSpread is the time within which all machines start, by DEPLOY.md.
	startSpread = 290 * time.Millisecond
	// lostDiskTime is the time after which the machine that lost its disk is back (after_ack_wipe, for_s).
	lostDiskTime = 2 * time.Second
	// recoveryTime is recovery_s, and finishTime finish_s.
	recoveryTime, finishTime = 12 * time.Second, 18 * time.Second
)

// playFirstStart plays the first start of a deployment in which two of three store machines are
// killed as they start and come back after darkTime. A disk is lost right after the first batch
// job was acknowledged.
func playFirstStart(s *scene) (bool, error) {
	d, err := openDeployment(s.folder, s.program, s.record, 2, 3)
	if err != nil {
		return false, err
	}
	defer d.close()
	d.store.PutConfig(standin.DayConfig(host, 3))
	if err := d.addRunners("s", 6, eventInterval); err != nil {
		return false, err
	}
	first, others := d.storages[0], d.storages[1:]
	for _, m := range append([]*machine{first}, d.edges...) {
		if err := d.start(m); err != nil {
			return false, err
		}
	}
	time.Sleep(startSpread)
	for _, m := range others {
		if err := d.start(m); err != nil {
			return false, err
		}
	}
	back := time.Now()
	if s.trouble {
		for _, m := range others {
			d.kill(m)
		}
		back = back.Add(darkTime)
	}
	returned := make(chan error, 1)
	go func() {
		time.Sleep(time.Until(back))
		var failed error
		for _, m := range others {
			if s.trouble {
				failed = errors.Join(failed, d.start(m))
			}
		}
		returned <- failed
	}()
	if err := d.awaitReady(10 * time.Second); err != nil {
		return false, err
	}
	c := newClient(s.record)
	job, err := submitFirst(d, c, "7c41e09b52d6a3f8")
	if err != nil {
		return false, err
	}
	if s.trouble {
		if err := d.wipe(first); err != nil {
			return false, err
		}
		time.Sleep(lostDiskTime)
		if err := d.start(first); err != nil {
			return false, err
		}
	}
	if err := <-returned; err != nil {
		return false, err
	}
	s.record.line("all machines are back")
	time.Sleep(recoveryTime + finishTime)
	return s.lostJob(d, c, job), nil
}

// lostJob reports whether a batch job can't be read at the end, at any edge and again following
// each failure.
func (s *scene) lostJob(d *deployment, c *client, job string) bool {
	for range 4 {
		for _, edge := range d.edges {
			if read := c.read(edge.callers, job); read.status == http.StatusOK {
				s.record.line("the job is there: %d of %d results", len(read.decode().Results), read.decode().Total)
				return false
			}
		}
		time.Sleep(time.Second)
	}
	c.submit(d.edges[0].callers, standin.BatchPrefix, "7c41e09b52d6a3f9", 8) // for the record: whether jobs are taken at all
	s.record.line("the accepted job %s can't be read at any edge", job)
	return true
}
