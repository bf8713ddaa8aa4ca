// Package account reports how much worth a benchmark run lost, by cause. Worth is the score
// of the users' benchmark, at most 1. The input is the report of the benchmark and,
// optionally, the log lines of the processes in the run. The output is a set of Markdown
// tables, so that runs can be compared.
package account

import (
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"sort"
	"strings"

	"github.com/gravitational/trace"

	"cobaltramp.example/cobaltramp/internal/app/explain"
)

// Part is a component of the worth: its name, its weight, and the fraction that was
// achieved.
type Part struct {
	Name          string
	Weight, Value float64
}

// Cost is a deduction from the worth: its name, the amount in its own unit, and the
// worth deducted.
type Cost struct {
	Name          string
	Amount, Share float64
}

// Group holds the results of a set of requests: of one kind, one zone, or one window of
// windowSeconds.
type Group struct {
	Name     string  `json:"name"`
	Requests int     `json:"n"`
	OnTime   int     `json:"in_aim"`
	Late     int     `json:"late"`
	Refused  int     `json:"refused"`
	Failed   int     `json:"failed"`
	Exempt   int     `json:"not_owed"`
	Worth    float64 `json:"worth"`
}

// Event is a disruption or a maintenance operation, with its start and end in seconds
// since the start of traffic.
type Event struct {
	From   float64 `json:"at_s"`
	To     float64 `json:"to_s"`
	Kind   string  `json:"kind"`
	Detail string  `json:"what"`
}

// Report holds the fields of the benchmark's report that this package uses.
type Report struct {
	Worth      float64        `json:"G"`
	Parts      []Part         `json:"parts"`
	Costs      []Cost         `json:"prices"`
	Violations map[string]int `json:"breaks"`
	Classes    []Group        `json:"classes"`
	Zones      []Group        `json:"zones"`
	Windows    []Group        `json:"windows"`
	Events     []Event        `json:"events"`
	Outcomes   map[string]int `json:"ends"`
}

// UnmarshalJSON implements json.Unmarshaler: a part is an array of three columns.
func (p *Part) UnmarshalJSON(text []byte) error { return row(text, &p.Name, &p.Weight, &p.Value) }

// UnmarshalJSON implements json.Unmarshaler: a cost is an array of three columns.
func (p *Cost) UnmarshalJSON(text []byte) error { return row(text, &p.Name, &p.Amount, &p.Share) }

// row decodes a JSON array with one column for each field.
func row(text []byte, fields ...any) error {
	columns := append([]any{}, fields...)
	if err := json.Unmarshal(text, &columns); err != nil {
		return err
	}
	if len(columns) != len(fields) {
		return trace.BadParameter("row has %d columns, want %d", len(columns), len(fields))
	}
	return nil
}

// Read reads a report in JSON.
func Read(reader io.Reader) (*Report, error) {
	report := &Report{}
	if err := json.NewDecoder(reader).Decode(report); err != nil {
		return nil, trace.BadParameter("not a report of the bench: %v", err)
	}
	if len(report.Parts) == 0 {
		return nil, trace.BadParameter("not a report of the bench: it has no parts")
	}
	return report, nil
}

// Loss is the worth lost by one cause.
type Loss struct {
	Cause string
	Worth float64
}

// Losses returns the loss of each part and each cost, the largest first. It leaves out
// losses below minReportedLoss.
func (r *Report) Losses() []Loss {
	var losses []Loss
	for _, part := range r.Parts {
		losses = append(losses, Loss{part.Name, part.Weight * (1 - part.Value)})
	}
	for _, cost := range r.Costs {
		losses = append(losses, Loss{"price of " + cost.Name, cost.Share})
	}
	losses = slices.DeleteFunc(losses, func(loss Loss) bool { return loss.Worth < minReportedLoss })
	sort.SliceStable(losses, func(i, j int) bool { return losses[i].Worth > losses[j].Worth })
	return losses
}

const (
	// minReportedLoss is the smallest loss that is reported.
	minReportedLoss = 0.0005
	// minWindowWorth is the worth below which a window is reported.
	minWindowWorth = 0.97
	// windowSeconds is the length of a window in seconds.
	windowSeconds = 2
)

// BadWindows returns a table row for each window with less worth than minWindowWorth. The
// row includes the kinds of events during the window.
func (r *Report) BadWindows() []string {
	var rows []string
	for _, window := range r.Windows {
		if window.Worth >= minWindowWorth || window.Requests == window.Exempt {
			continue
		}
		rows = append(rows, fmt.Sprintf("| %s s | %d | %d | %d | %d | %.3f | %s |",
			window.Name, window.Requests, window.Late, window.Refused, window.Failed, window.Worth, strings.Join(r.eventKindsIn(window.Name), ", ")))
	}
	return rows
}

// eventKindsIn returns the kinds of events during a window. The name of a window is its
// start in seconds.
func (r *Report) eventKindsIn(window string) []string {
	var from float64
	if _, err := fmt.Sscan(window, &from); err != nil {
		return []string{"window without a time"}
	}
	var kinds []string
	for _, event := range r.Events {
		if event.From < from+windowSeconds && event.To > from && !slices.Contains(kinds, event.Kind) {
			kinds = append(kinds, event.Kind)
		}
	}
	return kinds
}

// Count is the number of occurrences of a label.
type Count struct {
	Label string
	Times int
}

// CountOutcomes counts the log lines with an outcome, grouped by message and outcome. The
// most frequent group comes first.
func CountOutcomes(lines []explain.Line) []Count {
	times := map[string]int{}
	for _, line := range lines {
		outcome, found := line.Fields["outcome"]
		if !found {
			continue
		}
		times[line.Message+": "+withoutVariablePart(outcome)]++
	}
	counts := make([]Count, 0, len(times))
	for label, n := range times {
		counts = append(counts, Count{label, n})
	}
	sort.Slice(counts, func(i, j int) bool {
		if counts[i].Times != counts[j].Times {
			return counts[i].Times > counts[j].Times
		}
		return counts[i].Label < counts[j].Label
	})
	return counts
}

// withoutVariablePart removes the variable part of an outcome, which starts at its first
// digit. An outcome that starts with a digit is returned whole.
func withoutVariablePart(outcome string) string {
	if at := strings.IndexAny(outcome, "0123456789"); at > 0 {
		return strings.TrimSpace(outcome[:at])
	}
	return outcome
}
