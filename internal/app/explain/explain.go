// Package explain collects the story of one request, item or job from the log
// lines of many processes: who took it, every choice with what it rested on,
// every send and its outcome, how it ended, and what is missing from the record. It
// reads the log lines of an edge and a storage node, and relies on their message
// texts and keys. The command line runs it, no daemon does.
//
// Clocks of machines disagree: lines of one source keep their order, sources
// are merged by their time stamps, and the story names the source of each line.
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
	// Stamp is the time of day of the process, "15:04:05.000000".
	Stamp string
	// Message is the line's fixed text, Fields its values by name.
	Message string
	Fields  map[string]string
	order   int
}

var (
	linePattern  = regexp.MustCompile(`[IEWF]\d{4} (\d\d:\d\d:\d\d\.\d{6}) +\d+ \S+\] "([^"]*)"(.*)$`)
	fieldPattern = regexp.MustCompile(`([A-Za-z]+)=("(?:[^"\\]|\\.)*"|\S+)`)
	// sourcePattern finds the machine's name where lines of many are mixed.
	sourcePattern = regexp.MustCompile(`([a-z][a-z0-9-]*-\d+) [IEWF]\d{4} `)
)

// maxLineBytes bounds one line.
const maxLineBytes = 1 << 20

// Parse reads the lines of a source. Lines that are not structured are skipped.
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
	line := Line{Source: source, Stamp: found[1], Message: found[2], Fields: map[string]string{}}
	for _, field := range fieldPattern.FindAllStringSubmatch(found[3], -1) {
		line.Fields[field[1]] = strings.Trim(field[2], `"`)
	}
	return line, true
}

// idFields are the fields that name a request, an item or a job.
var idFields = []string{"id", "item", "job"}

func (l *Line) refersTo(id string) bool {
	for _, field := range idFields {
		if value := l.Fields[field]; value == id || id != "" && strings.HasSuffix(value, "/"+id) {
			return true // a job is named by its tenant and its own id
		}
	}
	return false
}

// Story is what the lines say of one id.
type Timeline struct {
	ID    string
	Lines []Line
	// Decisive is the line that made the end certain; nil if none did.
	Decisive *Line
	// Missing says what a whole record would have.
	Missing []string
}

// StoryOf collects the story of a request, item or job by its id.
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
	return timeline
}

// Messages that the story's end is read from.
const (
	messageAttempt        = "attempt"
	messageRequestEnded   = "request ended"
	messageRequestRefused = "request refused"
	// messageNotAdmitted is of a request beyond its tenant's limit.
	messageNotAdmitted        = "request not admitted"
	messageJobSubmitted       = "job handed in"
	messageSubmissionReceived = "job submission"
	messageItemEnded          = "item run ended"
	messageItemDecided        = "item decided"
	messageItemExpired        = "item given up"
	messageJobEnded           = "job end"
)

// decide finds the line that made the end certain: a refusal, the last attempt
// that was not tried again, the decision on an item, the end of a job.
func (s *Timeline) findDecisive() {
	for i := range s.Lines {
		line := &s.Lines[i]
		final := line.Message == messageRequestRefused || line.Message == messageNotAdmitted || line.Message == messageItemDecided || line.Message == messageItemExpired ||
			line.Message == messageJobEnded || line.Message == messageAttempt && line.Fields["again"] == "false"
		if final && s.Decisive == nil {
			s.Decisive = line
		}
	}
	if s.Decisive == nil {
		for i := range s.Lines {
			if m := s.Lines[i].Message; m == messageRequestEnded || m == messageJobSubmitted && s.Lines[i].Fields["err"] != "null" {
				s.Decisive = &s.Lines[i]
				return
			}
		}
	}
}

// findMissing names what a whole record of its kind would have.
func (s *Timeline) findMissing() {
	has := map[string]bool{}
	for _, line := range s.Lines {
		has[line.Message] = true
	}
	switch {
	case len(s.Lines) == 0:
		s.Missing = append(s.Missing, "any line with this id: the process that took it was killed, its lines were dropped, or it came nowhere")
	case has[messageAttempt] && !has[messageRequestEnded]:
		s.Missing = append(s.Missing, "the end of the request: the edge was stopped or killed before it")
	case has[messageRequestEnded] && !has[messageAttempt] && !has[messageNotAdmitted]:
		s.Missing = append(s.Missing, "an attempt: no runner was found to try")
	case has[messageJobSubmitted] && !has[messageSubmissionReceived]:
		s.Missing = append(s.Missing, "the storage node that answered the submission")
	case has[messageItemEnded] && !has[messageItemDecided]:
		s.Missing = append(s.Missing, "the decision on the item: it has no result yet, its job was ended, or another leader took over")
	}
}

// Print writes the story as text.
func (s *Timeline) Print(writer io.Writer) {
	fmt.Fprintf(writer, "%s: %d lines\n", s.ID, len(s.Lines))
	for i := range s.Lines {
		line := &s.Lines[i]
		mark := " "
		if line == s.Decisive {
			mark = "*"
		}
		fmt.Fprintf(writer, "%s %s %-24s %s%s\n", mark, line.Stamp, line.Source, line.Message, line.formatFields())
	}
	if s.Decisive != nil {
		fmt.Fprintf(writer, "made certain by (*): %s at %s%s\n", s.Decisive.Message, s.Decisive.Source, s.Decisive.formatFields())
	}
	for _, missing := range s.Missing {
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
