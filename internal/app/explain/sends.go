package explain

import (
	"fmt"
	"strconv"
)

// processKey identifies a process.
type processKey struct{ source, process string }

func (l *Line) processKey() processKey { return processKey{l.Source, l.Process} }

// processLog is what the log of a process shows of its end.
type processLog struct {
	last Line
	// lines is the number of numbered lines, and highest the highest number.
	lines, highest uint64
	// successor is the first line of the next process of the same source; nil if there is none.
	successor *Line
}

// fieldLineNumber is the key of the number of a line in its process.
const fieldLineNumber = "line"

// processLogOf returns what the lines show of a process.
func processLogOf(key processKey, lines []Line) *processLog {
	log := &processLog{}
	for i := range lines {
		line := &lines[i]
		if line.processKey() == key {
			log.add(line)
			continue
		}
		began := line.Source == key.source && line.Message == messageStarted
		if began && log.last.Source != "" && log.successor == nil {
			log.successor = line
		}
	}
	return log
}

func (p *processLog) add(line *Line) {
	p.last = *line
	number, err := strconv.ParseUint(line.Fields[fieldLineNumber], 10, 64)
	if err != nil {
		return // a line of a process that numbers none
	}
	p.lines++
	p.highest = max(p.highest, number)
}

// String describes the end of the log of the process.
func (p *processLog) String() string {
	text := fmt.Sprintf("its last line is of %s", p.last.Stamp)
	if lost := p.highest - p.lines; lost > 0 {
		text += fmt.Sprintf(", %d of its lines are missing", lost)
	}
	if p.successor != nil {
		text += fmt.Sprintf(", the next process (%s) started at %s", p.successor.Process, p.successor.Stamp)
	}
	return text
}

// findUnanswered describes, in Missing, the requests that a process was about to write, and of which
// it logged nothing afterwards.
func (t *Timeline) findUnanswered(lines []Line) {
	for i := range t.Lines {
		sent := &t.Lines[i]
		if sent.Message != messageSending || t.hasOutcome(sent, t.Lines[i+1:]) {
			continue
		}
		t.Missing = append(t.Missing, fmt.Sprintf("what runner %s answered on connection %s: process %s of %s logged nothing after it wrote the request; %v",
			sent.Fields["runner"], sent.Fields["connection"], sent.Process, sent.Source, processLogOf(sent.processKey(), lines)))
	}
}

// hasOutcome reports whether one of the lines states what became of a request that was sent.
func (t *Timeline) hasOutcome(sent *Line, later []Line) bool {
	for i := range later {
		line := &later[i]
		if line.processKey() != sent.processKey() || line.Fields["runner"] != sent.Fields["runner"] {
			continue
		}
		switch line.Message {
		case messageResponded, messageRefused, messageNoResponse, messageAttempt, messageItemEnded:
			return true
		}
	}
	return false
}
