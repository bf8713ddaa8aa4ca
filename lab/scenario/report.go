package scenario

import (
	"fmt"
	"io"
	"math"
	"os"
	"strings"

	"github.com/go-echarts/go-echarts/v2/charts"
	"github.com/go-echarts/go-echarts/v2/components"
	"github.com/go-echarts/go-echarts/v2/opts"
	"github.com/gravitational/trace"
)

// Summary compares a policy with the baselines, seed by seed.
type Summary struct {
	Policy string `json:"policy"`
	// Harm is the p95 of the time to first token, divided by the p95 without batch load
	// (policy "off"). GapHarm is the same ratio for the time between tokens.
	Harm    Spread `json:"harm"`
	GapHarm Spread `json:"gap_harm"`
	// Yield is the rate of batch tokens, divided by the rate of an ideal scheduler that
	// uses all idle capacity. That rate is the one of policy "batch_only" times the part
	// of the slots that online load leaves free under policy "off".
	Yield Spread `json:"yield"`
	// Violations lists the violated guarantees of all seeds.
	Violations []string `json:"broken"`
}

// Spread is the mean, the minimum and the maximum of a value over all seeds.
type Spread struct {
	Mean, Min, Max float64
	Count          int
}

func (s *Spread) add(value float64) {
	if math.IsNaN(value) || math.IsInf(value, 0) {
		return
	}
	if s.Count == 0 || value < s.Min {
		s.Min = value
	}
	if s.Count == 0 || value > s.Max {
		s.Max = value
	}
	s.Mean = (s.Mean*float64(s.Count) + value) / float64(s.Count+1)
	s.Count++
}

// String formats the mean and the range.
func (s Spread) String() string {
	if s.Count == 0 {
		return "–"
	}
	return fmt.Sprintf("%.2f (%.2f–%.2f)", s.Mean, s.Min, s.Max)
}

func (r *Result) findOutcome(policy string, seed uint64) *Outcome {
	for i := range r.Outcomes {
		if r.Outcomes[i].Policy == policy && r.Outcomes[i].Seed == seed {
			return &r.Outcomes[i]
		}
	}
	return nil
}

// Summaries returns a summary of each policy, in the order of the outcomes.
func (r *Result) Summaries() []Summary {
	var list []Summary
	index := map[string]int{}
	for i := range r.Outcomes {
		outcome := &r.Outcomes[i]
		at, known := index[outcome.Policy]
		if !known {
			at = len(list)
			index[outcome.Policy] = at
			list = append(list, Summary{Policy: outcome.Policy})
		}
		r.addToSummary(&list[at], outcome)
	}
	return list
}

func (r *Result) addToSummary(summary *Summary, outcome *Outcome) {
	summary.Violations = append(summary.Violations, outcome.Violations()...)
	if off := r.findOutcome("off", outcome.Seed); off != nil && outcome.OnlineRequests > 0 {
		summary.Harm.add(outcome.FirstTokenP95Ms / off.FirstTokenP95Ms)
		summary.GapHarm.add(outcome.TokenGapP95Ms / off.TokenGapP95Ms)
		if alone := r.findOutcome("batch_only", outcome.Seed); alone != nil && outcome.Policy != "batch_only" {
			oracle := float64(alone.BatchTokens) / alone.Seconds * (1 - off.OnlineShare)
			summary.Yield.add(float64(outcome.BatchTokens) / outcome.Seconds / oracle)
		}
	}
}

// WriteText writes the comparison as a table.
func (r *Result) WriteText(out io.Writer) {
	printf(out, "%-14s %-20s %-20s %-20s %s\n", "policy", "harm (first token)", "harm (token gap)", "yield", "promises")
	for _, summary := range r.Summaries() {
		verdict := "held"
		if len(summary.Violations) > 0 {
			verdict = "BROKEN: " + strings.Join(summary.Violations, ", ")
		}
		printf(out, "%-14s %-20s %-20s %-20s %s\n", summary.Policy, summary.Harm, summary.GapHarm, summary.Yield, verdict)
	}
}

// WriteHTML writes a report with charts.
func (r *Result) WriteHTML(path string) error {
	page := components.NewPage()
	page.PageTitle = "cobaltramp-lab: " + r.Scenario
	page.AddCharts(r.summaryChart(), r.distributionChart())
	for i := range r.Outcomes {
		page.AddCharts(r.timeChart(&r.Outcomes[i]))
	}
	file, err := os.Create(path)
	if err != nil {
		return trace.ConvertSystemError(err)
	}
	if err := page.Render(file); err != nil {
		_ = file.Close()
		return trace.Wrap(err)
	}
	return trace.ConvertSystemError(file.Close())
}

