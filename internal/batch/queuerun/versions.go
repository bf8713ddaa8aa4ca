package queuerun

import (
	"time"

	"k8s.io/klog/v2"

	"cobaltramp.example/cobaltramp/internal/batch/queue"
	"cobaltramp.example/cobaltramp/internal/batch/queuestore"
	"cobaltramp.example/cobaltramp/internal/serving/runnerset"
)

// minVersionShare is the share of the runners that accept work below which items do not wait for
// the runners of their software version, but start again at others.
const minVersionShare = 0.25

// versionToContinue returns the software version whose runners can continue an item's output. It
// is empty if there is no output, or if the item is to start again: the version of the output is
// unknown, or too few runners of it are left.
func (e *ItemExecutor) versionToContinue(service string, work *queuestore.Work) string {
	if work.Output.LastEventID == 0 {
		return ""
	}
	if e.runnersHaveChanged(service) {
		work.Output.SoftwareVersion = ""
	}
	if work.Output.SoftwareVersion == "" {
		return "" // saved by an earlier version of this program, or in doubt
	}
	version := work.Output.SoftwareVersion
	same, all := 0, 0
	for _, runner := range e.Runners.Service(service) {
		if !runner.AcceptsWork() {
			continue
		}
		all++
		if runner.SoftwareVersion() == version {
			same++
		}
	}
	if same == 0 || float64(same) < minVersionShare*float64(all) {
		return ""
	}
	return version
}

// runnersHaveChanged reports whether a runner of the service came back under its ID with another
// software version lately. The listed version of a run's runner may then have been another than its own.
func (e *ItemExecutor) runnersHaveChanged(service string) bool {
	return len(e.Runners.Versions().Knowledge(service, runnerset.MaxVersionWindow, time.Now()).ChangedRunners) > 0
}

// startAgainUnlessContinued drops the output of an item if the chosen runner can't continue it,
// because its software version is another.
func startAgainUnlessContinued(work *queuestore.Work, runner *runnerset.Runner) {
	if work.Output.LastEventID == 0 || work.Output.SoftwareVersion == runner.SoftwareVersion() {
		return
	}
	klog.InfoS("item starts again at another software version", "job", work.Key.Job, "item", work.Item.Id,
		"events", work.Output.LastEventID, "from", work.Output.SoftwareVersion, "to", runner.SoftwareVersion())
	work.Output = queue.ItemOutput{}
}
