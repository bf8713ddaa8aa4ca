package scenario

import (
	"context"
	"sort"
	"strings"
	"time"

	"cobaltramp.example/cobaltramp/lab/fleet"
)

// faultActions maps the kind of a fault to the function that injects it.
var faultActions = map[string]func(*fleet.Fleet, Fault) error{
	"kill_node":  infallible(func(f *fleet.Fleet, fault Fault) { f.KillNode(fault.Index) }),
	"start_node": func(f *fleet.Fleet, fault Fault) error { return f.StartNode(fault.Index) },
	"stop_node":  infallible(func(f *fleet.Fleet, fault Fault) { f.StopNode(fault.Index) }),
	"wipe_node": func(f *fleet.Fleet, fault Fault) error {
		f.KillNode(fault.Index)
		return f.WipeNode(fault.Index)
	},
	"crash_engine":   infallible(func(f *fleet.Fleet, fault Fault) { f.Engines[fault.Index].Crash() }),
	"restart_engine": func(f *fleet.Fleet, fault Fault) error { return f.Engines[fault.Index].Restart() },
	"stall_engine":   infallible(func(f *fleet.Fleet, fault Fault) { f.Engines[fault.Index].Stall(fault.For) }),
	"slow_engine":    infallible(func(f *fleet.Fleet, fault Fault) { f.Engines[fault.Index].SetSlow(fault.Factor) }),
	"disorder":       infallible(func(f *fleet.Fleet, fault Fault) { f.Engines[fault.Index].SetDisorder(true) }),
	"runner_leaving": infallible(func(f *fleet.Fleet, fault Fault) {
		f.RegisterRunner(f.Engines[fault.Index], f.ZoneOf(fault.Index), "leaving")
	}),
	"platform_down": infallible(func(f *fleet.Fleet, _ Fault) { f.Platform.SetDown(true) }),
	"platform_up":   infallible(func(f *fleet.Fleet, _ Fault) { f.Platform.SetDown(false) }),
	"platform_slow": infallible(func(f *fleet.Fleet, fault Fault) { f.Platform.SetSlow(fault.For) }),
}

// infallible adapts an action that cannot fail.
func infallible(action func(*fleet.Fleet, Fault)) func(*fleet.Fleet, Fault) error {
	return func(f *fleet.Fleet, fault Fault) error {
		action(f, fault)
		return nil
	}
}

func faultNames() string {
	names := make([]string, 0, len(faultActions))
	for name := range faultActions {
		names = append(names, name)
	}
	sort.Strings(names)
	return strings.Join(names, ", ")
}

// scheduleFaults injects the faults at their times until the context ends.
func (r *run) scheduleFaults(ctx context.Context) {
	for _, fault := range r.scenario.Faults {
		r.faults.Go(func() {
			select {
			case <-ctx.Done():
			case <-time.After(time.Until(r.began.Add(fault.At))):
				if err := faultActions[fault.Kind](r.fleet, fault); err != nil {
					r.printf("  fault %s of %d: %v", fault.Kind, fault.Index, err)
				}
			}
		})
	}
}
