// Package asynclog writes log lines in the background from a bounded queue, so that requests
// never wait for the log. If the queue is full, lines are dropped and counted. The number of
// dropped lines is logged when the queue has room again. Each line ends with its number, which
// counts the lines of the process, so that a gap shows lines that were dropped or lost later.
package asynclog

import (
	"bytes"
	"fmt"
	"io"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"cobaltramp.example/cobaltramp/internal/app/tasks"
)

// maxQueuedLines is the capacity of the queue.
const maxQueuedLines = 4096

// Writer is an io.Writer whose Write never blocks.
type Writer struct {
	out      io.Writer
	lines    chan []byte
	numbered atomic.Uint64
	dropped  atomic.Uint64
	// reported is the number of dropped lines that was written last, by writeLines.
	reported   uint64
	background tasks.Group
	quit       chan struct{}
	// done is closed when writeLines returns; Close waits for it for up to closeTimeout.
	done chan struct{}
	once sync.Once
}

// New returns a writer that writes lines to out in the background.
func New(out io.Writer) *Writer {
	w := &Writer{out: out, lines: make(chan []byte, maxQueuedLines), quit: make(chan struct{}), done: make(chan struct{})}
	w.background.Go(w.writeLines)
	return w
}

// Write implements io.Writer. It adds a copy of the line to the queue, or drops the line if
// the queue is full.
func (w *Writer) Write(line []byte) (int, error) {
	numbered := withNumber(line, w.numbered.Add(1))
	select {
	case w.lines <- numbered:
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// numberKey precedes the number of a line. maxNumberBytes is the space for both.
const (
	numberKey      = " line="
	maxNumberBytes = len(numberKey) + 20
)

// withNumber returns a copy of a line with its number before the line feed at its end.
func withNumber(line []byte, number uint64) []byte {
	text, ended := bytes.CutSuffix(line, []byte("\n"))
	numbered := append(make([]byte, 0, len(line)+maxNumberBytes), text...)
	numbered = append(numbered, numberKey...)
	numbered = strconv.AppendUint(numbered, number, 10)
	if ended {
		numbered = append(numbered, '\n')
	}
	return numbered
}

// Dropped returns the number of lines dropped so far.
func (w *Writer) Dropped() uint64 { return w.dropped.Load() }

func (w *Writer) writeLines() {
	defer close(w.done)
	for {
		select {
		case line := <-w.lines:
			w.writeBatch(line)
			w.reportDropped()
		case <-w.quit:
			w.drain()
			w.reportDropped()
			return
		}
	}
}

// reportDropped writes the number of dropped lines if it has risen since the last report.
func (w *Writer) reportDropped() {
	if dropped := w.dropped.Load(); dropped > w.reported {
		fmt.Fprintf(w.out, "log lines dropped total=%d\n", dropped)
		w.reported = dropped
	}
}

// batchBytes is the size at which writeBatch stops adding lines to a batch.
const batchBytes = 32 << 10

// writeBatch writes a line and the queued lines after it in a single call.
func (w *Writer) writeBatch(line []byte) {
	buffer := line
	for len(buffer) < batchBytes {
		select {
		case next := <-w.lines:
			buffer = append(buffer, next...)
			continue
		default:
		}
		break
	}
	_, _ = w.out.Write(buffer) // the log itself fails, so the error cannot be reported
}

func (w *Writer) drain() {
	for {
		select {
		case line := <-w.lines:
			w.writeBatch(line)
		default:
			return
		}
	}
}

// closeTimeout is how long Close waits for an output that blocks.
const closeTimeout = time.Second

// Close writes the queued lines. It returns after closeTimeout even if they are not written.
func (w *Writer) Close() {
	w.once.Do(func() { close(w.quit) })
	select {
	case <-w.done:
	case <-time.After(closeTimeout):
	}
}
