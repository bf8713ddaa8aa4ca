// Probes shows, with the product's package replica and a clock of its own, that a leader may take
// the answer to a message of its former process for the confirmation of a read. It exits with 1 if a
// leader that reaches nobody confirms a read after another leader has committed an entry. With
// TROUBLE=0 the messages of the former process are lost, and it exits with 0.
package main

import (
	"fmt"
	"math/rand/v2"
	"os"
	"time"

	wirev1 "cobaltramp.example/cobaltramp/api/wire/v1"
	"cobaltramp.example/cobaltramp/internal/batch/replica"
)

// member is a replica with its disk.
type member struct {
	id      string
	running *replica.Replica
	hard    replica.HardState
	entries []*wirev1.LogEntry
}

// Entries implements replica.EntryReader.
func (m *member) Entries(lo, hi uint64, _ int) ([]*wirev1.LogEntry, error) {
	return m.entries[lo-1 : hi], nil
}

// scene has three members. Messages between members of the set cut and others are dropped; with
// holds set, those from a member of the set cut are kept in held, as a connection does that goes on
// after a partition.
type scene struct {
	now     time.Time
	set     replica.MemberSet
	members map[string]*member
	cut     map[string]bool
	holds   bool
	held    []*wirev1.ReplicaMessage
}

// start starts a member with what is on its disk.
func (s *scene) start(id string) {
	m := s.members[id]
	epochs := make([]uint64, 0, len(m.entries))
	for _, entry := range m.entries {
		epochs = append(epochs, entry.Epoch)
	}
	timing := replica.ElectionTiming{Heartbeat: 200 * time.Millisecond, Election: time.Second}
	m.running = replica.Restore(0, id, s.set, timing, rand.New(rand.NewPCG(uint64(id[1]), 1)), m, m.hard, 0, 0, epochs, s.now)
}

// exchange persists and delivers until nothing is left to send.
func (s *scene) exchange() {
	for moved := true; moved; {
		moved = false
		for _, id := range s.set.Members {
			for _, message := range s.take(id) {
				moved = true
				s.deliver(id, message)
			}
		}
	}
}

func (s *scene) take(id string) []*wirev1.ReplicaMessage {
	m := s.members[id]
	ready := m.running.Ready()
	if ready.HardState != nil {
		m.hard = *ready.HardState
	}
	if ready.TruncateFrom > 0 {
		m.entries = m.entries[:ready.TruncateFrom-1]
	}
	m.entries = append(m.entries, ready.Entries...)
	m.running.Persisted(uint64(len(m.entries)))
	return append(ready.Early, ready.Messages...)
}

func (s *scene) deliver(from string, message *wirev1.ReplicaMessage) {
	switch {
	case s.cut[from] == s.cut[message.To]:
		s.members[message.To].running.Step(s.now, message)
	case s.holds && s.cut[message.To]:
		s.held = append(s.held, message)
	}
}

// elect lets time pass for one member only, until it leads.
func (s *scene) elect(id string) {
	for s.members[id].running.Role() != replica.Leader {
		s.now = s.now.Add(100 * time.Millisecond)
		s.members[id].running.Tick(s.now)
		s.exchange()
	}
	fmt.Println(id, "leads in epoch", s.members[id].running.Epoch())
}

func main() {
	s := &scene{now: time.Unix(0, 0), members: map[string]*member{}, cut: map[string]bool{}}
	s.set = replica.MemberSet{Generation: 1, Members: []string{"d0", "d1", "d2"}, Copies: 2}
	for _, id := range s.set.Members {
		s.members[id] = &member{id: id}
		s.start(id)
	}
	s.elect("d0")
	// d2 is cut off. What d0 sends to it waits on the way.
	s.cut["d2"], s.holds = true, true
	for range 100 {
		s.members["d0"].running.BeginProbe(s.now)
		s.exchange()
	}
	// The cut heals, d0 is killed, starts again, and is elected again.
	s.cut["d2"], s.holds = false, false
	s.start("d0")
	s.elect("d0")
	fmt.Println("d0 has confirmed probe", s.members["d0"].running.ConfirmedProbe())
	// What its former process sent arrives.
	if os.Getenv("TROUBLE") == "0" {
		s.held = nil
	}
	for _, message := range s.held {
		s.members["d2"].running.Step(s.now, message)
	}
	s.exchange()
	fmt.Println("after", len(s.held), "late messages, d0 has confirmed probe", s.members["d0"].running.ConfirmedProbe())
	// d0 is cut off, and another leader commits an entry.
	s.cut["d0"] = true
	s.now = s.now.Add(3 * time.Second)
	s.elect("d1")
	index, _ := s.members["d1"].running.Propose(s.now, [][]byte{[]byte("an accepted batch job")})
	s.exchange()
	fmt.Println("d1 has committed entry", index, s.members["d1"].running.Commit() >= index)
	began := s.members["d0"].running.BeginProbe(s.now)
	s.exchange()
	confirmed := s.members["d0"].running.ConfirmedProbe()
	fmt.Printf("d0 reaches nobody; its last entry is %d, its read has probe %d, confirmed are probes up to %d\n", s.members["d0"].running.LastIndex(), began, confirmed)
	if confirmed >= began {
		fmt.Println("a read is confirmed that misses a committed entry")
		os.Exit(1)
	}
}
