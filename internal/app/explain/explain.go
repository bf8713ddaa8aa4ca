// Package explain builds a timeline of one request, item or job from the log lines of
// many processes. The timeline shows which process accepted it, each scheduling decision
// with its inputs, each attempt with its outcome, the final outcome, and which expected
// lines are missing. The package parses the logs of edges and storage nodes and depends
// on their message texts and keys. Only the command line uses it.
//
// The clocks of machines differ. The lines of one source keep their order, the lines of
// different sources are merged by their time stamps, and each line is printed with its
// source.
package explain

import (
	"bufio"
	"fmt"
	"io"
	"regexp"
	"sort"
	"strings"
)

// Line is one structured log line.
type Line struct {
	Source string
	// Process is the id of the process.
	Process string
	// Stamp is the time of day by the process's clock, "15:04:05.000000".
	Stamp string
	// Message is the constant text of the line, Fields are its values by key.
	Message string
	Fields  map[string]string
	order   int
}

var (
	linePattern  = regexp.MustCompile(`[IEWF]\d{4} (\d\d:\d\d:\d\d\.\d{6}) +(\d+) \S+\] "([^"]*)"(.*)$`)
	fieldPattern = regexp.MustCompile(`([A-Za-z]+)=("(?:[^"\\]|\\.)*"|\S+)`)
	// sourcePattern matches the machine's name in a log that mixes several machines.
	sourcePattern = regexp.MustCompile(`([a-z][a-z0-9-]*-\d+) [IEWF]\d{4} `)
)

// maxLineBytes is the maximum length of a log line.
const maxLineBytes = 1 << 20

// Parse reads the structured lines of a source and skips all other lines.
func Parse(source string, reader io.Reader) ([]Line, error) {
	var lines []Line
	scanner := bufio.NewScanner(reader)
	scanner.Buffer(make([]byte, 64<<10), maxLineBytes)
	for scanner.Scan() {
		if line, ok := parseLine(source, scanner.Text()); ok {
			line.order = len(lines)
			lines = append(lines, line)
		}
	}
	return lines, scanner.Err()
}

func parseLine(source, text string) (Line, bool) {
	found := linePattern.FindStringSubmatch(text)
	if found == nil {
		return Line{}, false
	}
	if mixed := sourcePattern.FindStringSubmatch(text); mixed != nil {
		source = mixed[1]
	}
	line := Line{Source: source, Stamp: found[1], Process: found[2], Message: found[3], Fields: map[string]string{}}
	for _, field := range fieldPattern.FindAllStringSubmatch(found[4], -1) {
		line.Fields[field[1]] = strings.Trim(field[2], `"`)
	}
	return line, true
}

// idFields are the keys of the fields that identify a request, an item or a job, or the attempt
// that a request resumes.
var idFields = []string{"id", "item", "job", "resumes"}

func (l *Line) refersTo(id string) bool {
	for _, field := range idFields {
		if value := l.Fields[field]; value == id || id != "" && strings.HasSuffix(value, "/"+id) {
			return true // jobs are logged as tenant/id
		}
	}
	return false
}

// Timeline contains the log lines about one request, item or job.
type Timeline struct {
	ID    string
	Lines []Line
	// Decisive is the line that determined the final outcome; nil if there is none.
	Decisive *Line
	// Missing describes the lines that a complete log would contain.
	Missing []string
	// Forwarded describes the lines for which answers of storage nodes arrived through peers.
	Forwarded []string
	// Outages describes the calls that no member of a queue shard answered as its leader.
	Outages []string
	// Parts describes the parts of a text, each with the software version that wrote it, and
	// MixedVersions is set if several versions did.
	Parts         []string
	MixedVersions bool
}

// TimelineOf builds the timeline of the request, item or job with the given id.
func TimelineOf(id string, lines []Line) *Timeline {
	timeline := &Timeline{ID: id}
	for _, line := range lines {
		if line.refersTo(id) {
			timeline.Lines = append(timeline.Lines, line)
		}
	}
	sort.SliceStable(timeline.Lines, func(i, j int) bool {
		a, b := &timeline.Lines[i], &timeline.Lines[j]
		if a.Source == b.Source {
			return a.order < b.order
		}
		return a.Stamp < b.Stamp
	})
	timeline.findDecisive()
	timeline.findMissing()
	timeline.findForwarded()
	timeline.findOutages()
	timeline.findUnanswered(lines)
	timeline.findParts()
	return timeline
}

// fieldForwardedBy is the key of the addresses of the peers through which the answers of
// storage nodes arrived; its value is empty if all arrived directly. A direct path may have
// been broken, or only slower than the peer.
const fieldForwardedBy = "forwardedBy"

