package informer

import (
	"slices"
	"strings"
	"time"

	"k8s.io/klog/v2"

	"cobaltramp.example/cobaltramp/internal/cluster/ports"
)

// operatorSink receives the keys that operators write.
type operatorSink Informer

// Reset implements relay.Sink.
func (s *operatorSink) Reset(values []ports.Value, _ int64) {
	retiring := map[string]bool{}
	for _, value := range values {
		if node, found := strings.CutPrefix(value.Key, s.Schema.RetirePrefix); found {
			retiring[node] = true
		}
		s.handleValue(value)
	}
	(*Informer)(s).setRetiring(retiring)
}

// Apply implements relay.Sink.
func (s *operatorSink) Apply(events []ports.WatchEvent, _ int64) {
	retiring := map[string]bool{}
	for _, node := range s.Directory.Retiring() {
		retiring[node] = true
	}
	for _, event := range events {
		if node, found := strings.CutPrefix(event.Value.Key, s.Schema.RetirePrefix); found {
			if event.Deleted {
				delete(retiring, node)
			} else {
				retiring[node] = true
			}
		}
		if !event.Deleted {
			s.handleValue(event.Value)
		}
	}
	(*Informer)(s).setRetiring(retiring)
}

func (s *operatorSink) handleValue(value ports.Value) {
	if value.Key == s.Schema.ConfigKey {
		(*Informer)(s).updateConfig(value.Value, value.Revision, "store")
	}
}

// setRetiring passes the nodes to retire to the directory. It logs them only if their
// number has changed.
func (i *Informer) setRetiring(retiring map[string]bool) {
	self := i.Directory.Self().NodeId
	if slices.Contains(i.Directory.Retiring(), self) && !retiring[self] {
		i.retirementWithdrawn.Store(true)
	}
	if len(retiring) != len(i.Directory.Retiring()) {
		klog.InfoS("list of nodes to retire changed", "nodes", retiring)
	}
	i.Directory.SetRetiring(retiring)
}

// updateConfig activates a configuration if it is valid and newer than the current one.
// source names the origin of the configuration for the log: "store" or a peer.
func (i *Informer) updateConfig(document []byte, revision int64, source string) {
	next, err := i.Schema.ParseConfig(document)
	if err != nil {
		klog.ErrorS(err, "configuration is invalid; the current one stays active", "revision", revision, "source", source)
		return
	}
	if i.Catalogs.UpdateIfNewer(next, document, revision, time.Now()) {
		klog.InfoS("configuration activated", "version", next.Version, "revision", revision, "routes", next.RouteCount(), "source", source)
	}
}
