package main

import (
	"encoding/base64"
	"encoding/json"
	"errors"
	"fmt"
	"io/fs"
	"net/http"
	"path/filepath"
	"time"

	"cobaltramp.example/cobaltramp/lab/standin"
)

const (
	// waitingJobs, itemsPerJob and itemBytes are batch work that waits, with bodies of the largest size
	// that the site file names for inspections (max = 230000).
	waitingJobs = 50
	itemsPerJob = 8
	itemBytes   = 230000
	// slowInterval is the time between events of the runners' answers: the batch work waits.
	slowInterval = 500 * time.Millisecond
	// takenInBytes is the size of an added machine's data at which it freezes.
	takenInBytes = 4 << 20
	// decisionTime is the time from the freeze to the retirement of the machine.
	decisionTime = 500 * time.Millisecond
	// calmTime is the time between the removal and the loss of a disk, longer than catch_up_s.
	calmTime = 12 * time.Second
)

// playRetireJoining lets a store machine leave and adds another, which freezes while it is being
// taken in, and is retired. It is removed as soon as the system says that it is empty. Later, another
// machine loses its disk, which the deployment has to bear.
func playRetireJoining(s *scene) (bool, error) {
	d, err := openDeployment(s.folder, s.program, s.record, 2, 3)
	if err != nil {
		return false, err
	}
	defer d.close()
	d.store.PutConfig(standin.DayConfig(host, 3))
	if err := d.addRunners("s", 2, slowInterval); err != nil {
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
	for number := range waitingJobs {
		if err := submitLarge(d, c, fmt.Sprintf("7c41e09b52d6b%03d", number)); err != nil {
			return false, err
		}
	}
	const job = "7c41e09b52d6a3f8"
	if _, err := submitFirst(d, c, job); err != nil {
		return false, err
	}
	number := len(d.edges) + len(d.storages)
	added, _, err := d.prepareMachine("storage", nameOf("storage", number), number, d.seeds)
	if err != nil {
		return false, err
	}
	d.storages[2] = added
	if err := d.start(added); err != nil {
		return false, err
	}
	if err := awaitData(added); err != nil {
		return false, err
	}
	if s.trouble {
		if err := d.loseJoining(added, loses); err != nil {
			return false, err
		}
	}
	s.record.line("all machines are back")
	time.Sleep(recoveryTime + finishTime)
	return s.lostJob(d, c, job), nil
}

// loseJoining freezes a machine that is being taken in, retires it, and takes another one's disk
// later.
func (d *deployment) loseJoining(added, loses *machine) error {
	if err := d.freeze(added); err != nil {
		return err
	}
	time.Sleep(decisionTime)
	if err := d.retire(added, 2*retireTime); err != nil {
		return err
	}
	time.Sleep(calmTime)
	if err := d.wipe(loses); err != nil {
		return err
	}
	time.Sleep(lostDiskTime)
	return d.start(loses)
}

// awaitData waits until a machine has received some data.
func awaitData(m *machine) error {
	for deadline := time.Now().Add(15 * time.Second); time.Now().Before(deadline); time.Sleep(2 * time.Millisecond) {
		size := int64(0)
		_ = filepath.WalkDir(m.dataFolder, func(_ string, entry fs.DirEntry, err error) error {
			if err == nil && !entry.IsDir() {
				if info, err := entry.Info(); err == nil {
					size += info.Size()
				}
			}
			return nil // a file may go meanwhile
		})
		if size >= takenInBytes {
			return nil
		}
	}
	return errors.New("the added machine received no data")
}

// submitLarge submits a batch job whose items have bodies of the largest size.
func submitLarge(d *deployment, c *client, job string) error {
	body := base64.StdEncoding.EncodeToString(make([]byte, itemBytes))
	var list []map[string]any
	for number := range itemsPerJob {
		id := fmt.Sprintf("%s-i%d", job, number)
		list = append(list, map[string]any{
			"id": id, "path": standin.BatchPrefix + "item/" + id, "token_count": 300, "body": body,
			"headers": map[string]string{"Cobaltramp-Model": "m", "Cobaltramp-Token-Usage": "200,100"},
		})
	}
	text, err := json.Marshal(map[string]any{"items": list})
	if err != nil {
		return err
	}
	for range 20 {
		headers := map[string]string{"Cobaltramp-Attempt-Id": job, "Content-Type": "application/json"}
		if c.call(http.MethodPost, d.edges[0].callers, standin.BatchPrefix+job, headers, text).status == http.StatusAccepted {
			return nil
		}
		time.Sleep(100 * time.Millisecond)
	}
	return errors.New("no edge accepted a large batch job")
}