// findForwarded sets Forwarded.
func (t *Timeline) findForwarded() {
	for _, line := range t.Lines {
		if peers := line.Fields[fieldForwardedBy]; peers != "" {
			t.Forwarded = append(t.Forwarded, fmt.Sprintf("%s at %s: %s was answered by a storage node through %s",
				line.Message, line.Stamp, line.Source, peers))
		}
	}
}

// Log messages from which Timeline determines the final outcome and the missing lines.
const (
	messageSending        = "sending request"
	messageResponded      = "runner responded"
	messageRefused        = "runner refused a request"
	messageNoResponse     = "no response from runner"
	messageStarted        = "started"
	messageAttempt        = "attempt"
	messageRequestEnded   = "request ended"
	messageRequestRefused = "request refused"
	// messageNotAdmitted is logged for a request that exceeds its tenant's limit.
	messageNotAdmitted        = "request not admitted"
	messageJobSubmitted       = "job submission ended"
	messageSubmissionReceived = "job submission processed"
	messageItemEnded          = "item run ended"
	messageItemDecided        = "item decided"
	messageItemExpired        = "item expired"
	messageJobEnded           = "job end"
)

// findDecisive finds the first line that determines the final outcome: a refusal, an
// attempt that is not retried, the result of an item, or the end of a job. Without such
// a line, it takes the first end of a request or failed submission of a job.
func (t *Timeline) findDecisive() {
	for i := range t.Lines {
		line := &t.Lines[i]
		final := line.Message == messageRequestRefused || line.Message == messageNotAdmitted || line.Message == messageItemDecided || line.Message == messageItemExpired ||
			line.Message == messageJobEnded || line.Message == messageAttempt && line.Fields["again"] == "false"
		if final && t.Decisive == nil {
			t.Decisive = line
		}
	}
	if t.Decisive == nil {
		for i := range t.Lines {
			if m := t.Lines[i].Message; m == messageRequestEnded || m == messageJobSubmitted && t.Lines[i].Fields["err"] != "null" {
				t.Decisive = &t.Lines[i]
				return
			}
		}
	}
}

// findMissing describes the lines that are missing from the log.
func (t *Timeline) findMissing() {
	has := map[string]bool{}
	for _, line := range t.Lines {
		has[line.Message] = true
	}
	switch {
	case len(t.Lines) == 0:
		t.Missing = append(t.Missing, "any line with this id: the process that took it was killed, its lines were dropped, or it came nowhere")
	case has[messageAttempt] && !has[messageRequestEnded]:
		t.Missing = append(t.Missing, "the end of the request: the edge was stopped or killed before it")
	case has[messageRequestEnded] && !has[messageAttempt] && !has[messageNotAdmitted] && t.overShare() == nil:
		t.Missing = append(t.Missing, "an attempt: no runner was found to try")
	case has[messageJobSubmitted] && !has[messageSubmissionReceived]:
		t.Missing = append(t.Missing, "the storage node that answered the submission")
	case has[messageItemEnded] && !has[messageItemDecided]:
		t.Missing = append(t.Missing, "the decision on the item: it has no result yet, its job was ended, or another leader took over")
	}
}

// Print writes the timeline as text.
func (t *Timeline) Print(writer io.Writer) {
	fmt.Fprintf(writer, "%s: %d lines\n", t.ID, len(t.Lines))
	for i := range t.Lines {
		line := &t.Lines[i]
		mark := " "
		if line == t.Decisive {
			mark = "*"
		}
		fmt.Fprintf(writer, "%s %s %-24s %s%s\n", mark, line.Stamp, line.Source, line.Message, line.formatFields())
	}
	if t.Decisive != nil {
		fmt.Fprintf(writer, "made certain by (*): %s at %s%s\n", t.Decisive.Message, t.Decisive.Source, t.Decisive.formatFields())
	}
	for _, forwarded := range t.Forwarded {
		fmt.Fprintf(writer, "forwarded: %s\n", forwarded)
	}
	for _, outage := range t.Outages {
		fmt.Fprintf(writer, "shard without a leader: %s\n", outage)
	}
	for _, part := range t.Parts {
		fmt.Fprintf(writer, "text: %s\n", part)
	}
	if t.MixedVersions {
		fmt.Fprintln(writer, "text of several software versions: the lines \"origin of a resumed stream\" above state what proved the version")
	}
	if line := t.overShare(); line != nil {
		fmt.Fprintf(writer, "not run: %s\n", line.formatOverShare())
	}
	for _, missing := range t.Missing {
		fmt.Fprintf(writer, "missing: %s\n", missing)
	}
}

func (l *Line) formatFields() string {
	names := make([]string, 0, len(l.Fields))
	for name := range l.Fields {
		names = append(names, name)
	}
	sort.Strings(names)
	var text strings.Builder
	for _, name := range names {
		fmt.Fprintf(&text, " %s=%s", name, l.Fields[name])
	}
	return text.String()
}
