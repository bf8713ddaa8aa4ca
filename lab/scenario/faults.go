package scenario

import (
	"context"
	"sort"
	"strings"
	"time"

	"cobaltramp.example/cobaltramp/lab/fleet"
)

// faultActions bring about what a fault names.
var faultActions = map[string]func(*fleet.Fleet, Fault){
	"kill_node":      func(f *fleet.Fleet, fault Fault) { f.KillNode(fault.Index) },
	"start_node":     func(f *fleet.Fleet, fault Fault) { _ = f.StartNode(fault.Index) },
	"stop_node":      func(f *fleet.Fleet, fault Fault) { f.StopNode(fault.Index) },
	"wipe_node":      func(f *fleet.Fleet, fault Fault) { f.KillNode(fault.Index); _ = f.WipeNode(fault.Index) },
	"crash_engine":   func(f *fleet.Fleet, fault Fault) { f.Engines[fault.Index].Crash() },
	"restart_engine": func(f *fleet.Fleet, fault Fault) { _ = f.Engines[fault.Index].Restart() },
	"stall_engine":   func(f *fleet.Fleet, fault Fault) { f.Engines[fault.Index].Stall(fault.For) },
	"slow_engine":    func(f *fleet.Fleet, fault Fault) { f.Engines[fault.Index].SetSlow(fault.Factor) },
	"disorder":       func(f *fleet.Fleet, fault Fault) { f.Engines[fault.Index].SetDisorder(true) },
	"runner_leaving": func(f *fleet.Fleet, fault Fault) {
		f.ListRunner(f.Engines[fault.Index], f.ZoneOf(fault.Index), "leaving")
	},
	"platform_down": func(f *fleet.Fleet, _ Fault) { f.Platform.SetDown(true) },
	"platform_up":   func(f *fleet.Fleet, _ Fault) { f.Platform.SetDown(false) },
	"platform_slow": func(f *fleet.Fleet, fault Fault) { f.Platform.SetSlow(fault.For) },
}

func faultNames() string {
	names := make([]string, 0, len(faultActions))
	for name := range faultActions {
		names = append(names, name)
	}
	sort.Strings(names)
	return strings.Join(names, ", ")
}

// schedule brings about the faults at their times until the context ends.
func schedule(ctx context.Context, running *fleet.Fleet, faults []Fault, began time.Time) {
	for _, fault := range faults {
		go func() {
			select {
			case <-ctx.Done():
			case <-time.After(time.Until(began.Add(fault.At))):
				faultActions[fault.Kind](running, fault)
			}
		}()
	}
}
