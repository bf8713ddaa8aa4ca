package informer

import (
	"strings"

	"cobaltramp.example/cobaltramp/internal/cluster/ports"
	"cobaltramp.example/cobaltramp/internal/cluster/relay"
)

// storeSink passes the contents of the store to the owners of its parts.
type storeSink Informer

var _ relay.SelectiveSink = (*storeSink)(nil)

// Reset implements relay.Sink.
func (s *storeSink) Reset(values []ports.Value, revision int64) { s.sinks().Reset(values, revision) }

// Apply implements relay.Sink.
func (s *storeSink) Apply(events []ports.WatchEvent, revision int64) {
	s.sinks().Apply(events, revision)
}

// Select implements relay.SelectiveSink.
func (s *storeSink) Select(selection relay.Selection, revision int64) {
	s.sinks().Select(selection, revision)
}

// sinks returns the owners of the parts. The mirror receives every key.
func (s *storeSink) sinks() sinksByPrefix {
	sinks := sinksByPrefix{
		{s.Schema.OperatorPrefix, (*operatorSink)(s)}, {s.Schema.RunnersPrefix, s.runners}, {productPrefix, (*productSink)(s)},
	}
	if s.Mirror != nil {
		sinks = append(sinks, prefixSink{allKeys, s.Mirror})
	}
	return sinks
}

// sinksByPrefix distributes the results of one watch to several sinks by key prefix, so
// that a node needs only one watch. Reset calls every sink, Apply calls a sink only if a
// change has the sink's prefix, and Select calls every selective sink.
type sinksByPrefix []prefixSink

type prefixSink struct {
	prefix string
	sink   relay.Sink
}

var _ relay.SelectiveSink = sinksByPrefix(nil)

// Reset implements relay.Sink.
func (s sinksByPrefix) Reset(values []ports.Value, revision int64) {
	for _, target := range s {
		var matching []ports.Value
		for _, value := range values {
			if strings.HasPrefix(value.Key, target.prefix) {
				matching = append(matching, value)
			}
		}
		target.sink.Reset(matching, revision)
	}
}

// Apply implements relay.Sink.
func (s sinksByPrefix) Apply(events []ports.WatchEvent, revision int64) {
	for _, target := range s {
		var matching []ports.WatchEvent
		for _, event := range events {
			if strings.HasPrefix(event.Value.Key, target.prefix) {
				matching = append(matching, event)
			}
		}
		if len(matching) > 0 {
			target.sink.Apply(matching, revision)
		}
	}
}

// Select implements relay.SelectiveSink.
func (s sinksByPrefix) Select(selection relay.Selection, revision int64) {
	for _, target := range s {
		if selective, isSelective := target.sink.(relay.SelectiveSink); isSelective {
			selective.Select(selection, revision)
		}
	}
}
