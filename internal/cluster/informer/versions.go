package informer

import (
	"time"

	"google.golang.org/protobuf/proto"
	"k8s.io/klog/v2"

	wirev1 "cobaltramp.example/cobaltramp/api/wire/v1"
	"cobaltramp.example/cobaltramp/internal/cluster/ports"
	"cobaltramp.example/cobaltramp/internal/cluster/relay"
)

// versionsKey is the key of the software versions in the disk cache.
const versionsKey = "kept/versions"

// versionsDocument is the document with the software versions that this node has lately listed.
// With it, a node that has lost power knows whether a service had only one version before.
func (i *Informer) versionsDocument() relay.ExtraDocument {
	return relay.ExtraDocument{Key: versionsKey, Encode: i.encodeVersions, Restore: i.restoreVersions}
}

func (i *Informer) encodeVersions() []byte {
	stored := &wirev1.StoredSoftwareVersions{}
	for service, versions := range i.Runners.Versions().Recent() {
		stored.Services = append(stored.Services, &wirev1.StoredServiceVersions{Service: service, SoftwareVersions: versions})
	}
	encoded, err := proto.Marshal(stored)
	if err != nil {
		klog.ErrorS(err, "software versions can't be encoded for the disk cache")
	}
	return encoded
}

func (i *Informer) restoreVersions(value []byte) {
	stored := &wirev1.StoredSoftwareVersions{}
	if err := proto.Unmarshal(value, stored); err != nil {
		klog.ErrorS(err, "cached software versions are unreadable; the history begins anew")
		return
	}
	versions := map[string][]string{}
	for _, service := range stored.Services {
		versions[service.Service] = service.SoftwareVersions
	}
	i.Runners.Versions().Restore(versions, time.Now())
}

// noteVersions adds the software versions of all entries in a batch of changes, also of those that a
// list of a peer or a later change of the batch has replaced, so that no list has them. A relay that
// was behind sends only the deletion of such an entry, which is a gap. The mutex is held.
func (c *runnerCache) noteVersions(events []ports.WatchEvent, now time.Time) {
	received := map[string]bool{}
	for _, event := range events {
		key := event.Value.Key
		_, stored := c.storedEntries[key]
		if event.Deleted && !stored && !received[key] {
			c.set.Versions().RecordGap(now)
		}
		if event.Deleted {
			continue
		}
		received[key] = true
		if record, err := c.schema.parseRunner(event.Value, now); err == nil {
			c.set.Versions().NoteListed(&record, now)
		}
	}
}
