package explain

import (
	"fmt"
	"slices"
	"strconv"
)

// textPart is a part of a text that one run wrote: the events after one and up to another.
type textPart struct {
	line *Line
	// after and last are the IDs of the events before and at the end of the part; last is 0 if
	// the process that read the events did not log it.
	after, last int64
	version     string
}

// findParts sets Parts and MixedVersions from the lines about a stream or an item.
func (t *Timeline) findParts() {
	var versions []string
	for i := range t.Lines {
		part, found := t.partOf(i)
		if !found {
			continue
		}
		t.Parts = append(t.Parts, part.String())
		if !slices.Contains(versions, part.version) {
			versions = append(versions, part.version)
		}
	}
	t.MixedVersions = len(versions) > 1
}

// partOf returns the part of a text of which a line states the version; found is false if there is
// none.
func (t *Timeline) partOf(index int) (part textPart, found bool) {
	line := &t.Lines[index]
	part = textPart{line: line, version: line.Fields["version"]}
	switch line.Message {
	case messageItemEnded:
		part.after, part.last = line.number("from"), line.number("to")
	case messageAttempt:
		part.after, part.last = line.number("from"), line.number("after")
	case messageSending:
		part.after = max(0, line.number("after"))
		return part, part.version != "" && !t.endLogged(index)
	default:
		return textPart{}, false
	}
	return part, part.version != "" && part.last > part.after
}

// endLogged reports whether the process that sent a request has logged the end of the attempt.
func (t *Timeline) endLogged(sent int) bool {
	return slices.ContainsFunc(t.Lines[sent+1:], func(line Line) bool {
		ended := line.Message == messageAttempt || line.Message == messageItemEnded || line.Message == messageNoResponse || line.Message == messageRefused
		return ended && line.processKey() == t.Lines[sent].processKey() && line.Fields["runner"] == t.Lines[sent].Fields["runner"]
	})
}

// number returns the value of a field; 0 if it is not a number.
func (l *Line) number(field string) int64 {
	value, err := strconv.ParseInt(l.Fields[field], 10, 64)
	if err != nil {
		return 0
	}
	return value
}

func (p *textPart) String() string {
	events := fmt.Sprintf("events %d to %d", p.after+1, p.last)
	if p.last == 0 {
		events = fmt.Sprintf("events from %d on, whose end was not logged,", p.after+1)
	}
	return fmt.Sprintf("%s are of version %s, by runner %s through %s (line %q at %s)",
		events, p.version, p.line.Fields["runner"], p.line.Source, p.line.Message, p.line.Stamp)
}
