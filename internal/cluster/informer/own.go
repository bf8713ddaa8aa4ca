package informer

import (
	"encoding/json"
	"strings"

	"k8s.io/klog/v2"

	wirev1 "cobaltramp.example/cobaltramp/api/wire/v1"
	"cobaltramp.example/cobaltramp/internal/cluster/ports"
	"cobaltramp.example/cobaltramp/internal/serving/quarantine"
)

// ownSink takes the product's own keys: node records and the layout.
type ownSink Informer

// Reset implements relay.Sink.
func (s *ownSink) Reset(values []ports.Value, _ int64) {
	s.takeAll(values)
}

// Apply implements relay.Sink.
func (s *ownSink) Apply(events []ports.WatchEvent, _ int64) {
	var values []ports.Value
	for _, event := range events {
		if !event.Deleted {
			values = append(values, event.Value)
		}
	}
	s.takeAll(values)
}

func (s *ownSink) takeAll(values []ports.Value) {
	var records []*wirev1.NodeRecord
	for _, value := range values {
		if record := s.take(value); record != nil {
			records = append(records, record)
		}
	}
	s.Directory.PutAll(records, "store")
}

// take takes a value; it returns a node's record instead.
func (s *ownSink) take(value ports.Value) *wirev1.NodeRecord {
	switch {
	case s.Layouts.HasKey(value.Key):
		s.Layouts.UpdateIfNewer(value.Key, value.Value, value.Revision, "store")
	case value.Key == quarantine.DocumentKey:
		s.Quarantine.ReceiveDocument(value.Value, value.Revision)
	case strings.HasPrefix(value.Key, nodesPrefix):
		record := &wirev1.NodeRecord{}
		if err := json.Unmarshal(value.Value, record); err != nil || record.NodeId == "" {
			klog.ErrorS(err, "node record is unreadable", "key", value.Key)
			return nil
		}
		return record
	}
	return nil
}
