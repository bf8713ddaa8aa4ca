// Package role runs one node of a role: an edge, which serves callers and keeps
// nothing, or a storage node, which keeps batch jobs on its disk and runs their
// items. It owns the process: its signals, memory limit and end. It relies on kernel
// for the modules of the role and on settings.
package role

import (
	"context"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/gravitational/trace"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"k8s.io/klog/v2"

	"cobaltramp.example/cobaltramp/internal/app/boottime"
	"cobaltramp.example/cobaltramp/internal/app/kernel"
	"cobaltramp.example/cobaltramp/internal/app/tasks"
	"cobaltramp.example/cobaltramp/internal/app/version"
	"cobaltramp.example/cobaltramp/internal/configuration/settings"
)

// Roles of a node.
const (
	Edge    = "edge"
	Storage = "storage"
)

const (
	// heapShare of the machine's memory is the collector's limit; the rest is for
	// stacks, sockets and what the database maps.
	heapShare = 0.35
	// stopSlack is kept of the time to stop, for the end of the process itself.
	stopSlack = 900 * time.Millisecond
)

// Run runs a node until a signal asks it to stop. SIGHUP reads the settings
// again, which cuts nothing.
func Run(name, path string) error {
	loaded, err := settings.LoadRole(path)
	if err != nil {
		return trace.Wrap(err)
	}
	debug.SetMemoryLimit(int64(heapShare * float64(loaded.Machine.MemoryMegabytes) * (1 << 20)))
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM, syscall.SIGHUP)
	signal.Ignore(syscall.SIGPIPE)
	started := time.Now()
	registry := prometheus.NewRegistry()
	registry.MustRegister(collectors.NewGoCollector())
	k, err := kernel.New(kernel.NamesOf(name), loaded, registry)
	if err != nil {
		return trace.Wrap(err)
	}
	if err := k.Start(); err != nil {
		return trace.Wrap(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	var background tasks.Group
	defer background.Wait()
	defer cancel()
	background.Go(func() { watchSuspensions(ctx, registry) })
	klog.InfoS("started", "role", name, "node", loaded.Node, "zone", loaded.Zone, "version", version.Version, "pid", os.Getpid(),
		"firstStart", loaded.FirstStart, "diskLosses", loaded.DiskLosses, "ms", time.Since(started).Milliseconds())
	for received := range signals {
		if received != syscall.SIGHUP {
			break
		}
		reload(path, loaded)
	}
	stop(k, loaded)
	return nil
}

// watchSuspensions logs and counts the times in which the machine was suspended.
func watchSuspensions(ctx context.Context, registry prometheus.Registerer) {
	seconds := prometheus.NewCounter(prometheus.CounterOpts{Name: "cobaltramp_suspended_seconds_total", Help: "Time in which the machine was suspended."})
	registry.MustRegister(seconds)
	boottime.Watch(ctx, func(suspended time.Duration) { seconds.Add(suspended.Seconds()) })
}

// reload reads the settings again. What they say of addresses holds from the
// next start on; seeds and the rest are not needed by a running node.
func reload(path string, before *settings.Role) {
	next, err := settings.LoadRole(path)
	if err != nil {
		klog.ErrorS(err, "settings not taken, those in force stay", "node", before.Node)
		return
	}
	klog.InfoS("settings read again", "node", next.Node, "seeds", next.Seeds)
}

func stop(k *kernel.Kernel, loaded *settings.Role) {
	klog.InfoS("stopping", "node", loaded.Node, "within", loaded.StopTimeout())
	began := time.Now()
	ctx, cancel := context.WithTimeout(context.Background(), loaded.StopTimeout()-stopSlack)
	defer cancel()
	k.Drain(ctx)
	k.Kill()
	klog.InfoS("stopped", "node", loaded.Node, "ms", time.Since(began).Milliseconds())
}
