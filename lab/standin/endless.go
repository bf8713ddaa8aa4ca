package standin

import (
	"fmt"
	"io"
	"net/http"
	"strings"
)

// EndlessForm is the form of bytes without end.
type EndlessForm string

const (
	// EndlessHead is a header field without end.
	EndlessHead EndlessForm = "head"
	// EndlessEvent is an event without end.
	EndlessEvent EndlessForm = "event"
	// EndlessEvents are large events without end, in order.
	EndlessEvents EndlessForm = "events"
)

// endlessPart is the size of the parts in which bytes without end are sent, and endlessEvent that of the
// events of EndlessEvents.
const (
	endlessPart  = 16 << 10
	endlessEvent = 200 << 10
)

// respondForever sends bytes until the node closes the connection.
func (r *Runner) respondForever(writer http.ResponseWriter, request *http.Request, form EndlessForm) {
	switch form {
	case EndlessHead:
		r.sendHeadForever(writer)
	case EndlessEvent:
		_, err := io.WriteString(writer, "id: 1\ndata: ")
		for err == nil && request.Context().Err() == nil {
			_, err = io.WriteString(writer, strings.Repeat("x", endlessPart))
		}
	case EndlessEvents:
		var err error
		for number := 1; err == nil && request.Context().Err() == nil; number++ {
			_, err = fmt.Fprintf(writer, "id: %d\ndata: %s\n\n", number, strings.Repeat("x", endlessEvent))
		}
	}
}

// sendHeadForever sends the head of a response without end.
func (r *Runner) sendHeadForever(writer http.ResponseWriter) {
	connection, _, err := http.NewResponseController(writer).Hijack()
	if err != nil {
		return
	}
	defer func() { _ = connection.Close() }()
	_, err = io.WriteString(connection, "HTTP/1.1 200 OK\r\nX-Field: ")
	for err == nil {
		_, err = io.WriteString(connection, strings.Repeat("x", endlessPart))
	}
}