// summaryChart shows harm and yield of each policy; its title says whether guarantees were
// violated.
func (r *Result) summaryChart() *charts.Bar {
	bar := charts.NewBar()
	verdict := "all promises held"
	var names []string
	var harm, yield []opts.BarData
	for _, summary := range r.Summaries() {
		if len(summary.Violations) > 0 {
			verdict = "PROMISES BROKEN by " + summary.Policy + ": " + strings.Join(summary.Violations, ", ")
		}
		names = append(names, summary.Policy)
		harm = append(harm, opts.BarData{Value: roundTo3Decimals(summary.Harm.Mean)})
		yield = append(yield, opts.BarData{Value: roundTo3Decimals(summary.Yield.Mean)})
	}
	bar.SetGlobalOptions(charts.WithTitleOpts(opts.Title{Title: r.Scenario + ": " + verdict, Subtitle: "harm: first token p95 over that without batch; yield: batch tokens over the oracle's"}))
	bar.SetXAxis(names).AddSeries("harm", harm).AddSeries("yield", yield)
	return bar
}

func roundTo3Decimals(value float64) float64 { return math.Round(value*1000) / 1000 }

// distributionChart shows percentiles of the time to first token.
func (r *Result) distributionChart() *charts.Line {
	line := charts.NewLine()
	line.SetGlobalOptions(charts.WithTitleOpts(opts.Title{Title: "time to first token", Subtitle: "ms, p50, p95 and p99 by policy and seed"}))
	line.SetXAxis([]string{"p50", "p95", "p99"})
	for _, outcome := range r.Outcomes {
		if outcome.OnlineRequests == 0 {
			continue
		}
		name := fmt.Sprintf("%s/%d", outcome.Policy, outcome.Seed)
		line.AddSeries(name, []opts.LineData{{Value: outcome.FirstTokenP50Ms}, {Value: outcome.FirstTokenP95Ms}, {Value: outcome.FirstTokenP99Ms}})
	}
	return line
}

// timeChart shows the worst time to first token and the running sequences over time, and
// lists the faults.
func (r *Result) timeChart(o *Outcome) *charts.Line {
	line := charts.NewLine()
	subtitle := "sequences on the engines; worst time to first token (ms) in each half second"
	if faultLabels := r.faultLabels(); faultLabels != "" {
		subtitle += "; faults: " + faultLabels
	}
	line.SetGlobalOptions(
		charts.WithTitleOpts(opts.Title{Title: fmt.Sprintf("%s, seed %d", o.Policy, o.Seed), Subtitle: subtitle}),
		charts.WithTooltipOpts(opts.Tooltip{Show: opts.Bool(true), Trigger: "axis"}),
	)
	const bin = 0.5
	bins := int(o.Seconds/bin) + 1
	axis := make([]string, bins)
	worst, online, batch := make([]opts.LineData, bins), make([]opts.LineData, bins), make([]opts.LineData, bins)
	peaks := make([]float64, bins)
	for _, point := range o.Latency {
		if at := int(point.Seconds / bin); at >= 0 && at < bins {
			peaks[at] = math.Max(peaks[at], point.Ms)
		}
	}
	for i := range bins {
		axis[i] = fmt.Sprintf("%.1f", float64(i)*bin)
		worst[i] = opts.LineData{Value: roundTo3Decimals(peaks[i])}
	}
	for _, sample := range o.Occupancy {
		if at := int(sample.Seconds / bin); at >= 0 && at < bins {
			online[at], batch[at] = opts.LineData{Value: sample.Online}, opts.LineData{Value: sample.Batch}
		}
	}
	line.SetXAxis(axis).AddSeries("worst first token (ms)", worst).AddSeries("online sequences", online).AddSeries("batch sequences", batch)
	return line
}

func (r *Result) faultLabels() string {
	var faultLabels []string
	for _, fault := range r.Faults {
		faultLabels = append(faultLabels, fmt.Sprintf("%s %d at %s", fault.Kind, fault.Index, fault.At))
	}
	return strings.Join(faultLabels, ", ")
}

// Compare prints the ratios between two results for each policy.
func Compare(before, after *Result, out io.Writer) {
	printf(out, "%-14s %-26s %-26s %-26s\n", "policy", "first p95 after/before", "gap p95 after/before", "batch tokens after/before")
	for _, name := range []string{"managed", "off", "static", "priority_only", "batch_only"} {
		var first, gap, tokens Spread
		for i := range after.Outcomes {
			now := &after.Outcomes[i]
			then := before.findOutcome(name, now.Seed)
			if now.Policy != name || then == nil {
				continue
			}
			first.add(now.FirstTokenP95Ms / then.FirstTokenP95Ms)
			gap.add(now.TokenGapP95Ms / then.TokenGapP95Ms)
			tokens.add(float64(now.BatchTokens) / now.Seconds / (float64(then.BatchTokens) / then.Seconds))
		}
		if first.Count+tokens.Count > 0 {
			printf(out, "%-14s %-26s %-26s %-26s\n", name, first, gap, tokens)
		}
	}
}
