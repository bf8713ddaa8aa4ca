// Package textlog makes klog write one line for each record to a writer, with errors as their
// messages on that line.
//
// Without it, klog writes errors of package trace as stack traces without their messages: they
// have a method String, which klog prefers to Error and which returns the stack trace.
package textlog

import (
	"errors"
	"flag"
	"fmt"
	"io"
	"slices"
	"strings"

	"github.com/go-logr/logr"
	"k8s.io/klog/v2"
	"k8s.io/klog/v2/textlogger"
)

// SetOutput makes klog write records of at most the given verbosity to a writer, each with one
// call of Write.
func SetOutput(writer io.Writer, verbosity int) {
	options := flag.NewFlagSet("klog", flag.ContinueOnError)
	klog.InitFlags(options)
	if err := options.Set("v", fmt.Sprint(verbosity)); err != nil {
		panic(err) // klog has this option, and the value is a number
	}
	config := textlogger.NewConfig(textlogger.Output(writer), textlogger.Verbosity(verbosity))
	klog.SetLogger(logr.New(&messageSink{textlogger.NewLogger(config).GetSink()}))
}

// OneLine returns the message of an error with its lines, which are its context and its cause,
// joined to one.
func OneLine(err error) string {
	lines := strings.Split(err.Error(), "\n")
	for i := range lines {
		lines[i] = strings.TrimSpace(lines[i])
	}
	return strings.Join(lines, ": ")
}

// messageSink is a sink that passes records on to another sink, with errors replaced by their
// messages.
type messageSink struct{ next logr.LogSink }

var _ logr.CallDepthLogSink = (*messageSink)(nil)

// Init implements logr.LogSink. The methods of messageSink add one call to the stack.
func (s *messageSink) Init(info logr.RuntimeInfo) {
	info.CallDepth++
	s.next.Init(info)
}

// Enabled implements logr.LogSink.
func (s *messageSink) Enabled(level int) bool { return s.next.Enabled(level) }

// Info implements logr.LogSink.
func (s *messageSink) Info(level int, message string, keysAndValues ...any) {
	s.next.Info(level, message, withMessages(keysAndValues)...)
}

// Error implements logr.LogSink.
func (s *messageSink) Error(err error, message string, keysAndValues ...any) {
	if err != nil {
		err = errors.New(OneLine(err))
	}
	s.next.Error(err, message, withMessages(keysAndValues)...)
}

// WithValues implements logr.LogSink.
func (s *messageSink) WithValues(keysAndValues ...any) logr.LogSink {
	return &messageSink{s.next.WithValues(withMessages(keysAndValues)...)}
}

// WithName implements logr.LogSink.
func (s *messageSink) WithName(name string) logr.LogSink {
	return &messageSink{s.next.WithName(name)}
}

// WithCallDepth implements logr.CallDepthLogSink.
func (s *messageSink) WithCallDepth(depth int) logr.LogSink {
	next, ok := s.next.(logr.CallDepthLogSink)
	if !ok {
		return s
	}
	return &messageSink{next.WithCallDepth(depth)}
}

// withMessages returns the keys and values with errors replaced by their messages. The given
// slice belongs to the caller, and stays as it is.
func withMessages(keysAndValues []any) []any {
	isError := func(value any) bool {
		_, ok := value.(error)
		return ok
	}
	if !slices.ContainsFunc(keysAndValues, isError) {
		return keysAndValues
	}
	replaced := slices.Clone(keysAndValues)
	for i, value := range replaced {
		if err, ok := value.(error); ok {
			replaced[i] = OneLine(err)
		}
	}
	return replaced
}
