package platformday

import (
	"fmt"
	"time"

	"cobaltramp.example/cobaltramp/lab/standin"
)

// Unequal runners have unequalSpeeds different speeds, with slowness in steps of
// slownessStep. Contention multiplies the time of work by contentionFactor in
// contendedFraction of all periods of contentionLength.
const (
	unequalSpeeds     = 4
	slownessStep      = 0.45
	contendedFraction = 0.15
	contentionLength  = 600 * time.Millisecond
	contentionFactor  = 2.5
)

func (d *Day) startRunner(number, generation int) error {
	return d.startRunnerAt("127.0.0.1:0", number, generation)
}

// startRunnerAt starts a runner at an address.
func (d *Day) startRunnerAt(address string, number, generation int) error {
	options := standin.RunnerOptions{
		Version: d.versionOf(number, generation),
		ID:      fmt.Sprintf("r%d-%d", number, generation), Service: "s", Zone: fmt.Sprintf("z%d", number%zoneCount), Address: address,
		Slots: 8, QueueLimit: 32, EventInterval: d.EventInterval, Store: d.store, Ledger: d.ledger,
		Crashes: d.Crashes, CrashesOnPart: d.CrashesOnPart, EndsHeadCleanly: d.EndsHeadCleanly, OnCrash: func(crashed *standin.Runner) { d.replaceRunner(crashed, number, generation) },
	}
	if d.UnequalRunners {
		options.Slowness = 1 + float64(number%unequalSpeeds)*slownessStep
	}
	updated := d.MixedVersions && number/zoneCount%2 == 0
	if updated {
		options.StartedAt = time.Now().UnixMilli()
	}
	if d.UnequalRunners || updated {
		options.Contention = standin.ContentionBursts{
			Seed: d.Seed, ID: options.ID, Fraction: contendedFraction, Length: contentionLength, Factor: contentionFactor,
		}.At
	}
	runner, err := standin.StartRunner(options)
	if err != nil {
		return err
	}
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.runners = append(d.runners, runner)
	return nil
}

// versionOf returns the software version of a runner. With several versions, a runner that
// replaces another has the next one.
func (d *Day) versionOf(number, generation int) string {
	return fmt.Sprint("v", 1+(number/zoneCount+generation)%max(1, d.SoftwareVersions))
}

// runnerRestartDelay is the time between the crash of a runner and the start of its
// replacement.
const runnerRestartDelay = time.Second

// replaceRunner starts a new runner in place of one that crashed, after a delay.
func (d *Day) replaceRunner(crashed *standin.Runner, number, generation int) {
	d.report("runner %s has crashed", crashed.ID)
	d.runAfter(runnerRestartDelay, func() {
		crashed.Stop()
		err := d.startRunnerAt(d.addressAfter(crashed, generation), number, generation+1)
		if err != nil { // another socket may have taken the port
			err = d.startRunner(number, generation+1)
		}
		if err != nil {
			d.report("runner %d does not start: %v", number, err)
		}
	})
}

// addressAfter returns the address at which the successor of a runner starts.
func (d *Day) addressAfter(crashed *standin.Runner, generation int) string {
	if d.KeepAddresses && generation%2 == 0 {
		return crashed.Address
	}
	return "127.0.0.1:0"
}

func (d *Day) runner(number int) *standin.Runner {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.runners[number]
}
