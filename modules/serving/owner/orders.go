package owner

import (
	"context"
	"time"

	"k8s.io/klog/v2"

	"cobaltramp.example/cobaltramp/internal/app/result"
	"cobaltramp.example/cobaltramp/internal/configuration/bundle"
	"cobaltramp.example/cobaltramp/internal/serving/engine"
)

// orderState is what an owned runner should have loaded, and whether it has.
type orderState struct {
	model      string
	version    string
	adapters   []string
	generation uint64
	loaded     bool
	// stale: it serves what an earlier generation wanted and waits for its turn
	// to load the new.
	stale   bool
	checked time.Time
	boot    string
}

// want sets what should be loaded; a change has to be confirmed by the engine.
// A runner that serves another version of the model goes on until its turn.
func (o *orderState) want(model *bundle.CompiledModel, generation uint64) {
	same := o.model == model.Name && o.version == model.Version && sameStrings(o.adapters, model.Adapters)
	if !same {
		o.stale = o.loaded && o.model == model.Name
		o.loaded = o.stale
		o.checked = time.Time{}
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
	// orderInterval is the time between two looks at which runners are due.
	orderInterval = 200 * time.Millisecond
	// recheckLoaded is how often a loaded runner is asked whether it still is:
	// an engine that restarted has lost its model.
	recheckLoaded = 2 * time.Second
	// orderTimeout bounds the check of one runner.
	orderTimeout = 2 * time.Second
	// maxChecks bounds the checks that one look begins.
	maxChecks = 16
)

// orderLoop sees that owned runners have loaded what the bundle says.
func (m *Module) orderLoop(ctx context.Context) {
	ticker := time.NewTicker(orderInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-m.taken:
		}
		for _, due := range m.dueChecks(time.Now()) {
			m.background.Go(func() { m.check(ctx, due) })
		}
	}
}

// loadingDivisor bounds the runners of a model that load at a time at one owner to
// a quarter of them, and at least one, so that a new version does not take the
// model away.
const loadingDivisor = 4

// loadTurns returns how many more runners of each model may begin to load; the
// caller holds the mutex.
func (m *Module) loadTurns() map[string]int {
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
	turns := map[string]int{}
	for model, count := range owned {
		turns[model] = max(1, count/loadingDivisor) - loading[model]
	}
	return turns
}

type dueCheck struct {
	id      string
	address string
	wanted  orderState
}

// dueChecks picks runners to look at, a bounded number at a time, which also
// stages loads: the weight store's rate is shared by those that load.
func (m *Module) dueChecks(now time.Time) []dueCheck {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	var due []dueCheck
	turns := m.loadTurns()
	for _, r := range m.runners {
		interval := orderInterval
		if r.orders.loaded && !r.orders.stale {
			interval = recheckLoaded
		}
		if !r.owned || now.Sub(r.orders.checked) < interval {
			continue
		}
		if r.orders.stale {
			if turns[r.model] <= 0 {
				continue
			}
			turns[r.model]--
		}
		r.orders.checked = now
		due = append(due, dueCheck{r.id, r.address, r.orders})
		if len(due) == maxChecks {
			break
		}
	}
	return due
}

// check compares an engine's state with what is wanted and orders what is missing.
func (m *Module) check(ctx context.Context, due dueCheck) {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	state, err := m.engines.State(ctx, due.address)
	if err != nil {
		m.noteUnloaded(due.id, err)
		return
	}
	missing := missingOrders(&due.wanted, state)
	if len(missing) == 0 {
		m.noteLoaded(due.id, due.wanted, state.Boot)
		return
	}
	m.noteUnloaded(due.id, nil)
	if state.Loading {
		return
	}
	for _, order := range missing {
		if err := m.engines.Send(ctx, due.address, order); err != nil {
			m.metrics.ordersGiven.WithLabelValues(result.CodeOf(err).String()).Inc()
			return
		}
		m.metrics.ordersGiven.WithLabelValues("ok").Inc()
	}
}

func missingOrders(wanted *orderState, state *engine.State) []engine.Order {
	if state.Model != wanted.model || state.Version != wanted.version {
		return []engine.Order{{Fence: wanted.generation, Kind: "load", Model: wanted.model, Version: wanted.version}}
	}
	have := map[string]bool{}
	for _, adapter := range state.Adapters {
		have[adapter] = true
	}
	var orders []engine.Order
	for _, adapter := range wanted.adapters {
		if !have[adapter] {
			orders = append(orders, engine.Order{Fence: wanted.generation, Kind: "adapter", Model: wanted.model, Adapter: adapter})
		}
	}
	return orders
}

func (m *Module) noteLoaded(id string, wanted orderState, boot string) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	r := m.runners[id]
	if r == nil || r.orders.model != wanted.model || r.orders.version != wanted.version {
		return
	}
	if !r.orders.loaded {
		klog.V(1).InfoS("runner ready", "node", m.settings.Node.ID, "runner", id, "model", wanted.model)
	}
	if r.orders.boot != boot {
		r.orders.boot = boot
		r.health.RecordSuccess()
	}
	r.orders.loaded, r.orders.stale = true, false
	m.signalFreed()
}

func (m *Module) noteUnloaded(id string, err error) {
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
