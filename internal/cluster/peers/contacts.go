package peers

import (
	"time"

	wirev1 "cobaltramp.example/cobaltramp/api/wire/v1"
)

// contact is what is known of whether a node answers.
type contact struct {
	// last is when it answered, or asked.
	last time.Time
	// silent is since when a question of this node waits without an answer; zero
	// if the last one was answered.
	silent time.Time
	// wanted is until when the node is to be asked whether it answers.
	wanted time.Time
}

// RecordContact records that a node answered, or asked.
func (d *Directory) RecordContact(node string, now time.Time) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.recordContact(node, now)
}

// recordContact is RecordContact with the mutex held.
func (d *Directory) recordContact(node string, now time.Time) {
	known := d.contacts[node]
	known.last, known.silent = now, time.Time{}
	d.contacts[node] = known
}

// RecordContactAt records that the node at an address answered.
func (d *Directory) RecordContactAt(address string, now time.Time) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if node, known := d.byAddress[address]; known {
		d.recordContact(node, now)
	}
}

// RecordUnresponsive records that the node at an address did not answer a question.
func (d *Directory) RecordUnresponsive(address string, now time.Time) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	node, found := d.byAddress[address]
	if !found {
		return
	}
	if known := d.contacts[node]; known.silent.IsZero() {
		known.silent = now
		d.contacts[node] = known
	}
}

// Unresponsive reports whether a node left the last question of this one unanswered.
func (d *Directory) Unresponsive(node string) bool {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return !d.contacts[node].silent.IsZero()
}

// InContactWithin reports whether a node answered, or asked, within a time.
func (d *Directory) InContactWithin(node string, now time.Time, within time.Duration) bool {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	known := d.contacts[node]
	return node == d.self.NodeId || !known.last.IsZero() && now.Sub(known.last) < within
}

// wantedTime is how long a node is asked whether it answers after that was wanted.
const wantedTime = 10 * time.Second

// RequestProbe has the Syncer ask a node whether it answers, for a while.
func (d *Directory) RequestProbe(node string, now time.Time) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	known := d.contacts[node]
	known.wanted = now.Add(wantedTime)
	d.contacts[node] = known
}

// wantedContacts lists the nodes that are to be asked whether they answer.
func (d *Directory) wantedContacts(now time.Time) []*wirev1.NodeRecord {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	var wanted []*wirev1.NodeRecord
	for node, known := range d.contacts {
		if record := d.records[node]; record != nil && now.Before(known.wanted) && node != d.self.NodeId {
			wanted = append(wanted, record)
		}
	}
	return wanted
}
