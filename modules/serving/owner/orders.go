package owner

import (
	"context"
	"time"

	"k8s.io/klog/v2"

	"cobaltramp.example/cobaltramp/internal/app/result"
	"cobaltramp.example/cobaltramp/internal/configuration/bundle"
	"cobaltramp.example/cobaltramp/internal/serving/engine"
)

// orderState is the model that an owned runner should have loaded, and its progress.
type orderState struct {
	model      string
	version    string
	adapters   []string
	generation uint64
	loaded     bool
	// stale is set while the runner serves an earlier version or set of adapters and
	// waits for a load slot.
	stale     bool
	lastCheck time.Time
	boot      string
}

// setTarget sets what the runner should load. A change has to be confirmed by the
// engine. A runner that has another version of the same model loaded keeps serving
// it until it gets a load slot.
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
	// check.
	orderInterval = 200 * time.Millisecond
	// recheckLoaded is the time between two checks of a loaded runner, whose engine
	// loses its model when it restarts.
	recheckLoaded = 2 * time.Second
	// orderTimeout bounds the check of one runner.
	orderTimeout = 2 * time.Second
	// maxChecks bounds the checks that start at a time.
	maxChecks = 16
)

// orderLoop makes owned runners load the models and adapters of the bundle.
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

// loadingDivisor bounds the runners of a model that load at the same time at one owner
// to a quarter of them, or one if that is more, so that the model stays available
// during the rollout of a new version.
const loadingDivisor = 4

// freeLoadSlots returns how many more runners of each model may start to load. The
// caller holds the mutex.
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

type dueCheck struct {
	id      string
	address string
	target  orderState
}

// dueChecks returns runners that are due for a check. It bounds their number, so that
// runners do not all load from the weight store at the same time.
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

// check compares an engine's state with the target and orders it to load what is
// missing.
func (m *Module) check(ctx context.Context, due dueCheck) {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	state, err := m.engines.State(ctx, due.address)
	if err != nil {
		m.recordUnloaded(due.id, err)
		return
	}
	missing := missingOrders(&due.target, state)
	if len(missing) == 0 {
		m.recordLoaded(due.id, due.target, state.Boot)
		return
	}
	m.recordUnloaded(due.id, nil)
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
	m.signalFreed()
}

func (m *Module) recordUnloaded(id string, err error) {
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
