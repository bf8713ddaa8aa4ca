// Package standin emulates the environment of the roles edge and storage: the store
// and the model runners of the users' platform, with fault injection, and clients that
// send requests and batch jobs and verify the responses. It implements the platform's
// published protocol independently of the code under test. Packages engine and platform
// emulate the engines and services of plain nodes, which have other protocols.
package standin

import (
	"encoding/base64"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"sync"

	"cobaltramp.example/cobaltramp/lab/silence"
)

// Store emulates the platform's key-value store: revisions, conditional transactions,
// watches, a history that can be compacted, and leases.
type Store struct {
	server *httptest.Server
	// listeners holds further servers, one for each machine with its own address.
	listeners map[string]*httptest.Server

	handler           http.Handler
	mutex             sync.Mutex
	revision          int64
	items             map[string]storeItem
	history           []storeItem // in order of revision; Gone marks removals
	compactedRevision int64       // the history lacks changes up to this revision
	changed           chan struct{}
	fault             StoreFault
	machineFaults     map[string]StoreFault // by machine
	leases            map[int64]*lease
	calls             map[string]int
}

type storeItem struct {
	Key     string `json:"private_key"`
	Value   string `json:"value"`
	Rev     int64  `json:"rev"`
	Created int64  `json:"created"`
	Lease   int64  `json:"lease"`
	Gone    bool   `json:"gone,omitempty"`
}

// NewStore starts a store on a loopback address.
func NewStore() *Store {
	s := &Store{
		items: map[string]storeItem{}, changed: make(chan struct{}), revision: 1, machineFaults: map[string]StoreFault{},
		leases: map[int64]*lease{}, calls: map[string]int{}, listeners: map[string]*httptest.Server{},
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /-/kv-key", s.serveKey)
	mux.HandleFunc("GET /-/kv-range", s.serveRange)
	mux.HandleFunc("GET /-/kv-watch", s.serveWatch)
	mux.HandleFunc("POST /-/kv-txn", s.serveTxn)
	mux.HandleFunc("POST /-/kv-lease", s.serveLeaseGrant)
	mux.HandleFunc("POST /-/kv-keep/{id}", s.serveLeaseKeepAlive)
	mux.HandleFunc("DELETE /-/kv-lease-end/{id}", s.serveLeaseRevoke)
	s.handler = mux
	s.server = startServer(s.withFaults("", mux))
	return s
}

// startServer starts a server whose connections can be made silent.
func startServer(handler http.Handler) *httptest.Server {
	server := httptest.NewUnstartedServer(handler)
	server.Listener = silence.Wrap(server.Listener)
	server.Start()
	return server
}

// AddressFor returns the IP:port at which one machine calls the store, so that
// SetMachineFault can affect that machine alone.
func (s *Store) AddressFor(machine string) string {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.listeners[machine] == nil {
		s.listeners[machine] = startServer(s.withFaults(machine, s.handler))
	}
	return s.listeners[machine].Listener.Addr().String()
}

// Address returns the IP:port of the store.
func (s *Store) Address() string { return s.server.Listener.Addr().String() }

// Close closes all connections and stops the store.
func (s *Store) Close() {
	for _, server := range s.servers() {
		server.CloseClientConnections()
		server.Close()
	}
}

// servers returns the servers of all addresses of the store.
func (s *Store) servers() []*httptest.Server {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	servers := []*httptest.Server{s.server}
	for _, server := range s.listeners {
		servers = append(servers, server)
	}
	return servers
}

// SilenceConnections makes the open connections silent for which match returns true, and
// returns their number. match receives the bytes that the store read last from the client.
// New connections work.
func (s *Store) SilenceConnections(match func(received []byte) bool) int {
	count := 0
	for _, server := range s.servers() {
		count += server.Listener.(*silence.Listener).SilenceMatching(match)
	}
	return count
}

// CompactHistory drops the history: watches that start at an older revision get 410.
func (s *Store) CompactHistory() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.history, s.compactedRevision = nil, s.revision
	s.notifyWatchers()
}

// Put writes a key without conditions, as an operator or a runner would.
func (s *Store) Put(key string, value any) {
	text, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.PutBytes(key, text)
}

// PutBytes writes any bytes under a key, as another program may.
func (s *Store) PutBytes(key string, value []byte) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.revision++
	s.put(key, base64.StdEncoding.EncodeToString(value), 0)
	s.notifyWatchers()
}

// Remove removes a key.
func (s *Store) Remove(key string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.revision++
	s.remove(key)
	s.notifyWatchers()
}

// Value returns a key's value, nil if it is absent.
func (s *Store) Value(key string) []byte {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	item, found := s.items[key]
	if !found {
		return nil
	}
	text, err := base64.StdEncoding.DecodeString(item.Value)
	if err != nil {
		panic("standin: a node stored a value that is not base64 under " + key)
	}
	return text
}

// Calls returns the number of calls of a kind, for example key, range, watch or txn.
func (s *Store) Calls(kind string) int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.calls[kind]
}

// notifyWatchers wakes all watches. The caller holds the mutex.
func (s *Store) notifyWatchers() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *Store) put(key, value string, leaseID int64) {
	item := storeItem{Key: key, Value: value, Rev: s.revision, Created: s.revision, Lease: leaseID}
	if previous, found := s.items[key]; found {
		item.Created = previous.Created
	}
	s.items[key] = item
	s.history = append(s.history, item)
	if l := s.leases[leaseID]; l != nil {
		l.keys[key] = true
	}
}

func (s *Store) remove(key string) {
	if _, found := s.items[key]; found {
		delete(s.items, key)
		s.history = append(s.history, storeItem{Key: key, Rev: s.revision, Gone: true})
	}
}
