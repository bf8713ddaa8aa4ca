package asynclog

import (
	"strings"
	"sync"
	"testing"

	"github.com/matryer/is"
)

// blockedOutput is an output that accepts nothing until it is opened.
type blockedOutput struct {
	open chan struct{}

	mutex   sync.Mutex
	written strings.Builder
}

func (o *blockedOutput) Write(data []byte) (int, error) {
	<-o.open
	o.mutex.Lock()
	defer o.mutex.Unlock()
	return o.written.Write(data)
}

// The numbers of the lines must show which lines are missing: dropped lines are numbered too.
func TestNumbersShowDroppedLines(t *testing.T) {
	is := is.New(t)
	output := &blockedOutput{open: make(chan struct{})}
	writer := New(output)
	for writer.Dropped() < 3 {
		_, _ = writer.Write([]byte("full\n"))
	}
	written := writer.numbered.Load() - 3
	close(output.open)
	writer.Close()
	lines := strings.Split(strings.TrimSpace(output.written.String()), "\n")
	is.Equal(uint64(len(lines)), written+1) // and the line with the number of dropped lines
	is.Equal(lines[0], "full line=1")
	is.Equal(strings.Count(output.written.String(), "log lines dropped total=3"), 1)
}

// Lines that were dropped right before the end must be reported too.
func TestDroppedLinesAreReportedAtTheEnd(t *testing.T) {
	is := is.New(t)
	output := &blockedOutput{open: make(chan struct{})}
	close(output.open)
	writer := &Writer{out: output, lines: make(chan []byte, 1), quit: make(chan struct{}), done: make(chan struct{})}
	_, _ = writer.Write([]byte("kept\n"))
	_, _ = writer.Write([]byte("dropped\n"))
	close(writer.quit)
	writer.drain()
	writer.writeLines()
	is.Equal(output.written.String(), "kept line=1\nlog lines dropped total=1\n")
}

// A line without an end, as of a panic, must be numbered and kept as it is otherwise.
func TestLineIsNumberedBeforeItsEnd(t *testing.T) {
	is := is.New(t)
	is.Equal(string(withNumber([]byte("a b\n"), 12)), "a b line=12\n")
	is.Equal(string(withNumber([]byte("a b"), 12)), "a b line=12")
}
