package explain

import (
	"fmt"
	"io"
	"sort"
	"strings"
)

// TenantSummary summarises the log lines about one tenant: the outcomes of its requests
// at each source, and the last refusals.
type TenantSummary struct {
	Tenant string
	// Outcomes counts ended requests by source and outcome.
	Outcomes map[string]map[string]int
	// Refusal is the last line of an edge about a request that it did not admit. Keeper
	// is the last line of the keeper of the tenant's limit about credits that it refused.
	// They are nil if there is no such line.
	Refusal, Keeper *Line
	// OverShare is the end of the last request that was refused because the tenant was over
	// its share of the slots; nil if there is none.
	OverShare *Line
}

// messageCreditsRefused is logged by the keeper of a tenant's limit when it grants a node
// fewer credits than the node requested.
const messageCreditsRefused = "credit request of a tenant not fully granted"

// TenantSummaryOf summarises the log lines about a tenant.
func TenantSummaryOf(tenant string, lines []Line) *TenantSummary {
	summary := &TenantSummary{Tenant: tenant, Outcomes: map[string]map[string]int{}}
	for i := range lines {
		line := &lines[i]
		if line.Fields["tenant"] != tenant {
			continue
		}
		switch line.Message {
		case messageRequestEnded:
			summary.count(line.Source, line.Fields["outcome"])
			if line.refusedOverShare() {
				summary.OverShare = line
			}
		case messageNotAdmitted:
			summary.Refusal = line
		case messageCreditsRefused:
			summary.Keeper = line
		}
	}
	return summary
}

func (s *TenantSummary) count(source, outcome string) {
	if s.Outcomes[source] == nil {
		s.Outcomes[source] = map[string]int{}
	}
	s.Outcomes[source][outcome]++
}

// Print writes the summary as text.
func (s *TenantSummary) Print(writer io.Writer) {
	total := map[string]int{}
	for _, source := range sortedKeys(s.Outcomes) {
		fmt.Fprintf(writer, "  %-24s %s\n", source, formatCounts(s.Outcomes[source]))
		for outcome, count := range s.Outcomes[source] {
			total[outcome] += count
		}
	}
	fmt.Fprintf(writer, "tenant %s: %s\n", s.Tenant, formatCounts(total))
	if s.Refusal != nil {
		fmt.Fprintf(writer, "last refusal at %s %s:%s\n", s.Refusal.Stamp, s.Refusal.Source, s.Refusal.formatFields())
	}
	if s.Keeper != nil {
		fmt.Fprintf(writer, "its keeper then, %s %s:%s\n", s.Keeper.Stamp, s.Keeper.Source, s.Keeper.formatFields())
	}
	if s.OverShare != nil {
		fmt.Fprintf(writer, "last refusal for its share at %s %s: %s\n", s.OverShare.Stamp, s.OverShare.Source, s.OverShare.formatOverShare())
	}
	if s.Refusal == nil && s.Keeper == nil {
		fmt.Fprintln(writer, "none was refused for its limit in these lines")
	}
}

func formatCounts(of map[string]int) string {
	var parts []string
	for _, name := range sortedKeys(of) {
		parts = append(parts, fmt.Sprintf("%s %d", name, of[name]))
	}
	if len(parts) == 0 {
		return "no requests"
	}
	return strings.Join(parts, ", ")
}

func sortedKeys[V any](of map[string]V) []string {
	names := make([]string, 0, len(of))
	for name := range of {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}
