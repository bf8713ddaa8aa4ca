package account

import (
	"fmt"
	"io"
	"sort"
)

// maxOutcomeRows is the largest number of rows in the table of outcomes.
const maxOutcomeRows = 25

// Print writes the report and the result of CountOutcomes as Markdown tables. It leaves out
// the table of outcomes if there are none.
func Print(writer io.Writer, report *Report, outcomes []Count) error {
	p := &printer{writer: writer}
	p.line("worth %.3f, lost %.3f", report.Worth, 1-report.Worth)
	for rule, times := range report.Violations {
		p.line("**broken: %s %d**", rule, times)
	}
	p.table("lost by", "worth")
	for _, loss := range report.Losses() {
		p.line("| %s | %.4f |", loss.Cause, loss.Worth)
	}
	for _, groups := range []struct {
		name string
		rows []Group
	}{{"kind of request", report.Classes}, {"callers' zone", report.Zones}} {
		p.table(groups.name, "asked", "late", "refused", "failed", "worth")
		for _, row := range groups.rows {
			p.line("| %s | %d | %d | %d | %d | %.3f |", row.Name, row.Requests-row.Exempt, row.Late, row.Refused, row.Failed, row.Worth)
		}
	}
	p.table("window", "asked", "late", "refused", "failed", "worth", "meanwhile")
	for _, row := range report.BadWindows() {
		p.line("%s", row)
	}
	p.table("tries that ended", "times")
	for _, outcome := range byFrequency(report.Outcomes) {
		p.line("| %s | %d |", outcome.Label, outcome.Times)
	}
	if len(outcomes) > 0 {
		p.table("decisions logged", "times")
	}
	for _, count := range outcomes[:min(maxOutcomeRows, len(outcomes))] {
		p.line("| %s | %d |", count.Label, count.Times)
	}
	return p.err
}

// byFrequency returns the counts, the most frequent first.
func byFrequency(times map[string]int) []Count {
	counts := make([]Count, 0, len(times))
	for label, n := range times {
		counts = append(counts, Count{label, n})
	}
	sort.Slice(counts, func(i, j int) bool { return counts[i].Times > counts[j].Times })
	return counts
}

// printer writes lines until the first error, which it keeps.
type printer struct {
	writer io.Writer
	err    error
}

func (p *printer) line(format string, values ...any) {
	if p.err == nil {
		_, p.err = fmt.Fprintf(p.writer, format+"\n", values...)
	}
}

func (p *printer) table(columns ...string) {
	p.line("")
	head, rule := "|", "|"
	for _, column := range columns {
		head += " " + column + " |"
		rule += " --- |"
	}
	p.line("%s", head)
	p.line("%s", rule)
}
