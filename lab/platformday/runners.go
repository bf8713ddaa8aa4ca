package platformday

import (
	"fmt"
	"time"

	"cobaltramp.example/cobaltramp/lab/standin"
)

func (d *Day) startRunner(number, life int) error {
	runner, err := standin.StartRunner(standin.RunnerOptions{
		ID: fmt.Sprintf("r%d-%d", number, life), Service: "s", Zone: fmt.Sprintf("z%d", number%zones), Address: "127.0.0.1:0",
		Slots: 8, QueueLimit: 32, EventInterval: 15 * time.Millisecond, Store: d.store, Ledger: d.ledger,
		Crashes: d.Crashes, OnCrash: func(crashed *standin.Runner) { d.replace(crashed, number, life) },
	})
	if err != nil {
		return err
	}
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.runners = append(d.runners, runner)
	return nil
}

// crashTime is how long a runner that crashed is away.
const crashTime = time.Second

// replace starts another runner in place of one that has crashed.
func (d *Day) replace(crashed *standin.Runner, number, life int) {
	d.say("runner %s has crashed", crashed.ID)
	d.later(crashTime, func() {
		crashed.Stop()
		if err := d.startRunner(number, life+1); err != nil {
			d.say("runner %d does not start: %v", number, err)
		}
	})
}

func (d *Day) runner(number int) *standin.Runner {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.runners[number]
}
