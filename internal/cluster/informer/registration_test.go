package informer

import (
	"context"
	"testing"

	"github.com/matryer/is"

	"cobaltramp.example/cobaltramp/internal/cluster/ports"
)

// oneValueStore holds the value of one key and counts the writes.
type oneValueStore struct {
	StoreAPI
	value  ports.Value
	writes int
}

func (s *oneValueStore) Get(context.Context, string) (ports.Value, bool, error) {
	return s.value, s.value.Revision > 0, nil
}

func (s *oneValueStore) Commit(_ context.Context, conditions []ports.Condition, puts []ports.Put) (bool, error) {
	if conditions[0].Revision != s.value.Revision {
		return false, nil
	}
	s.writes++
	s.value = ports.Value{Key: puts[0].Key, Value: puts[0].Value, Revision: s.value.Revision + 1}
	return true, nil
}

// Each state of a retirement is written once, and an earlier state never replaces a later
// one. An unreadable report is overwritten.
func TestRetirementReportNeverGoesBack(t *testing.T) {
	is := is.New(t)
	store := &oneValueStore{}
	informer := New(Options{Store: store, Schema: &Schema{
		RetirementPrefix: "retired/",
		EncodeRetirement: func(done bool) ([]byte, error) {
			if done {
				return []byte("done"), nil
			}
			return []byte("begun"), nil
		},
		DecodeRetirement: func(report []byte) (done, known bool) {
			return string(report) == "done", string(report) == "done" || string(report) == "begun"
		},
	}})
	for _, step := range []struct {
		done   bool
		held   string
		writes int
	}{{false, "begun", 1}, {false, "begun", 1}, {true, "done", 2}, {true, "done", 2}, {false, "done", 2}} {
		informer.Report(context.Background(), "n", step.done)
		is.Equal(string(store.value.Value), step.held)
		is.Equal(store.writes, step.writes)
	}
	is.Equal(store.value.Key, "retired/n")
	store.value.Value = []byte("?")
	informer.Report(context.Background(), "n", false)
	is.Equal(string(store.value.Value), "begun")
}
