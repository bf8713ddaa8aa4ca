package main

import (
	"errors"
	"net/http"
	"os"
	"time"

	"cobaltramp.example/cobaltramp/lab/standin"
)

const (
	// retireTime is the time in which a machine is to be emptied (retire, for_s = 8.8 in the site file).
	retireTime = 8800 * time.Millisecond
	// settleTime is longer than catch_up_s after a start.
	settleTime = 7 * time.Second
)

// playRetireAgain retires a store machine, which is removed, adds a machine of the same name, and
// retires that one later, while another machine is away that has lost its disk, which the deployment
// has to bear. The retired machine is removed as soon as the system says that it is empty. With
// TROUBLE=other-name the machine that is added has another name.
func playRetireAgain(s *scene) (bool, error) {
	d, err := openDeployment(s.folder, s.program, s.record, 2, 3)
	if err != nil {
		return false, err
	}
	defer d.close()
	d.store.PutConfig(standin.DayConfig(host, 3))
	if err := d.addRunners("s", 6, eventInterval); err != nil {
		return false, err
	}
	if err := d.startAll(); err != nil {
		return false, err
	}
	c := newClient(s.record)
	if _, err := submitFirst(d, c, "7c41e09b52d6a300"); err != nil {
		return false, err
	}
	loses, leaves := d.storages[0], d.storages[2]
	if err := d.retire(leaves, 2*retireTime); err != nil {
		return false, err
	}
	d.store.WithdrawRetirement(leaves.name)
	number := len(d.edges) + len(d.storages)
	name := leaves.name
	if os.Getenv("TROUBLE") == "other-name" {
		name = nameOf("storage", number)
	}
	added, _, err := d.prepareMachine("storage", name, number, d.seeds)
	if err != nil {
		return false, err
	}
	d.storages[2] = added
	if err := d.start(added); err != nil {
		return false, err
	}
	time.Sleep(settleTime)
	const job = "7c41e09b52d6a3f8"
	if _, err := submitFirst(d, c, job); err != nil {
		return false, err
	}
	time.Sleep(time.Second)
	if s.trouble {
		if err := d.wipe(loses); err != nil {
			return false, err
		}
		returned := make(chan error, 1)
		go func() {
			time.Sleep(lostDiskTime)
			returned <- d.start(loses)
		}()
		time.Sleep(lostDiskTime / 4)
		if err := errors.Join(d.retire(added, 2*retireTime), <-returned); err != nil {
			return false, err
		}
	}
	s.record.line("all machines are back")
	time.Sleep(recoveryTime + finishTime)
	return s.lostJob(d, c, job), nil
}

// retire asks for the retirement of a machine and removes it, with its disk, as soon as the system
// says that it is empty, as the platform does.
func (d *deployment) retire(m *machine, limit time.Duration) error {
	d.record.line("the operator asks for the retirement of %s", m.name)
	d.store.RequestRetirement(m.name, retireTime)
	asked := time.Now()
	for !d.store.Retired(m.name) {
		if time.Since(asked) > limit {
			return errors.New("a machine was not emptied")
		}
		time.Sleep(20 * time.Millisecond)
	}
	d.record.line("the retirement of %s is completed after %v; the machine is removed", m.name, time.Since(asked).Round(time.Millisecond))
	return d.wipe(m)
}

// startAll starts all machines and waits until the edges are ready.
func (d *deployment) startAll() error {
	for _, m := range append(append([]*machine{}, d.storages...), d.edges...) {
		if err := d.start(m); err != nil {
			return err
		}
	}
	return d.awaitReady(15 * time.Second)
}

// submitFirst submits a batch job again and again, at the edges in turn, until it is accepted.
func submitFirst(d *deployment, c *client, job string) (string, error) {
	deadline := time.Now().Add(20 * time.Second)
	for number := 0; time.Now().Before(deadline); number++ {
		if c.submit(d.edges[number%len(d.edges)].callers, standin.BatchPrefix, job, 8).status == http.StatusAccepted {
			return job, nil
		}
		time.Sleep(50 * time.Millisecond)
	}
	return "", errors.New("no edge accepted a batch job")
}
