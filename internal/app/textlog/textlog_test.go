package textlog

import (
	"bytes"
	"errors"
	"os"
	"strings"
	"testing"

	"github.com/gravitational/trace"
	"github.com/matryer/is"
	"k8s.io/klog/v2"
)

// output is where the records of the tests are written.
var output bytes.Buffer

func TestMain(m *testing.M) {
	SetOutput(&output, 1)
	os.Exit(m.Run())
}

// written returns the records of an action without their headers, and requires that they name
// this file.
func written(t *testing.T, action func()) string {
	t.Helper()
	output.Reset()
	action()
	var records []string
	for line := range strings.Lines(output.String()) {
		header, record, found := strings.Cut(line, "] ")
		is.New(t).True(found)
		is.New(t).True(strings.Contains(header, "textlog_test.go:"))
		records = append(records, record)
	}
	return strings.Join(records, "")
}

var errRefused = errors.New("connection refused")

// An error that was wrapped must be logged as one line with its message, not as a stack trace
// without a message.
func TestWrappedErrorIsLoggedWithItsMessage(t *testing.T) {
	is := is.New(t)
	wrapped := trace.Wrap(errRefused, "store")
	is.Equal(written(t, func() { klog.InfoS("call failed", "err", wrapped, "attempt", 2) }),
		"\"call failed\" err=\"store: connection refused\" attempt=2\n")
	is.Equal(written(t, func() { klog.ErrorS(trace.Wrap(wrapped, "watch"), "stopped") }),
		"\"stopped\" err=\"watch: store: connection refused\"\n")
	is.Equal(written(t, func() { klog.InfoS("call failed", "err", errRefused) }), "\"call failed\" err=\"connection refused\"\n")
}

func TestRecordsWithoutErrors(t *testing.T) {
	is := is.New(t)
	is.Equal(written(t, func() { klog.InfoS("started", "node", "n1", "err", nil) }), "\"started\" node=\"n1\" err=null\n")
	is.Equal(written(t, func() { klog.ErrorS(nil, "stopped", "node", "n1") }), "\"stopped\" node=\"n1\"\n")
}

func TestVerbosityLimitsRecords(t *testing.T) {
	is := is.New(t)
	is.Equal(written(t, func() { klog.V(1).InfoS("detail") }), "\"detail\"\n")
	is.Equal(written(t, func() { klog.V(2).InfoS("more detail") }), "")
}
