package informer

import (
	"strings"
	"time"

	"cobaltramp.example/cobaltramp/internal/cluster/ports"
	"cobaltramp.example/cobaltramp/internal/cluster/subset"
	"cobaltramp.example/cobaltramp/internal/configuration/catalog"
	"cobaltramp.example/cobaltramp/internal/serving/runnerset"
)

// Schema describes the keys and encodings of the documents that operators and runners
// write to the platform's store. The adapter to the platform provides it.
type Schema struct {
	// OperatorPrefix is the prefix of all keys that operators write. ConfigKey is the key
	// of the configuration, and RetirePrefix is the prefix of the keys that name the
	// nodes to retire; both are under OperatorPrefix.
	OperatorPrefix string
	ConfigKey      string
	RetirePrefix   string
	// RetirementPrefix is the prefix of the keys under which nodes write the progress of
	// retirements for operators to read.
	RetirementPrefix string
	// RunnersPrefix is the prefix of the keys of the runners' entries; the rest of a key
	// is the runner's id.
	RunnersPrefix string

	// ParseConfig decodes a configuration. It returns an error if the configuration is
	// invalid.
	ParseConfig func(document []byte) (*catalog.Catalog, error)
	// ParseRunner decodes the entry of the runner with the given id, read at now. It
	// returns an error if the entry names no usable runner.
	ParseRunner func(id string, entry []byte, now time.Time) (runnerset.Record, error)
	// EncodeRetirement and DecodeRetirement convert the report of a retirement's
	// progress; done is true if the retirement is complete. readable is false if the report
	// can't be decoded.
	EncodeRetirement func(done bool) ([]byte, error)
	DecodeRetirement func(report []byte) (done, readable bool)
}

// Key prefixes. allKeys matches every key, and productPrefix matches the keys that this
// product writes.
const (
	allKeys       = ""
	productPrefix = "cobaltramp/"
	nodesPrefix   = productPrefix + "nodes/"
)

// parseRunner decodes a runner's entry. It returns an error if the entry is unreadable; the
// entry then names no runner.
func (s *Schema) parseRunner(value ports.Value, now time.Time) (runnerset.Record, error) {
	return s.ParseRunner(strings.TrimPrefix(value.Key, s.RunnersPrefix), value.Value, now)
}

// Classify implements relay.Classifier. isRunner is false if the value is under another
// prefix or is an unreadable entry.
func (s *Schema) Classify(value ports.Value) (id string, serviceZone subset.ServiceZone, isRunner bool) {
	if !strings.HasPrefix(value.Key, s.RunnersPrefix) {
		return "", subset.ServiceZone{}, false
	}
	record, err := s.parseRunner(value, time.Time{})
	return record.ID, subset.ServiceZone{Service: record.Service, Zone: record.Zone}, err == nil
}
