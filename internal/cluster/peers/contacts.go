package peers

import (
	"time"

	wirev1 "cobaltramp.example/cobaltramp/api/wire/v1"
)

// contact records the last contact with another node, failed calls to it and requests to
// probe it.
type contact struct {
	// lastContact is the time of the last response or request from the node; zero if there
	// was none.
	lastContact time.Time
	// unansweredSince is the time of the first call that failed since the last contact;
	// zero if there was none.
	unansweredSince time.Time
	// probeUntil is the end of the period in which the Syncer probes the node because of
	// RequestProbe.
	probeUntil time.Time
}

// RecordContact records a response or a request from a node.
func (d *Directory) RecordContact(node string, now time.Time) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.recordContact(node, now)
}

// recordContact implements RecordContact. The caller holds the mutex.
func (d *Directory) recordContact(node string, now time.Time) {
	current := d.contacts[node]
	current.lastContact, current.unansweredSince = now, time.Time{}
	d.contacts[node] = current
}

// RecordContactAt records a response from the node at an address. It has no effect if no
// known node has the address.
func (d *Directory) RecordContactAt(address string, now time.Time) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if node, known := d.byAddress[address]; known {
		d.recordContact(node, now)
	}
}

// RecordUnresponsive records that a call to the node at an address failed. It has no
// effect if no known node has the address.
func (d *Directory) RecordUnresponsive(address string, now time.Time) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	node, found := d.byAddress[address]
	if !found {
		return
	}
	if current := d.contacts[node]; current.unansweredSince.IsZero() {
		current.unansweredSince = now
		d.contacts[node] = current
	}
}

// Unresponsive reports whether a call to a node has failed since the last contact with it.
func (d *Directory) Unresponsive(node string) bool {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return !d.contacts[node].unansweredSince.IsZero()
}

// InContactWithin reports whether a node responded or sent a request within the given
// duration before now. It is always true for this node itself.
func (d *Directory) InContactWithin(node string, now time.Time, within time.Duration) bool {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	current := d.contacts[node]
	return node == d.self.NodeId || !current.lastContact.IsZero() && now.Sub(current.lastContact) < within
}

// probeRequestLifetime is how long the Syncer probes a node after RequestProbe.
const probeRequestLifetime = 10 * time.Second

// RequestProbe makes the Syncer probe a node in each round for probeRequestLifetime. It has
// an effect only in a large fleet and if this node has a disk.
func (d *Directory) RequestProbe(node string, now time.Time) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	current := d.contacts[node]
	current.probeUntil = now.Add(probeRequestLifetime)
	d.contacts[node] = current
}

// requestedProbes returns the records of the other nodes for which a probe was requested
// within probeRequestLifetime. Nodes without a record are left out.
func (d *Directory) requestedProbes(now time.Time) []*wirev1.NodeRecord {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	var requested []*wirev1.NodeRecord
	for node, current := range d.contacts {
		if record := d.records[node]; record != nil && now.Before(current.probeUntil) && node != d.self.NodeId {
			requested = append(requested, record)
		}
	}
	return requested
}
