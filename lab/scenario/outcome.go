package scenario

import (
	"fmt"
	"time"

	"cobaltramp.example/cobaltramp/lab/engine"
)

// Outcome contains the measurements of a run of one policy with one seed, taken by the
// clients and the engines.
type Outcome struct {
	Policy string `json:"policy"`
	Seed   uint64 `json:"seed"`

	OnlineRequests  int64          `json:"online_requests"`
	OnlineFailed    int64          `json:"online_failed"`
	OnlineRefused   int64          `json:"online_refused"`
	OnlineTruncated int64          `json:"online_cut"`
	OnlineWrong     int64          `json:"online_wrong"`
	OnlineResent    int64          `json:"online_resent"`
	FirstP50Ms      float64        `json:"first_token_p50_ms"`
	FirstP95Ms      float64        `json:"first_token_p95_ms"`
	FirstP99Ms      float64        `json:"first_token_p99_ms"`
	GapP95Ms        float64        `json:"token_gap_p95_ms"`
	GapP99Ms        float64        `json:"token_gap_p99_ms"`
	Errors          map[string]int `json:"errors,omitempty"`

	BatchTokens     int     `json:"batch_tokens"`
	BatchItems      int     `json:"batch_items_offered"`
	BatchRuns       int     `json:"batch_runs"`
	OnlineShare     float64 `json:"online_slot_share"`
	BatchShare      float64 `json:"batch_slot_share"`
	Seconds         float64 `json:"seconds"`
	JobsChecked     int     `json:"jobs_checked"`
	ItemsDone       int     `json:"items_completed"`
	ItemsLost       int     `json:"items_lost"`
	ItemsDuplicated int     `json:"items_doubled"`
	ItemsWrong      int     `json:"items_wrong"`
	PlatformCalls   int64   `json:"platform_requests"`

	Latency   []LatencyPoint `json:"latency"`
	Occupancy []Occupancy    `json:"use"`
}

// LatencyPoint is the time to first token of one request.
type LatencyPoint struct {
	Seconds float64 `json:"at"`
	Ms      float64 `json:"ms"`
}

// Occupancy is the number of running sequences on all engines at one time.
type Occupancy struct {
	Seconds float64 `json:"at"`
	Online  int     `json:"online"`
	Batch   int     `json:"batch"`
}

// Result contains the outcomes of all runs of a scenario.
type Result struct {
	Scenario string    `json:"scenario"`
	Began    time.Time `json:"began"`
	Faults   []Fault   `json:"faults"`
	Outcomes []Outcome `json:"outcomes"`
}

// Violations lists the guarantees that were violated in the run.
func (o *Outcome) Violations() []string {
	var broken []string
	add := func(count int64, what string) {
		if count > 0 {
			broken = append(broken, fmt.Sprintf("%d %s", count, what))
		}
	}
	add(o.OnlineTruncated, "streams cut")
	add(o.OnlineWrong, "wrong answers")
	add(o.OnlineFailed-o.OnlineRefused, "online requests failed")
	add(int64(o.ItemsLost), "items lost")
	add(int64(o.ItemsDuplicated), "items doubled")
	add(int64(o.ItemsWrong), "items with wrong text")
	return broken
}

func (r *run) newOutcome(before, after engine.Usage, elapsed time.Duration) *Outcome {
	slotSeconds := float64(len(r.fleet.Engines)*r.scenario.Slots) * elapsed.Seconds()
	o := &Outcome{
		Policy: r.policy, Seed: r.seed, Seconds: elapsed.Seconds(),
		OnlineRequests: r.recorder.Requests.Load(), OnlineFailed: r.recorder.Failed.Load(), OnlineRefused: r.recorder.Refused.Load(),
		OnlineTruncated: r.recorder.Truncated.Load(), OnlineWrong: r.recorder.Wrong.Load(), OnlineResent: r.recorder.Resent.Load(),
		FirstP50Ms: milliseconds(r.recorder.FirstToken(50)), FirstP95Ms: milliseconds(r.recorder.FirstToken(95)), FirstP99Ms: milliseconds(r.recorder.FirstToken(99)),
		GapP95Ms: milliseconds(r.recorder.TokenGap(95)), GapP99Ms: milliseconds(r.recorder.TokenGap(99)), Errors: r.recorder.Errors(),
		BatchTokens:   after.BatchTokens - before.BatchTokens,
		OnlineShare:   (after.OnlineSlotSeconds - before.OnlineSlotSeconds) / slotSeconds,
		BatchShare:    (after.BatchSlotSeconds - before.BatchSlotSeconds) / slotSeconds,
		PlatformCalls: r.fleet.Platform.Requests.Load(), Occupancy: r.occupancy,
	}
	for _, sample := range r.recorder.Series() {
		o.Latency = append(o.Latency, LatencyPoint{sample.At.Sub(r.began).Seconds(), milliseconds(sample.FirstToken)})
	}
	return o
}

func milliseconds(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }
