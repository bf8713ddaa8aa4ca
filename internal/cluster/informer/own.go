package informer

import (
	"encoding/json"
	"strings"

	"github.com/gravitational/trace"
	"k8s.io/klog/v2"

	wirev1 "cobaltramp.example/cobaltramp/api/wire/v1"
	"cobaltramp.example/cobaltramp/internal/cluster/ports"
	"cobaltramp.example/cobaltramp/internal/serving/quarantine"
)

// productSink receives the keys that this product writes: node records, the layout of the
// queues and the quarantine document.
type productSink Informer

// Reset implements relay.Sink.
func (s *productSink) Reset(values []ports.Value, _ int64) {
	s.handleValues(values)
}

// Apply implements relay.Sink.
func (s *productSink) Apply(events []ports.WatchEvent, _ int64) {
	var values []ports.Value
	for _, event := range events {
		if !event.Deleted {
			values = append(values, event.Value)
		}
	}
	s.handleValues(values)
}

func (s *productSink) handleValues(values []ports.Value) {
	var records []*wirev1.NodeRecord
	for _, value := range values {
		if record := s.handleValue(value); record != nil {
			records = append(records, record)
		}
	}
	s.Directory.PutAll(records, "store")
}

// handleValue passes the layout and the quarantine document to their owners. It returns
// the record if the value is a readable node record, and otherwise nil.
func (s *productSink) handleValue(value ports.Value) *wirev1.NodeRecord {
	switch {
	case s.Layouts.HasKey(value.Key):
		s.Layouts.UpdateIfNewer(value.Key, value.Value, value.Revision, "store")
	case value.Key == quarantine.DocumentKey:
		s.Quarantine.ReceiveDocument(value.Value, value.Revision)
	case strings.HasPrefix(value.Key, nodesPrefix):
		record := &wirev1.NodeRecord{}
		err := json.Unmarshal(value.Value, record)
		if node := strings.TrimPrefix(value.Key, nodesPrefix); err == nil && (node == "" || record.NodeId != node) {
			err = trace.BadParameter("the record is that of node %.80q", record.NodeId)
		}
		if err != nil {
			klog.ErrorS(err, "node record is unreadable", "key", value.Key)
			return nil
		}
		return record
	}
	return nil
}
