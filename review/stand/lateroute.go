package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"cobaltramp.example/cobaltramp/lab/standin"
)

const (
	lateHost = "nony24.example"
	// lateRounds is the number of routes that the operator adds, one after the other.
	lateRounds = 4
	// lateSilence is how long the store serves the storage machines nothing, and lateLead how
	// long before the change that begins.
	lateSilence = 2500 * time.Millisecond
	lateLead    = 300 * time.Millisecond
	// lateClient is the time from the store's answer to the operator to the client's job.
	lateClient = 100 * time.Millisecond
	lateItems  = 8
)

// lateConfig returns a configuration with a batch route for each round so far.
func lateConfig(version, rounds int) map[string]any {
	var routes []map[string]any
	for number := range rounds + 1 {
		routes = append(routes, with(pages.Batch, map[string]any{"name": fmt.Sprintf("devolucion-%d", number), name("prefix"): latePrefix(number)}))
	}
	return config(version, routes...)
}

func latePrefix(number int) string { return fmt.Sprintf("/devolucion%d/", number) }

// lateRoute adds batch routes while the store turns the storage machines away, and sends a job to
// each new route. No item may be dead-lettered: the runners fail none, no time is up, no job is
// ended, and the route stays.
func lateRoute(ctx context.Context, d *deployment, trouble bool) (verdict, error) {
	if err := d.prepare(edgeCount); err != nil {
		return verdict{}, err
	}
	d.store.PutConfig(lateConfig(10, 0))
	ledger := standin.NewLedger()
	for number := range 4 {
		_, err := standin.StartRunner(standin.RunnerOptions{
			ID: fmt.Sprintf("i-%d", number), Service: "asistente", Zone: zones[number%len(zones)], Address: "127.0.0.1:0",
			Slots: 17, QueueLimit: 64, EventInterval: 20 * time.Millisecond, Store: d.store, Ledger: ledger,
		})
		if err != nil {
			return verdict{}, err
		}
	}
	for _, n := range d.nodes() {
		if err := d.start(n); err != nil {
			return verdict{}, err
		}
	}
	if err := d.awaitReady(ctx); err != nil {
		return verdict{}, err
	}
	time.Sleep(8 * time.Second)
	jobs := map[string]string{}
	if !d.lateJob("warmup", latePrefix(0), jobs) {
		return verdict{}, fmt.Errorf("no job is accepted before the disruption")
	}
	for round := 1; round <= lateRounds; round++ {
		time.Sleep(7 * time.Second)
		if trouble {
			d.silence(standin.StoreFault{Silent: true})
		}
		time.Sleep(lateLead)
		d.store.PutConfig(lateConfig(10+round, round))
		d.record.line("operator: version %d with the route %s is acknowledged by the store", 10+round, latePrefix(round))
		time.Sleep(lateClient)
		job := fmt.Sprintf("job%d", round)
		if !d.lateJob(job, latePrefix(round), jobs) {
			d.record.line("client: %s was not accepted", job)
		}
		time.Sleep(lateSilence - lateLead - lateClient)
		if trouble {
			d.silence(standin.StoreFault{})
		}
	}
	return d.lateVerdict(ctx, ledger, jobs), nil
}

// silence sets the fault with which the store meets the storage machines.
func (d *deployment) silence(fault standin.StoreFault) {
	for _, n := range d.storages {
		d.store.SetMachineFault(n.name, fault)
	}
	d.record.line("store: the storage machines are met with %+v", fault)
}

// lateJob sends a job until it is accepted, for 4 s at most, and records it in jobs.
func (d *deployment) lateJob(job, prefix string, jobs map[string]string) bool {
	body := jobBody(job, prefix, lateItems)
	for try := range 3 {
		n := d.edges[(len(jobs)+try)%len(d.edges)]
		got := call(4*time.Second, http.MethodPost, n.callers, lateHost, prefix+job, job, nil, body)
		d.record.line("client: POST %s%s at %s with %d items: %d", prefix, job, n.name, lateItems, got.status)
		if got.status == http.StatusAccepted {
			jobs[job] = prefix
			return true
		}
		if got.status == http.StatusNotFound {
			return false
		}
		time.Sleep(300 * time.Millisecond)
	}
	return false
}

// lateVerdict reads the accepted jobs until all of their items are listed.
func (d *deployment) lateVerdict(ctx context.Context, ledger *standin.Ledger, jobs map[string]string) verdict {
	dead, done := 0, 0
	for job := range jobs {
		for {
			got := call(4*time.Second, http.MethodGet, d.edges[0].callers, lateHost, name("jobs")+job+"?"+name("since")+"=0", "", nil, nil)
			var list listing
			if got.status == http.StatusOK && json.Unmarshal(got.body, &list) == nil && len(list.Results) == list.Total || ctx.Err() != nil {
				for _, result := range list.Results {
					runs := ledger.Runs(result.ID)
					d.record.line("client: %s of %s is %s; %d runs at runners: %v", result.ID, job, result.State, len(runs), runs)
					if result.State == name("dead") {
						dead++
					} else {
						done++
					}
				}
				break
			}
			time.Sleep(500 * time.Millisecond)
		}
	}
	return verdict{dead > 0, fmt.Sprintf("%d items are dead-lettered without any failure, end or time-out, %d are completed", dead, done)}
}
