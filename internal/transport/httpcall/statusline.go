package httpcall

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net/http"
	"regexp"
	"strconv"
)

// statusLinePattern is the form of a status line (RFC 9112, 4) of the versions that the client reads, with
// the status. The space before an empty reason phrase may be missing.
var statusLinePattern = regexp.MustCompile(`^HTTP/1\.[01] ([1-5][0-9][0-9])(?: .*)?$`)

// maxReportedStatusLine is the number of bytes of a status line that its error shows.
const maxReportedStatusLine = 64

// StatusLineError is the cause of a NoResponseError if the server sent bytes that do not begin a response.
type StatusLineError struct{ Line string }

// Error implements error.
func (e *StatusLineError) Error() string { return fmt.Sprintf("%q is not a status line", e.Line) }

// checkStatusLine waits for the status line of the next response, without consuming it, and returns a
// *StatusLineError unless it is valid. The codec of fasthttp takes more for a status line, and reads the
// status 000 as 200.
func checkStatusLine(reader *bufio.Reader) error {
	line, err := peekLine(reader)
	if err != nil {
		return err
	}
	parts := statusLinePattern.FindSubmatch(line)
	if parts == nil || string(parts[1]) == strconv.Itoa(http.StatusSwitchingProtocols) { // no request asks for another protocol
		return &StatusLineError{string(line[:min(len(line), maxReportedStatusLine)])}
	}
	return nil
}

// peekLine returns the next line that is not empty, without its end. Servers may send empty lines before a
// status line.
func peekLine(reader *bufio.Reader) ([]byte, error) {
	for size := 1; ; size = reader.Buffered() + 1 {
		if _, err := reader.Peek(size); err != nil {
			return nil, lineError(reader, err)
		}
		buffered, _ := reader.Peek(reader.Buffered()) // these bytes are there
		line, _, complete := bytes.Cut(bytes.TrimLeft(buffered, "\r\n"), []byte("\n"))
		if complete {
			return bytes.TrimSuffix(line, []byte("\r")), nil
		}
	}
}

// lineError returns the error of a connection that ended before the end of a line.
func lineError(reader *bufio.Reader, err error) error {
	if err == io.EOF && reader.Buffered() > 0 {
		return io.ErrUnexpectedEOF
	}
	return err
}
