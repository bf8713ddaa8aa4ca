package peers

import (
	"time"

	wirev1 "cobaltramp.example/cobaltramp/api/wire/v1"
)

// contact records when another node last responded and whether it is to be probed.
type contact struct {
	// lastContact is the time of the last response or request from the node.
	lastContact time.Time
	// unansweredSince is the time of the first call that failed since the last contact;
	// zero if there was none.
	unansweredSince time.Time
	// probeUntil is the time until which the Syncer probes the node on request.
	probeUntil time.Time
}

// RecordContact records a response or a request from a node.
func (d *Directory) RecordContact(node string, now time.Time) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.recordContact(node, now)
}

// recordContact does the work of RecordContact. The mutex is held.
func (d *Directory) recordContact(node string, now time.Time) {
	known := d.contacts[node]
	known.lastContact, known.unansweredSince = now, time.Time{}
	d.contacts[node] = known
}

// RecordContactAt records a response from the node at an address.
func (d *Directory) RecordContactAt(address string, now time.Time) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if node, known := d.byAddress[address]; known {
		d.recordContact(node, now)
	}
}

// RecordUnresponsive records that a call to the node at an address failed.
func (d *Directory) RecordUnresponsive(address string, now time.Time) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	node, found := d.byAddress[address]
	if !found {
		return
	}
	if known := d.contacts[node]; known.unansweredSince.IsZero() {
		known.unansweredSince = now
		d.contacts[node] = known
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
	known := d.contacts[node]
	return node == d.self.NodeId || !known.lastContact.IsZero() && now.Sub(known.lastContact) < within
}

// probeRequestLifetime is how long the Syncer probes a node after RequestProbe.
const probeRequestLifetime = 10 * time.Second

// RequestProbe makes the Syncer probe a node for probeRequestLifetime. It matters in a
// large fleet only; otherwise the Syncer probes all nodes with disks anyway.
func (d *Directory) RequestProbe(node string, now time.Time) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	known := d.contacts[node]
	known.probeUntil = now.Add(probeRequestLifetime)
	d.contacts[node] = known
}

// requestedProbes returns the nodes for which a probe was requested.
func (d *Directory) requestedProbes(now time.Time) []*wirev1.NodeRecord {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	var requested []*wirev1.NodeRecord
	for node, known := range d.contacts {
		if record := d.records[node]; record != nil && now.Before(known.probeUntil) && node != d.self.NodeId {
			requested = append(requested, record)
		}
	}
	return requested
}
