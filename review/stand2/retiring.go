package main

import (
	"os"
	"time"

	"cobaltramp.example/cobaltramp/lab/standin"
)

const (
	firstJob  = "7c41e09b52d6a300"
	secondJob = "7c41e09b52d6a3f8"
	// replacedTime is the time between the replacement and the lost disk. It is longer than recovery_s.
	replacedTime = 14 * time.Second
)

// openRetired starts a deployment with three stores, has a batch job accepted, and retires one of
// the stores, which is removed.
func (s *scene) openRetired(c *client) (*deployment, error) {
	d, err := openDeployment(s.folder, s.program, s.record, 2, 3)
	if err != nil {
		return nil, err
	}
	if err := d.prepareRetired(c); err != nil {
		d.close()
		return nil, err
	}
	return d, nil
}

func (d *deployment) prepareRetired(c *client) error {
	d.store.PutConfig(standin.DayConfig(host, 3))
	if err := d.addRunners("s", 6, eventInterval); err != nil {
		return err
	}
	if err := d.startAll(); err != nil {
		return err
	}
	if _, err := submitFirst(d, c, firstJob); err != nil {
		return err
	}
	return d.retire(d.storages[2], 2*retireTime)
}

// playRetiring retires one of three stores, and asks for the retirement of a second one, which can't
// be emptied since one store would be left. The machine that waits to be emptied loses its disk.
// With TROUBLE=disk the second retirement is left out.
func playRetiring(s *scene) (bool, error) {
	c := newClient(s.record)
	d, err := s.openRetired(c)
	if err != nil {
		return false, err
	}
	defer d.close()
	waits := d.storages[1]
	time.Sleep(settleTime)
	if s.trouble && os.Getenv("TROUBLE") != "disk" {
		s.record.line("the operator asks for the retirement of %s", waits.name)
		d.store.RequestRetirement(waits.name, retireTime)
		time.Sleep(settleTime)
		s.record.line("the retirement of %s is completed: %v", waits.name, d.store.Retired(waits.name))
	}
	if _, err := submitFirst(d, c, secondJob); err != nil {
		return false, err
	}
	if s.trouble {
		if err := d.loseDisk(waits); err != nil {
			return false, err
		}
	}
	s.record.line("all machines are back")
	time.Sleep(recoveryTime + finishTime)
	return s.lostJob(d, c, secondJob), nil
}

// playReplaced retires one of three stores, and replaces one of the others by an empty machine at
// another address, as planned work. Later the store that was there from the start loses its disk.
// With TROUBLE=disk the replacement is left out.
func playReplaced(s *scene) (bool, error) {
	c := newClient(s.record)
	d, err := s.openRetired(c)
	if err != nil {
		return false, err
	}
	defer d.close()
	loses, leaves := d.storages[0], d.storages[1]
	time.Sleep(settleTime)
	if s.trouble && os.Getenv("TROUBLE") != "disk" {
		number := len(d.edges) + len(d.storages)
		added, _, err := d.prepareMachine("storage", nameOf("storage", number), number, d.seeds)
		if err != nil {
			return false, err
		}
		d.storages = append(d.storages, added)
		if err := d.start(added); err != nil {
			return false, err
		}
		time.Sleep(time.Second)
		d.stop(leaves)
		s.record.line("%s is gone for good", leaves.name)
		time.Sleep(replacedTime)
	}
	if _, err := submitFirst(d, c, secondJob); err != nil {
		return false, err
	}
	if s.trouble {
		if err := d.loseDisk(loses); err != nil {
			return false, err
		}
	}
	s.record.line("all machines are back")
	time.Sleep(recoveryTime + finishTime)
	return s.lostJob(d, c, secondJob), nil
}

// loseDisk kills a machine, which comes back with an empty disk.
func (d *deployment) loseDisk(m *machine) error {
	if err := d.wipe(m); err != nil {
		return err
	}
	time.Sleep(lostDiskTime)
	return d.start(m)
}
