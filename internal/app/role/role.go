// Package role runs a node that has a role. An edge serves callers and stores nothing. A
// storage node stores batch jobs on its disk and runs their items. The package handles the
// signals, the memory limit and the shutdown of the process; package kernel runs the modules
// of the role.
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
	// memoryLimitFraction is the part of the machine's memory that the Go runtime may use
	// before it collects garbage more often. Socket buffers and the files that the database
	// maps use the rest.
	memoryLimitFraction = 0.35
	// exitReserve is the part of the stop time that remains for ending the process after the
	// modules are drained.
	exitReserve = 300 * time.Millisecond
)

// Run runs a node until SIGINT or SIGTERM. SIGHUP reads and checks the settings file again,
// but does not change the running node.
func Run(name, path string) error {
	loaded, err := settings.LoadRole(path)
	if err != nil {
		return trace.Wrap(err)
	}
	debug.SetMemoryLimit(int64(memoryLimitFraction * float64(loaded.Machine.MemoryMegabytes) * (1 << 20)))
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM, syscall.SIGHUP)
	signal.Ignore(syscall.SIGPIPE)
	started := time.Now()
	registry := prometheus.NewRegistry()
	registry.MustRegister(collectors.NewGoCollector())
	k, err := kernel.New(kernel.RoleModules(name), loaded, registry)
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

// watchSuspensions counts in a metric how long the machine was suspended, until the context
// ends.
func watchSuspensions(ctx context.Context, registry prometheus.Registerer) {
	seconds := prometheus.NewCounter(prometheus.CounterOpts{Name: "cobaltramp_suspended_seconds_total", Help: "Time in which the machine was suspended."})
	registry.MustRegister(seconds)
	boottime.Watch(ctx, func(suspended time.Duration) { seconds.Add(suspended.Seconds()) })
}

// reload reads and checks the settings file. A change takes effect at the next start.
func reload(path string, before *settings.Role) {
	next, err := settings.LoadRole(path)
	if err != nil {
		klog.ErrorS(err, "settings file is invalid; the active settings stay", "node", before.Node)
		return
	}
	klog.InfoS("settings file is valid; changes take effect at the next start", "node", next.Node, "seeds", next.Seeds)
}

func stop(k *kernel.Kernel, loaded *settings.Role) {
	klog.InfoS("stopping", "node", loaded.Node, "within", loaded.StopTimeout())
	began := time.Now()
	ctx, cancel := context.WithTimeout(context.Background(), loaded.StopTimeout()-exitReserve)
	defer cancel()
	k.Drain(ctx)
	k.Kill()
	klog.InfoS("stopped", "node", loaded.Node, "ms", time.Since(began).Milliseconds())
}
