package standin

import (
	"encoding/json"
	"net/http"
	"strings"
	"time"
)

// transaction is a set of writes that apply if all expected revisions match.
type transaction struct {
	Expected []struct {
		Key string `json:"private_key"`
		Rev int64  `json:"rev"`
	} `json:"expected_rev"`
	Put []struct {
		Key   string `json:"private_key"`
		Value string `json:"value"`
		Lease int64  `json:"lease"`
	} `json:"put"`
	Remove []string `json:"remove"`
}

func (s *Store) serveTxn(writer http.ResponseWriter, request *http.Request) {
	var change transaction
	if json.NewDecoder(request.Body).Decode(&change) != nil {
		writer.WriteHeader(http.StatusBadRequest)
		return
	}
	status, body := s.apply(&change)
	if s.faultFor(request).LoseWrites {
		panic(http.ErrAbortHandler)
	}
	writeJSON(writer, status, body)
}

// apply applies a transaction and returns the status and the body of the response.
func (s *Store) apply(change *transaction) (int, any) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for _, put := range change.Put {
		if strings.HasPrefix(put.Key, "op/") || strings.HasPrefix(put.Key, "servers/") {
			return http.StatusForbidden, struct{}{}
		}
		if l := s.leases[put.Lease]; put.Lease != 0 && (l == nil || time.Now().After(l.expires)) {
			return http.StatusNotFound, struct{}{}
		}
	}
	var current []storeItem
	met := true
	for _, expected := range change.Expected {
		item := s.items[expected.Key]
		met = met && item.Rev == expected.Rev
		current = append(current, item)
	}
	if !met {
		return http.StatusPreconditionFailed, map[string]any{"items": current}
	}
	s.revision++
	for _, put := range change.Put {
		s.put(put.Key, put.Value, put.Lease)
	}
	for _, key := range change.Remove {
		s.remove(key)
	}
	s.notifyWatchers()
	return http.StatusOK, map[string]any{"rev": s.revision}
}
