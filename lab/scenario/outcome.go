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
	FirstTokenP50Ms float64        `json:"first_token_p50_ms"`
	FirstTokenP95Ms float64        `json:"first_token_p95_ms"`
	FirstTokenP99Ms float64        `json:"first_token_p99_ms"`
	TokenGapP95Ms   float64        `json:"token_gap_p95_ms"`
	TokenGapP99Ms   float64        `json:"token_gap_p99_ms"`
	Errors          map[string]int `json:"errors,omitempty"`

	BatchTokens      int     `json:"batch_tokens"`
	ItemsSubmitted   int     `json:"batch_items_offered"`
	BatchRuns        int     `json:"batch_runs"`
	OnlineShare      float64 `json:"online_slot_share"`
	BatchShare       float64 `json:"batch_slot_share"`
	Seconds          float64 `json:"seconds"`
	JobsChecked      int     `json:"jobs_checked"`
	ItemsCompleted   int     `json:"items_completed"`
	ItemsLost        int     `json:"items_lost"`
	ItemsDuplicated  int     `json:"items_doubled"`
	ItemsWrong       int     `json:"items_wrong"`
	PlatformRequests int64   `json:"platform_requests"`

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
	var violations []string
	add := func(count int64, description string) {
		if count > 0 {
			violations = append(violations, fmt.Sprintf("%d %s", count, description))
		}
	}
	add(o.OnlineTruncated, "streams cut")
	add(o.OnlineWrong, "wrong answers")
	add(o.OnlineFailed-o.OnlineRefused, "online requests failed")
	add(int64(o.ItemsLost), "items lost")
	add(int64(o.ItemsDuplicated), "items doubled")
	add(int64(o.ItemsWrong), "items with wrong text")
	return violations
}

func (r *run) newOutcome(before, after engine.Usage, elapsed time.Duration) *Outcome {
	slotSeconds := float64(len(r.fleet.Engines)*r.scenario.Slots) * elapsed.Seconds()
	o := &Outcome{
		Policy: r.policy, Seed: r.seed, Seconds: elapsed.Seconds(),
		OnlineRequests: r.recorder.Requests.Load(), OnlineFailed: r.recorder.Failed.Load(), OnlineRefused: r.recorder.Refused.Load(),
		OnlineTruncated: r.recorder.Truncated.Load(), OnlineWrong: r.recorder.Wrong.Load(), OnlineResent: r.recorder.Resent.Load(),
		FirstTokenP50Ms: milliseconds(r.recorder.FirstToken(50)), FirstTokenP95Ms: milliseconds(r.recorder.FirstToken(95)), FirstTokenP99Ms: milliseconds(r.recorder.FirstToken(99)),
		TokenGapP95Ms: milliseconds(r.recorder.TokenGap(95)), TokenGapP99Ms: milliseconds(r.recorder.TokenGap(99)), Errors: r.recorder.Errors(),
		BatchTokens:      after.BatchTokens - before.BatchTokens,
		OnlineShare:      (after.OnlineSlotSeconds - before.OnlineSlotSeconds) / slotSeconds,
		BatchShare:       (after.BatchSlotSeconds - before.BatchSlotSeconds) / slotSeconds,
		PlatformRequests: r.fleet.Platform.Requests.Load(), Occupancy: r.occupancy,
	}
	for _, sample := range r.recorder.Series() {
		o.Latency = append(o.Latency, LatencyPoint{sample.At.Sub(r.began).Seconds(), milliseconds(sample.FirstToken)})
	}
	return o
}

func milliseconds(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }
