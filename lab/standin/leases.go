package standin

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"
)

// lease is a lease with the keys attached to it.
type lease struct {
	expires time.Time
	keys    map[string]bool
	ttl     time.Duration
}

// leaseID returns the lease id in the path of a call. It returns 0, which no lease has, if
// the path has no valid id.
func leaseID(request *http.Request) int64 {
	id, err := strconv.ParseInt(request.PathValue("id"), 10, 64)
	if err != nil {
		return 0
	}
	return id
}

func (s *Store) serveLeaseGrant(writer http.ResponseWriter, request *http.Request) {
	var body struct {
		TTL int64 `json:"ttl_ms"`
	}
	if json.NewDecoder(request.Body).Decode(&body) != nil {
		writer.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.revision++
	ttl := time.Duration(body.TTL) * time.Millisecond
	s.leases[s.revision] = &lease{time.Now().Add(ttl), map[string]bool{}, ttl}
	writeJSON(writer, http.StatusOK, map[string]any{"lease": s.revision, "ttl_ms": body.TTL})
}

func (s *Store) serveLeaseKeepAlive(writer http.ResponseWriter, request *http.Request) {
	id := leaseID(request)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	l := s.leases[id]
	if l == nil || time.Now().After(l.expires) {
		s.revoke(id)
		writeJSON(writer, http.StatusNotFound, struct{}{})
		return
	}
	l.expires = time.Now().Add(l.ttl)
	writeJSON(writer, http.StatusOK, map[string]any{"ttl_ms": l.ttl.Milliseconds()})
}

func (s *Store) serveLeaseRevoke(writer http.ResponseWriter, request *http.Request) {
	id := leaseID(request)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.revoke(id)
	writeJSON(writer, http.StatusOK, struct{}{})
}

// ExpireLeases expires all leases.
func (s *Store) ExpireLeases() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for id := range s.leases {
		s.revoke(id)
	}
	s.notifyWatchers()
}

// revoke removes a lease and the keys attached to it. The caller holds the mutex.
func (s *Store) revoke(id int64) {
	l := s.leases[id]
	if l == nil {
		return
	}
	delete(s.leases, id)
	s.revision++
	for key := range l.keys {
		if s.items[key].Lease == id {
			s.remove(key)
		}
	}
}
