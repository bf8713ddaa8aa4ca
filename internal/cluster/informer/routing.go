package informer

import (
	"strings"

	"cobaltramp.example/cobaltramp/internal/cluster/ports"
	"cobaltramp.example/cobaltramp/internal/cluster/relay"
)

// sinksByPrefix distributes the results of one watch to several sinks by key prefix, so
// that a node needs only one watch. Apply calls a sink only if a change has the sink's
// prefix.
type sinksByPrefix []prefixSink

type prefixSink struct {
	prefix string
	sink   relay.Sink
}

var _ relay.SelectiveSink = sinksByPrefix(nil)

// Reset implements relay.Sink.
func (s sinksByPrefix) Reset(values []ports.Value, revision int64) {
	for _, part := range s {
		var own []ports.Value
		for _, value := range values {
			if strings.HasPrefix(value.Key, part.prefix) {
				own = append(own, value)
			}
		}
		part.sink.Reset(own, revision)
	}
}

// Apply implements relay.Sink.
func (s sinksByPrefix) Apply(events []ports.WatchEvent, revision int64) {
	for _, part := range s {
		var own []ports.WatchEvent
		for _, event := range events {
			if strings.HasPrefix(event.Value.Key, part.prefix) {
				own = append(own, event)
			}
		}
		if len(own) > 0 {
			part.sink.Apply(own, revision)
		}
	}
}

// Select implements relay.SelectiveSink.
func (s sinksByPrefix) Select(selection relay.Selection, revision int64) {
	for _, part := range s {
		if selective, takes := part.sink.(relay.SelectiveSink); takes {
			selective.Select(selection, revision)
		}
	}
}
