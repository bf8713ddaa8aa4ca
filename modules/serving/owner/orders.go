package owner

import (
	"context"
	"time"

	"k8s.io/klog/v2"

	"cobaltramp.example/cobaltramp/internal/app/result"
	"cobaltramp.example/cobaltramp/internal/configuration/bundle"
	"cobaltramp.example/cobaltramp/internal/serving/engine"
)

// orderState is the model that an owned runner should load, and the progress of the
// load. Each order carries the bundle's generation as its fence: the engine rejects an
// order with a lower fence than it has seen.
type orderState struct {
	model      string
	version    string
	adapters   []string
	generation uint64
	// loaded is set if the runner can run requests of the model. It is set when its
	// engine has confirmed the target, and also while stale is set.
	loaded bool
	// stale is set while the runner has an earlier version or set of adapters of the
	// model loaded and waits for a load slot.
	stale bool
	// lastCheck is the start of the latest check; zero if the runner has to be checked
	// at once.
	lastCheck time.Time
	// boot identifies the run of the engine's process that last confirmed the target.
	boot string
}

// setTarget sets the model that the runner should load. After a change of the model, its
// version or its adapters, the runner is not loaded until recordLoaded records a
// confirmation by its engine. An exception is a runner with the same model loaded in
// another version or with other adapters: it runs requests until it gets a load slot
// (stale).
func (o *orderState) setTarget(model *bundle.CompiledModel, generation uint64) {
	same := o.model == model.Name && o.version == model.Version && sameStrings(o.adapters, model.Adapters)
	if !same {
		o.stale = o.loaded && o.model == model.Name
		o.loaded = o.stale
		o.lastCheck = time.Time{}
	}
	o.model, o.version, o.adapters, o.generation = model.Name, model.Version, model.Adapters, generation
}

func sameStrings(a, b []string) bool {
	if len(a) != len(b) {
		return false
	}
	for i := range a {
		if a[i] != b[i] {
			return false
		}
	}
	return true
}

const (
	// orderInterval is the time between two searches for runners that are due for a
	// check, and between two checks of a runner that is not loaded or is stale.
	orderInterval = 200 * time.Millisecond
	// recheckLoaded is the time between two checks of a loaded runner that is not stale.
	// An engine that restarts loses its model.
	recheckLoaded = 2 * time.Second
	// orderTimeout bounds the check of one runner, including the orders to its engine.
	orderTimeout = 2 * time.Second
	// maxChecks is the maximum number of checks that one search starts.
	maxChecks = 16
)

// orderLoop checks the owned runners and orders their engines to load the models and
// adapters of the bundle, until the context ends.
func (m *Module) orderLoop(ctx context.Context) {
	ticker := time.NewTicker(orderInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-m.acquired:
		}
		for _, due := range m.dueChecks(time.Now()) {
			m.background.Go(func() { m.check(ctx, due) })
		}
	}
}

// loadingDivisor limits the rollout of a new version, so that the model stays available:
// at one owner at most 1/loadingDivisor of the model's runners, but at least one, may load
// at the same time. Runners that are not loaded for any other reason count as well.
const loadingDivisor = 4

// freeLoadSlots returns how many more stale runners of each model may start to load; 0 or
// a negative number means none. The caller holds the mutex.
func (m *Module) freeLoadSlots() map[string]int {
	owned, loading := map[string]int{}, map[string]int{}
	for _, r := range m.runners {
		if !r.owned {
			continue
		}
		owned[r.model]++
		if !r.orders.loaded {
			loading[r.model]++
		}
	}
	slots := map[string]int{}
	for model, count := range owned {
		slots[model] = max(1, count/loadingDivisor) - loading[model]
	}
	return slots
}

// dueCheck is a runner to check, and a copy of its order state.
type dueCheck struct {
	id      string
	address string
	target  orderState
}

// dueChecks returns up to maxChecks owned runners that are due for a check and sets the
// time of their latest check. A stale runner is due only if it gets a load slot.
func (m *Module) dueChecks(now time.Time) []dueCheck {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	var due []dueCheck
	slots := m.freeLoadSlots()
	for _, r := range m.runners {
		interval := orderInterval
		if r.orders.loaded && !r.orders.stale {
			interval = recheckLoaded
		}
		if !r.owned || now.Sub(r.orders.lastCheck) < interval {
			continue
		}
		if r.orders.stale {
			if slots[r.model] <= 0 {
				continue
			}
			slots[r.model]--
		}
		r.orders.lastCheck = now
		due = append(due, dueCheck{r.id, r.address, r.orders})
		if len(due) == maxChecks {
			break
		}
	}
	return due
}

// check compares an engine's state with the target and sends the missing orders. It sends
// none while the engine is loading, and stops at the first order that fails.
func (m *Module) check(ctx context.Context, due dueCheck) {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	state, err := m.engines.State(ctx, due.address)
	if err != nil {
		m.recordNotConfirmed(due.id, err)
		return
	}
	missing := missingOrders(&due.target, state)
	if len(missing) == 0 {
		m.recordLoaded(due.id, due.target, state.Boot)
		return
	}
	m.recordNotConfirmed(due.id, nil)
	if state.Loading {
		return
	}
	for _, order := range missing {
		if err := m.engines.Send(ctx, due.address, order); err != nil {
			m.metrics.ordersSent.WithLabelValues(result.CodeOf(err).String()).Inc()
			return
		}
		m.metrics.ordersSent.WithLabelValues("ok").Inc()
	}
}

// missingOrders returns the orders that bring an engine to the target: the model if the
// engine has another model or version, and otherwise each adapter that it lacks. Nothing
// unloads adapters that the target does not contain.
func missingOrders(target *orderState, state *engine.State) []engine.Order {
	if state.Model != target.model || state.Version != target.version {
		return []engine.Order{{Fence: target.generation, Kind: "load", Model: target.model, Version: target.version}}
	}
	have := map[string]bool{}
	for _, adapter := range state.Adapters {
		have[adapter] = true
	}
	var orders []engine.Order
	for _, adapter := range target.adapters {
		if !have[adapter] {
			orders = append(orders, engine.Order{Fence: target.generation, Kind: "adapter", Model: target.model, Adapter: adapter})
		}
	}
	return orders
}

// recordLoaded records that an engine confirmed the target, unless the model or version
// has changed since. It does not compare the adapters: after a change of the adapters
// alone, a check that began before the change still counts as a confirmation, until the
// next check. If the engine has restarted since the last confirmation, its failures are
// reset.
func (m *Module) recordLoaded(id string, target orderState, boot string) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	r := m.runners[id]
	if r == nil || r.orders.model != target.model || r.orders.version != target.version {
		return
	}
	if !r.orders.loaded {
		klog.V(1).InfoS("runner ready", "node", m.settings.Node.ID, "runner", id, "model", target.model)
	}
	if r.orders.boot != boot {
		r.orders.boot = boot
		r.health.RecordSuccess()
	}
	r.orders.loaded, r.orders.stale = true, false
	m.signalFreedBatchSlots()
}

// recordNotConfirmed records the result of a check that did not confirm the target. With
// an error, the engine's state is unknown: the check counts as a failure of the runner,
// and the runner stays loaded if it was.
func (m *Module) recordNotConfirmed(id string, err error) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	r := m.runners[id]
	if r == nil {
		return
	}
	if err != nil {
		r.health.RecordFailure(time.Now())
		return
	}
	r.orders.loaded, r.orders.stale = false, false
}
