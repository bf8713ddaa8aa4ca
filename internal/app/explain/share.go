package explain

import "fmt"

// causeOverShare is the cause of a request that was refused because its tenant had more than
// its fair share of the slots.
const causeOverShare = "over its share of the slots"

// refusedOverShare reports whether the line is the end of a request with causeOverShare.
func (l *Line) refusedOverShare() bool {
	return l.Message == messageRequestEnded && l.Fields["cause"] == causeOverShare
}

// formatOverShare describes the tenant's share and use of the slots at that time.
func (l *Line) formatOverShare() string {
	return fmt.Sprintf("tenant %s was over its share: %s requests in flight, a share of %s slots",
		l.Fields["tenant"], l.Fields["tenantUse"], l.Fields["tenantShare"])
}

// overShare returns the end of the request if it was refused because its tenant was over its
// share; nil otherwise.
func (t *Timeline) overShare() *Line {
	for i := range t.Lines {
		if t.Lines[i].refusedOverShare() {
			return &t.Lines[i]
		}
	}
	return nil
}
