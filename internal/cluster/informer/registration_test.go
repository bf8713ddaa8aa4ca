package informer

import (
	"context"
	"testing"

	"github.com/matryer/is"

	wirev1 "cobaltramp.example/cobaltramp/api/wire/v1"
	"cobaltramp.example/cobaltramp/internal/cluster/peers"
	"cobaltramp.example/cobaltramp/internal/cluster/ports"
)

// valueStore holds values in memory and counts the writes.
type valueStore struct {
	StoreAPI
	values   map[string]ports.Value
	revision int64
	writes   int
}

func (s *valueStore) Get(_ context.Context, key string) (ports.Value, bool, error) {
	value, found := s.values[key]
	return value, found, nil
}

func (s *valueStore) Commit(_ context.Context, conditions []ports.Condition, puts []ports.Put) (bool, error) {
	for _, condition := range conditions {
		if condition.Revision != s.values[condition.Key].Revision {
			return false, nil
		}
	}
	s.writes++
	for _, put := range puts {
		s.put(put.Key, string(put.Value))
	}
	return true, nil
}

func (s *valueStore) put(key, value string) {
	s.revision++
	s.values[key] = ports.Value{Key: key, Value: []byte(value), Revision: s.revision}
}

const (
	testRequestKey = "retire/n"
	testReportKey  = "retired/n"
)

// newRetirementInformer returns an informer of the node n, whose retirement is requested, and its store.
func newRetirementInformer() (*Informer, *valueStore) {
	store := &valueStore{values: map[string]ports.Value{}}
	store.put(testRequestKey, "request")
	directory := peers.NewDirectory(&wirev1.NodeRecord{NodeId: "n", DiskId: "disk", Incarnation: 1})
	return New(Options{Store: store, Directory: directory, Schema: &Schema{
		RetirePrefix: "retire/", RetirementPrefix: "retired/",
		EncodeRetirement: func(done bool) ([]byte, error) {
			if done {
				return []byte("done"), nil
			}
			return []byte("begun"), nil
		},
		DecodeRetirement: func(report []byte) (done, known bool) {
			return string(report) == "done", string(report) == "done" || string(report) == "begun"
		},
	}}), store
}

// Each state of a retirement is written once, and an earlier state never replaces a later
// one. An unreadable report is overwritten.
func TestRetirementReportNeverGoesBack(t *testing.T) {
	is := is.New(t)
	informer, store := newRetirementInformer()
	for _, step := range []struct {
		done   bool
		held   string
		writes int
	}{{false, "begun", 1}, {false, "begun", 1}, {true, "done", 2}, {true, "done", 2}, {false, "done", 2}} {
		informer.Report(context.Background(), "n", step.done)
		is.Equal(string(store.values[testReportKey].Value), step.held)
		is.Equal(store.writes, step.writes)
	}
	store.put(testReportKey, "?")
	informer.Report(context.Background(), "n", false)
	is.Equal(string(store.values[testReportKey].Value), "begun")
}

// TestNodeTakesBackTheReportOfAnEarlierRetirement guards against a second retirement under the same name that
// is over at once (LOST, review/7): the machine is removed although it holds replicas. A node that starts, or
// whose retirement is withdrawn, takes the report back, and no leader writes one without a request.
func TestNodeTakesBackTheReportOfAnEarlierRetirement(t *testing.T) {
	for _, test := range []struct{ held, want string }{{"done", "begun"}, {"begun", "begun"}, {"?", "?"}, {"", ""}} {
		t.Run(test.held, func(t *testing.T) {
			is := is.New(t)
			informer, store := newRetirementInformer()
			if test.held != "" {
				store.put(testReportKey, test.held)
			}
			is.True(informer.writeRecord(t.Context(), informer.Directory.Self()))
			is.Equal(string(store.values[testReportKey].Value), test.want)
			is.True(len(store.values[nodesPrefix+"n"].Value) > 0)
		})
	}
}

// A leader that does not know yet that a request was withdrawn reports nothing.
func TestRetirementWithoutRequestIsNotReported(t *testing.T) {
	is := is.New(t)
	informer, store := newRetirementInformer()
	delete(store.values, testRequestKey)
	informer.Report(t.Context(), "n", true)
	is.Equal(store.writes, 0)
}

// A withdrawn request makes the node write its record again, which takes back the report.
func TestWithdrawnRetirementIsNoticed(t *testing.T) {
	is := is.New(t)
	informer, _ := newRetirementInformer()
	informer.setRetiring(map[string]bool{"n": true, "other": true})
	informer.setRetiring(map[string]bool{"n": true})
	is.True(!informer.retirementWithdrawn.Load()) // another node's request was withdrawn
	informer.setRetiring(map[string]bool{})
	is.True(informer.retirementWithdrawn.Load())
}
